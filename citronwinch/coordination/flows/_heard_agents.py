"""Since when a balancer hears the agents beside the backend servers."""

from collections.abc import Iterable

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._deployment import BackendServer


class HeardAgents:
    """Since when a balancer hears the agent beside each server that it knows.

    An agent that has run for a shorter time has an earlier run beside its server.

    Example::

        >>> from citronwinch.coordination import Endpoint, ManualClock
        >>> from citronwinch.coordination.flows import ServerState
        >>> address = Endpoint("10.0.0.9", 8080)
        >>> server = BackendServer(
        ...     "s9", "gauging", address, "a", ServerState.READY, 1, 1_000
        ... )
        >>> clock = ManualClock(10_000)
        >>> heard = HeardAgents(clock)
        >>> heard.set_servers([server])
        >>> heard.record_message("10.0.0.9")
        >>> clock.advance(700)
        >>> heard.get_heard_ms(server)
        700
        >>> heard.get_heard_ms(server._replace(started_ms=2_000))
        0
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.servers: dict[str, tuple[str, int]] = {}
        """The name and the incarnation of the server at each address."""
        self.since_ms: dict[str, int] = {}
        """When the first message came from each address while that server was known."""

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Replace the known servers; the last one at an address counts."""
        former = self.servers
        self.servers = {
            server.address.ip: (server.name, server.started_ms) for server in servers
        }
        self.since_ms = {
            ip: since_ms
            for ip, since_ms in self.since_ms.items()
            if self.servers.get(ip) == former[ip]
        }

    def record_message(self, ip: str) -> None:
        """Record that a message of the agent at an address has arrived."""
        if ip not in self.since_ms and ip in self.servers:
            self.since_ms[ip] = self.clock.now_ms()

    def get_heard_ms(self, server: BackendServer) -> int:
        """Return for how long an agent is heard beside a server, in ms; 0 if not."""
        ip = server.address.ip
        if self.servers.get(ip) != (server.name, server.started_ms):
            return 0
        since_ms = self.since_ms.get(ip)
        return 0 if since_ms is None else self.clock.now_ms() - since_ms
