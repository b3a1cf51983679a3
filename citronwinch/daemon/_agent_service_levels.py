"""Counts the outcomes that an agent reports for its service's objectives."""

from citronwinch.coordination import Clock
from citronwinch.coordination.requests import RequestKind, RequestMetadata
from citronwinch.operators import ObjectiveOutcome, ServiceLevels

_FAILURE_KINDS = (RequestKind.NOT_RUN, RequestKind.UNKNOWN, RequestKind.SHED)


class AgentServiceLevels:
    """Counts the outcomes of the flows and requests of one backend server."""

    def __init__(self, service_levels: ServiceLevels, clock: Clock) -> None:
        self.service_levels = service_levels
        self.clock = clock
        self.service = ""
        self.parts_sent: dict[bytes, int] = {}

    def record_delivery(self, request: RequestMetadata | None) -> None:
        """Start measuring the latency of a delivered request."""
        if request is not None and request.kind is RequestKind.REQUEST:
            self.service_levels.record_delivery(
                self.service,
                request.request_id,
                request.remaining_ms,
                self.clock.now_ms(),
            )

    def record_failure(self, request_id: bytes) -> None:
        """Count a request whose caller gets an outcome instead of an answer."""
        self.service_levels.record_failure(
            self.service, request_id, self.clock.now_ms()
        )

    def record_answer_part(self, answer: RequestMetadata | None) -> None:
        """Record one part of a reply; count its request once all parts were recorded.

        A reply that reports a failure counts the request as failed at once.
        """
        if answer is None or answer.request_id not in self.service_levels.pending:
            return
        if answer.kind in _FAILURE_KINDS:
            self.record_failure(answer.request_id)
        elif answer.kind is RequestKind.ANSWER:
            parts = self.parts_sent.pop(answer.request_id, 0) + 1
            if parts < answer.part_count:
                self.parts_sent[answer.request_id] = parts
            else:
                self.service_levels.record_answer(
                    answer.request_id, self.clock.now_ms()
                )

    def record_flow_end(self) -> None:
        """Count a flow that ended normally."""
        self.service_levels.count(
            self.service, ObjectiveOutcome.FLOW_ENDED, self.clock.now_ms()
        )

    def record_broken_flow(self) -> None:
        """Count an established flow that ended because its backend server failed."""
        self.service_levels.count(
            self.service, ObjectiveOutcome.FLOW_BROKEN, self.clock.now_ms()
        )

    def tick(self, flow_count: int) -> None:
        """Store the number of open flows and expire requests without an answer."""
        if self.service:
            self.service_levels.open_flows[self.service] = flow_count
        self.service_levels.expire_requests(self.clock.now_ms())
        if len(self.parts_sent) > len(self.service_levels.pending):
            pending = self.service_levels.pending
            self.parts_sent = {k: v for k, v in self.parts_sent.items() if k in pending}
