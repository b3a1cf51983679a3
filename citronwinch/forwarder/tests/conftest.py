"""A deployment of real balancers and agents on loopback, with stand-ins around it."""

import socket
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest
import trio

from citronwinch._start_image import ImageFinder, read_image
from citronwinch.benches._launched_process import write_start_image
from citronwinch.coordination import Endpoint
from citronwinch.forwarder import parse_forwarder_settings
from citronwinch.forwarder._agent_process import AgentProcess
from citronwinch.forwarder._balancer_process import BalancerProcess
from citronwinch.forwarder._process import ForwarderProcess, StopRequested
from citronwinch.network import DatagramSocket
from citronwinch.platform.standins import (
    Caller,
    Router,
    StandInServer,
    StandInStore,
)

ROUTE_ADDRESS = Endpoint("198.18.0.1", 443)
OTHER_ROUTE_ADDRESS = Endpoint("198.18.0.2", 443)
CALLER_PORT = 21_172
PEER_PORT = 21_200
SEED_IP = "127.95.0.11"
"""The seed of the balancers that `make_balancer` returns."""
WAIT_TIMEOUT_S = 10.0
"""The timeout of a wait for a condition."""

BALANCER = """
[instance]
name = balancer-{number}
role = balancer
availability_zone = {zone}
[listen]
ip = {ip}
peer_ports = {peer_port},21215
ready = {ip}:21167
packets = {ip}:21172
[peers]
seeds = {seed}:21166
[store]
address = {store}
[limits]
link_mbps = {link_mbps}
[stop]
timeout_s = 2
"""

AGENT = """
[instance]
name = agent-{number}
role = agent
availability_zone = {zone}
first_start = {first}
[listen]
ip = {ip}
peer_ports = {peer_port},21215
ready = {ip}:21167
packets = {ip}:21172
[server]
service = {service}
address = {ip}:21165
outbound = {ip}:21162
[requests]
queue = true
[stop]
timeout_s = 2
"""


NETWORK_STEP = 16
"""The distance between the networks that `find_free_network` tries; a test run uses up
to 16 networks."""


class LoopbackDeployment:
    """Processes and stand-ins, each process on a loopback address of its own.

    `network` is the second number of all addresses, so that concurrent tests in
    different files do not receive each other's packets.
    """

    def __init__(self, nursery: trio.Nursery, network: int) -> None:
        self.nursery = nursery
        self.prefix = f"127.{network}.0"
        self.store = StandInStore(Endpoint(f"{self.prefix}.1", 21_169))
        self.router = Router({})
        self.caller = Caller(Endpoint(f"{self.prefix}.2", CALLER_PORT), self.router)
        self.servers: dict[int, StandInServer] = {}
        self.server_age_ms = 0
        self.link_mbps = 1_000
        self.directory: Path | None = None
        self.processes: dict[int, ForwarderProcess] = {}
        self.scopes: dict[int, trio.CancelScope] = {}

    def start(self) -> None:
        """Start the stand-ins."""
        routes = {ROUTE_ADDRESS: "gauging", OTHER_ROUTE_ADDRESS: "reporting"}
        self.store.write_configuration(1, routes)
        for task in (self.store.run, self.router.run, self.caller.run):
            self.nursery.start_soon(task)

    def add_balancer(self, number: int, zone: str = "a", seed: int = 11) -> None:
        """Start a balancer."""
        ip = f"{self.prefix}.{number}"
        text = self.format_balancer(number, zone, seed)
        self.router.balancers[Endpoint(ip, 21_167)] = Endpoint(ip, 21_172)
        settings = parse_forwarder_settings(text, "balancer.ini").ok
        self._start_process(number, BalancerProcess(settings))

    def format_balancer(self, number: int, zone: str = "a", seed: int = 11) -> str:
        """Return the settings of a balancer."""
        return BALANCER.format(
            number=number,
            zone=zone,
            ip=f"{self.prefix}.{number}",
            peer_port=PEER_PORT,
            seed=f"{self.prefix}.{seed}",
            store=self.store.endpoint,
            link_mbps=self.link_mbps,
        )

    def add_server(
        self, number: int, service: str = "gauging", zone: str = "a"
    ) -> None:
        """Start a backend server with its agent, and register it."""
        ip = f"{self.prefix}.{number}"
        server = StandInServer(
            f"i-{number}", Endpoint(ip, 21_165), Endpoint(ip, 21_162)
        )
        self.servers[number] = server
        self.nursery.start_soon(server.run)
        self.add_agent(number, service, zone)
        self.store.write_server(
            f"i-{number}",
            service,
            server.address,
            zone,
            started_ms=time.time_ns() // 1_000_000 - self.server_age_ms,
        )

    def add_agent(
        self,
        number: int,
        service: str = "gauging",
        zone: str = "a",
        first: bool = False,
    ) -> None:
        """Start the agent beside a backend server."""
        text = AGENT.format(
            number=number,
            zone=zone,
            ip=f"{self.prefix}.{number}",
            peer_port=PEER_PORT,
            service=service,
            first=str(first).lower(),
        )
        settings = parse_forwarder_settings(text, "agent.ini").ok
        self._start_process(number, AgentProcess(settings))

    def write_settings(self, number: int, text: str) -> None:
        """Write the settings file that a process watches."""
        assert self.directory is not None
        file = self.directory / f"{number}.ini"
        file.write_text(text)
        process = self.processes[number]
        if not process.settings_file:
            process.watch_settings_file(str(file))

    def _start_process(self, number: int, process: ForwarderProcess) -> None:
        self.processes[number] = process
        scope = self.scopes[number] = trio.CancelScope()

        async def run() -> None:
            with scope:
                try:
                    await process.run()
                finally:
                    process.close()

        self.nursery.start_soon(run)

    async def kill(self, number: int) -> None:
        """End a process without a stop request."""
        self.scopes[number].cancel()
        await trio.sleep(0.02)

    async def stop(self, number: int) -> None:
        """Request a process to stop."""
        self.processes[number].handle_event(StopRequested())

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        """Wait until a condition holds; fail after WAIT_TIMEOUT_S."""
        with trio.fail_after(WAIT_TIMEOUT_S):
            while not condition():
                await trio.sleep(0.01)

    async def wait_ready(self, balancers: int, servers: int) -> None:
        """Wait until the balancers are in rotation and know all servers and agents."""

        def is_settled() -> bool:
            live = [
                process
                for process in self.processes.values()
                if isinstance(process, BalancerProcess)
                and process.stop_requested_ms is None
            ]
            known = [
                process
                for process in live
                if len(process.view.listing.servers) == servers
                and len(process.selector.agents) >= servers
            ]
            return len(self.router.rotation) == balancers <= len(known)

        await self.wait_for(is_settled)


def find_free_network(first: int) -> int:
    """Return the first network in steps of NETWORK_STEP that no test run uses.

    A network is free if the port of its caller stand-in can be bound.
    """
    for network in range(first, 255, NETWORK_STEP):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            try:
                probe.bind((f"127.{network}.0.2", CALLER_PORT))
            except OSError:
                continue
            return network
    raise AssertionError(f"all networks from 127.{first}.0.0 on are in use")


async def start_small_deployment(
    deployment: LoopbackDeployment, balancers: int = 2
) -> None:
    for number in range(11, 11 + balancers):
        deployment.add_balancer(number)
    for number in (31, 32):
        deployment.add_server(number)
    deployment.add_server(41, "reporting")
    await deployment.wait_ready(balancers, 3)


Scenario = Callable[[LoopbackDeployment], Awaitable[None]]

RunScenario = Callable[[Scenario, int], None]
"""Runs a scenario on a network of its own."""


@pytest.fixture
def run_scenario(tmp_path: Path) -> RunScenario:
    """Return a function that runs a scenario in a deployment on a loopback network."""

    def run_on_network(scenario: Scenario, network: int) -> None:
        async def run() -> None:
            async with trio.open_nursery() as nursery:
                deployment = LoopbackDeployment(nursery, find_free_network(network))
                deployment.directory = tmp_path
                deployment.start()
                await trio.sleep(0.05)
                await scenario(deployment)
                for process in deployment.processes.values():
                    counters = process.metrics.counters
                    assert not [k for k in counters if k[0] == "internal_errors_total"]
                nursery.cancel_scope.cancel()

        trio.run(run)

    return run_on_network


@pytest.fixture
def open_sockets():
    sockets = []

    def open_socket(endpoint):
        sockets.append(DatagramSocket(endpoint._replace(ip="127.0.0.1", port=0)))
        return sockets[-1]

    yield open_socket
    for opened in sockets:
        opened.close()


def make_balancer(open_socket, ip):
    text = BALANCER.format(
        number=1,
        zone="a",
        ip=ip,
        peer_port=21_200,
        seed=SEED_IP,
        store="127.0.0.1:1",
        link_mbps=100,
    )
    return BalancerProcess(parse_forwarder_settings(text, "x").ok, open_socket)


class OwnTime:
    """Measures the time since its creation in which this thread ran or waited.

    The time in which it was ready to run, and the machine ran others, does not count:
    a bound on the rest holds on a busy machine as on an idle one. Where the kernel does
    not state that time, all time counts.
    """

    def __init__(self) -> None:
        self.started_s = time.monotonic()
        self.run_delay_s = _read_run_delay_s()

    def read_s(self) -> float:
        """Return the time until now, in seconds."""
        run_delay_s = _read_run_delay_s() - self.run_delay_s
        return time.monotonic() - self.started_s - run_delay_s


def _read_run_delay_s() -> float:
    try:
        schedstat = Path("/proc/thread-self/schedstat").read_text()
    except OSError:
        return 0.0
    return int(schedstat.split()[1]) / 1e9


@pytest.fixture(scope="session")
def image_file(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Return a start image that a process of its own has written."""
    file: Path = tmp_path_factory.mktemp("image") / "start.image"
    write_start_image(file)
    return file


@pytest.fixture(scope="session")
def image(image_file: Path) -> ImageFinder:
    """Return the modules of the start image."""
    return read_image(str(image_file))
