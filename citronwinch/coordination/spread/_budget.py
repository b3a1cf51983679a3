"""The budget for everything that a process sends to its peers besides packets."""

from enum import IntEnum

from citronwinch.coordination._clock import Clock

CONTROL_BYTES_PER_SECOND = 1_700
"""The mean rate of control traffic of one process, in bytes per second."""

CONTROL_BURST_BYTES = 48_000
"""The most that may be sent at once after a quiet time, in bytes."""


class ControlPriority(IntEnum):
    """What a control message is about; the lowest number goes first."""

    EDITS = 0
    """The table and its revisions."""

    MEMBERSHIP = 1
    """Who is live, suspected, leaving or gone."""

    REGISTRATIONS = 2
    """Where flows live."""

    LOAD = 3
    """How loaded the backend servers are."""


RESERVED_SHARES = {
    ControlPriority.EDITS: 0.0,
    ControlPriority.MEMBERSHIP: 0.85,
    ControlPriority.REGISTRATIONS: 0.9,
    ControlPriority.LOAD: 0.95,
}
"""The share of the burst that a priority must leave to those before it."""


class ControlBudget:
    """A token bucket that all control messages of a process draw from.

    Each priority stops spending while there is still something left for those that
    go before it, so that load reports cease first and edits last. Over any span the
    process sends at most the burst plus the rate times the span.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> budget = ControlBudget(ManualClock(), rate=1_000, burst_bytes=1_000)
        >>> budget.try_spend(ControlPriority.LOAD, 300)
        False
        >>> budget.try_spend(ControlPriority.EDITS, 900)
        True
        >>> budget.try_spend(ControlPriority.EDITS, 200)
        False
    """

    def __init__(
        self,
        clock: Clock,
        rate: int = CONTROL_BYTES_PER_SECOND,
        burst_bytes: int = CONTROL_BURST_BYTES,
    ) -> None:
        self.clock = clock
        self.rate = rate
        self.burst_bytes = burst_bytes
        self.available_bytes = float(burst_bytes)
        self.refilled_ms = clock.now_ms()
        self.spent_bytes = dict.fromkeys(ControlPriority, 0)
        self.refused_bytes = dict.fromkeys(ControlPriority, 0)

    def try_spend(self, priority: ControlPriority, size_bytes: int) -> bool:
        """Take bytes for one message; return False when it must not be sent now."""
        self.refill()
        reserve_bytes = RESERVED_SHARES[priority] * self.burst_bytes
        if self.available_bytes - size_bytes < reserve_bytes:
            self.refused_bytes[priority] += size_bytes
            return False
        self.available_bytes -= size_bytes
        self.spent_bytes[priority] += size_bytes
        return True

    def refill(self) -> None:
        """Add what the time since the last call has earned."""
        now_ms = self.clock.now_ms()
        earned_bytes = (now_ms - self.refilled_ms) * self.rate / 1000
        self.available_bytes = min(
            float(self.burst_bytes), self.available_bytes + earned_bytes
        )
        self.refilled_ms = now_ms
