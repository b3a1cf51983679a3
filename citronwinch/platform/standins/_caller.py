"""A stand-in for a caller that keeps flows open."""

from enum import Enum

import trio

from citronwinch.coordination import Endpoint, Flow, TransportProtocol
from citronwinch.coordination.flows import Packet
from citronwinch.network import DatagramPort
from citronwinch.platform._packet_codec import decode_server_packet
from citronwinch.platform.standins._router import Router
from citronwinch.platform.standins._wire import (
    ACK,
    FIN,
    SYN,
    FlowEnds,
    read_payload,
    write_packet,
)

OPENING_GAPS_SECONDS = (0.2, 0.4, 0.8)
"""The time after each copy of an opening packet."""

RESEND_SECONDS = 0.2
"""The first gap between copies of a data packet; it doubles."""

TRIES = 5
"""How often a data packet is sent."""


class FlowOutcome(Enum):
    """How an attempt ended."""

    DONE = "done"
    RESET = "reset"
    SILENCE = "silence"


class Caller:
    """One address from which flows are opened."""

    def __init__(self, address: Endpoint, router: Router) -> None:
        self.address = address
        self.router = router
        self.port = DatagramPort(address)
        self.received: dict[tuple[int, Endpoint], trio.MemorySendChannel[Packet]] = {}
        self.inboxes: dict[tuple[int, Endpoint], trio.MemoryReceiveChannel[Packet]] = {}
        self.positions: dict[tuple[int, Endpoint], int] = {}
        self.foreign = 0

    async def run(self) -> None:
        """Receive until cancelled."""
        try:
            while True:
                for datagram in await self.port.receive():
                    self._sort(decode_server_packet(datagram.data))
        finally:
            self.port.close()

    def _sort(self, packet: Packet) -> None:
        flow = packet.flow
        for (port, service), inbox in self.received.items():
            if flow == _key(self.address.ip, port, service):
                inbox.send_nowait(packet)
                return
        self.foreign += 1

    async def open(self, port: int, service: Endpoint) -> FlowOutcome:
        """Open a flow from a port to a service address."""
        key = (port, service)
        self.received[key], self.inboxes[key] = trio.open_memory_channel[Packet](64)
        for count, gap in enumerate(OPENING_GAPS_SECONDS):
            self._send(port, service, SYN, 0, count)
            with trio.move_on_after(gap):
                packet = await self.inboxes[key].receive()
                if packet.is_reset:
                    return FlowOutcome.RESET
                self._send(port, service, ACK, 1, packet.sequence + 1)
                self.positions[key] = 1
                return FlowOutcome.DONE
        return FlowOutcome.SILENCE

    async def request(
        self, port: int, service: Endpoint, payload: bytes
    ) -> tuple[FlowOutcome, bytes]:
        """Send a request on an open flow and return its answer."""
        key = (port, service)
        position = self.positions[key]
        for count in range(TRIES):
            # What was accepted stays acknowledged, also to a flow's new balancer.
            self._send(port, service, ACK, position, 1, payload)
            with trio.move_on_after(RESEND_SECONDS * 2**count):
                async for packet in self.inboxes[key]:
                    if packet.is_reset:
                        return FlowOutcome.RESET, b""
                    if packet.acknowledged == position + len(payload):
                        self.positions[key] += len(payload)
                        return FlowOutcome.DONE, read_payload(packet)
        return FlowOutcome.SILENCE, b""

    def close(self, port: int, service: Endpoint) -> None:
        """Finish a flow."""
        self._send(port, service, FIN | ACK, self.positions[(port, service)], 1)
        del self.received[(port, service)]

    def _send(
        self,
        port: int,
        service: Endpoint,
        flags: int,
        sequence: int,
        acknowledged: int,
        payload: bytes = b"",
    ) -> None:
        ends = FlowEnds(Endpoint(self.address.ip, port), service)
        data = write_packet(ends, flags, sequence, acknowledged, payload)
        self.port.send(data, self.router.choose(port))


def _key(ip: str, port: int, service: Endpoint) -> bytes:
    return Flow(TransportProtocol.TCP, Endpoint(ip, port), service).key
