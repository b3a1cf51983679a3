"""The servers that have registered lately, and when the store last lacked them.

An agent that was there before the store listed its server has seen each opening that
the server got: balancers send openings to listed servers only. Agents cannot tell by
the time of day, which jumps, whether they or their servers started first.
"""

from collections.abc import Iterable

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._deployment import BackendServer

NEW_SERVER_RETENTION_MS = 60_000
"""How long a server counts as new, in milliseconds; the platform's longest lifetime of
a flow."""


class NewServers:
    """When the store last lacked each new server, by the address of its agent.

    Example::

        >>> from citronwinch.coordination import Endpoint, ManualClock
        >>> from citronwinch.coordination.flows import ServerState
        >>> clock = ManualClock()
        >>> address = Endpoint("10.0.0.9", 8080)
        >>> server = BackendServer(
        ...     "s9", "gauging", address, "a", ServerState.READY, 1, 0
        ... )
        >>> new_servers = NewServers(clock)
        >>> new_servers.record([server], set(), clock.now_ms())
        >>> clock.advance(300)
        >>> [new_servers.get_absence_ms(ip) for ip in ("10.0.0.9", "10.0.0.8")]
        [300, 0]
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.absent_ms: dict[str, int] = {}
        """When the store last lacked a server at an address, in milliseconds."""

    def record(
        self, servers: Iterable[BackendServer], known: set[str], absent_ms: int
    ) -> None:
        """Record the servers at addresses that are not among the known ones.

        `absent_ms` is when the store had an older listing without them.
        """
        for server in servers:
            if server.address.ip not in known:
                self.absent_ms.setdefault(server.address.ip, absent_ms)

    def get_absence_ms(self, ip: str) -> int:
        """Return how long ago the store lacked a server at an address, in ms.

        0 if that is unknown.
        """
        absent_ms = self.absent_ms.get(ip)
        return self.clock.now_ms() - absent_ms if absent_ms is not None else 0

    def expire(self) -> None:
        """Remove the servers that are not new any more."""
        oldest_ms = self.clock.now_ms() - NEW_SERVER_RETENTION_MS
        self.absent_ms = {
            ip: absent_ms
            for ip, absent_ms in self.absent_ms.items()
            if absent_ms >= oldest_ms
        }
