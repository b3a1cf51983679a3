"""The process of a balancer: forwards packets from the fabric to agents."""

import trio

from citronwinch.coordination import FlowKey, InstanceRole, Table
from citronwinch.coordination.requests import RequestKind
from citronwinch.coordination.steering import (
    BalancerSteering,
    Hint,
    MemberSilent,
    Probe,
)
from citronwinch.daemon._arrivals import WAIT_LIMIT_MS, ArrivalWatch
from citronwinch.daemon._events import (
    Event,
    FabricBatch,
    InstancesChanged,
    PeerBatch,
    Tick,
)
from citronwinch.daemon._process import DaemonProcess
from citronwinch.daemon._refusals import send_refusal
from citronwinch.fabric import (
    MalformedFrameError,
    MalformedPacketError,
    decode_frame,
    parse_packet,
)
from citronwinch.network import Datagram, DatagramSocket
from citronwinch.operators import Settings


class BalancerProcess(DaemonProcess):
    """The daemon in the role of a balancer."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        assert settings.fabric_address is not None
        self.fabric = DatagramSocket(settings.fabric_address)
        self.steering = BalancerSteering(
            settings.name, settings.flow_cache_limit, self.clock
        )

    @property
    def table(self) -> Table:
        """The table in force."""
        return self.steering.table

    @property
    def flow_count(self) -> int:
        """The number of flows with a cached owner."""
        return len(self.steering.owner_routes)

    def find_owner(self, flow: FlowKey) -> str:
        """Return the cached owner of a flow, which a hint named; empty without one."""
        route = self.steering.owner_routes.find(flow)
        return route.agent if route is not None else ""

    def list_sockets(self) -> list[DatagramSocket]:
        """Return the UDP sockets of this process."""
        return [self.peers.datagram_socket, self.fabric]

    def apply_table(self, table: Table) -> None:
        """Apply a newer table."""
        self.steering.accept_table(table)

    def start_role_tasks(self, nursery: trio.Nursery) -> None:
        """Start receiving from the fabric."""
        nursery.start_soon(self._receive_fabric)

    def is_drained(self) -> bool:
        """Return True: a balancer has no state to transfer before it stops."""
        return True

    def finish(self) -> None:
        """Send nothing: no other process waits for a balancer to stop."""

    def handle(self, event: Event) -> None:
        """Handle packets, messages of agents, changed instances and ticks."""
        if isinstance(event, FabricBatch):
            is_late = self.clock.now_ms() - event.earliest_arrival_ms > WAIT_LIMIT_MS
            for datagram in event.frames:
                self.handle_frame(datagram, is_late)
        elif isinstance(event, PeerBatch):
            for envelope in event.envelopes:
                self.steering.reachability.record_received(envelope.sender)
                if isinstance(envelope.message, Hint):
                    self.steering.accept_hint(envelope.message)
                elif isinstance(envelope.message, MemberSilent):
                    self.steering.reachability.mark_unreachable(envelope.message.agent)
        elif isinstance(event, InstancesChanged):
            self.steering.reachability.balancer_count = sum(
                instance.role is InstanceRole.BALANCER for instance in event.instances
            )
        elif isinstance(event, Tick):
            self.probe_agents()

    def probe_agents(self) -> None:
        """Probe silent agents.

        Export the number of unreachable agents and of flows whose owner is cached.
        """
        for agent in self.steering.tick():
            address = self.find_address(agent)
            if address is not None:
                self.metrics.count("probes_total")
                self.peers.send(Probe(is_answer=False), address)
        unreachable = len(self.steering.reachability.unreachable)
        self.metrics.set_gauge("agents_unreachable", unreachable)
        self.metrics.set_gauge("owners_cached", len(self.steering.owner_routes))

    def handle_frame(self, datagram: Datagram, is_late: bool = False) -> None:
        """Forward one packet to its agent; count and drop a malformed one.

        A request is dropped if it may have waited longer than `WAIT_LIMIT_MS` in the
        socket buffer, because agents rely on a limited lifetime of its copies.
        """
        try:
            frame = decode_frame(datagram.data)
            packet = parse_packet(frame.packet)
        except (MalformedFrameError, MalformedPacketError):
            self.metrics.count("packets_dropped_total", "malformed")
            return
        if is_late and frame.request is not None:
            self.metrics.count("packets_dropped_total", "late_request")
            return
        service = self.steering.find_service(packet)
        routed = self.steering.forward(packet, service) if service else None
        if routed is None:
            if frame.request is None and self.steering.may_be_established(packet):
                self.metrics.count("packets_dropped_total", "no_service")
                return
            self.metrics.count("packets_refused_total", "no_service")
            self.refuse(frame.packet, datagram)
            return
        agent, message = routed
        address = self.find_address(agent)
        if address is None:
            self.metrics.count("packets_dropped_total", "unknown_agent")
            return
        self.metrics.count("packets_forwarded_total")
        self.peers.send(message._replace(request=frame.request), address)

    def refuse(self, packet: bytes, datagram: Datagram) -> None:
        """Refuse a packet for which no agent was found.

        Another balancer with a newer table may have forwarded another copy of a
        request, so that the caller of a request gets `UNKNOWN`, not `NOT_RUN`.
        """
        request = decode_frame(datagram.data).request
        send_refusal(
            self.fabric,
            self.settings.fabric_return,
            packet,
            request,
            RequestKind.UNKNOWN,
        )

    async def _receive_fabric(self) -> None:
        watch = ArrivalWatch(self.fabric, self.clock)
        while True:
            frames, earliest_arrival_ms = await watch.receive(self.fabric.receive)
            if frames:
                await self.inbox_send.send(FabricBatch(frames, earliest_arrival_ms))
