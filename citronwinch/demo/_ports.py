"""Ports for a demo beside others on the same machine."""

import errno
import socket

PORTS_NEEDED = 2
"""How many consecutive ports a demo uses on each of its addresses."""

SEARCH_LIMIT = 50
"""How many ranges are looked at before giving up."""

HIGHEST_PORT = 65_535


def choose_base_port(wanted: int = 0) -> int:
    """Return the first of the ports to be used; 0 asks for free ones.

    Raises OSError that names the port when a wanted one is taken.
    """
    if wanted:
        for port in range(wanted, wanted + PORTS_NEEDED):
            if not _is_free(port):
                raise OSError(
                    errno.EADDRINUSE,
                    f"port {port} is taken; choose another --base-port or none",
                )
        return wanted
    for _ in range(SEARCH_LIMIT):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            first: int = probe.getsockname()[1]
        needed = range(first, first + PORTS_NEEDED)
        if needed[-1] <= HIGHEST_PORT and all(_is_free(port) for port in needed):
            return first
    raise OSError(errno.EADDRINUSE, "no free ports for the demo")


def _is_free(port: int) -> bool:
    """Return whether a port can be used on any address, over TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("", port))
            except OSError:
                return False
    return True
