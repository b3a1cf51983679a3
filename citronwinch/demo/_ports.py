"""Chooses ports for a demo, so that several can run on the same machine."""

import errno
import random
import socket

PORT_COUNT = 3
"""The number of consecutive ports that are checked, from the base port on."""

MAX_ATTEMPTS = 50
"""The number of port ranges that are tried before the search fails."""

FIRST_PORT = 24_000
"""The lowest base port that is chosen."""

END_PORT = 32_000
"""The end of the range of base ports, below the ports that the kernel gives to other
processes, which could take a port between the choice and its use."""


def choose_base_port(requested_port: int = 0) -> int:
    """Return the base port of a demo: the requested one, or a free one if it is 0.

    Raises OSError with the port in its message if a port of the requested range is in
    use, or if no free range is found.
    """
    if requested_port:
        for port in range(requested_port, requested_port + PORT_COUNT):
            if not _is_free(port):
                raise OSError(
                    errno.EADDRINUSE,
                    f"port {port} is taken; choose another --base-port or none",
                )
        return requested_port
    for _ in range(MAX_ATTEMPTS):
        base_port = random.randrange(FIRST_PORT, END_PORT)
        if all(_is_free(port) for port in range(base_port, base_port + PORT_COUNT)):
            return base_port
    raise OSError(errno.EADDRINUSE, "no free ports for the demo")


def _is_free(port: int) -> bool:
    """Return whether the port can be bound on all addresses, for TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe_socket:
            try:
                probe_socket.bind(("", port))
            except OSError:
                return False
    return True
