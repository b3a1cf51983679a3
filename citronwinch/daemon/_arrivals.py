"""Finds how long datagrams may have waited in a socket buffer before they were read."""

import socket
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio

from citronwinch.coordination import Clock
from citronwinch.network import BATCH_LIMIT, DatagramSocket

IDLE_INTERVAL_MS = 100
"""How often an idle socket is recorded as empty, in milliseconds."""

WAIT_LIMIT_MS = 500
"""The maximum wait of a request in a socket buffer, in milliseconds.

A balancer, or an agent that does not own the flow, drops a request that may have
waited longer.
"""

BUFFERED_DATAGRAM_BYTES = 512
"""The minimum kernel memory of a buffered datagram, in bytes."""

Item = TypeVar("Item")


class ArrivalWatch:
    """Reads a socket and finds the earliest arrival time of its datagrams.

    A process that was paused finds old datagrams in its socket buffer. A datagram that
    is read now arrived after the buffer was last known to be empty. It also arrived
    after any time since which more datagrams were read than fit into the buffer. This
    class tracks the later of the two times, so that the bound stays close when a busy
    socket is never empty.
    """

    def __init__(self, datagram_socket: DatagramSocket, clock: Clock) -> None:
        self.datagram_socket = datagram_socket
        self.clock = clock
        self.earliest_ms = clock.now_ms()
        self.count_started_ms = self.earliest_ms
        self.read_count = 0
        buffer_bytes = datagram_socket.socket.getsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF
        )
        self.buffer_capacity = buffer_bytes // BUFFERED_DATAGRAM_BYTES + 1

    async def receive(
        self, read: Callable[[], Awaitable[list[Item]]]
    ) -> tuple[list[Item], int]:
        """Return the items that `read` returns, and a bound of their arrival times.

        No datagram of this read, or of a later one, arrived before that time. After
        `IDLE_INTERVAL_MS` without datagrams the list is empty.
        """
        earliest_arrival_ms = self.earliest_ms
        started_ms = self.clock.now_ms()
        items: list[Item] = []
        with trio.move_on_after(IDLE_INTERVAL_MS / 1000) as scope:
            items = await read()
        if self.datagram_socket.was_idle:
            earliest_arrival_ms = started_ms
            self._restart_count(started_ms, started_ms)
        if scope.cancelled_caught or self.datagram_socket.was_emptied:
            self._restart_count(started_ms, started_ms)
            return items, earliest_arrival_ms
        self.read_count += BATCH_LIMIT
        if self.read_count > self.buffer_capacity + BATCH_LIMIT:
            # All datagrams that were buffered at `count_started_ms` have been read.
            self._restart_count(self.count_started_ms, started_ms)
        return items, earliest_arrival_ms

    def _restart_count(self, earliest_ms: int, now_ms: int) -> None:
        self.earliest_ms = earliest_ms
        self.count_started_ms = now_ms
        self.read_count = 0


def compute_arrival_ms(earliest_arrival_ms: int, now_ms: int) -> int:
    """Return now, or the earliest arrival time if that is over `WAIT_LIMIT_MS` ago.

    The bound of an `ArrivalWatch` is somewhat too early in normal operation. Using it
    always would shorten every deadline by that time; it matters after a pause only.
    """
    return (
        earliest_arrival_ms if now_ms - earliest_arrival_ms > WAIT_LIMIT_MS else now_ms
    )
