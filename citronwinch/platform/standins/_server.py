"""A stand-in for a backend server that answers each request in upper case."""

from typing import NamedTuple

import trio

from citronwinch.coordination import Endpoint, FlowKey, unpack_flow_key
from citronwinch.coordination.flows import Packet
from citronwinch.network import DatagramSocket
from citronwinch.platform._packet_codec import decode_caller_packet, mark_bounced
from citronwinch.platform.standins._wire import (
    ACK,
    FIN,
    RST,
    SYN,
    FlowEnds,
    encode_from_ends,
    read_payload,
)


class ServerFlowState(NamedTuple):
    """The state of a flow that the backend server holds."""

    first_sequence: int
    """The backend server's initial sequence number."""

    is_open: bool
    """Whether the caller has acknowledged that sequence number."""

    sent_bytes: int = 0
    """The length of the answers sent so far, in bytes."""

    @property
    def next_sequence(self) -> int:
        """The sequence number of the next answer."""
        return self.first_sequence + 1 + self.sent_bytes


class StandInServer:
    """Holds flows, answers requests and bounces packets of flows that it does not hold.

    An answer is the backend server's name, a colon and the request in upper case.
    """

    def __init__(self, name: str, address: Endpoint, outbound: Endpoint) -> None:
        self.name = name
        self.address = address
        self.outbound = outbound
        self.flows: dict[FlowKey, ServerFlowState] = {}
        self.answers: dict[tuple[FlowKey, int], tuple[int, bytes]] = {}
        """The sequence number and the text of each answer, by the request's flow and
        sequence number."""
        self.requests: list[tuple[FlowKey, bytes]] = []
        self.bounced_packets = 0
        self.accepts_flows = True
        self.next_sequence = 1_000

    async def run(self) -> None:
        """Serve until cancelled: packets over UDP, connection checks over TCP."""
        datagram_socket = DatagramSocket(self.address)
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._accept_connection_checks)
                while True:
                    for datagram in await datagram_socket.receive():
                        packet = decode_caller_packet(datagram.data)
                        for reply in self.handle_packet(packet):
                            datagram_socket.send(reply, self.outbound)
        finally:
            datagram_socket.close()

    async def _accept_connection_checks(self) -> None:
        await trio.serve_tcp(_close_connection, self.address.port, host=self.address.ip)

    def handle_packet(self, packet: Packet) -> list[bytes]:
        """Return the packets that the backend server sends in response to a packet."""
        flow = unpack_flow_key(packet.flow)
        ends = FlowEnds(flow.service, flow.caller)
        server_flow = self.flows.get(packet.flow)
        if packet.is_opening:
            return self._accept_opening(packet, ends, server_flow)
        if server_flow is None:
            self.bounced_packets += 1
            return [mark_bounced(packet.raw)]
        if packet.is_reset:
            del self.flows[packet.flow]
            return []
        if not server_flow.is_open:
            if packet.acknowledged != server_flow.first_sequence + 1:
                return [encode_from_ends(ends, RST, 0, 0)]
            self.flows[packet.flow] = server_flow._replace(is_open=True)
        if packet.is_finishing:
            del self.flows[packet.flow]
            sequence = server_flow.next_sequence
            return [encode_from_ends(ends, FIN | ACK, sequence, packet.sequence + 1)]
        if not packet.payload_bytes:
            return []
        return [self._answer(packet, ends)]

    def _accept_opening(
        self, packet: Packet, ends: FlowEnds, server_flow: ServerFlowState | None
    ) -> list[bytes]:
        if server_flow is None and not self.accepts_flows:
            self.bounced_packets += 1
            return [mark_bounced(packet.raw)]
        if server_flow is None:
            self.next_sequence += 1_000
            server_flow = self.flows[packet.flow] = ServerFlowState(
                self.next_sequence, False
            )
        return [
            encode_from_ends(
                ends, SYN | ACK, server_flow.first_sequence, packet.sequence + 1
            )
        ]

    def _answer(self, packet: Packet, ends: FlowEnds) -> bytes:
        """Execute a request once; a retransmission gets the stored answer."""
        key = (packet.flow, packet.sequence)
        if key not in self.answers:
            payload = read_payload(packet)
            self.requests.append((packet.flow, payload))
            answer = self.name.encode() + b":" + payload.upper()
            server_flow = self.flows[packet.flow]
            self.answers[key] = server_flow.next_sequence, answer
            self.flows[packet.flow] = server_flow._replace(
                sent_bytes=server_flow.sent_bytes + len(answer)
            )
        sequence, answer = self.answers[key]
        acknowledged = packet.sequence + packet.payload_bytes
        return encode_from_ends(ends, ACK, sequence, acknowledged, answer)


async def _close_connection(stream: trio.SocketStream) -> None:
    await stream.aclose()
