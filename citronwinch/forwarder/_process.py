"""The base class of balancer and agent processes."""

import os
import signal
import socket
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Collection
from pathlib import Path
from typing import Any, NamedTuple

import structlog
import trio

from citronwinch.coordination import Endpoint, MonotonicClock
from citronwinch.coordination.flows import (
    Action,
    DeliverToCaller,
    DeliverToServer,
    ForwardedPacket,
    Measure,
    Message,
    Packet,
    Record,
    ResetFlow,
    SendMessage,
)
from citronwinch.flow_peers import (
    decode_flow_message,
    encode_flow_message,
    encode_forwarded,
)
from citronwinch.forwarder._decision_log import DecisionLog
from citronwinch.forwarder._http_pages import serve_metrics, serve_readiness
from citronwinch.forwarder._internal_errors import InternalErrors
from citronwinch.forwarder._settings import (
    ForwarderSettings,
    parse_forwarder_settings,
)
from citronwinch.network import (
    Datagram,
    DatagramSocket,
    MalformedMessageError,
)
from citronwinch.operators import Metrics
from citronwinch.platform import encode_reset

PAUSE_THRESHOLD_MS = 500
"""A tick that is late by more than this counts as a pause of the process, in
milliseconds."""

SETTINGS_CHECK_MS = 2_000
"""How often a process checks its settings file for changes, in milliseconds."""

RELOADABLE_SETTINGS = frozenset({"seeds", "stop_timeout_ms", "store_address"})
"""The settings that a running process applies; all others require a restart."""

log = structlog.get_logger()


class PeerBatch(NamedTuple):
    """Datagrams from balancers and agents."""

    datagrams: list[Datagram]
    """The datagrams."""


class PacketBatch(NamedTuple):
    """Datagrams with packets from routers or the backend server."""

    datagrams: list[Datagram]
    """The datagrams."""


class Tick(NamedTuple):
    """The tick interval has elapsed."""


class StopRequested(NamedTuple):
    """The process was asked to stop."""


class SettingsChanged(NamedTuple):
    """The settings file has changed, or a reload was requested with SIGHUP."""


Event = PeerBatch | PacketBatch | Tick | StopRequested | SettingsChanged
"""An event that a task of the process passes to `handle_event`."""


OpenSocket = Callable[[Endpoint], DatagramSocket]
"""Opens the UDP socket of an address; raises OSError if the address cannot be bound."""


class ForwarderProcess(ABC):
    """A balancer or agent process.

    Each socket is read by a task of its own. The tasks call `handle_event`, which does
    not wait, so that events are handled one after the other.
    """

    def __init__(
        self,
        settings: ForwarderSettings,
        packet_address: Endpoint,
        open_socket: OpenSocket,
    ) -> None:
        self.settings = settings
        self.clock = MonotonicClock()
        self.started_ms = self.clock.now_ms()
        self.incarnation = time.time_ns()
        self.metrics = Metrics()
        self.internal_errors = InternalErrors(self.clock, self.metrics)
        self.decision_log = DecisionLog(self.clock)
        self.packet_socket = open_socket(packet_address)
        self.peer_socket = open_socket(Endpoint(settings.ip, settings.peer_port))
        self.last_tick_ms = self.started_ms
        self.current_tick_ms = 0
        """The interval until the next tick, in milliseconds."""
        self.is_idle = False
        """Whether nothing was pending at the last tick."""
        self.tick_requested = trio.Event()
        self.is_finished = trio.Event()
        """Set when a requested stop is complete."""
        self.settings_file = ""
        self.settings_mtime_ns = 0
        self.stop_requested_ms: int | None = None
        self.appliers: dict[type[Action], Callable[[Any], None]] = {
            SendMessage: self._apply_message,
            DeliverToServer: self._apply_delivery_to_server,
            DeliverToCaller: self._apply_delivery_to_caller,
            ResetFlow: self._apply_reset,
            Measure: self._apply_measurement,
            Record: self._apply_record,
        }
        """The method that applies each type of action. For each packet, a lookup takes
        less time than a dispatch by type."""

    @abstractmethod
    def is_ready(self) -> bool:
        """Return whether the process accepts packets."""

    @abstractmethod
    def handle_message(self, message: Message, sender: str) -> None:
        """Handle a message of another balancer or agent."""

    @abstractmethod
    def handle_packet(self, data: bytes) -> None:
        """Handle a packet of a caller or the backend server.

        Raises MalformedMessageError if it cannot be decoded.
        """

    @abstractmethod
    def tick(self) -> None:
        """Apply timeouts and send the messages that are due."""

    @abstractmethod
    def has_pending_work(self) -> bool:
        """Return whether something is pending that needs frequent ticks."""

    @abstractmethod
    def compute_tick_ms(self, *, is_idle: bool) -> int:
        """Return the time until the next tick, in milliseconds.

        `is_idle` tells that nothing is pending.
        """

    @abstractmethod
    def begin_stop(self) -> None:
        """Announce the stop to the other processes."""

    @abstractmethod
    def can_exit(self) -> bool:
        """Return whether a stopping process may exit."""

    @abstractmethod
    def start_tasks(self, nursery: trio.Nursery) -> None:
        """Start the tasks that are specific to the role."""

    def watch_settings_file(self, file: str) -> None:
        """Reload the settings whenever this file changes."""
        self.settings_file = file
        self.settings_mtime_ns = self._read_settings_mtime_ns()

    async def run(self) -> None:
        """Run until a requested stop is complete."""
        settings = self.settings
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_signals)
            run_forever = self.internal_errors.run_forever
            for batch, datagram_socket in (
                (PeerBatch, self.peer_socket),
                (PacketBatch, self.packet_socket),
            ):
                kind = f"receive {batch.__name__}"
                nursery.start_soon(
                    run_forever, kind, self._receive, datagram_socket, batch
                )
            nursery.start_soon(run_forever, "tick", self._tick)
            nursery.start_soon(run_forever, "settings", self._watch_settings)
            nursery.start_soon(serve_readiness, self)
            if settings.metrics_port:
                nursery.start_soon(serve_metrics, self)
            self.start_tasks(nursery)
            log.info(
                "started",
                name=settings.name,
                role=settings.role.value,
                zone=settings.availability_zone,
                incarnation=self.incarnation,
            )
            await self.is_finished.wait()
            nursery.cancel_scope.cancel()
        log.info("stopped", name=settings.name)

    def close(self) -> None:
        """Close the sockets."""
        self.packet_socket.close()
        self.peer_socket.close()

    def handle_event(self, event: Event) -> None:
        """Handle an event; log an error instead of raising it."""
        # Exiting here would break every flow because of a single event.
        try:
            self._handle_event(event)
            is_stopping = self.stop_requested_ms is not None
            if self.is_idle and (is_stopping or self.has_pending_work()):
                self.tick_requested.set()
        except Exception:
            self.internal_errors.record(type(event).__name__)
        if self.stop_requested_ms is not None and self.can_exit():
            self.is_finished.set()

    def _handle_event(self, event: Event) -> None:
        if isinstance(event, PacketBatch):
            for datagram in event.datagrams:
                self._handle_packet_datagram(datagram)
        elif isinstance(event, PeerBatch):
            for datagram in event.datagrams:
                self._handle_peer_datagram(datagram)
        elif isinstance(event, Tick):
            self._detect_pause()
            self.tick()
        elif isinstance(event, StopRequested):
            if self.stop_requested_ms is None:
                self.stop_requested_ms = self.clock.now_ms()
                log.info("stopping", name=self.settings.name)
                self.begin_stop()
        elif isinstance(event, SettingsChanged):
            self._reload_settings()

    @abstractmethod
    def apply_settings(self, settings: ForwarderSettings) -> None:
        """Apply the settings that may change in a running process."""

    def _reload_settings(self) -> None:
        """Reload the settings; keep the current ones if the new ones are invalid."""
        self.settings_mtime_ns = self._read_settings_mtime_ns()
        file = self.settings_file
        try:
            parsed = parse_forwarder_settings(Path(file).read_text(), file)
        except (OSError, UnicodeDecodeError) as error:
            log.warning("settings_unreadable", file=file, reason=str(error))
            return
        if parsed.is_error():
            problems = [str(problem) for problem in parsed.error]
            log.warning("settings_unusable", file=file, problems=problems)
            return
        old, new = self.settings._asdict(), parsed.ok._asdict()
        changed = sorted(name for name in old if old[name] != new[name])
        unapplied = sorted(set(changed) - RELOADABLE_SETTINGS)
        self.settings = self.settings._replace(
            **{name: new[name] for name in RELOADABLE_SETTINGS}
        )
        self.apply_settings(parsed.ok)
        log.info("settings_reloaded", changed=changed, kept_until_restart=unapplied)

    def _read_settings_mtime_ns(self) -> int:
        """Return the modification time of the settings file in ns, 0 without a file."""
        try:
            return os.stat(self.settings_file).st_mtime_ns
        except OSError:
            return 0

    def _handle_packet_datagram(self, datagram: Datagram) -> None:
        try:
            self.handle_packet(datagram.data)
        except MalformedMessageError as error:
            self._count_malformed("packet", datagram, error)
        except Exception:
            self.internal_errors.record("packet")

    def _handle_peer_datagram(self, datagram: Datagram) -> None:
        try:
            message = decode_flow_message(datagram.data)
            self.handle_message(message, datagram.sender[0])
        except MalformedMessageError as error:
            self._count_malformed("message", datagram, error)
        except Exception:
            self.internal_errors.record("message")

    def _count_malformed(
        self, kind: str, datagram: Datagram, error: MalformedMessageError
    ) -> None:
        self.metrics.count("malformed_total", kind)
        fields = (("sender", f"{datagram.sender}"), ("reason", str(error)[:200]))
        self.decision_log.write(Record(f"malformed_{kind}", None, fields))

    def _detect_pause(self) -> None:
        now_ms = self.clock.now_ms()
        late_ms = now_ms - self.last_tick_ms - self.current_tick_ms
        if late_ms > PAUSE_THRESHOLD_MS:
            self.metrics.count("pauses_total")
            log.warning("paused", for_ms=late_ms)
        self.last_tick_ms = now_ms

    def apply_actions(self, actions: list[Action]) -> None:
        """Apply actions that `BalancerFlows` or `AgentFlows` returned."""
        for action in actions:
            self.appliers[type(action)](action)

    def _apply_message(self, action: SendMessage) -> None:
        self.send(action.ip, action.message)

    def _apply_delivery_to_server(self, action: DeliverToServer) -> None:
        self._deliver_to_server(action.raw)

    def _apply_delivery_to_caller(self, action: DeliverToCaller) -> None:
        self._deliver_to_caller(action.packet, action.packet.raw)

    def _apply_reset(self, action: ResetFlow) -> None:
        self._deliver_to_caller(action.packet, encode_reset(action.packet))

    def _apply_measurement(self, action: Measure) -> None:
        self.metrics.observe(action.name, action.value_ms)

    def _apply_record(self, action: Record) -> None:
        self.decision_log.write(action)

    def send(self, ip: str, message: Message) -> None:
        """Send a message to the balancer or agent on another instance."""
        if type(message) is ForwardedPacket:
            # Most messages of a balancer; the dispatch by type takes longer than this.
            data = encode_forwarded(message)
        else:
            data = encode_flow_message(message)
        self.peer_socket.send(data, (ip, self.settings.peer_port))

    def send_to_all(self, ips: Collection[str], message: Message) -> None:
        """Send a message to several instances, encoding it only once."""
        if not ips:
            return
        data = encode_flow_message(message)
        for ip in ips:
            self.peer_socket.send(data, (ip, self.settings.peer_port))

    def _deliver_to_server(self, raw: bytes) -> None:
        assert self.settings.server_address is not None
        self.packet_socket.send(raw, self.settings.server_address)

    def _deliver_to_caller(self, packet: Packet, raw: bytes) -> None:
        # The source address is the instance's address, to which both roles bind the
        # peer socket. An agent's packet socket has the address that its backend server
        # sends to, which may be another one.
        ip = unpack_caller_ip(packet)
        self.peer_socket.send(raw, (ip, self.settings.packet_address.port))

    async def _receive(
        self,
        datagram_socket: DatagramSocket,
        event: type[PeerBatch] | type[PacketBatch],
    ) -> None:
        while True:
            self.handle_event(event(await datagram_socket.receive_next()))

    async def _tick(self) -> None:
        """Tick often while something is pending, and seldom otherwise.

        Each wake-up costs processor time, of which a small instance has little.
        """
        while True:
            is_stopping = self.stop_requested_ms is not None
            self.is_idle = not is_stopping and not self.has_pending_work()
            self.current_tick_ms = self.compute_tick_ms(is_idle=self.is_idle)
            self.tick_requested = trio.Event()
            with trio.move_on_after(self.current_tick_ms / 1000) as scope:
                await self.tick_requested.wait()
            if scope.cancelled_caught:
                self.handle_event(Tick())

    async def _watch_settings(self) -> None:
        """Detect changes of the settings file that no signal announces."""
        while True:
            await trio.sleep(SETTINGS_CHECK_MS / 1000)
            has_settings_file = bool(self.settings_file)
            if (
                has_settings_file
                and self._read_settings_mtime_ns() != self.settings_mtime_ns
            ):
                self.handle_event(SettingsChanged())

    async def _receive_signals(self) -> None:
        stop_signals = (signal.SIGTERM, signal.SIGINT)
        with trio.open_signal_receiver(*stop_signals, signal.SIGHUP) as signals:
            async for number in signals:
                is_stop = number in stop_signals
                self.handle_event(StopRequested() if is_stop else SettingsChanged())


def unpack_caller_ip(packet: Packet) -> str:
    """Return the IP address of the packet's caller."""
    return socket.inet_ntoa(packet.flow[1:5])
