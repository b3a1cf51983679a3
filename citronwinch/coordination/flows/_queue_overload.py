"""Decides whether more requests wait beside a server than it can answer in time."""

from typing import NamedTuple

from citronwinch.coordination._clock import Clock

OVERLOAD_FACTOR = 2
"""The work of the requests that can still be in time, as a multiple of the objective,
from which a queue is overloaded. At any load, chance alone leaves more work than one
objective at times, and the oldest first keep more requests in time then."""


class QueueLength(NamedTuple):
    """The requests of one priority that can still be in time, and their work."""

    requests: int
    """How many they are; at least one."""

    objective_ms: int
    """The objective of the newest."""

    answer_ms: int
    """The service time of one request, with its margin."""

    slots: int
    """How many requests the server processes concurrently."""

    def compute_work_ms(self) -> float:
        """Return how long it takes until the newest is answered, if served last."""
        turns = (self.requests - 1) / max(1, self.slots)
        return (turns + 1) * self.answer_ms


class QueueOverload:
    """Whether the queue of each priority is overloaded, with hysteresis.

    A queue is overloaded when its newest request, served last, would be answered after
    twice its objective. That holds until it has not been so for one objective.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock()
        >>> overload = QueueOverload(clock)
        >>> crowd = QueueLength(30, objective_ms=400, answer_ms=30, slots=1)
        >>> few = crowd._replace(requests=5)
        >>> overload.update(1, crowd), overload.update(2, few)
        (True, False)
        >>> clock.advance(399)
        >>> overload.update(1, few)
        True
        >>> clock.advance(1)
        >>> overload.update(1, few)
        False
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.until_ms: dict[int, int] = {}
        """The end of the overload by priority. A priority is one byte in the messages
        of balancers, which bounds the entries."""

    def update(self, priority: int, length: QueueLength) -> bool:
        """Return whether the queue of a priority is overloaded, given its length."""
        now_ms = self.clock.now_ms()
        if length.compute_work_ms() > OVERLOAD_FACTOR * length.objective_ms:
            # Routes of one priority may differ in their objectives.
            until_ms = now_ms + length.objective_ms
            self.until_ms[priority] = max(until_ms, self.until_ms.get(priority, 0))
        return now_ms < self.until_ms.get(priority, now_ms)
