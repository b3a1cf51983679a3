"""The order in which a balancer places held openings."""

from collections import defaultdict
from collections.abc import Collection, Iterable
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._caller_shares import CallerShares
from citronwinch.coordination.flows._held_opening import HeldOpening
from citronwinch.coordination.flows._placement_rates import PlacementRates

ServicePool = frozenset[str]
"""Services that have routes in common, so that openings for one of them compete with
those for the others."""


class Backlog(NamedTuple):
    """The openings of one priority that wait for one pool."""

    waiting: int
    """Their number."""

    objective_ms: int
    """The shortest latency objective of their routes, in milliseconds."""


class OpeningOrder:
    """Sorts held openings by priority, lateness, their callers' shares and age."""

    def __init__(
        self, clock: Clock, rates: PlacementRates, shares: CallerShares
    ) -> None:
        self.clock = clock
        self.rates = rates
        self.shares = shares

    def sort(self, openings: Collection[HeldOpening]) -> list[HeldOpening]:
        """Return the openings in the order in which they should be placed.

        Within a priority, openings that can still meet their latency objective come
        first. Of these, the oldest is at the front, or the newest while more openings
        wait than are placed within the objective: the oldest would be late by the time
        they are answered. Late openings follow, the last received at the front, because
        its caller is the most likely to be still waiting for an answer.

        The openings of callers that have had more than their share come after the
        others of the same priority and lateness. An opening that is late only if it
        continues an earlier attempt of its caller comes after those of the same share:
        the guess is often wrong, more often for callers with few openings.
        """
        pools = group_services(openings)
        crowded = self._find_crowded(openings, pools)
        above = self.shares.find_above_share({held.caller for held in openings})
        now_ms = self.clock.now_ms()

        def make_key(held: HeldOpening) -> tuple[int, bool, bool, bool, int]:
            is_late = held.attempt_timely_until_ms < now_ms
            may_be_late = held.timely_until_ms < now_ms
            if may_be_late:
                order = -held.received_ms
            elif (held.pool_in(pools), held.route.priority) in crowded:
                order = -held.times.first_ms
            else:
                order = held.times.first_ms
            is_above = held.caller in above
            return held.route.priority, is_late, is_above, may_be_late, order

        return sorted(openings, key=make_key)

    def _find_crowded(
        self, openings: Iterable[HeldOpening], pools: dict[str, ServicePool]
    ) -> set[tuple[ServicePool, int]]:
        """Return the pools and priorities with more openings than find room in time."""
        backlogs: dict[tuple[ServicePool, int], Backlog] = {}
        for held in openings:
            key = held.pool_in(pools), held.route.priority
            objective_ms = held.route.latency_objective_ms
            previous = backlogs.get(key, Backlog(0, objective_ms))
            backlogs[key] = Backlog(
                previous.waiting + 1, min(previous.objective_ms, objective_ms)
            )
        return {
            (pool, priority)
            for (pool, priority), backlog in backlogs.items()
            if 1_000 * backlog.waiting
            > self.rates.estimate_per_s(pool) * backlog.objective_ms
        }


def group_services(openings: Iterable[HeldOpening]) -> dict[str, ServicePool]:
    """Return the pool of each service that the routes of the openings have."""
    pools: dict[str, ServicePool] = defaultdict(frozenset)
    for services in {held.services for held in openings}:
        merged = services.union(*(pools[service] for service in services))
        for service in merged:
            pools[service] = merged
    return dict(pools)
