"""The heartbeats of a balancer to agents."""

from collections.abc import Collection, Mapping, Sequence
from typing import TYPE_CHECKING, NamedTuple

from citronwinch.coordination.flows import (
    AGENT_HEARTBEAT_MS,
    AGENT_HEARTBEATS_PER_S,
    REMOTE_AGENT_HEARTBEAT_MS,
    REMOTE_AGENT_HEARTBEATS_PER_S,
    BackendServer,
    MessagePace,
    compute_interval_ms,
)

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

    server_started_ms: Mapping[str, int]
    """The incarnations of the agents' backend servers, by the agent's address."""


class AgentHeartbeats:
    """Sends heartbeats to the agents of listed and former servers."""

    def __init__(self, process: "BalancerProcess") -> None:
        self.process = process
        self.view = process.view
        self.pace = MessagePace(process.clock)
        self.targets = AgentTargets({}, False, (), (), {})

    def send_due(self) -> None:
        """Send the heartbeats that are due, and set the timeouts of the agents."""
        targets = self._find_targets()
        local_ms, remote_ms = _compute_intervals_ms(targets)
        self.process.selector.set_heartbeat_intervals(local_ms, remote_ms)
        # Heartbeats show whether the agent of a former server still answers; if not,
        # the flows of the server are lost.
        former = [server.address.ip for server in self.view.list_former()]
        groups = (
            (targets.local, local_ms),
            (targets.remote, remote_ms),
            (former, AGENT_HEARTBEAT_MS),
        )
        for ips, interval_ms in groups:
            for ip in self.pace.list_due(ips, interval_ms):
                self._send(ip, targets, interval_ms)

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
                self._send(ip, targets, interval_ms)

    def _send(self, ip: str, targets: AgentTargets, interval_ms: int) -> None:
        started_ms = targets.server_started_ms.get(ip, 0)
        self.process.send(ip, self.process.make_heartbeat((), started_ms, interval_ms))

    def _find_targets(self) -> AgentTargets:
        """Return the agents that get heartbeats; they change with the listing only.

        An isolated balancer probes all agents as often as those of its own zone.
        """
        targets = self.targets
        if (
            targets.by_service is self.view.by_service
            and targets.is_isolated is self.process.is_isolated
        ):
            return targets
        local: list[str] = []
        remote: list[str] = []
        servers = self.view.list_servers()
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
            {server.address.ip: server.started_ms for server in servers},
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
