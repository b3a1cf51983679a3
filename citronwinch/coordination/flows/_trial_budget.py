"""Bounds the bandwidth of packets that are sent to uncertain agents as a trial."""

from collections.abc import Sequence

from citronwinch.coordination._byte_budget import ByteBudget
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._packets import Packet

TRIAL_BANDWIDTH_SHARE = 0.5
"""The share of the link's bandwidth that trials may take. Nearly all of their packets
come back over the same link, beside the packets of callers."""

TRIAL_BURST_S = 0.02
"""The burst of trials, as the time in which their share of the link carries it, in
seconds; a round of trials waits at most that long behind others on the link."""

MIN_TRIAL_BURST_BYTES = 24_000
"""The least burst: one trial with a few packets for each of 50 agents."""

TRIAL_HEADER_BYTES = 64
"""What a trial adds to each packet on a link: headers and the name of the service."""

TRIAL_RETRY_MS = 10
"""How long a trial waits for the budget before it is tried again, in milliseconds."""


class TrialBudget:
    """The trials that one balancer may send now.

    After a restart of all processes every agent is uncertain, and each flow is tried at
    all agents of a zone. Without a limit the trials fill a thin link, the answers come
    too late, and the searches go on to the agents of other zones.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock()
        >>> budget = TrialBudget(clock, link_mbps=5)
        >>> budget.try_spend(24_000), budget.try_spend(1_000)
        (True, False)
        >>> clock.advance(10)
        >>> budget.try_spend(1_000)
        True
    """

    def __init__(self, clock: Clock, link_mbps: int) -> None:
        bytes_per_s = link_mbps * 125_000
        rate = round(bytes_per_s * TRIAL_BANDWIDTH_SHARE)
        burst = max(MIN_TRIAL_BURST_BYTES, round(rate * TRIAL_BURST_S))
        self.budget = ByteBudget(clock, burst, rate)
        self.bytes_per_ms = bytes_per_s / 1_000

    def try_spend(self, size_bytes: int) -> bool:
        """Take the bytes of a trial; return False when it has to wait.

        A trial larger than the burst takes the whole budget.
        """
        return self.budget.try_spend(min(size_bytes, self.budget.burst_bytes))

    def compute_transfer_ms(self, size_bytes: int) -> int:
        """Return how long trials take to the agents and back, in milliseconds.

        Other trials of the same burst may be ahead of this one.
        """
        ahead_bytes = self.budget.burst_bytes - self.budget.available_bytes
        return round(2 * max(size_bytes, ahead_bytes) / self.bytes_per_ms)


def compute_trial_bytes(packets: Sequence[Packet], agents: int) -> int:
    """Return the size of a trial on a link, in bytes."""
    return agents * sum(len(packet.raw) + TRIAL_HEADER_BYTES for packet in packets)
