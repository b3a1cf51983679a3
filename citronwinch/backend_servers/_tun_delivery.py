"""Delivery of TCP segments to a backend server through a layer-3 device.

A segment keeps its caller's address. The service address is replaced by the backend
server's own address on the way to the server, and restored on the way back. The
kernels of caller and backend server hold the connection's state; this module has none.
"""

from collections.abc import Callable

import trio

from citronwinch.backend_servers._delivery import Reply
from citronwinch.backend_servers._tun_device import PacketDevice
from citronwinch.coordination import Endpoint, FlowKey, unpack_flow_key
from citronwinch.fabric import (
    MalformedPacketError,
    parse_packet,
    replace_destination,
    replace_source,
)


class TunDelivery:
    """Passes TCP segments to the kernel of the backend server's instance.

    `on_reply` is called with each segment that the backend server sends on a known
    flow, with the service address as its source. Segments of other flows and malformed
    packets are dropped and counted in `dropped_packets`.
    """

    def __init__(
        self,
        server: Endpoint,
        device: PacketDevice,
        on_reply: Callable[[Reply], None],
    ) -> None:
        self.server = server
        self.device = device
        self.on_reply = on_reply
        # A flow is found by its caller alone: the segments of the backend server do not
        # contain the service address.
        self.flow_by_caller: dict[Endpoint, FlowKey] = {}
        self.service_by_flow: dict[FlowKey, Endpoint] = {}
        self.dropped_packets = 0

    def send(self, flow: FlowKey, data: bytes) -> bool:
        """Deliver a segment; return False when the segment was not delivered.

        The backend server distinguishes its connections only by the caller's address
        and port. A second flow from the same caller port to another service address
        is therefore not delivered until the first flow is closed.
        """
        if flow not in self.service_by_flow and not self.open(flow):
            return False
        try:
            return self.device.send(replace_destination(data, self.server))
        except MalformedPacketError:
            return False

    def open(self, flow: FlowKey) -> bool:
        """Register a flow; return False when another flow uses its caller's port."""
        unpacked_flow = unpack_flow_key(flow)
        if self.flow_by_caller.setdefault(unpacked_flow.caller, flow) != flow:
            return False
        self.service_by_flow[flow] = unpacked_flow.service
        return True

    def close(self, flow: FlowKey) -> None:
        """Remove a flow, so that its caller's port can be used by another flow."""
        if self.service_by_flow.pop(flow, None) is not None:
            del self.flow_by_caller[unpack_flow_key(flow).caller]

    async def run(self) -> None:
        """Handle packets from the backend server until cancelled."""
        while True:
            for packet in await self.device.receive():
                self.handle_packet(packet)
            await trio.lowlevel.checkpoint()

    def handle_packet(self, packet: bytes) -> None:
        """Call `on_reply` for a segment of a known flow; drop other packets."""
        try:
            reverse_flow = unpack_flow_key(parse_packet(packet).flow)
            flow = self.flow_by_caller.get(reverse_flow.service)
            if flow is None or reverse_flow.caller != self.server:
                self.dropped_packets += 1
                return
            segment = replace_source(packet, self.service_by_flow[flow])
        except MalformedPacketError:
            self.dropped_packets += 1
            return
        self.on_reply(Reply(flow, segment))
