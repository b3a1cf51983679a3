"""Chooses the backend server that takes a new flow."""

import random
from collections import deque
from collections.abc import Collection, Sequence
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._deployment import BackendServer
from citronwinch.coordination.flows._messages import LoadReport

WAITING_WEIGHT = 4.0
"""How many open flows count as much as one request that waits now."""

BUSY_WEIGHT = 20.0
"""How many open flows count as much as a backend server without any idle time."""

SPILL_PRESSURE = 2.0
"""From this many waiting requests for each slot on, a service is nearly saturated; at
20 ms a request the next one waits for a third of the tightest latency objective."""

SPILL_BUSY_SHARE = 0.75
"""From this share of busy time on, a service is nearly saturated: queues grow fast."""

SPILL_LEAD = 1.5
"""By how many waiting requests for each slot another service must have more room."""

SPILL_BUSY_LEAD = 0.2
"""By which share of time another service must be less busy."""

FULL_PRESSURE = 7.0
"""From this many waiting requests for each slot on, a new flow waits in the balancer;
backend servers refuse a request soon beyond that."""

LEAST_FULL_PRESSURE = 3.0
"""The same for routes with the tightest latency objectives: enough to keep a backend
server at work until its next report."""

FULL_OBJECTIVE_MS = 35.0
"""A new flow waits in the balancer once there is a waiting request for each so many
milliseconds of its route's latency objective; a request takes 15 to 25 ms."""

REMOTE_FLOWS = 8.0
"""How many open flows more the own availability zone may have than another before a
flow leaves it. That is as much as two requests that wait, or 30 to 40 ms, and the way
to another zone and back takes 10 ms; the rest saves bytes between zones."""

REMOTE_OBJECTIVE_MS = 40.0
"""For each so many milliseconds of the route's latency objective the own zone may have
one open flow more than another; who may wait longer need not leave the zone."""

SLOWNESS_LIMIT = 4.0
"""The most that slow answers raise a backend server's load."""

SILENT_AGENT_MS = 1_100
"""After this long without a message an agent of the own zone is passed over, in
milliseconds: three heartbeats and their answers."""

SILENT_REMOTE_AGENT_MS = 5_000
"""The same for an agent of another zone, which gets fewer heartbeats."""


OUTLIER_MARGIN = 0.15
"""By how much the share of requests that seem to fail must lie above the median of the
servers to choose from, so that a server gets new flows only when no other has room;
three steps of the reported share."""

OUTLIERS_LIMIT = 0.34
"""The largest share of the servers to choose from that is passed over as outliers; if
more seem to fail, the cause is not theirs."""

PLACED_WAIT_MS = 90
"""How long a flow that was placed counts as a request that waits, in milliseconds: by
then the agent has reported it, or its request has been answered."""

PLACED_LIMIT = 64
"""The most flows that are counted between two reports; more make no difference."""


class AgentRecord:
    """What a balancer knows of one agent."""

    def __init__(self, heard_ms: int) -> None:
        self.report: LoadReport | None = None
        self.heard_ms = heard_ms
        self.placed_ms: deque[int] = deque(maxlen=PLACED_LIMIT)
        self.unanswered = 0

    def count_placed(self, since_ms: int) -> int:
        """Return the flows that were placed after a time and since the last report."""
        while self.placed_ms and self.placed_ms[0] <= since_ms:
            self.placed_ms.popleft()
        return len(self.placed_ms)


class Chosen(NamedTuple):
    """A choice with what decided it."""

    server: BackendServer
    """The backend server."""

    score: float
    """Its load at that moment; the lowest of the candidates."""

    candidates: int
    """How many servers could have been chosen."""

    pressure: float
    """The requests that wait there for each slot, with those placed since."""

    busy_share: float
    """The share of recent time in which it had work, 0 to 1."""

    @property
    def is_saturated(self) -> bool:
        """Whether the least loaded server of the service has hardly any room."""
        return self.pressure >= SPILL_PRESSURE or self.busy_share >= SPILL_BUSY_SHARE

    def is_full(self, latency_objective_ms: int) -> bool:
        """Whether one more request would be late or refused there."""
        return self.pressure >= find_full_pressure(latency_objective_ms)


def find_full_pressure(latency_objective_ms: int) -> float:
    """Return from which pressure on new flows of a route wait in the balancer.

    Example::

        >>> find_full_pressure(120), find_full_pressure(500)
        (3.4285714285714284, 7.0)
    """
    usual = latency_objective_ms / FULL_OBJECTIVE_MS
    return min(max(usual, LEAST_FULL_PRESSURE), FULL_PRESSURE)


class ServerChoice:
    """Places new flows by what agents report and what was placed since."""

    def __init__(self, zone: str, clock: Clock, rng: random.Random) -> None:
        self.zone = zone
        self.clock = clock
        self.rng = rng
        self.agents: dict[str, AgentRecord] = {}

    def hear(self, ip: str, report: LoadReport | None = None) -> None:
        """Note that an agent was heard from."""
        now_ms = self.clock.now_ms()
        agent = self.agents.get(ip)
        if agent is None:
            agent = self.agents[ip] = AgentRecord(now_ms)
        agent.heard_ms = now_ms
        if report is not None:
            agent.report = report
            agent.placed_ms.clear()
            agent.unanswered = 0

    def note_unanswered(self, ip: str) -> None:
        """Note that an agent did not confirm a new flow in time."""
        if ip in self.agents:
            self.agents[ip].unanswered += 1

    def keep_only(self, ips: Collection[str]) -> None:
        """Forget agents that are no longer listed."""
        for ip in self.agents.keys() - set(ips):
            del self.agents[ip]

    def is_isolated(self) -> bool:
        """Return whether not one of the known agents has been heard of late.

        Such a balancer is cut off: its callers are better served by others.
        """
        if not self.agents:
            return False
        heard_ms = max(agent.heard_ms for agent in self.agents.values())
        return self.clock.now_ms() - heard_ms > SILENT_AGENT_MS

    def was_heard_lately(self, ip: str) -> bool:
        """Return whether an agent has sent anything within the time of a restart."""
        agent = self.agents.get(ip)
        return (
            agent is not None
            and self.clock.now_ms() - agent.heard_ms <= SILENT_REMOTE_AGENT_MS
        )

    def is_lost(self, ip: str) -> bool:
        """Return whether an agent is silent, or says that its server takes nothing."""
        agent = self.agents.get(ip)
        if agent is None or self.clock.now_ms() - agent.heard_ms > SILENT_AGENT_MS:
            return True
        return agent.report is not None and not agent.report.accepts_flows

    def is_silent(self, server: BackendServer) -> bool:
        """Return whether the agent of a backend server has not been heard of late."""
        agent = self.agents.get(server.address.ip)
        if agent is None:
            return True
        is_local = server.availability_zone == self.zone
        limit_ms = SILENT_AGENT_MS if is_local else SILENT_REMOTE_AGENT_MS
        return agent.unanswered > 0 or self.clock.now_ms() - agent.heard_ms > limit_ms

    def choose(
        self,
        servers: Sequence[BackendServer],
        tried: Collection[str] = (),
        latency_objective_ms: int = 120,
    ) -> Chosen | None:
        """Return the least loaded backend server, None when all have been tried.

        Agents that are silent or take no flows are used only when no other is left.
        """
        untried = [server for server in servers if server.address.ip not in tried]
        answering = [server for server in untried if not self._is_doubtful(server)]
        candidates = self._leave_out_outliers(answering or untried)
        if not candidates:
            return None
        usual_ms = self._find_usual_latency_ms(candidates)
        full_pressure = find_full_pressure(latency_objective_ms)
        read = [(server, *self._read_pressure(server)) for server in candidates]
        with_room = [reading for reading in read if reading[1] < full_pressure]
        remote_cost = REMOTE_FLOWS + latency_objective_ms / REMOTE_OBJECTIVE_MS
        scored = [
            (
                self._score(server, pressure, busy_share, usual_ms, remote_cost),
                self.rng.random(),
                server,
                pressure,
                busy_share,
            )
            for server, pressure, busy_share in with_room or read
        ]
        score, _, server, pressure, busy_share = min(scored)
        return Chosen(server, round(score, 1), len(candidates), pressure, busy_share)

    def choose_service(
        self, by_preference: Sequence[Chosen], latency_objective_ms: int = 120
    ) -> Chosen:
        """Return the first choice, or that of another service which has more room.

        The weights of a route decide while its services have room. A service that is
        nearly saturated passes new flows on to one that is not.
        """
        first = by_preference[0]
        if not first.is_saturated:
            return first
        roomier = [
            other
            for other in by_preference[1:]
            if other.pressure + SPILL_LEAD <= first.pressure
            or other.busy_share + SPILL_BUSY_LEAD <= first.busy_share
        ]
        open_ones = [other for other in roomier if not other.is_saturated]
        return min(open_ones, key=lambda other: other.pressure, default=first)

    def note_placed(self, server: BackendServer) -> None:
        """Count a flow that goes to a backend server until its next report."""
        record = self.agents.setdefault(
            server.address.ip, AgentRecord(-SILENT_REMOTE_AGENT_MS)
        )
        record.placed_ms.append(self.clock.now_ms())

    def _is_doubtful(self, server: BackendServer) -> bool:
        if self.is_silent(server):
            return True
        report = self.agents[server.address.ip].report
        return report is not None and not report.accepts_flows

    def _leave_out_outliers(
        self, servers: Sequence[BackendServer]
    ) -> list[BackendServer]:
        """Return the servers without those that fail more requests than the others.

        A server that fails at once has short queues and few flows, and would otherwise
        draw the new flows of all.
        """
        shares = [self._read_failed_share(server) for server in servers]
        if not any(shares):
            return list(servers)
        limit = sorted(shares)[(len(shares) - 1) // 2] + OUTLIER_MARGIN
        failing = [index for index, share in enumerate(shares) if share > limit]
        failing.sort(key=lambda index: -shares[index])
        left_out = set(failing[: int(len(servers) * OUTLIERS_LIMIT)])
        return [server for index, server in enumerate(servers) if index not in left_out]

    def _read_failed_share(self, server: BackendServer) -> float:
        agent = self.agents.get(server.address.ip)
        report = agent.report if agent is not None else None
        return report.failed_share if report is not None else 0.0

    def _find_usual_latency_ms(self, servers: Sequence[BackendServer]) -> float:
        latencies = sorted(
            agent.report.latency_ms
            for server in servers
            if (agent := self.agents.get(server.address.ip)) and agent.report
        )
        return max(1.0, latencies[len(latencies) // 2]) if latencies else 1.0

    def _read_pressure(self, server: BackendServer) -> tuple[float, float]:
        """Return the requests that wait for each slot, and the share of busy time."""
        agent = self.agents.get(server.address.ip)
        if agent is None:
            return 0.0, 0.0
        since_ms = self.clock.now_ms() - PLACED_WAIT_MS
        waiting, busy_share = float(agent.count_placed(since_ms)), 0.0
        if agent.report is not None:
            waiting += agent.report.waiting
            busy_share = agent.report.busy_share
        return waiting / max(server.slots, 1), busy_share

    def _score(
        self,
        server: BackendServer,
        pressure: float,
        busy_share: float,
        usual_ms: float,
        remote_cost: float,
    ) -> float:
        agent = self.agents.get(server.address.ip)
        flows = 0.0
        slowness = 1.0
        if agent is not None:
            flows = len(agent.placed_ms)
            if agent.report is not None:
                flows += agent.report.open_flows
                slowness = agent.report.latency_ms / usual_ms
        slowness = min(max(slowness, 1.0), SLOWNESS_LIMIT)
        flows_per_slot = flows / max(server.slots, 1)
        score = flows_per_slot + WAITING_WEIGHT * pressure + BUSY_WEIGHT * busy_share
        score *= slowness
        if server.availability_zone != self.zone:
            score += remote_cost
        return score
