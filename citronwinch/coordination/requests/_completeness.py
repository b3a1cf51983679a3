"""The time from which on an agent's records of decided requests are complete."""

import bisect

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination.requests._metadata import (
    PACKET_LIFETIME_MS,
    REQUEST_TIMEOUT_LIMIT_MS,
    RequestMetadata,
)

INCOMPLETE_FLOWS_LIMIT = 10_000
"""The maximum number of flows that were adopted without records and are tracked."""

MEMBER_LOSSES_LIMIT = 64
"""The maximum number of member losses that are stored one by one."""

DETECTION_SKEW_MS = 2_500
"""How much earlier than this agent another member may detect a change, in ms.

The change is the loss of a member or the move of a flow's home.
"""

COMPLETE_FOR_LIMIT_MS = PACKET_LIFETIME_MS + REQUEST_TIMEOUT_LIMIT_MS + 1_000
"""The upper bound of a reported `complete_for_ms`.

Records that have been complete for that long cover every request that can arrive.
"""

ALWAYS_COMPLETE_MS = -(1 << 62)
"""The start of records that were never incomplete: earlier than every time."""


class RecordCompleteness:
    """Tracks from which time on this agent's records of decided requests are complete.

    A process decides a request by starting or refusing it, and records the decision.
    The records are incomplete up to the time at which

    - the agent starts without the records of its previous run;
    - the agent adopts a flow without the records of its previous owner (for that
      flow);
    - a member of the service is lost with its records (for flows opened later).

    A copy arrives at most `PACKET_LIFETIME_MS` after it was sent, and its metadata
    has the time since the request was first sent. From both follows whether the
    request is older than the complete records, so that another process may have
    decided it.

    Example::

        >>> from citronwinch.coordination.requests import RequestKind
        >>> records = RecordCompleteness(complete_since_ms=1_000)
        >>> request = RequestMetadata(RequestKind.REQUEST, bytes(16))
        >>> flow = FlowKey(bytes(13))
        >>> records.may_be_decided_elsewhere(flow, request, arrived_ms=6_000)
        True
        >>> records.may_be_decided_elsewhere(flow, request, arrived_ms=6_001)
        False
        >>> request = request._replace(age_ms=50)
        >>> records.may_be_decided_elsewhere(flow, request, arrived_ms=6_050)
        True
    """

    def __init__(self, complete_since_ms: int) -> None:
        self.complete_since_ms = complete_since_ms
        self.flow_complete_since_ms: dict[FlowKey, int] = {}
        self.member_losses_ms: list[int] = []

    def mark_incomplete(self, complete_since_ms: int) -> None:
        """Mark the records of all flows as incomplete up to a time."""
        self.complete_since_ms = max(self.complete_since_ms, complete_since_ms)

    def mark_complete_since(self, complete_since_ms: int = ALWAYS_COMPLETE_MS) -> None:
        """Mark the records as complete from a time on, after all were restored."""
        self.complete_since_ms = complete_since_ms

    def mark_member_lost(self, lost_ms: int) -> None:
        """Mark the records of a lost member as missing up to a time."""
        if len(self.member_losses_ms) >= MEMBER_LOSSES_LIMIT:
            self.mark_incomplete(self.member_losses_ms.pop(0))
        bisect.insort(self.member_losses_ms, lost_ms)

    def compute_complete_for_ms(self, now_ms: int) -> int:
        """Return for how long the records of all flows have been complete."""
        starts = [*self.flow_complete_since_ms.values(), *self.member_losses_ms]
        latest_ms = max(self.complete_since_ms, *starts, ALWAYS_COMPLETE_MS)
        return min(now_ms - latest_ms, COMPLETE_FOR_LIMIT_MS)

    def mark_flow_incomplete(self, flow: FlowKey, now_ms: int) -> None:
        """Mark the records of a flow as incomplete up to now.

        With `INCOMPLETE_FLOWS_LIMIT` such flows, the records of all flows are marked.
        """
        self.expire(now_ms)
        if len(self.flow_complete_since_ms) >= INCOMPLETE_FLOWS_LIMIT:
            self.mark_incomplete(now_ms)
            self.flow_complete_since_ms.clear()
            return
        self.flow_complete_since_ms.pop(flow, None)
        self.flow_complete_since_ms[flow] = now_ms

    def may_be_decided_elsewhere(
        self,
        flow: FlowKey,
        request: RequestMetadata,
        arrived_ms: int,
        flow_opened_ms: int | None = None,
        home_moved_ms: int | None = None,
    ) -> bool:
        """Whether another process may have started or refused the request.

        `flow_opened_ms` is when this agent opened the flow, None when it does not own
        the flow; `home_moved_ms` is when the flow's home last moved. If this agent had
        opened the flow before a member was lost or the home moved, neither that member
        nor the previous home can have decided a request of the flow.
        """
        first_sent_ms = arrived_ms - PACKET_LIFETIME_MS - request.age_ms
        starts = [
            self.complete_since_ms,
            self.flow_complete_since_ms.get(flow, ALWAYS_COMPLETE_MS),
        ]
        moves = [] if home_moved_ms is None else [home_moved_ms]
        for lost_ms in [*self.member_losses_ms, *moves]:
            if flow_opened_ms is None or lost_ms <= flow_opened_ms + DETECTION_SKEW_MS:
                starts.append(lost_ms)
        return first_sent_ms <= max(starts)

    def covers_new_requests(self, now_ms: int) -> bool:
        """Whether the records cover every request that is sent from now on.

        Flows adopted without records, and flows opened after the loss of a member, are
        excepted.
        """
        return now_ms - PACKET_LIFETIME_MS > self.complete_since_ms

    def expire(self, now_ms: int) -> None:
        """Remove times that are older than every request that can still arrive."""
        horizon_ms = now_ms - PACKET_LIFETIME_MS - REQUEST_TIMEOUT_LIMIT_MS
        while self.member_losses_ms and self.member_losses_ms[0] < horizon_ms:
            del self.member_losses_ms[0]
        while self.flow_complete_since_ms:
            flow = next(iter(self.flow_complete_since_ms))
            if self.flow_complete_since_ms[flow] >= horizon_ms:
                return
            del self.flow_complete_since_ms[flow]
