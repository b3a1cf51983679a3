"""The base class of the balancer's and the agent's process."""

import signal
import time
from abc import ABC, abstractmethod

import structlog
import trio

from citronwinch.coordination import (
    Endpoint,
    FlowKey,
    Instance,
    InstanceRole,
    MonotonicClock,
    Table,
)
from citronwinch.coordination.spread import ControlBudget
from citronwinch.daemon._arrivals import ArrivalWatch
from citronwinch.daemon._events import (
    Event,
    InstancesChanged,
    PeerBatch,
    StopRequested,
    Tick,
)
from citronwinch.daemon._gossip_driver import GossipDriver
from citronwinch.daemon._peer_socket import PeerSocket
from citronwinch.daemon._status import Status, StatusPage
from citronwinch.network import DatagramSocket, serve
from citronwinch.operators import Metrics, Settings
from citronwinch.peers import KeyRing

INBOX_LIMIT = 256
"""The maximum number of events that wait for the deciding task."""

TICK_MS = 100
"""The interval of `Tick` events, in milliseconds."""

log = structlog.get_logger()


class DaemonProcess(ABC):
    """A daemon: tasks that receive events, and the deciding task that handles them.

    The receiving tasks wait for sockets, the platform, signals and the timer, and send
    events to the inbox. The deciding task handles one event at a time, and no other
    task changes the state of the process.
    """

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.clock = MonotonicClock()
        self.budget = ControlBudget(self.clock)
        self.instances: dict[str, Instance] = {}
        self.state = "starting"
        self.last_event_ms = self.clock.now_ms()
        self.metrics.service_levels.configure(settings.objectives, self.last_event_ms)
        self.inbox_send, self.inbox = trio.open_memory_channel[Event](INBOX_LIMIT)
        accepted = [key for key in (settings.key, settings.previous_key) if key]
        self.peers = PeerSocket(
            DatagramSocket(settings.peer_address),
            settings.name,
            time.time_ns(),
            KeyRing(settings.key, tuple(accepted)),
            self.metrics,
            self.budget,
        )
        self.peers.read_revision = lambda: self.gossip.node.replica.version.revision
        self.gossip = GossipDriver(
            settings, self.clock, self.peers, self.budget, self.metrics
        )

    @property
    @abstractmethod
    def table(self) -> Table:
        """The table in force."""

    @property
    @abstractmethod
    def flow_count(self) -> int:
        """The number of flows that are owned or have a cached owner."""

    def find_owner(self, flow: FlowKey) -> str:
        """Return the owner of a flow, empty if this process does not know it."""
        return ""

    @abstractmethod
    def handle(self, event: Event) -> None:
        """Handle one event as the role requires."""

    @abstractmethod
    def is_drained(self) -> bool:
        """Return whether a graceful shutdown is complete."""

    @abstractmethod
    def start_role_tasks(self, nursery: trio.Nursery) -> None:
        """Start the tasks that only this role has."""

    async def run(self) -> None:
        """Run until a graceful shutdown is complete."""
        page = StatusPage(self.metrics, self.read_status, self.find_owner)
        settings = self.settings
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_signals)
            nursery.start_soon(self._receive_peers)
            nursery.start_soon(self._tick)
            http = (settings.http_address, page.handle, page.count_error)
            nursery.start_soon(serve, *http)
            self.gossip.start_tasks(nursery, self.inbox_send)
            self.start_role_tasks(nursery)
            log.info("started", name=settings.name, role=settings.role.value)
            await self._run_deciding_task()
            nursery.cancel_scope.cancel()
        log.info("stopped", name=settings.name)

    async def _run_deciding_task(self) -> None:
        """Handle the events of the inbox, until a graceful shutdown is complete.

        After a stop request it ends when the process is drained, at the latest when
        the stop timeout has passed.
        """
        deadline_ms: int | None = None
        async for event in self.inbox:
            self.last_event_ms = self.clock.now_ms()
            try:
                self._handle_common(event)
                self.handle(event)
            except Exception:
                # Stopping here would break all flows because of one event.
                self.metrics.count("internal_errors_total", type(event).__name__)
                log.exception("event_not_handled", kind=type(event).__name__)
            if isinstance(event, StopRequested) and deadline_ms is None:
                deadline_ms = self.clock.now_ms() + self.settings.stop_timeout_ms
            if deadline_ms is not None and (
                self.is_drained() or self.clock.now_ms() >= deadline_ms
            ):
                self.finish()
                return

    @abstractmethod
    def finish(self) -> None:
        """Send the last messages, after the last event was handled."""

    def list_sockets(self) -> list[DatagramSocket]:
        """Return the UDP sockets of this process."""
        return [self.peers.datagram_socket]

    def export_socket_errors(self) -> None:
        """Export how many datagrams the sockets could not send or receive."""
        sockets = self.list_sockets()
        not_sent = sum(datagram_socket.dropped_sends for datagram_socket in sockets)
        self.metrics.set_gauge("datagrams_not_sent", not_sent)
        errors = sum(datagram_socket.receive_errors for datagram_socket in sockets)
        self.metrics.set_gauge("receive_errors", errors)

    def _handle_common(self, event: Event) -> None:
        self.gossip.handle(event)
        if isinstance(event, Tick):
            self.export_socket_errors()
            self.gossip.tick()
        elif isinstance(event, StopRequested):
            self.state = "stopping"
            self.gossip.leave()
            log.info("stopping", name=self.settings.name)
        self._follow_instances()
        if self.gossip.table.revision > self.table.revision:
            self.accept_table(self.gossip.table)

    def _follow_instances(self) -> None:
        instances = self.gossip.read_instances()
        if instances is not self.instances:
            self.instances = instances
            self.handle(InstancesChanged(tuple(instances.values())))

    def find_address(self, name: str) -> Endpoint | None:
        """Return the peer address of an instance; None if it is unknown.

        An instance that has just joined may send messages before it is in the list of
        instances, and one may leave the list before it ends; the source address of its
        last message is returned then.
        """
        instance = self.instances.get(name)
        if instance is not None:
            return instance.address
        return self.peers.find_address(name)

    def accept_table(self, table: Table) -> None:
        """Put a table in force, and log and export its revision."""
        self.apply_table(table)
        self.metrics.set_gauge("table_revision", table.revision)
        if self.state == "starting":
            self.state = "ready"
        log.info("table_in_force", revision=table.revision, rows=len(table.rows))

    @abstractmethod
    def apply_table(self, table: Table) -> None:
        """Apply a newer table as the role requires."""

    def read_status(self) -> Status:
        """Return the status of this process for the status page."""
        return Status(
            self.settings.name,
            self.settings.role.value,
            self.state,
            self.table.revision,
            self.table.digest.hex(),
            self.flow_count,
            len(self.instances),
            self.clock.now_ms() - self.last_event_ms,
            self.find_table_scope(),
        )

    def find_table_scope(self) -> str:
        """Return the names of the services whose rows this process has.

        They are joined by commas. The result is empty for a balancer, which has all
        rows, and for an agent without any row.
        """
        if self.settings.role is InstanceRole.BALANCER:
            return ""
        return ",".join(sorted(self.table.rows_by_service))

    async def _receive_peers(self) -> None:
        watch = ArrivalWatch(self.peers.datagram_socket, self.clock)
        while True:
            envelopes, earliest_arrival_ms = await watch.receive(self.peers.receive)
            await self.inbox_send.send(PeerBatch(envelopes, earliest_arrival_ms))

    async def _tick(self) -> None:
        while True:
            await trio.sleep(TICK_MS / 1000)
            await self.inbox_send.send(Tick(self.clock.now_ms()))

    async def _receive_signals(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
            async for _ in signals:
                await self.inbox_send.send(StopRequested())
