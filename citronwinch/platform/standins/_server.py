"""A stand-in for a backend server that echoes what it is sent, upper case."""

from typing import NamedTuple

import trio

from citronwinch.coordination import Endpoint, FlowKey, unpack_flow_key
from citronwinch.coordination.flows import Packet
from citronwinch.network import DatagramPort
from citronwinch.platform._packet_codec import decode_caller_packet, mark_bounced
from citronwinch.platform.standins._wire import (
    ACK,
    FIN,
    RST,
    SYN,
    FlowEnds,
    read_payload,
    write_packet,
)


class ServerFlow(NamedTuple):
    """A flow as the server holds it."""

    first_sequence: int
    """Its own first sequence number."""

    is_open: bool
    """Whether the caller has confirmed it."""


class StandInServer:
    """Holds flows, answers requests, gives back what it does not hold."""

    def __init__(self, name: str, address: Endpoint, outbound: Endpoint) -> None:
        self.name = name
        self.address = address
        self.outbound = outbound
        self.flows: dict[FlowKey, ServerFlow] = {}
        self.answered: dict[tuple[FlowKey, int], bytes] = {}
        self.requests: list[tuple[FlowKey, bytes]] = []
        self.bounced = 0
        self.accepts_flows = True
        self.next_sequence = 1_000

    async def run(self) -> None:
        """Serve until cancelled: packets over UDP, connection checks over TCP."""
        port = DatagramPort(self.address)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._serve_checks)
                while True:
                    for datagram in await port.receive():
                        packet = decode_caller_packet(datagram.data)
                        for reply in self.take(packet):
                            port.send(reply, self.outbound)
        finally:
            port.close()

    async def _serve_checks(self) -> None:
        await trio.serve_tcp(_ignore, self.address.port, host=self.address.ip)

    def take(self, packet: Packet) -> list[bytes]:
        """Return what the server sends in reaction to a packet."""
        flow = unpack_flow_key(packet.flow)
        ends = FlowEnds(flow.service, flow.caller)
        held = self.flows.get(packet.flow)
        if packet.is_opening:
            return self._accept(packet, ends, held)
        if held is None:
            self.bounced += 1
            return [mark_bounced(packet.raw)]
        if packet.is_reset:
            del self.flows[packet.flow]
            return []
        if not held.is_open:
            if packet.acknowledged != held.first_sequence + 1:
                return [write_packet(ends, RST, 0, 0)]
            self.flows[packet.flow] = held._replace(is_open=True)
        if packet.is_finishing:
            del self.flows[packet.flow]
            return [write_packet(ends, FIN | ACK, 0, packet.sequence + 1)]
        if not packet.payload_bytes:
            return []
        return [self._answer(packet, ends)]

    def _accept(
        self, packet: Packet, ends: FlowEnds, held: ServerFlow | None
    ) -> list[bytes]:
        if held is None and not self.accepts_flows:
            self.bounced += 1
            return [mark_bounced(packet.raw)]
        if held is None:
            self.next_sequence += 1_000
            held = self.flows[packet.flow] = ServerFlow(self.next_sequence, False)
        return [write_packet(ends, SYN | ACK, held.first_sequence, packet.sequence + 1)]

    def _answer(self, packet: Packet, ends: FlowEnds) -> bytes:
        """Run a request once; a retransmission gets the same answer."""
        key = (packet.flow, packet.sequence)
        if key not in self.answered:
            payload = read_payload(packet)
            self.requests.append((packet.flow, payload))
            self.answered[key] = self.name.encode() + b":" + payload.upper()
        acknowledged = packet.sequence + packet.payload_bytes
        return write_packet(ends, ACK, 1, acknowledged, self.answered[key])


async def _ignore(stream: trio.SocketStream) -> None:
    await stream.aclose()
