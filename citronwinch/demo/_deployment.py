"""Names, addresses and settings files of a deployment on loopback."""

from pathlib import Path
from typing import NamedTuple

import orjson

from citronwinch.coordination import Endpoint, TableRow, TransportProtocol
from citronwinch.operators import format_table

KEY_HEX = "5a" * 32
"""The authentication key that all instances of the demo share."""


class ServiceShape(NamedTuple):
    """The size of a service in a deployment."""

    name: str
    """The name of the service."""

    backend_servers: int
    """The number of backend servers of the service."""


class DeploymentShape(NamedTuple):
    """The services and availability zones of a deployment."""

    name: str
    """The name of the deployment."""

    zones: tuple[str, ...]
    """The names of the availability zones."""

    services: tuple[ServiceShape, ...]
    """The services of the deployment."""


DERWENT = DeploymentShape(
    "derwent",
    ("tas-south-a", "tas-south-b", "tas-south-c"),
    (ServiceShape("gauging", 7), ServiceShape("reporting", 3)),
)
"""Tank gauging: three availability zones, two services."""

NAUTICA = DeploymentShape(
    "nautica",
    ("centro-sur-a", "centro-sur-b", "centro-sur-c"),
    (ServiceShape("dock", 7), ServiceShape("gallery", 3)),
)
"""Boat sales: three availability zones, two services."""

DEPLOYMENTS = {shape.name: shape for shape in (DERWENT, NAUTICA)}
"""The deployments by name."""

CONNECTION_LIMIT = 2_000
"""The connection limit of each backend server."""


class Deployment:
    """The addresses and files of a deployment whose ports start at `base_port`.

    Each kind of process has its own address range in 127.0.0.0/8, so that all
    processes can use the same ports.
    """

    def __init__(self, shape: DeploymentShape, directory: Path, base_port: int) -> None:
        self.shape = shape
        self.directory = directory
        self.base_port = base_port
        self.platform = Endpoint("127.0.0.1", base_port)
        self.fabric_return = Endpoint("127.0.0.1", base_port + 1)
        self.rows: list[TableRow] = self.make_rows()

    def make_rows(self) -> list[TableRow]:
        """Return the initial table of the deployment."""
        rows: list[TableRow] = []
        for number, service in enumerate(self.shape.services):
            address = Endpoint(f"127.0.1.{number + 1}", self.base_port)
            for i in range(service.backend_servers):
                rows.append(
                    TableRow(
                        service.name,
                        TransportProtocol.UDP,
                        address,
                        f"{service.name}-{i + 1}",
                        Endpoint(f"127.0.2.{len(rows) + 1}", self.base_port),
                        self.shape.zones[i % len(self.shape.zones)],
                        100,
                        CONNECTION_LIMIT,
                    )
                )
        return rows

    def service_address(self, service: str) -> Endpoint:
        """Return the address to which callers of a service send."""
        return next(r.service_address for r in self.rows if r.service == service)

    def agent_address(self, backend_server: str) -> Endpoint:
        """Return the peer address of the agent of a backend server."""
        number = self.find_row_index(backend_server)
        return Endpoint(f"127.0.3.{number + 1}", self.base_port)

    def http_address(self, name: str) -> Endpoint:
        """Return the address at which a balancer or an agent serves HTTP."""
        if name.startswith("balancer-"):
            return Endpoint(f"127.0.4.{name.rpartition('-')[2]}", self.base_port + 1)
        return Endpoint(self.agent_address(name).ip, self.base_port + 1)

    def server_http_address(self, backend_server: str) -> Endpoint:
        """Return the address at which a backend server serves HTTP."""
        number = self.find_row_index(backend_server)
        return Endpoint(f"127.0.2.{number + 1}", self.base_port + 1)

    def find_row_index(self, backend_server: str) -> int:
        """Return the index of a backend server in the initial table."""
        names = [row.backend_server for row in self.make_rows()]
        return names.index(backend_server)

    def write_table(self, rows: list[TableRow]) -> None:
        """Write the table to the directory that the platform stand-in serves."""
        self.rows = rows
        replace_file(self.directory / "table.csv", format_table(rows).encode())

    def write_instances(
        self, balancers: dict[str, str], agents: dict[str, str]
    ) -> None:
        """Write the list of instances that the platform stand-in serves."""
        instances = []
        for name, state in balancers.items():
            ip = self.http_address(name).ip
            instances.append(
                {
                    "name": name,
                    "role": "balancer",
                    "availability_zone": self.zone_of(name),
                    "address": f"{ip}:{self.base_port}",
                    "fabric_address": f"{ip}:{self.base_port + 2}",
                    "http_address": str(self.http_address(name)),
                    "state": state,
                }
            )
        for name, state in agents.items():
            instances.append(
                {
                    "name": name,
                    "role": "agent",
                    "availability_zone": self.zone_of(name),
                    "address": str(self.agent_address(name)),
                    "http_address": str(self.http_address(name)),
                    "state": state,
                }
            )
        replace_file(self.directory / "instances.json", orjson.dumps(instances))

    def zone_of(self, name: str) -> str:
        """Return the availability zone of an instance, derived from its number."""
        zones = self.shape.zones
        return zones[(int(name.rpartition("-")[2]) - 1) % len(zones)]

    def write_settings(self, name: str) -> Path:
        """Write the settings file of a balancer or an agent and return its path."""
        is_balancer = name.startswith("balancer-")
        ip = self.http_address(name).ip
        lines = [
            "[instance]",
            f"name = {name}",
            f"role = {'balancer' if is_balancer else 'agent'}",
            f"availability_zone = {self.zone_of(name)}",
            "[listen]",
            f"peers = {ip}:{self.base_port}",
            f"http = {ip}:{self.base_port + 1}",
            *([f"fabric = {ip}:{self.base_port + 2}"] if is_balancer else []),
            "[platform]",
            f"configuration = {self.platform}",
            f"instances = {self.platform}",
            "[fabric]",
            f"return = {self.fabric_return}",
            "[keys]",
            f"current = {KEY_HEX}",
            "",
        ]
        path = self.directory / f"{name}.ini"
        path.write_text("\n".join(lines))
        return path


def replace_file(path: Path, data: bytes) -> None:
    """Replace a file atomically, so that no reader gets incomplete content."""
    temporary = path.with_suffix(".new")
    temporary.write_bytes(data)
    temporary.rename(path)
