"""Request handling of an agent: applies the actions that `AgentRequests` returns."""

import random
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from citronwinch.backend_servers import Reply, read_request_header
from citronwinch.coordination import FlowKey, Table, TransportProtocol, rank_candidates
from citronwinch.coordination.load import LoadState
from citronwinch.coordination.requests import (
    AgentRequests,
    DeliverCancel,
    Discard,
    EndGuestFlow,
    HomeChanges,
    RequestAction,
    RequestArrival,
    RequestKind,
    RequestMetadata,
    RequestsMessage,
    RetryElsewhere,
    RetryRequest,
    SendOutcome,
    SendPart,
    StartRequest,
)
from citronwinch.coordination.steering import Deliver, Forward, Refuse
from citronwinch.daemon._agent_records import RecordHandler
from citronwinch.daemon._arrivals import WAIT_LIMIT_MS, compute_arrival_ms
from citronwinch.daemon._refusals import send_outcome, send_to_caller
from citronwinch.fabric import MalformedPacketError, parse_udp
from citronwinch.peers import Envelope

if TYPE_CHECKING:
    from citronwinch.daemon._agent_process import AgentProcess

RECORD_TRANSFER_MARGIN_MS = 1_000
"""How long before the stop timeout an agent transfers its request records, in ms."""


class RequestHandler:
    """Handles packets with request metadata for an agent's process.

    The agent's process passes each forwarded packet to it before steering, and each
    action of steering that delivers or refuses a packet. Only the deciding task uses
    it; it owns no socket.
    """

    def __init__(self, process: "AgentProcess", rng: random.Random) -> None:
        self.process = process
        self.requests = AgentRequests(process.settings.name, process.clock, rng)
        self.earliest_arrival_ms = process.clock.now_ms()
        self.record_handler = RecordHandler(process, self.requests)
        self.home_changes = HomeChanges(process.clock)
        self.record_transfer_ms: int | None = None

    def begin_batch(self, earliest_arrival_ms: int) -> None:
        """Store the time before which no message of a batch arrived; do what is due.

        Due are the check of the service's other agents, once the query for the records
        of this agent's previous run, and deadlines, retries and expired records.
        """
        self.earliest_arrival_ms = earliest_arrival_ms
        self.record_handler.check_members()
        self.record_handler.query_records()
        self.apply_actions(self.requests.advance(earliest_arrival_ms))
        self.export_gauges()

    def accept_table(self, table: Table) -> None:
        """Store the service's current rows, to detect that the home of a flow moves."""
        row = table.row_by_backend_server.get(self.process.settings.name)
        if row is not None:
            self.home_changes.update_rows(table.rows_by_service[row.service])

    def begin_stop(self) -> None:
        """Refuse new requests that may not finish before the record transfer."""
        timeout_ms = self.process.settings.stop_timeout_ms
        margin_ms = min(RECORD_TRANSFER_MARGIN_MS, timeout_ms // 2)
        self.record_transfer_ms = self.process.clock.now_ms() + timeout_ms - margin_ms
        self.requests.begin_stop(self.record_transfer_ms)

    def try_finish(self, has_flows: bool) -> bool:
        """Return whether the process may end; transfer the records before that.

        The records are transferred at `record_transfer_ms`, or earlier when no flow is
        left, but not while a request is in progress.
        """
        if not self.requests.is_idle():
            return False
        must_transfer = self.process.clock.now_ms() >= (self.record_transfer_ms or 0)
        if must_transfer or not has_flows:
            self.record_handler.transfer_records()
        return not has_flows

    def intercept(self, message: Forward) -> bool:
        """Handle a packet before steering; return False if steering must handle it.

        Steering handles packets without request metadata, and packets about which the
        request records do not decide. Of the latter, one that may have waited longer
        than `WAIT_LIMIT_MS` in the socket buffer is discarded, unless this agent owns
        its flow. An invalid packet is dropped.
        """
        if message.request is None or not is_udp(message.flow):
            return False
        arrival = self.make_arrival(message.flow, message.packet, message.request)
        if arrival is None:
            return True
        steering = self.process.steering
        is_owned = message.flow in steering.owned
        is_known = (
            is_owned
            or message.flow in steering.owner_registry.owners
            or message.flow in steering.transfers.away_flows
        )
        actions = self.requests.receive(arrival, is_known)
        is_late = self.process.clock.now_ms() - self.earliest_arrival_ms > WAIT_LIMIT_MS
        if not actions and is_late and not is_owned:
            actions = [Discard("late_request")]
        self.apply_actions(actions)
        return bool(actions)

    def deliver(self, action: Deliver) -> bool:
        """Handle a request's packet that steering delivers; return False for any other.

        Any other packet has no request metadata or another protocol than UDP, and the
        agent process handles it. An invalid packet of a request is dropped.
        """
        if action.request is None or not is_udp(action.flow):
            return False
        arrival = self.make_arrival(action.flow, action.packet, action.request)
        if arrival is not None:
            self.process.service_levels.record_delivery(action.request)
            is_request = action.request.kind is RequestKind.REQUEST
            if is_request and not self.process.load_exchange.admits_request():
                self.apply_actions(self.requests.refuse(arrival, "overloaded"))
            else:
                self.apply_actions(self.requests.deliver(arrival))
        return True

    def refuse(self, action: Refuse) -> bool:
        """Handle a request's packet that steering refuses; return False for any other.

        Any other packet has no request metadata or another protocol than UDP, and the
        agent process handles it. An invalid packet of a request is dropped.
        """
        if action.request is None or not is_udp(action.flow):
            return False
        arrival = self.make_arrival(action.flow, action.packet, action.request)
        if arrival is not None:
            self.apply_actions(
                self.requests.refuse(
                    arrival, action.reason, action.retry_after_ms, action.is_certain
                )
            )
        return True

    def handle_reply(self, reply: Reply) -> bool:
        """Handle a backend server's datagram; return False without a request header."""
        answer = read_request_header(reply.payload)
        if answer is None:
            return False
        self.process.load_exchange.record_reply(reply.flow, answer)
        if answer.kind is RequestKind.ANSWER:
            self.process.service_levels.record_answer_part(answer)
        self.apply_actions(self.requests.reply(reply.flow, answer, reply.payload))
        return True

    def handle_message(self, envelope: Envelope, message: RequestsMessage) -> None:
        """Handle a message about requests from another agent."""
        if isinstance(message, RetryRequest):
            self.handle_retry(message)
        else:
            self.record_handler.handle_message(envelope, message)

    def fail_flow(self, flow: FlowKey) -> None:
        """Fail the open requests of a flow whose backend server is unreachable."""
        self.apply_actions(self.requests.fail_flow(flow))

    def handle_retry(self, message: RetryRequest) -> None:
        """Handle a request that another agent's backend server shed.

        If the request records do not decide about it, it is delivered, or refused when
        this agent accepts no requests of other agents' flows.
        """
        arrival = RequestArrival(
            message.flow,
            message.service,
            message.request,
            message.payload,
            compute_arrival_ms(self.earliest_arrival_ms, self.process.clock.now_ms()),
            message.tried,
        )
        actions = self.requests.receive(arrival, is_known_flow=True)
        if not actions and self.can_accept_guest(message.service):
            actions = self.requests.deliver(arrival, is_guest=True)
        elif not actions:
            actions = self.requests.refuse(arrival, "full")
        self.apply_actions(actions)

    def can_accept_guest(self, service: str) -> bool:
        """Return whether a request of another agent's flow may be delivered here."""
        process = self.process
        return (
            process.steering.can_accept_flow(service)
            and process.load_exchange.admits_guest()
        )

    def make_arrival(
        self, flow: FlowKey, packet: bytes, request: RequestMetadata
    ) -> RequestArrival | None:
        """Return the arrival of a request packet; count and drop an invalid packet."""
        try:
            payload = parse_udp(packet).payload
        except MalformedPacketError:
            self.process.metrics.count("packets_dropped_total", "malformed")
            return None
        header = read_request_header(payload)
        if header is None or header.request_id != request.request_id:
            # The backend server reads the payload only: it would not see this request
            # and so would never answer it.
            self.process.metrics.count("packets_dropped_total", "mismatched_request")
            return None
        arrived_ms = compute_arrival_ms(
            self.earliest_arrival_ms, self.process.clock.now_ms()
        )
        owned = self.process.steering.owned.get(flow)
        if owned is not None:
            return RequestArrival(
                flow,
                owned.service,
                request,
                payload,
                arrived_ms,
                flow_opened_ms=owned.opened_ms,
                home_moved_ms=self.home_changes.find_last_move_ms(flow),
            )
        service = self.process.table.find_service(flow) or ""
        home_moved_ms = self.home_changes.find_last_move_ms(flow)
        return RequestArrival(
            flow, service, request, payload, arrived_ms, home_moved_ms=home_moved_ms
        )

    def apply_actions(self, actions: list[RequestAction]) -> None:
        """Apply actions in order, then update the number of guest requests."""
        for action in actions:
            self.apply_action(action)
        self.process.steering.guest_count = self.requests.open_requests.guest_count

    @singledispatchmethod
    def apply_action(self, action: object) -> None:
        """Apply one action."""
        raise TypeError(f"unknown action type: {type(action).__name__}")

    @apply_action.register
    def _(self, action: StartRequest) -> None:
        delivery = self.process.udp_delivery
        if delivery is None or not delivery.send(action.key.flow, action.payload):
            self.apply_actions(self.requests.fail_delivery(action.key))
            return
        self.process.metrics.count("packets_delivered_total")
        self.process.metrics.count("requests_started_total")
        self.process.load_exchange.record_delivery(action.key)

    @apply_action.register
    def _(self, action: DeliverCancel) -> None:
        delivery = self.process.udp_delivery
        if delivery is not None and delivery.send(action.flow, action.payload):
            self.process.metrics.count("request_cancels_passed_total")
            self.process.load_exchange.record_cancellation(action.flow, action.payload)

    @apply_action.register
    def _(self, action: SendOutcome) -> None:
        self.process.service_levels.record_failure(action.key.request_id)
        metric = f"requests_{action.kind.name.lower()}_total"
        self.process.metrics.count(metric, action.reason)
        # In an outcome, `remaining_ms` is the delay after which the caller may retry.
        outcome = RequestMetadata(
            action.kind, action.key.request_id, remaining_ms=action.retry_after_ms
        )
        settings = self.process.settings
        send_outcome(
            self.process.peers.datagram_socket,
            settings.fabric_return,
            action.key.flow,
            outcome,
        )

    @apply_action.register
    def _(self, action: SendPart) -> None:
        fabric_return = self.process.settings.fabric_return
        datagram_socket = self.process.peers.datagram_socket
        if send_to_caller(datagram_socket, fabric_return, action.flow, action.payload):
            self.process.metrics.count("replies_total")
        else:
            self.process.metrics.count("replies_dropped_total", "too_long")

    @apply_action.register
    def _(self, action: RetryElsewhere) -> None:
        arrival = action.arrival
        tried = (*arrival.tried, self.process.settings.name)
        rows = self.process.table.rows_by_service.get(arrival.service, ())
        for row in rank_candidates(arrival.flow, rows):
            name = row.backend_server
            instance = self.process.instances.get(name)
            if instance is None or name in tried:
                continue
            if not self.can_retry_at(name, arrival.service):
                continue
            self.process.metrics.count("request_retries_total")
            message = RetryRequest(
                arrival.flow, arrival.service, arrival.request, arrival.payload, tried
            )
            self.process.peers.send(message, instance.address)
            return
        self.apply_actions(self.requests.fail_retry(arrival.key))

    @apply_action.register
    def _(self, action: EndGuestFlow) -> None:
        if action.flow not in self.process.steering.owned:
            self.process.end_flow(action.flow)

    @apply_action.register
    def _(self, action: Discard) -> None:
        self.process.metrics.count("request_packets_discarded_total", action.reason)

    def can_retry_at(self, backend_server: str, service: str) -> bool:
        """Return whether another backend server may accept a retry.

        Without a load report of its agent it is assumed to accept.
        """
        peer = self.process.load_exchange.load.view.find_peer_load(
            backend_server, service
        )
        if peer is None:
            return True
        return peer.report.state is LoadState.ACCEPTING and not peer.report.is_full

    def export_gauges(self) -> None:
        """Set the gauges of the limited resources."""
        requests = self.requests
        gauges = {
            "requests_open": len(requests.open_requests),
            "request_window_bytes": requests.window.used_bytes,
            "request_window_limit_bytes": requests.window.limit_bytes,
            "request_refusal_filter_bytes": requests.refusals.used_bytes,
            "request_refusals_remembered": requests.refusals.refusal_count,
            "request_kept_answer_bytes": requests.answer_cache.cached_bytes,
            "request_retry_payload_bytes": requests.open_requests.payload_bytes,
            "request_retry_tokens": requests.budget.tokens,
        }
        for name, value in gauges.items():
            self.process.metrics.set_gauge(name, value)


def is_udp(flow: FlowKey) -> bool:
    """Return whether a flow is UDP; only UDP flows carry request metadata."""
    return flow[0] == TransportProtocol.UDP
