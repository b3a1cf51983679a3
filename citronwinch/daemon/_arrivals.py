"""How long the datagrams of a socket may have waited before they were read."""

import socket
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from citronwinch.coordination import Clock
from citronwinch.network import BATCH_LIMIT, DatagramPort

WAKE_INTERVAL_MS = 100
"""How often the time of an idle socket is brought up to date, in milliseconds."""

WAIT_LIMIT_MS = 500
"""The longest wait in one process of a request that is passed on, in milliseconds."""

BUFFERED_DATAGRAM_BYTES = 512
"""The least kernel memory that a waiting datagram takes, in bytes."""

Item = TypeVar("Item")


class ArrivalWatch:
    """Reads a socket and tells when its datagrams can have arrived at the earliest.

    A process that was paused finds old datagrams in its socket buffer. All of them
    arrived after the buffer was last known to be empty, or after the time since
    which more datagrams were read than the buffer holds. This class keeps track of
    both, so that the bound stays close when a busy socket is never empty.
    """

    def __init__(self, port: DatagramPort, clock: Clock) -> None:
        self.port = port
        self.clock = clock
        self.emptied_ms = clock.now_ms()
        self.marked_ms = self.emptied_ms
        self.read_count = 0
        buffer_bytes = port.socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF)
        self.capacity = buffer_bytes // BUFFERED_DATAGRAM_BYTES + 1

    async def receive(
        self, read: Callable[[], Awaitable[list[Item]]]
    ) -> tuple[list[Item], int]:
        """Return what `read` gives and the earliest time at which it arrived.

        After `WAKE_INTERVAL_MS` without datagrams it returns an empty list.
        """
        arrived_ms = self.emptied_ms
        began_ms = self.clock.now_ms()
        items: list[Item] = []
        with trio.move_on_after(WAKE_INTERVAL_MS / 1000) as scope:
            items = await read()
        if self.port.was_idle:
            arrived_ms = began_ms
            self._mark(began_ms, began_ms)
        if scope.cancelled_caught or self.port.was_emptied:
            self._mark(began_ms, began_ms)
            return items, arrived_ms
        self.read_count += BATCH_LIMIT
        if self.read_count > self.capacity + BATCH_LIMIT:
            self._mark(self.marked_ms, began_ms)
        return items, arrived_ms

    def _mark(self, emptied_ms: int, now_ms: int) -> None:
        self.emptied_ms = emptied_ms
        self.marked_ms = now_ms
        self.read_count = 0


def find_arrival_ms(arrived_ms: int, now_ms: int) -> int:
    """Return the arrival time to count with: now, unless the process was held up.

    The bound of an `ArrivalWatch` is some time too early in normal operation; taking
    it as it is would cut that much off every deadline.
    """
    return arrived_ms if now_ms - arrived_ms > WAIT_LIMIT_MS else now_ms
