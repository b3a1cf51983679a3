"""Confines unexpected exceptions to the step or task in which they arise."""

from collections.abc import Awaitable, Callable

import structlog
import trio

from citronwinch.coordination import Clock
from citronwinch.operators import Metrics

LOG_INTERVAL_MS = 1_000
"""The shortest time between two log lines of one kind, in milliseconds."""

RESTART_DELAY_MS = 100
"""The delay before a task that has failed is started again, in milliseconds. It doubles
with each further failure."""

MAX_RESTART_DELAY_MS = 5_000
"""The longest such delay, in milliseconds. A task that has run for longer counts as
recovered: its next failure has the shortest delay again."""

log = structlog.get_logger()


class InternalErrors:
    """Counts and logs unexpected exceptions, so that each costs one step only.

    Every exception is counted in `internal_errors_total` by its kind. A log line has
    the traceback. Each kind has at most one line in LOG_INTERVAL_MS, which states how
    many were left out before it.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> errors = InternalErrors(ManualClock(10_000), Metrics())
        >>> errors.run_step("counting", lambda: None)
        True
    """

    def __init__(self, clock: Clock, metrics: Metrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.logged_ms: dict[str, int] = {}
        """When a line of each kind was last logged, in milliseconds."""
        self.omitted: dict[str, int] = {}
        """How many exceptions of each kind were not logged since then."""

    def record(self, kind: str) -> None:
        """Count and log the exception that is being handled."""
        self.metrics.count("internal_errors_total", kind)
        now_ms = self.clock.now_ms()
        if now_ms - self.logged_ms.get(kind, -LOG_INTERVAL_MS) < LOG_INTERVAL_MS:
            self.omitted[kind] = self.omitted.get(kind, 0) + 1
            return
        self.logged_ms[kind] = now_ms
        omitted = self.omitted.pop(kind, 0)
        log.exception("event_not_handled", kind=kind, left_out=omitted)

    def run_step(self, kind: str, step: Callable[[], object]) -> bool:
        """Run a step; return False if it raised an exception."""
        try:
            step()
        except Exception:
            self.record(kind)
            return False
        return True

    async def run_task(
        self, kind: str, task: Callable[..., Awaitable[object]], *arguments: object
    ) -> bool:
        """Run a task once; return False if it raised an exception."""
        try:
            await task(*arguments)
        except Exception:
            self.record(kind)
            return False
        return True

    async def run_forever(
        self, kind: str, task: Callable[..., Awaitable[object]], *arguments: object
    ) -> None:
        """Run a task without an end; start it again when it fails, after a delay."""
        delay_ms = RESTART_DELAY_MS
        while True:
            started_ms = self.clock.now_ms()
            if await self.run_task(kind, task, *arguments):
                return
            if self.clock.now_ms() - started_ms > MAX_RESTART_DELAY_MS:
                delay_ms = RESTART_DELAY_MS
            log.warning("task_restarts", kind=kind, after_ms=delay_ms)
            await trio.sleep(delay_ms / 1000)
            delay_ms = min(2 * delay_ms, MAX_RESTART_DELAY_MS)
