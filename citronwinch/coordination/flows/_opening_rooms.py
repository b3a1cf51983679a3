"""How many openings a balancer may still place at each agent that limits them."""

from collections.abc import Sequence

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._cold_servers import ColdServers
from citronwinch.coordination.flows._deployment import BackendServer
from citronwinch.coordination.flows._messages import UNLIMITED_OPENINGS, LoadReport
from citronwinch.coordination.flows._opening_rate import OPENING_WINDOW_MS

UNAWARE_AGENT_MS = 1_000
"""How long a balancer places nothing at a cold server whose agent does not limit
openings, in milliseconds. The agent learns of the warm-up within one round trip; one of
an earlier version never does."""


class OpeningRoom:
    """The room for openings at one agent."""

    def __init__(self, room: int, since_ms: int) -> None:
        self.room = room
        self.since_ms = since_ms
        """When the agent reported the room."""
        self.placed = 0
        """The openings placed since then."""


class OpeningRooms:
    """The room for openings at the agents that limit them.

    The agents decide: an opening beyond the limit comes back. The rooms avoid that.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.cold_servers = ColdServers(clock)
        """Replaced by that of the balancer's view."""
        self.rooms: dict[str, OpeningRoom] = {}
        """The rooms of the agents that limit openings, by address."""

    def record_report(self, ip: str, report: LoadReport) -> None:
        """Record the room that an agent reports."""
        if report.opening_room >= UNLIMITED_OPENINGS:
            self.rooms.pop(ip, None)
        else:
            self.rooms[ip] = OpeningRoom(report.opening_room, self.clock.now_ms())

    def record_placed(self, ip: str) -> None:
        """Record that an opening was placed at an agent."""
        if ip in self.rooms:
            self.rooms[ip].placed += 1

    def retain(self, ips: set[str]) -> None:
        """Remove all agents except those at the given addresses."""
        for ip in self.rooms.keys() - ips:
            del self.rooms[ip]

    def list_with_room(self, servers: Sequence[BackendServer]) -> list[BackendServer]:
        """Return the servers whose agents accept another opening."""
        if not self.rooms and not self.cold_servers.has_any():
            return list(servers)
        return [server for server in servers if self.has_room(server)]

    def has_room(self, server: BackendServer) -> bool:
        """Return whether the agent of a server accepts another opening."""
        if server.address.ip in self.rooms:
            return not self.is_exhausted(server.address.ip)
        warmup = self.cold_servers.get_warmup(server)
        if not warmup.left_ms or not warmup.per_s:
            return True
        learned_ms = self.cold_servers.servers[server.address.ip].learned_ms
        return self.clock.now_ms() - learned_ms >= UNAWARE_AGENT_MS

    def is_exhausted(self, ip: str) -> bool:
        """Return whether an agent limits openings and has no room for another one.

        A report describes one second. After that, one opening a second is allowed; the
        agent accepts it or returns it with a new report.
        """
        room = self.rooms.get(ip)
        if room is None:
            return False
        now_ms = self.clock.now_ms()
        if now_ms - room.since_ms >= OPENING_WINDOW_MS:
            room.room, room.since_ms, room.placed = max(1, room.room), now_ms, 0
        return room.placed >= room.room
