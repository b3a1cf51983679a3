"""What balancers and agents have in common."""

import os
import signal
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import NamedTuple

import structlog
import trio

from citronwinch.coordination import Endpoint, MonotonicClock
from citronwinch.coordination.flows import (
    Action,
    DeliverToCaller,
    DeliverToServer,
    Measure,
    Message,
    Packet,
    Record,
    ResetFlow,
    SendMessage,
)
from citronwinch.flow_peers import decode_flow_message, encode_flow_message
from citronwinch.forwarder._decision_log import DecisionLog
from citronwinch.forwarder._settings import (
    ForwarderSettings,
    parse_forwarder_settings,
)
from citronwinch.network import (
    Datagram,
    DatagramPort,
    HttpRequest,
    HttpResponse,
    MalformedMessageError,
    serve,
)
from citronwinch.operators import Metrics
from citronwinch.platform import READY_PATH, encode_reset

LATE_TICK_MS = 500
"""A tick that is later than this follows a pause of the process."""

SETTINGS_CHECK_MS = 2_000
"""How often a process looks whether its settings file has changed, in milliseconds."""

RELOADED_SETTINGS = frozenset({"seeds", "stop_timeout_s"})
"""The settings that a running process takes over."""

INBOX_LIMIT = 64
"""The most batches of datagrams that wait for the deciding task."""

log = structlog.get_logger()


class PeerBatch(NamedTuple):
    """Datagrams of other processes of the system."""

    datagrams: list[Datagram]
    """The datagrams."""


class PacketBatch(NamedTuple):
    """Datagrams with packets from outside the system."""

    datagrams: list[Datagram]
    """The datagrams."""


class Tick(NamedTuple):
    """Time has passed."""


class StopRequested(NamedTuple):
    """The process is asked to end."""


class SettingsChanged(NamedTuple):
    """The process is told that its settings file has changed."""


Event = PeerBatch | PacketBatch | Tick | StopRequested | SettingsChanged
"""What the deciding task reacts to."""


TakePort = Callable[[Endpoint], DatagramPort]
"""Returns the UDP port of an address; raises OSError when it cannot be bound."""


class ForwarderProcess(ABC):
    """A process: tasks that own a socket each, and one task that decides."""

    tick_ms: int
    """How often the role looks at its timeouts, in milliseconds."""

    def __init__(
        self, settings: ForwarderSettings, packet_address: Endpoint, take_port: TakePort
    ) -> None:
        self.settings = settings
        self.clock = MonotonicClock()
        self.started_ms = self.clock.now_ms()
        self.incarnation = time.time_ns()
        self.metrics = Metrics()
        self.decisions = DecisionLog(self.clock)
        self.packet_port = take_port(packet_address)
        self.peer_port = take_port(Endpoint(settings.ip, settings.peer_port))
        self.inbox_send, self.inbox = trio.open_memory_channel[Event](INBOX_LIMIT)
        self.ticked_ms = self.started_ms
        self.settings_file = ""
        self.settings_mark = 0
        self.stop_ms: int | None = None

    @abstractmethod
    def is_ready(self) -> bool:
        """Return whether the process takes packets."""

    @abstractmethod
    def handle_message(self, message: Message, sender: str) -> None:
        """React to a message of another process."""

    @abstractmethod
    def handle_packet(self, data: bytes) -> None:
        """React to a packet from outside; raise MalformedMessageError."""

    @abstractmethod
    def tick(self) -> None:
        """Act on the time."""

    @abstractmethod
    def begin_stop(self) -> None:
        """Prepare the end of the process."""

    @abstractmethod
    def is_stopped(self) -> bool:
        """Return whether a stopping process may end."""

    @abstractmethod
    def start_tasks(self, nursery: trio.Nursery) -> None:
        """Start the tasks that only this role has."""

    def follow_settings_file(self, file: str) -> None:
        """Read the settings again whenever their file changes."""
        self.settings_file = file
        self.settings_mark = self._read_settings_mark()

    async def run(self) -> None:
        """Run until a requested stop is complete."""
        settings = self.settings
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive_signals)
            nursery.start_soon(self._receive, self.peer_port, PeerBatch)
            nursery.start_soon(self._receive, self.packet_port, PacketBatch)
            nursery.start_soon(self._tick)
            nursery.start_soon(self._watch_settings)
            nursery.start_soon(
                serve, settings.ready_address, self._answer_ready, self._count_http
            )
            if settings.metrics_port:
                nursery.start_soon(self._serve_metrics)
            self.start_tasks(nursery)
            log.info(
                "started",
                name=settings.name,
                role=settings.role.value,
                zone=settings.availability_zone,
                incarnation=self.incarnation,
            )
            await self._decide()
            nursery.cancel_scope.cancel()
        log.info("stopped", name=settings.name)

    def close(self) -> None:
        """Close the sockets."""
        self.packet_port.close()
        self.peer_port.close()

    async def _decide(self) -> None:
        async for event in self.inbox:
            try:
                self._handle(event)
            except Exception:
                # Ending here would break every flow for the sake of one event.
                self.metrics.count("internal_errors_total", type(event).__name__)
                log.exception("event_not_handled", kind=type(event).__name__)
            if self.stop_ms is not None and self.is_stopped():
                return

    def _handle(self, event: Event) -> None:
        if isinstance(event, PacketBatch):
            for datagram in event.datagrams:
                self._handle_packet_datagram(datagram)
        elif isinstance(event, PeerBatch):
            for datagram in event.datagrams:
                self._handle_peer_datagram(datagram)
        elif isinstance(event, Tick):
            self._note_pause()
            self.tick()
        elif isinstance(event, StopRequested):
            if self.stop_ms is None:
                self.stop_ms = self.clock.now_ms()
                log.info("stopping", name=self.settings.name)
                self.begin_stop()
        elif isinstance(event, SettingsChanged):
            self._reload_settings()

    @abstractmethod
    def apply_settings(self, settings: ForwarderSettings) -> None:
        """Use what may change in a running process; most settings need a restart."""

    def _reload_settings(self) -> None:
        """Read the settings again, and keep the old ones when they are unusable."""
        self.settings_mark = self._read_settings_mark()
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
        kept = sorted(set(changed) - RELOADED_SETTINGS)
        self.settings = self.settings._replace(
            **{name: new[name] for name in RELOADED_SETTINGS}
        )
        self.apply_settings(parsed.ok)
        log.info("settings_reloaded", changed=changed, kept_until_restart=kept)

    def _read_settings_mark(self) -> int:
        """Return the time of the last change of the settings file, 0 without one."""
        try:
            return os.stat(self.settings_file).st_mtime_ns
        except OSError:
            return 0

    def _handle_packet_datagram(self, datagram: Datagram) -> None:
        try:
            self.handle_packet(datagram.data)
        except MalformedMessageError as error:
            self._count_malformed("packet", datagram, error)

    def _handle_peer_datagram(self, datagram: Datagram) -> None:
        try:
            message = decode_flow_message(datagram.data)
            self.handle_message(message, datagram.sender[0])
        except MalformedMessageError as error:
            self._count_malformed("message", datagram, error)

    def _count_malformed(
        self, kind: str, datagram: Datagram, error: MalformedMessageError
    ) -> None:
        self.metrics.count("malformed_total", kind)
        fields = (("sender", f"{datagram.sender}"), ("reason", str(error)[:200]))
        self.decisions.write(Record(f"malformed_{kind}", None, fields))

    def _note_pause(self) -> None:
        now_ms = self.clock.now_ms()
        late_ms = now_ms - self.ticked_ms - self.tick_ms
        if late_ms > LATE_TICK_MS:
            self.metrics.count("pauses_total")
            log.warning("paused", for_ms=late_ms)
        self.ticked_ms = now_ms

    def perform(self, actions: list[Action]) -> None:
        """Carry out what a core has decided."""
        for action in actions:
            if isinstance(action, SendMessage):
                self.send(action.ip, action.message)
            elif isinstance(action, DeliverToServer):
                self._deliver_to_server(action.raw)
            elif isinstance(action, DeliverToCaller):
                self._deliver_to_caller(action.packet, action.packet.raw)
            elif isinstance(action, ResetFlow):
                self._deliver_to_caller(action.packet, encode_reset(action.packet))
            elif isinstance(action, Measure):
                self.metrics.observe(action.name, action.value_ms)
            else:
                self.decisions.write(action)

    def send(self, ip: str, message: Message) -> None:
        """Send a message to the process on another instance."""
        self.send_to_all((ip,), message)

    def send_to_all(self, ips: Iterable[str], message: Message) -> None:
        """Send one message, encoded once, to the processes on several instances."""
        data = encode_flow_message(message)
        for ip in ips:
            self.peer_port.send(data, (ip, self.settings.peer_port))

    def _deliver_to_server(self, raw: bytes) -> None:
        assert self.settings.server_address is not None
        self.packet_port.send(raw, self.settings.server_address)

    def _deliver_to_caller(self, packet: Packet, raw: bytes) -> None:
        ip = find_caller_ip(packet)
        self.peer_port.send(raw, (ip, self.settings.packet_address.port))

    async def _receive(
        self, port: DatagramPort, event: type[PeerBatch] | type[PacketBatch]
    ) -> None:
        while True:
            await self._tell(event(await port.receive_next()))

    async def _tell(self, event: Event) -> None:
        """Hand the deciding task an event; wait only while its inbox is full."""
        try:
            # A send that need not wait costs no pass of the event loop.
            self.inbox_send.send_nowait(event)
        except trio.WouldBlock:
            await self.inbox_send.send(event)

    async def _tick(self) -> None:
        while True:
            await trio.sleep(self.tick_ms / 1000)
            await self._tell(Tick())

    async def _watch_settings(self) -> None:
        """Notice a settings file that changes without a signal."""
        while True:
            await trio.sleep(SETTINGS_CHECK_MS / 1000)
            is_followed = bool(self.settings_file)
            if is_followed and self._read_settings_mark() != self.settings_mark:
                await self.inbox_send.send(SettingsChanged())

    async def _receive_signals(self) -> None:
        stops = (signal.SIGTERM, signal.SIGINT)
        with trio.open_signal_receiver(*stops, signal.SIGHUP) as signals:
            async for number in signals:
                is_stop = number in stops
                await self.inbox_send.send(
                    StopRequested() if is_stop else SettingsChanged()
                )

    async def _answer_ready(self, request: HttpRequest) -> HttpResponse:
        if request.path != READY_PATH:
            return HttpResponse(404, b'{"error":"no such page"}')
        if self.stop_ms is None and self.is_ready():
            return HttpResponse(200, b"{}")
        return HttpResponse(503, b'{"error":"not ready"}')

    def _count_http(self, reason: str) -> None:
        self.metrics.count("http_errors_total", reason)

    async def _serve_metrics(self) -> None:
        async def answer(request: HttpRequest) -> HttpResponse:
            return HttpResponse(200, self.metrics.render(), "text/plain; version=0.0.4")

        endpoint = Endpoint(self.settings.ip, self.settings.metrics_port)
        try:
            await serve(endpoint, answer, self._count_http)
        except OSError as error:
            log.warning("metrics_not_served", address=str(endpoint), reason=str(error))


def find_caller_ip(packet: Packet) -> str:
    """Return the address of a flow's caller."""
    return ".".join(str(number) for number in packet.flow[1:5])
