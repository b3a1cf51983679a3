"""Runs the soak for one seed: generates traffic, injects faults, checks promises."""

import random
import time
from pathlib import Path
from typing import NamedTuple

import trio
from hdrh.histogram import HdrHistogram

from citronwinch.coordination import Endpoint
from citronwinch.platform.standins import FlowOutcome, Router, StandInStore
from citronwinch.soak._checks import (
    Observations,
    Violation,
    find_violations,
)
from citronwinch.soak._evacuation import record_evacuated_opening
from citronwinch.soak._fault_injection import inject_fault
from citronwinch.soak._faults import RECOVERY_PERIOD_S, Fault, generate_faults
from citronwinch.soak._fleet import (
    LAUNCHER,
    OUTBOUND_PORT,
    PACKET_PORT,
    READY_PORT,
    SERVER_PORT,
    Fleet,
    make_agent,
    make_balancer,
)
from citronwinch.soak._flow_watch import FlowWatch, WatchedCaller, WatchedServer
from citronwinch.soak._link import Link
from citronwinch.soak._message_faults import MessageFaults
from citronwinch.soak._services import SERVICES

MIN_FLOWS_PER_SERVICE = 8
"""The least number of flows of each service that are open at a time; one for each four
servers if that is more."""

FIRST_BALANCER, FIRST_SERVER = 11, 331
"""The numbers of the first balancer and of the first server."""

MEAN_REQUEST_PAUSE_S = 0.15
"""The mean pause between an answer and the next request of a flow, in seconds."""

LINK_ADDRESS_OFFSET = 100
"""The number of a link minus that of its balancer."""

LAST_ANSWERS_LIMIT_S = 2.0
"""How long after the traffic a run waits for answers to the last requests, in seconds;
a request without one by then counts as unanswered."""

STARTUP_LIMIT_S = 20.0
"""How long the balancers may take to become ready at the start, in seconds."""

STARTUP_LIMIT_FOR_EACH_S = 0.4
"""How much longer that is for each balancer and agent, in seconds."""


class SoakOptions(NamedTuple):
    """The parameters of a run."""

    seconds: float = 20.0
    """The duration of the traffic, in seconds."""

    balancers: int = 3
    """The number of balancers."""

    servers: int = 6
    """The number of backend servers; every third one belongs to the smaller service."""

    network: int = 120
    """The second octet of all addresses; concurrent runs need different ones."""

    faults: tuple[Fault, ...] | None = None
    """The faults to inject; None generates them from the seed."""

    program: tuple[str, ...] = LAUNCHER
    """The arguments of the interpreter that start a process."""


class SoakResult(NamedTuple):
    """The outcome of a run."""

    seed: int
    """The seed of the run."""

    faults: tuple[Fault, ...]
    """The injected faults, by start time."""

    requests: int
    """The number of requests sent."""

    served: int
    """The number of requests that got an answer, correct or not."""

    p50_ms: float
    """The median answer time, in milliseconds."""

    p99_ms: float
    """The 99th percentile of the answer time, in milliseconds."""

    violations: tuple[Violation, ...]
    """The violations of promises."""


class Soak:
    """One run of the soak.

    The stand-ins for the platform, the callers and the backend servers run in this
    process; each balancer and agent is a process of its own.
    """

    def __init__(self, seed: int, options: SoakOptions, directory: Path) -> None:
        self.seed = seed
        self.options = options
        self.rng = random.Random(seed + 1)
        self.fleet = Fleet(directory, options.program)
        self.message_faults = MessageFaults(self.fleet.message_faults_file)
        self.store = StandInStore(Endpoint(self.make_ip(1), 23_169))
        self.router = Router({})
        caller = Endpoint(self.make_ip(2), PACKET_PORT)
        self.observations = Observations()
        self.flow_watch = FlowWatch(self.observations, self.fleet.impaired_s)
        self.caller = WatchedCaller(caller, self.router, self.flow_watch)
        self.servers: dict[int, WatchedServer] = {}
        """The backend servers by number, from which their addresses derive."""
        self.service_by_server: dict[int, str] = {}
        """The service of each backend server, by number."""
        self.started_ms: dict[int, int] = {}
        """The start of each backend server in Unix time, in milliseconds, by number."""
        self.draining_since_s: dict[int, float] = {}
        """The monotonic time at which a backend server began to drain, by number."""
        self.evacuated_since_s: dict[str, float] = {}
        """The monotonic time of the request to evacuate a zone, by zone."""
        self.gone_servers: set[int] = set()
        """The numbers of the backend servers that were removed after draining."""
        self.balancer_numbers: list[int] = []
        """The numbers of the balancers, from which their addresses derive."""
        self.server_scopes: dict[int, trio.CancelScope] = {}
        """The scope whose cancellation ends the backend server, by number."""
        self.answer_times_ms = HdrHistogram(1, 60_000, 2)
        self.requests = self.served = self.requests_in_flight = 0
        self.is_ending = False
        """Whether the traffic has ended, and no request is sent any more."""
        self.last_allocated_port = 2_000
        self.configuration_version = 1
        self.added: dict[Endpoint, float] = {}
        """The address whose route the newest edit added, with the time of the edit.

        It is empty before the first edit; the next edit replaces it.
        """
        self.links: list[Link] = []
        self.last_store_fault_s = -100.0
        """The monotonic time at which the store last had a fault."""
        self.last_disruption_s = -100.0
        """The monotonic time at which a link or a process was last disrupted.

        A reload is no disruption.
        """

    async def run(self) -> SoakResult:
        """Run the soak and return its outcome."""
        faults = self.options.faults
        if faults is None:
            faults = tuple(generate_faults(self.seed, self.options.seconds))
        try:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                self._start()
                await self._wait_until_ready()
                self.traffic_started_s = time.monotonic()
                for service in SERVICES:
                    flows = max(MIN_FLOWS_PER_SERVICE, self.options.servers // 4)
                    self.start_flows(service, flows)
                for fault in faults:
                    nursery.start_soon(inject_fault, self, fault)
                await trio.sleep(self.options.seconds)
                await self._await_last_answers()
                nursery.cancel_scope.cancel()
        finally:
            self.fleet.close()
        return self._make_result(faults)

    async def _await_last_answers(self) -> None:
        """Send no more requests, and wait for the answers to those in flight."""
        self.is_ending = True
        with trio.move_on_after(LAST_ANSWERS_LIMIT_S):
            while self.requests_in_flight:
                await trio.sleep(0.02)

    def _start(self) -> None:
        """Start the stand-ins, the balancers with their links, and the agents."""
        self.write_configuration()
        for task in (self.store.run, self.router.run, self.caller.run):
            self.nursery.start_soon(task)
        self.nursery.start_soon(self.fleet.supervise)
        for index in range(self.options.balancers):
            self.add_balancer(FIRST_BALANCER + index)
        for index in range(self.options.servers):
            number = FIRST_SERVER + index
            self.add_server(number, "reporting" if number % 3 == 0 else "gauging")

    def add_balancer(self, number: int) -> None:
        """Start a balancer, and the link that carries the callers' packets to it."""
        self.balancer_numbers.append(number)
        ip = self.make_ip(number)
        zone = "ab"[number % 2]
        seed = self.make_ip(FIRST_BALANCER)
        self.fleet.add(make_balancer(number, ip, zone, self.store.endpoint, seed))
        link = Link(
            Endpoint(self.make_ip(number + LINK_ADDRESS_OFFSET), PACKET_PORT),
            Endpoint(ip, PACKET_PORT),
            self.seed + number,
        )
        self.links.append(link)
        self.nursery.start_soon(link.run)
        self.router.balancers[Endpoint(ip, READY_PORT)] = link.datagram_socket.endpoint

    def add_server(self, number: int, service: str) -> None:
        """Start a backend server and its agent, and list the server as ready."""
        ip, zone = self.make_ip(number), "ab"[number % 2]
        server = WatchedServer(
            f"i-{number}",
            Endpoint(ip, SERVER_PORT),
            Endpoint(ip, OUTBOUND_PORT),
            self.flow_watch,
        )
        self.servers[number], self.service_by_server[number] = server, service
        self.started_ms[number] = time.time_ns() // 1_000_000
        scope = self.server_scopes[number] = trio.CancelScope()

        async def serve() -> None:
            with scope:
                await server.run()

        self.nursery.start_soon(serve)
        self.fleet.add(make_agent(number, ip, zone, service))
        self.write_server(number, "ready")

    def make_ip(self, number: int) -> str:
        """Return the IP address of the instance with a number."""
        return f"127.{self.options.network}.{number // 256}.{number % 256}"

    def is_in_rotation(self, name: str) -> bool:
        """Return whether the router regards a balancer as ready."""
        ready_address = Endpoint(self.fleet.instances[name].ip, READY_PORT)
        return self.router.balancers[ready_address] in self.router.rotation

    def write_server(self, number: int, state: str) -> None:
        """Write the record of a backend server, with a state, to the store."""
        server = self.servers[number]
        zone = "ab"[number % 2]
        self.store.write_server(
            server.name,
            self.service_by_server[number],
            server.address,
            zone,
            state,
            self.started_ms[number],
        )

    def write_configuration(self) -> None:
        """Write the routes of the services and the added route to the store."""
        routes = {address: service for service, address in SERVICES.items()}
        routes |= dict.fromkeys(self.added, "gauging")
        self.store.write_configuration(self.configuration_version, routes)

    async def _wait_until_ready(self) -> None:
        processes = self.options.balancers + self.options.servers
        with trio.fail_after(STARTUP_LIMIT_S + STARTUP_LIMIT_FOR_EACH_S * processes):
            while len(self.router.rotation) < self.options.balancers:
                await trio.sleep(0.05)
        await trio.sleep(1.0)

    def allocate_port(self) -> int:
        """Return a port of the caller that no flow has used yet."""
        self.last_allocated_port += 1
        return self.last_allocated_port

    def start_flows(self, service: str, count: int, *, are_kept: bool = False) -> None:
        """Use some flows of a service at the same time; kept ones are not closed."""
        for _ in range(count):
            self.nursery.start_soon(self._run_flow, service, are_kept)

    async def _run_flow(self, service: str, is_kept: bool) -> None:
        """Send requests on a flow, and open a new one when it ends, until cancelled."""
        address = SERVICES[service]
        while True:
            port = self.allocate_port()
            outcome = await self.open_flow(port, address)
            while outcome is FlowOutcome.DONE:
                if self.is_ending:
                    return
                outcome = await self._send_request(port, service, address)
                await trio.sleep(self.rng.uniform(0.5, 1.5) * MEAN_REQUEST_PAUSE_S)
                if not is_kept and self.rng.random() < 0.03:
                    self.caller.close(port, address)
                    break
            await trio.sleep(0.05)

    async def open_flow(self, port: int, address: Endpoint) -> FlowOutcome:
        """Open a flow, and record it if a draining or evacuated server accepted it.

        Recording is skipped if the store, a link or a process was disrupted after the
        server was marked as draining, or after the request to evacuate its zone.
        """
        opened_s = time.monotonic()
        outcome = await self.caller.open(port, address)
        key = self.caller.make_flow_key(port, address)
        record_evacuated_opening(self, key, opened_s)
        for number, drain_started_s in self.draining_since_s.items():
            flow = self.servers[number].flows.get(key)
            is_undisrupted = drain_started_s > max(
                self.last_store_fault_s, self.last_disruption_s
            )
            if outcome is FlowOutcome.DONE and flow and is_undisrupted:
                text = f"{self.servers[number].name} took port {port}"
                self.observations.openings_at_draining_servers.append(
                    (text, time.monotonic() - drain_started_s)
                )
        return outcome

    async def _send_request(
        self, port: int, service: str, address: Endpoint
    ) -> FlowOutcome:
        """Send a request on an open flow, and record a wrong answer."""
        self.requests += 1
        request = f"{service} {self.requests}"
        sent_s = time.monotonic()
        is_in_recovery = (
            sent_s - self.traffic_started_s
            > self.options.seconds - RECOVERY_PERIOD_S / 2
        )
        self.observations.recovery_requests += is_in_recovery
        self.requests_in_flight += 1
        outcome, answer = await self.caller.request(port, address, request.encode())
        self.requests_in_flight -= 1
        if outcome is not FlowOutcome.DONE:
            return outcome
        if answer.partition(b":")[2] != request.upper().encode():
            self.observations.wrong_answers.append(f"{request!r} got {answer!r}")
        self.served += 1
        self.observations.recovery_served += is_in_recovery
        self.answer_times_ms.record_value(
            max(1, round((time.monotonic() - sent_s) * 1000))
        )
        return outcome

    def _make_result(self, faults: tuple[Fault, ...]) -> SoakResult:
        """Complete the observations and return the outcome of the run."""
        self.flow_watch.end(time.monotonic())
        self.observations.unexpected_exits = self.fleet.unexpected_exits
        for number, server in self.servers.items():
            for _, payload in server.requests:
                execution = (
                    server.name,
                    self.service_by_server[number],
                    payload.decode(),
                )
                self.observations.executions.append(execution)
        return SoakResult(
            self.seed,
            faults,
            self.requests,
            self.served,
            self.answer_times_ms.get_value_at_percentile(50),
            self.answer_times_ms.get_value_at_percentile(99),
            tuple(find_violations(self.observations)),
        )


def run_seed(seed: int, options: SoakOptions, directory: Path) -> SoakResult:
    """Run the soak; write logs and settings of the processes to the directory."""
    return trio.run(Soak(seed, options, directory).run)
