"""Starts a balancer or an agent from its settings."""

import socket
import sys
from collections.abc import Mapping

import trio

from citronwinch.coordination import Endpoint, InstanceRole
from citronwinch.forwarder._process import ForwarderProcess
from citronwinch.forwarder._settings import parse_forwarder_settings
from citronwinch.network import DatagramPort
from citronwinch.operators import configure_logging

EXIT_OK = 0
"""Exit code after a requested stop."""

EXIT_SYSTEM = 1
"""Exit code when the instance does not give what is needed, such as an address."""

EXIT_SETTINGS = 2
"""Exit code when the settings are not usable."""


class PortSource:
    """Gives out sockets that are bound already, or binds new ones."""

    def __init__(self, bound: Mapping[tuple[str, int], socket.socket]) -> None:
        self.bound = dict(bound)

    def take(self, endpoint: Endpoint) -> DatagramPort:
        """Return the port of an address; raise OSError when it cannot be bound."""
        return DatagramPort(endpoint, self.bound.pop(endpoint, None))


def run_forwarder(
    text: str, file: str, bound: Mapping[tuple[str, int], socket.socket]
) -> int:
    """Run the process that INI settings describe; return its exit code.

    `bound` holds UDP sockets by address that were bound before.
    """
    configure_logging("json", sys.stdout)
    parsed = parse_forwarder_settings(text, file)
    if parsed.is_error():
        for problem in parsed.error:
            print(problem, file=sys.stderr)
        return EXIT_SETTINGS
    settings = parsed.ok
    ports = PortSource(bound)
    try:
        # Each role imports only what it needs: a start takes as long as its imports.
        if settings.role is InstanceRole.BALANCER:
            from citronwinch.forwarder._balancer_process import BalancerProcess

            process: ForwarderProcess = BalancerProcess(settings, ports.take)
        else:
            from citronwinch.forwarder._agent_process import AgentProcess

            process = AgentProcess(settings, ports.take)
    except OSError as error:
        print(f"{file}: cannot listen: {error}", file=sys.stderr)
        return EXIT_SYSTEM
    process.follow_settings_file(file)
    trio.run(process.run)
    return EXIT_OK
