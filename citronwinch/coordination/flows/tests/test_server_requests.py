"""What an agent holds, delivers and drops around one request.

Guards against requests that are delivered twice, in the wrong order or never, packets
that are held although they complete no request, and held requests that look like
failures of the backend server.
"""

from typing import Any

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    AgentFlows,
    DeliverToServer,
    ForwardedOpening,
    ForwardedPacket,
    LoadReport,
    Measure,
    Packet,
    Record,
    ReturnedPacket,
    RouteClass,
    SendMessage,
    ServerCheck,
)
from citronwinch.coordination.flows._request_queue import HELD_REQUESTS_LIMIT
from citronwinch.coordination.flows.tests.conftest import REPORTING, make_packet

BALANCER = "10.0.1.1"
ROUTE_CLASS = RouteClass(1, 400, 4_000)
FIRST, SECOND, THIRD = 4000, 4001, 4002


@pytest.fixture
def agent(clock: ManualClock) -> AgentFlows:
    flows = AgentFlows("gauging", clock, knows_all_flows=True)
    flows.requests.slots.slots = 1
    return flows


@pytest.fixture
def busy_agent(agent: AgentFlows) -> AgentFlows:
    """An agent whose server's slot is occupied by a request of the flow FIRST."""
    for port in (FIRST, SECOND, THIRD):
        open_flow(agent, port)
    assert send(agent, FIRST) == [FIRST]
    return agent


def open_flow(
    agent: AgentFlows,
    port: int,
    route_class: RouteClass = ROUTE_CLASS,
    *,
    age_ms: int = 0,
) -> None:
    opening = make_packet(port, opening=True)
    message = ForwardedOpening("gauging", route_class, True, opening.raw, age_ms)
    agent.handle_forwarded(message, opening, BALANCER)
    agent.handle_from_server(make_packet(port, opening=True, sequence=500))
    forward(agent, make_packet(port, acknowledged=501))


def forward(agent: AgentFlows, packet: Packet) -> list[Action]:
    message = ForwardedPacket("gauging", packet.raw)
    return agent.handle_forwarded(message, packet, BALANCER)


def make_request(port: int, sequence: int = 100, **fields: Any) -> Packet:
    return make_packet(
        port, sequence=sequence, acknowledged=501, payload=50, **fields
    )._replace(raw=b"%d:%d" % (port, sequence))


def list_ports(actions: list[Action]) -> list[int]:
    """Return the ports of the requests that are delivered."""
    raws = [action.raw for action in actions if isinstance(action, DeliverToServer)]
    return [int(raw.partition(b":")[0]) for raw in raws if raw[:1].isdigit()]


def send(agent: AgentFlows, port: int, sequence: int = 100) -> list[int]:
    return list_ports(forward(agent, make_request(port, sequence)))


def answer(agent: AgentFlows, port: int, **fields: Any) -> list[int]:
    packet = make_packet(port, **{"payload": 90, **fields})
    return list_ports(agent.handle_from_server(packet))


def test_a_request_waits_until_a_slot_is_free(busy_agent: AgentFlows) -> None:
    assert send(busy_agent, SECOND) == []
    report = busy_agent.make_load_report()
    assert (report.waiting, report.queued) == (2, 1)
    assert answer(busy_agent, FIRST) == [SECOND]
    assert answer(busy_agent, SECOND) == []
    report = busy_agent.make_load_report()
    assert (report.waiting, report.queued) == (0, 0)


def test_the_wait_and_the_whole_time_are_measured(
    busy_agent: AgentFlows, clock: ManualClock
) -> None:
    send(busy_agent, SECOND)
    clock.advance(30)
    released = busy_agent.handle_from_server(make_packet(FIRST, payload=90))
    assert Measure("request_wait_ms", 30) in released
    clock.advance(20)
    answered = busy_agent.handle_from_server(make_packet(SECOND, payload=90))
    assert Measure("request_ms", 50) in answered
    assert busy_agent.make_load_report().service_ms == 25


def test_the_first_request_of_an_old_opening_goes_first(
    busy_agent: AgentFlows, clock: ManualClock
) -> None:
    # Guards against a retry that waits as long as a request that has just begun.
    open_flow(busy_agent, 4004, age_ms=208)
    send(busy_agent, SECOND)
    clock.advance(100)
    send(busy_agent, 4004)
    assert answer(busy_agent, FIRST) == [4004]
    assert answer(busy_agent, 4004) == [SECOND]
    # The age belongs to the first request of the flow alone.
    send(busy_agent, FIRST, 150)
    clock.advance(10)
    send(busy_agent, 4004, 150)
    assert answer(busy_agent, SECOND) == [FIRST]


def test_the_age_of_an_opening_ends_with_a_first_request_that_is_not_held(
    busy_agent: AgentFlows, clock: ManualClock
) -> None:
    # Guards against a second request that is ordered and expires by the opening's age.
    open_flow(busy_agent, 4004, age_ms=208)
    upload = make_request(4004)._replace(is_full_size=True)
    assert list_ports(forward(busy_agent, upload)) == [4004]
    answer(busy_agent, 4004)
    send(busy_agent, SECOND)
    clock.advance(10)
    send(busy_agent, 4004, 150)
    assert answer(busy_agent, FIRST) == [SECOND]


def test_the_highest_age_of_an_opening_counts_until_its_first_data(
    busy_agent: AgentFlows,
) -> None:
    open_flow(busy_agent, 4004, age_ms=608)
    open_flow(busy_agent, 4004, age_ms=192)
    entry = busy_agent.flows[make_packet(4004).flow]
    assert entry.opening_age_ms == 608
    send(busy_agent, 4004)
    open_flow(busy_agent, 4004, age_ms=800)
    assert entry.opening_age_ms == 0


def test_a_request_whose_caller_has_given_up_with_its_age_is_dropped(
    busy_agent: AgentFlows, clock: ManualClock
) -> None:
    open_flow(busy_agent, 4004, age_ms=2_000)
    send(busy_agent, 4004)
    clock.advance(2_000)
    (expired,) = busy_agent.requests.release()
    assert isinstance(expired, Record)
    assert expired.event == "request_expired"
    assert ("waited_ms", 4_000) in expired.fields
    # A caller that has not given up sends a copy, which is served.
    assert send(busy_agent, 4004) == [4004]


def test_the_age_of_an_opening_is_no_time_of_the_server(
    busy_agent: AgentFlows, clock: ManualClock
) -> None:
    # Guards against a server that fails requests at once and looks slow instead.
    open_flow(busy_agent, 4004, age_ms=2_000)
    send(busy_agent, 4004)
    answer(busy_agent, FIRST)
    clock.advance(20)
    answered = busy_agent.handle_from_server(make_packet(4004, payload=90))
    assert Measure("request_ms", 20) in answered


PASSED_THROUGH = [
    pytest.param(make_packet(SECOND, acknowledged=501), id="an acknowledgement"),
    pytest.param(
        make_request(SECOND)._replace(is_full_size=True), id="a packet of an upload"
    ),
    pytest.param(make_request(SECOND, finishing=True), id="the end of the flow"),
    pytest.param(make_packet(SECOND, reset=True, acknowledged=501), id="a reset"),
    pytest.param(make_packet(4003, opening=True), id="an opening"),
]


@pytest.mark.parametrize("packet", PASSED_THROUGH)
def test_packets_that_complete_no_request_are_not_held(
    busy_agent: AgentFlows, packet: Packet
) -> None:
    assert DeliverToServer(packet.raw) in forward(busy_agent, packet)


def test_only_the_last_packet_of_an_upload_is_held(
    busy_agent: AgentFlows, clock: ManualClock
) -> None:
    for sequence in (100, 1_300):
        part = make_request(SECOND, sequence)._replace(
            payload_bytes=1_200, is_full_size=True
        )
        assert list_ports(forward(busy_agent, part)) == [SECOND]
    assert send(busy_agent, SECOND, 2_500) == []
    clock.advance(30)
    assert answer(busy_agent, FIRST) == [SECOND]
    assert busy_agent.requests.slots.running.keys() == {make_packet(SECOND).flow}


def test_an_upload_that_ends_with_a_full_packet_does_not_count(
    agent: AgentFlows,
) -> None:
    for port in (FIRST, SECOND):
        open_flow(agent, port)
    full = make_request(FIRST)._replace(payload_bytes=1_200, is_full_size=True)
    assert list_ports(forward(agent, full)) == [FIRST]
    assert send(agent, SECOND) == [SECOND]


def test_a_copy_replaces_the_held_packet(busy_agent: AgentFlows) -> None:
    send(busy_agent, SECOND)
    copy = make_request(SECOND)._replace(raw=b"4001:copy")
    assert forward(busy_agent, copy) == []
    assert busy_agent.make_load_report().waiting == 2
    actions = busy_agent.handle_from_server(make_packet(FIRST, payload=90))
    assert DeliverToServer(b"4001:copy") in actions
    assert list_ports(actions) == [SECOND]


@pytest.mark.parametrize(
    ("after_ms", "delivered"),
    [
        pytest.param(150, [], id="sent because the request was held"),
        pytest.param(250, [SECOND], id="the delivery may have been lost"),
    ],
)
def test_a_copy_soon_after_the_delivery_is_not_delivered(
    busy_agent: AgentFlows, clock: ManualClock, after_ms: int, delivered: list[int]
) -> None:
    send(busy_agent, SECOND)
    clock.advance(30)
    assert answer(busy_agent, FIRST) == [SECOND]
    clock.advance(after_ms)
    assert send(busy_agent, SECOND) == delivered
    assert busy_agent.make_load_report().waiting == 1


def test_a_copy_of_an_answered_request_is_delivered(busy_agent: AgentFlows) -> None:
    # The answer was lost; the server repeats it. The copy is no new request.
    answer(busy_agent, FIRST)
    assert send(busy_agent, SECOND) == [SECOND]
    assert send(busy_agent, FIRST) == [FIRST]
    assert busy_agent.make_load_report().waiting == 1


def test_packets_of_one_flow_keep_their_order(busy_agent: AgentFlows) -> None:
    for sequence in (100, 200, 150):
        assert send(busy_agent, SECOND, sequence) == []
    actions = busy_agent.handle_from_server(make_packet(FIRST, payload=90))
    raws = [action.raw for action in actions if isinstance(action, DeliverToServer)]
    assert raws == [b"4001:100", b"4001:150", b"4001:200"]


@pytest.mark.parametrize("end", [{"reset": True}, {"finishing": True}])
@pytest.mark.parametrize("ended", [FIRST, SECOND])
def test_the_end_of_a_flow_by_its_caller_drops_its_request(
    busy_agent: AgentFlows, end: dict[str, bool], ended: int
) -> None:
    send(busy_agent, SECOND)
    actions = forward(busy_agent, make_packet(ended, acknowledged=501, **end))  # type: ignore[arg-type]
    assert list_ports(actions) == ([SECOND] if ended == FIRST else [])
    report = busy_agent.make_load_report()
    assert (report.waiting, report.queued) == (1, 0)
    # A held request says nothing about the server.
    assert (busy_agent.requests.outcome_meter.share > 0) is (ended == FIRST)
    remaining = SECOND if ended == FIRST else FIRST
    assert answer(busy_agent, remaining) == []


def test_a_reset_of_the_server_drops_the_request_of_the_flow(
    busy_agent: AgentFlows,
) -> None:
    send(busy_agent, SECOND)
    send(busy_agent, THIRD)
    assert answer(busy_agent, SECOND, reset=True, payload=0) == []
    assert answer(busy_agent, FIRST, reset=True, payload=0) == [THIRD]
    assert busy_agent.make_load_report().waiting == 1


def test_a_held_request_is_delivered_once_the_server_closes_its_flow(
    busy_agent: AgentFlows,
) -> None:
    # The server then refuses it, so that its caller can send it on another flow.
    send(busy_agent, SECOND)
    assert answer(busy_agent, SECOND, finishing=True, payload=0) == [SECOND]
    assert not busy_agent.requests.queue.held


def test_a_server_that_drains_answers_and_closes_one_flow_after_the_other(
    busy_agent: AgentFlows,
) -> None:
    send(busy_agent, SECOND)
    assert answer(busy_agent, FIRST, finishing=True) == [SECOND]
    assert answer(busy_agent, SECOND, finishing=True) == []
    assert busy_agent.make_load_report().waiting == 0


def test_a_repeated_answer_does_not_end_a_held_request(busy_agent: AgentFlows) -> None:
    send(busy_agent, SECOND)
    assert answer(busy_agent, SECOND) == []
    assert busy_agent.make_load_report().queued == 1
    assert answer(busy_agent, FIRST) == [SECOND]


def test_a_dead_server_ends_held_requests_with_their_flows(
    busy_agent: AgentFlows,
) -> None:
    send(busy_agent, SECOND)
    busy_agent.handle_server_check(ServerCheck.REFUSED)
    report = busy_agent.make_load_report()
    assert (report.waiting, report.queued, report.open_flows) == (0, 0, 0)


def test_held_requests_do_not_make_a_live_server_look_silent(
    busy_agent: AgentFlows, clock: ManualClock
) -> None:
    liveness = busy_agent.server_liveness
    deliveries = liveness.unanswered_deliveries
    for port in (SECOND, THIRD):
        send(busy_agent, port)
        send(busy_agent, port)
    assert liveness.unanswered_deliveries == deliveries
    clock.advance(3_100)
    busy_agent.make_load_report()
    # Only the delivered request counts as failed, although the others are as old.
    assert busy_agent.make_load_report().waiting == 2
    assert busy_agent.requests.outcome_meter.share == pytest.approx(0.08)


def test_a_request_that_fails_at_once_after_a_hold_counts_as_failed(
    busy_agent: AgentFlows, clock: ManualClock
) -> None:
    send(busy_agent, SECOND)
    clock.advance(30)
    answer(busy_agent, FIRST)
    clock.advance(1)
    before = busy_agent.requests.outcome_meter.read_failed_share()
    answer(busy_agent, SECOND)
    assert busy_agent.requests.outcome_meter.read_failed_share() > before
    assert busy_agent.make_load_report().service_ms == 30


def test_a_request_that_may_be_hung_leaves_its_slot(
    busy_agent: AgentFlows, clock: ManualClock
) -> None:
    send(busy_agent, SECOND)
    clock.advance(250)
    assert busy_agent.requests.release() == []
    clock.advance(1)
    assert list_ports(busy_agent.requests.release()) == [SECOND]
    # The server starts the second request after the first, in its own queue.
    clock.advance(50)
    answer(busy_agent, FIRST)
    clock.advance(20)
    answer(busy_agent, SECOND)
    assert busy_agent.requests.service_times.mean_ms == pytest.approx((301 + 20) / 2)


def test_an_expired_request_is_dropped_and_its_copy_counts_as_a_new_one(
    busy_agent: AgentFlows, clock: ManualClock
) -> None:
    short = RouteClass(1, 100, 200)
    open_flow(busy_agent, 4003, short)
    send(busy_agent, 4003)
    clock.advance(200)
    [expired] = busy_agent.requests.release()
    assert isinstance(expired, Record) and expired.event == "request_expired"
    assert busy_agent.make_load_report().waiting == 1
    assert send(busy_agent, 4003) == []
    assert busy_agent.make_load_report().queued == 1
    assert answer(busy_agent, FIRST) == [4003]


def test_a_request_after_one_that_was_never_answered_is_held_as_a_new_one(
    busy_agent: AgentFlows, clock: ManualClock
) -> None:
    # It was dropped as expired when its time counted from the earlier request.
    clock.advance(16_000)
    busy_agent.make_load_report()
    assert send(busy_agent, SECOND) == [SECOND]
    assert send(busy_agent, FIRST, 150) == []
    report = busy_agent.make_load_report()
    assert (report.waiting, report.queued) == (2, 1)
    assert answer(busy_agent, SECOND) == [FIRST]


def test_a_request_of_a_route_without_a_timeout_is_not_held(
    busy_agent: AgentFlows,
) -> None:
    open_flow(busy_agent, 4003, RouteClass(1, 0, 0))
    assert send(busy_agent, 4003) == [4003]


def test_a_stopping_agent_delivers_what_it_holds_and_holds_no_more(
    busy_agent: AgentFlows,
) -> None:
    send(busy_agent, SECOND)
    assert list_ports(busy_agent.requests.release_all()) == [SECOND]
    assert send(busy_agent, THIRD) == [THIRD]


def test_requests_beyond_the_limit_are_delivered(busy_agent: AgentFlows) -> None:
    ports = range(5_000, 5_000 + HELD_REQUESTS_LIMIT)
    for port in ports:
        open_flow(busy_agent, port)
        assert send(busy_agent, port) == []
    assert send(busy_agent, SECOND) == [SECOND]


@pytest.mark.parametrize(
    ("holds", "slots"),
    [
        pytest.param(False, 1, id="the settings turn the queue off"),
        pytest.param(True, 0, id="the slots of the server are unknown"),
    ],
)
def test_nothing_is_held_without_the_queue(
    clock: ManualClock, holds: bool, slots: int
) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=True, holds_requests=holds)
    agent.requests.slots.slots = slots
    for port in (FIRST, SECOND):
        open_flow(agent, port)
        assert send(agent, port) == [port]
    for port in (FIRST, SECOND):
        clock.advance(40)
        answer(agent, port)
    # The second request began when the first was answered.
    assert agent.make_load_report().service_ms == (40 if slots else 0)


def test_a_restarted_agent_holds_requests_once_it_knows_the_class_of_an_address(
    clock: ManualClock,
) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=False)
    agent.requests.slots.slots = 1
    for port in (FIRST, SECOND):
        # The server shows that it holds the flow, whose opening was not seen.
        agent.handle_from_server(make_packet(port))
        assert send(agent, port) == [port]
    open_flow(agent, THIRD)
    other = make_packet(FIRST, REPORTING)
    agent.handle_from_server(other)
    request = make_packet(FIRST, REPORTING, payload=50, acknowledged=501)
    assert DeliverToServer(request.raw) in forward(agent, request)
    agent.handle_from_server(make_packet(SECOND, payload=90))
    assert send(agent, SECOND, 150) == []


def test_a_trial_is_delivered_at_once_and_occupies_a_slot(clock: ManualClock) -> None:
    agent = AgentFlows("gauging", clock, knows_all_flows=False)
    agent.requests.slots.slots = 1
    open_flow(agent, FIRST)
    send(agent, FIRST)
    assert send(agent, SECOND) == [SECOND]
    clock.advance(30)
    answer(agent, FIRST)
    assert send(agent, FIRST, 150) == []
    clock.advance(20)
    assert answer(agent, SECOND) == [FIRST]


def fill(agent: AgentFlows, clock: ManualClock, held: int) -> None:
    """Let the agent learn 40 ms a request, and hold some requests."""
    for port in range(6_000, 6_001 + held):
        open_flow(agent, port)
    send(agent, 6_000)
    clock.advance(40)
    answer(agent, 6_000)
    for port in range(6_000, 6_001 + held):
        send(agent, port, 150)


@pytest.mark.parametrize(
    ("held", "is_last_choice", "priority", "is_returned"),
    [
        pytest.param(3, False, 1, False, id="160 ms of 400 ms"),
        pytest.param(5, False, 1, True, id="240 ms of 400 ms"),
        pytest.param(5, True, 1, False, id="the last choice"),
        pytest.param(5, False, 0, False, id="a higher priority goes first"),
        pytest.param(5, False, 2, True, id="a lower priority waits as well"),
    ],
)
def test_an_opening_is_returned_if_its_requests_would_wait_too_long(
    agent: AgentFlows,
    clock: ManualClock,
    held: int,
    is_last_choice: bool,
    priority: int,
    is_returned: bool,
) -> None:
    fill(agent, clock, held)
    opening = make_packet(7_000, opening=True)
    route_class = ROUTE_CLASS._replace(priority=priority)
    message = ForwardedOpening("gauging", route_class, is_last_choice, opening.raw)
    actions = agent.handle_forwarded(message, opening, BALANCER)
    if not is_returned:
        assert actions == [DeliverToServer(opening.raw)]
        return
    report, returned, reason = actions
    assert isinstance(report, SendMessage) and isinstance(report.message, LoadReport)
    assert (report.message.queued, report.message.service_ms) == (held, 40)
    assert returned == SendMessage(BALANCER, ReturnedPacket(opening.raw))
    assert isinstance(reason, Record) and reason.event == "opening_returned"
    assert opening.flow not in agent.flows


def test_a_copy_of_a_delivered_opening_is_not_returned(
    agent: AgentFlows, clock: ManualClock
) -> None:
    opening = make_packet(7_000, opening=True)
    message = ForwardedOpening("gauging", ROUTE_CLASS, False, opening.raw)
    agent.handle_forwarded(message, opening, BALANCER)
    fill(agent, clock, 8)
    actions = agent.handle_forwarded(message, opening, BALANCER)
    assert actions == [DeliverToServer(opening.raw)]


def test_a_new_incarnation_of_the_server_is_learned_afresh(
    agent: AgentFlows, clock: ManualClock
) -> None:
    fill(agent, clock, 0)
    assert agent.make_load_report().service_ms == 40
    agent.handle_server_start(5_000)
    assert agent.make_load_report().service_ms == 0
