"""The heartbeats of a balancer to agents."""

from collections import deque
from collections.abc import Collection, Mapping, Sequence
from typing import TYPE_CHECKING, NamedTuple

from citronwinch.coordination.flows import (
    AGENT_HEARTBEAT_MS,
    AGENT_HEARTBEATS_PER_S,
    REMOTE_AGENT_HEARTBEAT_MS,
    REMOTE_AGENT_HEARTBEATS_PER_S,
    BackendServer,
    Heartbeat,
    MessagePace,
    compute_former_interval_ms,
    compute_interval_ms,
)

URGENT_HEARTBEATS_PER_S = 12
"""The most heartbeats per second that are sent before their turn to agents that do not
know whether their server is cold; as many as regular ones to agents of the own zone."""

BALANCERS_QUESTION_INTERVAL_MS = 3_000
"""How often one agent is asked for the balancers that it knows, in milliseconds."""

if TYPE_CHECKING:
    from citronwinch.forwarder._balancer_process import BalancerProcess


class AgentTargets(NamedTuple):
    """The agents of listed servers, which get heartbeats."""

    by_service: Mapping[str, Sequence[BackendServer]]
    """The servers of the view from which the targets were derived."""

    is_isolated: bool
    """Whether the balancer was isolated at that time."""

    local: tuple[str, ...]
    """The addresses of the agents that get frequent heartbeats."""

    remote: tuple[str, ...]
    """The addresses of the other agents."""

    servers: Mapping[str, BackendServer]
    """The agents' backend servers, by the agent's address."""


class AgentHeartbeats:
    """Sends heartbeats to the agents of listed and former servers."""

    def __init__(self, process: "BalancerProcess") -> None:
        self.process = process
        self.view = process.view
        self.pace = MessagePace(process.clock)
        self.targets = AgentTargets({}, False, (), (), {})
        self.urgent: set[str] = set()
        """The agents that should receive a heartbeat before their turn."""
        self.asked_ms = process.clock.now_ms()
        """When an agent was last asked for balancers, in milliseconds."""
        self.urgent_sent_ms: deque[int] = deque(maxlen=URGENT_HEARTBEATS_PER_S)

    def send_due(self) -> None:
        """Send the heartbeats that are due, and set the timeouts of the agents."""
        targets = self._find_targets()
        if self.view.cold_servers.limits:
            self.urgent |= self.view.cold_servers.newly_cold
        self.view.cold_servers.newly_cold.clear()
        self.urgent &= targets.servers.keys()
        local_ms, remote_ms = _compute_intervals_ms(targets)
        self.process.selector.set_heartbeat_intervals(local_ms, remote_ms)
        # Heartbeats show whether the agent of a former server still answers; if not,
        # the flows of the server are lost.
        former = [server.address.ip for server in self.view.list_former()]
        groups = (
            (targets.local, local_ms),
            (targets.remote, remote_ms),
            (former, compute_former_interval_ms(len(former))),
        )
        for ips, interval_ms in groups:
            for ip in self.pace.list_due(ips, interval_ms):
                self.process.send(ip, self._make_heartbeat(ip, interval_ms))
                self.urgent.discard(ip)
        for ip in self._pop_urgent():
            interval_ms = local_ms if ip in targets.local else remote_ms
            self.process.send(ip, self._make_heartbeat(ip, interval_ms))
            self.pace.record_sent([ip], interval_ms)

    def _pop_urgent(self) -> list[str]:
        """Return the agents that receive a heartbeat before their turn.

        Agents of the own zone come first, because most openings go to them.
        """
        allowed = URGENT_HEARTBEATS_PER_S - self._count_urgent_sent()
        local = self.targets.local
        urgent = sorted(self.urgent, key=lambda ip: (ip not in local, ip))[:allowed]
        self.urgent.difference_update(urgent)
        self.urgent_sent_ms.extend([self.process.clock.now_ms()] * len(urgent))
        return urgent

    def _count_urgent_sent(self) -> int:
        since_ms = self.process.clock.now_ms() - 1_000
        while self.urgent_sent_ms and self.urgent_sent_ms[0] <= since_ms:
            self.urgent_sent_ms.popleft()
        return len(self.urgent_sent_ms)

    def _make_heartbeat(self, ip: str, interval_ms: int) -> Heartbeat:
        """Return a heartbeat that describes the server of the agent at an address."""
        server = self.targets.servers.get(ip)
        if server is None:
            return self.process.make_heartbeat((), 0, interval_ms)
        heartbeat = self.process.make_heartbeat((), server.started_ms, interval_ms)
        if self._ask_for_balancers():
            heartbeat = heartbeat._replace(asks_for_balancers=True)
        warmup = self.view.cold_servers.get_warmup(server)
        return heartbeat._replace(
            server_slots=server.slots,
            server_warmup_left_ms=warmup.left_ms,
            warmup_per_s=warmup.per_s,
            agent_heard_ms=self.process.selector.heard_agents.get_heard_ms(server),
        )

    def _ask_for_balancers(self) -> bool:
        """Return whether the next heartbeat asks for balancers, and record that.

        Each does while no other balancer is known. Later ones find balancers that have
        other seeds.
        """
        now_ms = self.process.clock.now_ms()
        is_due = now_ms - self.asked_ms >= BALANCERS_QUESTION_INTERVAL_MS
        if is_due:
            self.asked_ms = now_ms
        return is_due or not self.process.members.members

    def send_to_zones(self, zones: Collection[str]) -> None:
        """Send heartbeats to the agents of some zones now."""
        targets = self._find_targets()
        local_ms, remote_ms = _compute_intervals_ms(targets)
        in_zones = {
            server.address.ip
            for server in self.view.list_servers()
            if server.availability_zone in zones
        }
        for group, interval_ms in (
            (targets.local, local_ms),
            (targets.remote, remote_ms),
        ):
            ips = [ip for ip in group if ip in in_zones]
            self.pace.record_sent(ips, interval_ms)
            for ip in ips:
                self.process.send(ip, self._make_heartbeat(ip, interval_ms))

    def _find_targets(self) -> AgentTargets:
        """Return the agents that get heartbeats; they change with the view only.

        An isolated balancer probes all agents as often as those of its own zone. One
        without a configuration probes none: it cannot tell which of several entries at
        the address of an agent describes the agent's server.
        """
        targets = self.targets
        if (
            targets.by_service is self.view.by_service
            and targets.is_isolated is self.process.is_isolated
        ):
            return targets
        local: list[str] = []
        remote: list[str] = []
        servers = self.view.list_servers() if self.view.configuration else []
        heard_agents = self.process.selector.heard_agents
        heard_agents.set_servers([*self.view.list_former(), *servers])
        for server in servers:
            zone = server.availability_zone
            is_local = (
                self.process.is_isolated
                or zone == self.process.settings.availability_zone
            )
            (local if is_local else remote).append(server.address.ip)
        self.targets = AgentTargets(
            self.view.by_service,
            self.process.is_isolated,
            tuple(local),
            tuple(remote),
            {server.address.ip: server for server in servers},
        )
        return self.targets


def _compute_intervals_ms(targets: AgentTargets) -> tuple[int, int]:
    """Return the intervals of heartbeats to local and to remote agents."""
    return (
        compute_interval_ms(
            AGENT_HEARTBEAT_MS, len(targets.local), AGENT_HEARTBEATS_PER_S
        ),
        compute_interval_ms(
            REMOTE_AGENT_HEARTBEAT_MS,
            len(targets.remote),
            REMOTE_AGENT_HEARTBEATS_PER_S,
        ),
    )
