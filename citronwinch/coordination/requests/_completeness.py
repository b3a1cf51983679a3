"""Which requests a former process may already have decided about."""

import bisect

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination.requests._metadata import (
    PACKET_LIFETIME_MS,
    REQUEST_TIMEOUT_LIMIT_MS,
    RequestMetadata,
)

INCOMPLETE_FLOWS_LIMIT = 10_000
"""The most flows for which an own start is remembered."""

MEMBER_LOSSES_LIMIT = 64
"""The most lost members that are remembered one by one."""

LOSS_SKEW_MS = 2_500
"""How much earlier another member may notice a loss, in milliseconds."""

COMPLETE_FOR_LIMIT_MS = PACKET_LIFETIME_MS + REQUEST_TIMEOUT_LIMIT_MS + 1_000
"""The age from which on an era rules out every former request."""

ALWAYS_COMPLETE_MS = -(1 << 62)
"""The start of an era without a former process: before every time."""


class RecordCompleteness:
    """Tells requests that are certainly new from those sent in a former era.

    An era begins when an agent starts without the records of its former run, when
    it takes over a flow without the records of its former owner, and, for flows that
    are opened later, when a member of the service is lost with its records.

    A copy arrives at most `PACKET_LIFETIME_MS` after it was sent and says how long
    before that its request was first sent, so that the agent can tell whether
    another process may have decided about the request.

    Example::

        >>> from citronwinch.coordination.requests import RequestKind
        >>> eras = RequestEras(started_ms=1_000)
        >>> request = RequestMetadata(RequestKind.REQUEST, bytes(16))
        >>> flow = FlowKey(bytes(13))
        >>> eras.is_former(flow, request, 6_000), eras.is_former(flow, request, 6_001)
        (True, False)
        >>> eras.is_former(flow, request._replace(age_ms=50), 6_050)
        True
    """

    def __init__(self, complete_since_ms: int) -> None:
        self.complete_since_ms = complete_since_ms
        self.flow_complete_since_ms: dict[FlowKey, int] = {}
        self.member_losses_ms: list[int] = []

    def mark_incomplete(self, complete_since_ms: int) -> None:
        """Begin an era for every flow."""
        self.complete_since_ms = max(self.complete_since_ms, complete_since_ms)

    def mark_complete_since(self, complete_since_ms: int = ALWAYS_COMPLETE_MS) -> None:
        """Go on with the era of a former run whose records are all here."""
        self.complete_since_ms = complete_since_ms

    def mark_member_lost(self, lost_ms: int) -> None:
        """Note that a member of the service is gone, and its records up to a time."""
        if len(self.member_losses_ms) >= MEMBER_LOSSES_LIMIT:
            self.mark_incomplete(self.member_losses_ms.pop(0))
        bisect.insort(self.member_losses_ms, lost_ms)

    def find_complete_for_ms(self, now_ms: int) -> int:
        """Return how long ago the latest era began."""
        starts = [*self.flow_complete_since_ms.values(), *self.member_losses_ms]
        latest_ms = max(self.complete_since_ms, *starts, ALWAYS_COMPLETE_MS)
        return min(now_ms - latest_ms, COMPLETE_FOR_LIMIT_MS)

    def mark_flow_incomplete(self, flow: FlowKey, now_ms: int) -> None:
        """Begin an era for one flow; with too many such flows, for every flow."""
        self.expire(now_ms)
        if len(self.flow_complete_since_ms) >= INCOMPLETE_FLOWS_LIMIT:
            self.mark_incomplete(now_ms)
            self.flow_complete_since_ms.clear()
            return
        self.flow_complete_since_ms.pop(flow, None)
        self.flow_complete_since_ms[flow] = now_ms

    def may_be_decided(
        self,
        flow: FlowKey,
        request: RequestMetadata,
        arrived_ms: int,
        flow_opened_ms: int | None = None,
        home_moved_ms: int | None = None,
    ) -> bool:
        """Whether another process may have decided about the request.

        `opened_ms` is when this agent opened the flow, None when it does not own
        it; `moved_ms` is when the flow's home moved last. A member that was lost, or a
        home that was left, after the flow was opened cannot have decided about it.
        """
        first_sent_ms = arrived_ms - PACKET_LIFETIME_MS - request.age_ms
        starts = [
            self.complete_since_ms,
            self.flow_complete_since_ms.get(flow, ALWAYS_COMPLETE_MS),
        ]
        moves = [] if home_moved_ms is None else [home_moved_ms]
        for lost_ms in [*self.member_losses_ms, *moves]:
            if flow_opened_ms is None or lost_ms <= flow_opened_ms + LOSS_SKEW_MS:
                starts.append(lost_ms)
        return first_sent_ms <= max(starts)

    def is_settled(self, now_ms: int) -> bool:
        """Whether every request that is sent from now on is certainly new."""
        return now_ms - PACKET_LIFETIME_MS > self.complete_since_ms

    def expire(self, now_ms: int) -> None:
        """Forget the eras that no copy can fall before any more."""
        horizon_ms = now_ms - PACKET_LIFETIME_MS - REQUEST_TIMEOUT_LIMIT_MS
        while self.member_losses_ms and self.member_losses_ms[0] < horizon_ms:
            del self.member_losses_ms[0]
        while self.flow_complete_since_ms:
            flow = next(iter(self.flow_complete_since_ms))
            if self.flow_complete_since_ms[flow] >= horizon_ms:
                return
            del self.flow_complete_since_ms[flow]
