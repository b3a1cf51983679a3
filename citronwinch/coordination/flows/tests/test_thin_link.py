"""Uploads through a balancer on a thin link, without a network.

Guards against a link that is filled by packets which callers send again because the
first copies still wait for the link, and against small packets that wait behind
uploads. Openings of uploads beyond the limit wait until another upload has ended, and
are refused when that would take too long.
"""

from collections import deque

import pytest

from citronwinch.coordination import ManualClock, unpack_flow_key
from citronwinch.coordination.flows import (
    Action,
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    Record,
    ServerSelector,
    Verdict,
)
from citronwinch.coordination.flows._upload_admission import (
    CALLER_RESEND_MS,
    CALLER_WINDOW_BYTES,
    UploadAdmission,
)
from citronwinch.coordination.flows.tests.conftest import (
    GAUGING,
    REPORTING,
    has_reset,
    list_forwards,
    make_configuration,
    make_listing,
    make_packet,
    make_route,
    make_server,
)

THIN_LINK_MBPS = 5
UPLOAD_BYTES = 80_000
TICK_MS = 20


@pytest.fixture
def thin_balancer(
    view: DeploymentView, selector: ServerSelector, clock: ManualClock
) -> BalancerFlows:
    uploads = make_route("manifests", REPORTING, "reporting")
    view.accept_configuration(
        make_configuration(
            2,
            make_route("boards", GAUGING, "gauging"),
            uploads._replace(has_large_requests=True, latency_objective_ms=1_000),
        )
    )
    return BalancerFlows(view, selector, clock, link_mbps=THIN_LINK_MBPS)


def send_data(balancer: BalancerFlows, port: int, *, is_last: bool) -> list[Action]:
    packet = make_packet(port, REPORTING, payload=700 if is_last else 1_200)
    return balancer.handle_packet(packet._replace(is_full_size=not is_last))


def place_uploads(balancer: BalancerFlows, ports: range) -> list[Action]:
    """Open flows on the upload route; return the actions that it caused."""
    return [
        action
        for port in ports
        for action in balancer.handle_packet(make_packet(port, REPORTING, opening=True))
    ]


def list_refusals(actions: list[Action]) -> list[dict[str, object]]:
    return [
        dict(action.fields)
        for action in actions
        if isinstance(action, Record) and action.event == "opening_refused"
    ]


def list_placed_ports(actions: list[Action]) -> list[int]:
    return [
        unpack_flow_key(action.packet.flow).caller.port
        for action in actions
        if isinstance(action, Record)
        and action.event == "opening_placed"
        and action.packet is not None
    ]


def test_uploads_beyond_the_link_are_held(thin_balancer: BalancerFlows) -> None:
    actions = place_uploads(thin_balancer, range(4_000, 4_003))
    assert list_placed_ports(actions) == [4_000]
    assert not has_reset(actions)
    assert thin_balancer.counters["openings_held"] == 2


def test_the_oldest_held_upload_follows_a_finished_one(
    thin_balancer: BalancerFlows, clock: ManualClock
) -> None:
    place_uploads(thin_balancer, range(4_000, 4_001))
    for port in (4_002, 4_001):
        place_uploads(thin_balancer, range(port, port + 1))
        clock.advance(5)
    assert list_placed_ports(send_data(thin_balancer, 4_000, is_last=False)) == []
    assert list_placed_ports(send_data(thin_balancer, 4_000, is_last=True)) == [4_002]
    assert thin_balancer.uploads.is_full()


def test_an_upload_that_stops_makes_room(
    thin_balancer: BalancerFlows, clock: ManualClock
) -> None:
    place_uploads(thin_balancer, range(4_000, 4_001))
    clock.advance(1_000)
    assert not thin_balancer.uploads.is_full()


def tick_for(balancer: BalancerFlows, clock: ManualClock, ms: int) -> list[Action]:
    actions: list[Action] = []
    for _ in range(0, ms, TICK_MS):
        clock.advance(TICK_MS)
        actions += balancer.tick()
    return actions


def test_held_uploads_without_a_chance_are_refused(
    thin_balancer: BalancerFlows, clock: ManualClock
) -> None:
    """Guards against uploads that wait in vain instead of trying elsewhere."""
    place_uploads(thin_balancer, range(4_000, 4_008))
    actions: list[Action] = []
    for _ in range(15):
        send_data(thin_balancer, 4_000, is_last=False)
        actions += tick_for(thin_balancer, clock, TICK_MS)
    refusals = list_refusals(actions)
    assert refusals
    for refusal in refusals:
        assert refusal["reason"] == "link full"
        assert refusal["ahead"] in range(1, 8)
        assert refusal["waited_ms"] in range(30, 400)
    assert len(thin_balancer.held_uploads.openings) == 7 - len(refusals) > 0


def test_the_next_held_upload_waits_for_its_whole_hold_time(
    thin_balancer: BalancerFlows, clock: ManualClock
) -> None:
    place_uploads(thin_balancer, range(4_000, 4_002))
    actions: list[Action] = []
    for _ in range(20):
        send_data(thin_balancer, 4_000, is_last=False)
        actions += tick_for(thin_balancer, clock, TICK_MS)
    assert list_refusals(actions)[0]["waited_ms"] == 400


def test_a_copy_of_a_held_upload_changes_nothing(
    thin_balancer: BalancerFlows,
) -> None:
    place_uploads(thin_balancer, range(4_000, 4_002))
    held = dict(thin_balancer.held_uploads.openings)
    copy = make_packet(4_001, REPORTING, opening=True, acknowledged=1)
    assert thin_balancer.handle_packet(copy) == []
    assert thin_balancer.held_uploads.openings == held


def test_an_upload_without_a_server_is_refused_with_that_reason(
    thin_balancer: BalancerFlows, view: DeploymentView, clock: ManualClock
) -> None:
    place_uploads(thin_balancer, range(4_000, 4_002))
    leaving = make_server(4, "reporting", leaving=True)
    view.accept_listing(make_listing(11, make_server(1), leaving), clock.now_ms())
    refusals = list_refusals(tick_for(thin_balancer, clock, TICK_MS))
    assert [refusal["reason"] for refusal in refusals] == ["no server left"]


def test_other_routes_are_placed_while_uploads_fill_the_link(
    thin_balancer: BalancerFlows,
) -> None:
    place_uploads(thin_balancer, range(4_000, 4_004))
    opening = make_packet(5_000, GAUGING, opening=True)
    assert list_placed_ports(thin_balancer.handle_packet(opening)) == [5_000]


def test_a_copy_of_an_accepted_opening_is_not_held(
    thin_balancer: BalancerFlows,
) -> None:
    place_uploads(thin_balancer, range(4_000, 4_002))
    copy = make_packet(4_000, REPORTING, opening=True, acknowledged=1)
    assert list_forwards(thin_balancer.handle_packet(copy))


@pytest.mark.parametrize("is_found", [False, True], ids=["searched", "found"])
def test_an_upload_found_by_a_search_counts(
    thin_balancer: BalancerFlows, *, is_found: bool
) -> None:
    """Guards against a link that moved uploads fill unseen."""
    send_data(thin_balancer, 4_000, is_last=False)
    flow = make_packet(4_000, REPORTING).flow
    if is_found:
        thin_balancer.handle_answer(FlowAnswer(flow, Verdict.HELD), "10.0.0.4")
        assert thin_balancer.flows[flow].has_large_request
    assert thin_balancer.uploads.count() == 1
    assert list_placed_ports(place_uploads(thin_balancer, range(4_001, 4_002))) == []
    if is_found:
        actions = send_data(thin_balancer, 4_000, is_last=True)
        assert list_placed_ports(actions) == [4_001]
        assert thin_balancer.uploads.count() == 1


def test_a_dead_upload_makes_room(
    thin_balancer: BalancerFlows, clock: ManualClock
) -> None:
    """Guards against uploads that wait for flows which the servers have lost."""
    send_data(thin_balancer, 4_000, is_last=False)
    place_uploads(thin_balancer, range(4_001, 4_002))
    flow = make_packet(4_000, REPORTING).flow
    actions: list[Action] = []
    for number in range(1, 5):
        answer = FlowAnswer(flow, Verdict.ABSENT)
        actions += thin_balancer.handle_answer(answer, f"10.0.0.{number}")
    actions += tick_for(thin_balancer, clock, TICK_MS)
    assert has_reset(actions)
    assert list_placed_ports(actions) == [4_001]


@pytest.mark.parametrize("link_mbps", [1, 5, 10, 20, 100, 1_000])
def test_windows_of_accepted_uploads_leave_the_link_short(
    clock: ManualClock, link_mbps: int
) -> None:
    limit = UploadAdmission(clock, link_mbps).limit
    pass_ms = 2 * limit * CALLER_WINDOW_BYTES / (link_mbps * 125)
    assert limit == 1 or pass_ms <= CALLER_RESEND_MS / 4
    next_pass_ms = pass_ms * (limit + 1) / limit
    assert next_pass_ms > CALLER_RESEND_MS / 4


def transfer(limit: int, arrivals_ms: deque[int]) -> tuple[int, int]:
    """Transfer uploads over a thin link shared by both directions.

    Callers send a window again that is not acknowledged within the resend time.
    Returns the uploads that took less than a second, and the refused ones.
    """
    bytes_per_ms = THIN_LINK_MBPS * 125
    active: dict[int, tuple[int, int]] = {}
    link: deque[tuple[int, int]] = deque()
    in_time = refused = sent_ms = 0
    for now_ms in range(30_000):
        while arrivals_ms and arrivals_ms[0] <= now_ms:
            arrived_ms = arrivals_ms.popleft()
            if len(active) >= limit:
                refused += 1
                continue
            active[arrived_ms] = (UPLOAD_BYTES, now_ms)
            link.append((arrived_ms, 2 * CALLER_WINDOW_BYTES))
        for key, (left, window_ms) in active.items():
            if now_ms - window_ms >= CALLER_RESEND_MS:
                link.append((key, 2 * CALLER_WINDOW_BYTES))
                active[key] = (left, now_ms)
        sent_ms += bytes_per_ms
        while link and sent_ms >= link[0][1]:
            key, size = link.popleft()
            sent_ms -= size
            if key not in active:
                continue
            left = active[key][0] - CALLER_WINDOW_BYTES
            if left > 0:
                active[key] = (left, now_ms)
                link.append((key, 2 * CALLER_WINDOW_BYTES))
                continue
            del active[key]
            in_time += now_ms - key <= 1_000
        sent_ms = min(sent_ms, bytes_per_ms) if not link else sent_ms
    return in_time, refused


def test_the_limit_keeps_a_crowded_thin_link_useful(clock: ManualClock) -> None:
    # Twelve callers come at once, then three a second: 80% of the link.
    def make_arrivals() -> deque[int]:
        crowd = range(12)
        return deque([*crowd, *range(1_000, 25_000, 333)])

    limit = UploadAdmission(clock, THIN_LINK_MBPS).limit
    in_time, refused = transfer(limit, make_arrivals())
    in_time_without, _ = transfer(1_000, make_arrivals())
    assert in_time_without < 0.2 * len(make_arrivals())
    assert in_time > 0.8 * len(make_arrivals())
    assert in_time + refused >= 0.95 * len(make_arrivals())
