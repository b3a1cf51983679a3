"""How long callers have been trying, as far as one balancer knows."""

from collections import OrderedDict

from citronwinch.coordination._address import FlowKey, extract_service_endpoint
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._caller_shares import extract_caller

NEXT_ATTEMPT_MS = 1_400
"""How long after the end of an attempt a new flow of its caller counts as the next
attempt, in milliseconds; callers give an attempt up after this time."""

CALLERS_LIMIT = 4_096
"""The most callers that are remembered; they take about 1 MB."""


class AttemptAges:
    """The callers whose attempt this balancer has ended by a refusal or a reset.

    The next flow of such a caller to the same service address carries a request that
    is at least as old as the ended attempt. Only the latest attempt of a caller counts,
    and for one flow: if all of them counted, most new requests of a crowd would be
    taken for old ones, since few callers reach the same balancer again.

    Example::

        >>> from citronwinch.coordination import ManualClock, pack_flow_key, pack_ip
        >>> clock = ManualClock(10_000)
        >>> ages = AttemptAges(clock)
        >>> caller, service = pack_ip("100.64.0.7"), pack_ip("198.18.0.1")
        >>> ages.record_ended(pack_flow_key(6, caller, 4_000, service, 443), 9_900)
        >>> clock.advance(50)
        >>> retry = pack_flow_key(6, caller, 4_001, service, 443)
        >>> ages.take_age_ms(retry), ages.take_age_ms(retry)
        (150, 0)
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.ended: OrderedDict[tuple[bytes, bytes], tuple[int, int]] = OrderedDict()
        """When the last attempt of each caller at a service address began and ended."""

    def record_ended(self, flow: FlowKey, since_ms: int) -> None:
        """Record that the attempt on a flow, known since a time, was ended now."""
        key = (extract_caller(flow), extract_service_endpoint(flow))
        self.ended[key] = (since_ms, self.clock.now_ms())
        self.ended.move_to_end(key)
        if len(self.ended) > CALLERS_LIMIT:
            self.ended.popitem(last=False)

    def take_age_ms(self, flow: FlowKey) -> int:
        """Return how long the caller of a new flow has been trying; 0 if unknown.

        An ended attempt counts for one new flow: several users may share an address.
        """
        key = (extract_caller(flow), extract_service_endpoint(flow))
        since_ms, ended_ms = self.ended.pop(key, (0, 0))
        now_ms = self.clock.now_ms()
        if not ended_ms or now_ms - ended_ms > NEXT_ATTEMPT_MS:
            return 0
        return now_ms - since_ms
