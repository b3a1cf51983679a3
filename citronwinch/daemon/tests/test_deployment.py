"""Tests of requests and answers between callers and backend servers."""

import pytest
import trio

from citronwinch.daemon.tests._deployment import DeploymentCaller, run_deployment


@pytest.mark.parametrize("host", ["127.0.0.1", "::1"], ids=["ipv4", "ipv6"])
def test_answers_are_complete_and_from_the_requested_service(host):
    async def check():
        async with run_deployment(host) as deployment:
            for service in deployment.service_addresses:
                caller = DeploymentCaller(deployment, service)
                answers = [await caller.send_request(f"entry {i}") for i in range(20)]
                server = answers[0].partition(" ")[0]
                assert server.startswith(service)
                assert answers == [f"{server} {service} entry {i}" for i in range(20)]

    trio.run(check)
