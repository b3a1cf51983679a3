"""All balancers restart while the store does not answer.

Guards against balancers that know nothing until the store is back, although agents and
backend servers have gone on: callers of open and of new flows wait in vain.
"""

import pytest
import trio

from citronwinch.forwarder._agent_process import AgentProcess
from citronwinch.forwarder._balancer_process import BalancerProcess
from citronwinch.forwarder.tests.conftest import (
    LoopbackDeployment,
    RunScenario,
    start_small_deployment,
)
from citronwinch.platform.standins import StoreFault


@pytest.mark.parametrize(
    ("fault", "network"),
    [
        pytest.param(StoreFault.BUSY, 119, id="the store refuses"),
        pytest.param(StoreFault.SILENT, 120, id="the store is silent"),
    ],
)
def test_a_restarted_balancer_gets_its_view_from_an_agent(
    run_scenario: RunScenario, fault: StoreFault, network: int
) -> None:
    async def scenario(deployment: LoopbackDeployment) -> None:
        await start_small_deployment(deployment, balancers=1)
        agents = [
            process
            for process in deployment.processes.values()
            if isinstance(process, AgentProcess)
        ]
        for agent in agents:
            agent.view_copy_exchange.copy.next_fetch_ms = 0
        await deployment.wait_for(
            lambda: all(agent.view_copy_exchange.copy.content for agent in agents)
        )
        deployment.store.fault = fault
        await deployment.kill(11)
        deployment.add_balancer(11)
        balancer = deployment.processes[11]
        assert isinstance(balancer, BalancerProcess)
        with trio.fail_after(2):
            await deployment.wait_for(lambda: balancer.view.is_complete)
        view = balancer.view
        assert view.configuration is not None and view.configuration.version == 1
        assert len(view.list_servers()) == len(agents)
        # What lapsed while the store was down must not end flows.
        assert not view.is_settled() or (view.age_ms or 0) < 1_500
        deployment.store.fault = StoreFault.NONE
        await deployment.wait_for(lambda: (view.age_ms or 9_999) < 700)

    run_scenario(scenario, network)


def test_an_agent_without_a_copy_says_so(run_scenario: RunScenario) -> None:
    async def scenario(deployment: LoopbackDeployment) -> None:
        await start_small_deployment(deployment, balancers=1)
        [agent, *_] = [
            process
            for process in deployment.processes.values()
            if isinstance(process, AgentProcess)
        ]
        balancer = deployment.processes[11]
        assert isinstance(balancer, BalancerProcess)
        agent.view_copy_exchange.copy.content = b""
        before = balancer.view.listing_digest
        await balancer.view_exchange._fetch_view(agent.settings.ip)
        errors = {key[0] for key in balancer.metrics.counters}
        assert "view_fetches_put_off_total" in errors
        assert balancer.view.listing_digest == before

    run_scenario(scenario, 121)
