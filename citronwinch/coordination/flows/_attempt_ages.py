"""How long callers have been trying, as far as one balancer knows."""

from collections import OrderedDict, deque
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey, extract_service_endpoint
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._caller_shares import extract_caller

NEXT_ATTEMPT_MS = 1_400
"""How long after the end of an attempt a new flow of its caller counts as the next
attempt, in milliseconds; callers give an attempt up after this time."""

ENDED_ATTEMPTS_LIMIT = 4_096
"""The most ended attempts, and thus callers, that are remembered; they take about 1 MB
if each belongs to another caller."""

CallerKey = tuple[bytes, bytes]
"""A caller's address and the service address that it sends to."""


class EndedAttempt(NamedTuple):
    """An attempt that this balancer ended."""

    since_ms: int
    """When the caller began to try."""

    ended_ms: int
    """When the attempt was ended."""


class AttemptAges:
    """The callers whose attempt this balancer has ended by a refusal or a reset.

    The next flow of such a caller to the same service address carries a request that is
    at least as old as the ended attempt. When several attempts of a caller were ended,
    its next flows carry their requests in the same order.

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
        self.ended: OrderedDict[CallerKey, deque[EndedAttempt]] = OrderedDict()
        """The ended attempts of each caller, the oldest first; the caller whose latest
        attempt was ended first is at the front."""
        self.count = 0
        """The number of remembered attempts."""

    def record_ended(self, flow: FlowKey, since_ms: int) -> None:
        """Record that the attempt on a flow, known since a time, was ended now."""
        key = _make_caller_key(flow)
        attempts = self.ended.setdefault(key, deque())
        self.ended.move_to_end(key)
        attempts.append(EndedAttempt(since_ms, self.clock.now_ms()))
        self.count += 1
        if self.count > ENDED_ATTEMPTS_LIMIT:
            self._take_oldest(next(iter(self.ended)))

    def take_age_ms(self, flow: FlowKey) -> int:
        """Return how long the caller of a new flow has been trying; 0 if unknown.

        An ended attempt counts for one new flow: several users may share an address.
        """
        key = _make_caller_key(flow)
        now_ms = self.clock.now_ms()
        while key in self.ended:
            attempt = self._take_oldest(key)
            if now_ms - attempt.ended_ms <= NEXT_ATTEMPT_MS:
                return now_ms - attempt.since_ms
        return 0

    def _take_oldest(self, key: CallerKey) -> EndedAttempt:
        attempts = self.ended[key]
        attempt = attempts.popleft()
        self.count -= 1
        if not attempts:
            del self.ended[key]
        return attempt


def _make_caller_key(flow: FlowKey) -> CallerKey:
    return extract_caller(flow), extract_service_endpoint(flow)
