"""The request queue of an agent under any order of events.

Guards against requests that are held while a slot is free, delivered twice, lost, held
without a bound, or passed over by requests of lower priorities.
"""

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from citronwinch.coordination import FlowKey, ManualClock
from citronwinch.coordination.flows import (
    AgentFlows,
    DeliverToServer,
    ForwardedOpening,
    ForwardedPacket,
    Record,
    RouteClass,
)
from citronwinch.coordination.flows._caller_shares import CallerShares
from citronwinch.coordination.flows._flow_entry import FlowEntry, FlowState
from citronwinch.coordination.flows._request_queue import (
    DELIVERIES_PER_LOWER_PRIORITY,
    RequestQueue,
    make_held_request,
)
from citronwinch.coordination.flows._server_slots import ServerSlots
from citronwinch.coordination.flows._service_times import ServiceTimes
from citronwinch.coordination.flows.tests.conftest import make_packet

BALANCER = "10.0.1.1"
TICK_MS = 40
TIMEOUT_MS = 600
FLOWS = st.integers(0, 11)


class QueueMachine(RuleBasedStateMachine):
    """Random events around an agent, with the fate of each request by its number."""

    def __init__(self):
        super().__init__()
        self.clock = ManualClock(100_000)
        self.agent = AgentFlows("gauging", self.clock, knows_all_flows=True)
        self.requests = self.agent.requests
        self.requests.slots.slots = 2
        self.sent_ms = {}
        self.delivered = set()
        self.ended = set()
        """The numbers of the requests that expired or were dropped with their flow."""
        self.current = {}
        """The number of the latest request of each open flow."""
        self.next_number = 0
        self.inversions: list[bool] = []
        """For each delivery from a queue with several priorities, whether a higher
        one waited on."""
        remove_next = self.requests.queue.remove_next

        def watch_next():
            before = [r.route_class.priority for r in self.requests.queue.held.values()]
            request = remove_next()
            if len(set(before)) > 1:
                self.inversions.append(request.route_class.priority > min(before))
            return request

        self.requests.queue.remove_next = watch_next  # type: ignore[method-assign]

    def apply(self, actions, copy_of=None):
        for action in actions:
            if isinstance(action, DeliverToServer) and action.raw.isdigit():
                number = int(action.raw)
                assert number not in self.ended
                # A copy may be delivered only after its request.
                assert (number in self.delivered) == (number == copy_of)
                self.delivered.add(number)
            elif isinstance(action, Record) and action.event == "request_expired":
                assert action.packet is not None
                number = int(action.packet.raw)
                assert number not in self.delivered | self.ended
                self.ended.add(number)

    def forward(self, packet, copy_of=None):
        message = ForwardedPacket("gauging", packet.raw)
        self.apply(self.agent.handle_forwarded(message, packet, BALANCER), copy_of)

    def is_open(self, flow):
        return make_packet(flow).flow in self.agent.flows

    def is_held(self, flow):
        return make_packet(flow).flow in self.requests.queue.held

    def make_request(self, flow):
        number = self.current[flow]
        packet = make_packet(
            flow, sequence=1_000 + 100 * number, payload=100, acknowledged=501
        )
        return packet._replace(raw=b"%d" % number)

    def drop_current(self, flow):
        number = self.current.get(flow)
        if number is not None and number not in self.delivered:
            self.ended.add(number)

    @rule(flow=FLOWS, priority=st.integers(0, 2), objective_ms=st.integers(20, 400))
    def send(self, flow, priority, objective_ms):
        if not self.is_open(flow):
            opening = make_packet(flow, opening=True)
            route_class = RouteClass(priority, objective_ms, TIMEOUT_MS)
            message = ForwardedOpening("gauging", route_class, True, b"")
            self.agent.handle_forwarded(message, opening, BALANCER)
            acceptance = make_packet(flow, opening=True, sequence=500)
            self.agent.handle_from_server(acceptance)
        elif make_packet(flow).flow in self.requests.waiting:
            return
        number = self.next_number = self.next_number + 1
        self.current[flow] = number
        self.sent_ms[number] = self.clock.now_ms()
        self.forward(self.make_request(flow))

    @rule(flow=FLOWS)
    def resend(self, flow):
        number = self.current.get(flow)
        if number is None or number in self.ended or not self.is_open(flow):
            return
        held = self.is_held(flow)
        waiting = len(self.requests.waiting)
        self.forward(self.make_request(flow), copy_of=None if held else number)
        assert len(self.requests.waiting) == waiting

    @rule(flow=FLOWS)
    def answer(self, flow):
        if self.is_open(flow) and not self.is_held(flow):
            answer = make_packet(flow, payload=90)
            self.apply(self.agent.handle_from_server(answer))

    @rule(flow=FLOWS, by_server=st.booleans())
    def reset(self, flow, by_server):
        if not self.is_open(flow):
            return
        self.drop_current(flow)
        self.current.pop(flow, None)
        packet = make_packet(flow, reset=True, acknowledged=501)
        if by_server:
            self.apply(self.agent.handle_from_server(packet))
        else:
            self.forward(packet)

    @rule(duration_ms=st.integers(1, TICK_MS))
    def pass_time(self, duration_ms):
        self.clock.advance(duration_ms)
        self.apply(self.requests.release())
        self.agent.make_load_report()

    @rule()
    @precondition(lambda self: self.requests.queue.held)
    def pass_time_until_expiry(self):
        for _ in range(TIMEOUT_MS // TICK_MS):
            self.pass_time(TICK_MS)
        assert not self.requests.queue.held

    @invariant()
    def no_request_is_held_while_a_slot_is_free(self):
        assert not self.requests.queue.held or not self.requests.slots.has_free()

    @invariant()
    def each_request_is_held_delivered_or_ended(self):
        held = {
            int(request.packets[0].raw) for request in self.requests.queue.held.values()
        }
        assert not held & (self.delivered | self.ended)
        assert held | self.delivered | self.ended == set(self.sent_ms)

    @invariant()
    def no_request_is_held_beyond_its_timeout(self):
        for request in self.requests.queue.held.values():
            assert self.clock.now_ms() - request.received_ms < TIMEOUT_MS + TICK_MS

    @invariant()
    def lower_priorities_have_one_of_eight_turns(self):
        size = DELIVERIES_PER_LOWER_PRIORITY
        turns = self.inversions
        for start in range(max(0, len(turns) - 2 * size), len(turns)):
            assert sum(turns[start : start + size]) <= 1
        for start in range(len(turns) - size + 1):
            assert sum(turns[start : start + size]) == 1

    @invariant()
    def the_report_counts_held_and_running_requests(self):
        report = self.agent.make_load_report()
        assert report.queued == len(self.requests.queue.held) <= report.waiting


TestQueue = QueueMachine.TestCase
TestQueue.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None, derandomize=True
)


@pytest.fixture
def queue(clock: ManualClock) -> RequestQueue:
    times = ServiceTimes(clock)
    times.record_answer(30)
    slots = ServerSlots(clock, times)
    slots.slots = 1
    return RequestQueue(clock, times, CallerShares(clock), slots)


def hold(
    queue: RequestQueue, port: int, age_ms: int, priority: int = 1, caller: int = 7
) -> None:
    packet = make_packet(port)
    key = FlowKey(packet.flow[:1] + bytes((100, 64, 0, caller)) + packet.flow[5:])
    now_ms = queue.clock.now_ms()
    entry = FlowEntry(FlowState.OPEN, now_ms)
    route_class = RouteClass(priority, 400, 4_000)
    packet, received_ms = packet._replace(flow=key), now_ms - age_ms
    queue.add(make_held_request(packet, route_class, received_ms, received_ms, entry))


def take_order(queue: RequestQueue) -> list[int]:
    order = []
    while queue.held:
        order.append(int.from_bytes(queue.remove_next().flow[5:7], "big"))
    return order


@pytest.mark.parametrize(
    ("held", "order"),
    [
        pytest.param([(1, 10, 1), (2, 20, 1)], [2, 1], id="the oldest first"),
        pytest.param([(1, 300, 2), (2, 0, 1)], [2, 1], id="the priority first"),
        pytest.param(
            [(1, 500, 1), (2, 600, 1), (3, 100, 1)], [3, 1, 2], id="late ones last"
        ),
        pytest.param(
            [(1, 370, 1), (2, 371, 1), (3, 372, 1)], [1, 2, 3], id="late after 370 ms"
        ),
    ],
)
def test_requests_are_delivered_by_priority_and_lateness(
    queue: RequestQueue, held: list[tuple[int, int, int]], order: list[int]
) -> None:
    for port, age_ms, priority in held:
        hold(queue, port, age_ms, priority)
    assert take_order(queue) == order


def test_a_caller_above_its_share_comes_after_the_others(queue: RequestQueue) -> None:
    hold(queue, 1, 300, caller=8)
    hold(queue, 2, 50, caller=9)
    hold(queue, 3, 500, caller=10)
    queue.shares.charge(bytes((100, 64, 0, 8)), 700.0)
    assert take_order(queue) == [2, 1, 3]


def test_one_of_eight_deliveries_goes_to_a_lower_priority(queue: RequestQueue) -> None:
    for port in range(1, 21):
        hold(queue, port, 100 - port)
    hold(queue, 51, 500, priority=2)
    hold(queue, 52, 300, priority=3)
    hold(queue, 53, 200, priority=2)
    order = take_order(queue)
    # The oldest that can still be in time has the turn; the last one is late.
    assert (order[7], order[15]) == (52, 53)
    assert order[-1] == 51
