"""Selects the backend server that receives a new flow.

The pressure of a backend server is the number of its waiting requests per slot. Flows
placed at it recently, after its agent's last report, count as waiting requests.
"""

import math
import random
from collections.abc import Collection, Sequence

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._agent_state import AgentState
from citronwinch.coordination.flows._chosen_server import (
    ChosenServer,
    compute_full_pressure,
    compute_remote_cost,
)
from citronwinch.coordination.flows._deployment import BackendServer
from citronwinch.coordination.flows._messages import LoadReport
from citronwinch.coordination.flows._opening_rooms import OpeningRooms

WAITING_REQUEST_WEIGHT = 4.0
"""How many open flows a waiting request counts for in a backend server's load."""

BUSY_SHARE_WEIGHT = 20.0
"""How many open flows a backend server without idle time counts for in its load."""

SPILLOVER_MIN_PRESSURE_GAP = 1.5
"""How much lower the pressure of another service must be before the new flows of a
saturated service spill over to it."""

SPILLOVER_MIN_BUSY_GAP = 0.2
"""How much lower the busy share of another service must be instead; either difference
is enough."""

MANY_CANDIDATES = 24
"""With more candidates than this, those of the own zone are compared first."""

MAX_SLOWNESS = 4.0
"""The largest factor by which a high latency multiplies a backend server's load."""

LOCAL_AGENT_TIMEOUT_MS = 1_100
"""How long an agent of the balancer's own zone may at least send nothing before its
server is chosen as a last resort only, in milliseconds: three heartbeats at their
shortest interval, and their answers."""

REMOTE_AGENT_TIMEOUT_MS = 5_000
"""The same for an agent of another zone, to which heartbeats are less frequent."""

HEARTBEATS_PER_TIMEOUT = 3
"""How many heartbeats an agent may leave unanswered, at least."""

HEARTBEAT_ANSWER_MARGIN_MS = 200
"""The time for delays of a heartbeat and its answer, in milliseconds."""

OUTLIER_MARGIN = 0.15
"""By how much a server's share of failed requests must exceed the median of the
candidates for the server to be an outlier, which gets new flows only when no other
candidate has room; three steps of the reported share."""

MAX_OUTLIER_SHARE = 0.34
"""The largest share of the candidates that is excluded as outliers. If more of them
fail requests, the cause is outside the servers."""

PLACED_FLOW_PENDING_MS = 90
"""How long a flow counts as a waiting request after its placement, in milliseconds. By
then the agent has reported the request, or the server has answered it."""


class ServerSelector:
    """Chooses servers for new flows by the agents' reports and recent placements."""

    def __init__(self, zone: str, clock: Clock, rng: random.Random) -> None:
        self.zone = zone
        self.clock = clock
        self.rng = rng
        self.agents: dict[str, AgentState] = {}
        self.opening_rooms = OpeningRooms(clock)
        self.last_message_ms: int | None = None
        """When the latest message of any agent arrived, None before the first."""
        self.local_timeout_ms = LOCAL_AGENT_TIMEOUT_MS
        self.remote_timeout_ms = REMOTE_AGENT_TIMEOUT_MS

    def set_heartbeat_intervals(self, local_ms: int, remote_ms: int) -> None:
        """Set the timeouts of agents from the intervals of heartbeats to them."""
        local_timeout_ms = HEARTBEATS_PER_TIMEOUT * local_ms
        self.local_timeout_ms = max(
            LOCAL_AGENT_TIMEOUT_MS, local_timeout_ms + HEARTBEAT_ANSWER_MARGIN_MS
        )
        self.remote_timeout_ms = max(
            REMOTE_AGENT_TIMEOUT_MS, HEARTBEATS_PER_TIMEOUT * remote_ms
        )

    def record_message(self, ip: str, report: LoadReport | None = None) -> None:
        """Record that a message of an agent arrived, and the report if it is one."""
        now_ms = self.clock.now_ms()
        agent = self.agents.get(ip)
        if agent is None:
            agent = self.agents[ip] = AgentState(now_ms)
        agent.last_message_ms = self.last_message_ms = now_ms
        if report is not None:
            agent.report = report
            agent.placed_ms.clear()
            agent.unconfirmed_flows = 0
            self.opening_rooms.record_report(ip, report)

    def record_unconfirmed_flow(self, ip: str) -> None:
        """Record that an agent did not confirm a new flow in time."""
        if ip in self.agents:
            self.agents[ip].unconfirmed_flows += 1

    def retain_agents(self, ips: Collection[str]) -> None:
        """Remove all agents except those at the given addresses."""
        for ip in self.agents.keys() - set(ips):
            del self.agents[ip]
        self.opening_rooms.retain(set(ips))

    def is_isolated(self) -> bool:
        """Return whether all known agents have been silent for too long.

        Such a balancer is cut off, and other balancers serve its callers better.
        """
        if not self.agents or self.last_message_ms is None:
            return False
        return self.clock.now_ms() - self.last_message_ms > LOCAL_AGENT_TIMEOUT_MS

    def has_recent_message(self, ip: str) -> bool:
        """Return whether an agent sent a message within the time of a remote agent.

        Such an agent may be silent only because it is restarting.
        """
        agent = self.agents.get(ip)
        return (
            agent is not None
            and self.clock.now_ms() - agent.last_message_ms <= self.remote_timeout_ms
        )

    def is_unavailable(self, ip: str) -> bool:
        """Return whether an agent is silent or reports that it accepts no flows.

        This is for agents of former servers, which all get heartbeats at the shortest
        interval. Unlike in `_is_last_resort`, unconfirmed flows do not count.
        """
        agent = self.agents.get(ip)
        if (
            agent is None
            or self.clock.now_ms() - agent.last_message_ms > LOCAL_AGENT_TIMEOUT_MS
        ):
            return True
        return agent.report is not None and not agent.report.accepts_flows

    def has_ended(self, server: BackendServer) -> bool:
        """Return whether the agent of a server said at its stop that it has ended."""
        agent = self.agents.get(server.address.ip)
        report = agent.report if agent is not None else None
        return report is not None and report.ended_server_ms >= server.started_ms > 0

    def is_unresponsive(self, server: BackendServer) -> bool:
        """Return whether a server's agent is silent or left a new flow unconfirmed.

        An agent of another zone is silent only after a longer time.
        """
        agent = self.agents.get(server.address.ip)
        if agent is None:
            return True
        is_local = server.availability_zone == self.zone
        limit_ms = self.local_timeout_ms if is_local else self.remote_timeout_ms
        return (
            agent.unconfirmed_flows > 0
            or self.clock.now_ms() - agent.last_message_ms > limit_ms
        )

    def choose(
        self,
        servers: Sequence[BackendServer],
        tried_agents: Collection[str] = (),
        latency_objective_ms: int = 120,
    ) -> ChosenServer | None:
        """Return the least loaded backend server, None if all agents have been tried.

        Servers whose agents seem unresponsive or accept no flows are candidates only if
        no other server is left. If no agent has room for another opening, the server is
        one with infinite pressure.
        """
        untried = [
            server for server in servers if server.address.ip not in tried_agents
        ]
        available = [server for server in untried if not self._is_last_resort(server)]
        if not untried:
            return None
        with_room = self.opening_rooms.list_with_room(available or untried)
        if not with_room:
            return ChosenServer((available or untried)[0], math.inf, 0, math.inf, 1.0)
        candidates = self._exclude_outliers(with_room)
        if len(candidates) > MANY_CANDIDATES:
            chosen = self._choose_local(candidates, latency_objective_ms)
            if chosen is not None:
                return chosen
        return self._choose_least_loaded(candidates, latency_objective_ms)

    def _choose_local(
        self, candidates: Sequence[BackendServer], latency_objective_ms: int
    ) -> ChosenServer | None:
        """Return the least loaded server of the own zone if no other can be better.

        A server of another zone has at least the load that its zone is charged with.
        Without the other zones, a choice among many servers takes less time.
        """
        local = [s for s in candidates if s.availability_zone == self.zone]
        if not local:
            return None
        chosen = self._choose_least_loaded(local, latency_objective_ms)
        if chosen.is_full(latency_objective_ms):
            return None
        remote_cost = compute_remote_cost(latency_objective_ms)
        return chosen if chosen.score <= remote_cost else None

    def _choose_least_loaded(
        self, candidates: Sequence[BackendServer], latency_objective_ms: int
    ) -> ChosenServer:
        median_latency_ms = self._compute_median_latency_ms(candidates)
        full_pressure = compute_full_pressure(latency_objective_ms)
        readings = [
            (server, *self._get_pressure_and_busy_share(server))
            for server in candidates
        ]
        with_room = [reading for reading in readings if reading[1] < full_pressure]
        remote_cost = compute_remote_cost(latency_objective_ms)
        scored = [
            (
                self._score(
                    server, pressure, busy_share, median_latency_ms, remote_cost
                ),
                self.rng.random(),
                server,
                pressure,
                busy_share,
            )
            for server, pressure, busy_share in with_room or readings
        ]
        score, _, server, pressure, busy_share = min(scored)
        return ChosenServer(
            server, round(score, 1), len(candidates), pressure, busy_share
        )

    def choose_service(
        self, by_preference: Sequence[ChosenServer], latency_objective_ms: int = 120
    ) -> ChosenServer:
        """Return the server of the preferred service, or of one that has more room.

        `by_preference` has one server per service of a route, in the order that the
        route's weights give. New flows of a saturated service spill over to a service
        that is not saturated.
        """
        first = by_preference[0]
        if not first.is_saturated:
            return first
        with_more_room = [
            other
            for other in by_preference[1:]
            if other.pressure + SPILLOVER_MIN_PRESSURE_GAP <= first.pressure
            or other.busy_share + SPILLOVER_MIN_BUSY_GAP <= first.busy_share
        ]
        unsaturated = [other for other in with_more_room if not other.is_saturated]
        return min(unsaturated, key=lambda other: other.pressure, default=first)

    def record_placed_flow(self, server: BackendServer) -> None:
        """Count a new flow in a server's load until its agent's next report.

        It is counted for at most PLACED_FLOW_PENDING_MS.
        """
        # An agent that has never sent a message counts as silent.
        agent = self.agents.setdefault(
            server.address.ip, AgentState(-self.remote_timeout_ms)
        )
        agent.placed_ms.append(self.clock.now_ms())
        self.opening_rooms.record_placed(server.address.ip)

    def _is_last_resort(self, server: BackendServer) -> bool:
        """Return whether a server's agent seems unresponsive or accepts no flows.

        Unlike `is_unavailable`, this allows agents of other zones a longer silence and
        counts unconfirmed flows.
        """
        if self.is_unresponsive(server):
            return True
        report = self.agents[server.address.ip].report
        return report is not None and not report.accepts_flows

    def _exclude_outliers(
        self, servers: Sequence[BackendServer]
    ) -> list[BackendServer]:
        """Return the servers without those that fail more requests than the others.

        A server that fails requests immediately has short queues and few open flows, so
        that a choice by load alone would send it all new flows.
        """
        shares = [self._get_failed_share(server) for server in servers]
        if not any(shares):
            return list(servers)
        limit = sorted(shares)[(len(shares) - 1) // 2] + OUTLIER_MARGIN
        failing = [index for index, share in enumerate(shares) if share > limit]
        failing.sort(key=lambda index: -shares[index])
        outliers = set(failing[: int(len(servers) * MAX_OUTLIER_SHARE)])
        return [server for index, server in enumerate(servers) if index not in outliers]

    def _get_failed_share(self, server: BackendServer) -> float:
        agent = self.agents.get(server.address.ip)
        report = agent.report if agent is not None else None
        return report.failed_share if report is not None else 0.0

    def _compute_median_latency_ms(self, servers: Sequence[BackendServer]) -> float:
        latencies = sorted(
            agent.report.latency_ms
            for server in servers
            if (agent := self.agents.get(server.address.ip)) and agent.report
        )
        return max(1.0, latencies[len(latencies) // 2]) if latencies else 1.0

    def _get_pressure_and_busy_share(
        self, server: BackendServer
    ) -> tuple[float, float]:
        """Return the pressure and the busy share of a server."""
        agent = self.agents.get(server.address.ip)
        if agent is None:
            return 0.0, 0.0
        since_ms = self.clock.now_ms() - PLACED_FLOW_PENDING_MS
        waiting, busy_share = float(agent.count_placed_flows(since_ms)), 0.0
        if agent.report is not None:
            waiting += agent.report.waiting
            busy_share = agent.report.busy_share
        return waiting / max(server.slots, 1), busy_share

    def _score(
        self,
        server: BackendServer,
        pressure: float,
        busy_share: float,
        median_latency_ms: float,
        remote_cost: float,
    ) -> float:
        """Return the load of a server, in open flows per slot."""
        agent = self.agents.get(server.address.ip)
        flows = 0.0
        slowness = 1.0
        if agent is not None:
            flows = len(agent.placed_ms)
            if agent.report is not None:
                flows += agent.report.open_flows
                slowness = agent.report.latency_ms / median_latency_ms
        slowness = min(max(slowness, 1.0), MAX_SLOWNESS)
        flows_per_slot = flows / max(server.slots, 1)
        score = (
            flows_per_slot
            + WAITING_REQUEST_WEIGHT * pressure
            + BUSY_SHARE_WEIGHT * busy_share
        )
        score *= slowness
        if server.availability_zone != self.zone:
            score += remote_cost
        return score
