"""The process of an agent: steers flows and delivers packets to its backend server."""

import random
from functools import singledispatchmethod

import structlog
import trio

from citronwinch.backend_servers import (
    Delivery,
    Reply,
    TunDelivery,
    TunDevice,
    UdpDelivery,
)
from citronwinch.coordination import (
    Endpoint,
    FlowKey,
    Table,
    TransportProtocol,
    unpack_flow_key,
)
from citronwinch.coordination.load import LoadReport
from citronwinch.coordination.requests import RequestsMessage
from citronwinch.coordination.steering import (
    AgentAction,
    AgentSteering,
    Deliver,
    EndFlow,
    Forward,
    ForwardToAgent,
    Refuse,
    Send,
    SendHint,
    SteeringMessage,
)
from citronwinch.daemon._agent_flows import FlowHandler
from citronwinch.daemon._agent_load import LoadExchange
from citronwinch.daemon._agent_requests import RequestHandler
from citronwinch.daemon._agent_service_levels import AgentServiceLevels
from citronwinch.daemon._events import (
    Event,
    InstancesChanged,
    PeerBatch,
    ReplyArrived,
    StopRequested,
    Tick,
)
from citronwinch.daemon._process import DaemonProcess
from citronwinch.daemon._refusals import send_refusal, send_to_fabric
from citronwinch.daemon._status import Status
from citronwinch.fabric import (
    GeneveFrame,
    MalformedPacketError,
    build_udp,
    parse_udp,
)
from citronwinch.operators import Settings

log = structlog.get_logger()


class AgentProcess(DaemonProcess):
    """The daemon in the role of an agent."""

    def __init__(self, settings: Settings) -> None:
        super().__init__(settings)
        self.load_exchange = LoadExchange(
            settings, self.clock, self.peers, self.metrics
        )
        self.steering = AgentSteering(
            settings.name, self.clock, self.peers.incarnation, self.load_exchange.load
        )
        self.udp_delivery: UdpDelivery | None = None
        self.tun_delivery: TunDelivery | None = None
        self.nursery: trio.Nursery | None = None
        self.flow_handler = FlowHandler(self)
        self.request_handler = RequestHandler(self, random.Random(settings.name))
        self.service_levels = AgentServiceLevels(
            self.metrics.service_levels, self.clock
        )

    @property
    def table(self) -> Table:
        """The table in force."""
        return self.steering.table

    @property
    def flow_count(self) -> int:
        """The number of flows that this agent owns."""
        return len(self.steering.owned)

    def find_owner(self, flow: FlowKey) -> str:
        """Return this backend server for an owned flow, else the registered owner."""
        if flow in self.steering.owned:
            return self.settings.name
        return self.steering.owner_registry.owners.get(flow, "")

    def apply_table(self, table: Table) -> None:
        """Apply a newer table; open the deliveries when this agent's row is in it."""
        self.load_exchange.load.accept_table(table)
        actions = self.steering.accept_table(table)
        self.request_handler.accept_table(table)
        row = table.row_by_backend_server.get(self.settings.name)
        self.service_levels.service = (
            row.service if row is not None else self.service_levels.service
        )
        if row is not None and self.udp_delivery is None and self.nursery is not None:
            self.udp_delivery = UdpDelivery(
                row.backend_server_address,
                self.nursery,
                self.queue_reply,
                self.end_unreachable_flow,
                self.flow_handler.read_local_ports(),
            )
            self.open_tun_delivery(row.backend_server_address, self.nursery)
        self.apply_actions(actions)
        self.flow_handler.advance()

    def open_tun_delivery(self, server: Endpoint, nursery: trio.Nursery) -> None:
        """Open the layer-3 TUN device for TCP services if the settings name one."""
        if not self.settings.tun_device:
            return
        try:
            device = TunDevice(self.settings.tun_device)
        except OSError as error:
            self.metrics.count("tun_device_errors_total")
            log.error("tun_device_not_opened", reason=str(error), step="open")
            return
        self.tun_delivery = TunDelivery(server, device, self.queue_reply)
        nursery.start_soon(self.tun_delivery.run)

    def start_role_tasks(self, nursery: trio.Nursery) -> None:
        """Store the nursery, in which the deliveries start their tasks."""
        self.nursery = nursery

    def is_drained(self) -> bool:
        """Return whether no flow is left to end and no request is in progress.

        A flow that the other agents keep for the next run has not to end, nor has one
        that the next run of an agent without peers continues. Also transfer the request
        records to the other agents when that is due.
        """
        if not self.request_handler.requests.is_idle():
            return False
        has_flows = (
            bool(self.steering.owned)
            and not self.flow_handler.can_leave_all()
            and not self.flow_handler.has_transferred_all()
        )
        return self.request_handler.try_finish(has_flows)

    def finish(self) -> None:
        """Notify the other agents that this agent makes no more decisions.

        They may then decide in its place at once, except about transferred flows.
        """
        self.flow_handler.end_transfer()
        self.apply_actions(self.steering.depart())

    def queue_reply(self, reply: Reply) -> None:
        """Put a reply into the inbox; count and drop it when the inbox is full."""
        try:
            self.inbox_send.send_nowait(ReplyArrived(reply))
        except trio.WouldBlock:
            self.metrics.count("replies_dropped_total")

    def handle(self, event: Event) -> None:
        """Handle messages, replies, changed instances, a stop request and ticks."""
        if isinstance(event, PeerBatch):
            self.request_handler.begin_batch(event.earliest_arrival_ms)
            for envelope in event.envelopes:
                self.request_handler.record_handler.observe_sender(envelope)
                if isinstance(envelope.message, Forward):
                    self.handle_forward(envelope.message)
                elif isinstance(envelope.message, SteeringMessage):
                    self.apply_actions(
                        self.steering.handle(envelope.message, envelope.sender)
                    )
                    self.flow_handler.try_end_restoration()
                elif isinstance(envelope.message, RequestsMessage):
                    self.request_handler.handle_message(envelope, envelope.message)
                elif isinstance(envelope.message, LoadReport):
                    self.load_exchange.accept_report(envelope, envelope.message)
        elif isinstance(event, ReplyArrived):
            self.handle_reply(event.reply)
        elif isinstance(event, InstancesChanged):
            self.accept_instances()
        elif isinstance(event, StopRequested):
            self.steering.begin_stop()
            self.request_handler.begin_stop()
            self.load_exchange.load.begin_stop()
            self.flow_handler.begin_stop()
            self.flow_handler.advance()
        elif isinstance(event, Tick):
            if self.steering.is_listed != self.gossip.is_listed:
                self.accept_instances()
            self.apply_actions(self.steering.tick())
            self.flow_handler.advance()
            self.apply_actions(self.steering.end_idle_flows(self.settings.flow_idle_ms))
            self.load_exchange.tick(self.flow_count, self.instances)
            self.service_levels.tick(self.flow_count)
            self.export_metrics()

    def accept_instances(self) -> None:
        """Pass on the known instances, and whether the platform lists this one."""
        self.steering.accept_instances(
            tuple(self.instances.values()),
            is_listed=self.gossip.is_listed,
        )

    def handle_forward(self, message: Forward) -> None:
        """Handle a forwarded packet as a request if possible, else by steering."""
        if self.flow_handler.may_restore(message):
            self.metrics.count("packets_dropped_total", "restoring")
            return
        if self.request_handler.intercept(message):
            return
        self.apply_actions(self.steering.handle_forward(message))

    def apply_actions(self, actions: list[AgentAction]) -> None:
        """Apply actions in order."""
        for action in actions:
            self.apply_action(action)

    def export_metrics(self) -> None:
        """Export the gauges and counters of steering."""
        for name, value in self.steering.read_gauges().items():
            self.metrics.set_gauge(name, value)
        for name, count in self.steering.counters.items():
            self.metrics.count("steering_events_total", name, count)
        self.steering.counters.clear()

    @singledispatchmethod
    def apply_action(self, action: object) -> None:
        """Apply one action."""
        raise TypeError(f"unknown action type: {type(action).__name__}")

    @apply_action.register
    def _(self, action: Deliver) -> None:
        if action.flow[0] == TransportProtocol.TCP:
            self.deliver_segment(action)
            return
        if self.request_handler.deliver(action):
            return
        try:
            payload = parse_udp(action.packet).payload
        except MalformedPacketError:
            self.metrics.count("packets_dropped_total", "malformed")
            return
        if self.udp_delivery is not None and self.udp_delivery.send(
            action.flow, payload
        ):
            self.metrics.count("packets_delivered_total")
        else:
            self.metrics.count("packets_dropped_total", "not_delivered")

    def deliver_segment(self, action: Deliver) -> None:
        """Deliver a TCP segment; reset a flow that the TUN device cannot carry."""
        if self.tun_delivery is not None and self.tun_delivery.send(
            action.flow, action.packet
        ):
            self.metrics.count("packets_delivered_total")
            return
        self.metrics.count("packets_dropped_total", "not_delivered")
        if (
            self.tun_delivery is None
            or action.flow not in self.tun_delivery.service_by_flow
        ):
            self.end_flow(action.flow)
            send_refusal(
                self.peers.datagram_socket,
                self.settings.fabric_return,
                action.packet,
                None,
            )

    @apply_action.register
    def _(self, action: ForwardToAgent) -> None:
        address = self.find_address(action.agent)
        if address is None:
            self.metrics.count("packets_dropped_total", "unknown_agent")
            return
        self.metrics.count("packets_passed_on_total")
        self.peers.send(action.message, address)

    @apply_action.register
    def _(self, action: Send) -> None:
        address = self.find_address(action.receiver)
        if address is None:
            self.metrics.count("messages_dropped_total", "unknown_instance")
            return
        self.peers.send(action.message, address)

    @apply_action.register
    def _(self, action: EndFlow) -> None:
        self.service_levels.record_flow_end()
        self.close_delivery(action.flow)

    @apply_action.register
    def _(self, action: SendHint) -> None:
        address = self.find_address(action.balancer)
        if address is not None:
            self.peers.send(action.hint, address)

    @apply_action.register
    def _(self, action: Refuse) -> None:
        if self.request_handler.refuse(action):
            return
        self.metrics.count("packets_refused_total", action.reason)
        if not action.is_certain:
            return
        if self.flow_handler.may_be_left(action.flow):
            # The refusal would end a flow that may be open. Without it the caller may
            # repeat the packet at once.
            self.steering.refused_packets.remove(action.packet)
            self.metrics.count("packets_dropped_total", "may_be_left")
            return
        send_refusal(
            self.peers.datagram_socket,
            self.settings.fabric_return,
            action.packet,
            None,
            retry_after_ms=action.retry_after_ms,
        )

    def handle_reply(self, reply: Reply) -> None:
        """Send a backend server's packet or datagram to the caller."""
        if reply.flow[0] == TransportProtocol.TCP:
            self.metrics.count("replies_total")
            frame = GeneveFrame(reply.payload)
            send_to_fabric(
                self.peers.datagram_socket, self.settings.fabric_return, frame
            )
            return
        if self.request_handler.handle_reply(reply):
            return
        flow = unpack_flow_key(reply.flow)
        try:
            packet = build_udp(flow, reply.payload, to_caller=True)
        except MalformedPacketError:
            self.metrics.count("replies_dropped_total", "too_long")
            return
        frame = GeneveFrame(packet)
        self.metrics.count("replies_total")
        send_to_fabric(self.peers.datagram_socket, self.settings.fabric_return, frame)

    def end_unreachable_flow(self, flow: FlowKey) -> None:
        """End a flow whose backend server's port is closed, and send a refusal."""
        self.metrics.count("flows_unreachable_total")
        self.load_exchange.record_closed_port()
        self.service_levels.record_broken_flow()
        self.request_handler.fail_flow(flow)
        self.steering.record_backend_failure()
        self.end_flow(flow)
        packet = build_udp(unpack_flow_key(flow), b"", to_caller=False)
        send_refusal(
            self.peers.datagram_socket, self.settings.fabric_return, packet, None
        )

    def read_status(self) -> Status:
        """Return the status, with state "ready" only if new requests can be served.

        The agent is not ready before its request records cover every request that is
        sent from now on, before its steering may decide, and before the flows of its
        previous run are restored.
        """
        status = super().read_status()
        can_serve = (
            self.request_handler.requests.covers_new_requests()
            and self.steering.has_finished_learning()
            and not self.flow_handler.is_restoring
        )
        if status.state == "ready" and not can_serve:
            return status._replace(state="starting")
        return status

    def end_flow(self, flow: FlowKey) -> None:
        """End a flow in steering and close its delivery."""
        self.steering.end_flow(flow)
        self.close_delivery(flow)

    def close_delivery(self, flow: FlowKey) -> None:
        """Close the UDP or TCP delivery of a flow."""
        deliveries: tuple[Delivery | None, ...] = (self.udp_delivery, self.tun_delivery)
        for delivery in deliveries:
            if delivery is not None:
                delivery.close(flow)
