"""The agent: decides for its backend server and delivers packets to it."""

from functools import singledispatchmethod

import trio

from citronwinch.backend_servers import Reply, UdpDelivery, read_request_header
from citronwinch.coordination import FlowKey, Table, unpack_flow_key
from citronwinch.coordination.requests import RequestMetadata
from citronwinch.coordination.steering import (
    AgentSteering,
    Deliver,
    Forward,
    PassOn,
    Refuse,
    TellBalancer,
)
from citronwinch.daemon._agent_service_levels import AgentServiceLevels
from citronwinch.daemon._events import Event, PeerBatch, ReplyArrived, Tick
from citronwinch.daemon._process import Process
from citronwinch.daemon._refusals import send_refusal, send_to_fabric
from citronwinch.fabric import (
    GeneveFrame,
    MalformedPacketError,
    build_udp,
    parse_udp,
)
from citronwinch.operators import Settings


class AgentProcess(Process):
    """The daemon in the role of an agent."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self.steering = AgentSteering(settings.name, self.clock)
        self.delivery: UdpDelivery | None = None
        self.nursery: trio.Nursery | None = None
        self.request: RequestMetadata | None = None
        self.levels = AgentServiceLevels(self.metrics.service_levels, self.clock)

    @property
    def table(self) -> Table:
        """The table in force."""
        return self.steering.table

    @property
    def flow_count(self) -> int:
        """The flows that this agent owns."""
        return len(self.steering.owned)

    def find_owner(self, flow: FlowKey) -> str:
        """Return this backend server for a flow that it holds, or who was passed it."""
        if flow in self.steering.owned:
            return self.settings.name
        return self.steering.passed_on.get(flow, "")

    def use_table(self, table: Table) -> None:
        """Decide by a newer table from now on."""
        self.steering.accept_table(table)
        row = table.row_by_backend_server.get(self.settings.name)
        self.levels.service = row.service if row is not None else self.levels.service
        if row is not None and self.delivery is None and self.nursery is not None:
            self.delivery = UdpDelivery(
                row.backend_server_address,
                self.nursery,
                self.queue_reply,
                self.break_flow,
            )

    def start_role_tasks(self, nursery: trio.Nursery) -> None:
        """Keep the nursery for the tasks of the flows."""
        self.nursery = nursery

    def is_drained(self) -> bool:
        """Whether no flow is left."""
        return not self.steering.owned

    def queue_reply(self, reply: Reply) -> None:
        """Put a reply into the inbox; count and drop it when the inbox is full."""
        try:
            self.inbox_send.send_nowait(ReplyArrived(reply))
        except trio.WouldBlock:
            self.metrics.count("replies_dropped_total")

    def handle(self, event: Event) -> None:
        """React to forwarded packets, replies and the passing of time."""
        if isinstance(event, PeerBatch):
            for envelope in event.envelopes:
                if isinstance(envelope.message, Forward):
                    self.handle_forward(envelope.message)
        elif isinstance(event, ReplyArrived):
            self.answer(event.reply)
        elif isinstance(event, Tick):
            self.end_idle_flows(event.now_ms)
            self.levels.tick(self.flow_count)

    def handle_forward(self, message: Forward) -> None:
        """Carry out what the steering decides about a packet."""
        self.request = message.request
        for action in self.steering.handle_forward(message):
            self.act(action)

    @singledispatchmethod
    def act(self, action: object) -> None:
        """Carry out one action."""
        raise TypeError(f"no such action: {type(action).__name__}")

    @act.register
    def _(self, action: Deliver) -> None:
        try:
            payload = parse_udp(action.packet).payload
        except MalformedPacketError:
            self.metrics.count("packets_dropped_total", "malformed")
            return
        if self.delivery is not None and self.delivery.send(action.flow, payload):
            self.metrics.count("packets_delivered_total")
            self.levels.packet_delivered(self.request)
        else:
            self.metrics.count("packets_dropped_total", "not_delivered")

    @act.register
    def _(self, action: PassOn) -> None:
        instance = self.instances.get(action.agent)
        if instance is None:
            self.metrics.count("packets_dropped_total", "unknown_agent")
            return
        self.metrics.count("packets_passed_on_total")
        self.peers.send(action.message, instance.address)

    @act.register
    def _(self, action: TellBalancer) -> None:
        instance = self.instances.get(action.balancer)
        if instance is not None:
            self.peers.send(action.hint, instance.address)

    @act.register
    def _(self, action: Refuse) -> None:
        self.metrics.count("packets_refused_total", action.reason)
        self.levels.packet_refused(self.request)
        send_refusal(
            self.peers.port,
            self.settings.fabric_return,
            action.packet,
            self.request,
            retry_after_ms=action.retry_after_ms,
        )

    def answer(self, reply: Reply) -> None:
        """Send a backend server's datagram to the caller."""
        flow = unpack_flow_key(reply.flow)
        try:
            packet = build_udp(flow, reply.payload, to_caller=True)
        except MalformedPacketError:
            self.metrics.count("replies_dropped_total", "too_long")
            return
        frame = GeneveFrame(packet, read_request_header(reply.payload))
        self.levels.reply_sent(frame.request)
        self.metrics.count("replies_total")
        send_to_fabric(self.peers.port, self.settings.fabric_return, frame)

    def end_idle_flows(self, now_ms: int) -> None:
        """End the flows that have seen no packet for the idle time."""
        limit_ms = now_ms - self.settings.flow_idle_ms
        idle = [
            flow
            for flow, owned in self.steering.owned.items()
            if owned.last_seen_ms < limit_ms
        ]
        for flow in idle:
            self.levels.flow_ended()
            self.end_flow(flow)

    def break_flow(self, flow: FlowKey) -> None:
        """End a flow whose backend server refuses its datagrams."""
        self.levels.flow_broken()
        self.end_flow(flow)

    def end_flow(self, flow: FlowKey) -> None:
        """Forget a flow and close its socket."""
        self.steering.end_flow(flow)
        if self.delivery is not None:
            self.delivery.close(flow)
