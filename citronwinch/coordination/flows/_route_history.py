"""The services that routes had before, whose flows are still open."""

from collections.abc import Iterable

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._deployment import Configuration
from citronwinch.coordination.flows._messages import FormerRoute

ROUTE_HISTORY_MS = 60_000
"""How long the former services of a route are kept, in milliseconds; the platform's
longest lifetime of a flow."""


CONFIGURATION_LAG_MS = 3_000
"""How long a configuration may take to reach all balancers, in milliseconds."""


class RouteHistory:
    """The former services of routes; the flows that they have are kept open."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.changed_ms: dict[tuple[bytes, str], int] = {}
        """When a route that sent flows to a service was last changed, by route address
        and service, in milliseconds."""

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

    def record_learned(self, former_routes: Iterable[FormerRoute]) -> None:
        """Record the former services of routes that another balancer knows."""
        now_ms = self.clock.now_ms()
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
