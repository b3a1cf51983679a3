"""Tests that an unexpected exception costs one step, not the process.

Guards against balancers that end by themselves because one entry, answer or message
raises an exception that no decoder declares: they did so at each start, for as long as
the entry was in the store.
"""

from collections.abc import Callable
from itertools import pairwise
from typing import Any

import pytest
import trio
from trio.testing import MockClock

from citronwinch.coordination import ManualClock
from citronwinch.forwarder._balancer_process import BalancerProcess
from citronwinch.forwarder._internal_errors import (
    LOG_INTERVAL_MS,
    RESTART_DELAY_MS,
    InternalErrors,
)
from citronwinch.forwarder._process import ForwarderProcess, PacketBatch
from citronwinch.forwarder.tests.conftest import (
    ROUTE_ADDRESS,
    LoopbackDeployment,
    RunScenario,
    make_balancer,
    start_small_deployment,
)
from citronwinch.forwarder.tests.test_whole_path import open_flows, send_requests
from citronwinch.network import Datagram
from citronwinch.operators import MetricKey, Metrics
from citronwinch.platform.standins import FlowOutcome

FAILING_S = 1.2
"""How long a step fails, in seconds; longer than the interval of the slowest."""


class UnexpectedError(Exception):
    """An exception that no code declares."""


def fail(*_: Any, **__: Any) -> Any:
    raise UnexpectedError


def get_balancer(deployment: LoopbackDeployment) -> BalancerProcess:
    process = deployment.processes[11]
    assert isinstance(process, BalancerProcess)
    return process


def get_agent(deployment: LoopbackDeployment) -> ForwarderProcess:
    return deployment.processes[31]


FAILURES: dict[str, tuple[str, Callable[[LoopbackDeployment], Any], str]] = {
    "read of the listing": (
        "read listing",
        lambda deployment: get_balancer(deployment).view_exchange.store,
        "read_servers",
    ),
    "listing that cannot be accepted": (
        "read listing",
        lambda deployment: get_balancer(deployment).view,
        "accept_listing",
    ),
    "watch of the configuration": (
        "watch configuration",
        lambda deployment: get_balancer(deployment).view_exchange.store,
        "watch_configuration",
    ),
    "heartbeat of a balancer": (
        "message",
        lambda deployment: get_balancer(deployment).members,
        "handle_heartbeat",
    ),
    "heartbeats to agents": (
        "tick heartbeats",
        lambda deployment: get_balancer(deployment).agent_heartbeats,
        "send_due",
    ),
    "expiry of the view": (
        "tick view",
        lambda deployment: get_balancer(deployment).view,
        "expire",
    ),
    "choice of the tick": (
        "tick",
        lambda deployment: get_balancer(deployment),
        "compute_tick_ms",
    ),
    "heartbeat to an agent": (
        "message",
        lambda deployment: get_agent(deployment).flows,  # type: ignore[attr-defined]
        "handle_server_start",
    ),
}
"""The kind that is counted, where the failing method is, and its name."""


# An exception in a task ended the process, again and again at each start.
@pytest.mark.parametrize("failure", FAILURES)
def test_a_process_goes_on_when_a_step_fails(
    run_scenario: RunScenario, failure: str
) -> None:
    kind, find_owner, method = FAILURES[failure]

    async def scenario(deployment: LoopbackDeployment) -> None:
        # Only the balancer whose turn it is reads the store.
        balancers = 2 if failure == "heartbeat of a balancer" else 1
        await start_small_deployment(deployment, balancers)
        await open_flows(deployment, range(4000, 4008))
        owner = find_owner(deployment)
        setattr(owner, method, fail)
        # Ends a watch that began before.
        deployment.store.write_configuration(5, {ROUTE_ADDRESS: "gauging"})
        await trio.sleep(FAILING_S)
        assert await send_requests(deployment, range(4000, 4008)) == {FlowOutcome.DONE}
        await open_flows(deployment, range(4010, 4014))
        delattr(owner, method)
        await check_recovery(deployment)
        key = MetricKey("internal_errors_total", kind)
        processes = [get_balancer(deployment), get_agent(deployment)]
        assert sum(process.metrics.counters.pop(key, 0) for process in processes) > 0

    run_scenario(scenario, 122)


async def check_recovery(deployment: LoopbackDeployment) -> None:
    """Check that a change of the configuration and of the servers is in force soon."""
    deployment.store.write_configuration(9, {ROUTE_ADDRESS: "gauging"})
    deployment.add_server(33)
    balancer = get_balancer(deployment)

    def is_in_force() -> bool:
        configuration = balancer.view.configuration
        is_listed = "i-33" in balancer.view.listing.servers
        return configuration is not None and configuration.version == 9 and is_listed

    await deployment.wait_for(is_in_force)
    await open_flows(deployment, range(4020, 4024))


def test_a_failing_datagram_does_not_cost_the_others_of_its_batch(
    open_sockets: Any,
) -> None:
    process = make_balancer(open_sockets, "127.95.0.12")
    handled: list[bytes] = []

    def handle(data: bytes) -> None:
        if data == b"odd":
            raise UnexpectedError
        handled.append(data)

    process.handle_packet = handle
    datagrams = [Datagram(data, ("127.0.0.1", 1)) for data in (b"1", b"odd", b"2")]
    process.handle_event(PacketBatch(datagrams))
    assert handled == [b"1", b"2"]
    assert process.metrics.counters[MetricKey("internal_errors_total", "packet")] == 1


def test_log_lines_of_one_kind_are_bounded(capsys: pytest.CaptureFixture[str]) -> None:
    clock, metrics = ManualClock(10_000), Metrics()
    errors = InternalErrors(clock, metrics)
    for _ in range(50):
        assert not errors.run_step("packet", fail)
    assert not errors.run_step("message", fail)
    clock.advance(LOG_INTERVAL_MS)
    errors.run_step("packet", fail)
    lines = capsys.readouterr().out.count("event_not_handled")
    assert lines == 3
    assert metrics.counters[MetricKey("internal_errors_total", "packet")] == 51


def test_the_delay_before_a_failing_task_starts_again_grows() -> None:
    clock = ManualClock(10_000)
    errors, starts = InternalErrors(clock, Metrics()), []

    async def run() -> None:
        starts.append(round(trio.current_time() * 1_000))
        if len(starts) < 9:
            raise UnexpectedError

    trio.run(errors.run_forever, "task", run, clock=MockClock(autojump_threshold=0))
    delays = [after - before for before, after in pairwise(starts)]
    assert delays[:4] == [RESTART_DELAY_MS << step for step in range(4)]
    assert delays[-1] == delays[-2] == 5_000
