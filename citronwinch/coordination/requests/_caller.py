"""Requests of a caller: retransmission, retries and outcomes, for use in callers."""

import heapq
import random
from collections import Counter
from enum import Enum
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.requests._assembly import AnswerAssembly
from citronwinch.coordination.requests._metadata import (
    REQUEST_ID_BYTES,
    REQUEST_TIMEOUT_LIMIT_MS,
    RequestKind,
    RequestMetadata,
)
from citronwinch.coordination.requests._retries import RetryBudget, choose_backoff_ms

CALLER_RETRY_SHARE = 0.1
"""Retransmissions and retries that a caller may add per answered request."""

OPEN_CALLS_LIMIT = 1_024
"""The maximum number of calls of one caller that are in progress."""

ASSEMBLY_LIMIT_BYTES = 16 << 20
"""The maximum memory of all incomplete answers of one caller, in bytes."""

RETRANSMIT_AFTER_MS = 300
"""The wait for an answer before the first retransmission, in milliseconds."""

TIMERS_PER_CALL = 16
"""The number of timers per open call above which those of ended calls are removed."""


class RequestOutcome(Enum):
    """The outcome of a request as the caller knows it."""

    ANSWERED = "answered"
    """The request was run, and its whole answer has arrived."""

    NOT_RUN = "not_run"
    """The request was certainly not run and never will be."""

    UNKNOWN = "unknown"
    """The request may have been run."""


class SendRequest(NamedTuple):
    """Send a datagram to the service, on the caller's only flow."""

    metadata: RequestMetadata
    """The request header."""

    body: bytes
    """The bytes after the header."""


class CallEnded(NamedTuple):
    """The outcome of a call; each call ends once."""

    call: int
    """The number that `start` returned."""

    outcome: RequestOutcome
    """The outcome of the call's request."""

    body: bytes = b""
    """The whole answer; empty unless the outcome is `ANSWERED`."""

    retry_after_ms: int = 0
    """The wait before the caller may ask again, in milliseconds; 0: not specified."""


CallerAction = SendRequest | CallEnded
"""A datagram that the caller has to send, or the outcome of one of its calls."""


class Call:
    """One call in progress.

    `attempt_count` is the number of request ids that the call has used, and
    `transmission_count` how many times the request with the current id was sent.
    `retry_at_ms` is when a retry with a new id is due, None while the outcome of the
    current request is open.
    """

    def __init__(
        self, number: int, body: bytes, repeatable: bool, deadline_ms: int
    ) -> None:
        self.number = number
        self.body = body
        self.repeatable = repeatable
        self.deadline_ms = deadline_ms
        self.request_id = b""
        self.first_sent_ms = 0
        self.transmission_count = 0
        self.attempt_count = 0
        self.is_cancelled = False
        self.may_have_run = False
        self.retry_at_ms: int | None = None
        self.assembly = AnswerAssembly()


class CallerRequests:
    """Sends requests on one flow and determines the outcome of each.

    An unanswered request is retransmitted with the same id. The agent's duplicate
    window makes that safe even if the request is not repeatable. A repeatable request
    that was refused, or whose outcome is unknown, is retried under a new id.
    Retransmissions and retries share one budget, which grows with answers, and both
    stop at the deadline.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> requests = CallerRequests(ManualClock(), random.Random(1))
        >>> call, [sent] = requests.start(b"level of tank 7", timeout_ms=500)
        >>> answer = sent.metadata._replace(kind=RequestKind.ANSWER)
        >>> requests.receive(answer, b"4.2 m")[0].body
        b'4.2 m'
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        budget: RetryBudget | None = None,
        open_calls_limit: int = OPEN_CALLS_LIMIT,
        assembly_limit_bytes: int = ASSEMBLY_LIMIT_BYTES,
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.budget = budget or RetryBudget(CALLER_RETRY_SHARE)
        self.open_calls_limit = open_calls_limit
        self.assembly_limit_bytes = assembly_limit_bytes
        self.calls: dict[bytes, Call] = {}
        self.timers: list[tuple[int, int, bytes]] = []
        self.assembly_bytes = 0
        self.last_call_number = 0
        self.counters: Counter[str] = Counter()

    def start(
        self, body: bytes, timeout_ms: int, repeatable: bool = False
    ) -> tuple[int, list[CallerAction]]:
        """Start a call; return its number and the actions to carry out."""
        self.last_call_number += 1
        if len(self.calls) >= self.open_calls_limit:
            self.counters["refused_open_limit"] += 1
            ended = CallEnded(self.last_call_number, RequestOutcome.NOT_RUN)
            return self.last_call_number, [ended]
        timeout_ms = min(timeout_ms, REQUEST_TIMEOUT_LIMIT_MS)
        deadline_ms = self.clock.now_ms() + timeout_ms
        call = Call(self.last_call_number, body, repeatable, deadline_ms)
        return call.number, [self._send_new_request(call)]

    def cancel(self, number: int) -> list[CallerAction]:
        """Cancel a call; it still ends with an outcome, which may be an answer."""
        for call in self.calls.values():
            if call.number == number and not call.is_cancelled:
                call.is_cancelled = True
                if call.retry_at_ms is not None:
                    return self._end(call, RequestOutcome.NOT_RUN)
                return [SendRequest(self._make_metadata(call, RequestKind.CANCEL), b"")]
        return []

    def receive(self, metadata: RequestMetadata, body: bytes) -> list[CallerAction]:
        """Handle a datagram of the service."""
        call = self.calls.get(metadata.request_id)
        if call is None or call.retry_at_ms is not None:
            self.counters["foreign_parts"] += 1
            return []
        if metadata.kind is RequestKind.ANSWER:
            return self._accept_part(call, metadata, body)
        if metadata.kind in (RequestKind.NOT_RUN, RequestKind.SHED):
            outcome = RequestOutcome.NOT_RUN
        elif metadata.kind is RequestKind.UNKNOWN:
            outcome = RequestOutcome.UNKNOWN
        else:
            self.counters["unexpected_kind"] += 1
            return []
        return self._retry_or_end(call, outcome, metadata.remaining_ms)

    def advance(self) -> list[CallerAction]:
        """Handle the timers that are due: deadlines, retransmissions and retries."""
        now_ms = self.clock.now_ms()
        actions: list[CallerAction] = []
        while self.timers and self.timers[0][0] <= now_ms:
            _, _, request_id = heapq.heappop(self.timers)
            call = self.calls.get(request_id)
            if call is not None:
                actions += self._handle_timer(call, now_ms)
        return actions

    def next_timer_ms(self) -> int | None:
        """Return the time of the next `advance`; None when no call is in progress."""
        return self.timers[0][0] if self.calls and self.timers else None

    def _send_new_request(self, call: Call) -> SendRequest:
        call.request_id = self.rng.randbytes(REQUEST_ID_BYTES)
        call.first_sent_ms = self.clock.now_ms()
        call.transmission_count = 1
        call.attempt_count += 1
        call.retry_at_ms = None
        self.calls[call.request_id] = call
        self._add_timer(call, call.deadline_ms)
        self._schedule_retransmission(call)
        self.counters["sent"] += 1
        return SendRequest(self._make_metadata(call, RequestKind.REQUEST), call.body)

    def _make_metadata(self, call: Call, kind: RequestKind) -> RequestMetadata:
        now_ms = self.clock.now_ms()
        return RequestMetadata(
            kind,
            call.request_id,
            call.repeatable,
            max(1, call.deadline_ms - now_ms),
            age_ms=now_ms - call.first_sent_ms,
        )

    def _schedule_retransmission(self, call: Call) -> None:
        wait_ms = RETRANSMIT_AFTER_MS << min(call.transmission_count - 1, 8)
        jitter_ms = self.rng.randrange(wait_ms // 2 + 1)
        due_ms = self.clock.now_ms() + wait_ms + jitter_ms
        if due_ms < call.deadline_ms:
            self._add_timer(call, due_ms)

    def _add_timer(self, call: Call, due_ms: int) -> None:
        if len(self.timers) > TIMERS_PER_CALL * (len(self.calls) + 1):
            self.timers = [timer for timer in self.timers if timer[2] in self.calls]
            heapq.heapify(self.timers)
        heapq.heappush(self.timers, (due_ms, call.number, call.request_id))

    def _handle_timer(self, call: Call, now_ms: int) -> list[CallerAction]:
        if now_ms >= call.deadline_ms:
            is_retry_scheduled = call.retry_at_ms is not None
            return self._end(
                call,
                RequestOutcome.NOT_RUN
                if is_retry_scheduled
                else RequestOutcome.UNKNOWN,
            )
        if call.retry_at_ms is not None:
            if now_ms < call.retry_at_ms:
                return []
            del self.calls[call.request_id]
            self.counters["retries"] += 1
            return [self._send_new_request(call)]
        if not self.budget.try_withdraw():
            self._schedule_retransmission(call)
            return []
        call.transmission_count += 1
        self.counters["resent"] += 1
        self._schedule_retransmission(call)
        if call.is_cancelled:
            return [SendRequest(self._make_metadata(call, RequestKind.CANCEL), b"")]
        return [SendRequest(self._make_metadata(call, RequestKind.REQUEST), call.body)]

    def _accept_part(
        self, call: Call, metadata: RequestMetadata, body: bytes
    ) -> list[CallerAction]:
        before_bytes = call.assembly.used_bytes
        if self.assembly_bytes + len(body) > self.assembly_limit_bytes:
            self.counters["assembly_full"] += 1
            return self._end(call, RequestOutcome.UNKNOWN)
        rejected = call.assembly.accept(metadata.part, metadata.part_count, body)
        if rejected is not None:
            self.counters[rejected.reason] += 1
            is_too_long = rejected.reason == "answer_too_long"
            return self._end(call, RequestOutcome.UNKNOWN) if is_too_long else []
        self.assembly_bytes += call.assembly.used_bytes - before_bytes
        whole = call.assembly.find_body()
        if whole is None:
            return []
        self.budget.deposit()
        return self._end(call, RequestOutcome.ANSWERED, whole)

    def _retry_or_end(
        self, call: Call, outcome: RequestOutcome, retry_after_ms: int
    ) -> list[CallerAction]:
        if outcome is RequestOutcome.UNKNOWN or call.assembly.parts:
            call.may_have_run = True
        backoff_ms = choose_backoff_ms(call.attempt_count, self.rng)
        due_ms = self.clock.now_ms() + retry_after_ms + backoff_ms
        may_retry = (
            call.repeatable and not call.is_cancelled and due_ms < call.deadline_ms
        )
        if not may_retry or not self.budget.try_withdraw():
            return self._end(call, outcome, retry_after_ms=retry_after_ms)
        call.retry_at_ms = due_ms
        self.assembly_bytes -= call.assembly.used_bytes
        call.assembly = AnswerAssembly()
        self._add_timer(call, due_ms)
        return []

    def _end(
        self,
        call: Call,
        outcome: RequestOutcome,
        body: bytes = b"",
        retry_after_ms: int = 0,
    ) -> list[CallerAction]:
        del self.calls[call.request_id]
        self.assembly_bytes -= call.assembly.used_bytes
        if outcome is RequestOutcome.NOT_RUN and call.may_have_run:
            outcome = RequestOutcome.UNKNOWN
        self.counters[outcome.value] += 1
        return [CallEnded(call.number, outcome, body, retry_after_ms)]
