"""Clocks, which the parts that depend on time take as an argument."""

import time
from typing import Protocol


class Clock(Protocol):
    """A source of monotonic time in whole milliseconds.

    Decisions take a clock instead of reading the time themselves, so that a test
    can let an hour pass in one call.
    """

    def now_ms(self) -> int:
        """Return the milliseconds since an arbitrary fixed point."""
        ...


class MonotonicClock:
    """The clock of a running process.

    It includes the time during which the process or the machine was suspended, so
    that the leases of a suspended process have expired when it resumes.
    """

    def now_ms(self) -> int:
        """Return the milliseconds since the machine started."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1_000_000


class ManualClock:
    """A clock that changes only when it is advanced; for tests.

    Example::

        >>> clock = ManualClock()
        >>> clock.advance(250)
        >>> clock.now_ms()
        250
    """

    def __init__(self, start_ms: int = 0) -> None:
        self.current_ms = start_ms

    def now_ms(self) -> int:
        """Return the current time of the clock in milliseconds."""
        return self.current_ms

    def advance(self, duration_ms: int) -> None:
        """Move the clock forward by `duration_ms`."""
        if duration_ms < 0:
            raise ValueError(
                f"expected a duration of 0 ms or more, found {duration_ms} ms"
            )
        self.current_ms += duration_ms
