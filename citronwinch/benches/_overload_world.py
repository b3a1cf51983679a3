"""A model of an overloaded service: callers that retry, servers with a queue."""

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
"""How long a server, which has one slot, works on a request, in milliseconds."""

DEADLINE_MS = 1_000
"""How long a caller waits for an answer, in milliseconds."""

MAX_ATTEMPTS = 3
"""The maximum attempts per request; after a timeout a caller retries at once."""

RETRY_JITTER_MS = 500
"""The limit of the random delay that refused callers add to `RETRY_AFTER_MS`."""

QUEUE_LIMIT = 1_000
"""The maximum length of a server's queue; further requests are shed."""

NEW_FLOW_SHARE = 0.1
"""The share of requests that open a new flow."""

TICK_MS = 100
"""The interval between two ticks of each agent, in milliseconds."""

CAPACITY_PER_SECOND = SERVERS * 1_000 / WORK_MS
"""The requests that all servers together can answer in a second."""

SERVICE = "service"
"""The name of the modelled service."""


class Phase(NamedTuple):
    """A period of constant offered load."""

    until_ms: int
    """The end of the phase, in milliseconds."""

    load: float
    """The rate of new requests relative to the capacity of the service."""


class CallerRequest(NamedTuple):
    """A request of a caller, over all its attempts."""

    number: int
    """The number of the request."""

    is_established: bool
    """Whether the request belongs to a flow that was open before."""

    server: int
    """The index of the server that owns the flow, or of a new flow's home."""


class QueuedAttempt(NamedTuple):
    """One attempt of a request, as it waits in a server's queue."""

    request: CallerRequest
    """The request of the attempt."""

    attempt: int
    """The number of the attempt, from 1."""

    deadline_ms: int
    """The time at which its caller stops waiting, in milliseconds."""


class Variant(NamedTuple):
    """The behaviour of agents and servers in one run."""

    name: str
    """The variant's name."""

    sheds: bool
    """Whether the agents shed requests, and choose the owners of new flows by load."""

    drops_expired: bool
    """Whether servers drop requests past their deadline instead of running them."""


class SlotServer:
    """A backend server with one slot and a queue."""

    def __init__(self, world: "OverloadWorld", number: int) -> None:
        self.world = world
        self.number = number
        self.waiting: deque[QueuedAttempt] = deque()
        self.is_busy = False

    def enqueue(self, attempt: QueuedAttempt) -> bool:
        """Queue an attempt; return False when the queue is full."""
        if len(self.waiting) >= QUEUE_LIMIT:
            return False
        self.waiting.append(attempt)
        if not self.is_busy:
            self.start_next()
        return True

    def start_next(self) -> None:
        """Start the next attempt; drop expired ones if the variant does so."""
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
        """Answer an attempt and start the next one."""
        self.world.work_done += 1
        self.world.end_attempt(self.number, attempt, Outcome.ANSWERED)
        self.start_next()


class OverloadWorld:
    """Callers, agents and servers under one variant."""

    def __init__(self, variant: Variant, phases: tuple[Phase, ...], seed: int) -> None:
        self.variant = variant
        self.phases = phases
        self.queue = EventQueue()
        self.arrival_rng = random.Random(f"overload-{seed}")
        self.retry_rng = random.Random(f"retries-{seed}")
        self.link = FakeLink(self.queue, random.Random(f"links-{seed}"))
        self.servers = [SlotServer(self, number) for number in range(SERVERS)]
        self.rows = make_rows()
        self.agents = [
            AgentLoad(row.backend_server, row.availability_zone, self.queue.clock)
            for row in self.rows
        ]
        for agent in self.agents:
            agent.accept_table(Table(1, self.rows))
        self.request_count = 0
        self.sequence = 0
        self.attempts = 0
        self.work_done = 0
        self.shedding_levels = [0] * SERVERS
        """The shedding level of each agent at the last tick."""
        self.level_changes: list[int] = []
        """The times at which an agent's shedding level changed, in milliseconds."""
        self.open_attempts: dict[int, int] = {}
        """The number of the attempt that each waiting request's caller waits for."""
        self.outcomes: Counter[tuple[str, bool]] = Counter()
        """The number of requests, by outcome and by `is_established`."""
        self.answered_in_second: Counter[int] = Counter()
        self.offered_in_second: Counter[int] = Counter()

    def run(self) -> None:
        """Run all phases."""
        self.queue.call_every(TICK_MS, self.tick)
        self.schedule_arrival()
        self.queue.run_until(self.phases[-1].until_ms + 2 * DEADLINE_MS * MAX_ATTEMPTS)

    def tick(self) -> None:
        """Run a tick of each agent, send its reports and record shedding levels."""
        for number, agent in enumerate(self.agents):
            for receiver, report in agent.tick(0):
                self.sequence += 1
                origin = ReportOrigin(agent.backend_server, 1, self.sequence)
                index = int(receiver.rpartition("-")[2])
                accept = partial(self.agents[index].accept_report, origin, report)
                self.link.carry(
                    LinkFaults(5, 2), partial(call_discarding_result, accept)
                )
            level = int(agent.guard.level)
            if level != self.shedding_levels[number]:
                self.shedding_levels[number] = level
                self.level_changes.append(self.queue.clock.now_ms())

    def compute_rate_per_ms(self) -> float:
        """Return the offered requests per millisecond, 0 after the last phase."""
        now_ms = self.queue.clock.now_ms()
        for phase in self.phases:
            if now_ms < phase.until_ms:
                return phase.load * CAPACITY_PER_SECOND / 1_000
        return 0.0

    def schedule_arrival(self) -> None:
        """Schedule the next request after a random delay."""
        rate_per_ms = self.compute_rate_per_ms()
        if rate_per_ms:
            # Random rounding to whole milliseconds preserves the mean rate.
            delay_ms = (
                self.arrival_rng.expovariate(rate_per_ms) + self.arrival_rng.random()
            )
            self.queue.call_after(int(delay_ms), self.send_new_request)

    def send_new_request(self) -> None:
        """Send a new request of a caller and schedule the next one."""
        self.schedule_arrival()
        self.request_count += 1
        is_established = self.arrival_rng.random() >= NEW_FLOW_SHARE
        server = self.arrival_rng.randrange(SERVERS)
        request = CallerRequest(self.request_count, is_established, server)
        self.offered_in_second[self.queue.clock.now_ms() // 1_000] += 1
        self.send_attempt(request, 1)

    def send_attempt(self, request: CallerRequest, attempt: int) -> None:
        """Send one attempt and schedule its timeout."""
        self.attempts += 1
        deadline_ms = self.queue.clock.now_ms() + DEADLINE_MS
        self.open_attempts[request.number] = attempt
        self.queue.call_after(
            DEADLINE_MS, partial(self.handle_timeout, request, attempt)
        )
        queued = QueuedAttempt(request, attempt, deadline_ms)
        server = self.choose_server(request)
        if server is None or not self.admits(server, request):
            self.refuse_attempt(queued)
        else:
            self.deliver(server, queued)

    def choose_server(self, request: CallerRequest) -> int | None:
        """Return the owner of the request's flow; for a new flow its home chooses."""
        if request.is_established or not self.variant.sheds:
            return request.server
        home = self.agents[request.server]
        own_row = self.rows[request.server]
        others = [row for row in self.rows if row is not own_row]
        chosen = home.choose_owner(SERVICE, [own_row, *others], 0)
        return int(chosen.rpartition("-")[2]) if chosen else None

    def admits(self, server: int, request: CallerRequest) -> bool:
        """Return whether the server's agent admits the request or sheds it."""
        if not self.variant.sheds:
            return True
        return self.agents[server].admits(request.is_established)

    def deliver(self, server: int, attempt: QueuedAttempt) -> None:
        """Deliver an attempt to a server; end it as shed when the queue is full."""
        self.agents[server].record_delivery(make_request_id(attempt))
        if not self.servers[server].enqueue(attempt):
            self.end_attempt(server, attempt, Outcome.SHED)

    def end_attempt(
        self, server: int, attempt: QueuedAttempt, outcome: Outcome
    ) -> None:
        """Report the outcome of an attempt to the agent and the caller."""
        self.agents[server].record_end(make_request_id(attempt), outcome)
        if outcome is Outcome.ANSWERED:
            self.count_answer(attempt)
        else:
            self.refuse_attempt(attempt)

    def count_answer(self, attempt: QueuedAttempt) -> None:
        """Count an answer that arrives before the caller's deadline."""
        number = attempt.request.number
        if self.open_attempts.get(number) != attempt.attempt:
            return
        del self.open_attempts[number]
        self.outcomes["answered", attempt.request.is_established] += 1
        self.answered_in_second[self.queue.clock.now_ms() // 1_000] += 1

    def refuse_attempt(self, attempt: QueuedAttempt) -> None:
        """Refuse an attempt; its caller retries after a delay until `MAX_ATTEMPTS`."""
        request = attempt.request
        if self.open_attempts.get(request.number) != attempt.attempt:
            return
        del self.open_attempts[request.number]
        if attempt.attempt < MAX_ATTEMPTS:
            wait_ms = RETRY_AFTER_MS + self.retry_rng.randrange(RETRY_JITTER_MS)
            retry = partial(self.send_attempt, request, attempt.attempt + 1)
            self.queue.call_after(wait_ms, retry)
        else:
            self.outcomes["refused", request.is_established] += 1

    def handle_timeout(self, request: CallerRequest, attempt: int) -> None:
        """Retry a request without an answer, or give up after `MAX_ATTEMPTS`."""
        if self.open_attempts.get(request.number) != attempt:
            return
        if attempt < MAX_ATTEMPTS:
            self.send_attempt(request, attempt + 1)
        else:
            del self.open_attempts[request.number]
            self.outcomes["unanswered", request.is_established] += 1


def make_rows() -> list[TableRow]:
    """Return the table rows of the service."""
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


def make_request_id(attempt: QueuedAttempt) -> bytes:
    """Return the request id of an attempt."""
    return (attempt.request.number * (MAX_ATTEMPTS + 1) + attempt.attempt).to_bytes(16)


def call_discarding_result(call: partial[bool]) -> None:
    """Call a function and discard its result."""
    call()
