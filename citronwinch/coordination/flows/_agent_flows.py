"""Tracks for an agent the flows of its backend server and decides what to deliver."""

from collections import Counter, OrderedDict

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import (
    Action,
    DeliverToCaller,
    DeliverToServer,
    ResetFlow,
    SendMessage,
    record,
)
from citronwinch.coordination.flows._expiry_pass import ExpiryPass
from citronwinch.coordination.flows._first_run import FirstRun
from citronwinch.coordination.flows._flow_entry import (
    OTHER_FLOW_TIMEOUT_MS,
    STATES_AFTER_CONFIRMATION,
    STATES_BEFORE_OPENING,
    STATES_OF_OPENINGS,
    FlowEntry,
    FlowState,
    has_accepted,
)
from citronwinch.coordination.flows._held_trials import HeldTrials
from citronwinch.coordination.flows._load_reporting import round_share
from citronwinch.coordination.flows._messages import (
    FlowAnswer,
    FlowAnswers,
    FlowQuestion,
    FlowQuestions,
    ForwardedOpening,
    ForwardedPacket,
    LoadReport,
    ReturnedPacket,
    Verdict,
)
from citronwinch.coordination.flows._opening_rate import OpeningRateLimit
from citronwinch.coordination.flows._packets import Packet, make_placeholder_packet
from citronwinch.coordination.flows._server_liveness import (
    ServerCheck,
    ServerLiveness,
)
from citronwinch.coordination.flows._server_requests import ServerRequests

HELD_FLOW_TIMEOUT_MS = 60_000
"""An accepted or open flow without packets for this long is removed, in milliseconds;
the platform's longest lifetime of a flow."""

LEARNING_PERIOD_MS = 60_000
"""How long after the agent's start its backend server may hold flows that the agent
does not know, in milliseconds; the platform's longest lifetime of a flow."""

STATES_ENDED_WITH_SERVER = (*STATES_OF_OPENINGS, FlowState.OPEN)
"""The states whose flows are removed when the backend server has died."""


class AgentFlows:
    """The flows of one backend server, as its agent learns them from their packets.

    The backend server itself bounces packets of flows that it does not hold. The agent
    therefore needs no agreement with other processes: it delivers packets, and derives
    the state of each flow from the backend server's answers.
    """

    def __init__(
        self,
        service: str,
        clock: Clock,
        *,
        knows_all_flows: bool,
        started_unix_ms: int = 0,
        holds_requests: bool = True,
    ) -> None:
        self.service = service
        self.clock = clock
        self.started_ms = clock.now_ms()
        """When the agent started, by `clock`, in milliseconds."""
        self.first_run = FirstRun(clock, started_unix_ms)
        self.knows_all_flows = knows_all_flows
        """Whether the backend server holds only flows that the agent knows, whether or
        not this is the first run beside it."""
        self.flows: OrderedDict[FlowKey, FlowEntry] = OrderedDict()
        self.expiry_pass = ExpiryPass(clock)
        self.open_flows = 0
        self.is_leaving = False
        self.is_evacuated = False
        """Whether the operators have evacuated the zone of the backend server."""
        self.returned_openings: Counter[str] = Counter()
        """How many openings were returned to their balancer, by reason."""
        self.server_liveness = ServerLiveness(clock)
        self.requests = ServerRequests(
            clock, self.server_liveness, holds_requests=holds_requests
        )
        self.opening_limit = OpeningRateLimit(clock)
        self.held_trials = HeldTrials(clock)

    @property
    def may_hold_unknown_flows(self) -> bool:
        """Whether the backend server may hold flows from before the agent's start."""
        uptime_ms = self.clock.now_ms() - self.started_ms
        is_learning = uptime_ms < LEARNING_PERIOD_MS and not self.knows_all_flows
        return is_learning and not self.first_run.is_first

    @property
    def waiting_requests(self) -> OrderedDict[FlowKey, int]:
        """The flows whose request waits for an answer, with the time since when."""
        return self.requests.waiting

    def handle_forwarded(
        self, message: ForwardedPacket | ForwardedOpening, packet: Packet, balancer: str
    ) -> list[Action]:
        """Deliver a caller's packet from a balancer, or return it to that balancer."""
        if message.service != self.service:
            return [
                SendMessage(balancer, ReturnedPacket(packet.raw)),
                record(
                    "packet_for_another_service",
                    packet,
                    balancer=balancer,
                    meant=message.service,
                    own=self.service,
                ),
            ]
        if packet.is_opening:
            return self._handle_opening(message, packet, balancer)
        return self._handle_data(packet, balancer)

    def _handle_data(self, packet: Packet, balancer: str) -> list[Action]:
        """Deliver a packet of a flow, unless the backend server does not hold it."""
        flow = self._find_flow(packet.flow, packet.acknowledged)
        if flow is None or flow.state is FlowState.TRIED:
            if self.server_liveness.is_down:
                return [SendMessage(balancer, ReturnedPacket(packet.raw))]
            return self._deliver_trial(packet, balancer, flow)
        if flow.state is FlowState.ABSENT:
            return [SendMessage(balancer, ReturnedPacket(packet.raw))]
        if flow.may_include(packet):
            return self._deliver(packet, balancer, flow)
        if flow.state is FlowState.ACCEPTED and self.may_hold_unknown_flows:
            # The server may have answered a late copy of the opening of an open flow.
            return self._deliver_trial(packet, balancer, None)
        return [SendMessage(balancer, ReturnedPacket(packet.raw))]

    def _handle_opening(
        self, message: ForwardedPacket | ForwardedOpening, packet: Packet, balancer: str
    ) -> list[Action]:
        """Deliver an opening, or return it if its requests would wait too long here."""
        if self.server_liveness.is_down:
            return self._return_opening(packet, balancer)
        flow = self.flows.get(packet.flow)
        if flow is not None and flow.is_never_confirmed(self.clock.now_ms()):
            # The port is used again.
            self._remove_flow(packet.flow)
        if self.is_evacuated and not has_accepted(self.flows.get(packet.flow)):
            self.returned_openings["evacuated"] += 1
            returned = record(
                "opening_returned", packet, balancer=balancer, reason="evacuated"
            )
            return [*self._return_opening(packet, balancer), returned]
        route_class, age_ms = None, 0
        if isinstance(message, ForwardedOpening):
            age_ms = message.age_ms
            route_class = self.requests.record_class(packet.flow, message.route_class)
            flow = self.flows.get(packet.flow)
            is_new = flow is None or flow.state in STATES_BEFORE_OPENING
            if is_new and not message.is_last_choice:
                long_wait = self.requests.find_long_wait(packet, route_class)
                if long_wait is not None:
                    return [*self._return_opening(packet, balancer), long_wait]
        if not self.opening_limit.accept_opening():
            return self._return_opening(packet, balancer)
        actions = self._deliver_opening(packet, balancer)
        if route_class is not None:
            flow = self.flows[packet.flow]
            flow.route_class = route_class
            flow.record_opening_age(age_ms)
        return actions

    def _return_opening(self, packet: Packet, balancer: str) -> list[Action]:
        """Return an opening; the report arrives first, so that it is used at once."""
        return [
            SendMessage(balancer, self.make_load_report()),
            SendMessage(balancer, ReturnedPacket(packet.raw)),
        ]

    def _deliver_opening(self, packet: Packet, balancer: str) -> list[Action]:
        flow = self.flows.get(packet.flow)
        if flow is None or flow.state in STATES_BEFORE_OPENING:
            flow = self._add_flow(packet.flow, FlowState.ASKED)
        flow.balancer = balancer
        self._touch(packet.flow, flow)
        self.server_liveness.record_delivery()
        return [DeliverToServer(packet.raw)]

    def _deliver_trial(
        self, packet: Packet, balancer: str, flow: FlowEntry | None
    ) -> list[Action]:
        if flow is None:
            flow = self._add_flow(packet.flow, FlowState.TRIED)
        flow.balancer = balancer
        self._touch(packet.flow, flow)
        if flow.must_wait_for_trial(self.clock.now_ms()):
            self.held_trials.hold(packet, balancer)
            return []
        flow.trial_packets += 1
        return [
            *self._release_trial(packet.flow),
            *self.requests.deliver_trial(packet, flow),
        ]

    def release_overdue_trials(self) -> list[Action]:
        """Deliver packets that have waited long enough for the server's answer."""
        due = self.held_trials.list_due()
        return [action for key in due for action in self._release_trial(key)]

    def _release_trial(self, key: FlowKey) -> list[Action]:
        """Handle the held packets of a flow by what is known about it now."""
        return [
            action
            for packet, balancer in self.held_trials.take(key)
            for action in self._handle_data(packet, balancer)
        ]

    def _deliver(self, packet: Packet, balancer: str, flow: FlowEntry) -> list[Action]:
        informing: list[Action] = []
        if flow.state not in STATES_AFTER_CONFIRMATION:
            self._mark_open(flow)
            if balancer != flow.informed_balancer:
                held = FlowAnswer(packet.flow, Verdict.HELD)
                informing.append(SendMessage(balancer, held))
        flow.balancer = balancer
        flow.acknowledged = packet.acknowledged
        self._touch(packet.flow, flow)
        is_abandoned = packet.is_reset or packet.is_finishing
        if packet.payload_bytes and not packet.is_reset:
            actions = self.requests.handle_data(packet, flow)
        else:
            actions = [DeliverToServer(packet.raw)]
            # A server does not answer a bare acknowledgement.
            if packet.is_finishing and not packet.is_reset:
                self.server_liveness.record_delivery()
        actions += informing
        if is_abandoned:
            self.requests.abandon(packet.flow, flow)
        if packet.is_reset:
            self._remove_flow(packet.flow)
        elif packet.is_finishing:
            flow.has_caller_finished = True
            self._close_if_finished(flow)
        if is_abandoned:
            actions += self.requests.release()
        return actions

    def handle_from_server(self, packet: Packet) -> list[Action]:
        """Handle a packet that the backend server has sent or bounced."""
        self.server_liveness.mark_alive()
        actions = self._handle_from_server(packet)
        if packet.flow in self.held_trials.held:
            actions += self._release_trial(packet.flow)
        if self.requests.queue.held:
            actions += self.requests.release()
        return actions

    def _handle_from_server(self, packet: Packet) -> list[Action]:
        if packet.is_bounced:
            return self._handle_bounced(packet)
        flow = self.flows.get(packet.flow)
        actions: list[Action] = [DeliverToCaller(packet)]
        if packet.is_reset:
            return self._handle_reset(packet, flow)
        if packet.is_opening:
            if flow is None or flow.is_replaced_by(packet):
                balancer = flow.balancer if flow is not None else ""
                flow = self._add_flow(packet.flow, FlowState.ACCEPTED)
                flow.balancer = balancer
            flow.record_acceptance(packet)
            if flow.balancer and flow.state is FlowState.ACCEPTED:
                flow.informed_balancer = flow.balancer
                answer = FlowAnswer(packet.flow, Verdict.OPENING, packet.sequence)
                actions.append(SendMessage(flow.balancer, answer))
            return actions
        if flow is None:
            flow = self._add_flow(packet.flow, FlowState.OPEN)
            self.open_flows += 1
        elif flow.state not in STATES_AFTER_CONFIRMATION:
            self._mark_open(flow)
            if flow.balancer:
                answer = FlowAnswer(packet.flow, Verdict.HELD)
                actions.append(SendMessage(flow.balancer, answer))
        self._touch(packet.flow, flow)
        flow.record_server_packet(packet)
        if packet.payload_bytes:
            actions += self.requests.record_answer(packet.flow, flow)
        if packet.is_finishing:
            flow.has_server_finished = True
            self._close_if_finished(flow)
            actions += self.requests.release_flow(packet.flow)
        return actions

    def _handle_reset(self, packet: Packet, flow: FlowEntry | None) -> list[Action]:
        """Forward a reset to the caller, unless the flow may be open at another server.

        When several backend servers accept an opening, the caller confirms one of them.
        Each other server answers later packets of the flow with a reset, which must not
        end the flow at the confirmed server.
        """
        if flow is None or flow.state in STATES_AFTER_CONFIRMATION:
            self.requests.record_reset(packet.flow)
            self._remove_flow(packet.flow)
            return [DeliverToCaller(packet)]
        state, balancer = flow.state, flow.balancer
        self._add_flow(packet.flow, FlowState.ABSENT)
        absent = FlowAnswer(packet.flow, Verdict.ABSENT)
        withheld = record("reset_withheld", packet, state=state.name.lower())
        return [SendMessage(balancer, absent), withheld] if balancer else [withheld]

    def _handle_bounced(self, packet: Packet) -> list[Action]:
        flow = self.flows.get(packet.flow)
        balancer = flow.balancer if flow is not None else ""
        self._remove_flow(packet.flow)
        if not packet.is_opening:
            # The balancer gets the other packets of the flow, too.
            self._add_flow(packet.flow, FlowState.ABSENT).balancer = balancer
        if not balancer:
            return [record("bounce_without_balancer", packet)]
        return [SendMessage(balancer, ReturnedPacket(packet.raw))]

    def handle_server_check(self, check: ServerCheck) -> list[Action]:
        """Apply the result of a connection check; reset the flows of a dead server."""
        was_down = self.server_liveness.is_down
        self.server_liveness.record_check(check)
        if check is not ServerCheck.REFUSED:
            return [record("server_checked", outcome=check.name.lower())]
        self.opening_limit.expect_restart()
        ended = {
            key: flow
            for key, flow in self.flows.items()
            if flow.state in STATES_ENDED_WITH_SERVER
        }
        # A copy of an opening may be accepted, and the flow open, at another server.
        actions: list[Action] = [
            ResetFlow(make_placeholder_packet(key, flow.acknowledged))
            for key, flow in ended.items()
            if flow.state is FlowState.OPEN
        ]
        for key in ended:
            self._remove_flow(key)
        if not was_down or ended:
            resets = len(actions)
            dropped = len(ended) - resets
            actions.append(
                record("server_down", flows_reset=resets, openings_dropped=dropped)
            )
        self.knows_all_flows = True
        return actions

    def handle_server_start(
        self,
        server_started_unix_ms: int,
        *,
        balancer_uptime_ms: int = 0,
        heard_ms: int = 0,
    ) -> list[Action]:
        """Apply what a balancer states of the backend server in a heartbeat.

        Balancers read the server's incarnation, its start time, from the listing.
        `heard_ms` is for how long the balancer has heard an agent beside it.
        """
        first_run = self.first_run
        incarnation, had_predecessor = (
            first_run.server_started_unix_ms,
            first_run.has_predecessor,
        )
        first_run.record_statement(server_started_unix_ms, balancer_uptime_ms, heard_ms)
        is_later = first_run.server_started_unix_ms > incarnation
        if is_later:
            self.requests.service_times.reset()
        if not is_later and first_run.has_predecessor == had_predecessor:
            return []
        return [
            record(
                "server_started",
                incarnation=first_run.server_started_unix_ms,
                knows_all_flows=not self.may_hold_unknown_flows,
                has_earlier_run=first_run.has_predecessor,
            )
        ]

    def answer_question(self, question: FlowQuestion) -> FlowAnswer:
        """Return the verdict whether the backend server holds a flow."""
        flow = self._find_flow(question.flow, question.acknowledged)
        verdict = Verdict.ABSENT
        if flow is not None:
            verdict = flow.find_verdict(question.acknowledged)
        # An opening, and the server's answer to it, say nothing of a flow that was open
        # before: the opening may be a late copy.
        is_unproved = flow is None or flow.state in STATES_OF_OPENINGS
        if verdict is Verdict.ABSENT and is_unproved and self.may_hold_unknown_flows:
            verdict = Verdict.UNCERTAIN
        return FlowAnswer(question.flow, verdict)

    def answer_questions(self, batch: FlowQuestions) -> FlowAnswers:
        """Return the verdicts on the flows of a batch, in the order of its flows."""
        verdicts = [self.answer_question(each).verdict for each in batch.questions]
        return FlowAnswers(batch.number, tuple(verdicts))

    def make_load_report(self) -> LoadReport:
        """Time out unanswered requests and return the load of the backend server."""
        requests = self.requests
        requests.time_out()
        return LoadReport(
            self.service,
            self.open_flows,
            len(requests.waiting),
            round(requests.latency_ms),
            round_share(requests.busy_meter.read_busy_share()),
            not self.is_leaving and self.server_liveness.accepts_flows,
            round_share(requests.outcome_meter.read_failed_share()),
            self.first_run.server_started_unix_ms
            if self.is_leaving and self.server_liveness.is_down
            else 0,
            requests.service_times.service_ms,
            len(requests.queue.held),
            opening_room=0 if self.is_evacuated else self.opening_limit.count_room(),
            is_server_unreachable=not self.server_liveness.accepts_flows,
        )

    def expire_idle(self) -> None:
        """Remove flows that have been idle too long; check a part of them per call."""
        now_ms = self.clock.now_ms()
        for _ in range(self.expiry_pass.count_due(len(self.flows))):
            key, flow = next(iter(self.flows.items()))
            timeout_ms = (
                HELD_FLOW_TIMEOUT_MS
                if flow.state in (FlowState.ACCEPTED, FlowState.OPEN)
                else OTHER_FLOW_TIMEOUT_MS
            )
            if now_ms - flow.last_packet_ms > timeout_ms:
                self._remove_flow(key)
            else:
                self.flows.move_to_end(key)

    def _find_flow(self, key: FlowKey, acknowledged: int) -> FlowEntry | None:
        """Return the flow of a caller's packet, None for an earlier one of its port."""
        flow = self.flows.get(key)
        if (
            flow is None
            or flow.is_confirmed_by(acknowledged)
            or not flow.is_never_confirmed(self.clock.now_ms())
        ):
            return flow
        return None

    def _add_flow(self, key: FlowKey, state: FlowState) -> FlowEntry:
        self._remove_flow(key)
        flow = self.flows[key] = FlowEntry(state, self.clock.now_ms())
        return flow

    def _remove_flow(self, key: FlowKey) -> None:
        flow = self.flows.pop(key, None)
        self.requests.forget(key)
        if flow is not None and flow.state is FlowState.OPEN:
            self.open_flows -= 1

    def _mark_open(self, flow: FlowEntry) -> None:
        flow.state = FlowState.OPEN
        self.open_flows += 1

    def _close_if_finished(self, flow: FlowEntry) -> None:
        is_finished = flow.has_caller_finished and flow.has_server_finished
        if is_finished and flow.state is FlowState.OPEN:
            flow.state = FlowState.CLOSED
            self.open_flows -= 1

    def _touch(self, key: FlowKey, flow: FlowEntry) -> None:
        # `expire_idle` removes a flow some time after its last packet.
        flow.last_packet_ms = self.clock.now_ms()
