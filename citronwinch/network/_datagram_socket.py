"""A UDP socket that is read in batches."""

import socket
from typing import NamedTuple

import trio

from citronwinch.coordination import Endpoint

BATCH_LIMIT = 64
"""The highest number of datagrams that one read returns."""

DATAGRAM_LIMIT_BYTES = 65_535
"""The longest datagram that is read, in bytes."""

BUFFER_BYTES = 4 << 20
"""The requested size of the kernel's receive and send buffers, in bytes."""


class Datagram(NamedTuple):
    """One received datagram."""

    data: bytes
    """The payload."""

    sender: tuple[str, int]
    """The source address and port."""


class DatagramSocket:
    """A bound UDP socket from which only one task receives.

    With `bound`, an already bound socket is used instead of a new one.

    Reading in batches spreads the cost of an event loop pass over many packets.
    Sending never waits: when the kernel buffer is full, the datagram is dropped, as
    it may be on any link. `was_idle` tells whether the socket was empty when the last
    `receive` began, `was_emptied` whether the last read left it empty.
    """

    def __init__(self, endpoint: Endpoint, bound: socket.socket | None = None) -> None:
        family = socket.AF_INET6 if ":" in endpoint.ip else socket.AF_INET
        self.socket = bound or socket.socket(family, socket.SOCK_DGRAM)
        self.socket.setblocking(False)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self.socket.setsockopt(socket.SOL_SOCKET, option, BUFFER_BYTES)
        if bound is None:
            self.socket.bind((endpoint.ip, endpoint.port))
        self.endpoint = Endpoint(*self.socket.getsockname()[:2])
        # Without this buffer, each read would allocate the space for the longest
        # datagram. Sockets do not share it: they may be read in different threads.
        self.receive_view = memoryview(bytearray(DATAGRAM_LIMIT_BYTES))
        self.dropped_sends = 0
        self.receive_errors = 0
        self.was_emptied = False
        self.was_idle = False

    async def receive(self) -> list[Datagram]:
        """Wait until the socket has data and return up to BATCH_LIMIT datagrams."""
        await trio.lowlevel.checkpoint()
        batch = self.receive_nowait()
        self.was_idle = not batch
        return batch or await self._receive_when_readable()

    async def receive_next(self) -> list[Datagram]:
        """Receive like `receive`, but without updating `was_idle`.

        When the last read emptied the socket, this waits for data without trying to
        read first, which saves a system call and an event loop pass per batch.
        """
        if not self.was_emptied:
            await trio.lowlevel.checkpoint()
            batch = self.receive_nowait()
            if batch:
                return batch
        while True:
            # Not a call of `_receive_when_readable`: each coroutine adds to the cost of
            # each wake-up.
            await trio.lowlevel.wait_readable(self.socket)
            batch = self.receive_nowait()
            if batch:
                return batch

    async def _receive_when_readable(self) -> list[Datagram]:
        batch: list[Datagram] = []
        while not batch:
            await trio.lowlevel.wait_readable(self.socket)
            batch = self.receive_nowait()
        return batch

    def receive_nowait(self) -> list[Datagram]:
        """Return up to BATCH_LIMIT datagrams from the kernel buffer, possibly none."""
        batch: list[Datagram] = []
        self.was_emptied = False
        receive, view = self.socket.recvfrom_into, self.receive_view
        while len(batch) < BATCH_LIMIT:
            try:
                length, sender = receive(view)
            except BlockingIOError:
                self.was_emptied = True
                break
            except OSError:
                # The error is that of a refused datagram sent earlier; the socket stays
                # usable.
                self.receive_errors += 1
                break
            batch.append(Datagram(bytes(view[:length]), sender))
        return batch

    def send(self, data: bytes, receiver: tuple[str, int]) -> bool:
        """Send a datagram; return False when the kernel did not accept it."""
        try:
            self.socket.sendto(data, receiver)
        except OSError:
            self.dropped_sends += 1
            return False
        return True

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()
