"""A stand-in for a backend server that answers requests over UDP.

It has slots, a cold start, drains, sheds, honours cancellation and deadlines, and
reports its load truthfully, late, or falsely.
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
from citronwinch.network import Datagram, DatagramPort, HttpRequest, HttpResponse, serve

ANSWER_PARTS = 2
"""The number of parts of each answer."""


class BackendServerSettings(NamedTuple):
    """How the stand-in behaves."""

    name: str
    """Its name, told in each answer."""

    service: str
    """The service it belongs to; a request for another one is misdirected."""

    address: Endpoint
    """Where it listens."""

    slots: int = 1
    """How many requests it works on at once."""

    work_ms: int = 1
    """How long one request takes."""

    cold_start_ms: int = 0
    """How long it is slow after its start."""

    cold_start_factor: int = 5
    """How much longer a request takes during the cold start."""

    queue_limit: int = 100
    """How many requests may wait; one more is shed."""

    load_lag_ms: int = 0
    """How old the load it reports is."""

    false_load: int | None = None
    """A load that it reports whatever the truth is; None when it is honest."""


class QueuedRequest(NamedTuple):
    """A request that waits for a slot."""

    metadata: RequestMetadata
    """What the caller said of it."""

    body: bytes
    """The payload behind the header."""

    sender: tuple[str, int]
    """Where the answer goes."""

    deadline_ms: int
    """When the answer is of no use any more; 0 when it always is."""


class BackendServerStandin:
    """Works on requests in its slots and answers in parts."""

    def __init__(self, settings: BackendServerSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.port = DatagramPort(settings.address)
        self.started_ms = clock.now_ms()
        self.draining = False
        self.busy = 0
        self.executed: Counter[bytes] = Counter()
        self.counters: Counter[str] = Counter()
        self.cancelled: set[bytes] = set()
        self.load_history: deque[tuple[int, int]] = deque(maxlen=10_000)
        self.queue_send, self.queue = trio.open_memory_channel[QueuedRequest](
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
                for datagram in await self.port.receive():
                    self.receive(datagram)

    def receive(self, datagram: Datagram) -> None:
        """Queue a request, note a cancellation, or echo a plain datagram."""
        metadata = read_request_header(datagram.data)
        if metadata is None:
            self.counters["plain"] += 1
            self.port.send(datagram.data, datagram.sender)
        elif metadata.kind is RequestKind.CANCEL:
            self.cancelled.add(metadata.request_id)
        elif metadata.kind is RequestKind.REQUEST:
            self.enqueue(metadata, datagram)

    def enqueue(self, metadata: RequestMetadata, datagram: Datagram) -> None:
        """Queue a request, or shed it when it cannot be taken."""
        deadline_ms = (
            self.clock.now_ms() + metadata.remaining_ms if metadata.remaining_ms else 0
        )
        request = QueuedRequest(
            metadata, datagram.data[HEADER_BYTES:], datagram.sender, deadline_ms
        )
        try:
            if self.draining:
                raise trio.WouldBlock
            self.queue_send.send_nowait(request)
        except trio.WouldBlock:
            self.counters["shed"] += 1
            self.answer(request, RequestKind.SHED, b"")
        self.note_load()

    async def work(self) -> None:
        """Work on one request after the other."""
        async for request in self.queue:
            if request.metadata.request_id in self.cancelled:
                self.cancelled.discard(request.metadata.request_id)
                self.counters["cancelled"] += 1
                continue
            if request.deadline_ms and self.clock.now_ms() >= request.deadline_ms:
                self.counters["expired"] += 1
                self.answer(request, RequestKind.SHED, b"")
                continue
            self.busy += 1
            await trio.sleep(self.find_work_ms() / 1000)
            self.busy -= 1
            self.execute(request)

    def execute(self, request: QueuedRequest) -> None:
        """Run a request and answer it in parts."""
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
        self.port.send(add_request_header(metadata, body), request.sender)

    def find_work_ms(self) -> int:
        """Return how long a request takes now."""
        is_cold = self.clock.now_ms() - self.started_ms < self.settings.cold_start_ms
        return self.settings.work_ms * (
            self.settings.cold_start_factor if is_cold else 1
        )

    def find_load(self) -> int:
        """Return the number of requests in work and waiting."""
        return self.busy + self.queue.statistics().current_buffer_used

    def note_load(self) -> None:
        """Remember the load, for reports that lag."""
        self.load_history.append((self.clock.now_ms(), self.find_load()))

    def report_load(self) -> int:
        """Return the load as the endpoint tells it."""
        if self.settings.false_load is not None:
            return self.settings.false_load
        if not self.settings.load_lag_ms:
            return self.find_load()
        horizon = self.clock.now_ms() - self.settings.load_lag_ms
        past = [load for time_ms, load in self.load_history if time_ms <= horizon]
        return past[-1] if past else 0

    async def handle_http(self, request: HttpRequest) -> HttpResponse:
        """Answer a read of load, health or counters; take a drain order."""
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
