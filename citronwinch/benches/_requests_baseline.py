"""The baseline: every copy is delivered, and a caller retries on a timeout."""

from collections import Counter

from citronwinch.coordination import Clock, FlowKey
from citronwinch.coordination.requests import (
    CallEnded,
    CallerAction,
    DeliverCancel,
    RequestAction,
    RequestArrival,
    RequestKind,
    RequestMetadata,
    RequestOutcome,
    RequestRecords,
    SendOutcome,
    SendPart,
    SendRequest,
    StartRequest,
)

RETRY_AFTER_MS = 300
"""The wait for an answer before each retry, in milliseconds."""


class ThinAgentRequests:
    """An agent that remembers nothing about requests."""

    @property
    def record_exchange(self) -> "ThinAgentRequests":
        """Itself: there are no records to transfer."""
        return self

    def receive(
        self, arrival: RequestArrival, is_known_flow: bool
    ) -> list[RequestAction]:
        """Leave every packet to steering."""
        return []

    def deliver(
        self, arrival: RequestArrival, is_guest: bool = False
    ) -> list[RequestAction]:
        """Deliver every copy."""
        if arrival.request.kind is RequestKind.CANCEL:
            return [DeliverCancel(arrival.flow, arrival.payload)]
        return [StartRequest(arrival.key, arrival.payload)]

    def refuse(self, arrival: RequestArrival, reason: str) -> list[RequestAction]:
        """Say that the copy was not run."""
        return [SendOutcome(arrival.key, RequestKind.NOT_RUN, reason, 0)]

    def reply(
        self, flow: FlowKey, answer: RequestMetadata, payload: bytes
    ) -> list[RequestAction]:
        """Pass every datagram on."""
        return [SendPart(flow, payload)]

    def advance(self, arrived_ms: int) -> list[RequestAction]:
        """Do nothing."""
        return []

    def make_transfer(self, flow: FlowKey | None = None) -> list[RequestRecords]:
        """Return nothing: there are no records to transfer."""
        return []

    def accept_records(self, message: RequestRecords) -> None:
        """Ignore the records."""

    def mark_flow_incomplete(self, flow: FlowKey) -> None:
        """Ignore the change of owner."""


class ThinCall:
    """A call of the baseline caller."""

    def __init__(self, number: int, sent: SendRequest, deadline_ms: int) -> None:
        self.number = number
        self.sent = sent
        self.deadline_ms = deadline_ms
        self.resend_ms = 0
        self.parts: list[bytes] = []


class ThinCaller:
    """A caller that retries on a timeout and matches answers by their flow alone."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.calls: list[ThinCall] = []
        self.counters: Counter[str] = Counter()
        self.last_call = 0

    def start(
        self, body: bytes, timeout_ms: int, repeatable: bool = False
    ) -> tuple[int, list[CallerAction]]:
        """Begin a call."""
        self.last_call += 1
        self.counters["sent"] += 1
        request_id = body[:16].ljust(16)
        metadata = RequestMetadata(
            RequestKind.REQUEST, request_id, repeatable, timeout_ms
        )
        now_ms = self.clock.now_ms()
        sent = SendRequest(metadata, body)
        call = ThinCall(self.last_call, sent, now_ms + timeout_ms)
        call.resend_ms = now_ms + RETRY_AFTER_MS
        self.calls.append(call)
        return call.number, [sent]

    def cancel(self, number: int) -> list[CallerAction]:
        """Send a cancellation."""
        return [
            SendRequest(call.sent.metadata._replace(kind=RequestKind.CANCEL), b"")
            for call in self.calls
            if call.number == number
        ]

    def receive(self, metadata: RequestMetadata, body: bytes) -> list[CallerAction]:
        """Give the datagram to the oldest call."""
        if not self.calls:
            return []
        call = self.calls[0]
        if metadata.kind is not RequestKind.ANSWER:
            del self.calls[0]
            return [CallEnded(call.number, RequestOutcome.NOT_RUN)]
        call.parts.append(body)
        if len(call.parts) < metadata.part_count:
            return []
        del self.calls[0]
        body = b"".join(call.parts)
        return [CallEnded(call.number, RequestOutcome.ANSWERED, body)]

    def advance(self) -> list[CallerAction]:
        """Send again after each timeout, and give up at the deadline."""
        now_ms = self.clock.now_ms()
        actions: list[CallerAction] = []
        for call in list(self.calls):
            if now_ms >= call.deadline_ms:
                self.calls.remove(call)
                actions.append(CallEnded(call.number, RequestOutcome.UNKNOWN))
            elif now_ms >= call.resend_ms:
                call.resend_ms = now_ms + RETRY_AFTER_MS
                self.counters["resent"] += 1
                actions.append(call.sent)
        return actions
