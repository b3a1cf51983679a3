"""A reset of a flow says which servers it took as possible holders, and which not.

Guards against a reset that cannot be explained afterwards: whether the server of the
flow was unknown, or was left out because its agent was silent.
"""

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    BalancerFlows,
    DepartedServer,
    DeploymentView,
    FlowAnswer,
    Record,
    StorePosition,
    Verdict,
)
from citronwinch.coordination.flows._former_servers import (
    REMEMBERED_REMOVALS,
    FormerServers,
    RemovalReason,
)
from citronwinch.coordination.flows._search_records import LOGGED_AGENTS_LIMIT
from citronwinch.coordination.flows.tests.conftest import make_packet, make_server


def find_record(actions: list[Action], event: str) -> dict[str, object]:
    records = [a for a in actions if isinstance(a, Record) and a.event == event]
    assert len(records) == 1
    return dict(records[0].fields)


def deny_everywhere(balancer: BalancerFlows, port: int) -> list[Action]:
    packet = make_packet(port, payload=10)
    actions = balancer.handle_packet(packet)
    for number in (1, 2, 3, 4):
        if packet.flow in balancer.searches:
            answer = FlowAnswer(packet.flow, Verdict.ABSENT)
            actions += balancer.handle_answer(answer, f"10.0.0.{number}")
    return actions


def test_a_reset_records_the_possible_holders_and_the_listing(
    balancer: BalancerFlows,
) -> None:
    fields = find_record(deny_everywhere(balancer, 4001), "dead_flow_reset")
    assert (fields["holders"], fields["unasked"], fields["removed"]) == (3, [], [])
    assert fields["listing"] == tuple(StorePosition(1, 10))
    assert fields["is_former_complete"] is True
    assert fields["routes_known_for_ms"] == 60_000


def test_a_reset_records_the_former_servers_that_were_left_out(
    balancer: BalancerFlows, view: DeploymentView, clock: ManualClock
) -> None:
    view.accept_former([DepartedServer(make_server(9), 100)], "10.1.0.5", 60_000)
    view.remove_former(["s9"], RemovalReason.SERVER_ENDED)
    clock.advance(40)
    fields = find_record(deny_everywhere(balancer, 4002), "dead_flow_reset")
    assert fields["removed"] == ["10.0.0.9 server_ended 40"]
    assert fields["former_source"] == "10.1.0.5"


@pytest.mark.parametrize("service", ["gauging", "reporting"])
def test_recorded_removals_are_bounded_and_of_the_routes_services(
    clock: ManualClock, service: str
) -> None:
    former = FormerServers(clock)
    servers = [make_server(number) for number in range(10, 60)]
    former.record_missing(servers)
    former.remove([server.name for server in servers], RemovalReason.EXPIRED)
    described = former.describe_removals({service}, LOGGED_AGENTS_LIMIT)
    assert len(described) == (LOGGED_AGENTS_LIMIT if service == "gauging" else 0)
    assert len(former.take_unreported_removals()) == REMEMBERED_REMOVALS
    assert not former.take_unreported_removals()
    assert former.removal_counts[RemovalReason.EXPIRED] == len(servers)
