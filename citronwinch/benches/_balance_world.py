"""A discrete-event model of one service for the balance benchmark.

Flows arrive, are placed at backend servers and end. `ServerModel` determines how long a
server takes to answer a request; a `Policy` chooses the server of each flow.
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
"""How long a request is outstanding at a black hole, in milliseconds."""

SLOW_FACTOR = 4
"""The factor on the answer time of the slow server."""

COLD_FACTOR = 5
"""The factor on the answer time during a cold start."""

COLD_START_MS = 30_000
"""How long a cold start lasts, in milliseconds."""

LOAD_SAMPLE_MS = 1_000
"""The interval between two readings of the load of all servers, in milliseconds."""

MAX_SAMPLED_REQUESTS = 4
"""The maximum requests per server and sample that are modelled individually."""

REQUEST_SAMPLE_MS = 500
"""The interval between two samples of requests, in milliseconds."""

ENDPOINT_POLL_MS = 1_000
"""The interval between two readings of a load endpoint, in milliseconds."""

SERVICE = "service"
"""The name of the modelled service."""

SERVICE_ENDPOINT = Endpoint("192.0.2.9", 9000)
"""The address of the modelled service."""


class Fault(Enum):
    """The fault or change of the last backend server at `Scenario.fault_ms`."""

    NONE = "none"
    """No fault and no change."""

    JOIN = "join"
    """The server joins, with a cold start."""

    SLOW = "slow"
    """The server answers more slowly, by `SLOW_FACTOR`."""

    BLACK_HOLE = "black hole"
    """The server accepts requests, answers none, and its load endpoint reports 0."""

    LYING = "lying"
    """The server works as usual, but its load endpoint reports 0."""


class Scenario(NamedTuple):
    """One case of the benchmark."""

    name: str
    """The case's name."""

    weights: tuple[int, ...]
    """The weight of each backend server."""

    zones: int
    """The number of availability zones."""

    zone_delay_ms: int
    """The one-way delay between two availability zones, in milliseconds."""

    flows_per_server: int
    """The mean number of open flows per backend server in the steady state."""

    lifetime_ms: int
    """The mean lifetime of a flow, in milliseconds."""

    connection_limit: int
    """The connection limit of each backend server."""

    fault: Fault = Fault.NONE
    """The fault of the last server."""

    fault_ms: int = 0
    """The time of the fault and of the first reading of the load, in milliseconds."""

    end_ms: int = 0
    """The end of the case, in milliseconds."""

    endpoint_lag_ms: int = 1_000
    """The age of the load that a load endpoint reports, in milliseconds."""

    arrival_rate_factor: float = 1.0
    """The factor on the arrival rate from `fault_ms` on."""


class Search(NamedTuple):
    """The search for a server that accepts a new flow."""

    home: TableRow
    """The row of the flow's first candidate, whose agent chooses the server."""

    started_ms: int
    """The time at which the flow arrived, in milliseconds."""


class ServerModel:
    """One backend server: its open flows and its answer time."""

    def __init__(self, row: TableRow, fault: Fault, fault_ms: int) -> None:
        self.row = row
        self.fault = fault
        self.fault_ms = fault_ms
        self.flows = 0
        self.last_full_ms = -1
        """The time at which the server was last full, -1 if it never was."""
        self.flows_opened_after_fault = 0
        self.endpoint_loads: list[int] = []
        """The loads that the endpoint measured, one per `ENDPOINT_POLL_MS`."""

    @property
    def is_full(self) -> bool:
        """Whether the server has reached its connection limit."""
        return self.flows >= self.row.connection_limit

    def compute_outstanding_ms(self, now_ms: int) -> int:
        """Return how long a request that arrives now is outstanding, in ms."""
        if now_ms < self.fault_ms:
            return ANSWER_MS
        if self.fault is Fault.BLACK_HOLE:
            return REQUEST_TIMEOUT_MS
        if self.fault is Fault.SLOW:
            return ANSWER_MS * SLOW_FACTOR
        if self.fault is Fault.JOIN and now_ms < self.fault_ms + COLD_START_MS:
            return ANSWER_MS * COLD_FACTOR
        return ANSWER_MS

    def compute_load(self, now_ms: int) -> float:
        """Return the actual outstanding work relative to the weight."""
        return self.flows * self.compute_outstanding_ms(now_ms) / self.row.weight

    def read_endpoint_load(self, now_ms: int) -> int:
        """Return the load that the server's load endpoint measures now.

        It is the number of flows, or 0 once the server is a black hole or lies. The
        endpoint reports it after the scenario's lag.
        """
        reports_idle = self.fault in (Fault.BLACK_HOLE, Fault.LYING)
        return 0 if reports_idle and now_ms >= self.fault_ms else self.flows


class Policy(Protocol):
    """Chooses the backend server of each new flow."""

    def attach(self, world: "World") -> None:
        """Prepare for a world; called once, before the first flow."""
        ...

    def change_rows(self, rows: Sequence[TableRow]) -> None:
        """Replace the rows of the service."""
        ...

    def choose_server(self, home: str, candidates: Sequence[TableRow]) -> str | None:
        """Return the server for a new flow, None to refuse the flow.

        `home` is the backend server whose agent chooses, the flow's first candidate.
        It is missing from `candidates` once it has refused the flow.
        """
        ...

    def observe_answer(self, server: str, request_id: bytes) -> None:
        """Observe the answer to a request."""
        ...

    def observe_delivery(self, server: str, request_id: bytes) -> None:
        """Observe the delivery of a request."""
        ...


class World:
    """The servers and flows of one scenario under one policy."""

    def __init__(self, scenario: Scenario, policy: Policy, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        self.queue = EventQueue()
        self.arrival_rng = random.Random(f"arrivals-{scenario.name}-{seed}")
        self.rng = random.Random(f"world-{scenario.name}-{seed}")
        self.link = FakeLink(self.queue, self.rng)
        self.servers = {row.backend_server: row for row in make_rows(scenario)}
        """The row of each server by name, with that of a server that joins later."""
        self.models = self.make_models()
        self.rows = self.make_initial_rows()
        """The rows of the table in force."""
        self.request_number = 0
        self.refused = 0
        self.refused_with_capacity_free = 0
        self.refused_with_slot_just_freed = 0
        self.limit_violations = 0
        """The number of flows that were opened beyond a connection limit."""
        self.offers = 0
        """The number of offers of a flow to a server that the policy chose."""
        self.offers_passed_on = 0
        """The number of these offers whose server was not the flow's home."""
        self.max_over_mean_readings: list[float] = []
        self.variation_readings: list[float] = []

    def make_models(self) -> dict[str, ServerModel]:
        """Return a model of each server; the last server has the scenario's fault."""
        names = list(self.servers)
        return {
            name: ServerModel(
                self.servers[name],
                self.scenario.fault if name == names[-1] else Fault.NONE,
                self.scenario.fault_ms,
            )
            for name in names
        }

    def make_initial_rows(self) -> list[TableRow]:
        """Return the rows at the start, without that of a server that joins later."""
        rows = list(self.servers.values())
        return rows[:-1] if self.scenario.fault is Fault.JOIN else rows

    def run(self) -> None:
        """Run the scenario to its end."""
        self.policy.attach(self)
        self.policy.change_rows(self.rows)
        self.place_initial_flows()
        self.queue.call_every(LOAD_SAMPLE_MS, self.sample_loads)
        self.queue.call_every(ENDPOINT_POLL_MS, self.record_endpoint_loads)
        self.queue.call_every(REQUEST_SAMPLE_MS, self.sample_requests)
        if self.scenario.fault is Fault.JOIN:
            self.queue.call_after(self.scenario.fault_ms, self.add_last_server)
        self.schedule_arrival()
        self.queue.run_until(self.scenario.end_ms)

    def place_initial_flows(self) -> None:
        """Open the initial flows, placed by plain rendezvous hashing."""
        for _ in range(self.scenario.flows_per_server * len(self.rows)):
            for row in rank_candidates(self.make_flow(), self.rows):
                if self.open_flow(row.backend_server):
                    break

    def add_last_server(self) -> None:
        """Add the last server to the table."""
        self.rows = list(self.servers.values())
        self.policy.change_rows(self.rows)

    def make_flow(self) -> FlowKey:
        """Return the key of a new flow of a random caller."""
        number = self.arrival_rng.getrandbits(48)
        caller_ip = (number >> 16).to_bytes(4)
        return pack_flow_key(
            TransportProtocol.UDP,
            caller_ip,
            number & 0xFFFF,
            pack_ip(SERVICE_ENDPOINT.ip),
            SERVICE_ENDPOINT.port,
        )

    def schedule_arrival(self) -> None:
        """Schedule the arrival of the next flow after a random delay."""
        scenario = self.scenario
        flows = scenario.flows_per_server * len(self.make_initial_rows())
        rate_per_ms = flows / scenario.lifetime_ms
        if self.queue.clock.now_ms() >= scenario.fault_ms:
            rate_per_ms *= scenario.arrival_rate_factor
        # Random rounding to whole milliseconds preserves the mean rate.
        delay_ms = self.arrival_rng.expovariate(rate_per_ms) + self.arrival_rng.random()
        self.queue.call_after(int(delay_ms), self.arrive)

    def arrive(self) -> None:
        """Place a new flow by its ranked candidates and schedule the next arrival."""
        self.schedule_arrival()
        candidates = rank_candidates(self.make_flow(), self.rows)
        search = Search(candidates[0], self.queue.clock.now_ms())
        self.place_flow(search, candidates)

    def place_flow(self, search: Search, candidates: Sequence[TableRow]) -> None:
        """Let the policy choose a server for the home and offer it the flow."""
        home = search.home
        chosen = self.policy.choose_server(home.backend_server, candidates)
        if chosen is None:
            self.refuse_flow(search)
            return
        arrive = partial(self.offer_flow, search, candidates, chosen)
        self.offers += 1
        self.offers_passed_on += chosen != home.backend_server
        if chosen == home.backend_server:
            arrive()
        else:
            self.link.carry(self.find_link_faults(home.backend_server, chosen), arrive)

    def find_link_faults(self, sender: str, receiver: str) -> LinkFaults:
        """Return the delay and jitter of the link between two servers."""
        zones = [self.servers[name].availability_zone for name in (sender, receiver)]
        delay_ms = self.scenario.zone_delay_ms if zones[0] != zones[1] else 0
        return LinkFaults(delay_ms, jitter_ms=2)

    def offer_flow(
        self, search: Search, candidates: Sequence[TableRow], chosen: str
    ) -> None:
        """Offer a flow to the chosen server; place it anew when the server is full."""
        if self.open_flow(chosen):
            return
        others = [row for row in candidates if row.backend_server != chosen]
        if others:
            self.place_flow(search, others)
        else:
            self.refuse_flow(search)

    def open_flow(self, name: str) -> bool:
        """Open a flow at a server; return False when the server is full."""
        model = self.models[name]
        if model.is_full:
            return False
        model.flows += 1
        if self.queue.clock.now_ms() >= self.scenario.fault_ms:
            model.flows_opened_after_fault += 1
        if model.flows > model.row.connection_limit:
            self.limit_violations += 1
        lifetime_ms = int(self.rng.expovariate(1 / self.scenario.lifetime_ms))
        self.queue.call_after(lifetime_ms, partial(self.end_flow, model))
        return True

    def end_flow(self, model: ServerModel) -> None:
        """Close a flow."""
        if model.is_full:
            model.last_full_ms = self.queue.clock.now_ms()
        model.flows -= 1

    def refuse_flow(self, search: Search) -> None:
        """Count a refused flow, and whether a server had a free slot."""
        self.refused += 1
        models = [self.models[row.backend_server] for row in self.rows]
        with_free_slot = [model for model in models if not model.is_full]
        if any(model.last_full_ms < search.started_ms for model in with_free_slot):
            self.refused_with_capacity_free += 1
        elif with_free_slot:
            self.refused_with_slot_just_freed += 1

    def record_endpoint_loads(self) -> None:
        """Record the load that each endpoint measures now and reports after the lag."""
        for model in self.models.values():
            load = model.read_endpoint_load(self.queue.clock.now_ms())
            model.endpoint_loads.append(load)

    def sample_requests(self) -> None:
        """Model the delivery and the answer of some requests at each server.

        The policy observes both, for up to `MAX_SAMPLED_REQUESTS` requests a server. A
        request that is outstanding for `REQUEST_TIMEOUT_MS` gets no answer.
        """
        now_ms = self.queue.clock.now_ms()
        for name, model in self.models.items():
            outstanding_ms = model.compute_outstanding_ms(now_ms)
            for _ in range(min(model.flows, MAX_SAMPLED_REQUESTS)):
                self.request_number += 1
                request_id = self.request_number.to_bytes(16)
                self.policy.observe_delivery(name, request_id)
                if outstanding_ms < REQUEST_TIMEOUT_MS:
                    answer_ms = round(outstanding_ms * self.rng.uniform(0.7, 1.4))
                    answer = partial(self.policy.observe_answer, name, request_id)
                    self.queue.call_after(answer_ms, answer)

    def sample_loads(self) -> None:
        """Record two measures of how unevenly the actual load is spread."""
        now_ms = self.queue.clock.now_ms()
        if now_ms < self.scenario.fault_ms:
            return
        loads = [
            self.models[row.backend_server].compute_load(now_ms) for row in self.rows
        ]
        mean = sum(loads) / len(loads)
        variance = sum((load - mean) ** 2 for load in loads) / len(loads)
        self.max_over_mean_readings.append(max(loads) / mean)
        self.variation_readings.append(variance**0.5 / mean)


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
