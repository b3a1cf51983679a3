"""Evacuations of a zone, from the operators' key to the backend servers' packets.

Guards against openings that reach a server of an evacuated zone, against flows that an
evacuation breaks, and against processes that miss a request or its removal because they
started late, could not reach the store, or saw it come back from an older copy.
"""

import pytest
import trio
from structlog.testing import capture_logs

from citronwinch.coordination.flows import Evacuations
from citronwinch.forwarder._agent_process import AgentProcess
from citronwinch.forwarder._balancer_process import BalancerProcess
from citronwinch.forwarder.tests.conftest import (
    ROUTE_ADDRESS,
    LoopbackDeployment,
    RunScenario,
)
from citronwinch.operators import MetricKey
from citronwinch.platform.standins import FlowOutcome, StoreFault

EFFECT_LIMIT_S = 5.0
"""The time after the store's acknowledgement in which an evacuation must take effect,
in seconds."""

SERVERS = (31, 32, 33)
"""The backend servers; the last one is in zone b, the others are in zone a."""


async def start_two_zones(deployment: LoopbackDeployment) -> None:
    """Start two balancers in zone a, two servers there and one in zone b."""
    for number in (11, 12):
        deployment.add_balancer(number)
    deployment.add_server(31)
    deployment.add_server(32)
    deployment.add_server(33, zone="b")
    await deployment.wait_ready(2, 3)


def get_evacuations(deployment: LoopbackDeployment, number: int) -> Evacuations:
    process = deployment.processes[number]
    if isinstance(process, BalancerProcess):
        return process.view.evacuations
    assert isinstance(process, AgentProcess)
    return process.evacuations


async def wait_for_zones(
    deployment: LoopbackDeployment,
    zones: set[str],
    numbers: tuple[int, ...] = (11, 12, *SERVERS),
) -> None:
    with trio.fail_after(EFFECT_LIMIT_S):
        await deployment.wait_for(
            lambda: all(
                get_evacuations(deployment, number).active_zones == zones
                for number in numbers
            )
        )


async def open_flows(deployment: LoopbackDeployment, ports: range) -> set[FlowOutcome]:
    return {await deployment.caller.open(port, ROUTE_ADDRESS) for port in ports}


def count_flows(deployment: LoopbackDeployment, *numbers: int) -> int:
    return sum(len(deployment.servers[number].flows) for number in numbers)


async def send_request(deployment: LoopbackDeployment, port: int) -> FlowOutcome:
    outcome, _ = await deployment.caller.request(port, ROUTE_ADDRESS, b"level")
    return outcome


def test_an_evacuated_zone_keeps_its_flows_and_gets_no_new_ones(
    run_scenario: RunScenario,
) -> None:
    async def scenario(deployment: LoopbackDeployment) -> None:
        await start_two_zones(deployment)
        before = range(4_000, 4_012)
        assert await open_flows(deployment, before) == {FlowOutcome.DONE}
        established = count_flows(deployment, 31, 32)
        assert established
        with capture_logs() as lines:
            deployment.store.evacuate_zone("a")
            await wait_for_zones(deployment, {"a"})
            assert await open_flows(deployment, range(4_100, 4_112)) == {
                FlowOutcome.DONE
            }
            assert count_flows(deployment, 31, 32) == established
            for port in before:
                assert await send_request(deployment, port) is FlowOutcome.DONE
            for number in (11, 31):
                gauges = deployment.processes[number].metrics.gauges
                assert gauges[MetricKey("evacuated_zones")] == 1
            deployment.store.restore_zone("a")
            # Agents of the zone get heartbeats at once, those of other zones when due.
            await wait_for_zones(deployment, set(), (11, 12, 31, 32))
            await wait_for_zones(deployment, set())
        for event in ("zone_evacuated", "zone_restored"):
            logged = [line for line in lines if line["event"] == event]
            assert len(logged) == 5
            assert {line["zone"] for line in logged} == {"a"}
            assert "store" in {line["source"] for line in logged}
        assert await open_flows(deployment, range(4_200, 4_212)) == {FlowOutcome.DONE}
        assert count_flows(deployment, 31, 32) > established

    run_scenario(scenario, 122)


def test_openings_are_refused_at_once_if_all_zones_are_evacuated(
    run_scenario: RunScenario,
) -> None:
    async def scenario(deployment: LoopbackDeployment) -> None:
        await start_two_zones(deployment)
        with capture_logs() as lines:
            deployment.store.evacuate_zone("a")
            deployment.store.evacuate_zone("b")
            await wait_for_zones(deployment, {"a", "b"})
            assert await open_flows(deployment, range(4_000, 4_004)) == {
                FlowOutcome.RESET
            }
        assert count_flows(deployment, *SERVERS) == 0
        refusals = [line for line in lines if line["event"] == "opening_refused"]
        assert {line["reason"] for line in refusals} == {"zones evacuated"}
        deployment.store.restore_zone("b")
        await wait_for_zones(deployment, {"a"})
        assert await open_flows(deployment, range(4_100, 4_104)) == {FlowOutcome.DONE}
        assert count_flows(deployment, 31, 32) == 0

    run_scenario(scenario, 123)


def test_agents_return_what_a_balancer_without_the_request_sends(
    run_scenario: RunScenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario(deployment: LoopbackDeployment) -> None:
        await start_two_zones(deployment)
        for name in ("merge", "accept_read"):
            unaware = get_evacuations(deployment, 12)
            monkeypatch.setattr(unaware, name, lambda *_: False)
        deployment.store.evacuate_zone("a")
        await wait_for_zones(deployment, {"a"}, (11, 31, 32))
        assert await open_flows(deployment, range(4_000, 4_020)) == {FlowOutcome.DONE}
        assert count_flows(deployment, 31, 32) == 0
        await trio.sleep(0.5)
        key = MetricKey("openings_returned_total", "evacuated")
        returned = [
            deployment.processes[number].metrics.counters[key] for number in (31, 32)
        ]
        assert sum(returned) > 0

    run_scenario(scenario, 124)


def test_restarted_processes_learn_the_request_while_the_store_is_down(
    run_scenario: RunScenario,
) -> None:
    async def scenario(deployment: LoopbackDeployment) -> None:
        await start_two_zones(deployment)
        deployment.store.evacuate_zone("a")
        await wait_for_zones(deployment, {"a"})
        deployment.store.fault = StoreFault.SILENT
        for number in (12, 31, 32):
            await deployment.kill(number)
        deployment.add_balancer(12)
        for number in (31, 32):
            deployment.add_agent(number)
        joiner = deployment.processes[12]
        assert isinstance(joiner, BalancerProcess)
        await deployment.wait_for(joiner.is_ready)
        assert joiner.view.evacuations.active_zones == {"a"}
        await wait_for_zones(deployment, {"a"})
        assert await open_flows(deployment, range(4_000, 4_012)) == {FlowOutcome.DONE}
        assert count_flows(deployment, 31, 32) == 0

    run_scenario(scenario, 125)


def test_a_first_balancer_reads_the_request_before_it_is_ready(
    run_scenario: RunScenario,
) -> None:
    async def scenario(deployment: LoopbackDeployment) -> None:
        deployment.store.evacuate_zone("a")
        await start_two_zones(deployment)
        for number in (11, 12):
            assert get_evacuations(deployment, number).active_zones == {"a"}
        assert await open_flows(deployment, range(4_000, 4_012)) == {FlowOutcome.DONE}
        assert count_flows(deployment, 31, 32) == 0

    run_scenario(scenario, 126)


def test_a_request_survives_a_copy_that_is_older(run_scenario: RunScenario) -> None:
    async def scenario(deployment: LoopbackDeployment) -> None:
        await start_two_zones(deployment)
        await trio.sleep(1.0)
        deployment.store.evacuate_zone("a")
        await wait_for_zones(deployment, {"a"})
        deployment.store.restore_copy(500)
        await deployment.wait_for(
            lambda: get_evacuations(deployment, 11).era == deployment.store.era
        )
        await trio.sleep(1.0)
        await wait_for_zones(deployment, {"a"})
        deployment.store.evacuate_zone("a")
        await trio.sleep(0.5)
        deployment.store.restore_zone("a")
        await wait_for_zones(deployment, set())

    run_scenario(scenario, 127)


def test_a_request_beside_a_configuration_that_cannot_be_decoded(
    run_scenario: RunScenario,
) -> None:
    async def scenario(deployment: LoopbackDeployment) -> None:
        await start_two_zones(deployment)
        deployment.store.write("op/config", b"{]")
        deployment.store.evacuate_zone("a")
        await wait_for_zones(deployment, {"a"})
        deployment.store.restore_zone("a")
        await wait_for_zones(deployment, set())

    run_scenario(scenario, 128)
