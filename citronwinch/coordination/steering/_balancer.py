"""The decisions of a balancer."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey, TransportProtocol
from citronwinch.coordination._clock import Clock, MonotonicClock
from citronwinch.coordination._placement import find_home
from citronwinch.coordination._table import EMPTY_TABLE, Table, TableRow
from citronwinch.coordination.steering._former_services import FormerServices
from citronwinch.coordination.steering._messages import Forward, Hint
from citronwinch.coordination.steering._reachability import AgentReachability

HINT_AGE_MS = 60_000
"""How long an owner is remembered without use, in milliseconds; at most twice that."""


class Packet(NamedTuple):
    """A packet from the fabric, already parsed."""

    flow: FlowKey
    """Its flow."""

    data: bytes
    """The whole IP packet."""

    opens: bool
    """Whether it may open a flow."""

    ends: bool = False
    """Whether it ends the flow: a FIN or RST."""


class Route(NamedTuple):
    """Where a balancer sends a packet."""

    agent: str
    """The name of the backend server whose agent gets it."""

    pinned: bool
    """Whether the balancer knows that agent as the flow's owner."""


class OwnerCache:
    """The owners that agents have told, bounded in number and age.

    It has two generations. A full or old current generation becomes the older one
    and what was in that one is forgotten, so that neither a look-up nor a full cache
    costs a search. The flows used last, up to `limit`, are always remembered.
    """

    def __init__(self, limit: int, clock: Clock) -> None:
        self.limit = max(1, limit)
        self.clock = clock
        self.current: dict[FlowKey, Route] = {}
        self.older: dict[FlowKey, Route] = {}
        self.turned_ms = clock.now_ms()

    def __len__(self) -> int:
        return len(self.current) + len(self.older)

    def find(self, flow: FlowKey) -> Route | None:
        """Return the route to a flow's owner, None when it is not known."""
        route = self.current.get(flow)
        if route is None and self.older:
            route = self.older.pop(flow, None)
            if route is not None:
                self.remember(flow, route)
        return route

    def remember(self, flow: FlowKey, route: Route) -> None:
        """Remember the route to a flow's owner."""
        if len(self.current) >= self.limit and flow not in self.current:
            self.turn()
        self.older.pop(flow, None)
        self.current[flow] = route

    def forget(self, flow: FlowKey) -> None:
        """Forget a flow."""
        self.current.pop(flow, None)
        self.older.pop(flow, None)

    def clear(self) -> None:
        """Forget everything."""
        self.current.clear()
        self.older.clear()

    def expire(self) -> None:
        """Forget what has not been used for long."""
        if self.clock.now_ms() - self.turned_ms >= HINT_AGE_MS:
            self.turn()

    def turn(self) -> None:
        """Make the current half the older one."""
        self.older = self.current
        self.current = {}
        self.turned_ms = self.clock.now_ms()


class BalancerSteering:
    """Chooses an agent for each packet.

    It keeps nothing that cannot be lost: a bounded cache of owners that agents have
    told, which agents answer, and the current table.
    """

    def __init__(
        self, name: str, cache_limit: int = 300_000, clock: Clock | None = None
    ) -> None:
        self.name = name
        self.table: Table = EMPTY_TABLE
        self.clock: Clock = clock or MonotonicClock()
        self.owners = OwnerCache(cache_limit, self.clock)
        self.homes = OwnerCache(cache_limit, self.clock)
        self.reachability = AgentReachability(self.clock)
        self.routes: dict[str, Route] = {}
        self.former = FormerServices(self.clock)

    def accept_table(self, table: Table) -> None:
        """Use a table from now on; a lower revision is ignored."""
        if table.revision > self.table.revision:
            self.former.follow(self.table, table)
            self.table = table
            self.homes.clear()

    def service_of(self, packet: Packet) -> str | None:
        """Return the service of a packet, None when nobody may serve it.

        A service that has left the table is still served where flows may be
        established; a packet that certainly opens one gets none.
        """
        service = self.table.service_of(packet.flow)
        if service is not None:
            return service
        if packet.opens and packet.flow[0] == TransportProtocol.TCP:
            return None
        former = self.former.find(packet.flow)
        return former.name if former is not None else None

    def rows_of(self, flow: FlowKey, service: str) -> tuple[TableRow, ...]:
        """Return the rows of a service, the last ones when it has left the table."""
        rows = self.table.rows_by_service.get(service)
        if rows is not None:
            return rows
        former = self.former.find(flow)
        return former.rows if former is not None else ()

    def accept_hint(self, hint: Hint) -> None:
        """Remember the owner of a flow, or forget it when the hint names none."""
        if not hint.owner:
            self.owners.forget(hint.flow)
            return
        route = self.routes.get(hint.owner)
        if route is None:
            route = self.routes[hint.owner] = Route(hint.owner, pinned=True)
        self.owners.remember(hint.flow, route)

    def route(self, flow: FlowKey, service: str) -> Route | None:
        """Return where a packet of the flow goes, None when no agent can take it."""
        route = self.owners.find(flow)
        if route is not None:
            if route.agent not in self.reachability.unreachable:
                return route
            self.owners.forget(flow)
        route = self.homes.find(flow)
        if route is not None and route.agent not in self.reachability.unreachable:
            return route
        return self.find_home(flow, service)

    def find_home(self, flow: FlowKey, service: str) -> Route | None:
        """Return the home of a flow as far as this balancer can tell."""
        rows = self.rows_of(flow, service)
        unreachable = self.reachability.unreachable
        if unreachable:
            reachable = [row for row in rows if row.backend_server not in unreachable]
            rows = tuple(reachable) or rows
        home = find_home(flow, rows)
        if home is None:
            return None
        route = Route(home, pinned=False)
        if not unreachable:
            self.homes.remember(flow, route)
        return route

    def forward(self, packet: Packet, service: str) -> tuple[str, Forward] | None:
        """Return the agent and the message for a packet, None when none can take it."""
        route = self.route(packet.flow, service)
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
            declined=self.find_skipped(packet.flow, service, route),
        )

    def find_skipped(
        self, flow: FlowKey, service: str, route: Route
    ) -> tuple[str, ...]:
        """Return the unreachable home in whose place another agent is asked."""
        if route.pinned or not self.reachability.unreachable:
            return ()
        home = find_home(flow, self.rows_of(flow, service))
        return () if home is None or home == route.agent else (home,)

    def tick(self) -> list[str]:
        """Let time pass, and return the agents to ask for a sign of life."""
        self.owners.expire()
        self.homes.expire()
        return self.reachability.due_probes()
