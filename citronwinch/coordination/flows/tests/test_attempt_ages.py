"""The age that an opening is forwarded with, from copies, waits and earlier attempts.

Guards against agents that take an old request for a new one, against a new request on a
reused port that inherits the age of an earlier flow, and against memory that grows with
the number of callers.
"""

import pytest
from hypothesis import given, settings, strategies as st

from citronwinch.coordination import (
    Endpoint,
    FlowKey,
    ManualClock,
    TransportProtocol,
    pack_flow_key,
    pack_ip,
)
from citronwinch.coordination.flows import (
    Action,
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    ForwardedOpening,
    LoadReport,
    SendMessage,
    ServerSelector,
    Verdict,
)
from citronwinch.coordination.flows._attempt_ages import (
    CALLERS_LIMIT,
    NEXT_ATTEMPT_MS,
    AttemptAges,
)
from citronwinch.coordination.flows.tests.conftest import (
    GAUGING,
    has_reset,
    make_listing,
    make_packet,
    make_server,
)


def report_load(selector: ServerSelector, waiting: int) -> None:
    for number in (1, 2, 3):
        load = LoadReport("gauging", 0, waiting, 20, 1.0 if waiting else 0.0, True)
        selector.record_message(f"10.0.0.{number}", load)


def read_ages(actions: list[Action]) -> list[int]:
    return [
        action.message.age_ms
        for action in actions
        if isinstance(action, SendMessage)
        and isinstance(action.message, ForwardedOpening)
    ]


@pytest.mark.parametrize(
    ("copy", "age_ms"),
    [
        pytest.param(0, 0, id="the original"),
        pytest.param(1, 200, id="the first copy"),
        pytest.param(2, 600, id="the second copy"),
        pytest.param(9, 600, id="more copies than callers send"),
    ],
)
def test_a_copy_has_at_least_its_known_age(
    balancer: BalancerFlows, copy: int, age_ms: int
) -> None:
    actions = balancer.handle_packet(make_packet(opening=True, acknowledged=copy))
    assert read_ages(actions) == [age_ms]


def test_the_time_held_counts(
    balancer: BalancerFlows, selector: ServerSelector, clock: ManualClock
) -> None:
    report_load(selector, waiting=9)
    assert not balancer.handle_packet(make_packet(opening=True, acknowledged=1))
    clock.advance(150)
    report_load(selector, waiting=0)
    assert read_ages(balancer.tick()) == [350]


def test_copies_of_a_placed_opening_count_from_the_original(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    balancer.handle_packet(make_packet(opening=True))
    clock.advance(210)
    copy = make_packet(opening=True, acknowledged=1)
    assert read_ages(balancer.handle_packet(copy)) == [210]


def test_an_opening_that_an_agent_returned_keeps_its_age(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    packet = make_packet(opening=True, acknowledged=1)
    [sent] = [
        action
        for action in balancer.handle_packet(packet)
        if isinstance(action, SendMessage)
    ]
    clock.advance(30)
    assert read_ages(balancer.handle_returned(packet, sent.ip)) == [230]


def refuse_one(
    balancer: BalancerFlows, view: DeploymentView, clock: ManualClock, port: int
) -> None:
    """Refuse an opening because its only server leaves; then list the server again."""
    view.accept_listing(make_listing(11, make_server(1, leaving=True)), clock.now_ms())
    assert has_reset(balancer.handle_packet(make_packet(port, opening=True)))
    view.accept_listing(make_listing(12, make_server(1)), clock.now_ms())


@pytest.mark.parametrize(
    ("pause_ms", "age_ms"),
    [
        pytest.param(20, 20, id="the next attempt"),
        pytest.param(NEXT_ATTEMPT_MS + 1, 0, id="another request, much later"),
    ],
)
def test_the_next_attempt_of_a_refused_caller_has_the_age_of_the_first(
    balancer: BalancerFlows,
    view: DeploymentView,
    clock: ManualClock,
    pause_ms: int,
    age_ms: int,
) -> None:
    refuse_one(balancer, view, clock, 4_000)
    clock.advance(pause_ms)
    retry = make_packet(4_001, opening=True)
    assert read_ages(balancer.handle_packet(retry)) == [age_ms]
    other = make_packet(4_002, opening=True)
    assert read_ages(balancer.handle_packet(other)) == [0]


def test_a_third_attempt_has_the_age_of_the_first_one(
    balancer: BalancerFlows, view: DeploymentView, clock: ManualClock
) -> None:
    refuse_one(balancer, view, clock, 4_000)
    clock.advance(700)
    view.accept_listing(make_listing(13, make_server(1, leaving=True)), clock.now_ms())
    assert has_reset(balancer.handle_packet(make_packet(4_001, opening=True)))
    view.accept_listing(make_listing(14, make_server(1)), clock.now_ms())
    clock.advance(800)
    third = make_packet(4_002, opening=True)
    assert read_ages(balancer.handle_packet(third)) == [1_500]


def test_a_dead_flow_that_the_searches_reset_counts_as_an_attempt(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    since_ms = clock.now_ms() - 40
    balancer.searches.attempt_ages.record_ended(make_packet(4_000).flow, since_ms)
    retry = make_packet(4_001, opening=True)
    assert read_ages(balancer.handle_packet(retry)) == [40]


def test_a_new_flow_on_a_reused_port_does_not_inherit_an_age(
    balancer: BalancerFlows, clock: ManualClock
) -> None:
    packet = make_packet(opening=True)
    [sent] = [
        action
        for action in balancer.handle_packet(packet)
        if isinstance(action, SendMessage)
    ]
    balancer.handle_answer(FlowAnswer(packet.flow, Verdict.HELD), sent.ip)
    clock.advance(5_000)
    assert read_ages(balancer.handle_packet(packet)) == [0]


def make_flow(caller: int, port: int = 4_000, address: Endpoint = GAUGING) -> FlowKey:
    ip = pack_ip(f"100.64.{caller // 250}.{caller % 250 + 1}")
    service = pack_ip(address.ip)
    return pack_flow_key(TransportProtocol.TCP, ip, port, service, address.port)


def test_only_the_latest_attempt_of_a_caller_ages_one_flow(clock: ManualClock) -> None:
    ages = AttemptAges(clock)
    for age_ms in (300, 200, 100):
        ages.record_ended(make_flow(1), clock.now_ms() - age_ms)
    flows = [make_flow(1, port) for port in range(4_001, 4_004)]
    assert [ages.take_age_ms(flow) for flow in flows] == [100, 0, 0]


@settings(max_examples=25, deadline=None)
@given(
    callers=st.lists(st.integers(0, 5_999), max_size=400),
    takes=st.lists(st.integers(0, 5_999), max_size=50),
)
def test_the_number_of_remembered_callers_is_bounded(
    callers: list[int], takes: list[int]
) -> None:
    clock = ManualClock(10_000)
    ages = AttemptAges(clock)
    for caller in range(CALLERS_LIMIT):
        ages.record_ended(make_flow(caller), 9_000)
    for caller in callers:
        ages.record_ended(make_flow(caller), 9_500)
    for caller in takes:
        assert ages.take_age_ms(make_flow(caller)) in (0, 500, 1_000)
    assert len(ages.ended) <= CALLERS_LIMIT
