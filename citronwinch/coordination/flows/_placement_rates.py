"""How fast openings are placed while others of the same services wait."""

import math
from collections import deque
from collections.abc import Collection

from citronwinch.coordination._clock import Clock

RATE_WINDOW_MS = 1_000
"""The time over which placements are counted, in milliseconds."""

MIN_OBSERVATION_MS = 30
"""The shortest observation that says anything about the servers, in milliseconds: by
then three quarters of their agents have reported (REPORT_INTERVAL_MS)."""

PAUSE_MS = 200
"""A gap between two updates, in milliseconds, that ends the observation: the balancer
was paused and placed nothing meanwhile, which says nothing about the servers."""


class PlacementRates:
    """The openings that were placed in the last second, by service.

    A rate describes the servers only while openings wait for them; otherwise it is the
    callers' demand. The observation of a service therefore begins when an opening
    starts to wait for it, and ends when none waits.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock(5_000)
        >>> rates = PlacementRates(clock)
        >>> rates.update_waiting({"gauging"})
        >>> for _ in range(9):
        ...     clock.advance(10)
        ...     rates.record_placed("gauging")
        >>> clock.advance(10)
        >>> rates.estimate_per_s({"gauging"})
        100.0
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.placed_ms: dict[str, deque[int]] = {}
        """When openings of each service were placed in the last second."""
        self.waiting_since_ms: dict[str, int] = {}
        """Since when openings have been waiting for each service without a pause."""
        self.updated_ms = clock.now_ms()

    def record_placed(self, service: str) -> None:
        """Record that an opening was placed, if others of the service wait."""
        if service not in self.waiting_since_ms:
            return
        placed_ms = self.placed_ms.setdefault(service, deque())
        placed_ms.append(self.clock.now_ms())
        self._remove_old(placed_ms)

    def record_waiting(self, services: Collection[str]) -> None:
        """Record that an opening waits for one of the services."""
        now_ms = self.clock.now_ms()
        if not self.waiting_since_ms:
            self.updated_ms = now_ms
        for service in services:
            self.waiting_since_ms.setdefault(service, now_ms)

    def update_waiting(self, services: Collection[str]) -> None:
        """Set the services that openings wait for; call this at every tick."""
        now_ms = self.clock.now_ms()
        if now_ms - self.updated_ms > PAUSE_MS:
            self.waiting_since_ms.clear()
        self.updated_ms = now_ms
        self.waiting_since_ms = {
            service: self.waiting_since_ms.get(service, now_ms) for service in services
        }
        self.placed_ms = {
            service: placed_ms
            for service, placed_ms in self.placed_ms.items()
            if service in self.waiting_since_ms
        }

    def estimate_per_s(self, services: Collection[str]) -> float:
        """Return the openings per second that the services take, rather too high.

        One more opening than was placed counts: a short observation without any must
        not be taken for a standstill. The rate is infinite until the observation is
        long enough.
        """
        placed, observed_ms = self.count_placed(services)
        return _compute_per_s(placed, observed_ms)

    def estimate_most_per_s(
        self, services: Collection[str], capacity_per_s: float
    ) -> float:
        """Return the openings per second that the services may take from now on.

        Until openings have been placed for long enough, that is what the servers can
        process. They may still be working off what all balancers placed at once, which
        says nothing about the rate afterwards; the observation therefore begins with
        the first placement. Without any for a whole window, the servers stand still.
        """
        now_ms = self.clock.now_ms()
        since_ms = self._find_start_ms(services, now_ms)
        placed_ms = self._list_placed_ms(services, since_ms)
        per_s = _compute_per_s(len(placed_ms), now_ms - since_ms)
        if not placed_ms:
            is_standstill = now_ms - since_ms >= RATE_WINDOW_MS
            return per_s if is_standstill else max(per_s, capacity_per_s)
        observed_ms = now_ms - min(placed_ms)
        if observed_ms < MIN_OBSERVATION_MS:
            return max(per_s, capacity_per_s)
        return _compute_per_s(len(placed_ms), observed_ms)

    def count_placed(self, services: Collection[str]) -> tuple[int, int]:
        """Return how many openings were placed, and in how many milliseconds."""
        now_ms = self.clock.now_ms()
        since_ms = self._find_start_ms(services, now_ms)
        return len(self._list_placed_ms(services, since_ms)), now_ms - since_ms

    def _find_start_ms(self, services: Collection[str], now_ms: int) -> int:
        """Return when the observation of some services began, in milliseconds."""
        since_ms = max(
            (self.waiting_since_ms.get(service, now_ms) for service in services),
            default=now_ms,
        )
        return max(since_ms, now_ms - RATE_WINDOW_MS)

    def _list_placed_ms(self, services: Collection[str], since_ms: int) -> list[int]:
        """Return when openings were placed since some time, in milliseconds."""
        return [
            placed_ms
            for service in services
            for placed_ms in self.placed_ms.get(service, ())
            if placed_ms >= since_ms
        ]

    def _remove_old(self, placed_ms: deque[int]) -> None:
        oldest_ms = self.clock.now_ms() - RATE_WINDOW_MS
        while placed_ms and placed_ms[0] < oldest_ms:
            placed_ms.popleft()


def _compute_per_s(placed: int, observed_ms: int) -> float:
    """Return a rate with one more opening; infinite for too short an observation."""
    if observed_ms < MIN_OBSERVATION_MS:
        return math.inf
    return 1_000 * (placed + 1) / observed_ms
