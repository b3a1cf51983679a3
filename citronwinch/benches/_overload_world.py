"""A small model of an overloaded service: callers that retry, servers with a queue."""

import random
from collections import Counter, deque
from functools import partial
from typing import NamedTuple

from citronwinch.benches._fakes import EventQueue, FakeLink, LinkFaults
from citronwinch.coordination import Endpoint, Table, TableRow, TransportProtocol
from citronwinch.coordination.load import (
    RETRY_AFTER_MS,
    AgentLoad,
    Outcome,
    ReportOrigin,
)

SERVERS = 3
"""The backend servers of the service."""

WORK_MS = 10
"""How long a server works on one request, in its one slot."""

DEADLINE_MS = 1_000
"""How long a caller waits for an answer."""

ATTEMPTS = 3
"""How often a caller tries; it asks again at once when it hears nothing."""

RETRY_JITTER_MS = 500
"""By how much more than the told time refused callers wait, at most."""

QUEUE_LIMIT = 1_000
"""How many requests may wait in a server; one more is shed."""

NEW_FLOW_SHARE = 0.1
"""The share of the requests that are the first of a new flow."""

TICK_MS = 100
"""How often each agent looks at the time."""

CAPACITY_PER_SECOND = SERVERS * 1_000 / WORK_MS
"""The requests that all servers can answer in a second."""

SERVICE = "service"
"""The name of the modelled service."""


class Phase(NamedTuple):
    """A time with one offered load."""

    until_ms: int
    """When it ends."""

    load: float
    """New requests relative to the capacity of the service."""


class CallerRequest(NamedTuple):
    """A request as its caller sees it, over all attempts."""

    number: int
    """Its number."""

    is_established: bool
    """Whether its flow was open before."""

    server: int
    """The server that owns its flow, or the home of its new flow."""


class QueuedAttempt(NamedTuple):
    """One attempt that waits in a server."""

    request: CallerRequest
    """The request."""

    attempt: int
    """The number of the attempt."""

    deadline_ms: int
    """When its caller stops waiting."""


class Variant(NamedTuple):
    """How the system and the servers behave."""

    name: str
    """The variant's name."""

    sheds: bool
    """Whether the agents shed by the real policy."""

    drops_expired: bool
    """Whether a server drops a request past its deadline instead of doing the work."""


class SlotServer:
    """A backend server with one slot and a queue."""

    def __init__(self, world: "OverloadWorld", number: int) -> None:
        self.world = world
        self.number = number
        self.waiting: deque[QueuedAttempt] = deque()
        self.is_busy = False

    def offer(self, attempt: QueuedAttempt) -> bool:
        """Queue an attempt; return False when the queue is full."""
        if len(self.waiting) >= QUEUE_LIMIT:
            return False
        self.waiting.append(attempt)
        if not self.is_busy:
            self.start_next()
        return True

    def start_next(self) -> None:
        """Work on the next attempt."""
        now_ms = self.world.queue.clock.now_ms()
        while self.waiting:
            attempt = self.waiting.popleft()
            is_expired = now_ms >= attempt.deadline_ms
            if is_expired and self.world.variant.drops_expired:
                self.world.end_attempt(self.number, attempt, Outcome.SHED)
                continue
            self.is_busy = True
            self.world.queue.call_after(WORK_MS, partial(self.finish, attempt))
            return
        self.is_busy = False

    def finish(self, attempt: QueuedAttempt) -> None:
        """Answer an attempt."""
        self.world.work_done += 1
        self.world.end_attempt(self.number, attempt, Outcome.ANSWERED)
        self.start_next()


class OverloadWorld:
    """Callers, agents and servers under one variant."""

    def __init__(self, variant: Variant, phases: tuple[Phase, ...], seed: int) -> None:
        self.variant = variant
        self.phases = phases
        self.queue = EventQueue()
        self.arrivals = random.Random(f"overload-{seed}")
        self.retries = random.Random(f"retries-{seed}")
        self.link = FakeLink(self.queue, random.Random(f"links-{seed}"))
        self.servers = [SlotServer(self, number) for number in range(SERVERS)]
        self.rows = make_rows()
        self.agents = [
            AgentLoad(row.backend_server, row.availability_zone, self.queue.clock)
            for row in self.rows
        ]
        for agent in self.agents:
            agent.accept_table(Table(1, self.rows))
        self.number = 0
        self.sequence = 0
        self.attempts = 0
        self.work_done = 0
        self.levels = [0] * SERVERS
        self.level_changes: list[int] = []
        self.open_attempts: dict[int, int] = {}
        self.outcomes: Counter[tuple[str, bool]] = Counter()
        self.answered_in_second: Counter[int] = Counter()
        self.offered_in_second: Counter[int] = Counter()

    def run(self) -> None:
        """Run all phases."""
        self.queue.call_every(TICK_MS, self.tick)
        self.schedule_arrival()
        self.queue.run_until(self.phases[-1].until_ms + 2 * DEADLINE_MS * ATTEMPTS)

    def tick(self) -> None:
        """Let each agent judge its server and send its reports."""
        for number, agent in enumerate(self.agents):
            for receiver, report in agent.tick(0):
                self.sequence += 1
                origin = ReportOrigin(agent.backend_server, 1, self.sequence)
                index = int(receiver.rpartition("-")[2])
                accept = partial(self.agents[index].accept_report, origin, report)
                self.link.carry(LinkFaults(5, 2), partial(call_ignoring, accept))
            level = int(agent.guard.level)
            if level != self.levels[number]:
                self.levels[number] = level
                self.level_changes.append(self.queue.clock.now_ms())

    def find_rate_per_ms(self) -> float:
        """Return the offered requests per millisecond, 0 after the last phase."""
        now_ms = self.queue.clock.now_ms()
        for phase in self.phases:
            if now_ms < phase.until_ms:
                return phase.load * CAPACITY_PER_SECOND / 1_000
        return 0.0

    def schedule_arrival(self) -> None:
        """Let the next request arrive after a random time."""
        rate_per_ms = self.find_rate_per_ms()
        if rate_per_ms:
            # Rounding to whole milliseconds at random keeps the rate.
            delay_ms = self.arrivals.expovariate(rate_per_ms) + self.arrivals.random()
            self.queue.call_after(int(delay_ms), self.arrive)

    def arrive(self) -> None:
        """Let a caller send a new request."""
        self.schedule_arrival()
        self.number += 1
        is_established = self.arrivals.random() >= NEW_FLOW_SHARE
        server = self.arrivals.randrange(SERVERS)
        request = CallerRequest(self.number, is_established, server)
        self.offered_in_second[self.queue.clock.now_ms() // 1_000] += 1
        self.send(request, 1)

    def send(self, request: CallerRequest, attempt: int) -> None:
        """Send one attempt and wait for its answer."""
        self.attempts += 1
        deadline_ms = self.queue.clock.now_ms() + DEADLINE_MS
        self.open_attempts[request.number] = attempt
        self.queue.call_after(DEADLINE_MS, partial(self.time_out, request, attempt))
        queued = QueuedAttempt(request, attempt, deadline_ms)
        server = self.find_server(request)
        if server is None or not self.admits(server, request):
            self.refuse(queued)
        else:
            self.deliver(server, queued)

    def find_server(self, request: CallerRequest) -> int | None:
        """Return the owner of the flow; a new flow's home chooses it."""
        if request.is_established or not self.variant.sheds:
            return request.server
        home = self.agents[request.server]
        own_row = self.rows[request.server]
        others = [row for row in self.rows if row is not own_row]
        chosen = home.choose_owner(SERVICE, [own_row, *others], 0)
        return int(chosen.rpartition("-")[2]) if chosen else None

    def admits(self, server: int, request: CallerRequest) -> bool:
        """Ask the real policy whether the request may be delivered."""
        if not self.variant.sheds:
            return True
        return self.agents[server].admits(request.is_established)

    def deliver(self, server: int, attempt: QueuedAttempt) -> None:
        """Hand an attempt to a server."""
        self.agents[server].record_delivery(find_id(attempt))
        if not self.servers[server].offer(attempt):
            self.end_attempt(server, attempt, Outcome.SHED)

    def end_attempt(
        self, server: int, attempt: QueuedAttempt, outcome: Outcome
    ) -> None:
        """Take what a server says about an attempt to the agent and the caller."""
        self.agents[server].record_end(find_id(attempt), outcome)
        if outcome is Outcome.ANSWERED:
            self.answer(attempt)
        else:
            self.refuse(attempt)

    def answer(self, attempt: QueuedAttempt) -> None:
        """Count an answer that comes while the caller still waits for it."""
        number = attempt.request.number
        if self.open_attempts.get(number) != attempt.attempt:
            return
        del self.open_attempts[number]
        self.outcomes["answered", attempt.request.is_established] += 1
        self.answered_in_second[self.queue.clock.now_ms() // 1_000] += 1

    def refuse(self, attempt: QueuedAttempt) -> None:
        """Tell the caller that the request was not run, and when to ask again."""
        request = attempt.request
        if self.open_attempts.get(request.number) != attempt.attempt:
            return
        del self.open_attempts[request.number]
        if attempt.attempt < ATTEMPTS:
            wait_ms = RETRY_AFTER_MS + self.retries.randrange(RETRY_JITTER_MS)
            again = partial(self.send, request, attempt.attempt + 1)
            self.queue.call_after(wait_ms, again)
        else:
            self.outcomes["refused", request.is_established] += 1

    def time_out(self, request: CallerRequest, attempt: int) -> None:
        """Let the caller ask again when it has heard nothing."""
        if self.open_attempts.get(request.number) != attempt:
            return
        if attempt < ATTEMPTS:
            self.send(request, attempt + 1)
        else:
            del self.open_attempts[request.number]
            self.outcomes["unanswered", request.is_established] += 1


def make_rows() -> list[TableRow]:
    """Return the rows of the service."""
    return [
        TableRow(
            SERVICE,
            TransportProtocol.UDP,
            Endpoint("192.0.2.9", 9000),
            f"server-{number}",
            Endpoint(f"192.0.2.{number + 10}", 9000),
            f"zone-{number}",
            100,
            2_000,
        )
        for number in range(SERVERS)
    ]


def find_id(attempt: QueuedAttempt) -> bytes:
    """Return the request id of an attempt."""
    return (attempt.request.number * (ATTEMPTS + 1) + attempt.attempt).to_bytes(16)


def call_ignoring(call: partial[bool]) -> None:
    """Call something for its effect alone."""
    call()
