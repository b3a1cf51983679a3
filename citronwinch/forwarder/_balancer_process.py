"""The balancer process: receives callers' packets from the routers."""

import random
from collections import deque
from collections.abc import Collection

import structlog
import trio

from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import (
    BALANCER_HEARTBEAT_MS,
    BALANCER_HEARTBEATS_PER_S,
    BalancerFlows,
    BalancerMembers,
    DeploymentView,
    FlowAnswer,
    FlowAnswers,
    FlowLocations,
    FlowLookup,
    Heartbeat,
    KnownBalancers,
    LoadReport,
    Message,
    MessagePace,
    Packet,
    ReturnedPacket,
    ServerSelector,
    ViewOffer,
    compute_interval_ms,
)
from citronwinch.forwarder._agent_heartbeats import AgentHeartbeats
from citronwinch.forwarder._evacuation_log import EvacuationLog
from citronwinch.forwarder._former_server_log import record_former_servers
from citronwinch.forwarder._process import ForwarderProcess, OpenSocket
from citronwinch.forwarder._settings import ForwarderSettings
from citronwinch.forwarder._view_exchange import ViewExchange
from citronwinch.network import DatagramSocket
from citronwinch.operators import MetricKey
from citronwinch.platform import decode_caller_packet

BALANCER_TICK_MS = 20
"""The interval at which a balancer checks its timeouts while searches run or openings
are held, in milliseconds. The shortest timeout is that for an answer from an agent of
the own zone about a flow."""

MIN_BALANCER_TICK_MS = 5
"""The shortest such interval, in milliseconds. A tick comes earlier than after
BALANCER_TICK_MS if a search has to be advanced: with the longer interval alone, a
search that waited 15 ms for a lost answer went on after up to 35 ms."""

READER_TICK_MS = 100
"""The interval at which a balancer that reads the store checks its other timeouts, in
milliseconds."""

IDLE_TICK_MS = 250
"""The same for a balancer that does not read the store, in milliseconds; less than the
time between two turns at reading."""

MEMBERS_INTERVAL_MS = 3_000
"""The interval of heartbeats that list the balancers known to the sender, in
milliseconds. A balancer that joins receives the list at once. The list makes up most of
a heartbeat's bytes."""

MEMBERS_RECEIVERS = 6
"""The most balancers that receive the list at the same time, chosen at random."""

LISTED_MEMBERS_LIMIT = 24
"""The most balancers in such a list, chosen at random. The lists of several balancers
complete each other, and a list of all would grow with the fleet."""

SEED_LISTED_MEMBERS_LIMIT = 64
"""The same in the list of a seed, from which a joining balancer learns the others."""

STOP_MS = 2_500
"""How long a stopping balancer still forwards, in milliseconds. Routers check a
balancer's readiness twice a second and remove the balancer from rotation after two
failed checks."""

STOP_MARGIN_MS = 1_000
"""The time between the exit of a stopping balancer and its stop timeout, at which it
would be killed, in milliseconds; it exits earlier than after STOP_MS if necessary."""

MAX_EARLY_PACKETS = 4_000
"""The most packets that a starting balancer queues until its view is complete: about
1.5 MB of openings and small requests, half a second of the heaviest traffic. A further
packet replaces the oldest one."""

READY_LISTING_AGE_MS = 1_500
"""The highest age of the listing with which a starting balancer is ready before
READY_TIMEOUT_MS, in milliseconds."""

READY_TIMEOUT_MS = 2_500
"""The time after which a starting balancer with a complete view is ready regardless of
the listing's age, in milliseconds."""

log = structlog.get_logger()


class BalancerProcess(ForwarderProcess):
    """A balancer: forwards callers' packets to agents and serves its view."""

    def __init__(
        self, settings: ForwarderSettings, open_socket: OpenSocket = DatagramSocket
    ) -> None:
        super().__init__(settings, settings.packet_address, open_socket)
        self.early_packets: deque[Packet] = deque(maxlen=MAX_EARLY_PACKETS)
        self.view = DeploymentView(self.clock)
        self.view.former.set_stop_timeout(settings.stop_timeout_ms)
        if not settings.is_first_start:
            self.view.start_after_others(settings.ip)
        self.rng = random.Random(settings.name)
        self.selector = ServerSelector(settings.availability_zone, self.clock, self.rng)
        self.flows = BalancerFlows(
            self.view,
            self.selector,
            self.clock,
            settings.link_mbps,
            settings.ip,
        )
        seeds = [seed.ip for seed in settings.seeds]
        self.members = BalancerMembers(settings.ip, seeds, self.clock)
        self.evacuation_log = EvacuationLog(self.view.evacuations, self.metrics)
        self.view_exchange = ViewExchange(self)
        self.has_been_ready = False
        self.is_isolated = False
        self.balancer_pace = MessagePace(self.clock)
        self.agent_heartbeats = AgentHeartbeats(self)
        self.members_sent_ms = self.started_ms

    def is_ready(self) -> bool:
        """Return whether the balancer accepts packets.

        A starting balancer is ready when its view is complete and either its listing is
        at most READY_LISTING_AGE_MS old, READY_TIMEOUT_MS have passed since the start,
        or the store does not answer. From then on, it is ready unless all known agents
        are silent.
        """
        if self.has_been_ready:
            return not self.is_isolated
        if not self.view.is_complete:
            return False
        age_ms = self.view.age_ms
        waited_ms = self.clock.now_ms() - self.started_ms
        is_current = age_ms is not None and age_ms <= READY_LISTING_AGE_MS
        is_store_lost = self.view_exchange.is_store_lost
        if is_current or is_store_lost or waited_ms >= READY_TIMEOUT_MS:
            self.has_been_ready = True
            log.info("ready", after_ms=waited_ms, view_age_ms=age_ms)
        return self.has_been_ready

    def start_tasks(self, nursery: trio.Nursery) -> None:
        """Start the tasks that update and serve the view."""
        self.view_exchange.start_tasks(nursery)

    def handle_message(self, message: Message, sender: str) -> None:
        """Handle a message of an agent or another balancer."""
        if isinstance(message, FlowAnswer):
            self.selector.record_message(sender)
            self.apply_actions(self.flows.handle_answer(message, sender))
        elif isinstance(message, FlowAnswers):
            self.selector.record_message(sender)
            for answer in self.flows.searches.batches.match_answers(sender, message):
                self.apply_actions(self.flows.handle_answer(answer, sender))
        elif isinstance(message, ReturnedPacket):
            packet = decode_caller_packet(message.raw)
            self.metrics.count("packets_returned_total")
            if self.selector.opening_rooms.is_exhausted(sender):
                # The agent may have restarted and not know that its server is warm.
                self.agent_heartbeats.urgent.add(sender)
            self.apply_actions(self.flows.handle_returned(packet, sender))
        elif isinstance(message, FlowLookup):
            self.send(sender, self.flows.answer_lookup(message))
        elif isinstance(message, FlowLocations):
            self.apply_actions(self.flows.handle_locations(message, sender))
        elif isinstance(message, LoadReport):
            self.selector.record_message(sender, message)
        elif isinstance(message, Heartbeat):
            self._handle_heartbeat(message, sender)
        elif isinstance(message, KnownBalancers):
            self._handle_named_balancers(message, sender)
        elif isinstance(message, ViewOffer):
            if message.evacuations:
                self.view.evacuations.merge(message.evacuations)
                self.handle_evacuations(sender)
            self.view_exchange.handle_offer(message, sender)

    def _handle_heartbeat(self, heartbeat: Heartbeat, sender: str) -> None:
        self.flows.directory.silent.discard(sender)
        was_member = sender in self.members.members
        if self.members.handle_heartbeat(sender, heartbeat):
            if was_member:
                self.flows.directory.record_restart(sender)
            log.info(
                "balancer_joined", balancer=sender, zone=heartbeat.availability_zone
            )
            self.send_balancer_heartbeat([sender], with_members=True)
        if heartbeat.evacuations:
            self.view.evacuations.merge(heartbeat.evacuations)
            self.handle_evacuations(sender)
        self.view_exchange.handle_heartbeat(heartbeat, sender)

    def _handle_named_balancers(self, message: KnownBalancers, agent: str) -> None:
        """Send a heartbeat to the balancers that were unknown."""
        unknown = self.members.record_named(message.addresses)
        if unknown:
            log.info("balancers_named", agent=agent, balancers=unknown)
            self.send_balancer_heartbeat(unknown, with_members=True)

    def handle_evacuations(self, source: str) -> None:
        """Announce a change of the evacuated zones to balancers and to their agents."""
        changed = self.evacuation_log.record_changes(source)
        if changed:
            self.send_balancer_heartbeat(
                self.members.list_heartbeat_targets(), with_members=False
            )
            self.agent_heartbeats.send_to_zones(changed)

    def handle_packet(self, data: bytes) -> None:
        """Handle a packet of a caller; queue it while the view is incomplete."""
        packet = decode_caller_packet(data)
        self.metrics.count("packets_from_callers_total")
        if self.view.is_complete:
            self.apply_actions(self.flows.handle_packet(packet))
        else:
            self.early_packets.append(packet)

    def handle_early_packets(self) -> None:
        """Handle the packets that were queued until the view was complete."""
        if self.early_packets and self.view.is_complete:
            log.info("early_packets_handled", count=len(self.early_packets))
            # Agents that have restarted as well learn of their servers first.
            self.agent_heartbeats.send_due()
            while self.early_packets:
                self.apply_actions(
                    self.flows.handle_packet(self.early_packets.popleft())
                )

    def tick(self) -> None:
        """Apply timeouts, send the heartbeats that are due and update the metrics.

        A step that fails does not prevent the next ones.
        """
        run_step = self.internal_errors.run_step
        run_step("tick directory", self._update_directory)
        run_step("tick flows", self._tick_flows)
        run_step("tick view", self._expire_view)
        run_step("tick members", self._expire_members)
        run_step("tick isolation", self._update_isolation)
        run_step("tick heartbeats", self._send_due_heartbeats)
        run_step("tick store", self.view_exchange.tick)
        run_step("tick metrics", self._update_metrics)

    def _tick_flows(self) -> None:
        self.apply_actions(self.flows.tick())

    def _expire_view(self) -> None:
        for server in self.view.expire():
            log.info("server_gone", server=server.name, service=server.service)
        record_former_servers(self.view.former, self.metrics)

    def _expire_members(self) -> None:
        lost = self.members.expire()
        for ip in lost:
            log.info("balancer_lost", balancer=ip)
            self.view.former_knowledge.forget(ip)
        if lost:
            self.balancer_pace.retain(self.members.list_heartbeat_targets())

    def _update_metrics(self) -> None:
        for name, count in self.flows.counters.items():
            self.metrics.counters[MetricKey(f"{name}_total")] = count
        self.metrics.set_gauge("known_flows", len(self.flows.flows))
        self.metrics.set_gauge("uploads_in_progress", self.flows.uploads.count())
        self.metrics.set_gauge("cold_servers", self.view.cold_servers.count_limited())
        self.metrics.set_gauge("view_age_ms", self.view.age_ms or 0)
        self.metrics.set_gauge("ignored_entries", self._count_ignored_entries())
        known_for_ms = self.view.route_history.known_for_ms
        self.metrics.set_gauge("route_history_ms", known_for_ms)

    def _count_ignored_entries(self) -> int:
        """Return how many entries of the store name no backend server to use."""
        listed = self.view.listed
        rejected = len(self.view_exchange.rejected_entries)
        return rejected + len(listed.unnamed) + len(listed.superseded)

    def _update_directory(self) -> None:
        """Tell the directory which balancers of the zone are live."""
        balancers = self.members.list_live_in_zone(self.settings.availability_zone)
        if self.stop_requested_ms is None:
            balancers.append(self.settings.ip)
        directory = self.flows.directory
        directory.may_lack_balancers = self.members.may_lack_balancers()
        self.apply_actions([*directory.set_balancers(balancers)])

    def compute_tick_ms(self, *, is_idle: bool) -> int:
        """Return the time until the next tick, in milliseconds."""
        if not is_idle:
            longest_ms = self.flows.pacing.compute_wait_ms(BALANCER_TICK_MS)
            wait_ms = self.flows.searches.compute_wait_ms(longest_ms)
            return min(max(wait_ms, MIN_BALANCER_TICK_MS), BALANCER_TICK_MS)
        is_reader = self.view_exchange.configuration_watch.is_listing_reader()
        return READER_TICK_MS if is_reader else IDLE_TICK_MS

    def has_pending_work(self) -> bool:
        """Return whether the process starts, searches run or something is held."""
        return (
            not self.has_been_ready
            or bool(self.flows.searches)
            or bool(self.flows.held_openings.openings)
            or bool(self.flows.held_uploads.openings)
            or bool(self.flows.pacing.queues)
        )

    def _update_isolation(self) -> None:
        is_isolated = self.selector.is_isolated()
        if is_isolated != self.is_isolated:
            self.is_isolated = is_isolated
            event = "agents_lost" if is_isolated else "agents_regained"
            log.warning(event, agents=len(self.selector.agents))

    def _send_due_heartbeats(self) -> None:
        targets = self.members.list_heartbeat_targets()
        now_ms = self.clock.now_ms()
        if targets and now_ms - self.members_sent_ms >= MEMBERS_INTERVAL_MS:
            self.members_sent_ms = now_ms
            count = min(len(targets), MEMBERS_RECEIVERS)
            chosen = self.rng.sample(sorted(targets), count)
            self.send_balancer_heartbeat(chosen, with_members=True)
        due = self.balancer_pace.list_due(targets, self._compute_balancer_interval_ms())
        if due:
            self.send_balancer_heartbeat(due, with_members=False)
        self.agent_heartbeats.send_due()

    def _compute_balancer_interval_ms(self) -> int:
        targets = len(self.members.list_heartbeat_targets())
        return compute_interval_ms(
            BALANCER_HEARTBEAT_MS, targets, BALANCER_HEARTBEATS_PER_S
        )

    def send_balancer_heartbeat(
        self, ips: Collection[str], *, with_members: bool
    ) -> None:
        """Send a heartbeat to balancers; `with_members` names other balancers in it."""
        interval_ms = self._compute_balancer_interval_ms()
        self.balancer_pace.record_sent(ips, interval_ms)
        known = self._list_named_members() if with_members else ()
        self.send_to_all(ips, self.make_heartbeat(known, interval_ms=interval_ms))

    def _list_named_members(self) -> tuple[str, ...]:
        """Return the balancers that this one names to others."""
        is_seed = self.settings.ip in {seed.ip for seed in self.settings.seeds}
        limit = SEED_LISTED_MEMBERS_LIMIT if is_seed else LISTED_MEMBERS_LIMIT
        known = sorted(self.members.members)
        return tuple(self.rng.sample(known, min(len(known), limit)))

    def announce_view(self) -> None:
        """Announce a new configuration or listing to the other balancers.

        They receive a heartbeat with its version or position. Agents without a listed,
        retained or former server are removed from the server selector.
        """
        known = [server.address.ip for server in self.view.list_servers()]
        known += [server.address.ip for server in self.view.list_former()]
        self.selector.retain_agents(known)
        self.agent_heartbeats.pace.retain(known)
        self.send_balancer_heartbeat(
            self.members.list_heartbeat_targets(), with_members=False
        )

    def make_heartbeat(
        self,
        balancers: tuple[str, ...] = (),
        server_started_ms: int = 0,
        interval_ms: int = 0,
    ) -> Heartbeat:
        """Return a heartbeat that describes this balancer and its view."""
        view = self.view
        age_ms = view.age_ms
        configuration = view.configuration
        return Heartbeat(
            self.incarnation,
            self.settings.availability_zone,
            self.stop_requested_ms is not None,
            view.listing.position,
            view.listing_digest,
            min(age_ms if age_ms is not None else 0xFFFFFFFF, 0xFFFFFFFF),
            configuration.version if configuration is not None else 0,
            balancers,
            server_started_ms,
            view.remaining_grace_ms,
            view.configuration_position,
            interval_ms,
            view.evacuations.list_entries(),
            former_known_for_ms=max(1, view.former_knowledge.known_for_ms),
            uptime_ms=view.former_knowledge.uptime_ms,
        )

    def apply_settings(self, settings: ForwarderSettings) -> None:
        """Replace the seeds, the stop timeout of agents and the store's address."""
        if settings.store_address is not None:
            self.view_exchange.set_store_address(settings.store_address)
        self.members.set_seeds(seed.ip for seed in settings.seeds)
        self.view.former.set_stop_timeout(settings.stop_timeout_ms)

    def begin_stop(self) -> None:
        """Announce the stop to the other balancers and continue to forward.

        The balancers of the zone receive the flow locations that this one keeps.
        Queued packets of uploads are forwarded at once.
        """
        self.apply_actions(self.flows.pacing.stop())
        self._update_directory()
        self.send_balancer_heartbeat(
            self.members.list_heartbeat_targets(), with_members=False
        )

    def can_exit(self) -> bool:
        """Return whether the routers have had time to switch to other balancers."""
        assert self.stop_requested_ms is not None
        limit_ms = self.settings.stop_timeout_ms - STOP_MARGIN_MS
        wait_ms = min(STOP_MS, limit_ms)
        return self.clock.now_ms() - self.stop_requested_ms >= wait_ms

    def make_peer_endpoint(self, ip: str) -> Endpoint:
        """Return the endpoint at which the balancer with this IP serves its view."""
        return Endpoint(ip, self.settings.peer_port)
