"""Observes the packets of open flows at callers and backend servers."""

import time
from typing import NamedTuple

from citronwinch.coordination import (
    Endpoint,
    Flow,
    FlowKey,
    TransportProtocol,
    unpack_flow_key,
)
from citronwinch.coordination.flows import Packet
from citronwinch.platform.standins import Caller, FlowOutcome, Router, StandInServer
from citronwinch.platform.standins._wire import ACK
from citronwinch.soak._checks import Observations

STRAY_PACKET_LIMIT = 3
"""How many packets of an open flow must not reach other servers within STRAY_PERIOD_S
while none reaches its own."""

STRAY_PERIOD_S = 2.0
"""The period for STRAY_PACKET_LIMIT, in seconds."""

NAMED_SERVERS_LIMIT = 4
"""The most servers that are named in a violation."""


class StrayPacket(NamedTuple):
    """A packet of an open flow that reached another server than its own."""

    time_s: float
    """The monotonic time, in seconds."""

    server: str
    """The name of the server."""

    holder: str
    """The name of the flow's own server."""


class FlowWatch:
    """Records resets of open flows, and packets of theirs that reach other servers."""

    def __init__(
        self, observations: Observations, impaired_s: dict[str, float]
    ) -> None:
        self.observations = observations
        self.impaired_s = impaired_s
        """When the agent of each server was impaired for the last time, by IP address;
        planned stops do not count."""
        self.servers: list[StandInServer] = []
        self.used_flows: set[FlowKey] = set()
        """The flows that the caller has opened and has not closed."""
        self.stray_packets: dict[FlowKey, list[StrayPacket]] = {}
        """Those of each flow since the last packet that reached its own server."""

    def find_holder(self, key: FlowKey) -> StandInServer | None:
        """Return the server at which a flow is open."""
        for server in self.servers:
            flow = server.flows.get(key)
            if flow is not None and flow.is_open:
                return server
        return None

    def record_reset(self, key: FlowKey) -> None:
        """Record a reset that the caller received.

        A server resets a flow only before it is open.
        """
        holder = self.find_holder(key)
        if holder is not None and key in self.used_flows:
            port = unpack_flow_key(key).caller.port
            text = f"port {port} held by {holder.name}"
            self.observations.live_flow_resets.append(text)
            self.end_stray_period(key, time.monotonic())
        self.used_flows.discard(key)

    def record_packet(
        self, server: StandInServer, packet: Packet, now_s: float
    ) -> None:
        """Record a packet that reached a server."""
        key = packet.flow
        holder = self.find_holder(key)
        if holder is None or key not in self.used_flows:
            self.stray_packets.pop(key, None)
        elif holder is server:
            self.end_stray_period(key, now_s)
        else:
            stray = StrayPacket(now_s, server.name, holder.name)
            self.stray_packets.setdefault(key, []).append(stray)

    def end_stray_period(self, key: FlowKey, now_s: float) -> None:
        """Record whether packets of a flow went astray until now.

        Copies that a balancer sends to uncertain agents in a short search do not count:
        the flow's own server gets a packet soon after. Nor do packets before the end of
        a fault of its agent, during which none can reach the own server.
        """
        strays = self.stray_packets.pop(key, [])
        holder = self.find_holder(key)
        if holder is not None:
            impaired_s = self.impaired_s.get(holder.address.ip, -1.0)
            strays = [stray for stray in strays if stray.time_s > impaired_s]
        for first, last in zip(strays, strays[STRAY_PACKET_LIMIT - 1 :], strict=False):
            is_long = now_s - first.time_s >= STRAY_PERIOD_S
            if is_long and last.time_s - first.time_s <= STRAY_PERIOD_S:
                port = unpack_flow_key(key).caller.port
                servers = sorted({stray.server for stray in strays})
                names = ", ".join(servers[:NAMED_SERVERS_LIMIT])
                text = (
                    f"port {port} held by {first.holder}, {len(strays)} packets at "
                    f"{len(servers)} others: {names}"
                )
                self.observations.astray_flows.append(text)
                return

    def end(self, now_s: float) -> None:
        """Record the flows whose packets are astray at the end of the run."""
        for key in list(self.stray_packets):
            self.end_stray_period(key, now_s)


class WatchedServer(StandInServer):
    """A backend server whose packets are observed."""

    def __init__(
        self, name: str, address: Endpoint, outbound: Endpoint, watch: FlowWatch
    ) -> None:
        super().__init__(name, address, outbound)
        self.watch = watch
        watch.servers.append(self)

    def handle_packet(self, packet: Packet) -> list[bytes]:
        """Record a packet, then return the packets sent in response to it."""
        self.watch.record_packet(self, packet, time.monotonic())
        return super().handle_packet(packet)


class WatchedCaller(Caller):
    """A caller whose resets are observed."""

    def __init__(self, address: Endpoint, router: Router, watch: FlowWatch) -> None:
        super().__init__(address, router)
        self.watch = watch

    async def open(self, port: int, service: Endpoint) -> FlowOutcome:
        """Open a flow, and have it observed when it is open."""
        outcome = await super().open(port, service)
        if outcome is FlowOutcome.DONE:
            self.watch.used_flows.add(self.make_flow_key(port, service))
        return outcome

    def close(self, port: int, service: Endpoint) -> None:
        """Close a flow, which is not observed any more."""
        self.watch.used_flows.discard(self.make_flow_key(port, service))
        super().close(port, service)

    def make_flow_key(self, port: int, service: Endpoint) -> FlowKey:
        """Return the key of the flow from a port to a service address."""
        caller = Endpoint(self.address.ip, port)
        return Flow(TransportProtocol.TCP, caller, service).key

    def _send(
        self,
        port: int,
        service: Endpoint,
        flags: int,
        sequence: int,
        acknowledged: int,
        payload: bytes = b"",
    ) -> None:
        """Send a packet that acknowledges what the caller has received before."""
        key = (port, service)
        if flags == ACK and not payload:
            self.acknowledged[key] = acknowledged
        elif flags & ACK:
            acknowledged = self.acknowledged[key]
        super()._send(port, service, flags, sequence, acknowledged, payload)

    def _deliver(self, packet: Packet) -> None:
        if packet.is_reset:
            self.watch.record_reset(packet.flow)
        super()._deliver(packet)
