"""The local ports of flows' sockets, derived from the flows' keys.

Two runs of an agent on one system derive the same port for a flow, so that the backend
server sees the same peer after a restart.
"""

from pathlib import Path
from typing import NamedTuple

import xxhash

from citronwinch.coordination import FlowKey

LOCAL_PORT_RANGE_PATH = Path("/proc/sys/net/ipv4/ip_local_port_range")
"""The file with the first and the last port that the system gives to local sockets.

The range applies to IPv4 and IPv6.
"""

RESERVED_PORTS_PATH = Path("/proc/sys/net/ipv4/ip_local_reserved_ports")
"""The file with the ports of that range that the system keeps for services."""

PORT_LIMIT = 65_535
"""The highest port."""


class LocalPortsError(Exception):
    """The system's ports for local sockets are unknown; the message says why."""


class LocalPorts(NamedTuple):
    """The ports from which the ports of flows' sockets are derived."""

    ranges: tuple[range, ...]
    """The ports, in ascending order; empty if no port may be derived."""

    def derive(self, flow: FlowKey) -> int:
        """Return the port of a flow; 0 without any port.

        The port depends only on the flow's key and on these ports.

        Example::

            >>> flow = FlowKey(bytes(13))
            >>> LocalPorts((range(5_000, 5_001),)).derive(flow)
            5000
            >>> LocalPorts(()).derive(flow)
            0
        """
        count = sum(map(len, self.ranges))
        index = xxhash.xxh3_64_intdigest(flow) % count if count else 0
        for ports in self.ranges:
            if index < len(ports):
                return ports[index]
            index -= len(ports)
        return 0


NO_LOCAL_PORTS = LocalPorts(())
"""No ports: the system chooses the port of each socket."""


def read_local_ports(
    range_path: Path = LOCAL_PORT_RANGE_PATH,
    reserved_path: Path = RESERVED_PORTS_PATH,
) -> LocalPorts:
    """Return the ports that the system gives to local sockets.

    Raise LocalPortsError if they cannot be read.
    """
    try:
        return parse_local_ports(range_path.read_text(), reserved_path.read_text())
    except (OSError, ValueError) as error:
        raise LocalPortsError(
            f"expected the ports for local sockets in {range_path} and "
            f"{reserved_path}: {error}"
        ) from error


def parse_local_ports(range_text: str, reserved_text: str) -> LocalPorts:
    """Parse a range and its reserved ports, as the system writes them.

    Raise ValueError if they are malformed.

    Example::

        >>> parse_local_ports("32768\\t60999", "40000,50000-50009").ranges
        (range(32768, 40000), range(40001, 50000), range(50010, 61000))
    """
    bounds = range_text.split()
    if len(bounds) != 2:
        raise ValueError(f"expected a first and a last port, found {range_text!r}")
    first, last = _parse_bounds(bounds)
    ranges = []
    parts = [part for part in reserved_text.strip().split(",") if part]
    for low, high in sorted(_parse_bounds(part.split("-")) for part in parts):
        ranges.append(range(first, min(low, last + 1)))
        first = max(first, high + 1)
    ranges.append(range(first, last + 1))
    return LocalPorts(tuple(ports for ports in ranges if ports))


def _parse_bounds(parts: list[str]) -> tuple[int, int]:
    """Return the first and the last port of a range; a single port is both."""
    numbers = [int(part) for part in parts]
    if len(numbers) > 2 or not 0 < numbers[0] <= numbers[-1] <= PORT_LIMIT:
        raise ValueError(f"expected one or two ascending ports, found {parts}")
    return numbers[0], numbers[-1]
