"""Balancers whose seeds are outdated find each other through the agents.

Guards against fleets in which balancers that do not know each other take their own
knowledge for that of all.
"""

import pytest
import trio

from citronwinch.forwarder._balancer_process import BalancerProcess
from citronwinch.forwarder.tests.conftest import LoopbackDeployment, RunScenario

NOBODY = 99

SEEDS = {
    "nobody is at the seeds": {11: NOBODY, 12: NOBODY},
    "each is its own seed": {11: 11, 12: 12},
    "two groups with a seed each": {11: 11, 12: 11, 13: 13, 14: 13},
}


def know_each_other(deployment: LoopbackDeployment, numbers: list[int]) -> bool:
    addresses = {f"{deployment.prefix}.{number}" for number in numbers}
    processes = [deployment.processes[number] for number in numbers]
    return all(
        isinstance(process, BalancerProcess)
        and {process.settings.ip, *process.members.members} == addresses
        for process in processes
    )


# Balancers found each other at seeds alone. One that knew no other reset flows at
# servers which its listing did not have yet.
@pytest.mark.parametrize("case", SEEDS)
def test_balancers_find_each_other_through_agents(
    run_scenario: RunScenario, case: str
) -> None:
    async def scenario(deployment: LoopbackDeployment) -> None:
        deployment.add_server(21)
        for number, seed in SEEDS[case].items():
            deployment.add_balancer(number, seed=seed)
        with trio.fail_after(8):
            await deployment.wait_for(
                lambda: know_each_other(deployment, list(SEEDS[case]))
            )

    run_scenario(scenario, 111)


# A balancer that joins later finds the others at once, and not after its first search.
def test_a_joining_balancer_with_outdated_seeds_finds_the_others_soon(
    run_scenario: RunScenario,
) -> None:
    async def scenario(deployment: LoopbackDeployment) -> None:
        deployment.add_server(21)
        deployment.add_balancer(11, seed=NOBODY)
        existing = deployment.processes[11]
        await deployment.wait_for(existing.is_ready)
        deployment.add_balancer(12, seed=NOBODY)
        with trio.fail_after(2):
            await deployment.wait_for(lambda: know_each_other(deployment, [11, 12]))

    run_scenario(scenario, 100)
