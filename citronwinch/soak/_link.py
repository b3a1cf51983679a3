"""A simulated link from the callers to a balancer, with packet faults."""

import random
from enum import Enum

import trio

from citronwinch.coordination import Endpoint
from citronwinch.network import DatagramSocket

LOSS_SHARE = 0.3
"""The share of packets that a link with LinkFault.LOSS drops."""

MAX_DELAY_S = 0.25
"""The longest random delay of a packet or of its duplicate, in seconds.

It is longer than the time to the first retransmission of a packet, so that packets
are reordered.
"""


class LinkFault(Enum):
    """The packet fault of a link."""

    NONE = "none"
    LOSS = "loss"
    """Each packet is dropped with the probability LOSS_SHARE."""
    DELAY = "delay"
    """Each packet is delayed by up to MAX_DELAY_S."""
    DUPLICATE = "double"
    """Each packet is sent at once, and again after up to MAX_DELAY_S."""
    CUT = "cut"
    """All packets are dropped."""


class Link:
    """Forwards datagrams from callers to a balancer; answers bypass the link."""

    def __init__(self, endpoint: Endpoint, target: Endpoint, seed: int) -> None:
        self.target = target
        self.rng = random.Random(seed)
        self.fault = LinkFault.NONE
        self.datagram_socket = DatagramSocket(endpoint)

    async def run(self) -> None:
        """Forward datagrams until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    for datagram in await self.datagram_socket.receive():
                        self._forward(datagram.data, nursery)
        finally:
            self.datagram_socket.close()

    def _forward(self, data: bytes, nursery: trio.Nursery) -> None:
        if self.fault is LinkFault.CUT:
            return
        if self.fault is LinkFault.LOSS and self.rng.random() < LOSS_SHARE:
            return
        if self.fault is LinkFault.DELAY:
            nursery.start_soon(self._forward_later, data)
            return
        self.datagram_socket.send(data, self.target)
        if self.fault is LinkFault.DUPLICATE:
            nursery.start_soon(self._forward_later, data)

    async def _forward_later(self, data: bytes) -> None:
        await trio.sleep(self.rng.uniform(0, MAX_DELAY_S))
        self.datagram_socket.send(data, self.target)
