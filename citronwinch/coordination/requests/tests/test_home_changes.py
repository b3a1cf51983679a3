"""Moves of a flow's home, and the requests that the new home must not run.

Guards against a new home that runs a request which the previous home refused: the
tombstone stays at the previous home.
"""

from citronwinch.coordination import Endpoint, FlowKey, TableRow, TransportProtocol
from citronwinch.coordination.requests import HomeChanges, RequestKind, StartRequest
from citronwinch.coordination.requests.tests.conftest import make_arrival

FLOWS = [FlowKey(bytes([17]) + number.to_bytes(12, "big")) for number in range(200)]


def make_rows(*numbers, weight=100):
    address = Endpoint("192.0.2.1", 1)
    return [
        TableRow(
            "gauging",
            TransportProtocol.UDP,
            address,
            f"gauging-{number}",
            address,
            "tas-south-a",
            weight,
            10,
        )
        for number in numbers
    ]


def find_moved_flows(homes):
    return [flow for flow in FLOWS if homes.find_last_move_ms(flow) is not None]


def test_only_flows_with_a_recent_move_are_found(clock):
    homes = HomeChanges(clock)
    homes.update_rows(make_rows(1, 2, 3))
    homes.update_rows(make_rows(1, 2, 3, weight=50))
    assert find_moved_flows(homes) == []
    homes.update_rows(make_rows(1, 2, 3, 4))
    assert 0 < len(find_moved_flows(homes)) < len(FLOWS) // 2
    clock.advance(65_001)
    assert find_moved_flows(homes) == []
    homes.update_rows([*make_rows(1, 2, 3), *make_rows(4, weight=0)])
    assert 0 < len(find_moved_flows(homes)) < len(FLOWS) // 2
    clock.advance(65_000)
    assert find_moved_flows(homes)
    clock.advance(1)
    assert find_moved_flows(homes) == []


def test_move_and_return_counts_as_a_move(clock):
    homes = HomeChanges(clock)
    homes.update_rows(make_rows(1, 2, 3))
    homes.update_rows(make_rows(1, 2, 3, 4))
    moved_flows = find_moved_flows(homes)
    homes.update_rows(make_rows(1, 2, 3))
    assert find_moved_flows(homes) == moved_flows


def test_new_home_runs_no_request_that_the_previous_home_may_have_refused(
    clock, requests
):
    home_moved_ms = clock.now_ms()
    late = make_arrival(clock)._replace(home_moved_ms=home_moved_ms)
    assert requests.receive(late, is_known_flow=False) == []
    assert requests.deliver(late)[0].reason == "former_run"
    refused = requests.refuse(late, "full")[0]
    assert (refused.kind, refused.reason) == (RequestKind.UNKNOWN, "full")
    opened = late._replace(flow_opened_ms=home_moved_ms + 100)
    assert requests.deliver(opened)[0].reason == "former_run"
    before = late._replace(flow_opened_ms=home_moved_ms - 10_000)
    assert isinstance(requests.deliver(before)[0], StartRequest)
