"""At-most-once execution of requests at the agent beside a backend server."""

import heapq
import random

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.requests._actions import (
    RETRY_AFTER_MS,
    DeliverCancel,
    Discard,
    EndGuestFlow,
    RequestAction,
    RequestArrival,
    RetryElsewhere,
    SendPart,
    StartRequest,
    make_not_run,
    make_unknown,
)
from citronwinch.coordination.requests._answer_cache import AnswerCache
from citronwinch.coordination.requests._completeness import RecordCompleteness
from citronwinch.coordination.requests._metadata import (
    PACKET_LIFETIME_MS,
    REQUEST_TIMEOUT_LIMIT_MS,
    RequestKind,
    RequestMetadata,
)
from citronwinch.coordination.requests._open_requests import OpenRequests
from citronwinch.coordination.requests._record_exchange import RecordExchange
from citronwinch.coordination.requests._records import (
    OPEN_STATES,
    RequestKey,
    RequestRecord,
    RequestState,
)
from citronwinch.coordination.requests._refusals import RefusalFilter
from citronwinch.coordination.requests._retries import RetryBudget, choose_backoff_ms
from citronwinch.coordination.requests._window import RequestWindow

STOP_MARGIN_MS = 5_000
"""The time before its stop that an agent reserves for a request, in milliseconds.

A request with a shorter timeout needs only that timeout.
"""

ATTEMPT_LIMIT = 3
"""The maximum number of backend servers that one request is sent to."""


class AgentRequests:
    """Runs each request of one agent at most once and reports its outcome.

    A packet with request metadata first goes to `receive`. When `receive` returns no
    actions, steering decides about the packet, and the caller of this class passes
    the decision to `deliver` or `refuse`. Datagrams of the backend server go to
    `reply`. `advance` has to be called regularly.

    After a restart the agent reports the outcome "unknown" for requests that its
    previous run may have received, until `record_exchange.accept_records` has restored
    the records of that run.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        rng: random.Random,
        window: RequestWindow | None = None,
        answer_cache: AnswerCache | None = None,
        budget: RetryBudget | None = None,
    ) -> None:
        self.name = name
        self.clock = clock
        self.rng = rng
        self.window = window or RequestWindow(clock)
        self.answer_cache = answer_cache or AnswerCache()
        self.budget = budget or RetryBudget()
        self.completeness = RecordCompleteness(clock.now_ms())
        self.open_requests = OpenRequests()
        self.retries: list[tuple[int, RequestKey]] = []
        self.refusals = RefusalFilter(clock)
        self.stops_at_ms: int | None = None
        self.record_exchange = RecordExchange(
            name,
            clock,
            self.window,
            self.open_requests,
            self.completeness,
            self.refusals,
        )

    def receive(
        self, arrival: RequestArrival, is_known_flow: bool
    ) -> list[RequestAction]:
        """Handle a packet before steering; no actions mean that steering decides."""
        actions = self._handle_known(arrival)
        if actions:
            return actions
        if (
            not is_known_flow
            and arrival.home_moved_ms is None
            and self._may_be_decided_elsewhere(arrival)
        ):
            return [make_unknown(arrival.key, "former_run")]
        return []

    def deliver(
        self, arrival: RequestArrival, is_guest: bool = False
    ) -> list[RequestAction]:
        """Handle a packet that steering assigned to this agent's backend server.

        The records are looked up again, because steering may have held the packet
        while another copy of the request was handled.
        """
        actions = self._handle_known(arrival)
        if actions:
            return actions
        if arrival.request.kind is RequestKind.CANCEL:
            return self.refuse(arrival, "cancelled")
        if arrival.request.kind is not RequestKind.REQUEST:
            return [Discard("unexpected_kind")]
        if self._may_be_decided_elsewhere(arrival):
            return [make_unknown(arrival.key, "former_run")]
        reason = self._find_refusal_reason(arrival)
        if reason:
            return self.refuse(arrival, reason)
        return [self._start_request(arrival, is_guest)]

    def refuse(
        self,
        arrival: RequestArrival,
        reason: str,
        retry_after_ms: int = RETRY_AFTER_MS,
        is_certain: bool = True,
    ) -> list[RequestAction]:
        """Refuse a request, and report "not run" only where that is certain.

        `is_certain` is steering's `Refuse.is_certain`: no other process can have
        delivered a copy of the packet. The outcome is "unknown" where a copy of the
        request may have run, or may still run:

        - steering is not certain, such as when another agent decides for the flow;
        - another process, such as a previous run of this agent, may have started or
          refused the request;
        - steering held the packet so long that the request's record may have expired;
        - there is no room for a tombstone.
        """
        actions = self._handle_known(arrival)
        if actions:
            return actions
        request = arrival.request
        timeout_ms = request.remaining_ms or REQUEST_TIMEOUT_LIMIT_MS
        may_be_expired = self.window.expired_until_ms > arrival.arrived_ms + timeout_ms
        if not is_certain or may_be_expired or self._may_be_decided_elsewhere(arrival):
            return [make_unknown(arrival.key, reason, retry_after_ms)]
        now_ms = self.clock.now_ms()
        expires_ms = now_ms + timeout_ms + PACKET_LIFETIME_MS
        tombstone = RequestRecord(RequestState.REFUSED, now_ms, expires_ms)
        is_stored = self.window.add(arrival.key, tombstone)
        if not is_stored and timeout_ms <= REQUEST_TIMEOUT_LIMIT_MS:
            is_stored = self.refusals.add(arrival.key)
        if not is_stored:
            return [make_unknown(arrival.key, "no_tombstone", retry_after_ms)]
        return [make_not_run(arrival.key, reason, retry_after_ms)]

    def reply(
        self, flow: FlowKey, answer: RequestMetadata, payload: bytes
    ) -> list[RequestAction]:
        """Handle a datagram of the backend server."""
        key = RequestKey(flow, answer.request_id)
        record = self.window.find(key)
        if record is None:
            return [Discard("foreign_part")]
        if record.state is not RequestState.STARTED:
            return [Discard("late_part")]
        if answer.kind is RequestKind.SHED:
            return self._handle_shed(key, record)
        if answer.kind is not RequestKind.ANSWER:
            return [Discard("unexpected_kind")]
        if not self.answer_cache.accept_part(
            key, answer.part, answer.part_count, payload
        ):
            return [Discard("doubled_part")]
        actions: list[RequestAction] = [SendPart(flow, payload)]
        if self.answer_cache.is_complete(key):
            self.budget.deposit()
            actions += self._close_request(key, RequestState.ANSWERED)
        return actions

    def fail_delivery(self, key: RequestKey) -> list[RequestAction]:
        """Handle a request datagram that the kernel refused to send: it was not run."""
        if self.open_requests.find(key) is None:
            return []
        cleanup = self._close_request(key, RequestState.REFUSED)
        return [make_not_run(key, "undeliverable"), *cleanup]

    def fail_retry(self, key: RequestKey) -> list[RequestAction]:
        """Handle a retry for which no other agent was found: it was not run."""
        record = self.window.find(key)
        if record is None or record.state is not RequestState.MOVED:
            return []
        self.window.set_state(key, RequestState.REFUSED)
        return [make_not_run(key, "shed")]

    def fail_flow(self, flow: FlowKey) -> list[RequestAction]:
        """Handle a flow that lost its backend server: open requests are unknown."""
        actions: list[RequestAction] = []
        for key in self.open_requests.find_by_flow(flow):
            actions += self._end_open_request(key, "connection_lost")
        return actions

    def advance(self, arrived_ms: int) -> list[RequestAction]:
        """Handle due deadlines and retries, and drop expired records.

        `arrived_ms` is the earliest time at which a packet that is not handled yet
        may have arrived.
        """
        now_ms = self.clock.now_ms()
        actions: list[RequestAction] = []
        for key in self.open_requests.pop_due(now_ms):
            actions += self._end_open_request(key, "deadline")
        while self.retries and self.retries[0][0] <= now_ms:
            _, key = heapq.heappop(self.retries)
            actions += self._retry(key)
        for key in self.window.expire(arrived_ms):
            self.answer_cache.remove(key)
        self.refusals.expire(arrived_ms)
        self.completeness.expire(now_ms)
        return actions

    def mark_flow_incomplete(self, flow: FlowKey) -> None:
        """Mark that a flow was adopted without the records of its previous owner."""
        self.completeness.mark_flow_incomplete(flow, self.clock.now_ms())

    def begin_stop(self, stops_at_ms: int) -> None:
        """Refuse new requests that may not finish by `stops_at_ms`.

        The records are transferred to the peers at that time. Open requests go on.
        """
        self.stops_at_ms = stops_at_ms

    def is_idle(self) -> bool:
        """Whether no request is in progress."""
        return not len(self.open_requests)

    def covers_new_requests(self) -> bool:
        """Whether the records cover every request that is sent from now on.

        Flows adopted without records, and flows opened after the loss of a member, are
        excepted.
        """
        return self.completeness.covers_new_requests(self.clock.now_ms())

    def mark_member_lost(self) -> None:
        """Mark that a member of the service is gone together with its records."""
        self.completeness.mark_member_lost(self.clock.now_ms())

    def _handle_known(self, arrival: RequestArrival) -> list[RequestAction]:
        """Handle a packet whose request has a record; no actions without a record."""
        record = self.window.find(arrival.key)
        if record is not None:
            if arrival.request.kind is RequestKind.CANCEL:
                return self._handle_cancel(arrival, record)
            return self._handle_copy(arrival, record)
        if self.refusals.contains(arrival.key):
            return [make_not_run(arrival.key, "tombstone")]
        return []

    def _may_be_decided_elsewhere(self, arrival: RequestArrival) -> bool:
        return self.completeness.may_be_decided_elsewhere(
            arrival.flow,
            arrival.request,
            arrival.arrived_ms,
            arrival.flow_opened_ms,
            arrival.home_moved_ms,
        )

    def _find_refusal_reason(self, arrival: RequestArrival) -> str:
        """Return why a new request cannot start; an empty string if it can."""
        timeout_ms = arrival.request.remaining_ms
        if timeout_ms > REQUEST_TIMEOUT_LIMIT_MS:
            return "timeout_too_long"
        if timeout_ms and self.clock.now_ms() >= arrival.arrived_ms + timeout_ms:
            return "expired"
        if self._may_end_too_late(timeout_ms):
            return "stopping"
        if not self.window.has_room(RequestState.STARTED):
            return "window_full"
        return ""

    def _may_end_too_late(self, timeout_ms: int) -> bool:
        needed_ms = min(timeout_ms or STOP_MARGIN_MS, STOP_MARGIN_MS)
        stops_at_ms = self.stops_at_ms
        return stops_at_ms is not None and self.clock.now_ms() + needed_ms > stops_at_ms

    def _start_request(self, arrival: RequestArrival, is_guest: bool) -> StartRequest:
        request = arrival.request
        timeout_ms = request.remaining_ms or REQUEST_TIMEOUT_LIMIT_MS
        expires_ms = self.clock.now_ms() + timeout_ms + PACKET_LIFETIME_MS
        deadline_ms = arrival.arrived_ms + timeout_ms
        record = RequestRecord(
            RequestState.STARTED,
            deadline_ms,
            expires_ms,
            request.repeatable,
            request.age_ms,
        )
        self.window.add(arrival.key, record)
        self.open_requests.add(arrival, is_guest)
        self.open_requests.add_deadline(arrival.key, deadline_ms)
        return StartRequest(arrival.key, arrival.payload)

    def _handle_copy(
        self, arrival: RequestArrival, record: RequestRecord
    ) -> list[RequestAction]:
        key = arrival.key
        is_retransmission = self.window.record_age(key, arrival.request.age_ms)
        if record.state is RequestState.REFUSED:
            return [make_not_run(key, "tombstone")]
        if not is_retransmission:
            return [Discard("doubled_request")]
        if record.state is RequestState.UNKNOWN:
            return [make_unknown(key, "given_up")]
        parts = self.answer_cache.find_datagrams(key)
        if record.state is not RequestState.ANSWERED or not parts:
            return [Discard("doubled_request")]
        return [SendPart(arrival.flow, payload) for payload in parts]

    def _handle_cancel(
        self, arrival: RequestArrival, record: RequestRecord
    ) -> list[RequestAction]:
        key = arrival.key
        if record.state is RequestState.REFUSED:
            return [make_not_run(key, "tombstone")]
        if record.state is RequestState.WAITING:
            cleanup = self._close_request(key, RequestState.REFUSED)
            return [make_not_run(key, "cancelled"), *cleanup]
        if record.state is RequestState.STARTED:
            return [DeliverCancel(arrival.flow, arrival.payload)]
        return [Discard("late_cancel")]

    def _handle_shed(
        self, key: RequestKey, record: RequestRecord
    ) -> list[RequestAction]:
        if key in self.answer_cache.progress:
            return [Discard("late_part")]
        request = self.open_requests.find(key)
        attempt_count = len(request.arrival.tried) + 1 if request else ATTEMPT_LIMIT
        due_ms = self.clock.now_ms() + choose_backoff_ms(attempt_count, self.rng)
        may_retry = (
            request is not None
            and bool(request.arrival.payload)
            and attempt_count < ATTEMPT_LIMIT
            and due_ms < record.deadline_ms
            and self.budget.try_withdraw()
        )
        if may_retry:
            self.window.set_state(key, RequestState.WAITING)
            heapq.heappush(self.retries, (due_ms, key))
            return []
        cleanup = self._close_request(key, RequestState.REFUSED)
        return [make_not_run(key, "shed"), *cleanup]

    def _retry(self, key: RequestKey) -> list[RequestAction]:
        request = self.open_requests.find(key)
        record = self.window.find(key)
        if request is None or record is None:
            return []
        if record.state is not RequestState.WAITING:
            return []
        arrival = request.arrival
        now_ms = self.clock.now_ms()
        metadata = arrival.request._replace(
            remaining_ms=record.deadline_ms - now_ms,
            age_ms=arrival.request.age_ms + now_ms - arrival.arrived_ms,
        )
        cleanup = self._close_request(key, RequestState.MOVED)
        return [RetryElsewhere(arrival._replace(request=metadata)), *cleanup]

    def _end_open_request(self, key: RequestKey, reason: str) -> list[RequestAction]:
        record = self.window.find(key)
        if record is None or record.state not in OPEN_STATES:
            return []
        if record.state is RequestState.WAITING:
            cleanup = self._close_request(key, RequestState.REFUSED)
            return [make_not_run(key, "shed"), *cleanup]
        cleanup = self._close_request(key, RequestState.UNKNOWN)
        return [make_unknown(key, reason), *cleanup]

    def _close_request(
        self, key: RequestKey, state: RequestState
    ) -> list[RequestAction]:
        self.window.set_state(key, state)
        return [EndGuestFlow(key.flow)] if self.open_requests.remove(key) else []
