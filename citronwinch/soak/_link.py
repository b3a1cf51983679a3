"""A link from callers to one balancer that loses, delays, doubles and reorders."""

import random
from enum import Enum

import trio

from citronwinch.coordination import Endpoint
from citronwinch.network import DatagramPort

LOSS_SHARE = 0.3
"""The share of packets that a lossy link drops."""

DELAY_S = 0.25
"""The longest delay of a slow link, in seconds; longer than the first gap between two
copies of a packet, so that packets overtake each other."""


class LinkFault(Enum):
    """How a link misbehaves."""

    NONE = "none"
    LOSS = "loss"
    DELAY = "delay"
    DOUBLE = "double"
    CUT = "cut"


class Link:
    """Forwards datagrams one way; answers take the direct way back."""

    def __init__(self, endpoint: Endpoint, target: Endpoint, seed: int) -> None:
        self.target = target
        self.rng = random.Random(seed)
        self.fault = LinkFault.NONE
        self.port = DatagramPort(endpoint)

    async def run(self) -> None:
        """Forward until cancelled."""
        try:
            async with trio.open_nursery() as nursery:
                while True:
                    for datagram in await self.port.receive():
                        self._forward(datagram.data, nursery)
        finally:
            self.port.close()

    def _forward(self, data: bytes, nursery: trio.Nursery) -> None:
        if self.fault is LinkFault.CUT:
            return
        if self.fault is LinkFault.LOSS and self.rng.random() < LOSS_SHARE:
            return
        if self.fault is LinkFault.DELAY:
            nursery.start_soon(self._forward_later, data)
            return
        self.port.send(data, self.target)
        if self.fault is LinkFault.DOUBLE:
            nursery.start_soon(self._forward_later, data)

    async def _forward_later(self, data: bytes) -> None:
        await trio.sleep(self.rng.uniform(0, DELAY_S))
        self.port.send(data, self.target)
