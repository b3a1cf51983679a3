"""Transfers data over kernel TCP connections through balancers and an agent.

Run as root: `python -m citronwinch.demo._kernel_tcp`. The sockets of the caller and of
the backend server are in two network namespaces that only the balancers and the agent
connect. During the transfers, the table is edited and the fabric stops using one of
the two balancers.
"""

import ctypes
import hashlib
import json
import os
import random
import socket
import subprocess
import threading
from typing import Any

import trio

from citronwinch.backend_servers import TunDevice
from citronwinch.coordination import Endpoint, TableRow, TransportProtocol
from citronwinch.daemon import create_process
from citronwinch.fabric import GeneveFrame, decode_frame, encode_frame
from citronwinch.network import DatagramSocket, serve
from citronwinch.operators import format_table, parse_settings
from citronwinch.standins import PlatformStandin

CALLER_IP = "203.0.113.5"
SERVICE = Endpoint("192.0.2.10", 5_000)
SERVER = Endpoint("10.20.1.10", 5_001)
LOOPBACK = "127.0.0.1"
PLATFORM = Endpoint(LOOPBACK, 8_080)
FABRIC_RETURN = Endpoint(LOOPBACK, 8_081)
CONNECTIONS = 4
"""The number of connections, with one transfer each."""

TRANSFER_BYTES = 1 << 20
"""The size of a transfer in each direction, in bytes."""

CHUNK_BYTES = 16_384
"""The size limit of one read from a socket, in bytes."""

TIMEOUT_S = 60
"""The timeout of the start of all processes, and of each socket call of a caller."""

INSTANCE_NAMES = ("balancer-1", "balancer-2", "gauging-1")

_CLONE_NEWNET = 0x40000000


def enter_new_namespace() -> None:
    """Move this thread into a new network namespace."""
    libc = ctypes.CDLL(None, use_errno=True)
    if libc.unshare(_CLONE_NEWNET):
        raise OSError(
            ctypes.get_errno(), "cannot create a network namespace; run as root"
        )
    run_ip("link set lo up")


def run_ip(command: str) -> None:
    """Run a command of the ip tool in the network namespace of this thread."""
    subprocess.run(["ip", *command.split()], check=True)


def make_settings(name: str, number: int) -> str:
    """Return the content of the settings file of a balancer or an agent."""
    is_agent = name.startswith("gauging")
    port = 9_000 + 10 * number
    return f"""
[instance]
name = {name}
role = {"agent" if is_agent else "balancer"}
availability_zone = tas-south-a
[listen]
peers = {LOOPBACK}:{port}
http = {LOOPBACK}:{port + 1}
{"" if is_agent else f"fabric = {LOOPBACK}:{port + 2}"}
[platform]
configuration = {PLATFORM}
instances = {PLATFORM}
[fabric]
return = {FABRIC_RETURN}
[keys]
current = {"5a" * 32}
[delivery]
{"tun_device = tun0" if is_agent else ""}
"""


def echo(listener: socket.socket) -> None:
    """Accept connections and echo the data of each until it closes."""

    def echo_connection(connection: socket.socket) -> None:
        with connection:
            while data := connection.recv(CHUNK_BYTES):
                connection.sendall(data)

    while True:
        connection, _ = listener.accept()
        threading.Thread(
            target=echo_connection, args=(connection,), daemon=True
        ).start()


def transfer(connection: socket.socket, seed: int) -> bool:
    """Send random data over a connection; return whether it came back unchanged."""
    data = random.Random(seed).randbytes(TRANSFER_BYTES)
    connection.settimeout(TIMEOUT_S)
    connection.connect((SERVICE.ip, SERVICE.port))
    sender = threading.Thread(target=lambda: connection.sendall(data), daemon=True)
    sender.start()
    received = bytearray()
    while len(received) < TRANSFER_BYTES:
        chunk = connection.recv(CHUNK_BYTES)
        if not chunk:
            return False
        received += chunk
    connection.close()
    return hashlib.sha256(received).digest() == hashlib.sha256(data).digest()


class KernelTcpRun:
    """Runs balancers, an agent, the platform and a fabric between two namespaces."""

    def __init__(self, device: TunDevice, connections: list[socket.socket]) -> None:
        self.device = device
        self.connections = connections
        self.rng = random.Random(1)
        self.return_socket = DatagramSocket(FABRIC_RETURN)
        self.platform = PlatformStandin()
        self.processes: dict[str, Any] = {
            name: create_process(parse_settings(make_settings(name, i), name).ok)
            for i, name in enumerate(INSTANCE_NAMES)
        }
        self.balancers = ["balancer-1", "balancer-2"]
        self.results: list[bool] = []
        """Whether the data of each finished transfer came back unchanged."""

    async def spray(self) -> None:
        """Send each packet from the caller's kernel to a random balancer."""
        while True:
            for packet in await self.device.receive():
                balancer = self.processes[self.rng.choice(self.balancers)]
                frame = encode_frame(GeneveFrame(packet))
                self.return_socket.send(frame, balancer.fabric.endpoint)

    async def deliver_to_caller(self) -> None:
        """Deliver returned packets to the caller's kernel."""
        while True:
            for datagram in await self.return_socket.receive():
                self.device.send(decode_frame(datagram.data).packet)

    def publish_row(self, connection_limit: int) -> None:
        """Publish a table with a single backend server."""
        tcp = TransportProtocol.TCP
        row = TableRow(
            "gauging", tcp, SERVICE, "gauging-1", SERVER, "a", 100, connection_limit
        )
        problems = self.platform.publish_table(format_table([row]))
        assert not problems, problems

    async def run(self) -> dict[str, Any]:
        """Run all transfers and return the outcome."""
        instances = [
            {
                "name": name,
                "role": "agent" if name.startswith("gauging") else "balancer",
                "availability_zone": "a",
                "address": str(process.peers.datagram_socket.endpoint),
                "state": "live",
            }
            for name, process in self.processes.items()
        ]
        self.platform.publish_instances(instances)
        self.publish_row(2_000)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(serve, PLATFORM, self.platform.handle)
            for process in self.processes.values():
                nursery.start_soon(process.run)
            nursery.start_soon(self.spray)
            nursery.start_soon(self.deliver_to_caller)
            await self.wait_ready()
            async with trio.open_nursery() as transfers:
                for i, connection in enumerate(self.connections):
                    transfers.start_soon(self.transfer, connection, i)
                await trio.sleep(0.2)
                self.publish_row(1_000)
                self.balancers.remove("balancer-1")
            counters = self.processes["gauging-1"].metrics.counters
            segments = counters[("packets_delivered_total", "")]
            nursery.cancel_scope.cancel()
        return {
            "connections": len(self.connections),
            "whole": sum(self.results),
            "bytes_each_way": TRANSFER_BYTES,
            "segments_to_backend_server": segments,
            "table_revision": self.platform.revision,
        }

    async def wait_ready(self) -> None:
        """Wait until each balancer and agent is ready and has the list of instances."""
        with trio.fail_after(TIMEOUT_S):
            while any(
                process.read_status().state != "ready" or not process.instances
                for process in self.processes.values()
            ):
                await trio.sleep(0.05)

    async def transfer(self, connection: socket.socket, seed: int) -> None:
        """Run a transfer in a worker thread."""
        self.results.append(await trio.to_thread.run_sync(transfer, connection, seed))


def main() -> int:
    """Run the transfers; print the outcome as JSON."""
    enter_new_namespace()
    device = TunDevice("fab0")
    for command in (
        f"addr add {CALLER_IP}/32 dev fab0",
        "link set fab0 up mtu 1400",
        "route add default dev fab0",
    ):
        run_ip(command)
    connections = [socket.socket(socket.AF_INET) for _ in range(CONNECTIONS)]
    enter_new_namespace()
    for command in (
        f"addr add {SERVER.ip}/32 dev lo",
        "tuntap add dev tun0 mode tun",
        "link set tun0 up mtu 1400",
        "route add default dev tun0",
    ):
        run_ip(command)
    listener = socket.create_server((SERVER.ip, SERVER.port))
    threading.Thread(target=echo, args=(listener,), daemon=True).start()
    result = trio.run(KernelTcpRun(device, connections).run)
    print(json.dumps(result, indent=2))
    return os.EX_OK if result["whole"] == result["connections"] else 1


if __name__ == "__main__":
    raise SystemExit(main())
