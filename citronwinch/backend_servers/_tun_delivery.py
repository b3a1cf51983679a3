"""Delivery of TCP segments to a backend server through a layer-3 device.

A segment keeps its caller's address; only the service address is replaced by the
backend server's own address, and put back on the way out. The kernels of caller and
backend server run the connection; nothing here knows its state.
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
    """Hands TCP segments to the kernel of the backend server's instance.

    `on_reply` gets each segment that the backend server sends on a known flow, as
    the caller has to see it. Segments of other flows are counted and dropped.
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
        self.flow_of_caller: dict[Endpoint, FlowKey] = {}
        self.service_of: dict[FlowKey, Endpoint] = {}
        self.foreign_packets = 0

    def send(self, flow: FlowKey, data: bytes) -> bool:
        """Hand over a segment; return False when it was not handed over.

        The backend server tells its connections apart by the caller alone, so that
        a caller's second flow, to another service address from the same port, is
        not handed over while the first one lasts.
        """
        if flow not in self.service_of and not self.open(flow):
            return False
        try:
            return self.device.send(replace_destination(data, self.server))
        except MalformedPacketError:
            return False

    def open(self, flow: FlowKey) -> bool:
        """Remember a flow; return False when its caller's port is taken."""
        parts = unpack_flow_key(flow)
        if self.flow_of_caller.setdefault(parts.caller, flow) != flow:
            return False
        self.service_of[flow] = parts.service
        return True

    def close(self, flow: FlowKey) -> None:
        """Forget a flow."""
        if self.service_of.pop(flow, None) is not None:
            del self.flow_of_caller[unpack_flow_key(flow).caller]

    async def run(self) -> None:
        """Take what the backend server sends, until cancelled."""
        while True:
            for packet in await self.device.receive():
                self.accept(packet)
            await trio.lowlevel.checkpoint()

    def accept(self, packet: bytes) -> None:
        """Give a segment of the backend server to its flow."""
        try:
            reverse = unpack_flow_key(parse_packet(packet).flow)
            flow = self.flow_of_caller.get(reverse.service)
            if flow is None or reverse.caller != self.server:
                self.foreign_packets += 1
                return
            answer = replace_source(packet, self.service_of[flow])
        except MalformedPacketError:
            self.foreign_packets += 1
            return
        self.on_reply(Reply(flow, answer))
