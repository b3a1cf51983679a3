"""Settings that name another address of the store while balancers run.

Guards against balancers that go on asking the former address until they are restarted:
they followed no configuration and no listing any more once it had ended.
"""

import pytest
import trio

from citronwinch.coordination import Endpoint
from citronwinch.forwarder._balancer_process import BalancerProcess
from citronwinch.forwarder._process import SettingsChanged
from citronwinch.forwarder.tests.conftest import (
    OTHER_ROUTE_ADDRESS,
    ROUTE_ADDRESS,
    LoopbackDeployment,
    RunScenario,
)
from citronwinch.platform.standins import FlowOutcome, StandInStore

BALANCERS = (11, 12)
APPLY_LIMIT_S = 3.0
"""The time in which a new configuration must be in force, in seconds."""


def move_store(deployment: LoopbackDeployment) -> StandInStore:
    """Serve the store at another address too; the former one gets no more changes."""
    former = deployment.store
    moved = StandInStore(Endpoint(f"{deployment.prefix}.3", 21_169))
    moved.revision = moved.history_start = former.revision
    moved.items = dict(former.items)
    deployment.store = moved
    deployment.nursery.start_soon(moved.run)
    return moved


# Requests ran on a route that the operators had dropped.
@pytest.mark.parametrize("is_signalled", [True, False], ids=["signal", "file only"])
def test_balancers_follow_the_store_to_another_address(
    run_scenario: RunScenario, *, is_signalled: bool
) -> None:
    async def scenario(deployment: LoopbackDeployment) -> None:
        for number in BALANCERS:
            deployment.add_balancer(number)
        deployment.add_server(31)
        await deployment.wait_ready(2, 1)
        for number in BALANCERS:
            deployment.write_settings(number, deployment.format_balancer(number))
        moved = move_store(deployment)
        for number in BALANCERS:
            process = deployment.processes[number]
            deployment.write_settings(number, deployment.format_balancer(number))
            if is_signalled:
                process.handle_event(SettingsChanged())
        processes = [deployment.processes[number] for number in BALANCERS]

        def has_moved() -> bool:
            return all(
                isinstance(process, BalancerProcess)
                and process.view_exchange.store.address == moved.endpoint
                for process in processes
            )

        await deployment.wait_for(has_moved)
        moved.write_configuration(7, {ROUTE_ADDRESS: "gauging"})

        def has_arrived() -> bool:
            return all(
                isinstance(process, BalancerProcess)
                and process.view.configuration is not None
                and process.view.configuration.version == 7
                for process in processes
            )

        with trio.fail_after(APPLY_LIMIT_S):
            await deployment.wait_for(has_arrived)
        caller = deployment.caller
        assert await caller.open(4000, OTHER_ROUTE_ADDRESS) is FlowOutcome.RESET
        deployment.add_server(32)
        await deployment.wait_ready(2, 2)
        assert await caller.open(4001, ROUTE_ADDRESS) is FlowOutcome.DONE

    run_scenario(scenario, 131 if is_signalled else 132)
