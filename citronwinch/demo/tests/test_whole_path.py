"""Checks requests and answers through a small deployment of real processes."""

import random
import signal

import pytest
import trio

from citronwinch.coordination.requests import RequestOutcome
from citronwinch.demo import Demo, DemoOptions, DeploymentShape, ServiceShape
from citronwinch.demo._callers import Caller
from citronwinch.demo._ports import choose_base_port

SMALL = DeploymentShape(
    "small", ("zone-a",), (ServiceShape("gauging", 2), ServiceShape("reporting", 1))
)
"""Two services in one availability zone."""

MAX_ATTEMPTS = 20
"""How often a request is sent before the test fails."""


@pytest.fixture
def demo(tmp_path):
    # A port of the range from which the kernel serves others could be taken meanwhile.
    demo = Demo(SMALL, tmp_path, DemoOptions(base_port=choose_base_port()))
    demo.balancers = {"balancer-1": "live", "balancer-2": "live"}
    yield demo
    demo.end_processes()


async def start(demo):
    demo.start_standins()
    for name in [*demo.balancers, *demo.agents]:
        demo.start_daemon(name)
    await demo.wait_all_ready()


async def send_until_answered(demo, service, text):
    address = demo.deployment.service_address(service)
    caller = Caller(service, address, random.Random(text), demo.report)
    await caller.open()
    for _ in range(MAX_ATTEMPTS):
        ended = await caller.request(text)
        if ended.outcome is RequestOutcome.ANSWERED:
            caller.socket.close()
            return ended.body
    raise AssertionError(f"no answer from {service} after {MAX_ATTEMPTS} requests")


async def stop_balancers(demo):
    names = [*demo.balancers]
    for name in names:
        demo.processes[name].send_signal(signal.SIGTERM)
    return [
        await trio.to_thread.run_sync(demo.processes.pop(name).wait, 30)
        for name in names
    ]


def test_services_answer_their_callers_and_balancers_exit_with_0(demo):
    async def run():
        await start(demo)
        for service in ("gauging", "reporting"):
            body = await send_until_answered(demo, service, "level 7")
            server, _, rest = body.decode().partition(" ")
            assert rest == f"{service} level 7"
            assert server.startswith(service)
        result = await demo.summarize()
        return result, await stop_balancers(demo)

    result, exit_codes = trio.run(run)
    assert (result.doubled, result.misdirected) == (0, 0)
    assert set(exit_codes) == {0}
