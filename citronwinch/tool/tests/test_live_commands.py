"""Tests of the commands that query running daemons."""

import contextlib
import io
from functools import partial

import orjson
import trio

from citronwinch.daemon.tests._deployment import DeploymentCaller, run_deployment
from citronwinch.tool import main

OBJECTIVES = """
[objective gauging]
unbroken_flows_percent = 99.9
answered_in_time_percent = 99
[objective reporting]
answered_in_time_percent = 99
"""
REQUESTS = 20


def call(arguments):
    """Run a command in this process; return its exit code and standard output."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        exit_code = main([str(argument) for argument in arguments])
    return exit_code, output.getvalue()


async def run_command(*arguments):
    return await trio.to_thread.run_sync(partial(call, arguments))


def test_commands_report_the_state_of_daemons(tmp_path):
    async def check():
        async with run_deployment() as deployment:
            settings = tmp_path / "balancer-1.ini"
            settings.write_text(deployment.make_settings("balancer-1") + OBJECTIVES)
            where = ["--settings", settings, "--json"]
            caller = DeploymentCaller(deployment, "gauging")
            for i in range(REQUESTS):
                answer = await caller.send_request(f"entry {i}")
            await check_status(deployment, where)
            await check_explanation(deployment, where, caller, answer.partition(" ")[0])
            await check_burn(where)
            deployment.platform.publish_instances(
                [
                    *deployment.list_instances(),
                    {**deployment.list_instances()[0], **GONE},
                ]
            )
            await check_missing_daemon(where)

    trio.run(check)


GONE = {"name": "gauging-9", "role": "agent", "http_address": "127.0.0.1:1"}


async def check_status(deployment, where):
    exit_code, output = await run_command("status", *where)
    daemons = orjson.loads(output)["daemons"]
    assert exit_code == 0
    assert {daemon["name"] for daemon in daemons} == set(deployment.processes)
    assert {(daemon["state"], daemon["revision"]) for daemon in daemons} == {
        ("ready", 1)
    }


async def check_explanation(deployment, where, caller, server):
    ip, port = caller.socket.getsockname()
    command = ("explain", *where, "gauging", f"{ip}:{port}")
    exit_code, output = await run_command(*command)
    explanation = orjson.loads(output)
    assert (exit_code, explanation["owner"]) == (0, server)
    assert f"established on {server}" in explanation["reason"]
    _, output = await run_command("explain", *where, "gauging", f"{ip}:1")
    assert orjson.loads(output)["owner"] == ""


async def check_burn(where):
    exit_code, output = await run_command("report", "burn", *where)
    report = orjson.loads(output)
    flows, gauging, reporting = report["objectives"]
    assert exit_code == 3
    assert gauging["windows"][0]["good"] == REQUESTS
    assert gauging["windows"][0]["bad"] == 0
    assert flows["windows"][0]["good"] >= 0
    assert reporting["windows"][0]["burn"] is None
    assert "no request was seen in 5min, 30min, 1h, 6h" in reporting["lacks"]
    (latency,) = report["latencies"]
    assert (latency["service"], latency["answers"]) == ("gauging", REQUESTS)


async def check_missing_daemon(where):
    exit_code, output = await run_command("status", *where)
    findings = orjson.loads(output)["findings"]
    assert exit_code == 3
    assert any(finding.startswith("gauging-9") for finding in findings)
    exit_code, output = await run_command("report", "burn", *where)
    missing = orjson.loads(output)["daemons_without_answer"]
    assert [line.partition(":")[0] for line in missing] == ["gauging-9"]
