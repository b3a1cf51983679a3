"""Starts a balancer or an agent, binding its sockets before the other imports.

Imports take longer than the rest of the startup. With the sockets bound first,
datagrams that arrive meanwhile are queued in the kernel instead of being lost, so that
callers need not resend them. This module imports only what is needed to bind the
sockets.
"""

import configparser
import gc
import os
import signal
import socket
import sys

BUFFER_BYTES = 4 << 20
"""The requested size of a socket's kernel receive buffer, in bytes."""


def bind_early(text: str) -> dict[tuple[str, int], socket.socket]:
    """Bind the UDP sockets that the settings name, and return them by address.

    Addresses that cannot be parsed or bound are left out. The settings are validated,
    and errors reported, after the imports.
    """
    parser = configparser.ConfigParser(interpolation=None, strict=False)
    try:
        parser.read_string(text)
        ip = parser["listen"]["ip"]
        peer_port = parser["listen"]["peer_ports"].partition(",")[0]
        packets = parser["listen"]["packets"]
        packets = parser.get("server", "outbound", fallback=packets)
        addresses = [(ip, int(peer_port)), _split_address(packets)]
    except (configparser.Error, KeyError, ValueError):
        return {}
    bound = {}
    for address in addresses:
        bound_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
            bound_socket.bind(address)
            bound[address] = bound_socket
        except OSError:
            bound_socket.close()
    return bound


def _split_address(text: str) -> tuple[str, int]:
    ip, _, port = text.strip().rpartition(":")
    return ip, int(port)


def main(arguments: list[str]) -> int:
    """Run the process whose settings file the given environment variable names."""
    # SIGHUP requests a reload. It must not end the process before the handler is set.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if len(arguments) != 1:
        print("usage: python3 -m citronwinch.launch VARIABLE", file=sys.stderr)
        return 2
    file = os.environ.get(arguments[0])
    if not file:
        print(f"{arguments[0]} names no settings file", file=sys.stderr)
        return 2
    try:
        with open(file, encoding="utf-8") as stream:
            text = stream.read()
    except (OSError, UnicodeDecodeError) as error:
        print(f"{file}: cannot be read: {error}", file=sys.stderr)
        return 2
    sockets = bind_early(text)
    # Collections during the imports would free nothing, but delay the start.
    gc.disable()
    from citronwinch._deferred_imports import defer_modules, skip_library_search

    defer_modules()
    with skip_library_search():
        import trio  # noqa: F401
    from citronwinch.forwarder import run_forwarder

    return run_forwarder(text, file, sockets)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
