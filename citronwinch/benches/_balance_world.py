"""A small model of one service for the balance benchmark.

Flows arrive, stay and leave; backend servers hold them and take a time to answer
their requests. The decisions are not modelled: a policy makes them.
"""

import random
from collections.abc import Sequence
from enum import Enum
from functools import partial
from typing import NamedTuple, Protocol

from citronwinch.benches._fakes import EventQueue, FakeLink, LinkFaults
from citronwinch.coordination import (
    Endpoint,
    FlowKey,
    TableRow,
    TransportProtocol,
    pack_flow_key,
    pack_ip,
    rank_candidates,
)

ANSWER_MS = 50
"""How long a request takes at a healthy backend server, in milliseconds."""

REQUEST_TIMEOUT_MS = 2_000
"""How long a request stays outstanding at a server that never answers."""

SLOW_FACTOR = 4
"""How much longer a request takes at the slow server."""

COLD_FACTOR = 5
"""How much longer a request takes during a cold start."""

COLD_START_MS = 30_000
"""How long a cold start lasts, in milliseconds."""

SAMPLE_MS = 1_000
"""How often the load of all servers is read, in milliseconds."""

PROBED_REQUESTS = 4
"""The requests per server and observation whose outcome is modelled one by one."""

OBSERVE_MS = 500
"""How often requests are modelled one by one, in milliseconds."""

ENDPOINT_POLL_MS = 1_000
"""How often a load endpoint is read, in milliseconds."""

SERVICE = "service"
"""The name of the modelled service."""

SERVICE_ENDPOINT = Endpoint("192.0.2.9", 9000)
"""The address of the modelled service."""


class Fault(Enum):
    """What happens to the last backend server at the time of the change."""

    NONE = "none"
    """Nothing."""

    JOIN = "join"
    """It joins, with a cold start."""

    SLOW = "slow"
    """It gets slow."""

    BLACK_HOLE = "black hole"
    """It takes requests, answers none, and its load endpoint says that it is idle."""

    LYING = "lying"
    """Its load endpoint says that it is idle; all else is well."""


class Scenario(NamedTuple):
    """One case of the benchmark."""

    name: str
    """The case's name."""

    weights: tuple[int, ...]
    """The weight of each backend server."""

    zones: int
    """The number of availability zones."""

    zone_delay_ms: int
    """The delay between two zones, one way."""

    flows_per_server: int
    """The flows per backend server that arrivals and departures lead to."""

    lifetime_ms: int
    """How long a flow stays on average."""

    connection_limit: int
    """The connection limit of each backend server."""

    fault: Fault = Fault.NONE
    """What happens to the last server."""

    fault_ms: int = 0
    """When it happens, and from when the load is measured."""

    end_ms: int = 0
    """When the case ends."""

    endpoint_lag_ms: int = 1_000
    """How old the load is that a load endpoint tells."""

    growth: float = 1.0
    """The factor on the rate of arrivals from the time of the change."""


class Search(NamedTuple):
    """The search of a home for the server that takes a new flow."""

    home: TableRow
    """The first candidate."""

    started_ms: int
    """When the flow arrived."""


class ServerModel:
    """One backend server: its flows and how long it takes to answer."""

    def __init__(self, row: TableRow, fault: Fault, fault_ms: int) -> None:
        self.row = row
        self.fault = fault
        self.fault_ms = fault_ms
        self.flows = 0
        self.last_full_ms = -1
        self.flows_taken_after_fault = 0
        self.endpoint_history: list[int] = []

    @property
    def is_full(self) -> bool:
        """Whether the connection limit is reached."""
        return self.flows >= self.row.connection_limit

    def find_outstanding_ms(self, now_ms: int) -> int:
        """Return how long a request is outstanding at this server now."""
        if now_ms < self.fault_ms:
            return ANSWER_MS
        if self.fault is Fault.BLACK_HOLE:
            return REQUEST_TIMEOUT_MS
        if self.fault is Fault.SLOW:
            return ANSWER_MS * SLOW_FACTOR
        if self.fault is Fault.JOIN and now_ms < self.fault_ms + COLD_START_MS:
            return ANSWER_MS * COLD_FACTOR
        return ANSWER_MS

    def find_load(self, now_ms: int) -> float:
        """Return the true outstanding work relative to the weight."""
        return self.flows * self.find_outstanding_ms(now_ms) / self.row.weight

    def read_endpoint(self, now_ms: int) -> int:
        """Return the load that the endpoint tells before its lag."""
        is_false = self.fault in (Fault.BLACK_HOLE, Fault.LYING)
        return 0 if is_false and now_ms >= self.fault_ms else self.flows


class Policy(Protocol):
    """Chooses the backend server of each new flow."""

    def attach(self, world: "World") -> None:
        """Prepare for a world; called once, before anything happens."""
        ...

    def change_rows(self, rows: Sequence[TableRow]) -> None:
        """Use other rows from now on."""
        ...

    def choose(self, home: str, candidates: Sequence[TableRow]) -> str | None:
        """Return the server for a new flow whose first candidate is `home`."""
        ...

    def note_answer(self, server: str, request_id: bytes) -> None:
        """Notice the answer to a request."""
        ...

    def note_delivery(self, server: str, request_id: bytes) -> None:
        """Notice the delivery of a request."""
        ...


class World:
    """The servers and flows of one scenario under one policy."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        self.queue = EventQueue()
        self.arrivals = random.Random(f"arrivals-{scenario.name}-{seed}")
        self.source = random.Random(f"world-{scenario.name}-{seed}")
        self.link = FakeLink(self.queue, self.source)
        self.servers = {row.backend_server: row for row in make_rows(scenario)}
        self.models = self.make_models()
        self.rows = self.find_first_rows()
        self.request_number = 0
        self.refused = 0
        self.refused_with_capacity_free = 0
        self.refused_with_slot_just_freed = 0
        self.limit_violations = 0
        self.taken_after_fault = 0
        self.ratios: list[float] = []
        self.variations: list[float] = []

    def make_models(self) -> dict[str, ServerModel]:
        """Return a model of each server; the fault happens to the last one."""
        names = list(self.servers)
        return {
            name: ServerModel(
                self.servers[name],
                self.scenario.fault if name == names[-1] else Fault.NONE,
                self.scenario.fault_ms,
            )
            for name in names
        }

    def find_first_rows(self) -> list[TableRow]:
        """Return the rows at the start; a server that joins has none yet."""
        rows = list(self.servers.values())
        return rows[:-1] if self.scenario.fault is Fault.JOIN else rows

    def run(self) -> None:
        """Run the scenario to its end."""
        self.policy.attach(self)
        self.policy.change_rows(self.rows)
        self.fill()
        self.queue.call_every(SAMPLE_MS, self.sample)
        self.queue.call_every(ENDPOINT_POLL_MS, self.note_endpoints)
        self.queue.call_every(OBSERVE_MS, self.observe_requests)
        if self.scenario.fault is Fault.JOIN:
            self.queue.call_after(self.scenario.fault_ms, self.join_last)
        self.schedule_arrival()
        self.queue.run_until(self.scenario.end_ms)

    def fill(self) -> None:
        """Start with flows that plain rendezvous hashing has placed."""
        for _ in range(self.scenario.flows_per_server * len(self.rows)):
            for row in rank_candidates(self.make_flow(), self.rows):
                if self.take(row.backend_server):
                    break

    def join_last(self) -> None:
        """Add the last server to the table."""
        self.rows = list(self.servers.values())
        self.policy.change_rows(self.rows)

    def make_flow(self) -> FlowKey:
        """Return the key of a new flow of a random caller."""
        number = self.arrivals.getrandbits(48)
        caller_ip = (number >> 16).to_bytes(4)
        return pack_flow_key(
            TransportProtocol.UDP,
            caller_ip,
            number & 0xFFFF,
            pack_ip(SERVICE_ENDPOINT.ip),
            SERVICE_ENDPOINT.port,
        )

    def schedule_arrival(self) -> None:
        """Let the next flow arrive after a random time."""
        scenario = self.scenario
        flows = scenario.flows_per_server * len(self.find_first_rows())
        rate_per_ms = flows / scenario.lifetime_ms
        if self.queue.clock.now_ms() >= scenario.fault_ms:
            rate_per_ms *= scenario.growth
        # Rounding to whole milliseconds at random keeps the rate.
        delay_ms = self.arrivals.expovariate(rate_per_ms) + self.arrivals.random()
        self.queue.call_after(int(delay_ms), self.arrive)

    def arrive(self) -> None:
        """Let a flow arrive at the agent of its first candidate."""
        self.schedule_arrival()
        candidates = rank_candidates(self.make_flow(), self.rows)
        search = Search(candidates[0], self.queue.clock.now_ms())
        self.place(search, candidates)

    def place(self, search: Search, candidates: Sequence[TableRow]) -> None:
        """Let the home choose, and send the flow to the chosen server."""
        home = search.home
        chosen = self.policy.choose(home.backend_server, candidates)
        if chosen is None:
            self.refuse(search)
            return
        arrive = partial(self.offer, search, candidates, chosen)
        if chosen == home.backend_server:
            arrive()
        else:
            self.link.carry(self.find_path(home.backend_server, chosen), arrive)

    def find_path(self, sender: str, receiver: str) -> LinkFaults:
        """Return what the link between two servers does to a flow's packet."""
        zones = [self.servers[name].availability_zone for name in (sender, receiver)]
        delay_ms = self.scenario.zone_delay_ms if zones[0] != zones[1] else 0
        return LinkFaults(delay_ms, jitter_ms=2)

    def offer(
        self, search: Search, candidates: Sequence[TableRow], chosen: str
    ) -> None:
        """Let the taker decide by its limit; after a refusal the home goes on."""
        if self.take(chosen):
            return
        others = [row for row in candidates if row.backend_server != chosen]
        if others:
            self.place(search, others)
        else:
            self.refuse(search)

    def take(self, name: str) -> bool:
        """Open a flow at a server unless it is at its limit."""
        model = self.models[name]
        if model.is_full:
            return False
        model.flows += 1
        if self.queue.clock.now_ms() >= self.scenario.fault_ms:
            model.flows_taken_after_fault += 1
        if model.flows > model.row.connection_limit:
            self.limit_violations += 1
        lifetime_ms = int(self.source.expovariate(1 / self.scenario.lifetime_ms))
        self.queue.call_after(lifetime_ms, partial(self.end_flow, model))
        return True

    def end_flow(self, model: ServerModel) -> None:
        """Close a flow."""
        if model.is_full:
            model.last_full_ms = self.queue.clock.now_ms()
        model.flows -= 1

    def refuse(self, search: Search) -> None:
        """Count a refusal, and whether there was room anywhere."""
        self.refused += 1
        models = [self.models[row.backend_server] for row in self.rows]
        roomy = [model for model in models if not model.is_full]
        if any(model.last_full_ms < search.started_ms for model in roomy):
            self.refused_with_capacity_free += 1
        elif roomy:
            self.refused_with_slot_just_freed += 1

    def note_endpoints(self) -> None:
        """Let each load endpoint note its load, to tell it after the lag."""
        for model in self.models.values():
            load = model.read_endpoint(self.queue.clock.now_ms())
            model.endpoint_history.append(load)

    def observe_requests(self) -> None:
        """Model a few requests at each server one by one."""
        now_ms = self.queue.clock.now_ms()
        for name, model in self.models.items():
            outstanding_ms = model.find_outstanding_ms(now_ms)
            for _ in range(min(model.flows, PROBED_REQUESTS)):
                self.request_number += 1
                request_id = self.request_number.to_bytes(16)
                self.policy.note_delivery(name, request_id)
                if outstanding_ms < REQUEST_TIMEOUT_MS:
                    answer_ms = round(outstanding_ms * self.source.uniform(0.7, 1.4))
                    answer = partial(self.policy.note_answer, name, request_id)
                    self.queue.call_after(answer_ms, answer)

    def sample(self) -> None:
        """Note how even the true load is."""
        now_ms = self.queue.clock.now_ms()
        if now_ms < self.scenario.fault_ms:
            return
        loads = [self.models[row.backend_server].find_load(now_ms) for row in self.rows]
        mean = sum(loads) / len(loads)
        variance = sum((load - mean) ** 2 for load in loads) / len(loads)
        self.ratios.append(max(loads) / mean)
        self.variations.append(variance**0.5 / mean)


def make_rows(scenario: Scenario) -> list[TableRow]:
    """Return the table rows of a scenario's servers."""
    return [
        TableRow(
            SERVICE,
            TransportProtocol.UDP,
            SERVICE_ENDPOINT,
            f"server-{number + 1}",
            Endpoint(f"192.0.2.{number + 10}", 9000),
            f"zone-{number % scenario.zones + 1}",
            weight,
            scenario.connection_limit,
        )
        for number, weight in enumerate(scenario.weights)
    ]
