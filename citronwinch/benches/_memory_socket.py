"""A UDP socket in memory, to measure a process without system calls."""

from collections import deque
from typing import Any

from citronwinch.coordination import Endpoint
from citronwinch.network import DatagramSocket


class MemorySocket:
    """Has the methods of a kernel socket that `DatagramSocket` uses."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.incoming: deque[tuple[bytes, tuple[str, int]]] = deque()
        self.sent = 0

    def setblocking(self, flag: bool) -> None:
        """Do nothing: no call blocks."""

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Do nothing: there is no kernel buffer."""

    def getsockname(self) -> Endpoint:
        """Return the address."""
        return self.endpoint

    def recvfrom_into(self, buffer: memoryview) -> tuple[int, tuple[str, int]]:
        """Copy the next datagram into a buffer; return its length and its sender."""
        data, sender = self.recvfrom(len(buffer))
        buffer[: len(data)] = data
        return len(data), sender

    def recvfrom(self, limit: int) -> tuple[bytes, tuple[str, int]]:
        """Return the next datagram and its sender."""
        if not self.incoming:
            raise BlockingIOError
        return self.incoming.popleft()

    def sendto(self, data: bytes, receiver: tuple[str, int]) -> int:
        """Count a datagram."""
        self.sent += 1
        return len(data)

    def close(self) -> None:
        """Do nothing."""


def open_memory_socket(endpoint: Endpoint) -> DatagramSocket:
    """Return a datagram socket whose kernel socket is in memory."""
    bound: Any = MemorySocket(endpoint)
    return DatagramSocket(endpoint, bound)


def add_incoming(
    target: DatagramSocket, datagrams: list[bytes], sender: tuple[str, int]
) -> None:
    """Add datagrams to those that a socket in memory receives."""
    memory_socket: Any = target.socket
    assert isinstance(memory_socket, MemorySocket)
    memory_socket.incoming.extend((data, sender) for data in datagrams)
