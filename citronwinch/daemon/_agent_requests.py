"""Requests at the agent: carries out what `AgentRequests` decides."""

import random
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from citronwinch.backend_servers import Reply, read_request_header
from citronwinch.coordination import FlowKey, rank_candidates
from citronwinch.coordination.requests import (
    AgentRequests,
    Discard,
    EndGuestFlow,
    PassCancel,
    RequestAction,
    RequestArrival,
    RequestKind,
    RequestMetadata,
    RequestRecords,
    RequestsMessage,
    RetryElsewhere,
    RetryRequest,
    SendPart,
    StartRequest,
    TellOutcome,
)
from citronwinch.coordination.steering import Deliver, Forward, Refuse
from citronwinch.daemon._arrivals import WAIT_LIMIT_MS, find_arrival_ms
from citronwinch.daemon._refusals import send_outcome, send_to_caller
from citronwinch.fabric import MalformedPacketError, parse_udp

if TYPE_CHECKING:
    from citronwinch.daemon._agent_process import AgentProcess


class RequestHandler:
    """Stands between steering and delivery for packets with request metadata.

    The agent's process shows it each forwarded packet before steering, and each
    decision of steering that delivers or refuses one. It belongs to the deciding
    task and owns no socket.
    """

    def __init__(self, process: "AgentProcess", source: random.Random) -> None:
        self.process = process
        self.requests = AgentRequests(process.clock, source)
        self.arrived_ms = process.clock.now_ms()

    def begin_batch(self, arrived_ms: int) -> None:
        """Note when the messages that come next may have arrived, and let time pass."""
        self.arrived_ms = arrived_ms
        self.act_all(self.requests.advance(arrived_ms))
        self.export_gauges()

    def intercept(self, message: Forward) -> bool:
        """Handle a packet without steering where that is possible."""
        if message.request is None:
            return False
        arrival = self.find_arrival(
            message.flow, message.service, message.packet, message.request
        )
        if arrival is None:
            return True
        steering = self.process.steering
        is_owned = message.flow in steering.owned
        is_known = is_owned or message.flow in steering.registry.owners
        actions = self.requests.receive(arrival, is_known)
        is_late = self.process.clock.now_ms() - self.arrived_ms > WAIT_LIMIT_MS
        if not actions and is_late and not is_owned:
            actions = [Discard("late_request")]
        self.act_all(actions)
        return bool(actions)

    def deliver(self, action: Deliver) -> bool:
        """Handle a packet that steering delivers; return whether it was a request."""
        if action.request is None:
            return False
        arrival = self.find_arrival(action.flow, "", action.packet, action.request)
        if arrival is not None:
            self.process.levels.packet_delivered(action.request)
            self.act_all(self.requests.deliver(arrival))
        return True

    def refuse(self, action: Refuse) -> bool:
        """Handle a packet that steering refuses; return whether it was a request."""
        if action.request is None:
            return False
        arrival = self.find_arrival(action.flow, "", action.packet, action.request)
        if arrival is not None:
            self.act_all(
                self.requests.refuse(
                    arrival, action.reason, action.retry_after_ms, action.is_certain
                )
            )
        return True

    def answer(self, reply: Reply) -> bool:
        """Handle a backend server's datagram; return whether it is about a request."""
        answer = read_request_header(reply.payload)
        if answer is None:
            return False
        if answer.kind is RequestKind.ANSWER:
            self.process.levels.reply_sent(answer)
        self.act_all(self.requests.reply(reply.flow, answer, reply.payload))
        return True

    def accept(self, message: RequestsMessage) -> None:
        """Handle a message of another agent."""
        if isinstance(message, RequestRecords):
            self.requests.take_over(message)
        else:
            self.run_retry(message)

    def lose_flow(self, flow: FlowKey) -> None:
        """Tell callers of a flow whose backend server is gone."""
        self.act_all(self.requests.lose_flow(flow))

    def run_retry(self, message: RetryRequest) -> None:
        """Run a request that another backend server has shed, if there is room."""
        arrival = RequestArrival(
            message.flow,
            message.service,
            message.request,
            message.payload,
            find_arrival_ms(self.arrived_ms, self.process.clock.now_ms()),
            message.tried,
        )
        actions = self.requests.receive(arrival, is_known_flow=True)
        if not actions and self.process.can_take_guest(message.service):
            actions = self.requests.deliver(arrival, is_guest=True)
        elif not actions:
            actions = self.requests.refuse(arrival, "full")
        self.act_all(actions)

    def find_arrival(
        self, flow: FlowKey, service: str, packet: bytes, request: RequestMetadata
    ) -> RequestArrival | None:
        """Return a packet as an arrival; count and drop a malformed one."""
        try:
            payload = parse_udp(packet).payload
        except MalformedPacketError:
            self.process.metrics.count("packets_dropped_total", "malformed")
            return None
        arrived_ms = find_arrival_ms(self.arrived_ms, self.process.clock.now_ms())
        service = service or self.process.table.service_of(flow) or ""
        return RequestArrival(flow, service, request, payload, arrived_ms)

    def act_all(self, actions: list[RequestAction]) -> None:
        """Carry out actions in order."""
        for action in actions:
            self.act(action)

    @singledispatchmethod
    def act(self, action: object) -> None:
        """Carry out one action."""
        raise TypeError(f"no such action: {type(action).__name__}")

    @act.register
    def _(self, action: StartRequest) -> None:
        delivery = self.process.delivery
        if delivery is None or not delivery.send(action.key.flow, action.payload):
            self.act_all(self.requests.fail_delivery(action.key))
            return
        self.process.load.note_delivered(action.payload)
        self.process.metrics.count("packets_delivered_total")
        self.process.metrics.count("requests_started_total")

    @act.register
    def _(self, action: PassCancel) -> None:
        delivery = self.process.delivery
        if delivery is not None and delivery.send(action.flow, action.payload):
            self.process.metrics.count("request_cancels_passed_total")

    @act.register
    def _(self, action: TellOutcome) -> None:
        self.process.levels.request_failed(action.key.request_id)
        metric = f"requests_{action.kind.name.lower()}_total"
        self.process.metrics.count(metric, action.reason)
        outcome = RequestMetadata(
            action.kind, action.key.request_id, remaining_ms=action.retry_after_ms
        )
        settings = self.process.settings
        send_outcome(
            self.process.peers.port, settings.fabric_return, action.key.flow, outcome
        )

    @act.register
    def _(self, action: SendPart) -> None:
        self.process.metrics.count("replies_total")
        settings = self.process.settings
        port = self.process.peers.port
        send_to_caller(port, settings.fabric_return, action.flow, action.payload)

    @act.register
    def _(self, action: RetryElsewhere) -> None:
        arrival = action.arrival
        tried = (*arrival.tried, self.process.settings.name)
        rows = self.process.table.rows_by_service.get(arrival.service, ())
        for row in rank_candidates(arrival.flow, rows):
            instance = self.process.instances.get(row.backend_server)
            if row.backend_server in tried or instance is None:
                continue
            self.process.metrics.count("request_retries_total")
            message = RetryRequest(
                arrival.flow, arrival.service, arrival.request, arrival.payload, tried
            )
            self.process.peers.send(message, instance.address)
            return
        self.act_all(self.requests.fail_retry(arrival.key))

    @act.register
    def _(self, action: EndGuestFlow) -> None:
        if action.flow not in self.process.steering.owned:
            self.process.end_flow(action.flow)

    @act.register
    def _(self, action: Discard) -> None:
        self.process.metrics.count("request_packets_discarded_total", action.reason)

    def export_gauges(self) -> None:
        """Publish how much of each bound is used."""
        requests = self.requests
        gauges = {
            "requests_open": len(requests.open),
            "request_window_bytes": requests.window.used_bytes,
            "request_window_limit_bytes": requests.window.limit_bytes,
            "request_kept_answer_bytes": requests.keeper.kept_bytes,
            "request_retry_payload_bytes": requests.open.payload_bytes,
            "request_retry_tokens": requests.budget.tokens,
        }
        for name, value in gauges.items():
            self.process.metrics.set_gauge(name, value)
