"""Membership and table of a daemon: connects `GossipNode` to peers and platform."""

import random

import structlog
import trio

from citronwinch.configuration_service import KeyRequest, ListRequest, PlatformFollower
from citronwinch.coordination import EMPTY_TABLE, Clock, Instance, Table
from citronwinch.coordination.spread import (
    ControlBudget,
    ControlPriority,
    GossipNode,
    Probe,
    ProbeAnswer,
    SendMessage,
    TableChunk,
    TablePull,
    TableVersion,
)
from citronwinch.daemon._events import (
    Event,
    KeyWasRead,
    ListWasRead,
    PeerBatch,
    TableWasJoined,
)
from citronwinch.daemon._peer_socket import PeerSocket
from citronwinch.daemon._platform_reads import (
    REQUEST_LIMIT,
    JoinTable,
    read_instance_lists,
    read_table_keys,
)
from citronwinch.operators import Metrics, Settings
from citronwinch.peers import Envelope

INSTANCES_INTERVAL_MS = 200
"""The minimum time between two updates of the instances, in milliseconds."""

log = structlog.get_logger()


class GossipDriver:
    """Keeps the members and the table up to date, as part of the deciding task."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        peers: PeerSocket,
        budget: ControlBudget,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.peers = peers
        self.budget = budget
        self.metrics = metrics
        own = Instance(
            settings.name,
            settings.role,
            settings.availability_zone,
            settings.peer_address,
            region=settings.region,
        )
        rng = random.Random(f"{settings.name}-{peers.incarnation}")
        self.node = GossipNode(
            own, peers.incarnation, clock, rng, settings.expected_instances
        )
        self.follower = PlatformFollower(self.node, clock)
        self.instances: dict[str, Instance] = {}
        self.member_change_count = -1
        self.clock = clock
        self.instances_due_ms = clock.now_ms()
        self.logged_reason = ""
        self.key_send, self.key_receive = trio.open_memory_channel[
            KeyRequest | JoinTable
        ](REQUEST_LIMIT)
        self.list_send, self.list_receive = trio.open_memory_channel[ListRequest](
            REQUEST_LIMIT
        )

    def start_tasks(
        self, nursery: trio.Nursery, inbox: trio.MemorySendChannel[Event]
    ) -> None:
        """Start the tasks that read the table and the list of instances."""
        settings = self.settings
        nursery.start_soon(
            read_table_keys, settings.configuration_service, self.key_receive, inbox
        )
        nursery.start_soon(
            read_instance_lists, settings.instance_service, self.list_receive, inbox
        )

    @property
    def table(self) -> Table:
        """The table in force; empty until the list of instances is known.

        Without the list a process could neither answer its peers nor detect which of
        them the platform has dropped.
        """
        return self.node.served_table if self.follower.has_list else EMPTY_TABLE

    @property
    def is_listed(self) -> bool:
        """Whether the newest list of instances has this process; true before a list."""
        return self.node.membership.is_listed or not self.follower.has_list

    def handle(self, event: Event) -> None:
        """Handle messages of peers and results of reads from the platform."""
        if isinstance(event, PeerBatch):
            for envelope in event.envelopes:
                self.handle_envelope(envelope)
        elif isinstance(event, KeyWasRead):
            if event.result.is_error():
                self.metrics.count("platform_errors_total", "table")
            if self.follower.accept_key(event.request, event.result):
                self.key_send.send_nowait(JoinTable(self.follower.reader))
            self.log_read_failure()
        elif isinstance(event, TableWasJoined):
            self.follower.accept_table_read(event.result)
            self.log_read_failure()
        elif isinstance(event, ListWasRead) and not self.follower.accept_list(
            event.result
        ):
            self.metrics.count("platform_errors_total", "instances")

    def handle_envelope(self, envelope: Envelope) -> None:
        """Record a message's sender and revision; handle gossip messages."""
        self.node.observe_envelope(envelope.sender, envelope.revision)
        message = envelope.message
        if isinstance(message, Probe | ProbeAnswer | TablePull | TableChunk):
            version = TableVersion(envelope.revision, b"")
            self.send_all(self.node.handle(message, envelope.sender, version))

    def tick(self) -> None:
        """Send due messages, start due reads of the platform, update the metrics."""
        self.send_all(self.node.tick())
        for request in self.follower.take_requests():
            self.metrics.count("platform_reads_total")
            if isinstance(request, ListRequest):
                self.list_send.send_nowait(request)
            else:
                self.key_send.send_nowait(request)
        self.export_gauges()

    def leave(self) -> None:
        """Notify the peers that this process is leaving."""
        self.send_all(self.node.leave())

    def read_instances(self) -> dict[str, Instance]:
        """Return the instances by name, as the list and the peers describe them."""
        now_ms = self.clock.now_ms()
        change_count = self.node.membership.change_count
        if self.member_change_count != change_count and now_ms >= self.instances_due_ms:
            self.instances_due_ms = now_ms + INSTANCES_INTERVAL_MS
            self.member_change_count = change_count
            self.instances = self.node.membership.list_instances()
        return self.instances

    def send_all(self, sends: list[SendMessage]) -> None:
        """Send the messages that the budget allows; cancel the others.

        The timers of the node repeat a message that was not sent.
        """
        for send in sends:
            member = self.node.membership.members.get(send.receiver)
            if member is not None and not self.peers.send_control(
                send.message, member.instance.address, send.priority
            ):
                self.node.cancel_unsent(send)

    def log_read_failure(self) -> None:
        """Log why the table cannot be read, if the reason has changed."""
        reason = self.follower.failure_reason
        if reason != self.logged_reason:
            self.logged_reason = reason
            peer = str(self.settings.configuration_service)
            if reason:
                log.warning("table_not_read", reason=reason, peer=peer)
            else:
                log.info("table_read_again", peer=peer)

    def export_gauges(self) -> None:
        """Export the gauges of gossip."""
        metrics = self.metrics
        for reason, count in self.node.counters.items():
            metrics.set_gauge("table_offers", count, reason)
        metrics.set_gauge("table_conflicts", self.node.counters["digest_conflict"])
        for priority in ControlPriority:
            name = priority.name.lower()
            metrics.set_gauge(
                "control_bytes_sent", self.budget.spent_bytes[priority], name
            )
            metrics.set_gauge(
                "control_bytes_refused", self.budget.refused_bytes[priority], name
            )
        metrics.set_gauge("control_budget_bytes", self.budget.available_bytes)
        metrics.set_gauge("table_age_ms", self.node.schedule.age_ms)
        metrics.set_gauge("table_is_watcher", int(self.node.schedule.is_watcher))
        metrics.set_gauge("members", len(self.node.membership.members))
        metrics.set_gauge("members_unreachable", len(self.node.membership.unreachable))
        metrics.set_gauge("pauses", self.node.detector.pause_count)
