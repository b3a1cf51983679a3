"""Plays one seed: traffic, faults, and what was seen."""

import random
import time
from pathlib import Path
from typing import NamedTuple

import trio
from hdrh.histogram import HdrHistogram

from citronwinch.coordination import Endpoint, Flow, FlowKey, TransportProtocol
from citronwinch.platform.standins import (
    Caller,
    FlowOutcome,
    Router,
    StandInServer,
    StandInStore,
)
from citronwinch.soak._checks import (
    Observations,
    Violation,
    find_violations,
)
from citronwinch.soak._disturbances import play_fault
from citronwinch.soak._faults import QUIET_END_S, Fault, draw_faults
from citronwinch.soak._fleet import (
    OUTBOUND_PORT,
    PACKET_PORT,
    READY_PORT,
    SERVER_PORT,
    Fleet,
    make_agent,
    make_balancer,
)
from citronwinch.soak._link import Link
from citronwinch.soak._services import SERVICES

FLOWS_PER_SERVICE = 8
REQUEST_GAP_S = 0.15

LINK_OFFSET = 100
"""How far the last number of a link's address lies above that of its balancer."""

READY_LIMIT_S = 20.0
"""How long the processes may take to be ready at the start, in seconds."""


class SoakOptions(NamedTuple):
    """How a seed is played."""

    seconds: float = 20.0
    """How long traffic goes on, in seconds."""

    balancers: int = 3
    """The balancers."""

    servers: int = 6
    """The backend servers; every third one is of the smaller service."""

    network: int = 120
    """The second number of all addresses; runs at the same time need different ones."""

    faults: tuple[Fault, ...] | None = None
    """The faults that are played; None for those drawn from the seed."""

    program: tuple[str, ...] = ("citronwinch.launch",)
    """The module that starts a process, with its first arguments."""


class SoakResult(NamedTuple):
    """What a seed has shown."""

    seed: int
    """The seed."""

    faults: tuple[Fault, ...]
    """The faults, on a time line."""

    requests: int
    """The requests that were sent."""

    served: int
    """Those that got their whole answer."""

    p50_ms: float
    """The median time of an answer."""

    p99_ms: float
    """The time within which 99% of the answers came."""

    violations: tuple[Violation, ...]
    """The promises that were broken."""


class Soak:
    """One run: stand-ins in this process, balancers and agents in their own."""

    def __init__(self, seed: int, options: SoakOptions, directory: Path) -> None:
        self.seed = seed
        self.options = options
        self.rng = random.Random(seed + 1)
        self.prefix = f"127.{options.network}.0"
        self.fleet = Fleet(directory, options.program)
        self.store = StandInStore(Endpoint(f"{self.prefix}.1", 23_169))
        self.router = Router({})
        caller = Endpoint(f"{self.prefix}.2", PACKET_PORT)
        self.caller = Caller(caller, self.router)
        self.servers: dict[int, StandInServer] = {}
        self.services: dict[int, str] = {}
        self.started_ms: dict[int, int] = {}
        self.leaving: dict[int, float] = {}
        self.scopes: dict[int, trio.CancelScope] = {}
        self.seen = Observations()
        self.times = HdrHistogram(1, 60_000, 2)
        self.requests = self.served = 0
        self.next_port = 2_000
        self.version = 1
        self.added: dict[Endpoint, float] = {}
        self.links: list[Link] = []
        self.store_failed_s = -100.0
        self.disturbed_s = -100.0

    async def run(self) -> SoakResult:
        """Play the seed."""
        faults = self.options.faults
        if faults is None:
            faults = tuple(draw_faults(self.seed, self.options.seconds))
        try:
            async with trio.open_nursery() as nursery:
                self.nursery = nursery
                self._start()
                await self._wait_ready()
                self.began_s = time.monotonic()
                for service in SERVICES:
                    for _ in range(FLOWS_PER_SERVICE):
                        nursery.start_soon(self._keep_flow, service)
                for fault in faults:
                    nursery.start_soon(play_fault, self, fault)
                await trio.sleep(self.options.seconds)
                nursery.cancel_scope.cancel()
        finally:
            self.fleet.close()
        return self._make_result(faults)

    def _start(self) -> None:
        self.write_configuration()
        for task in (self.store.run, self.router.run, self.caller.run):
            self.nursery.start_soon(task)
        self.nursery.start_soon(self.fleet.supervise)
        for number in range(11, 11 + self.options.balancers):
            ip = f"{self.prefix}.{number}"
            zone = "ab"[number % 2]
            seed = f"{self.prefix}.11"
            self.fleet.add(make_balancer(number, ip, zone, self.store.endpoint, seed))
            link = Link(
                Endpoint(f"{self.prefix}.{number + LINK_OFFSET}", PACKET_PORT),
                Endpoint(ip, PACKET_PORT),
                self.seed + number,
            )
            self.links.append(link)
            self.nursery.start_soon(link.run)
            self.router.balancers[Endpoint(ip, READY_PORT)] = link.port.endpoint
        for number in range(31, 31 + self.options.servers):
            self.add_server(number, "reporting" if number % 3 == 0 else "gauging")

    def add_server(self, number: int, service: str) -> None:
        ip, zone = f"{self.prefix}.{number}", "ab"[number % 2]
        server = StandInServer(
            f"i-{number}", Endpoint(ip, SERVER_PORT), Endpoint(ip, OUTBOUND_PORT)
        )
        self.servers[number], self.services[number] = server, service
        self.started_ms[number] = time.time_ns() // 1_000_000
        scope = self.scopes[number] = trio.CancelScope()

        async def serve() -> None:
            with scope:
                await server.run()

        self.nursery.start_soon(serve)
        self.fleet.add(make_agent(number, ip, zone, service))
        self.write_server(number, "ready")

    def write_server(self, number: int, state: str) -> None:
        server = self.servers[number]
        zone = "ab"[number % 2]
        self.store.write_server(
            server.name,
            self.services[number],
            server.address,
            zone,
            state,
            self.started_ms[number],
        )

    def write_configuration(self) -> None:
        routes = {address: service for service, address in SERVICES.items()}
        routes |= dict.fromkeys(self.added, "gauging")
        self.store.write_configuration(self.version, routes)

    async def _wait_ready(self) -> None:
        with trio.fail_after(READY_LIMIT_S):
            while len(self.router.rotation) < self.options.balancers:
                await trio.sleep(0.05)
        await trio.sleep(1.0)

    def take_port(self) -> int:
        self.next_port += 1
        return self.next_port

    async def _keep_flow(self, service: str) -> None:
        """Keep a flow open, ask on it, and open another when it ends."""
        address = SERVICES[service]
        while True:
            port = self.take_port()
            outcome = await self.open(port, address)
            while outcome is FlowOutcome.DONE:
                outcome = await self._ask(port, service, address)
                if outcome is FlowOutcome.RESET:
                    self._note_reset(port, address)
                await trio.sleep(self.rng.uniform(0.5, 1.5) * REQUEST_GAP_S)
                if self.rng.random() < 0.03:
                    self.caller.close(port, address)
                    break
            await trio.sleep(0.05)

    async def open(self, port: int, address: Endpoint) -> FlowOutcome:
        outcome = await self.caller.open(port, address)
        key = self.make_key(port, address)
        for number, left_s in self.leaving.items():
            flow = self.servers[number].flows.get(key)
            is_undisturbed = left_s > max(self.store_failed_s, self.disturbed_s)
            if outcome is FlowOutcome.DONE and flow and is_undisturbed:
                text = f"{self.servers[number].name} took port {port}"
                self.seen.late_openings.append((text, time.monotonic() - left_s))
        return outcome

    async def _ask(self, port: int, service: str, address: Endpoint) -> FlowOutcome:
        self.requests += 1
        request = f"{service} {self.requests}"
        begin = time.monotonic()
        is_at_end = begin - self.began_s > self.options.seconds - QUIET_END_S / 2
        self.seen.end_requests += is_at_end
        outcome, answer = await self.caller.request(port, address, request.encode())
        if outcome is not FlowOutcome.DONE:
            return outcome
        if answer.partition(b":")[2] != request.upper().encode():
            self.seen.wrong_answers.append(f"{request!r} got {answer!r}")
        self.served += 1
        self.seen.end_served += is_at_end
        self.times.record_value(max(1, round((time.monotonic() - begin) * 1000)))
        return outcome

    def _note_reset(self, port: int, address: Endpoint) -> None:
        key = self.make_key(port, address)
        for server in self.servers.values():
            flow = server.flows.get(key)
            if flow is not None and flow.is_open:
                text = f"port {port} held by {server.name}"
                self.seen.resets_of_live_flows.append(text)

    def make_key(self, port: int, address: Endpoint) -> FlowKey:
        caller = Endpoint(self.caller.address.ip, port)
        return Flow(TransportProtocol.TCP, caller, address).key

    def _make_result(self, faults: tuple[Fault, ...]) -> SoakResult:
        self.seen.ended_alone = self.fleet.ended_alone
        for number, server in self.servers.items():
            for _, payload in server.requests:
                run = (server.name, self.services[number], payload.decode())
                self.seen.runs.append(run)
        return SoakResult(
            self.seed,
            faults,
            self.requests,
            self.served,
            self.times.get_value_at_percentile(50),
            self.times.get_value_at_percentile(99),
            tuple(find_violations(self.seen)),
        )


def run_seed(seed: int, options: SoakOptions, directory: Path) -> SoakResult:
    """Play a seed; logs and settings of the processes stay in the directory."""
    return trio.run(Soak(seed, options, directory).run)
