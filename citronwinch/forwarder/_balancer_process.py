"""The balancer: takes callers' packets from the routers."""

import random
from collections import deque
from collections.abc import Collection

import structlog
import trio

from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import (
    BalancerFlows,
    BalancerMembers,
    DeploymentView,
    FlowAnswer,
    Heartbeat,
    LoadReport,
    Message,
    Packet,
    ReturnedPacket,
    ServerChoice,
)
from citronwinch.forwarder._process import ForwarderProcess, TakePort
from citronwinch.forwarder._settings import ForwarderSettings
from citronwinch.forwarder._view_exchange import ViewExchange
from citronwinch.network import DatagramPort
from citronwinch.operators import MetricKey
from citronwinch.platform import decode_caller_packet

BALANCER_TICK_MS = 20
"""How often a balancer looks at its timeouts, in milliseconds; the shortest of them is
that of a question within the zone."""

BALANCER_HEARTBEAT_MS = 1_000
"""How often balancers hear from each other, in milliseconds."""

MEMBERS_INTERVAL_MS = 3_000
"""How often a heartbeat names the balancers that its sender knows, in milliseconds; a
balancer that joins is told them at once. They are most of its bytes."""

AGENT_HEARTBEAT_MS = 300
"""How often agents of the own zone hear from a balancer, in milliseconds."""

REMOTE_AGENT_HEARTBEAT_MS = 2_000
"""How often agents of other zones hear from a balancer, in milliseconds; bytes between
zones are dear."""

STOP_MS = 2_500
"""How long a stopping balancer still forwards, in milliseconds; routers ask twice a
second and take a balancer out after two misses."""

STOP_MARGIN_MS = 1_000
"""How long before it would be killed it ends at the latest, in milliseconds."""

EARLY_LIMIT = 4_000
"""The most packets that wait for a starting balancer's view; about 1.5 MB of openings
and small requests, half a second of the heaviest traffic."""

STARTING_AGE_MS = 1_500
"""A listing that is older than this does not make a starting balancer ready at once."""

STARTING_WAIT_MS = 2_500
"""After this long a starting balancer is ready with what it knows, in milliseconds."""

log = structlog.get_logger()


class BalancerProcess(ForwarderProcess):
    """The process on an entry instance."""

    tick_ms = BALANCER_TICK_MS

    def __init__(
        self, settings: ForwarderSettings, take_port: TakePort = DatagramPort
    ) -> None:
        super().__init__(settings, settings.packet_address, take_port)
        self.early: deque[Packet] = deque(maxlen=EARLY_LIMIT)
        self.view = DeploymentView(self.clock)
        rng = random.Random(settings.name)
        self.choice = ServerChoice(settings.availability_zone, self.clock, rng)
        self.flows = BalancerFlows(
            self.view, self.choice, self.clock, settings.link_mbps
        )
        seeds = [seed.ip for seed in settings.seeds]
        self.members = BalancerMembers(settings.ip, seeds, self.clock)
        self.exchange = ViewExchange(self)
        self.was_ready = False
        self.is_isolated = False
        self.sent_ms: dict[str, int] = {}
        self.members_told_ms = self.started_ms

    def is_ready(self) -> bool:
        """Return whether the configuration and the backend servers are known."""
        if self.was_ready:
            return not self.is_isolated
        if not self.view.is_complete:
            return False
        age_ms = self.view.age_ms
        waited_ms = self.clock.now_ms() - self.started_ms
        is_current = age_ms is not None and age_ms <= STARTING_AGE_MS
        if is_current or waited_ms >= STARTING_WAIT_MS:
            self.was_ready = True
            log.info("ready", after_ms=waited_ms, view_age_ms=age_ms)
        return self.was_ready

    def start_tasks(self, nursery: trio.Nursery) -> None:
        """Start what keeps the view current."""
        self.exchange.start_tasks(nursery)

    def handle_message(self, message: Message, sender: str) -> None:
        """React to an agent or another balancer."""
        if isinstance(message, FlowAnswer):
            self.choice.record_message(sender)
            self.perform(self.flows.handle_answer(message, sender))
        elif isinstance(message, ReturnedPacket):
            packet = decode_caller_packet(message.raw)
            self.metrics.count("packets_returned_total")
            self.perform(self.flows.handle_returned(packet, sender))
        elif isinstance(message, LoadReport):
            self.choice.record_message(sender, message)
        elif isinstance(message, Heartbeat):
            self._handle_heartbeat(message, sender)

    def _handle_heartbeat(self, heartbeat: Heartbeat, sender: str) -> None:
        if self.members.handle_heartbeat(sender, heartbeat):
            log.info(
                "balancer_joined", balancer=sender, zone=heartbeat.availability_zone
            )
            self.tell_balancers([sender], with_members=True)
        self.exchange.hear(heartbeat, sender)

    def handle_packet(self, data: bytes) -> None:
        """React to a caller."""
        packet = decode_caller_packet(data)
        self.metrics.count("packets_from_callers_total")
        if self.view.is_complete:
            self.perform(self.flows.handle_packet(packet))
        else:
            self.early.append(packet)

    def handle_early_packets(self) -> None:
        """Handle what arrived before the view was complete."""
        if self.early and self.view.is_complete:
            log.info("early_packets_handled", count=len(self.early))
            while self.early:
                self.perform(self.flows.handle_packet(self.early.popleft()))

    def tick(self) -> None:
        """Act on the time."""
        self.perform(self.flows.tick())
        for server in self.view.expire():
            log.info("server_gone", server=server.name, service=server.service)
        for ip in self.members.expire():
            log.info("balancer_lost", balancer=ip)
        self._note_isolation()
        self._send_heartbeats()
        self.exchange.tick()
        for name, count in self.flows.counts.items():
            self.metrics.counters[MetricKey(f"{name}_total")] = count
        self.metrics.set_gauge("known_flows", len(self.flows.flows))
        self.metrics.set_gauge("view_age_ms", self.view.age_ms or 0)

    def _note_isolation(self) -> None:
        is_isolated = self.choice.is_isolated()
        if is_isolated != self.is_isolated:
            self.is_isolated = is_isolated
            event = "agents_lost" if is_isolated else "agents_regained"
            log.warning(event, agents=len(self.choice.agents))

    def _send_heartbeats(self) -> None:
        receivers = self.members.list_heartbeat_targets()
        due = [ip for ip in receivers if self._is_due(ip, BALANCER_HEARTBEAT_MS)]
        now_ms = self.clock.now_ms()
        if now_ms - self.members_told_ms >= MEMBERS_INTERVAL_MS:
            self.members_told_ms = now_ms
            self.tell_balancers(receivers, with_members=True)
        elif due:
            self.tell_balancers(due, with_members=False)
        for server in self.view.list_servers():
            # Whoever seems isolated asks far agents as often as near ones.
            is_local = self.is_isolated or (
                server.availability_zone == self.settings.availability_zone
            )
            interval_ms = AGENT_HEARTBEAT_MS if is_local else REMOTE_AGENT_HEARTBEAT_MS
            self._tell_agent(server.address.ip, interval_ms, server.started_ms)
        # Whether their agents still answer decides over the flows of these servers.
        for server in self.view.list_former():
            self._tell_agent(server.address.ip, AGENT_HEARTBEAT_MS)

    def _is_due(self, ip: str, interval_ms: int) -> bool:
        return self.clock.now_ms() - self.sent_ms.get(ip, -interval_ms) >= interval_ms

    def _tell_agent(
        self, ip: str, interval_ms: int, server_started_ms: int = 0
    ) -> None:
        if self._is_due(ip, interval_ms):
            self.sent_ms[ip] = self.clock.now_ms()
            self.send(ip, self.make_heartbeat((), server_started_ms))

    def tell_balancers(self, ips: Collection[str], *, with_members: bool) -> None:
        """Send a heartbeat to some balancers, with or without those that are known."""
        self.sent_ms |= dict.fromkeys(ips, self.clock.now_ms())
        known = tuple(sorted(self.members.members)) if with_members else ()
        self.send_to_all(ips, self.make_heartbeat(known))

    def announce_view(self) -> None:
        """Tell all balancers what has just been read."""
        known = [server.address.ip for server in self.view.list_servers()]
        known += [former.server.address.ip for former in self.view.former.values()]
        self.choice.retain_agents(known)
        self.tell_balancers(self.members.list_heartbeat_targets(), with_members=False)

    def make_heartbeat(
        self, balancers: tuple[str, ...] = (), server_started_ms: int = 0
    ) -> Heartbeat:
        """Return what this balancer tells about itself."""
        view = self.view
        age_ms = view.age_ms
        configuration = view.configuration
        return Heartbeat(
            self.incarnation,
            self.settings.availability_zone,
            self.stop_ms is not None,
            view.listing.revision,
            view.listing_digest,
            min(age_ms if age_ms is not None else 0xFFFFFFFF, 0xFFFFFFFF),
            configuration.version if configuration is not None else 0,
            balancers,
            server_started_ms,
            view.settles_in_ms,
            view.configuration_revision,
        )

    def apply_settings(self, settings: ForwarderSettings) -> None:
        """Use other first balancers from now on."""
        self.members.set_seeds(seed.ip for seed in settings.seeds)

    def begin_stop(self) -> None:
        """Let the routers and the other balancers know; go on forwarding."""
        self.tell_balancers(self.members.list_heartbeat_targets(), with_members=False)

    def is_stopped(self) -> bool:
        """Return whether the routers have had time to use other balancers."""
        assert self.stop_ms is not None
        limit_ms = self.settings.stop_timeout_s * 1000 - STOP_MARGIN_MS
        wait_ms = min(STOP_MS, limit_ms)
        return self.clock.now_ms() - self.stop_ms >= wait_ms

    def find_peer_endpoint(self, ip: str) -> Endpoint:
        """Return where another balancer serves what it knows."""
        return Endpoint(ip, self.settings.peer_port)
