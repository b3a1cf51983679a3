"""A UDP socket that is read in batches."""

import socket
from typing import NamedTuple

import trio

from citronwinch.coordination import Endpoint

BATCH_LIMIT = 64
"""The most datagrams that one read returns."""

DATAGRAM_LIMIT = 65_535
"""The longest datagram that is read, in bytes."""

BUFFER_BYTES = 4 << 20
"""The kernel buffer asked for in each direction, in bytes."""


class Datagram(NamedTuple):
    """One received datagram."""

    data: bytes
    """Its payload."""

    sender: tuple[str, int]
    """The address and port that it came from."""


class DatagramPort:
    """A bound UDP socket, owned by the one task that receives from it.

    A socket that is bound already may be handed in.

    Reading in batches keeps the cost of the event loop off the single packet.
    Sending never waits: a full kernel buffer drops the datagram, as any link may.
    `was_idle` tells whether the last `receive` found the socket empty when it began,
    `was_emptied` whether it left it empty.
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
        """Do as `receive`, but leave `was_idle` as it is.

        A socket that was emptied is not looked at before it is waited for, which saves
        a system call and a pass of the event loop for each batch.
        """
        if self.was_emptied:
            return await self._receive_when_readable()
        await trio.lowlevel.checkpoint()
        return self.receive_nowait() or await self._receive_when_readable()

    async def _receive_when_readable(self) -> list[Datagram]:
        batch: list[Datagram] = []
        while not batch:
            await trio.lowlevel.wait_readable(self.socket)
            batch = self.receive_nowait()
        return batch

    def receive_nowait(self) -> list[Datagram]:
        """Return the datagrams that are there, possibly none."""
        batch: list[Datagram] = []
        self.was_emptied = False
        receive = self.socket.recvfrom
        while len(batch) < BATCH_LIMIT:
            try:
                data, sender = receive(DATAGRAM_LIMIT)
            except BlockingIOError:
                self.was_emptied = True
                break
            except OSError:
                # An earlier datagram was refused; the socket itself is sound.
                self.receive_errors += 1
                break
            batch.append(Datagram(data, sender))
        return batch

    def send(self, data: bytes, receiver: tuple[str, int]) -> bool:
        """Send a datagram; return False when the kernel did not take it."""
        try:
            self.socket.sendto(data, receiver)
        except OSError:
            self.dropped_sends += 1
            return False
        return True

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()
