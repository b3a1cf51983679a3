"""A small deployment of real processes, from caller to backend server and back."""

import random
import signal
import socket

import pytest
import trio

from citronwinch.coordination.requests import RequestOutcome
from citronwinch.demo import Demo, DemoOptions, DeploymentShape, ServiceShape
from citronwinch.demo._callers import Caller

SMALL = DeploymentShape(
    "small", ("zone-a",), (ServiceShape("gauging", 2), ServiceShape("reporting", 1))
)
"""Two services, one availability zone."""

TRIES = 20
"""How often a caller asks before the test gives up."""


@pytest.fixture
def demo(tmp_path):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        base_port = probe.getsockname()[1] - 3
    demo = Demo(SMALL, tmp_path, DemoOptions(base_port=base_port))
    demo.balancers = {"balancer-1": "live", "balancer-2": "live"}
    yield demo
    demo.end_processes()


async def start(demo):
    demo.start_standins()
    for name in [*demo.balancers, *demo.agents]:
        demo.start_daemon(name)
    await demo.wait_all_ready()


async def ask(demo, service, text):
    address = demo.deployment.service_address(service)
    caller = Caller(service, address, random.Random(text), demo.report)
    await caller.open()
    for _ in range(TRIES):
        ended = await caller.request(text)
        if ended.outcome is RequestOutcome.ANSWERED:
            caller.socket.close()
            return ended.body
    raise AssertionError(f"no answer from {service} after {TRIES} requests")


async def stop_balancers(demo):
    names = [*demo.balancers]
    for name in names:
        demo.processes[name].send_signal(signal.SIGTERM)
    return [
        await trio.to_thread.run_sync(demo.processes.pop(name).wait, 30)
        for name in names
    ]


def test_services_answer_their_own_callers_and_balancers_stop(demo):
    async def run():
        await start(demo)
        for service in ("gauging", "reporting"):
            body = await ask(demo, service, "level 7")
            server, _, rest = body.decode().partition(" ")
            assert rest == f"{service} level 7"
            assert server.startswith(service)
        result = await demo.summarize()
        return result, await stop_balancers(demo)

    result, exit_codes = trio.run(run)
    assert (result.doubled, result.misdirected) == (0, 0)
    assert set(exit_codes) == {0}
