"""The processes of a run, each on a loopback address of its own."""

import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

import trio

from citronwinch.coordination import Endpoint

RESTART_SECONDS = 0.3
"""After how long a process that has ended is started again, in seconds."""

VARIABLE = "CITRONWINCH_SOAK_SETTINGS"
"""The environment variable that names a process's settings file."""

PEER_PORT = 23_200
READY_PORT = 23_167
PACKET_PORT = 23_172
SERVER_PORT = 23_165
OUTBOUND_PORT = 23_162

_COMMON = """\
[instance]
name = {name}
role = {role}
availability_zone = {zone}
[listen]
ip = {ip}
peer_ports = {peer_port}
ready = {ip}:{ready_port}
packets = {ip}:{packet_port}
[stop]
timeout_s = 6
"""


class Member(NamedTuple):
    """One instance of the system."""

    name: str
    """Its name."""

    role: str
    """`balancer` or `agent`."""

    ip: str
    """Its address."""

    zone: str
    """Its availability zone."""

    extra: str
    """The settings that only its role has."""


class Fleet:
    """Starts, signals and restarts the processes; ends only those it has started."""

    def __init__(
        self, directory: Path, program: tuple[str, ...] = ("citronwinch.launch",)
    ) -> None:
        self.directory = directory
        self.program = program
        self.members: dict[str, Member] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.expected_ends: set[str] = set()
        self.ended_alone: list[str] = []
        self.restarts: dict[str, float] = {}
        self.is_closing = False

    def add(self, member: Member) -> None:
        """Add an instance and start its process."""
        self.members[member.name] = member
        self.start(member.name)

    def remove(self, name: str) -> None:
        """Take an instance away: its process is asked to end and not started again."""
        del self.members[name]
        self.signal(name, signal.SIGTERM)

    def start(self, name: str) -> None:
        """Start a process; its log goes on where an earlier run has ended."""
        member = self.members[name]
        file = self.directory / f"{name}.ini"
        text = _COMMON.format(
            name=name,
            role=member.role,
            zone=member.zone,
            ip=member.ip,
            peer_port=PEER_PORT,
            ready_port=READY_PORT,
            packet_port=PACKET_PORT,
        )
        file.write_text(text + member.extra)
        with (self.directory / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *self.program, VARIABLE],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={VARIABLE: str(file), "PATH": "/usr/bin:/bin"},
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this fleet has started."""
        process = self.processes.get(name)
        if process is None or process.poll() is not None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.expected_ends.add(name)
        process.send_signal(number)

    def list_names(self, role: str) -> list[str]:
        """Return the names of the instances of a role."""
        return [name for name, member in self.members.items() if member.role == role]

    async def supervise(self) -> None:
        """Start processes again that have ended, until cancelled."""
        while True:
            await trio.sleep(0.05)
            self._collect_ended()
            now_s = time.monotonic()
            due = [name for name, at_s in self.restarts.items() if at_s <= now_s]
            for name in due:
                del self.restarts[name]
                # An instance may have been taken away meanwhile.
                if name in self.members:
                    self.start(name)

    def _collect_ended(self) -> None:
        for name, process in list(self.processes.items()):
            code = process.poll()
            if code is None or self.is_closing:
                continue
            if name not in self.expected_ends:
                self.ended_alone.append(f"{name} ended with {code}")
            self.expected_ends.discard(name)
            del self.processes[name]
            self.restarts[name] = time.monotonic() + RESTART_SECONDS

    def close(self) -> None:
        """End every process that is left."""
        self.is_closing = True
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        deadline = time.monotonic() + 5
        for process in self.processes.values():
            process.wait(max(0.1, deadline - time.monotonic()))


def make_balancer(
    number: int, ip: str, zone: str, store: Endpoint, seed: str
) -> Member:
    """Return a balancer."""
    extra = f"[peers]\nseeds = {seed}:{PEER_PORT}\n[store]\naddress = {store}\n"
    return Member(f"balancer-{number}", "balancer", ip, zone, extra)


def make_agent(number: int, ip: str, zone: str, service: str) -> Member:
    """Return the agent beside a backend server."""
    extra = (
        f"[server]\nservice = {service}\naddress = {ip}:{SERVER_PORT}\n"
        f"outbound = {ip}:{OUTBOUND_PORT}\n"
    )
    return Member(f"agent-{number}", "agent", ip, zone, extra)
