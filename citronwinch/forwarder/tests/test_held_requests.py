"""Requests that an agent process holds, from caller to backend server and back.

Guards against processes that do not act on the decisions about held requests: an agent
that does not know the slots of its server, never ticks while it holds requests, or
stops with a request in its hands.
"""

import trio

from citronwinch.coordination import FlowKey
from citronwinch.coordination.flows import Heartbeat, StorePosition
from citronwinch.forwarder._agent_process import HELD_REQUESTS_TICK_MS, AgentProcess
from citronwinch.forwarder.tests.conftest import (
    ROUTE_ADDRESS,
    LoopbackDeployment,
    RunScenario,
    start_small_deployment,
)
from citronwinch.platform.standins import FlowOutcome

PORT = 4_000


async def find_busy_agent(deployment: LoopbackDeployment) -> AgentProcess:
    """Open a flow, and occupy the slot of its server with an unanswered request."""
    assert await deployment.caller.open(PORT, ROUTE_ADDRESS) is FlowOutcome.DONE
    [number] = [n for n in (31, 32) if deployment.servers[n].flows]
    agent = deployment.processes[number]
    assert isinstance(agent, AgentProcess)
    position = StorePosition(1, 1)
    heartbeat = Heartbeat(1, "a", False, position, 0, 0, 1, (), server_slots=1)
    agent.handle_message(heartbeat, f"{deployment.prefix}.11")
    agent.flows.requests.slots.record_delivery(FlowKey(bytes(13)), 0, 0)
    return agent


async def request(deployment: LoopbackDeployment) -> None:
    outcome, answer = await deployment.caller.request(PORT, ROUTE_ADDRESS, b"stock")
    assert (outcome, answer[-6:]) == (FlowOutcome.DONE, b":STOCK")


def test_a_held_request_is_delivered_by_a_tick(run_scenario: RunScenario) -> None:
    async def scenario(deployment: LoopbackDeployment) -> None:
        await start_small_deployment(deployment)
        agent = await find_busy_agent(deployment)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(request, deployment)
            queue = agent.flows.requests.queue
            await deployment.wait_for(lambda: bool(queue.held))
            assert agent.compute_tick_ms(is_idle=False) <= HELD_REQUESTS_TICK_MS
            assert sum(len(s.requests) for s in deployment.servers.values()) == 0
        await deployment.wait_for(
            lambda: b"citronwinch_requests_held_total 1" in agent.metrics.render()
        )
        assert b"citronwinch_request_wait_ms" in agent.metrics.render()

    run_scenario(scenario, 122)


def test_a_stopping_agent_delivers_the_requests_that_it_holds(
    run_scenario: RunScenario,
) -> None:
    async def scenario(deployment: LoopbackDeployment) -> None:
        await start_small_deployment(deployment)
        agent = await find_busy_agent(deployment)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(request, deployment)
            requests = agent.flows.requests
            await deployment.wait_for(lambda: bool(requests.queue.held))
            agent.begin_stop()
            assert not requests.queue.held and not requests.holds_requests

    run_scenario(scenario, 123)


def test_a_balancer_that_does_not_know_the_slots_changes_nothing(
    run_scenario: RunScenario,
) -> None:
    async def scenario(deployment: LoopbackDeployment) -> None:
        await start_small_deployment(deployment)
        agent = await find_busy_agent(deployment)
        heartbeat = Heartbeat(1, "a", False, StorePosition(1, 1), 0, 0, 1, ())
        agent.handle_message(heartbeat, f"{deployment.prefix}.12")
        assert agent.flows.requests.slots.slots == 1

    run_scenario(scenario, 124)
