"""The queue that spreads the packets of uploads over time on a thin link."""

from collections import Counter, defaultdict

import pytest
from hypothesis import given, strategies as st

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    SendMessage,
    ServerSelector,
    Verdict,
)
from citronwinch.coordination.flows._known_flows import KnownFlow, KnownFlows
from citronwinch.coordination.flows._upload_pacing import UploadPacing
from citronwinch.coordination.flows.tests.conftest import (
    REPORTING,
    list_forwards,
    make_packet,
)
from citronwinch.coordination.flows.tests.upload_packets import (
    THIN_LINK_MBPS,
    TICK_MS,
    list_packets,
    send_data,
    tick_for,
)


def carry(balancer: BalancerFlows, port: int, packets: int) -> list[Action]:
    """Send full-size packets on an open flow; return what is forwarded at once."""
    actions: list[Action] = []
    for _ in range(packets):
        actions += send_data(balancer, port, is_last=False)
    return actions


@pytest.fixture
def transferring(thin_balancer: BalancerFlows, clock: ManualClock) -> BalancerFlows:
    """Return a balancer that knows three flows with uploads, without an allowance."""
    for port in (4_000, 4_001, 4_002):
        packet = make_packet(port, REPORTING)
        known = KnownFlow("10.0.0.4", "reporting", clock.now_ms())
        known.has_large_request = True
        thin_balancer.flows.store(packet.flow, known)
    assert len(list_packets(carry(thin_balancer, 4_000, 16))) == 16
    return thin_balancer


def test_flows_take_turns(transferring: BalancerFlows, clock: ManualClock) -> None:
    """Guards against an upload that waits for the whole window of another one."""
    for port in (4_000, 4_001):
        assert carry(transferring, port, 8) == []
    raw = {
        port: make_packet(port, REPORTING, payload=1_200).raw for port in (4_000, 4_001)
    }
    forwarded = list_packets(tick_for(transferring, clock, 40))
    assert len(forwarded) == 8
    assert forwarded == [raw[4_000], raw[4_001]] * 4


def test_the_last_packet_stays_behind_the_others(
    transferring: BalancerFlows, clock: ManualClock
) -> None:
    carry(transferring, 4_000, 2)
    assert send_data(transferring, 4_000, is_last=True) == []
    forwarded = list_packets(tick_for(transferring, clock, 40))
    assert forwarded[-1] == make_packet(4_000, REPORTING, payload=700).raw
    assert len(forwarded) == 3


def test_packets_of_other_flows_pass_the_queue(transferring: BalancerFlows) -> None:
    carry(transferring, 4_000, 16)
    small = send_data(transferring, 4_001, is_last=True)
    assert len(list_packets(small)) == 1


def test_beyond_the_limit_the_oldest_flow_is_not_paced(
    transferring: BalancerFlows,
) -> None:
    """Guards against a queue that grows with copies that callers send."""
    carry(transferring, 4_001, 1)
    carry(transferring, 4_000, 40)
    carry(transferring, 4_001, 23)
    forwarded = list_packets(carry(transferring, 4_002, 1))
    assert forwarded == [make_packet(4_001, REPORTING, payload=1_200).raw] * 24
    assert transferring.pacing.queued_packets == 41


def test_an_opening_does_not_overtake_packets_of_its_port(
    transferring: BalancerFlows,
) -> None:
    """Guards against a reset of an earlier flow that ends the next one."""
    carry(transferring, 4_000, 3)
    opening = make_packet(4_000, REPORTING, opening=True)
    actions = transferring.handle_packet(opening)
    assert len(list_packets(actions)) == 3
    assert isinstance(actions[-1], SendMessage)


def test_queued_packets_follow_a_flow_that_moved(
    transferring: BalancerFlows, clock: ManualClock
) -> None:
    carry(transferring, 4_000, 3)
    transferring.flows[make_packet(4_000, REPORTING).flow].agent = "10.0.0.3"
    forwards = list_forwards(tick_for(transferring, clock, TICK_MS))
    assert forwards == [("10.0.0.3", "reporting")] * 3


def test_queued_packets_join_the_search_for_a_returned_one(
    transferring: BalancerFlows, clock: ManualClock
) -> None:
    """Guards against packets that go to an agent which has ruled the flow out.

    It would return them during the search, where returned packets are dropped.
    """
    queued = [
        make_packet(4_000, REPORTING, payload=1_200, sequence=sequence)
        for sequence in (1_200, 2_400, 3_600)
    ]
    for packet in queued:
        transferring.handle_packet(packet._replace(is_full_size=True))
    clock.advance(TICK_MS)
    returned = make_packet(4_000, REPORTING, payload=1_200, sequence=7)
    returned = returned._replace(is_full_size=True)
    actions = transferring.handle_returned(returned, "10.0.0.4")
    assert list_packets(actions) == []
    assert len(transferring.searches[returned.flow].held_packets) == 4
    answer = FlowAnswer(returned.flow, Verdict.HELD)
    actions = transferring.handle_answer(answer, "10.0.0.3")
    actions += tick_for(transferring, clock, 200)
    expected = [returned.raw, *[packet.raw for packet in queued]]
    assert list_packets(actions) == expected
    assert set(list_forwards(actions)) == {("10.0.0.3", "gauging")}


def test_a_stop_forwards_all_queued_packets(transferring: BalancerFlows) -> None:
    carry(transferring, 4_000, 5)
    carry(transferring, 4_001, 5)
    assert len(list_packets(transferring.pacing.stop())) == 10
    assert not transferring.pacing.queues
    assert len(list_packets(carry(transferring, 4_002, 20))) == 20


def test_a_frozen_balancer_resumes_with_one_window(
    transferring: BalancerFlows, clock: ManualClock
) -> None:
    carry(transferring, 4_000, 30)
    clock.advance(60_000)
    assert len(list_packets(transferring.tick())) == 16


@pytest.mark.parametrize("link_mbps", [50, 100, 1_000])
def test_nothing_is_paced_on_a_wide_link(
    view: DeploymentView, selector: ServerSelector, clock: ManualClock, link_mbps: int
) -> None:
    pacing = UploadPacing(clock, link_mbps, KnownFlows(clock), Counter())
    known = KnownFlow("10.0.0.4", "reporting", clock.now_ms())
    known.has_large_request = True
    packet = make_packet(4_000, REPORTING, payload=1_200)._replace(is_full_size=True)
    for _ in range(1_000):
        assert len(pacing.forward(known, packet)) == 1


@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.booleans(), st.integers(0, 30)), max_size=150
    )
)
def test_no_packet_is_lost_or_overtaken_on_its_flow(
    events: list[tuple[int, bool, int]],
) -> None:
    clock = ManualClock(100_000)
    flows = KnownFlows(clock)
    pacing = UploadPacing(clock, THIN_LINK_MBPS, flows, Counter())
    sent: dict[int, list[bytes]] = defaultdict(list)
    raw_owner: dict[bytes, int] = {}
    actions: list[Action] = []
    for sequence, (port, is_full, pause_ms) in enumerate(events):
        known = KnownFlow("10.0.0.4", "reporting", clock.now_ms())
        known.has_large_request = True
        payload = 1_200 if is_full else 100
        packet = make_packet(port + 1, REPORTING, sequence=sequence, payload=payload)
        sent[port].append(packet.raw)
        raw_owner[packet.raw] = port
        actions += pacing.forward(known, packet._replace(is_full_size=is_full))
        assert pacing.queued_packets <= 64
        clock.advance(pause_ms)
        actions += pacing.forward_due()
    actions += pacing.stop()
    received: dict[int, list[bytes]] = defaultdict(list)
    for raw in list_packets(actions):
        received[raw_owner[raw]].append(raw)
    assert received == sent
