"""The balancer and agent processes of a run, each on its own loopback address."""

import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import NamedTuple

import trio

from citronwinch.coordination import Endpoint
from citronwinch.soak import _faulty_launch
from citronwinch.soak._faulty_launch import FAULTS_VARIABLE, PEER_PORT

RESTART_DELAY_S = 0.3
"""The delay before a process that has exited is started again, in seconds."""

SETTINGS_VARIABLE = "CITRONWINCH_SOAK_SETTINGS"
"""The environment variable that holds the path of a process's settings file."""

LAUNCHER = ("-P", _faulty_launch.__file__)
"""The arguments of the interpreter that start a process with faults of its messages."""

REPOSITORY = Path(_faulty_launch.__file__).parents[2]
"""The directory from which processes import citronwinch."""

READY_PORT = 23_167
"""The HTTP port of a balancer or an agent for readiness checks."""

UNPLANNED_SIGNALS = (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT)
"""The signals that impair an instance; SIGTERM and SIGHUP are planned work."""

PACKET_PORT = 23_172
"""The port of the balancers, the links and the callers for packets."""

SERVER_PORT = 23_165
"""The port of a backend server for the packets that its agent delivers."""

OUTBOUND_PORT = 23_162
"""The port of an agent for the packets that its backend server sends."""

_COMMON_SETTINGS = """\
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


class Instance(NamedTuple):
    """A balancer or an agent of the run, with the values of its settings file."""

    name: str
    """The name of the instance."""

    role: str
    """`balancer` or `agent`."""

    ip: str
    """The IP address on which the instance listens."""

    zone: str
    """The availability zone of the instance."""

    role_settings: str
    """Sections of the settings file that only this role has."""


class Fleet:
    """Starts, signals and restarts processes; signals only those that it started."""

    def __init__(self, directory: Path, program: tuple[str, ...] = LAUNCHER) -> None:
        self.directory = directory
        self.program = program
        """The arguments of the interpreter in front of the name of the variable."""
        self.message_faults_file = directory / "message_faults"
        self.instances: dict[str, Instance] = {}
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.expected_exits: set[str] = set()
        """Names of instances that were sent SIGTERM or SIGKILL."""
        self.unexpected_exits: list[str] = []
        """Descriptions of exits without such a signal."""
        self.restart_due_s: dict[str, float] = {}
        """When the process of each exited instance is to be started again, by name."""
        self.impaired_s: dict[str, float] = {}
        """When an instance was killed, paused, continued or started after a kill, or
        had a fault of its messages, for the last time, by IP address."""
        self.killed: set[str] = set()
        """Names of instances that were killed and have not been started again."""
        self.is_closing = False
        """Whether `close` was called; exits are no longer handled then."""

    def add(self, instance: Instance) -> None:
        """Add an instance and start its process."""
        self.instances[instance.name] = instance
        self.start(instance.name)

    def remove(self, name: str) -> None:
        """Remove an instance: send SIGTERM to its process and do not restart it."""
        del self.instances[name]
        self.signal(name, signal.SIGTERM)

    def start(self, name: str) -> None:
        """Start the process of an instance; its output is appended to the log file."""
        instance = self.instances[name]
        if name in self.killed:
            self.killed.remove(name)
            self.impaired_s[instance.ip] = time.monotonic()
        file = self.directory / f"{name}.ini"
        text = _COMMON_SETTINGS.format(
            name=name,
            role=instance.role,
            zone=instance.zone,
            ip=instance.ip,
            peer_port=PEER_PORT,
            ready_port=READY_PORT,
            packet_port=PACKET_PORT,
        )
        file.write_text(text + instance.role_settings)
        with (self.directory / f"{name}.log").open("ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, *self.program, SETTINGS_VARIABLE],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env={
                    SETTINGS_VARIABLE: str(file),
                    FAULTS_VARIABLE: str(self.message_faults_file),
                    "PATH": "/usr/bin:/bin",
                    "PYTHONPATH": str(REPOSITORY),
                },
            )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to the process of an instance, if the process is running."""
        process = self.processes.get(name)
        if process is None or process.poll() is not None:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.expected_exits.add(name)
        if number == signal.SIGKILL:
            self.killed.add(name)
        if number in UNPLANNED_SIGNALS and name in self.instances:
            self.impaired_s[self.instances[name].ip] = time.monotonic()
        process.send_signal(number)

    def list_names(self, role: str) -> list[str]:
        """Return the names of the instances of a role."""
        return [
            name for name, instance in self.instances.items() if instance.role == role
        ]

    async def supervise(self) -> None:
        """Restart processes that have exited, until cancelled."""
        while True:
            await trio.sleep(0.05)
            self._handle_exited_processes()
            now_s = time.monotonic()
            due = [name for name, due_s in self.restart_due_s.items() if due_s <= now_s]
            for name in due:
                del self.restart_due_s[name]
                # The instance may have been removed during the delay.
                if name in self.instances:
                    self.start(name)

    def _handle_exited_processes(self) -> None:
        for name, process in list(self.processes.items()):
            code = process.poll()
            if code is None or self.is_closing:
                continue
            if name not in self.expected_exits:
                self.unexpected_exits.append(f"{name} ended with {code}")
            self.expected_exits.discard(name)
            del self.processes[name]
            self.restart_due_s[name] = time.monotonic() + RESTART_DELAY_S

    def close(self) -> None:
        """Kill all running processes and wait for them."""
        self.is_closing = True
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        deadline_s = time.monotonic() + 5
        for process in self.processes.values():
            process.wait(max(0.1, deadline_s - time.monotonic()))


def make_balancer(
    number: int, ip: str, zone: str, store: Endpoint, seed_ip: str
) -> Instance:
    """Return a balancer that joins the other balancers through the one at `seed_ip`."""
    role_settings = (
        f"[peers]\nseeds = {seed_ip}:{PEER_PORT}\n[store]\naddress = {store}\n"
    )
    return Instance(f"balancer-{number}", "balancer", ip, zone, role_settings)


def make_agent(number: int, ip: str, zone: str, service: str) -> Instance:
    """Return the agent of a backend server."""
    role_settings = (
        f"[server]\nservice = {service}\naddress = {ip}:{SERVER_PORT}\n"
        f"outbound = {ip}:{OUTBOUND_PORT}\n[requests]\nqueue = true\n"
    )
    return Instance(f"agent-{number}", "agent", ip, zone, role_settings)
