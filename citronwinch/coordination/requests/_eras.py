"""Which requests a former process may already have decided about."""

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination.requests._metadata import (
    PACKET_LIFETIME_MS,
    REQUEST_TIMEOUT_LIMIT_MS,
    RequestMetadata,
)

FLOW_ERA_LIMIT = 10_000
"""The most flows for which an own start is remembered."""

LOSS_LIMIT = 64
"""The most lost members that are remembered one by one."""

LOSS_SKEW_MS = 2_500
"""How much earlier another member may notice a loss, in milliseconds."""

ERA_AGE_LIMIT_MS = PACKET_LIFETIME_MS + REQUEST_TIMEOUT_LIMIT_MS + 1_000
"""The age from which on an era rules out every former request."""

NO_ERA_MS = -(1 << 62)
"""The start of an era without a former process: before every time."""


class RequestEras:
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

    def __init__(self, started_ms: int) -> None:
        self.started_ms = started_ms
        self.flow_started_ms: dict[FlowKey, int] = {}
        self.losses: list[int] = []

    def begin(self, started_ms: int) -> None:
        """Begin an era for every flow."""
        self.started_ms = max(self.started_ms, started_ms)

    def end_grace(self, started_ms: int = NO_ERA_MS) -> None:
        """Go on with the era of a former run whose records are all here."""
        self.started_ms = started_ms

    def note_loss(self, now_ms: int) -> None:
        """Note that a member of the service is gone and its records with it."""
        if len(self.losses) >= LOSS_LIMIT:
            self.begin(self.losses.pop(0))
        self.losses.append(now_ms)

    def find_age_ms(self, now_ms: int) -> int:
        """Return how long ago the latest era began."""
        starts = [*self.flow_started_ms.values(), *self.losses]
        latest_ms = max(self.started_ms, *starts, NO_ERA_MS)
        return min(now_ms - latest_ms, ERA_AGE_LIMIT_MS)

    def begin_flow(self, flow: FlowKey, now_ms: int) -> None:
        """Begin an era for one flow; with too many such flows, for every flow."""
        self.expire(now_ms)
        if len(self.flow_started_ms) >= FLOW_ERA_LIMIT:
            self.begin(now_ms)
            self.flow_started_ms.clear()
            return
        self.flow_started_ms.pop(flow, None)
        self.flow_started_ms[flow] = now_ms

    def is_former(
        self,
        flow: FlowKey,
        request: RequestMetadata,
        arrived_ms: int,
        opened_ms: int | None = None,
    ) -> bool:
        """Whether another process may have decided about the request.

        `opened_ms` is when this agent opened the flow, None when it does not own
        it. A member that was lost after that cannot have owned the flow.
        """
        first_sent_ms = arrived_ms - PACKET_LIFETIME_MS - request.age_ms
        starts = [self.started_ms, self.flow_started_ms.get(flow, NO_ERA_MS)]
        for lost_ms in self.losses:
            if opened_ms is None or lost_ms <= opened_ms + LOSS_SKEW_MS:
                starts.append(lost_ms)
        return first_sent_ms <= max(starts)

    def is_settled(self, now_ms: int) -> bool:
        """Whether every request that is sent from now on is certainly new."""
        return now_ms - PACKET_LIFETIME_MS > self.started_ms

    def expire(self, now_ms: int) -> None:
        """Forget the eras that no copy can fall before any more."""
        horizon_ms = now_ms - PACKET_LIFETIME_MS - REQUEST_TIMEOUT_LIMIT_MS
        while self.losses and self.losses[0] < horizon_ms:
            del self.losses[0]
        while self.flow_started_ms:
            flow = next(iter(self.flow_started_ms))
            if self.flow_started_ms[flow] >= horizon_ms:
                return
            del self.flow_started_ms[flow]
