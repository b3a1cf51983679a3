"""The balancers of a small fleet, with the exchange of views between them."""

import random
from collections.abc import Collection

from citronwinch.coordination.flows import (
    AGENT_HEARTBEAT_MS,
    AGENT_HEARTBEATS_PER_S,
    BALANCER_HEARTBEAT_MS,
    BackendServer,
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
    compute_former_interval_ms,
    compute_interval_ms,
    compute_read_age_ms,
    compute_read_retry_ms,
    compute_read_turn,
    list_view_sources,
)
from citronwinch.coordination.flows.tests.conftest import make_configuration
from citronwinch.coordination.flows.tests.small_fleet_processes import Process

ZONE = "a"
STOP_TIMEOUT_MS = 6_000
SEARCHING_TICK_MS = 20
MIN_TICK_MS = 5
READER_TICK_MS = 100
IDLE_TICK_MS = 250
MEMBERS_INTERVAL_MS = 3_000
BALANCERS_QUESTION_INTERVAL_MS = 3_000
STORE_READ_MS = 20
FETCH_MS = 3
FETCH_TIMEOUT_MS = 300
FETCH_RETRY_MS = 50


class BalancerProcess(Process):
    """A balancer, with the exchange of views of `citronwinch.forwarder`."""

    def reset_state(self, is_first_start: bool) -> None:
        clock = self.clock
        self.view = DeploymentView(clock)
        self.view.former.set_stop_timeout(STOP_TIMEOUT_MS)
        if not is_first_start:
            self.view.start_after_others(self.ip)
        rng = random.Random(f"{self.ip} {self.run}")
        self.rng = rng
        self.selector = ServerSelector(ZONE, clock, rng)
        self.flows = BalancerFlows(self.view, self.selector, clock, own_ip=self.ip)
        self.members = BalancerMembers(self.ip, self.fleet.seeds, clock)
        self.asked_ms = clock.now_ms()
        self.balancer_pace, self.agent_pace = MessagePace(clock), MessagePace(clock)
        self.members_sent_ms = clock.now_ms()
        self.is_reading = self.is_catching_up = False
        self.retry_read_ms = 0
        self.early_packets: list[Packet] = []

    def knows(self, server: BackendServer) -> bool:
        """Return whether the view has a backend server, listed or as a former one."""
        possible = self.view.list_possible_holders([server.service])
        return any(each.name == server.name for each in possible)

    def has_pending_work(self) -> bool:
        return not self.view.is_complete or bool(self.flows.searches)

    def compute_tick_ms(self) -> int:
        if self.is_idle:
            is_reader = not self._compute_read_turn()
            return READER_TICK_MS if is_reader else IDLE_TICK_MS
        wait_ms = self.flows.searches.compute_wait_ms(SEARCHING_TICK_MS)
        return min(max(wait_ms, MIN_TICK_MS), SEARCHING_TICK_MS)

    def tick(self) -> None:
        self._update_directory()
        self.apply(self.flows.tick())
        self.view.expire()
        for ip in self.members.expire():
            self.view.former_knowledge.forget(ip)
        self._send_due_heartbeats()
        self._read_listing_if_due()

    def begin_stop(self) -> None:
        self.apply(self.flows.pacing.stop())
        self._update_directory()
        self._send_heartbeats(self.members.list_heartbeat_targets())

    def _update_directory(self) -> None:
        balancers = self.members.list_live_in_zone(ZONE)
        if not self.is_stopping:
            balancers.append(self.ip)
        directory = self.flows.directory
        directory.may_lack_balancers = self.members.may_lack_balancers()
        self.apply([*directory.set_balancers(balancers)])

    def _send_due_heartbeats(self) -> None:
        targets = self.members.list_heartbeat_targets()
        now_ms = self.clock.now_ms()
        if targets and now_ms - self.members_sent_ms >= MEMBERS_INTERVAL_MS:
            self.members_sent_ms = now_ms
            self._send_heartbeats(targets, with_members=True)
        due = self.balancer_pace.list_due(targets, BALANCER_HEARTBEAT_MS)
        self._send_heartbeats(due)
        servers = {s.address.ip: s for s in self.view.list_servers()}
        interval_ms = compute_interval_ms(
            AGENT_HEARTBEAT_MS, len(servers), AGENT_HEARTBEATS_PER_S
        )
        self.selector.heard_agents.set_servers(
            [*self.view.list_former(), *servers.values()]
        )
        self.selector.set_heartbeat_intervals(interval_ms, 2_000)
        former = [server.address.ip for server in self.view.list_former()]
        former_ms = compute_former_interval_ms(len(former))
        for ips, each_ms in (((*servers,), interval_ms), (former, former_ms)):
            for ip in self.agent_pace.list_due(ips, each_ms):
                heartbeat = self.make_heartbeat((), each_ms)
                is_due = now_ms - self.asked_ms >= BALANCERS_QUESTION_INTERVAL_MS
                if is_due:
                    self.asked_ms = now_ms
                asks = is_due or not self.members.members
                heartbeat = heartbeat._replace(asks_for_balancers=asks)
                if ip in servers:
                    heartbeat = heartbeat._replace(
                        server_started_ms=servers[ip].started_ms,
                        server_slots=servers[ip].slots,
                        agent_heard_ms=self.selector.heard_agents.get_heard_ms(
                            servers[ip]
                        ),
                    )
                self.send(ip, heartbeat)

    def _send_heartbeats(
        self, ips: Collection[str], *, with_members: bool = False
    ) -> None:
        self.balancer_pace.record_sent(ips, BALANCER_HEARTBEAT_MS)
        known = tuple(sorted(self.members.members)) if with_members else ()
        heartbeat = self.make_heartbeat(known, BALANCER_HEARTBEAT_MS)
        for ip in sorted(ips):
            self.send(ip, heartbeat)

    def make_heartbeat(self, known: tuple[str, ...], interval_ms: int) -> Heartbeat:
        """Return a heartbeat that describes this balancer and its view."""
        view = self.view
        return Heartbeat(
            self.run,
            ZONE,
            self.is_stopping,
            view.listing.position,
            view.listing_digest,
            0xFFFFFFFF if view.age_ms is None else view.age_ms,
            view.configuration.version if view.configuration else 0,
            known,
            remaining_grace_ms=view.remaining_grace_ms,
            interval_ms=interval_ms,
            former_known_for_ms=max(1, view.former_knowledge.known_for_ms),
            uptime_ms=view.former_knowledge.uptime_ms,
        )

    def _read_listing_if_due(self) -> None:
        now_ms, age_ms = self.clock.now_ms(), self.view.age_ms
        if self.is_reading or now_ms < self.retry_read_ms:
            return
        expects_servers = self.view.expects_servers()
        limit_ms = compute_read_age_ms(
            self._compute_read_turn(), expects_servers=expects_servers
        )
        if age_ms is None or age_ms >= limit_ms:
            self.is_reading = True
            self.schedule(STORE_READ_MS, lambda: self._finish_read(now_ms))

    def _compute_read_turn(self) -> int:
        return compute_read_turn(self.ip, self.members.list_live())

    def _finish_read(self, requested_ms: int) -> None:
        self.is_reading = False
        if self.fleet.is_lost(self.ip, self.fleet.STORE_IP, "listing"):
            self.retry_read_ms = self.clock.now_ms() + compute_read_retry_ms(2)
            self.view.mark_read_failed()
            return
        self.view.accept_configuration(make_configuration())
        self.view.accept_listing(self.fleet.make_listing(), requested_ms)
        self._handle_early_packets()
        self._announce_view()

    def _announce_view(self) -> None:
        known = [server.address.ip for server in self.view.list_servers()]
        known += [server.address.ip for server in self.view.list_former()]
        self.selector.retain_agents(known)
        self.agent_pace.retain(known)
        self._send_heartbeats(self.members.list_heartbeat_targets())

    def handle_packet(self, packet: Packet) -> None:
        """Handle a packet of the caller; queue it while the view is incomplete."""
        if self.view.is_complete:
            self.apply(self.flows.handle_packet(packet))
        else:
            self.early_packets.append(packet)

    def _handle_early_packets(self) -> None:
        if self.view.is_complete:
            early, self.early_packets = self.early_packets, []
            for packet in early:
                self.apply(self.flows.handle_packet(packet))

    def handle_message(self, message: Message, sender: str) -> None:
        if isinstance(message, FlowAnswer):
            self.selector.record_message(sender)
            self.apply(self.flows.handle_answer(message, sender))
        elif isinstance(message, FlowAnswers):
            self.selector.record_message(sender)
            for answer in self.flows.searches.batches.match_answers(sender, message):
                self.apply(self.flows.handle_answer(answer, sender))
        elif isinstance(message, ReturnedPacket):
            packet = self.fleet.packets[message.raw]
            self.apply(self.flows.handle_returned(packet, sender))
        elif isinstance(message, FlowLookup):
            self.send(sender, self.flows.answer_lookup(message))
        elif isinstance(message, FlowLocations):
            self.apply(self.flows.handle_locations(message, sender))
        elif isinstance(message, LoadReport):
            self.selector.record_message(sender, message)
        elif isinstance(message, Heartbeat):
            self._handle_heartbeat(message, sender)
        elif isinstance(message, KnownBalancers):
            unknown = self.members.record_named(message.addresses)
            self._send_heartbeats(unknown, with_members=True)

    def _handle_heartbeat(self, heartbeat: Heartbeat, sender: str) -> None:
        self.flows.directory.silent.discard(sender)
        if self.members.handle_heartbeat(sender, heartbeat):
            self._send_heartbeats([sender], with_members=True)
        view = self.view
        lacks_listing = heartbeat.listing_position > view.listing.position
        was_outside_grace = view.remaining_grace_ms == 0
        view.accept_grace(heartbeat.remaining_grace_ms)
        may_lack_retained = was_outside_grace and view.remaining_grace_ms > 0
        if (
            heartbeat.listing_position >= view.listing.position
            and heartbeat.listing_digest == view.listing_digest
        ):
            confirmed_ms = self.clock.now_ms() - heartbeat.listing_age_ms
            view.confirm_listing(heartbeat.listing_position, confirmed_ms)
            lacks_listing = False
        lacks_former = view.former_knowledge.record_heartbeat(heartbeat, sender)
        if (lacks_listing or may_lack_retained or lacks_former) and (
            not self.is_catching_up
        ):
            self.is_catching_up = True
            self._fetch_view(sender if may_lack_retained else self._choose_source())

    def _choose_source(self) -> str | None:
        members = self.members.members
        former = self.view.former_knowledge.sources & members.keys()
        sources = sorted(former) or sorted(list_view_sources(self.view, members))
        return self.rng.choice(sources) if sources else None

    def _fetch_view(self, source: str | None) -> None:
        """Fetch the view of a balancer, and then of others until nothing lacks."""
        if source is None:
            self.is_catching_up = False
            return
        requested_ms = self.clock.now_ms()
        other = self.fleet.processes[source]
        is_lost = self.fleet.is_lost(self.ip, source, "fetch")
        if is_lost or not other.is_running or other.paused_until_ms > requested_ms:
            wait_ms = FETCH_TIMEOUT_MS if other.is_running else FETCH_RETRY_MS
            self.schedule(wait_ms, lambda: self._fetch_view(self._choose_source()))
            return
        assert isinstance(other, BalancerProcess)
        view = other.view
        retained = tuple(view.retained.values())
        listing, age_ms = view.listing, view.age_ms
        configuration = view.configuration
        asks_former = source in self.view.former_knowledge.sources
        departed = view.former.list_departed()
        known_for_ms = view.former_knowledge.known_for_ms

        def accept() -> None:
            if asks_former:
                listed = listing.servers.values()
                self.view.accept_former(departed, source, known_for_ms, listed)
            if configuration is not None:
                self.view.accept_configuration(configuration)
            if age_ms is not None:
                self.view.accept_listing(listing, requested_ms - age_ms)
                remaining_ms = self.view.remaining_grace_ms
                self.view.accept_grace(remaining_ms, retained)
                self._handle_early_packets()
            self._fetch_view(self._choose_source())

        self.schedule(FETCH_MS, accept)
