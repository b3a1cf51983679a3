"""The decisions about requests at the agent beside a backend server."""

import heapq
import random

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.requests._actions import (
    RETRY_AFTER_MS,
    Discard,
    EndGuestFlow,
    PassCancel,
    RequestAction,
    RequestArrival,
    RetryElsewhere,
    SendPart,
    StartRequest,
    tell_not_run,
    tell_unknown,
)
from citronwinch.coordination.requests._answers import AnswerKeeper
from citronwinch.coordination.requests._eras import RequestEras
from citronwinch.coordination.requests._hand_over import RecordExchange
from citronwinch.coordination.requests._metadata import (
    PACKET_LIFETIME_MS,
    REQUEST_TIMEOUT_LIMIT_MS,
    RequestKind,
    RequestMetadata,
)
from citronwinch.coordination.requests._open import OpenRequests
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
"""The time that a stopping agent leaves to a request with a longer timeout."""

ATTEMPT_LIMIT = 3
"""The most backend servers that one request is sent to."""


class AgentRequests:
    """Decides what becomes of each request at one agent.

    A packet with request metadata is first shown to `receive`. When that returns
    nothing, steering decides about the packet, and its decision comes back through
    `deliver` or `refuse`. What the backend server sends goes through `reply`, and
    `advance` is called regularly.

    A fresh agent answers unknown for requests that its former run may have seen;
    `take_over` brings the former run's records and ends that.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        source: random.Random,
        window: RequestWindow | None = None,
        keeper: AnswerKeeper | None = None,
        budget: RetryBudget | None = None,
    ) -> None:
        self.name = name
        self.clock = clock
        self.source = source
        self.window = window or RequestWindow(clock)
        self.keeper = keeper or AnswerKeeper()
        self.budget = budget or RetryBudget()
        self.eras = RequestEras(clock.now_ms())
        self.open = OpenRequests()
        self.retries: list[tuple[int, RequestKey]] = []
        self.refusals = RefusalFilter(clock)
        self.stops_at_ms: int | None = None
        self.records = RecordExchange(
            name, clock, self.window, self.open, self.eras, self.refusals
        )

    def receive(
        self, arrival: RequestArrival, is_known_flow: bool
    ) -> list[RequestAction]:
        """Return what to do about a packet by itself; nothing: steering decides."""
        known = self._find_known(arrival)
        if known:
            return known
        if not is_known_flow and arrival.moved_ms is None and self._is_former(arrival):
            return [tell_unknown(arrival.key, "former_run")]
        return []

    def deliver(
        self, arrival: RequestArrival, is_guest: bool = False
    ) -> list[RequestAction]:
        """Return what to do about a packet that steering gives to this agent.

        Steering may have held the packet while another copy was handled.
        """
        known = self._find_known(arrival)
        if known:
            return known
        if arrival.request.kind is RequestKind.CANCEL:
            return self.refuse(arrival, "cancelled")
        if arrival.request.kind is not RequestKind.REQUEST:
            return [Discard("unexpected_kind")]
        if self._is_former(arrival):
            return [tell_unknown(arrival.key, "former_run")]
        reason = self._find_refusal(arrival)
        if reason:
            return self.refuse(arrival, reason)
        return [self._start(arrival, is_guest)]

    def refuse(
        self,
        arrival: RequestArrival,
        reason: str,
        retry_after_ms: int = RETRY_AFTER_MS,
        is_final: bool = True,
    ) -> list[RequestAction]:
        """Refuse a request for good, and say "not run" only where that is certain.

        `is_final` says that steering refused as the one that decides for the flow.
        Elsewhere a copy may be running, as it may be when a former run of this agent
        saw the request, when steering held it for so long that its record may be
        gone, or when no tombstone fits: then the caller hears "unknown".
        """
        known = self._find_known(arrival)
        if known:
            return known
        request = arrival.request
        timeout_ms = request.remaining_ms or REQUEST_TIMEOUT_LIMIT_MS
        is_forgotten = self.window.forgot_until_ms > arrival.arrived_ms + timeout_ms
        if not is_final or is_forgotten or self._is_former(arrival):
            return [tell_unknown(arrival.key, reason, retry_after_ms)]
        now_ms = self.clock.now_ms()
        expires_ms = now_ms + timeout_ms + PACKET_LIFETIME_MS
        tombstone = RequestRecord(RequestState.REFUSED, now_ms, expires_ms)
        is_remembered = self.window.add(arrival.key, tombstone)
        if not is_remembered and timeout_ms <= REQUEST_TIMEOUT_LIMIT_MS:
            is_remembered = self.refusals.add(arrival.key)
        if not is_remembered:
            return [tell_unknown(arrival.key, "no_tombstone", retry_after_ms)]
        return [tell_not_run(arrival.key, reason, retry_after_ms)]

    def reply(
        self, flow: FlowKey, answer: RequestMetadata, payload: bytes
    ) -> list[RequestAction]:
        """Return what to do about a datagram of the backend server."""
        key = RequestKey(flow, answer.request_id)
        record = self.window.find(key)
        if record is None:
            return [Discard("foreign_part")]
        if record.state is not RequestState.STARTED:
            return [Discard("late_part")]
        if answer.kind is RequestKind.SHED:
            return self._shed(key, record)
        if answer.kind is not RequestKind.ANSWER:
            return [Discard("unexpected_kind")]
        if not self.keeper.accept_part(key, answer.part, answer.part_count, payload):
            return [Discard("doubled_part")]
        actions: list[RequestAction] = [SendPart(flow, payload)]
        if self.keeper.is_whole(key):
            self.budget.note_answer()
            actions += self._close(key, RequestState.ANSWERED)
        return actions

    def fail_delivery(self, key: RequestKey) -> list[RequestAction]:
        """React to a datagram that the kernel refused to send: it was not run."""
        if self.open.find(key) is None:
            return []
        ended = self._close(key, RequestState.REFUSED)
        return [tell_not_run(key, "undeliverable"), *ended]

    def fail_retry(self, key: RequestKey) -> list[RequestAction]:
        """React to a retry that found no other agent: the request was not run."""
        record = self.window.find(key)
        if record is None or record.state is not RequestState.MOVED:
            return []
        self.window.change(key, RequestState.REFUSED)
        return [tell_not_run(key, "shed")]

    def lose_flow(self, flow: FlowKey) -> list[RequestAction]:
        """React to a backend server that is gone: its open requests are unknown."""
        actions: list[RequestAction] = []
        for key in self.open.of_flow(flow):
            actions += self._give_up(key, "connection_lost")
        return actions

    def advance(self, arrived_ms: int) -> list[RequestAction]:
        """React to the passing of time.

        `arrived_ms` is the earliest time at which a packet that is still to be
        handled may have arrived.
        """
        now_ms = self.clock.now_ms()
        actions: list[RequestAction] = []
        for key in self.open.due_deadlines(now_ms):
            actions += self._give_up(key, "deadline")
        while self.retries and self.retries[0][0] <= now_ms:
            _, key = heapq.heappop(self.retries)
            actions += self._retry(key)
        for key in self.window.expire(arrived_ms):
            self.keeper.forget(key)
        self.refusals.expire(arrived_ms)
        self.eras.expire(now_ms)
        return actions

    def begin_flow(self, flow: FlowKey) -> None:
        """Note that a flow was taken over without its former owner's records."""
        self.eras.begin_flow(flow, self.clock.now_ms())

    def stop(self, at_ms: int) -> None:
        """Refuse requests that may not be finished at a time; open ones go on."""
        self.stops_at_ms = at_ms

    def is_idle(self) -> bool:
        """Whether no request is in progress."""
        return not len(self.open)

    def is_settled(self) -> bool:
        """Whether every request that is sent from now on will be served."""
        return self.eras.is_settled(self.clock.now_ms())

    def note_loss(self) -> None:
        """Note that a member of the service is gone and its records with it."""
        self.eras.note_loss(self.clock.now_ms())

    def _find_known(self, arrival: RequestArrival) -> list[RequestAction]:
        """Return what to do about a request that was decided; nothing: it is new."""
        record = self.window.find(arrival.key)
        if record is not None:
            if arrival.request.kind is RequestKind.CANCEL:
                return self._cancel_known(arrival, record)
            return self._repeat(arrival, record)
        if self.refusals.contains(arrival.key):
            return [tell_not_run(arrival.key, "tombstone")]
        return []

    def _is_former(self, arrival: RequestArrival) -> bool:
        return self.eras.is_former(
            arrival.flow,
            arrival.request,
            arrival.arrived_ms,
            arrival.opened_ms,
            arrival.moved_ms,
        )

    def _find_refusal(self, arrival: RequestArrival) -> str:
        """Return why a new request is not started, empty when it is."""
        timeout_ms = arrival.request.remaining_ms
        if timeout_ms > REQUEST_TIMEOUT_LIMIT_MS:
            return "timeout_too_long"
        if timeout_ms and self.clock.now_ms() >= arrival.arrived_ms + timeout_ms:
            return "expired"
        if self._ends_too_late(timeout_ms):
            return "stopping"
        if not self.window.has_room(RequestState.STARTED):
            return "window_full"
        return ""

    def _ends_too_late(self, timeout_ms: int) -> bool:
        needed_ms = min(timeout_ms or STOP_MARGIN_MS, STOP_MARGIN_MS)
        at_ms = self.stops_at_ms
        return at_ms is not None and self.clock.now_ms() + needed_ms > at_ms

    def _start(self, arrival: RequestArrival, is_guest: bool) -> StartRequest:
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
        self.open.add(arrival, is_guest)
        self.open.add_deadline(arrival.key, deadline_ms)
        return StartRequest(arrival.key, arrival.payload)

    def _repeat(
        self, arrival: RequestArrival, record: RequestRecord
    ) -> list[RequestAction]:
        key = arrival.key
        is_resent = self.window.note_age(key, arrival.request.age_ms)
        if record.state is RequestState.REFUSED:
            return [tell_not_run(key, "tombstone")]
        if not is_resent:
            return [Discard("doubled_request")]
        if record.state is RequestState.UNKNOWN:
            return [tell_unknown(key, "given_up")]
        parts = self.keeper.find_payloads(key)
        if record.state is not RequestState.ANSWERED or not parts:
            return [Discard("doubled_request")]
        return [SendPart(arrival.flow, payload) for payload in parts]

    def _cancel_known(
        self, arrival: RequestArrival, record: RequestRecord
    ) -> list[RequestAction]:
        key = arrival.key
        if record.state is RequestState.REFUSED:
            return [tell_not_run(key, "tombstone")]
        if record.state is RequestState.WAITING:
            ended = self._close(key, RequestState.REFUSED)
            return [tell_not_run(key, "cancelled"), *ended]
        if record.state is RequestState.STARTED:
            return [PassCancel(arrival.flow, arrival.payload)]
        return [Discard("late_cancel")]

    def _shed(self, key: RequestKey, record: RequestRecord) -> list[RequestAction]:
        if key in self.keeper.progress:
            return [Discard("late_part")]
        request = self.open.find(key)
        attempts = len(request.arrival.tried) + 1 if request else ATTEMPT_LIMIT
        due_ms = self.clock.now_ms() + choose_backoff_ms(attempts, self.source)
        may_retry = (
            request is not None
            and bool(request.arrival.payload)
            and attempts < ATTEMPT_LIMIT
            and due_ms < record.deadline_ms
            and self.budget.take()
        )
        if may_retry:
            self.window.change(key, RequestState.WAITING)
            heapq.heappush(self.retries, (due_ms, key))
            return []
        ended = self._close(key, RequestState.REFUSED)
        return [tell_not_run(key, "shed"), *ended]

    def _retry(self, key: RequestKey) -> list[RequestAction]:
        request = self.open.find(key)
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
        ended = self._close(key, RequestState.MOVED)
        return [RetryElsewhere(arrival._replace(request=metadata)), *ended]

    def _give_up(self, key: RequestKey, reason: str) -> list[RequestAction]:
        record = self.window.find(key)
        if record is None or record.state not in OPEN_STATES:
            return []
        if record.state is RequestState.WAITING:
            ended = self._close(key, RequestState.REFUSED)
            return [tell_not_run(key, "shed"), *ended]
        ended = self._close(key, RequestState.UNKNOWN)
        return [tell_unknown(key, reason), *ended]

    def _close(self, key: RequestKey, state: RequestState) -> list[RequestAction]:
        self.window.change(key, state)
        return [EndGuestFlow(key.flow)] if self.open.remove(key) else []
