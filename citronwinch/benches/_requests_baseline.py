"""The baseline: agents deliver every copy, and callers retry after a timeout."""

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

RETRY_TIMEOUT_MS = 300
"""How long in milliseconds a caller waits for an answer before each retry."""


class BaselineAgentRequests:
    """The requests part of an agent that keeps no records of requests."""

    @property
    def record_exchange(self) -> "BaselineAgentRequests":
        """Return this object, which also stands in for the exchange of records."""
        return self

    def receive(
        self, arrival: RequestArrival, is_known_flow: bool
    ) -> list[RequestAction]:
        """Return no actions, so that steering decides about every packet."""
        return []

    def deliver(
        self, arrival: RequestArrival, is_guest: bool = False
    ) -> list[RequestAction]:
        """Deliver every copy to the backend server."""
        if arrival.request.kind is RequestKind.CANCEL:
            return [DeliverCancel(arrival.flow, arrival.payload)]
        return [StartRequest(arrival.key, arrival.payload)]

    def refuse(self, arrival: RequestArrival, reason: str) -> list[RequestAction]:
        """Answer that the request was not run."""
        return [SendOutcome(arrival.key, RequestKind.NOT_RUN, reason, 0)]

    def reply(
        self, flow: FlowKey, answer: RequestMetadata, payload: bytes
    ) -> list[RequestAction]:
        """Send every datagram of the backend server to the caller."""
        return [SendPart(flow, payload)]

    def advance(self, arrived_ms: int) -> list[RequestAction]:
        """Do nothing."""
        return []

    def make_transfer(self, flow: FlowKey | None = None) -> list[RequestRecords]:
        """Return an empty list, as the agent keeps no records."""
        return []

    def accept_records(self, message: RequestRecords) -> None:
        """Ignore the records."""

    def mark_flow_incomplete(self, flow: FlowKey) -> None:
        """Ignore the change of owner."""


class BaselineCall:
    """A pending call of the baseline caller."""

    def __init__(
        self, number: int, sent_request: SendRequest, deadline_ms: int
    ) -> None:
        self.number = number
        self.sent_request = sent_request
        self.deadline_ms = deadline_ms
        self.resend_ms = 0
        self.parts: list[bytes] = []


class BaselineCaller:
    """A caller that retries after a timeout and ignores the request id of answers.

    An answer is assigned to the oldest pending call of the flow.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.calls: list[BaselineCall] = []
        self.counters: Counter[str] = Counter()
        self.last_call_number = 0

    def start(
        self, body: bytes, timeout_ms: int, repeatable: bool = False
    ) -> tuple[int, list[CallerAction]]:
        """Start a call; return its number and the request to send."""
        self.last_call_number += 1
        self.counters["sent"] += 1
        request_id = body[:16].ljust(16)
        metadata = RequestMetadata(
            RequestKind.REQUEST, request_id, repeatable, timeout_ms
        )
        now_ms = self.clock.now_ms()
        sent_request = SendRequest(metadata, body)
        call = BaselineCall(self.last_call_number, sent_request, now_ms + timeout_ms)
        call.resend_ms = now_ms + RETRY_TIMEOUT_MS
        self.calls.append(call)
        return call.number, [sent_request]

    def cancel(self, number: int) -> list[CallerAction]:
        """Send a cancellation."""
        return [
            SendRequest(
                call.sent_request.metadata._replace(kind=RequestKind.CANCEL), b""
            )
            for call in self.calls
            if call.number == number
        ]

    def receive(self, metadata: RequestMetadata, body: bytes) -> list[CallerAction]:
        """Assign the datagram to the oldest pending call."""
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
        """Resend each request after a timeout; end calls at their deadline."""
        now_ms = self.clock.now_ms()
        actions: list[CallerAction] = []
        for call in list(self.calls):
            if now_ms >= call.deadline_ms:
                self.calls.remove(call)
                actions.append(CallEnded(call.number, RequestOutcome.UNKNOWN))
            elif now_ms >= call.resend_ms:
                call.resend_ms = now_ms + RETRY_TIMEOUT_MS
                self.counters["resent"] += 1
                actions.append(call.sent_request)
        return actions
