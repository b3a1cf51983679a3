"""The budget for control messages, in bytes.

Control messages are those about the table, membership and load. Messages about single
flows and requests do not draw from this budget.
"""

from enum import IntEnum

from citronwinch.coordination._clock import Clock

CONTROL_BYTES_PER_SECOND = 1_700
"""The mean rate of control traffic of one process, in bytes per second."""

CONTROL_BURST_BYTES = 48_000
"""The most control traffic that a process sends at once after idle time, in bytes."""


class ControlPriority(IntEnum):
    """The subject of a control message; the lowest number has the highest priority."""

    EDITS = 0
    """The table and its revisions."""

    MEMBERSHIP = 1
    """The status of members: live, suspected, leaving or unreachable."""

    REGISTRATIONS = 2
    """The owners of flows."""

    LOAD = 3
    """The load of the backend servers."""


RESERVED_BURST_FRACTIONS = {
    ControlPriority.EDITS: 0.0,
    ControlPriority.MEMBERSHIP: 0.85,
    ControlPriority.REGISTRATIONS: 0.9,
    ControlPriority.LOAD: 0.95,
}
"""The fraction of `burst_bytes` that a priority must leave to higher priorities."""


class ControlBudget:
    """A token bucket that all control messages of a process draw from.

    Each priority leaves a reserve for the higher ones, so that load reports stop first
    and edits last. Within any period, the process sends at most `burst_bytes`
    plus `bytes_per_second` times the length of the period.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> budget = ControlBudget(
        ...     ManualClock(), bytes_per_second=1_000, burst_bytes=1_000
        ... )
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
        bytes_per_second: int = CONTROL_BYTES_PER_SECOND,
        burst_bytes: int = CONTROL_BURST_BYTES,
    ) -> None:
        self.clock = clock
        self.bytes_per_second = bytes_per_second
        self.burst_bytes = burst_bytes
        self.available_bytes = float(burst_bytes)
        self.refilled_ms = clock.now_ms()
        self.spent_bytes = dict.fromkeys(ControlPriority, 0)
        self.refused_bytes = dict.fromkeys(ControlPriority, 0)

    def try_spend(self, priority: ControlPriority, size_bytes: int) -> bool:
        """Charge the bytes of one message; return False if it must not be sent now."""
        self.refill()
        reserve_bytes = RESERVED_BURST_FRACTIONS[priority] * self.burst_bytes
        if self.available_bytes - size_bytes < reserve_bytes:
            self.refused_bytes[priority] += size_bytes
            return False
        self.available_bytes -= size_bytes
        self.spent_bytes[priority] += size_bytes
        return True

    def refill(self) -> None:
        """Add the bytes that the elapsed time allows."""
        now_ms = self.clock.now_ms()
        earned_bytes = (now_ms - self.refilled_ms) * self.bytes_per_second / 1000
        self.available_bytes = min(
            float(self.burst_bytes), self.available_bytes + earned_bytes
        )
        self.refilled_ms = now_ms
