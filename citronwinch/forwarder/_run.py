"""Starts a balancer or an agent from its settings."""

import gc
import socket
import sys
from collections.abc import Callable, Mapping

import trio

from citronwinch.coordination import Endpoint, InstanceRole
from citronwinch.forwarder._process import ForwarderProcess
from citronwinch.forwarder._settings import parse_forwarder_settings
from citronwinch.network import DatagramSocket
from citronwinch.operators import configure_logging

EXIT_OK = 0
"""Exit code after a requested stop."""

EXIT_SYSTEM = 1
"""Exit code if the instance lacks a required resource, such as an address to bind."""

EXIT_SETTINGS = 2
"""Exit code if the settings are invalid."""


class SocketProvider:
    """Opens UDP sockets, using those that are already bound."""

    def __init__(self, bound: Mapping[tuple[str, int], socket.socket]) -> None:
        self.bound = dict(bound)

    def open_socket(self, endpoint: Endpoint) -> DatagramSocket:
        """Return the socket of an address; raise OSError if it cannot be bound."""
        return DatagramSocket(endpoint, self.bound.pop(endpoint, None))


def run_forwarder(
    text: str,
    file: str,
    bound: Mapping[tuple[str, int], socket.socket],
    after_imports: Callable[[], None] | None = None,
) -> int:
    """Run the process that INI settings describe; return its exit code.

    `bound` maps addresses to UDP sockets that are already bound to them.
    `after_imports` is called when the modules of the role are imported.
    """
    configure_logging("json", sys.stdout)
    parsed = parse_forwarder_settings(text, file)
    if parsed.is_error():
        for problem in parsed.error:
            print(problem, file=sys.stderr)
        return EXIT_SETTINGS
    settings = parsed.ok
    socket_provider = SocketProvider(bound)
    try:
        # Imports dominate the startup time, so each role imports only what it needs.
        if settings.role is InstanceRole.BALANCER:
            from citronwinch.forwarder._balancer_process import BalancerProcess

            process: ForwarderProcess = BalancerProcess(
                settings, socket_provider.open_socket
            )
        else:
            from citronwinch.forwarder._agent_process import AgentProcess

            process = AgentProcess(settings, socket_provider.open_socket)
    except OSError as error:
        print(f"{file}: cannot listen: {error}", file=sys.stderr)
        return EXIT_SYSTEM
    if after_imports is not None:
        after_imports()
    process.watch_settings_file(file)
    # What the imports created stays for the life of the process; later collections
    # need not visit it.
    gc.freeze()
    gc.enable()
    trio.run(process.run)
    return EXIT_OK
