"""Bounds the packets of one flow that reach servers which do not hold it."""

from collections import Counter, deque
from collections.abc import Iterable

import xxhash

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination._placement import hash_seed

AGENT_RESTART_LIMIT_MS = 10_000
"""How long the restart of an agent may take on a slow instance, in milliseconds."""

LIMITED_TRIAL_PACKETS = 2
"""The most packets of a flow that are sent to uncertain agents while an agent that may
hold the flow restarts."""


class TrialRecords:
    """The packets that one balancer has lately sent to uncertain agents, by flow.

    The records outlive a search, since a caller's retransmission starts another one.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock()
        >>> records = TrialRecords(clock)
        >>> records.record(b"flow", 1)
        >>> records.count_room(b"flow"), records.count_room(b"another")
        (1, 2)
        >>> clock.advance(10_001)
        >>> records.expire()
        >>> records.count_room(b"flow")
        2
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.sent: deque[tuple[int, FlowKey, int]] = deque()
        """The time, the flow and the number of packets of each trial."""
        self.counts: Counter[FlowKey] = Counter()

    def record(self, flow: FlowKey, packets: int) -> None:
        """Record that packets of a flow are sent to agents that may not hold it."""
        self.sent.append((self.clock.now_ms(), flow, packets))
        self.counts[flow] += packets

    def count_room(self, flow: FlowKey) -> int:
        """Return how many packets a limited trial of a flow may send now."""
        return max(0, LIMITED_TRIAL_PACKETS - self.counts[flow])

    def expire(self) -> None:
        """Remove the trials that are older than AGENT_RESTART_LIMIT_MS."""
        oldest_ms = self.clock.now_ms() - AGENT_RESTART_LIMIT_MS
        while self.sent and self.sent[0][0] < oldest_ms:
            _, flow, packets = self.sent.popleft()
            self.counts[flow] -= packets
            if self.counts[flow] <= 0:
                del self.counts[flow]


def choose_limited_agents(flow: FlowKey, agents: Iterable[str]) -> set[str]:
    """Return the agents that a limited trial of a flow may use.

    Every balancer chooses the same ones: a flow's retransmissions may come through
    other balancers, to which these agents deny it.
    """
    by_rank = sorted(
        agents, key=lambda ip: (xxhash.xxh3_64_intdigest(flow, hash_seed(ip)), ip)
    )
    return set(by_rank[:LIMITED_TRIAL_PACKETS])
