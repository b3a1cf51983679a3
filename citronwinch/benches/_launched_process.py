"""Balancers and agents as processes of their own, whose only peer is the parent."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import NamedTuple

import citronwinch
from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import UNKNOWN_POSITION, Heartbeat, LoadReport
from citronwinch.flow_peers import encode_flow_message
from citronwinch.flow_peers._codec import KIND_FORWARDED, KIND_OPENING

PEER_PORT = 21_300
PACKET_PORT = 21_302
READY_PORT = 21_303
SERVER_PORT = 21_304
OUTBOUND_PORT = 21_305
STORE_PORT = 21_306

SERVICE = "gauging"
"""The service of the only backend server."""

SERVICE_ADDRESS = Endpoint("198.18.0.1", 443)
"""The service address of all flows."""

VARIABLE = "CITRONWINCH_BENCH_SETTINGS"
"""The environment variable that names the settings file."""

RECEIVE_TIMEOUT_S = 2.0
"""The timeout of a wait for one datagram."""

SETTINGS = """
[instance]
name = {role}-1
role = {role}
availability_zone = a
first_start = true
[listen]
ip = {ip}
peer_ports = {PEER_PORT}
ready = {ip}:{READY_PORT}
packets = {ip}:{PACKET_PORT}
metrics_port = 0
"""

BALANCER_SETTINGS = """
[store]
address = {store}
"""

AGENT_SETTINGS = """
[server]
service = {SERVICE}
address = {ip}:{SERVER_PORT}
outbound = {ip}:{OUTBOUND_PORT}
"""


class Addresses(NamedTuple):
    """The loopback addresses of one measurement."""

    process: str
    """The address of the balancer or agent that is measured."""

    peer: str
    """The address of its peer: the balancer of an agent, or the agent of a balancer."""

    caller: str
    """The address of all callers."""

    store: Endpoint
    """The address of the store."""


def choose_addresses(seed: int) -> Addresses:
    """Return addresses on a loopback network that the seed determines."""
    prefix = f"127.{100 + seed % 100}.9"
    store = Endpoint(f"{prefix}.1", STORE_PORT)
    return Addresses(f"{prefix}.2", f"{prefix}.3", f"{prefix}.4", store)


def format_settings(role: str, addresses: Addresses) -> str:
    """Return the settings of a balancer or agent."""
    text = SETTINGS + (BALANCER_SETTINGS if role == "balancer" else AGENT_SETTINGS)
    return text.format(
        role=role, ip=addresses.process, store=addresses.store, **globals()
    )


def format_python_path() -> str:
    """Return the path on which a process without site packages finds all modules."""
    root = Path(citronwinch.__file__).parent.parent
    packages = [path for path in sys.path if path.endswith("site-packages")]
    return os.pathsep.join([str(root), *packages])


def write_start_image(file: Path) -> None:
    """Write a start image as the build of deployments does."""
    subprocess.run(
        [sys.executable, "-S", "-m", "citronwinch.start_image", str(file)],
        env=os.environ | {"PYTHONPATH": format_python_path()},
        check=True,
    )


@contextmanager
def start_process(
    role: str,
    addresses: Addresses,
    directory: Path,
    image: Path | None = None,
    before_start: Callable[[], None] | None = None,
) -> Iterator[subprocess.Popen[bytes]]:
    """Start a balancer or agent as deployments do, and end it after the block.

    Its output is in a log file of the directory. `before_start` is called in the new
    process, before the interpreter.
    """
    file = directory / f"{role}.ini"
    file.write_text(format_settings(role, addresses))
    images = [] if image is None else [str(image)]
    with (directory / f"{role}.log").open("wb") as output:
        process = subprocess.Popen(
            [sys.executable, "-S", "-m", "citronwinch.launch", VARIABLE, *images],
            env=os.environ | {VARIABLE: str(file), "PYTHONPATH": format_python_path()},
            stdout=output,
            stderr=output,
            preexec_fn=before_start,
        )
    try:
        yield process
    finally:
        process.send_signal(signal.SIGKILL)
        process.wait()


def read_processor_ms(pid: int) -> float:
    """Return the processor time of a process's main thread, in milliseconds."""
    running_ns = Path(f"/proc/{pid}/schedstat").read_text().split()[0]
    return int(running_ns) / 1_000_000


def open_socket(endpoint: tuple[str, int]) -> socket.socket:
    """Return a UDP socket bound to an address."""
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)
    opened.bind(endpoint)
    opened.settimeout(RECEIVE_TIMEOUT_S)
    return opened


class Peers:
    """The parent's sockets: backend server, peer process and callers."""

    def __init__(self, addresses: Addresses) -> None:
        self.addresses = addresses
        self.server = open_socket((addresses.process, SERVER_PORT))
        self.peer = open_socket((addresses.peer, PEER_PORT))
        self.caller = open_socket((addresses.caller, PACKET_PORT))

    def close(self) -> None:
        """Close the sockets."""
        for opened in (self.server, self.peer, self.caller):
            opened.close()

    def restore_timeouts(self) -> None:
        """Wait for RECEIVE_TIMEOUT_S again, and discard what has arrived."""
        for opened in (self.server, self.peer, self.caller):
            opened.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    opened.recv(65_535)
            opened.settimeout(RECEIVE_TIMEOUT_S)

    def send_to_peer_socket(self, data: bytes) -> None:
        """Send a message of the peer."""
        self.peer.sendto(data, (self.addresses.process, PEER_PORT))

    def send_to_outbound(self, data: bytes) -> None:
        """Send a packet of the backend server to its agent."""
        self.server.sendto(data, (self.addresses.process, OUTBOUND_PORT))

    def send_to_balancer(self, data: bytes) -> None:
        """Send a packet of a caller to the balancer."""
        self.caller.sendto(data, (self.addresses.process, PACKET_PORT))

    def send_load_report(self) -> None:
        """Report an idle backend server as its agent does."""
        report = LoadReport(SERVICE, 0, 0, 5, 0.1, True, 0.0)
        self.send_to_peer_socket(encode_flow_message(report))

    def send_heartbeat(self) -> None:
        """Send the heartbeat of a balancer, without which an agent limits openings."""
        heartbeat = Heartbeat(1, "a", False, UNKNOWN_POSITION, 0, 0, 1, (), 1)
        self.send_to_peer_socket(encode_flow_message(heartbeat))

    def receive(self, opened: socket.socket) -> bool:
        """Receive a packet; return False if none arrives in RECEIVE_TIMEOUT_S.

        Control messages to the peer are skipped.
        """
        deadline_s = time.monotonic() + RECEIVE_TIMEOUT_S
        while time.monotonic() < deadline_s:
            try:
                data = opened.recv(65_535)
            except TimeoutError:
                return False
            if opened is not self.peer or data[0] in (KIND_FORWARDED, KIND_OPENING):
                return True
        return False
