"""A simulated event queue with a manual clock, and a link that injects faults."""

import heapq
import random
from collections.abc import Callable
from typing import NamedTuple

from citronwinch.coordination import ManualClock


class EventQueue:
    """Runs scheduled calls in order of time and advances a manual clock.

    Example::

        >>> queue = EventQueue()
        >>> queue.call_after(20, lambda: print("second at", queue.clock.now_ms()))
        >>> queue.call_after(10, lambda: print("first at", queue.clock.now_ms()))
        >>> queue.run_until(100)
        first at 10
        second at 20
        >>> queue.clock.now_ms()
        100
    """

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.pending_calls: list[tuple[int, int, Callable[[], None]]] = []
        self.scheduled_count = 0

    def call_after(self, delay_ms: int, call: Callable[[], None]) -> None:
        """Schedule a call; calls due at the same time run in the order scheduled."""
        self.scheduled_count += 1
        due_ms = self.clock.now_ms() + max(0, delay_ms)
        heapq.heappush(self.pending_calls, (due_ms, self.scheduled_count, call))

    def call_every(self, interval_ms: int, call: Callable[[], None]) -> None:
        """Schedule a call at a fixed interval, the first time after one interval."""

        def run() -> None:
            call()
            self.call_after(interval_ms, run)

        self.call_after(interval_ms, run)

    def run_until(self, end_ms: int) -> None:
        """Run all calls that are due by `end_ms` and set the clock to `end_ms`."""
        while self.pending_calls and self.pending_calls[0][0] <= end_ms:
            due_ms, _, call = heapq.heappop(self.pending_calls)
            self.clock.advance(due_ms - self.clock.now_ms())
            call()
        self.clock.advance(end_ms - self.clock.now_ms())


class LinkFaults(NamedTuple):
    """The faults that a link applies to each message."""

    delay_ms: int = 0
    """The minimum delay in milliseconds."""

    jitter_ms: int = 0
    """The maximum random extra delay in milliseconds, which reorders messages."""

    loss: float = 0.0
    """The share of messages that are lost."""

    duplication: float = 0.0
    """The share of messages that are delivered twice."""

    is_cut: bool = False
    """Whether the link drops every message."""


class FakeLink:
    """Delivers messages through an event queue and applies faults to them."""

    def __init__(self, queue: EventQueue, source: random.Random) -> None:
        self.queue = queue
        self.source = source

    def carry(self, faults: LinkFaults, deliver: Callable[[], None]) -> None:
        """Schedule `deliver` for each copy of a message that is not lost."""
        if faults.is_cut or self.source.random() < faults.loss:
            return
        copies = 2 if self.source.random() < faults.duplication else 1
        for _ in range(copies):
            delay_ms = faults.delay_ms
            if faults.jitter_ms:
                delay_ms += self.source.randrange(faults.jitter_ms + 1)
            self.queue.call_after(delay_ms, deliver)
