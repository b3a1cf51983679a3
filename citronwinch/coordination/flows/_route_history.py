"""The services that routes had before, whose flows are still open.

A balancer knows them from the configurations that it has followed, and from other
balancers. It states from when on it knows each change, because one that has not seen a
change must not take a service for unrelated to a route.
"""

from collections.abc import Iterable
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._deployment import Configuration
from citronwinch.coordination.flows._messages import FormerRoute

ROUTE_HISTORY_MS = 60_000
"""How long the former services of a route are kept, in milliseconds; the platform's
longest lifetime of a flow."""


CONFIGURATION_LAG_MS = 3_000
"""How long a configuration may take to reach all balancers, in milliseconds."""


class HistoryGap(NamedTuple):
    """A time in which changes of routes may have been missed."""

    known_since_ms: int
    """From when on each change before the gap is known, in milliseconds."""

    since_ms: int
    """When the gap began, in milliseconds."""


class RouteHistory:
    """The former services of routes; the flows that they have are kept open.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> clock = ManualClock()
        >>> history = RouteHistory(clock)
        >>> history.is_complete
        True
        >>> history.start()
        >>> history.is_complete
        False
        >>> clock.advance(ROUTE_HISTORY_MS)
        >>> history.is_complete
        True
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.known_since_ms = clock.now_ms() - ROUTE_HISTORY_MS
        """From when on each change of a route is known, in milliseconds."""
        self.gap: HistoryGap | None = None
        """The gap that ended at `known_since_ms`, None without one. Of several gaps the
        first one counts, from its beginning to the end of the last one."""
        self.changed_ms: dict[tuple[bytes, str], int] = {}
        """When a route that sent flows to a service was last changed, by route address
        and service, in milliseconds."""

    def start(self) -> None:
        """Record that routes may have changed before this process started."""
        self.known_since_ms = self.clock.now_ms()

    @property
    def known_for_ms(self) -> int:
        """For how long each change is known, up to the lifetime of a flow, in ms."""
        return min(self.clock.now_ms() - self.known_since_ms, ROUTE_HISTORY_MS)

    @property
    def is_complete(self) -> bool:
        """Whether each change within the lifetime of a flow is known."""
        return self.known_for_ms >= ROUTE_HISTORY_MS

    def record_gap(self, since_ms: int) -> None:
        """Record that changes may have been missed from some time until now."""
        if self.gap is None or self.is_complete:
            self.gap = HistoryGap(self.known_since_ms, since_ms)
        self.known_since_ms = self.clock.now_ms()

    def record_change(self, old: Configuration, new: Configuration) -> None:
        """Record the services of the routes that a new configuration changes."""
        now_ms = self.clock.now_ms()
        for address, route in old.routes.items():
            if new.routes.get(address) == route:
                continue
            for share in route.shares:
                self.changed_ms[address, share.service] = now_ms

    def list_former_routes(self) -> tuple[FormerRoute, ...]:
        """Return the former services of routes, for another balancer."""
        now_ms = self.clock.now_ms()
        return tuple(
            FormerRoute(address, service, now_ms - changed_ms)
            for (address, service), changed_ms in self.changed_ms.items()
        )

    def record_learned(
        self, former_routes: Iterable[FormerRoute], known_for_ms: int
    ) -> None:
        """Record the former services of routes that another balancer knows.

        `known_for_ms` is for how long that balancer has known each change; 0 if it does
        not state that. It must not have an older configuration than this one.
        """
        now_ms = self.clock.now_ms()
        learned_since_ms = now_ms - known_for_ms
        if self.gap is not None and learned_since_ms <= self.gap.since_ms:
            learned_since_ms = min(learned_since_ms, self.gap.known_since_ms)
            self.gap = None
        self.known_since_ms = min(self.known_since_ms, learned_since_ms)
        for address, service, changed_ms_ago in former_routes:
            changed_ms = now_ms - changed_ms_ago
            known_ms = self.changed_ms.get((address, service), changed_ms)
            self.changed_ms[address, service] = max(known_ms, changed_ms)

    def list_services(self, address: bytes) -> set[str]:
        """Return the services that a route had within the lifetime of a flow."""
        since_ms = self.clock.now_ms() - ROUTE_HISTORY_MS
        return {
            service
            for (route_address, service), changed_ms in self.changed_ms.items()
            if route_address == address and changed_ms >= since_ms
        }

    def list_all_services(self) -> set[str]:
        """Return the services that any route had within the lifetime of a flow."""
        since_ms = self.clock.now_ms() - ROUTE_HISTORY_MS
        return {
            service
            for (_, service), changed_ms in self.changed_ms.items()
            if changed_ms >= since_ms
        }

    def has_just_changed(self, address: bytes) -> bool:
        """Return whether a route was changed within CONFIGURATION_LAG_MS."""
        since_ms = self.clock.now_ms() - CONFIGURATION_LAG_MS
        return any(
            route_address == address and changed_ms >= since_ms
            for (route_address, _), changed_ms in self.changed_ms.items()
        )

    def expire(self) -> None:
        """Remove services whose flows have ended."""
        since_ms = self.clock.now_ms() - ROUTE_HISTORY_MS
        self.changed_ms = {
            key: changed_ms
            for key, changed_ms in self.changed_ms.items()
            if changed_ms >= since_ms
        }
