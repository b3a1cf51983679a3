"""Small fakes at the interfaces: a queue of timed calls and a lossy link."""

import heapq
import random
from collections.abc import Callable
from typing import NamedTuple

from citronwinch.coordination import ManualClock


class EventQueue:
    """Runs calls in order of time and moves a clock along.

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
        self.call_count = 0

    def call_after(self, delay_ms: int, call: Callable[[], None]) -> None:
        """Run a call after a delay; calls for the same time run in order of entry."""
        self.call_count += 1
        due_ms = self.clock.now_ms() + max(0, delay_ms)
        heapq.heappush(self.pending_calls, (due_ms, self.call_count, call))

    def call_every(self, interval_ms: int, call: Callable[[], None]) -> None:
        """Run a call again and again, the first time after one interval."""

        def run() -> None:
            call()
            self.call_after(interval_ms, run)

        self.call_after(interval_ms, run)

    def run_until(self, end_ms: int) -> None:
        """Run all calls that are due up to a time and set the clock to it."""
        while self.pending_calls and self.pending_calls[0][0] <= end_ms:
            due_ms, _, call = heapq.heappop(self.pending_calls)
            self.clock.advance(due_ms - self.clock.now_ms())
            call()
        self.clock.advance(end_ms - self.clock.now_ms())


class LinkFaults(NamedTuple):
    """What a link does to messages."""

    delay_ms: int = 0
    """The shortest delay."""

    jitter_ms: int = 0
    """The most that is added to the delay, which reorders messages."""

    loss: float = 0.0
    """The share of messages that are lost."""

    duplication: float = 0.0
    """The share of messages that arrive twice."""

    is_cut: bool = False
    """Whether nothing gets through."""


class FakeLink:
    """Carries messages through an event queue with faults."""

    def __init__(self, queue: EventQueue, source: random.Random) -> None:
        self.queue = queue
        self.source = source

    def carry(self, faults: LinkFaults, deliver: Callable[[], None]) -> None:
        """Call `arrive` once the message has crossed the link, if it does."""
        if faults.is_cut or self.source.random() < faults.loss:
            return
        copies = 2 if self.source.random() < faults.duplication else 1
        for _ in range(copies):
            delay_ms = faults.delay_ms
            if faults.jitter_ms:
                delay_ms += self.source.randrange(faults.jitter_ms + 1)
            self.queue.call_after(delay_ms, deliver)
