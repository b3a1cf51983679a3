"""Callers that keep flows open and check every answer."""

import random
import socket
from collections import Counter
from typing import NamedTuple

import trio

from citronwinch.backend_servers import (
    HEADER_BYTES,
    add_request_header,
    read_request_header,
)
from citronwinch.coordination import Endpoint
from citronwinch.coordination.requests import RequestKind, RequestMetadata

ANSWER_TIMEOUT_MS = 2_000
"""How long a caller waits for an answer, in milliseconds."""

DATAGRAM_LIMIT = 65_535
"""The longest answer part, in bytes."""


class Answer(NamedTuple):
    """What became of one request."""

    kind: RequestKind | None
    """The outcome; None when nothing came before the timeout."""

    body: bytes
    """The whole answer, empty without one."""


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
        self.socket = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.server = ""
        self.is_broken = False

    async def open(self) -> None:
        """Connect the socket, so that foreign answers are not received."""
        await self.socket.connect((self.address.ip, self.address.port))

    async def request(self, text: str) -> Answer:
        """Send one request and wait for its whole answer."""
        request_id = self.source.randbytes(16)
        metadata = RequestMetadata(
            RequestKind.REQUEST, request_id, False, ANSWER_TIMEOUT_MS
        )
        body = f"{self.service} {text}".encode()
        self.report.counters["requests"] += 1
        try:
            with trio.move_on_after(ANSWER_TIMEOUT_MS / 1000):
                await self.socket.send(add_request_header(metadata, body))
                return await self.collect(request_id)
        except ConnectionError:
            return Answer(None, b"")
        return Answer(None, b"")

    async def collect(self, request_id: bytes) -> Answer:
        """Put the parts of an answer together, in whatever order they come."""
        parts: dict[int, bytes] = {}
        while True:
            data = await self.socket.recv(DATAGRAM_LIMIT)
            metadata = read_request_header(data)
            if metadata is None or metadata.request_id != request_id:
                self.report.counters["foreign_parts"] += 1
                continue
            if metadata.kind is not RequestKind.ANSWER:
                return Answer(metadata.kind, b"")
            parts[metadata.part] = data[HEADER_BYTES:]
            if len(parts) == metadata.part_count:
                return Answer(metadata.kind, b"".join(parts[i] for i in sorted(parts)))

    async def check(self, text: str) -> None:
        """Send a request and count what became of it."""
        answer = await self.request(text)
        if answer.kind is RequestKind.ANSWER:
            self.check_answer(answer.body, text)
        elif answer.kind is None:
            self.report.counters["unanswered"] += 1
            self.note_broken()
        else:
            self.report.counters[answer.kind.name.lower()] += 1
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
