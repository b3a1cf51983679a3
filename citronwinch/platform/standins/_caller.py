"""A stand-in for a caller that holds flows open."""

from enum import Enum

import trio

from citronwinch.coordination import Endpoint, Flow, TransportProtocol
from citronwinch.coordination.flows import Packet
from citronwinch.network import DatagramSocket
from citronwinch.platform._packet_codec import decode_server_packet
from citronwinch.platform.standins._router import Router
from citronwinch.platform.standins._wire import (
    ACK,
    FIN,
    SYN,
    FlowEnds,
    encode_from_ends,
    read_payload,
)

OPENING_GAPS_SECONDS = (0.2, 0.4, 0.8)
"""How long the caller waits for an answer after each copy of an opening packet."""

FIRST_RESEND_GAP_SECONDS = 0.2
"""The wait before a data packet is first resent; each further wait is doubled."""

MAX_SENDS = 5
"""How often a data packet is sent at most."""


class FlowOutcome(Enum):
    """How an attempt to open a flow or to send a request ended."""

    DONE = "done"
    RESET = "reset"
    SILENCE = "silence"


class Caller:
    """Opens flows and sends requests from the ports of one address."""

    def __init__(self, address: Endpoint, router: Router) -> None:
        self.address = address
        self.router = router
        self.datagram_socket = DatagramSocket(address)
        self.inbox_senders: dict[
            tuple[int, Endpoint], trio.MemorySendChannel[Packet]
        ] = {}
        self.inboxes: dict[tuple[int, Endpoint], trio.MemoryReceiveChannel[Packet]] = {}
        self.next_sequences: dict[tuple[int, Endpoint], int] = {}
        self.acknowledged: dict[tuple[int, Endpoint], int] = {}
        """What the caller has acknowledged of each flow, by its port and service."""
        self.unmatched_packets = 0

    async def run(self) -> None:
        """Receive packets and deliver them to their flows until cancelled."""
        try:
            while True:
                for datagram in await self.datagram_socket.receive():
                    self._deliver(decode_server_packet(datagram.data))
        finally:
            self.datagram_socket.close()

    def _deliver(self, packet: Packet) -> None:
        flow = packet.flow
        for (port, service), inbox in self.inbox_senders.items():
            if flow == _key(self.address.ip, port, service):
                inbox.send_nowait(packet)
                return
        self.unmatched_packets += 1

    async def open(self, port: int, service: Endpoint) -> FlowOutcome:
        """Open a flow from a port to a service address."""
        key = (port, service)
        self.inbox_senders[key], self.inboxes[key] = trio.open_memory_channel[Packet](
            64
        )
        for count, gap in enumerate(OPENING_GAPS_SECONDS):
            self._send(port, service, SYN, 0, count)
            with trio.move_on_after(gap):
                packet = await self.inboxes[key].receive()
                if packet.is_reset:
                    return FlowOutcome.RESET
                self.acknowledged[key] = packet.sequence + 1
                self._send(port, service, ACK, 1, self.acknowledged[key])
                self.next_sequences[key] = 1
                return FlowOutcome.DONE
        return FlowOutcome.SILENCE

    async def request(
        self, port: int, service: Endpoint, payload: bytes
    ) -> tuple[FlowOutcome, bytes]:
        """Send a request on an open flow; return the outcome and the answer."""
        key = (port, service)
        sequence = self.next_sequences[key]
        for count in range(MAX_SENDS):
            # The acknowledgement is repeated in each copy, since another balancer may
            # handle the flow by then.
            acknowledged = self.acknowledged[key]
            self._send(port, service, ACK, sequence, acknowledged, payload)
            with trio.move_on_after(FIRST_RESEND_GAP_SECONDS * 2**count):
                async for packet in self.inboxes[key]:
                    if packet.is_reset:
                        return FlowOutcome.RESET, b""
                    if packet.acknowledged == sequence + len(payload):
                        self.next_sequences[key] += len(payload)
                        self.acknowledged[key] = packet.sequence + packet.payload_bytes
                        return FlowOutcome.DONE, read_payload(packet)
        return FlowOutcome.SILENCE, b""

    def close(self, port: int, service: Endpoint) -> None:
        """Send the packet that closes a flow."""
        key = (port, service)
        sequence, acknowledged = self.next_sequences[key], self.acknowledged[key]
        self._send(port, service, FIN | ACK, sequence, acknowledged)
        del self.inbox_senders[key]

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
        data = encode_from_ends(ends, flags, sequence, acknowledged, payload)
        self.datagram_socket.send(data, self.router.choose(port))


def _key(ip: str, port: int, service: Endpoint) -> bytes:
    return Flow(TransportProtocol.TCP, Endpoint(ip, port), service).key
