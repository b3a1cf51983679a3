"""A small deployment in one event loop: daemons and stand-ins on real sockets."""

import random
import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any
from unittest import mock

import trio

from citronwinch.backend_servers import add_request_header, read_request_header
from citronwinch.coordination import (
    Endpoint,
    MonotonicClock,
    TableRow,
    TransportProtocol,
)
from citronwinch.coordination.requests import (
    PACKET_LIFETIME_MS,
    RequestKind,
    RequestMetadata,
)
from citronwinch.daemon import create_process
from citronwinch.daemon._status import find_unready_reason
from citronwinch.network import serve
from citronwinch.operators import format_table, parse_settings
from citronwinch.standins import (
    BackendServerSettings,
    BackendServerStandin,
    FabricStandin,
    PlatformStandin,
)

KEY_HEX = "5a" * 32
READY_TIMEOUT_SECONDS = 10
SETTLING_MS = PACKET_LIFETIME_MS + 1_000
ANSWER_TIMEOUT_SECONDS = 2
SERVICES = {"gauging": ("gauging-1", "gauging-2"), "reporting": ("reporting-1",)}
BALANCERS = ("balancer-1", "balancer-2")


class Deployment:
    """The daemons and stand-ins of a deployment on one host address."""

    def __init__(self, host: str) -> None:
        self.host = host
        self.free_endpoints = iter(find_free_endpoints(host, 40))
        self.platform_address = next(self.free_endpoints)
        self.return_address = next(self.free_endpoints)
        self.service_addresses = {name: next(self.free_endpoints) for name in SERVICES}
        self.platform = PlatformStandin()
        self.fabric = FabricStandin(
            list(self.service_addresses.values()), self.return_address, seed=1
        )
        self.rows = [
            TableRow(
                service,
                TransportProtocol.UDP,
                self.service_addresses[service],
                server,
                next(self.free_endpoints),
                "tas-south-a",
                100,
                2_000,
            )
            for service, servers in SERVICES.items()
            for server in servers
        ]
        self.servers = {row.backend_server: self.make_server(row) for row in self.rows}
        names = [*BALANCERS, *self.servers]
        self.addresses = {
            name: tuple(next(self.free_endpoints) for _ in range(3)) for name in names
        }
        self.processes: dict[str, Any] = {
            name: self.make_process(name) for name in names
        }
        self.rng = random.Random(1)

    def make_server(self, row: TableRow) -> BackendServerStandin:
        settings = BackendServerSettings(
            row.backend_server, row.service, row.backend_server_address
        )
        return BackendServerStandin(settings, MonotonicClock())

    def make_process(self, name: str) -> Any:
        return create_process(parse_settings(self.make_settings(name), name).ok)

    def make_settings(self, name: str) -> str:
        is_balancer = name in BALANCERS
        peers, http, fabric = self.addresses[name]
        return f"""\
[instance]
name = {name}
role = {"balancer" if is_balancer else "agent"}
availability_zone = tas-south-a
[listen]
peers = {peers}
http = {http}
{f"fabric = {fabric}" if is_balancer else ""}
[platform]
configuration = {self.platform_address}
instances = {self.platform_address}
[fabric]
return = {self.return_address}
[keys]
current = {KEY_HEX}
"""

    def list_instances(self) -> list[dict[str, str]]:
        return [
            {
                "name": name,
                "role": "balancer" if name in BALANCERS else "agent",
                "availability_zone": "tas-south-a",
                "address": str(addresses[0]),
                "http_address": str(addresses[1]),
                "fabric_address": str(addresses[2]),
                "state": "live",
            }
            for name, addresses in self.addresses.items()
        ]

    def count(self, name: str) -> int:
        """Return the sum of a counter over all processes and labels."""
        return sum(
            value
            for process in self.processes.values()
            for key, value in process.metrics.counters.items()
            if key[0] == name
        )

    async def start(self, nursery: trio.Nursery) -> None:
        nursery.start_soon(serve, self.platform_address, self.platform.handle)
        nursery.start_soon(self.fabric.receive_answers)
        nursery.start_soon(self.fabric.watch_instances, self.platform_address)
        for address in self.service_addresses.values():
            nursery.start_soon(self.fabric.receive_from_callers, address)
        for server in self.servers.values():
            nursery.start_soon(server.run)
        for process in self.processes.values():
            nursery.start_soon(process.run)
        self.platform.publish_instances(self.list_instances())
        assert not self.platform.publish_table(format_table(self.rows))
        with trio.fail_after(READY_TIMEOUT_SECONDS):
            while not self.is_ready():
                await trio.sleep(0.02)

    def is_ready(self) -> bool:
        return bool(self.fabric.balancers) and all(
            not find_unready_reason(process.read_status())
            for process in self.processes.values()
        )


class DeploymentCaller:
    """A caller with one flow to a service."""

    def __init__(self, deployment: Deployment, service: str) -> None:
        self.deployment = deployment
        self.service = service
        family = socket.AF_INET6 if ":" in deployment.host else socket.AF_INET
        self.socket = trio.socket.socket(family, socket.SOCK_DGRAM)

    async def send_request(self, text: str) -> str:
        """Send a request; return the assembled answer, or the kind of the refusal."""
        address = self.deployment.service_addresses[self.service]
        request_id = self.deployment.rng.randbytes(16)
        request = RequestMetadata(RequestKind.REQUEST, request_id, False, 2_000)
        body = f"{self.service} {text}".encode()
        await self.socket.connect((address.ip, address.port))
        await self.socket.send(add_request_header(request, body))
        parts: dict[int, bytes] = {}
        with trio.fail_after(ANSWER_TIMEOUT_SECONDS):
            while True:
                data = await self.socket.recv(65_535)
                answer = read_request_header(data)
                assert answer is not None and answer.request_id == request_id
                if answer.kind is not RequestKind.ANSWER:
                    return answer.kind.name
                parts[answer.part] = data[len(add_request_header(request, b"")) :]
                if len(parts) == answer.part_count:
                    return b"".join(parts[i] for i in sorted(parts)).decode()


@asynccontextmanager
async def run_deployment(host: str = "127.0.0.1") -> AsyncIterator[Deployment]:
    """Run a deployment until the context ends."""
    deployment = Deployment(host)
    read_original_time = MonotonicClock.now_ms

    def read_shifted_time(clock: MonotonicClock) -> int:
        return read_original_time(clock) + SETTLING_MS

    # The processes were created before the clock is set ahead, so that they need not
    # wait until requests to a previous run have expired.
    with mock.patch.object(MonotonicClock, "now_ms", read_shifted_time):
        async with trio.open_nursery() as nursery:
            await deployment.start(nursery)
            yield deployment
            nursery.cancel_scope.cancel()


def find_free_endpoints(host: str, count: int) -> list[Endpoint]:
    """Return endpoints with ports that are free for UDP and TCP, but not reserved."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    probes: list[socket.socket] = []
    endpoints: list[Endpoint] = []
    while len(endpoints) < count:
        probe = socket.socket(family, socket.SOCK_DGRAM)
        stream = socket.socket(family, socket.SOCK_STREAM)
        probes += [probe, stream]
        probe.bind((host, 0))
        try:
            stream.bind((host, probe.getsockname()[1]))
        except OSError:
            continue
        endpoints.append(Endpoint(host, probe.getsockname()[1]))
    for probe in probes:
        probe.close()
    return endpoints
