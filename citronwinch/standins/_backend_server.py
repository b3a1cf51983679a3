"""A stand-in for a backend server that answers requests over UDP.

It runs a limited number of requests at once, is slow after its start, can drain, sheds
load, honours cancellations and deadlines, and can report a late or a false load.
"""

from collections import Counter, deque
from typing import NamedTuple

import orjson
import trio

from citronwinch.backend_servers import (
    HEADER_BYTES,
    add_request_header,
    read_request_header,
)
from citronwinch.coordination import Clock, Endpoint
from citronwinch.coordination.requests import RequestKind, RequestMetadata
from citronwinch.network import (
    Datagram,
    DatagramSocket,
    HttpRequest,
    HttpResponse,
    serve,
)

ANSWER_PARTS = 2
"""The number of parts of each answer."""


class BackendServerSettings(NamedTuple):
    """The parameters of the stand-in."""

    name: str
    """The name of the backend server, which each answer starts with."""

    service: str
    """The service of the backend server; a request for another service is counted as
    misdirected."""

    address: Endpoint
    """The UDP address on which the stand-in listens."""

    slots: int = 1
    """The number of requests that run at once."""

    work_ms: int = 1
    """The duration of a request, in milliseconds."""

    cold_start_ms: int = 0
    """The duration of the cold start, in milliseconds."""

    cold_start_factor: int = 5
    """The factor by which requests take longer during the cold start."""

    queue_limit: int = 100
    """The number of requests that may wait for a slot; further ones are shed."""

    load_lag_ms: int = 0
    """The age of the reported load, in milliseconds."""

    false_load: int | None = None
    """A constant that is reported as the load; None reports the actual load."""


class QueuedRequest(NamedTuple):
    """A request that waits for a slot."""

    metadata: RequestMetadata
    """The request header that the caller sent."""

    body: bytes
    """The payload after the header."""

    sender: tuple[str, int]
    """The IP address and port to which the answer is sent."""

    deadline_ms: int
    """The time, in milliseconds, from which the request is shed; 0 if it has none."""


class BackendServerStandin:
    """A backend server that runs requests in slots and sends answers in parts."""

    def __init__(self, settings: BackendServerSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.datagram_socket = DatagramSocket(settings.address)
        self.started_ms = clock.now_ms()
        self.draining = False
        self.running_count = 0
        """The number of requests that run now."""
        self.executed: Counter[bytes] = Counter()
        """How often each request ran, by request ID."""
        self.counters: Counter[str] = Counter()
        self.cancelled: set[bytes] = set()
        """The IDs of cancelled requests, each until its request leaves the queue."""
        self.load_history: deque[tuple[int, int]] = deque(maxlen=10_000)
        """The time in milliseconds and the load of each record, oldest first."""
        self.queue_sender, self.queue = trio.open_memory_channel[QueuedRequest](
            settings.queue_limit
        )

    async def run(self, http: Endpoint | None = None) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(self.settings.slots):
                nursery.start_soon(self.work)
            if http is not None:
                nursery.start_soon(serve, http, self.handle_http)
            while True:
                for datagram in await self.datagram_socket.receive():
                    self.receive(datagram)

    def receive(self, datagram: Datagram) -> None:
        """Queue a request, record a cancellation, or echo a datagram with no header."""
        metadata = read_request_header(datagram.data)
        if metadata is None:
            self.counters["plain"] += 1
            self.datagram_socket.send(datagram.data, datagram.sender)
        elif metadata.kind is RequestKind.CANCEL:
            self.cancelled.add(metadata.request_id)
        elif metadata.kind is RequestKind.REQUEST:
            self.enqueue(metadata, datagram)

    def enqueue(self, metadata: RequestMetadata, datagram: Datagram) -> None:
        """Queue a request, or shed it if the server drains or the queue is full."""
        deadline_ms = (
            self.clock.now_ms() + metadata.remaining_ms if metadata.remaining_ms else 0
        )
        request = QueuedRequest(
            metadata, datagram.data[HEADER_BYTES:], datagram.sender, deadline_ms
        )
        try:
            if self.draining:
                raise trio.WouldBlock
            self.queue_sender.send_nowait(request)
        except trio.WouldBlock:
            self.counters["shed"] += 1
            self.answer(request, RequestKind.SHED, b"")
        self.record_load()

    async def work(self) -> None:
        """Run queued requests one at a time: the task of a slot.

        Cancelled requests are skipped, and requests past their deadline are shed.
        """
        async for request in self.queue:
            if request.metadata.request_id in self.cancelled:
                self.cancelled.discard(request.metadata.request_id)
                self.counters["cancelled"] += 1
                continue
            if request.deadline_ms and self.clock.now_ms() >= request.deadline_ms:
                self.counters["expired"] += 1
                self.answer(request, RequestKind.SHED, b"")
                continue
            self.running_count += 1
            await trio.sleep(self.compute_work_ms() / 1000)
            self.running_count -= 1
            self.execute(request)

    def execute(self, request: QueuedRequest) -> None:
        """Count a request as executed, and send its answer in parts."""
        self.executed[request.metadata.request_id] += 1
        self.counters["executed"] += 1
        service, _, _ = request.body.partition(b" ")
        if service.decode("utf-8", "replace") != self.settings.service:
            self.counters["misdirected"] += 1
        body = self.settings.name.encode() + b" " + request.body
        size = -(-len(body) // ANSWER_PARTS)
        for part in range(ANSWER_PARTS):
            chunk = body[part * size : (part + 1) * size]
            self.answer(request, RequestKind.ANSWER, chunk, part, ANSWER_PARTS)

    def answer(
        self,
        request: QueuedRequest,
        kind: RequestKind,
        body: bytes,
        part: int = 0,
        part_count: int = 1,
    ) -> None:
        """Send one part of an answer."""
        metadata = request.metadata._replace(
            kind=kind, remaining_ms=0, part=part, part_count=part_count
        )
        self.datagram_socket.send(add_request_header(metadata, body), request.sender)

    def compute_work_ms(self) -> int:
        """Return the current duration of a request, in milliseconds."""
        is_cold = self.clock.now_ms() - self.started_ms < self.settings.cold_start_ms
        return self.settings.work_ms * (
            self.settings.cold_start_factor if is_cold else 1
        )

    def compute_load(self) -> int:
        """Return the number of running and queued requests."""
        return self.running_count + self.queue.statistics().current_buffer_used

    def record_load(self) -> None:
        """Record the current load, from which late reports are made."""
        self.load_history.append((self.clock.now_ms(), self.compute_load()))

    def report_load(self) -> int:
        """Return the load that the HTTP endpoint reports; it may be late or false."""
        if self.settings.false_load is not None:
            return self.settings.false_load
        if not self.settings.load_lag_ms:
            return self.compute_load()
        cutoff_ms = self.clock.now_ms() - self.settings.load_lag_ms
        loads_until_cutoff = [
            load for time_ms, load in self.load_history if time_ms <= cutoff_ms
        ]
        return loads_until_cutoff[-1] if loads_until_cutoff else 0

    async def handle_http(self, request: HttpRequest) -> HttpResponse:
        """Report load or health, or start draining; other paths report the counters."""
        if request.path == "/load":
            return HttpResponse(200, orjson.dumps({"load": self.report_load()}))
        if request.path == "/health":
            return HttpResponse(200, b'{"healthy":true}')
        if request.path == "/drain":
            self.draining = True
            return HttpResponse(200, b'{"draining":true}')
        doubled = sum(1 for count in self.executed.values() if count > 1)
        body = {**self.counters, "doubled": doubled, "name": self.settings.name}
        return HttpResponse(200, orjson.dumps(body))
