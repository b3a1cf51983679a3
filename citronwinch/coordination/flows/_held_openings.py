"""Openings that a balancer holds until a backend server has room for them."""

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._caller_shares import CallerShares
from citronwinch.coordination.flows._held_opening import HeldOpening
from citronwinch.coordination.flows._opening_order import (
    OpeningOrder,
    ServicePool,
    group_services,
)
from citronwinch.coordination.flows._placement_rates import PlacementRates

HELD_OPENINGS_LIMIT = 1_000
"""The most openings that are held; they take about 1.5 MB, and to sort them takes 3 ms
of a tick of 20 ms."""


class HeldOpenings:
    """The held openings, with what decides the order in which they are placed."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.openings: dict[FlowKey, HeldOpening] = {}
        self.rates = PlacementRates(clock)
        self.shares = CallerShares(clock)
        self.order = OpeningOrder(clock, self.rates, self.shares)
        self.latest_timely_ms = 0
        """From when on all held openings are late."""

    def hold_opening(self, held: HeldOpening) -> bool:
        """Hold an opening; return False if too many are held already.

        A copy of a held opening changes nothing.
        """
        flow = held.packet.flow
        if flow in self.openings:
            return True
        if len(self.openings) >= HELD_OPENINGS_LIMIT:
            return False
        if not self.openings:
            self.latest_timely_ms = 0
        self.latest_timely_ms = max(self.latest_timely_ms, held.timely_until_ms)
        self.openings[flow] = held
        self.rates.record_waiting(held.services)
        return True

    def must_queue(self, held: HeldOpening) -> bool:
        """Return whether a new opening may have to let a held one go first."""
        if not self.openings or held.packet.flow in self.openings:
            return False
        now_ms = self.clock.now_ms()
        return held.timely_until_ms < now_ms or now_ms <= self.latest_timely_ms

    def is_late(self, held: HeldOpening) -> bool:
        """Return whether an opening is too old to meet its latency objective."""
        return held.timely_until_ms < self.clock.now_ms()

    def list_by_priority(self) -> list[HeldOpening]:
        """Return the openings in the order in which they should be placed."""
        return self.order.sort(self.openings.values())

    def list_by_pool(
        self, services: frozenset[str] = frozenset()
    ) -> dict[ServicePool, list[HeldOpening]]:
        """Return the openings of each pool in the order of placement.

        With `services`, only the pool that has one of them is returned.
        """
        pools = group_services(self.openings.values())
        by_pool: dict[ServicePool, list[HeldOpening]] = {}
        for held in self.openings.values():
            pool = held.pool_in(pools)
            if not services or pool & services:
                by_pool.setdefault(pool, []).append(held)
        return {pool: self.order.sort(openings) for pool, openings in by_pool.items()}

    def update_rates(self) -> None:
        """Update which services openings wait for; call this at every tick."""
        services: set[str] = set()
        for waiting in {held.services for held in self.openings.values()}:
            services |= waiting
        self.rates.update_waiting(services)

    def remove(self, key: FlowKey) -> None:
        """Remove an opening that has been placed or refused."""
        self.openings.pop(key, None)
