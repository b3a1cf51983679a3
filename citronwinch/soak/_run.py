"""Plays one seed: traffic, faults, and what was seen."""

import random
import signal
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
    StoreFault,
)
from citronwinch.soak._checks import (
    LEAVE_LIMIT_S,
    Observations,
    Violation,
    find_violations,
)
from citronwinch.soak._faults import QUIET_END_S, Fault, FaultKind, draw_faults
from citronwinch.soak._fleet import (
    OUTBOUND_PORT,
    PACKET_PORT,
    READY_PORT,
    SERVER_PORT,
    Fleet,
    make_agent,
    make_balancer,
)
from citronwinch.soak._link import Link, LinkFault

SERVICES = {
    "gauging": Endpoint("198.18.0.1", 443),
    "reporting": Endpoint("198.18.0.2", 443),
}
"""The service addresses that callers use all the time."""

EDITED_PORT = 9_000
"""The port of the first address that an edit adds."""

FLOWS_PER_SERVICE = 8
REQUEST_GAP_S = 0.15

PROBES = 15
"""The flows that are opened to see whether a leaving server gets any; three for each
server of the larger service."""

EDIT_LIMIT_S = 3.0
"""How long after an edit it must be in force everywhere, in seconds."""

LINK_OFFSET = 100
"""How far the last number of a link's address lies above that of its balancer."""

READY_LIMIT_S = 20.0
"""How long the processes may take to be ready at the start, in seconds."""

_STORE_FAULTS = {
    FaultKind.STORE_BUSY: StoreFault.BUSY,
    FaultKind.STORE_SILENT: StoreFault.SILENT,
    FaultKind.STORE_CUT: StoreFault.CUT,
    FaultKind.STORE_MALFORMED: StoreFault.MALFORMED,
    FaultKind.STORE_FORGETFUL: StoreFault.FORGETFUL,
}


_LINK_FAULTS = {
    FaultKind.LINK_LOSS: LinkFault.LOSS,
    FaultKind.LINK_DELAY: LinkFault.DELAY,
    FaultKind.LINK_DOUBLE: LinkFault.DOUBLE,
    FaultKind.LINK_CUT: LinkFault.CUT,
}


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
                    nursery.start_soon(self._play, fault)
                await trio.sleep(self.options.seconds)
                nursery.cancel_scope.cancel()
        finally:
            self.fleet.close()
        return self._make_result(faults)

    def _start(self) -> None:
        self._write_configuration()
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
            self._add_server(number, "reporting" if number % 3 == 0 else "gauging")

    def _add_server(self, number: int, service: str) -> None:
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
        self._write_server(number, "ready")

    def _write_server(self, number: int, state: str) -> None:
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

    def _write_configuration(self) -> None:
        routes = {address: service for service, address in SERVICES.items()}
        routes |= dict.fromkeys(self.added, "gauging")
        self.store.write_configuration(self.version, routes)

    async def _wait_ready(self) -> None:
        with trio.fail_after(READY_LIMIT_S):
            while len(self.router.rotation) < self.options.balancers:
                await trio.sleep(0.05)
        await trio.sleep(1.0)

    def _take_port(self) -> int:
        self.next_port += 1
        return self.next_port

    async def _keep_flow(self, service: str) -> None:
        """Keep a flow open, ask on it, and open another when it ends."""
        address = SERVICES[service]
        while True:
            port = self._take_port()
            outcome = await self._open(port, address)
            while outcome is FlowOutcome.DONE:
                outcome = await self._ask(port, service, address)
                if outcome is FlowOutcome.RESET:
                    self._note_reset(port, address)
                await trio.sleep(self.rng.uniform(0.5, 1.5) * REQUEST_GAP_S)
                if self.rng.random() < 0.03:
                    self.caller.close(port, address)
                    break
            await trio.sleep(0.05)

    async def _open(self, port: int, address: Endpoint) -> FlowOutcome:
        outcome = await self.caller.open(port, address)
        key = self._make_key(port, address)
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
        key = self._make_key(port, address)
        for server in self.servers.values():
            flow = server.flows.get(key)
            if flow is not None and flow.is_open:
                text = f"port {port} held by {server.name}"
                self.seen.resets_of_live_flows.append(text)

    def _make_key(self, port: int, address: Endpoint) -> FlowKey:
        caller = Endpoint(self.caller.address.ip, port)
        return Flow(TransportProtocol.TCP, caller, address).key

    async def _play(self, fault: Fault) -> None:
        await trio.sleep(fault.at_s)
        kind = fault.kind
        if kind in _STORE_FAULTS:
            await self._break_store(fault)
        elif kind in _LINK_FAULTS:
            await self._break_link(fault)
        elif kind is FaultKind.EDIT:
            await self._edit()
        elif kind is FaultKind.SERVER_LEAVES:
            await self._let_server_leave(fault)
        else:
            await self._signal(fault)

    async def _break_store(self, fault: Fault) -> None:
        self.store.fault = _STORE_FAULTS[fault.kind]
        with trio.move_on_after(fault.for_s):
            while True:
                self.store_failed_s = time.monotonic()
                await trio.sleep(0.05)
        self.store.fault = StoreFault.NONE

    async def _break_link(self, fault: Fault) -> None:
        link = self.links[fault.target % len(self.links)]
        link.fault = _LINK_FAULTS[fault.kind]
        with trio.move_on_after(fault.for_s):
            while True:
                self.disturbed_s = time.monotonic()
                await trio.sleep(0.05)
        link.fault = LinkFault.NONE

    async def _signal(self, fault: Fault) -> None:
        _, _, target = fault.kind.value.partition(" ")
        roles = ["balancer", "agent"] if target == "all" else [target]
        names = [name for role in roles for name in self.fleet.list_names(role)]
        if target != "all":
            names = [names[fault.target % len(names)]]
        if fault.kind is not FaultKind.RELOAD_BALANCER:
            self.disturbed_s = time.monotonic()
        for name in names:
            if "pause" in fault.kind.value:
                self.fleet.signal(name, signal.SIGSTOP)
            elif "reload" in fault.kind.value:
                self.fleet.signal(name, signal.SIGHUP)
            else:
                is_stop = "stop" in fault.kind.value
                number = signal.SIGTERM if is_stop else signal.SIGKILL
                self.fleet.signal(name, number)
        if "pause" in fault.kind.value:
            await trio.sleep(fault.for_s)
            self.fleet.signal(names[0], signal.SIGCONT)
            self.disturbed_s = time.monotonic()

    async def _edit(self) -> None:
        """Add a route and drop the one that was added before; look at both later."""
        dropped = list(self.added)
        self.version += self.rng.randint(1, 4)
        port = EDITED_PORT + self.version
        address = Endpoint("198.18.0.3", port)
        self.added = {address: time.monotonic()}
        self._write_configuration()
        edited_s = time.monotonic()
        await trio.sleep(EDIT_LIMIT_S)
        is_newest = address in self.added
        outcome = await self.caller.open(self._take_port(), address)
        old = [await self.caller.open(self._take_port(), each) for each in dropped]
        if edited_s <= max(self.store_failed_s, self.disturbed_s) or not is_newest:
            return
        if outcome is FlowOutcome.RESET:
            self.seen.stale_refusals.append(f"{address} of version {self.version}")
        if FlowOutcome.DONE in old:
            self.seen.stale_service.append(f"{dropped} after version {self.version}")

    async def _let_server_leave(self, fault: Fault) -> None:
        """Start a server, let another one of its service leave, and end that one."""
        staying = [number for number in self.services if number not in self.leaving]
        number = staying[fault.target % len(staying)]
        self._add_server(max(self.servers) + 1, self.services[number])
        self._write_server(number, "draining")
        self.leaving[number] = time.monotonic()
        await trio.sleep(LEAVE_LIMIT_S + 0.3)
        await self._probe(SERVICES[self.services[number]])
        self.store.delete(f"servers/{self.servers[number].name}")
        self.scopes[number].cancel()
        self.servers[number].flows.clear()
        self.fleet.remove(f"agent-{number}")

    async def _probe(self, address: Endpoint) -> None:
        """Open flows now, so that a server that should get none is noticed."""
        for _ in range(PROBES):
            port = self._take_port()
            if await self._open(port, address) is FlowOutcome.DONE:
                self.caller.close(port, address)

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
