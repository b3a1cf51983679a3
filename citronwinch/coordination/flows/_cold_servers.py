"""Until when backend servers are cold, as a balancer knows it from the listing."""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._deployment import BackendServer, ServiceLimits


class Warmup(NamedTuple):
    """The limit of one cold server."""

    left_ms: int
    """For how long it stays cold, in milliseconds; 0 if it is warm."""

    per_s: float
    """The requests per second that it sustains while it is cold; 0 for no limit."""


class ColdServer(NamedTuple):
    """What the listing says of one server that is or was cold."""

    started_ms: int
    """Its incarnation."""

    listed_left_ms: int
    """The remaining time in its latest entry, in milliseconds."""

    learned_ms: int
    """When the balancer learned that it is cold."""

    until_ms: int
    """Until when it is cold."""


class ColdServers:
    """The servers that are cold, by address.

    The end of a warm-up is computed when an entry first states its remaining time, so
    that it passes even if the listing is not read again. A repeated entry does not
    extend it; a new incarnation or a longer remaining time begins a new warm-up.

    Example::

        >>> from citronwinch.coordination import Endpoint, ManualClock
        >>> from citronwinch.coordination.flows import ServerState
        >>> clock = ManualClock()
        >>> address, ready = Endpoint("10.0.0.1", 80), ServerState.READY
        >>> server = BackendServer("s", "x", address, "a", ready, 2, 1, 1_500)
        >>> cold_servers = ColdServers(clock)
        >>> cold_servers.limits = {"x": ServiceLimits(10.0)}
        >>> cold_servers.update([server])
        >>> clock.advance(600)
        >>> cold_servers.update([server])
        >>> cold_servers.get_warmup(server)
        Warmup(left_ms=900, per_s=10.0)
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.limits: Mapping[str, ServiceLimits] = MappingProxyType({})
        """The limits of the configuration by service."""
        self.servers: dict[str, ColdServer] = {}
        """The servers that the listing called cold in their latest entry."""
        self.newly_cold: set[str] = set()
        """The addresses of servers that were found cold since this set was cleared."""
        self.latest_until_ms = 0
        """When the last of all warm-ups ends."""

    def update(self, servers: Iterable[BackendServer]) -> None:
        """Apply the entries of all listed servers, one for each address."""
        now_ms = self.clock.now_ms()
        previous, self.servers = self.servers, {}
        for server in servers:
            ip, left_ms = server.address.ip, server.warmup_left_ms
            known = previous.pop(ip, None)
            if left_ms == 0:
                continue
            until_ms = now_ms + left_ms
            if (
                known is None
                or known.started_ms != server.started_ms
                or known.listed_left_ms < left_ms
            ):
                learned_ms = now_ms
                self.newly_cold.add(ip)
            else:
                learned_ms, until_ms = known.learned_ms, min(known.until_ms, until_ms)
            self.servers[ip] = ColdServer(
                server.started_ms, left_ms, learned_ms, until_ms
            )
        # A server that is missing for a short time continues its warm-up.
        self.servers |= {
            ip: known for ip, known in previous.items() if now_ms < known.until_ms
        }
        self.latest_until_ms = max(
            (known.until_ms for known in self.servers.values()), default=0
        )

    def get_warmup(self, server: BackendServer) -> Warmup:
        """Return the remaining time of a server's warm-up and its limit."""
        known = self.servers.get(server.address.ip)
        left_ms = known.until_ms - self.clock.now_ms() if known is not None else 0
        limits = self.limits.get(server.service)
        return Warmup(max(0, left_ms), limits.warmup_per_s if limits else 0.0)

    def count_limited(self) -> int:
        """Return how many servers are cold, if any service has a limit."""
        now_ms = self.clock.now_ms()
        if not self.has_any():
            return 0
        return sum(now_ms < known.until_ms for known in self.servers.values())

    def has_any(self) -> bool:
        """Return whether any server may be cold and limited."""
        return bool(self.limits) and self.clock.now_ms() < self.latest_until_ms
