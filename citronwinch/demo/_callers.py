"""Callers that keep flows open and check every answer."""

import random
import socket
from collections import Counter
from contextlib import suppress

import trio

from citronwinch.backend_servers import (
    HEADER_BYTES,
    add_request_header,
    read_request_header,
)
from citronwinch.coordination import Endpoint, MonotonicClock
from citronwinch.coordination.requests import (
    CallEnded,
    CallerAction,
    CallerRequests,
    RequestOutcome,
    SendRequest,
)

ANSWER_TIMEOUT_MS = 2_000
"""How long a caller waits for an answer, in milliseconds."""

DATAGRAM_LIMIT = 65_535
"""The longest answer part, in bytes."""


class CallerReport:
    """What all callers saw."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.flows_per_server: Counter[str] = Counter()


class Caller:
    """One flow: a socket of its own and one request at a time."""

    def __init__(
        self,
        service: str,
        address: Endpoint,
        source: random.Random,
        report: CallerReport,
    ) -> None:
        self.service = service
        self.source = source
        self.report = report
        self.address = address
        self.requests = CallerRequests(MonotonicClock(), source)
        self.socket = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.server = ""
        self.is_broken = False

    async def open(self) -> None:
        """Connect the socket, so that foreign answers are not received."""
        await self.socket.connect((self.address.ip, self.address.port))

    async def request(self, text: str) -> CallEnded:
        """Send one request, which may not be repeated, and wait for its outcome."""
        body = f"{self.service} {text}".encode()
        self.report.counters["requests"] += 1
        _, actions = self.requests.start(body, ANSWER_TIMEOUT_MS)
        while True:
            for action in actions:
                if isinstance(action, CallEnded):
                    return action
                await self.send(action)
            actions = await self.receive() or self.requests.advance()

    async def send(self, action: SendRequest) -> None:
        """Send a datagram; an error of the socket is a loss like any other."""
        with suppress(ConnectionError):
            await self.socket.send(add_request_header(action.metadata, action.body))

    async def receive(self) -> list[CallerAction]:
        """Wait for a datagram until the library has something to do."""
        wake_ms = self.requests.next_timer_ms() or 0
        wait_ms = max(0, wake_ms - self.requests.clock.now_ms())
        data = b""
        with trio.move_on_after(wait_ms / 1000), suppress(ConnectionError):
            data = await self.socket.recv(DATAGRAM_LIMIT)
        metadata = read_request_header(data)
        if metadata is None:
            return []
        return self.requests.receive(metadata, data[HEADER_BYTES:])

    async def check(self, text: str) -> None:
        """Send a request and count what became of it."""
        ended = await self.request(text)
        if ended.outcome is RequestOutcome.ANSWERED:
            self.check_answer(ended.body, text)
            return
        name = "not_run" if ended.outcome is RequestOutcome.NOT_RUN else "unanswered"
        self.report.counters[name] += 1
        self.note_broken()

    def check_answer(self, body: bytes, text: str) -> None:
        """Check that the answer is whole, ours, and from the same backend server."""
        server, _, rest = body.decode().partition(" ")
        if rest != f"{self.service} {text}":
            self.report.counters["wrong_answers"] += 1
            return
        self.report.counters["answered"] += 1
        if not self.server:
            self.server = server
            self.report.flows_per_server[server] += 1
        elif server != self.server:
            self.note_broken()

    def note_broken(self) -> None:
        """Count an established flow as broken, once."""
        if self.server and not self.is_broken:
            self.is_broken = True
            self.report.counters["broken_flows"] += 1


async def keep_flow(caller: Caller, interval_ms: int, until: trio.Event) -> None:
    """Send requests on one flow until told to stop."""
    await caller.open()
    number = 0
    while not until.is_set():
        number += 1
        await caller.check(f"entry {number}")
        await trio.sleep(caller.source.uniform(0.8, 1.2) * interval_ms / 1000)
    caller.socket.close()
