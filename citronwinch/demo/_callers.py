"""Callers that send requests on long-lived flows and check every answer."""

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

MAX_DATAGRAM_BYTES = 65_535
"""The size limit of a received datagram, in bytes."""


class CallerReport:
    """Counts of the outcomes of all callers' requests."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        """The numbers of requests, of each of their outcomes, and of broken flows."""
        self.flows_per_server: Counter[str] = Counter()
        """The number of established flows of each backend server."""


class Caller:
    """A caller with one flow, on its own socket, and one request at a time."""

    def __init__(
        self,
        service: str,
        address: Endpoint,
        rng: random.Random,
        report: CallerReport,
    ) -> None:
        self.service = service
        self.rng = rng
        self.report = report
        self.address = address
        self.requests = CallerRequests(MonotonicClock(), rng)
        self.socket = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.server = ""
        """The backend server that sent the flow's first answer, empty before that."""
        self.is_broken = False
        """Whether the flow has been counted as broken."""

    async def open(self) -> None:
        """Connect the socket, so that it receives only datagrams from the service."""
        await self.socket.connect((self.address.ip, self.address.port))

    async def request(self, text: str) -> CallEnded:
        """Send a request that is not idempotent, and wait for its outcome."""
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
        """Send a datagram; a socket error is treated as packet loss."""
        with suppress(ConnectionError):
            await self.socket.send(add_request_header(action.metadata, action.body))

    async def receive(self) -> list[CallerAction]:
        """Wait for a datagram until the next timer of the request state is due.

        Returns the actions that follow from the datagram, or none.
        """
        wake_ms = self.requests.next_timer_ms() or 0
        wait_ms = max(0, wake_ms - self.requests.clock.now_ms())
        data = b""
        with trio.move_on_after(wait_ms / 1000), suppress(ConnectionError):
            data = await self.socket.recv(MAX_DATAGRAM_BYTES)
        metadata = read_request_header(data)
        if metadata is None:
            return []
        return self.requests.receive(metadata, data[HEADER_BYTES:])

    async def send_and_check(self, text: str) -> None:
        """Send a request, check its answer and count the outcome."""
        ended = await self.request(text)
        if ended.outcome is RequestOutcome.ANSWERED:
            self.check_answer(ended.body, text)
            return
        name = "not_run" if ended.outcome is RequestOutcome.NOT_RUN else "unanswered"
        self.report.counters[name] += 1
        self.record_broken_flow()

    def check_answer(self, body: bytes, text: str) -> None:
        """Check that the answer is complete, belongs to the request, and comes from the
        backend server of the flow.
        """
        server, _, rest = body.decode().partition(" ")
        if rest != f"{self.service} {text}":
            self.report.counters["wrong_answers"] += 1
            return
        self.report.counters["answered"] += 1
        if not self.server:
            self.server = server
            self.report.flows_per_server[server] += 1
        elif server != self.server:
            self.record_broken_flow()

    def record_broken_flow(self) -> None:
        """Count the flow as broken, at most once, if it was established."""
        if self.server and not self.is_broken:
            self.is_broken = True
            self.report.counters["broken_flows"] += 1


async def run_flow(caller: Caller, interval_ms: int, stop_event: trio.Event) -> None:
    """Send requests on the flow of a caller until the stop event is set."""
    await caller.open()
    number = 0
    while not stop_event.is_set():
        number += 1
        await caller.send_and_check(f"entry {number}")
        await trio.sleep(caller.rng.uniform(0.8, 1.2) * interval_ms / 1000)
    caller.socket.close()
