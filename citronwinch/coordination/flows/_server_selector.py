"""Selects the backend server that receives a new flow.

The pressure of a backend server is the number of its waiting requests per slot. Flows
placed at it recently, after its agent's last report, count as waiting requests. The
pressure times the server's service time is the time that a new request would wait.
"""

import random
from collections.abc import Collection, Sequence

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._agent_state import AgentState
from citronwinch.coordination.flows._chosen_server import (
    ChosenServer,
    compute_full_wait_ms,
    make_choice_without_room,
)
from citronwinch.coordination.flows._deployment import BackendServer
from citronwinch.coordination.flows._heard_agents import HeardAgents
from citronwinch.coordination.flows._messages import LoadReport
from citronwinch.coordination.flows._opening_rooms import OpeningRooms
from citronwinch.coordination.flows._server_scoring import (
    compute_medians,
    compute_remote_cost,
    compute_score,
    find_median_service_ms,
    is_load_full,
    read_load,
)

SPILLOVER_MIN_WAIT_GAP_MS = 26
"""How much less a request must be expected to wait at another service, in milliseconds,
before the new flows of a saturated service spill over to it."""

SPILLOVER_MIN_BUSY_GAP = 0.2
"""How much lower the busy share of another service must be instead; either difference
is enough."""

MANY_CANDIDATES = 24
"""With more candidates than this, those of the own zone are compared first."""

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

MIN_UNREACHABLE_REPORTS = 2
"""The fewest reports in a row after which a backend server counts as unreachable; one
connection attempt of a slow agent may fail."""

OUTLIER_MARGIN = 0.15
"""By how much a server's share of failed requests must exceed the median of the
candidates for the server to be an outlier, which gets new flows only when no other
candidate has room; three steps of the reported share."""

MAX_OUTLIER_SHARE = 0.34
"""The largest share of the candidates that is excluded as outliers. If more of them
fail requests, the cause is outside the servers."""


class ServerSelector:
    """Chooses servers for new flows by the agents' reports and recent placements."""

    def __init__(self, zone: str, clock: Clock, rng: random.Random) -> None:
        self.zone = zone
        self.clock = clock
        self.rng = rng
        self.agents: dict[str, AgentState] = {}
        self.opening_rooms = OpeningRooms(clock)
        self.heard_agents = HeardAgents(clock)
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
        self.heard_agents.record_message(ip)
        if report is not None:
            agent.record_report(report, now_ms)
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

    def get_last_message_ms(self, ip: str) -> int:
        """Return when an agent last sent a message, in ms; 0 if it never has."""
        agent = self.agents.get(ip)
        return max(0, agent.last_message_ms) if agent is not None else 0

    def has_message_since(self, ip: str, since_ms: int) -> bool:
        """Return whether an agent has sent a message at a time or later."""
        agent = self.agents.get(ip)
        return agent is not None and agent.last_message_ms >= since_ms

    def has_no_open_flows(self, ip: str) -> bool:
        """Return whether an agent's last report told of no open flow of its server."""
        agent = self.agents.get(ip)
        report = agent.report if agent is not None else None
        return report is not None and report.open_flows == 0

    def reaches_server(self, ip: str) -> bool:
        """Return whether an agent is known and does not miss its server."""
        agent = self.agents.get(ip)
        return agent is not None and agent.unreachable_since_ms is None

    def find_unreachable_since_ms(self, ip: str) -> int | None:
        """Return since when an agent has reported that its server is unreachable.

        None if it does not, has done so too few times, or is silent. An agent that
        stops accepts no flows either, but its server may live.
        """
        agent = self.agents.get(ip)
        if agent is None:
            return None
        is_silent = self.clock.now_ms() - agent.last_message_ms > LOCAL_AGENT_TIMEOUT_MS
        is_sure = agent.unreachable_reports >= MIN_UNREACHABLE_REPORTS
        return agent.unreachable_since_ms if is_sure and not is_silent else None

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
            return make_choice_without_room((available or untried)[0])
        candidates = self._exclude_outliers(with_room)
        service_ms = self._find_median_service_ms(candidates)
        if len(candidates) > MANY_CANDIDATES:
            chosen = self._choose_local(candidates, service_ms, latency_objective_ms)
            if chosen is not None:
                return chosen
        return self._choose_least_loaded(candidates, latency_objective_ms, service_ms)

    def _choose_local(
        self,
        candidates: Sequence[BackendServer],
        service_ms: float,
        latency_objective_ms: int,
    ) -> ChosenServer | None:
        """Return the least loaded server of the own zone if no other is much better.

        A server of another zone has about the load that its zone is charged with.
        Without the other zones, a choice among many servers takes less time.
        """
        local = [s for s in candidates if s.availability_zone == self.zone]
        if not local:
            return None
        chosen = self._choose_least_loaded(local, latency_objective_ms, service_ms)
        if chosen.is_full(latency_objective_ms):
            return None
        remote_cost = compute_remote_cost(service_ms, latency_objective_ms)
        return chosen if chosen.score <= remote_cost else None

    def _choose_least_loaded(
        self,
        candidates: Sequence[BackendServer],
        latency_objective_ms: int,
        service_ms: float | None = None,
    ) -> ChosenServer:
        """Return the candidate with the lowest score of those that have room.

        `service_ms` is the median service time if more servers than these were
        candidates.
        """
        if service_ms is None:
            service_ms = self._find_median_service_ms(candidates)
        now_ms = self.clock.now_ms()
        loads = [
            read_load(self.agents.get(server.address.ip), server.slots, now_ms)
            for server in candidates
        ]
        medians = compute_medians(loads, service_ms)
        loaded = list(zip(candidates, loads, strict=True))
        limit_ms = compute_full_wait_ms(latency_objective_ms)
        with_room = [
            entry
            for entry in loaded
            if not is_load_full(entry[1], service_ms, limit_ms)
        ]
        remote_cost = compute_remote_cost(service_ms, latency_objective_ms)
        scored = [
            (
                compute_score(load, medians)
                + (remote_cost if server.availability_zone != self.zone else 0.0),
                self.rng.random(),
                server,
                load,
            )
            for server, load in with_room or loaded
        ]
        score, _, server, load = min(scored)
        return ChosenServer(
            server,
            round(score, 1),
            len(candidates),
            load.pressure,
            load.busy_share,
            load.delivered_pressure,
            load.service_ms or service_ms,
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
            if other.expected_wait_ms + SPILLOVER_MIN_WAIT_GAP_MS
            <= first.expected_wait_ms
            or other.busy_share + SPILLOVER_MIN_BUSY_GAP <= first.busy_share
        ]
        unsaturated = [other for other in with_more_room if not other.is_saturated]
        return min(unsaturated, key=lambda other: other.expected_wait_ms, default=first)

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

        Agents of other zones are allowed a longer silence.
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

    def _find_median_service_ms(self, servers: Sequence[BackendServer]) -> float:
        agents = [self.agents.get(server.address.ip) for server in servers]
        return find_median_service_ms(
            [agent.report.service_ms for agent in agents if agent and agent.report]
        )
