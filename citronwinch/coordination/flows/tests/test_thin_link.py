"""Uploads through a balancer on a thin link, without a network.

Guards against a link that is filled by packets which callers send again because the
first copies still wait for the link, and against small packets that wait behind
uploads. Openings of uploads beyond the limit wait until another upload has ended, and
are refused when that would take too long.
"""

import statistics

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    Record,
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
    make_listing,
    make_packet,
    make_server,
)
from citronwinch.coordination.flows.tests.thin_link_model import (
    UPLOAD_PACKETS,
    ThinLinkModel,
    make_arrivals,
)
from citronwinch.coordination.flows.tests.upload_packets import (
    THIN_LINK_MBPS,
    TICK_MS,
    list_placed_ports,
    place_uploads,
    send_data,
    tick_for,
)


def list_refusals(actions: list[Action]) -> list[dict[str, object]]:
    return [
        dict(action.fields)
        for action in actions
        if isinstance(action, Record) and action.event == "opening_refused"
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


def test_uploads_that_can_be_in_time_are_first(
    thin_balancer: BalancerFlows, clock: ManualClock
) -> None:
    """Guards against uploads that wait behind others which are late anyway."""
    place_uploads(thin_balancer, range(4_000, 4_001))
    clock.advance(300)
    send_data(thin_balancer, 4_000, is_last=True)
    assert thin_balancer.uploads.mean_transfer_ms == 300
    place_uploads(thin_balancer, range(4_001, 4_002))
    place_uploads(thin_balancer, range(4_003, 4_004))
    clock.advance(1)
    held = thin_balancer.held_uploads
    flow = make_packet(4_003, REPORTING).flow
    times = held.openings[flow].times
    # An objective of 1,000 ms leaves 550 ms for the wait.
    for age_ms, is_first in ((550, True), (551, False)):
        attempt_ms = clock.now_ms() - age_ms
        held.openings[flow] = held.openings[flow]._replace(
            times=times._replace(first_ms=attempt_ms, attempt_ms=attempt_ms)
        )
        place_uploads(thin_balancer, range(4_004, 4_005))
        first = held.list_in_order()[0]
        assert (first.packet.flow == flow) is is_first


def test_an_upload_that_stops_makes_room(
    thin_balancer: BalancerFlows, clock: ManualClock
) -> None:
    place_uploads(thin_balancer, range(4_000, 4_001))
    clock.advance(1_000)
    assert not thin_balancer.uploads.is_full()


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


def test_a_pause_is_not_taken_for_a_standstill(
    thin_balancer: BalancerFlows, clock: ManualClock
) -> None:
    """Guards against refusals after a freeze, in which no upload could end."""
    place_uploads(thin_balancer, range(4_000, 4_005))
    tick_for(thin_balancer, clock, TICK_MS)
    clock.advance(300)
    assert not has_reset(thin_balancer.tick())
    clock.advance(100)
    refusals = list_refusals(thin_balancer.tick())
    assert {refusal["waited_ms"] for refusal in refusals} == {420}


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


def test_a_held_upload_that_proves_open_is_not_refused(
    thin_balancer: BalancerFlows, clock: ManualClock
) -> None:
    """Guards against a reset of a flow whose opening another balancer placed."""
    place_uploads(thin_balancer, range(4_000, 4_002))
    actions = send_data(thin_balancer, 4_001, is_last=False)
    assert not thin_balancer.held_uploads.openings
    for _ in range(25):
        send_data(thin_balancer, 4_000, is_last=False)
        actions += tick_for(thin_balancer, clock, TICK_MS)
    assert not has_reset(actions)


def test_an_admitted_upload_that_proves_open_is_not_refused(
    thin_balancer: BalancerFlows, clock: ManualClock
) -> None:
    """Guards against a reset of an open flow while its opening awaits a server."""
    place_uploads(thin_balancer, range(4_000, 4_002))
    flow = make_packet(4_001, REPORTING).flow
    held = thin_balancer.held_uploads.openings.pop(flow)
    thin_balancer.held_openings.hold_opening(held)
    thin_balancer.held_uploads.awaiting_server.add(flow)
    actions = send_data(thin_balancer, 4_001, is_last=False)
    assert not thin_balancer.held_openings.openings
    assert not has_reset(actions + tick_for(thin_balancer, clock, 500))


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


SEEDS = range(1, 13)
PACED_UPLOADS_PER_S = 0.4 * THIN_LINK_MBPS * 125_000 / (UPLOAD_PACKETS * 1_236)


def run_model(load: float, seed: int, *, is_former: bool = False) -> ThinLinkModel:
    model = ThinLinkModel(THIN_LINK_MBPS, is_former=is_former)
    arrivals_ms = make_arrivals(load * PACED_UPLOADS_PER_S, 20_000, seed)
    model.run(arrivals_ms, 23_000, small_per_s=60)
    return model


@pytest.mark.parametrize(
    "load",
    [
        pytest.param(0.7, id="0.7 of the paced share"),
        pytest.param(1.1, id="1.1 of the paced share"),
    ],
)
def test_small_packets_pass_beside_uploads(load: float) -> None:
    """Guards against small packets that wait behind uploads on a thin link."""
    in_time = former_in_time = 0
    for seed in SEEDS:
        model = run_model(load, seed)
        assert statistics.mean(model.small_waits_ms) <= 30
        assert max(model.small_waits_ms) <= 80
        assert not model.link
        in_time += model.count_in_time()
        former_in_time += run_model(load, seed, is_former=True).count_in_time()
    assert in_time >= former_in_time


def test_the_link_is_empty_after_a_burst() -> None:
    """Guards against a link that carries copies of what still waits for it."""
    model = ThinLinkModel(THIN_LINK_MBPS)
    model.run([0] * 10, 2_000, small_per_s=60)
    assert not model.link
    assert not model.balancer.pacing.queues
    finished = [caller for caller in model.callers.values() if caller.finished_ms]
    assert len(finished) >= 4
    assert model.sent_data_packets == UPLOAD_PACKETS * len(finished)
    failed = [caller for caller in model.callers.values() if caller.has_failed]
    assert len(failed) + len(finished) == 10


def test_the_limit_keeps_a_crowded_thin_link_useful() -> None:
    """Guards against uploads that are late or unanswered after a crowd."""
    # Twelve callers come at once, then three a second: the whole paced share.
    arrivals_ms = [*range(12), *range(1_000, 25_000, 333)]
    model = ThinLinkModel(THIN_LINK_MBPS)
    model.run(arrivals_ms, 30_000, small_per_s=60)
    refused = sum(caller.has_failed for caller in model.callers.values())
    assert model.count_in_time(1_000) > 0.8 * len(arrivals_ms)
    assert model.count_in_time() + refused >= 0.95 * len(arrivals_ms)

    unlimited = ThinLinkModel(THIN_LINK_MBPS)
    unlimited.balancer.uploads.limit = len(arrivals_ms)
    unlimited.balancer.pacing.is_active = False
    unlimited.run(arrivals_ms, 30_000, small_per_s=60)
    assert unlimited.count_in_time(1_000) < 0.2 * len(arrivals_ms)


def test_a_wide_link_serves_uploads_as_before() -> None:
    latencies_ms = []
    for is_former in (False, True):
        model = ThinLinkModel(100, is_former=is_former)
        model.run(make_arrivals(20, 3_000), 4_000, small_per_s=60)
        latencies_ms.append(
            [
                (caller.finished_ms or 0) - caller.started_ms
                for caller in model.callers.values()
            ]
        )
        assert model.balancer.counters["openings_held"] == 0
        assert model.balancer.counters["upload_packets_paced"] == 0
    assert latencies_ms[0] == latencies_ms[1]
