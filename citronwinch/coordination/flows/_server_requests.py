"""Decides when an agent hands each request to its backend server."""

from collections import Counter, OrderedDict

from citronwinch.coordination._address import FlowKey, extract_service_endpoint
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import (
    Action,
    DeliverToServer,
    Measure,
    Record,
    record,
)
from citronwinch.coordination.flows._busy_meter import BusyMeter
from citronwinch.coordination.flows._caller_shares import CallerShares, extract_caller
from citronwinch.coordination.flows._flow_entry import FlowEntry
from citronwinch.coordination.flows._outcome_meter import OutcomeMeter
from citronwinch.coordination.flows._packets import Packet
from citronwinch.coordination.flows._request_queue import (
    HeldRequest,
    RequestQueue,
    make_held_request,
)
from citronwinch.coordination.flows._route_class import RouteClass
from citronwinch.coordination.flows._server_liveness import ServerLiveness
from citronwinch.coordination.flows._server_slots import RunningRequest, ServerSlots
from citronwinch.coordination.flows._service_times import ServiceTimes

LATENCY_WEIGHT = 0.15
"""The weight of the newest answer in the moving average of the latency."""

REQUEST_TIMEOUT_MS = 3_000
"""A delivered request without an answer for this long no longer counts as waiting, in
milliseconds; for most kinds of requests the caller has given up by then."""

FIRST_RETRANSMISSION_MS = 200
"""The callers' first interval between copies of a packet, in milliseconds. A copy that
arrives sooner after the delivery of a held request was sent because the request was
held, and not because its delivery was lost."""

ROUTE_CLASSES_LIMIT = 4_096
"""The most service addresses whose class is kept; they take about 1 MB."""

MAX_OPENING_WAIT_SHARE = 0.5
"""The share of its latency objective that a request may wait at the server of its flow;
an opening whose requests would wait longer is returned."""


LONG_WAIT_REASON = "wait"
"""The reason of returned openings whose requests would wait too long."""


class ServerRequests:
    """The requests of callers to one backend server: held, delivered and answered."""

    def __init__(
        self, clock: Clock, server_liveness: ServerLiveness, *, holds_requests: bool
    ) -> None:
        self.clock = clock
        self.server_liveness = server_liveness
        self.holds_requests = holds_requests
        """Whether requests are held while no slot is free."""
        self.service_times = ServiceTimes(clock)
        self.shares = CallerShares(clock)
        self.slots = ServerSlots(clock, self.service_times)
        self.queue = RequestQueue(clock, self.service_times, self.shares, self.slots)
        self.route_classes: OrderedDict[bytes, RouteClass] = OrderedDict()
        """The latest class by service address, for flows whose opening was not seen."""
        self.waiting: OrderedDict[FlowKey, int] = OrderedDict()
        """The flows whose request waits for an answer, held ones included, with the
        time of its receipt or, after a hold, of its delivery."""
        self.latency_ms = 0.0
        self.busy_meter = BusyMeter(clock)
        self.outcome_meter = OutcomeMeter(clock)
        self.counters: Counter[str] = Counter()

    def record_class(self, flow: FlowKey, route_class: RouteClass) -> RouteClass:
        """Record the class of a service address; return the instance to store."""
        address = extract_service_endpoint(flow)
        known = self.route_classes.get(address)
        if known == route_class:
            # Many flows share one instance, which saves memory.
            return known
        self.route_classes[address] = route_class
        if len(self.route_classes) > ROUTE_CLASSES_LIMIT:
            self.route_classes.popitem(last=False)
        return route_class

    def find_long_wait(self, packet: Packet, route_class: RouteClass) -> Record | None:
        """Return the log record for the return of an opening; None to deliver it."""
        wait_ms = self.estimate_wait_ms(route_class.priority)
        objective_ms = route_class.latency_objective_ms
        if wait_ms <= MAX_OPENING_WAIT_SHARE * objective_ms:
            return None
        self.counters["openings_returned"] += 1
        return record(
            "opening_returned",
            packet,
            reason=LONG_WAIT_REASON,
            wait_ms=round(wait_ms),
            waiting=len(self.waiting),
            queued=len(self.queue.held),
            service_ms=self.service_times.service_ms,
            slots=self.slots.slots,
            priority=route_class.priority,
            objective_ms=objective_ms,
        )

    def estimate_wait_ms(self, priority: int) -> float:
        """Return how long a new request of a priority would wait; 0 if unknown."""
        slots, occupied = self.slots.slots, self.slots.count_occupied()
        if not slots or occupied < slots:
            return 0.0
        ahead = self.queue.count_ahead(priority) + occupied
        return (ahead - slots + 1) * self.service_times.service_ms / slots

    def handle_data(self, packet: Packet, entry: FlowEntry) -> list[Action]:
        """Deliver or hold a caller's packet with data of an open flow."""
        is_new = entry.has_new_data(packet)
        # A request that has timed out here does not delay the next one of its flow.
        if entry.record_data(packet) or (is_new and packet.flow not in self.waiting):
            entry.request_ms = self.clock.now_ms()
            self.waiting[packet.flow] = entry.request_ms
            self.busy_meter.record_waiting_requests(len(self.waiting))
        if packet.flow in self.queue.held:
            is_held = not packet.is_finishing and self.queue.add_packet(packet)
            return [] if is_held else [self._deliver(packet)]
        running = self.slots.running.get(packet.flow)
        if running is not None:
            if not is_new and self._is_early_copy(running):
                return []
            return [self._deliver(packet)]
        if is_new and _completes_request(packet):
            return self._hold_or_start(packet, entry)
        return [self._deliver(packet)]

    def deliver_trial(self, packet: Packet, entry: FlowEntry) -> list[Action]:
        """Deliver a packet of a flow that the server may not hold, without a delay."""
        if (
            packet.payload_bytes
            and entry.has_new_data(packet)
            and _completes_request(packet)
        ):
            entry.record_data(packet)
            self.slots.record_delivery(packet.flow, 0, 0)
        return [self._deliver(packet)]

    def _hold_or_start(self, packet: Packet, entry: FlowEntry) -> list[Action]:
        age_ms = entry.take_opening_age()
        address = extract_service_endpoint(packet.flow)
        route_class = entry.route_class or self.route_classes.get(address)
        now_ms = self.clock.now_ms()
        if (
            route_class is None
            or not route_class.timeout_ms
            or not self.holds_requests
            or not self.slots.slots
            or self.queue.is_full
            or (not self.queue.held and self.slots.has_free())
        ):
            return self._start(packet.flow, (packet,), wait_ms=0)
        received_ms = now_ms if entry.request_ms is None else entry.request_ms
        since_ms = received_ms - age_ms
        self.queue.add(make_held_request(packet, route_class, since_ms, now_ms, entry))
        self.counters["requests_held"] += 1
        return self.release()

    def release(self) -> list[Action]:
        """Drop the held requests that have expired; deliver others to free slots."""
        actions: list[Action] = []
        for request in self.queue.remove_expired():
            actions += self._drop_expired(request)
        while self.queue.held and self.slots.has_free():
            request = self.queue.remove_next()
            oldest = next(iter(self.queue.held.values()), request)
            if oldest.held_ms < request.held_ms:
                self.counters["requests_overtaken"] += 1
            actions += self._start_held(request)
        newest_first = self.queue.delivered_newest_first
        self.counters["requests_delivered_newest_first"] = newest_first
        return actions

    def release_all(self) -> list[Action]:
        """Deliver all held requests and hold no further ones; the agent stops."""
        self.holds_requests = False
        requests = list(self.queue.held.values())
        self.queue.held.clear()
        return [action for held in requests for action in self._start_held(held)]

    def _start_held(self, request: HeldRequest) -> list[Action]:
        now_ms = self.clock.now_ms()
        # Only the time after the delivery shows whether the server answers.
        self.waiting[request.flow] = now_ms
        self.waiting.move_to_end(request.flow)
        wait_ms = now_ms - request.held_ms
        actions = self._start(request.flow, request.packets, wait_ms)
        return [*actions, Measure("request_wait_ms", wait_ms)]

    def _start(
        self, flow: FlowKey, packets: tuple[Packet, ...], wait_ms: int
    ) -> list[Action]:
        charged_ms = self.service_times.service_ms
        if self.holds_requests:
            self.shares.charge(extract_caller(flow), charged_ms)
        self.slots.record_delivery(flow, wait_ms, charged_ms)
        return [self._deliver(packet) for packet in packets]

    def _deliver(self, packet: Packet) -> DeliverToServer:
        self.server_liveness.record_delivery()
        return DeliverToServer(packet.raw)

    def _drop_expired(self, request: HeldRequest) -> list[Action]:
        # The server has not received the request. A copy counts as a new request.
        request.entry.received_end = request.packets[0].sequence
        self._stop_waiting(request.flow, request.entry)
        self.counters["held_requests_expired"] += 1
        return [
            record(
                "request_expired",
                request.packets[0],
                waited_ms=self.clock.now_ms() - request.received_ms,
                priority=request.route_class.priority,
                timeout_ms=request.route_class.timeout_ms,
                held=len(self.queue.held),
                service_ms=self.service_times.service_ms,
            )
        ]

    def _is_early_copy(self, running: RunningRequest) -> bool:
        since_ms = self.clock.now_ms() - running.delivered_ms
        return running.wait_ms > 0 and since_ms < FIRST_RETRANSMISSION_MS

    def record_answer(self, flow: FlowKey, entry: FlowEntry) -> list[Action]:
        """Record data of the backend server; return the time that a request took."""
        if flow in self.queue.held:
            # A copy of the previous answer; the server has not received the request.
            return []
        now_ms = self.clock.now_ms()
        running = self.slots.end_request(flow)
        wait_ms = running.wait_ms if running is not None else 0
        if running is not None and running.started_ms is not None:
            service_ms = now_ms - running.started_ms
            self.service_times.record_answer(service_ms)
            if self.holds_requests and service_ms > running.charged_ms:
                more_ms = service_ms - running.charged_ms
                self.shares.charge(extract_caller(flow), more_ms)
        if entry.request_ms is None:
            return []
        latency_ms = now_ms - entry.request_ms
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)
        self.outcome_meter.record_answer(latency_ms - wait_ms)
        self._stop_waiting(flow, entry)
        return [Measure("request_ms", latency_ms)]

    def abandon(self, flow: FlowKey, entry: FlowEntry) -> None:
        """End the request of a flow that its caller has closed or reset."""
        if self.queue.remove(flow) is not None:
            self._stop_waiting(flow, entry)
        elif self.waiting.pop(flow, None) is not None:
            self.outcome_meter.record_outcome(seems_failed=True)
        self.slots.end_request(flow)

    def record_reset(self, flow: FlowKey) -> None:
        """Record that the backend server has reset a flow."""
        if flow in self.waiting and flow not in self.queue.held:
            self.outcome_meter.record_outcome(seems_failed=True)

    def release_flow(self, flow: FlowKey) -> list[Action]:
        """Deliver the held request of a flow that the backend server has closed.

        The server will not answer it, so that it occupies no slot.
        """
        self.slots.end_request(flow)
        request = self.queue.remove(flow)
        if request is None:
            return []
        return [self._deliver(packet) for packet in request.packets]

    def forget(self, flow: FlowKey) -> None:
        """Remove the request of a flow that is removed."""
        self.queue.remove(flow)
        self.slots.end_request(flow)
        self.waiting.pop(flow, None)

    def time_out(self) -> None:
        """Stop waiting for the answers of delivered requests that take too long."""
        now_ms = self.clock.now_ms()
        for flow, since_ms in list(self.waiting.items()):
            if now_ms - since_ms < REQUEST_TIMEOUT_MS:
                break
            if flow not in self.queue.held:
                del self.waiting[flow]
                self.outcome_meter.record_outcome(seems_failed=True)
        self.busy_meter.record_waiting_requests(len(self.waiting))

    def _stop_waiting(self, flow: FlowKey, entry: FlowEntry) -> None:
        entry.request_ms = None
        entry.take_opening_age()
        self.waiting.pop(flow, None)
        self.busy_meter.record_waiting_requests(len(self.waiting))


def _completes_request(packet: Packet) -> bool:
    """Return whether a packet with data is the last one of its request."""
    return not packet.is_full_size and not packet.is_finishing
