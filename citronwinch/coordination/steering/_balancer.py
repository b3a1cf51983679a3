"""Decides to which agent a balancer sends each packet."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey, TransportProtocol
from citronwinch.coordination._clock import Clock, MonotonicClock
from citronwinch.coordination._placement import find_home
from citronwinch.coordination._table import EMPTY_TABLE, Table, TableRow
from citronwinch.coordination.steering._former_services import FormerServices
from citronwinch.coordination.steering._messages import Forward, Hint
from citronwinch.coordination.steering._reachability import AgentReachability

ROUTE_IDLE_MS = 60_000
"""The age at which the current generation of cached routes is replaced, in ms.

An unused route stays cached at least that long while there is room, and at most twice
that.
"""


class Packet(NamedTuple):
    """A parsed packet from the fabric."""

    flow: FlowKey
    """The flow that it belongs to."""

    data: bytes
    """The whole IP packet."""

    opens: bool
    """Whether it may open the flow: a SYN, or any UDP packet."""

    ends: bool = False
    """Whether it ends the flow: a FIN or RST."""


class Route(NamedTuple):
    """Where a balancer sends a packet."""

    agent: str
    """The agent that receives the packet, named by its backend server."""

    pinned: bool
    """Whether the balancer knows that agent as the flow's owner."""


class RouteCache:
    """A cache of routes by flow, bounded in size and age.

    The cache has two generations of at most `limit` flows each. Routes are stored in
    the current generation; a route found in the previous generation moves there. When
    the current generation is full, or `ROUTE_IDLE_MS` old, it replaces the previous
    generation, whose routes are dropped, so that no search for the oldest routes is
    needed. The `limit` most recently used flows stay cached until they are idle.
    """

    def __init__(self, limit: int, clock: Clock) -> None:
        self.limit = max(1, limit)
        self.clock = clock
        self.current: dict[FlowKey, Route] = {}
        self.previous: dict[FlowKey, Route] = {}
        self.rotated_ms = clock.now_ms()

    def __len__(self) -> int:
        return len(self.current) + len(self.previous)

    def find(self, flow: FlowKey) -> Route | None:
        """Return the cached route of a flow, None when there is none."""
        route = self.current.get(flow)
        if route is None and self.previous:
            route = self.previous.pop(flow, None)
            if route is not None:
                self.store(flow, route)
        return route

    def store(self, flow: FlowKey, route: Route) -> None:
        """Cache the route of a flow."""
        if len(self.current) >= self.limit and flow not in self.current:
            self.rotate()
        self.previous.pop(flow, None)
        self.current[flow] = route

    def remove(self, flow: FlowKey) -> None:
        """Remove a flow."""
        self.current.pop(flow, None)
        self.previous.pop(flow, None)

    def clear(self) -> None:
        """Remove all flows."""
        self.current.clear()
        self.previous.clear()

    def expire(self) -> None:
        """Rotate the generations when the current one is old."""
        if self.clock.now_ms() - self.rotated_ms >= ROUTE_IDLE_MS:
            self.rotate()

    def rotate(self) -> None:
        """Make the current generation the previous one, and begin an empty one."""
        self.previous = self.current
        self.current = {}
        self.rotated_ms = self.clock.now_ms()


class BalancerSteering:
    """Chooses an agent for each packet.

    Its state can be lost without harm. `owner_routes` are the routes to the owners
    that agents have sent in hints, and `home_routes` those to the homes computed from
    the table. `pinned_route_by_agent` has one route object for each agent, which
    `owner_routes` shares between flows.
    """

    def __init__(
        self, name: str, cache_limit: int = 300_000, clock: Clock | None = None
    ) -> None:
        self.name = name
        self.table: Table = EMPTY_TABLE
        self.clock: Clock = clock or MonotonicClock()
        self.owner_routes = RouteCache(cache_limit, self.clock)
        self.home_routes = RouteCache(cache_limit, self.clock)
        self.reachability = AgentReachability(self.clock)
        self.pinned_route_by_agent: dict[str, Route] = {}
        self.former_services = FormerServices(self.clock)

    def accept_table(self, table: Table) -> None:
        """Replace the table; one whose revision is not higher is ignored."""
        if table.revision > self.table.revision:
            self.former_services.update(self.table, table)
            self.table = table
            self.home_routes.clear()

    def find_service(self, packet: Packet) -> str | None:
        """Return the service that gets a packet, None when there is none.

        Packets that may belong to established flows of a service that was removed
        from the table still go to that service. A TCP packet that opens a flow doesn't.
        """
        service = self.table.find_service(packet.flow)
        if service is not None:
            return service
        if packet.opens and packet.flow[0] == TransportProtocol.TCP:
            return None
        former = self.former_services.find(packet.flow)
        return former.name if former is not None else None

    def may_be_established(self, packet: Packet) -> bool:
        """Return whether a packet without a service may belong to an established flow.

        Its service may have been removed from the table before this balancer started.
        Such a packet must not be refused, since that would end the flow. Any packet is
        such before the first table, and a TCP packet that opens no flow as long as
        former services may be unknown.
        """
        if not self.table.revision:
            return True
        is_tcp = packet.flow[0] == TransportProtocol.TCP
        return is_tcp and not packet.opens and not self.former_services.is_complete()

    def find_rows(self, flow: FlowKey, service: str) -> tuple[TableRow, ...]:
        """Return the rows of a service; for a removed service, its last rows."""
        rows = self.table.rows_by_service.get(service)
        if rows is not None:
            return rows
        former = self.former_services.find(flow)
        return former.rows if former is not None else ()

    def accept_hint(self, hint: Hint) -> None:
        """Cache the owner of a flow, or remove it when the hint names none."""
        if not hint.owner:
            self.owner_routes.remove(hint.flow)
            return
        route = self.pinned_route_by_agent.get(hint.owner)
        if route is None:
            route = self.pinned_route_by_agent[hint.owner] = Route(
                hint.owner, pinned=True
            )
        self.owner_routes.store(hint.flow, route)

    def find_route(self, flow: FlowKey, service: str) -> Route | None:
        """Return the route for a flow's packets, None when the service has no agent."""
        route = self.owner_routes.find(flow)
        if route is not None:
            if route.agent not in self.reachability.unreachable:
                return route
            self.owner_routes.remove(flow)
        route = self.home_routes.find(flow)
        if route is not None and route.agent not in self.reachability.unreachable:
            return route
        return self.find_home_route(flow, service)

    def find_home_route(self, flow: FlowKey, service: str) -> Route | None:
        """Return the route to a flow's home among the reachable agents.

        If no agent is reachable, all agents are considered.
        """
        rows = self.find_rows(flow, service)
        unreachable = self.reachability.unreachable
        if unreachable:
            reachable = [row for row in rows if row.backend_server not in unreachable]
            rows = tuple(reachable) or rows
        home = find_home(flow, rows)
        if home is None:
            return None
        route = Route(home, pinned=False)
        if not unreachable:
            self.home_routes.store(flow, route)
        return route

    def forward(self, packet: Packet, service: str) -> tuple[str, Forward] | None:
        """Return the agent and the message for a packet, None without a route."""
        route = self.find_route(packet.flow, service)
        if route is None:
            return None
        self.reachability.record_sent(route.agent)
        return route.agent, Forward(
            flow=packet.flow,
            service=service,
            packet=packet.data,
            balancer=self.name,
            opens=packet.opens,
            pinned=route.pinned,
            ends=packet.ends,
            declined=self.find_skipped_home(packet.flow, service, route),
        )

    def find_skipped_home(
        self, flow: FlowKey, service: str, route: Route
    ) -> tuple[str, ...]:
        """Return the unreachable home that the route bypasses, if any."""
        if route.pinned or not self.reachability.unreachable:
            return ()
        home = find_home(flow, self.find_rows(flow, service))
        return () if home is None or home == route.agent else (home,)

    def tick(self) -> list[str]:
        """Expire cached routes, and return the agents to probe now."""
        self.owner_routes.expire()
        self.home_routes.expire()
        return self.reachability.due_probes()
