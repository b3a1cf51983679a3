"""Decides for an agent: which flows its backend server holds, and what to pass on."""

from collections import OrderedDict
from enum import IntEnum

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import (
    Action,
    DeliverToCaller,
    DeliverToServer,
    Measure,
    ResetFlow,
    SendMessage,
    record,
)
from citronwinch.coordination.flows._busy_meter import BusyMeter
from citronwinch.coordination.flows._messages import (
    FlowAnswer,
    FlowQuestion,
    ForwardedPacket,
    LoadReport,
    ReturnedPacket,
    Verdict,
)
from citronwinch.coordination.flows._outcome_meter import OutcomeMeter
from citronwinch.coordination.flows._packets import Packet, make_last_packet
from citronwinch.coordination.flows._server_liveness import (
    ServerCheck,
    ServerLiveness,
)

FLOW_IDLE_MS = 60_000
"""After how long without packets a flow is forgotten, in milliseconds; the platform's
longest lifetime of a flow."""

ABSENT_KEPT_MS = 5_000
"""How long an agent remembers that its backend server does not hold a flow, in
milliseconds; longer than the callers' longest gap between retransmissions."""

LEARNING_MS = 60_000
"""How long after its start an agent may be beside flows that it does not know, in
milliseconds; the platform's longest lifetime of a flow."""

START_MARGIN_MS = 1_000
"""How long before its agent a backend server may have started without having been
given any flow, in milliseconds; an agent takes about half of this to start."""

CONFIRMATION_SPAN = 2
"""How far beyond the first sequence number the confirmation of an opening lies."""

LATENCY_SHARE = 0.15
"""The weight of the newest answer in the mean latency."""

REQUEST_TIMEOUT_MS = 3_000
"""After this long a request without an answer no longer counts as waiting, in
milliseconds; callers have given up on most kinds by then."""

SHARE_STEPS = 20
"""Into how many steps shares of 0 to 1 are divided in load reports."""

SEQUENCE_RANGE = 1 << 32
"""Sequence numbers have 32 bits."""

SWEEPS_PER_ROUND = 250
"""In how many sweeps every flow is looked at once; 5 to 10 s, well below the shortest
time for which a flow is kept."""


class FlowState(IntEnum):
    """How sure the agent is of a flow."""

    ASKED = 0
    """Its opening packet was delivered."""

    ACCEPTED = 1
    """The backend server has accepted it; the caller has not confirmed that."""

    OPEN = 2
    """The backend server holds it."""

    ABSENT = 3
    """The backend server does not hold it."""

    TRIED = 4
    """A packet was delivered to find out."""


_HELD_STATES = (FlowState.ASKED, FlowState.ACCEPTED, FlowState.OPEN)


class HeldFlow:
    """One flow as the agent knows it."""

    def __init__(self, state: FlowState, now_ms: int) -> None:
        self.state = state
        self.seen_ms = now_ms
        self.balancer = ""
        self.first_sequence = 0
        self.acknowledged = 0
        self.request_ms: int | None = None
        self.received_end: int | None = None

    def takes_new_data(self, packet: Packet) -> bool:
        """Return whether a caller's data begins a request, and is no copy of one."""
        end = (packet.sequence + packet.payload_bytes) % SEQUENCE_RANGE
        if self.received_end is not None:
            ahead = (end - self.received_end) % SEQUENCE_RANGE
            if ahead == 0 or ahead >= SEQUENCE_RANGE // 2:
                return False
        self.received_end = end
        return self.request_ms is None


class AgentFlows:
    """The flows beside one backend server, learned from the packets it is sent.

    The backend server itself refuses what it does not hold, so that the agent needs
    no agreement with others: it delivers, watches the answers, and remembers.
    """

    def __init__(
        self,
        service: str,
        clock: Clock,
        *,
        knows_all_flows: bool,
        started_unix_ms: int = 0,
    ) -> None:
        self.service = service
        self.clock = clock
        self.started_ms = clock.now_ms()
        self.started_unix_ms = started_unix_ms
        self.server_started_ms = 0
        self.knows_all_flows = knows_all_flows
        self.flows: OrderedDict[FlowKey, HeldFlow] = OrderedDict()
        self.waiting: OrderedDict[FlowKey, int] = OrderedDict()
        self.open_flows = 0
        self.latency_ms = 0.0
        self.busy = BusyMeter(clock)
        self.outcomes = OutcomeMeter(clock)
        self.is_leaving = False
        self.server = ServerLiveness(clock)

    def handle_forwarded(
        self, message: ForwardedPacket, packet: Packet, balancer: str
    ) -> list[Action]:
        """Take a caller's packet from a balancer."""
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
            if self.server.is_down:
                return [SendMessage(balancer, ReturnedPacket(packet.raw))]
            return self._deliver_opening(packet, balancer)
        flow = self.flows.get(packet.flow)
        if flow is None or flow.state is FlowState.TRIED:
            return self._try_flow(packet, balancer, flow)
        if flow.state is FlowState.ABSENT or not _may_belong(flow, packet):
            return [SendMessage(balancer, ReturnedPacket(packet.raw))]
        return self._deliver(packet, balancer, flow)

    def _deliver_opening(self, packet: Packet, balancer: str) -> list[Action]:
        flow = self.flows.get(packet.flow)
        if flow is None or flow.state in (FlowState.ABSENT, FlowState.TRIED):
            flow = self._keep(packet.flow, FlowState.ASKED)
        flow.balancer = balancer
        self._touch(packet.flow, flow)
        self.server.record_delivery()
        return [DeliverToServer(packet.raw)]

    def _try_flow(
        self, packet: Packet, balancer: str, flow: HeldFlow | None
    ) -> list[Action]:
        if flow is None:
            flow = self._keep(packet.flow, FlowState.TRIED)
        flow.balancer = balancer
        self._touch(packet.flow, flow)
        self.server.record_delivery()
        return [DeliverToServer(packet.raw)]

    def _deliver(self, packet: Packet, balancer: str, flow: HeldFlow) -> list[Action]:
        actions: list[Action] = [DeliverToServer(packet.raw)]
        if flow.state is not FlowState.OPEN:
            self._set_open(flow)
            actions.append(SendMessage(balancer, FlowAnswer(packet.flow, Verdict.HELD)))
        flow.balancer = balancer
        flow.acknowledged = packet.acknowledged
        self._touch(packet.flow, flow)
        if not packet.is_reset:
            self.server.record_delivery()
        if packet.payload_bytes and flow.takes_new_data(packet):
            flow.request_ms = flow.seen_ms
            self.waiting[packet.flow] = flow.seen_ms
            self.busy.note_waiting(len(self.waiting))
        is_given_up = packet.is_reset or packet.is_finishing
        if is_given_up and packet.flow in self.waiting:
            del self.waiting[packet.flow]
            self.outcomes.note(seems_failed=True)
        if packet.is_reset:
            self._drop(packet.flow)
        return actions

    def handle_from_server(self, packet: Packet) -> list[Action]:
        """Take a packet that the backend server sent or gave back."""
        self.server.mark_alive()
        if packet.is_bounced:
            return self._handle_bounced(packet)
        flow = self.flows.get(packet.flow)
        actions: list[Action] = [DeliverToCaller(packet)]
        if packet.is_reset:
            return self._handle_reset(packet, flow)
        if packet.is_opening:
            if flow is None or flow.state not in (FlowState.ACCEPTED, FlowState.OPEN):
                flow = flow or self._keep(packet.flow, FlowState.ACCEPTED)
                flow.state = FlowState.ACCEPTED
            flow.first_sequence = packet.sequence
            if flow.balancer and flow.state is FlowState.ACCEPTED:
                answer = FlowAnswer(packet.flow, Verdict.OPENING)
                actions.append(SendMessage(flow.balancer, answer))
            return actions
        if flow is None:
            flow = self._keep(packet.flow, FlowState.OPEN)
            self.open_flows += 1
        elif flow.state is not FlowState.OPEN:
            self._set_open(flow)
            if flow.balancer:
                answer = FlowAnswer(packet.flow, Verdict.HELD)
                actions.append(SendMessage(flow.balancer, answer))
        self._touch(packet.flow, flow)
        if packet.payload_bytes and flow.request_ms is not None:
            actions.append(self._note_answer(packet.flow, flow))
        return actions

    def _handle_reset(self, packet: Packet, flow: HeldFlow | None) -> list[Action]:
        """Pass a reset on, unless the flow may be open at another backend server.

        A caller confirms one of several acceptances. A server whose acceptance was not
        the confirmed one answers later packets with a reset that is not the flow's.
        """
        if flow is None or flow.state is FlowState.OPEN:
            if packet.flow in self.waiting:
                self.outcomes.note(seems_failed=True)
            self._drop(packet.flow)
            return [DeliverToCaller(packet)]
        state, balancer = flow.state, flow.balancer
        self._keep(packet.flow, FlowState.ABSENT)
        absent = FlowAnswer(packet.flow, Verdict.ABSENT)
        withheld = record("reset_withheld", packet, state=state.name.lower())
        return [SendMessage(balancer, absent), withheld] if balancer else [withheld]

    def _handle_bounced(self, packet: Packet) -> list[Action]:
        flow = self.flows.get(packet.flow)
        balancer = flow.balancer if flow is not None else ""
        self._drop(packet.flow)
        if not packet.is_opening:
            self._keep(packet.flow, FlowState.ABSENT)
        if not balancer:
            return [record("bounce_without_balancer", packet)]
        return [SendMessage(balancer, ReturnedPacket(packet.raw))]

    def note_server_check(self, check: ServerCheck) -> list[Action]:
        """Take the result of a connection attempt; reset the flows of a dead server."""
        was_down = self.server.is_down
        self.server.record_check(check)
        if check is not ServerCheck.REFUSED:
            return [record("server_checked", outcome=check.name.lower())]
        keys = [key for key, flow in self.flows.items() if flow.state in _HELD_STATES]
        actions: list[Action] = [
            ResetFlow(
                make_last_packet(
                    key,
                    self.flows[key].acknowledged,
                    is_opening=self.flows[key].state is FlowState.ASKED,
                )
            )
            for key in keys
        ]
        for key in keys:
            self._drop(key)
        if not was_down or keys:
            actions.append(record("server_down", flows_reset=len(keys)))
        self.knows_all_flows = True
        return actions

    def note_server_start(self, server_started_ms: int) -> list[Action]:
        """Take the incarnation of the backend server that balancers have read.

        A backend server that started after this agent holds no flow that the agent
        has not seen opening, and none from before its start.
        """
        if server_started_ms <= self.server_started_ms:
            return []
        self.server_started_ms = server_started_ms
        if server_started_ms >= self.started_unix_ms - START_MARGIN_MS:
            self.knows_all_flows = True
        return [
            record(
                "server_started",
                incarnation=server_started_ms,
                knows_all_flows=self.knows_all_flows,
            )
        ]

    def answer(self, question: FlowQuestion) -> FlowAnswer:
        """Say whether the backend server holds a flow."""
        flow = self.flows.get(question.flow)
        verdict = Verdict.ABSENT
        if flow is None:
            may_hold = not self.knows_all_flows and (
                self.clock.now_ms() - self.started_ms < LEARNING_MS
            )
            verdict = Verdict.UNCERTAIN if may_hold else Verdict.ABSENT
        elif flow.state is FlowState.OPEN:
            verdict = Verdict.HELD
        elif flow.state is FlowState.ACCEPTED:
            is_confirmed = _confirms(flow, question.acknowledged)
            verdict = Verdict.HELD if is_confirmed else Verdict.ABSENT
        elif flow.state is FlowState.TRIED:
            verdict = Verdict.UNCERTAIN
        return FlowAnswer(question.flow, verdict)

    def report(self) -> LoadReport:
        """Return how loaded the backend server is."""
        now_ms = self.clock.now_ms()
        while self.waiting:
            key, since_ms = next(iter(self.waiting.items()))
            if now_ms - since_ms < REQUEST_TIMEOUT_MS:
                break
            del self.waiting[key]
            self.outcomes.note(seems_failed=True)
        self.busy.note_waiting(len(self.waiting))
        return LoadReport(
            self.service,
            self.open_flows,
            len(self.waiting),
            round(self.latency_ms),
            _round_share(self.busy.read_share()),
            not self.is_leaving and self.server.accepts_flows,
            _round_share(self.outcomes.read_share()),
        )

    def expire(self) -> None:
        """Forget flows that have been idle too long; looks at a bounded number."""
        now_ms = self.clock.now_ms()
        for _ in range(-(-len(self.flows) // SWEEPS_PER_ROUND)):
            key, flow = next(iter(self.flows.items()))
            kept_ms = FLOW_IDLE_MS if flow.state is FlowState.OPEN else ABSENT_KEPT_MS
            if now_ms - flow.seen_ms > kept_ms:
                self._drop(key)
            else:
                self.flows.move_to_end(key)

    def _keep(self, key: FlowKey, state: FlowState) -> HeldFlow:
        self._drop(key)
        flow = self.flows[key] = HeldFlow(state, self.clock.now_ms())
        return flow

    def _drop(self, key: FlowKey) -> None:
        flow = self.flows.pop(key, None)
        self.waiting.pop(key, None)
        if flow is not None and flow.state is FlowState.OPEN:
            self.open_flows -= 1

    def _set_open(self, flow: HeldFlow) -> None:
        flow.state = FlowState.OPEN
        self.open_flows += 1

    def _touch(self, key: FlowKey, flow: HeldFlow) -> None:
        flow.seen_ms = self.clock.now_ms()

    def _note_answer(self, key: FlowKey, flow: HeldFlow) -> Measure:
        assert flow.request_ms is not None
        latency_ms = self.clock.now_ms() - flow.request_ms
        self.latency_ms += LATENCY_SHARE * (latency_ms - self.latency_ms)
        self.outcomes.note_answer(latency_ms)
        flow.request_ms = None
        self.waiting.pop(key, None)
        self.busy.note_waiting(len(self.waiting))
        return Measure("request_ms", latency_ms)


def _round_share(share: float) -> float:
    """Return a share in steps that keep a steady one from being reported again."""
    return round(share * SHARE_STEPS) / SHARE_STEPS


def _may_belong(flow: HeldFlow, packet: Packet) -> bool:
    """Return whether a caller's packet can be of this flow, not of a rival opening."""
    if flow.state is FlowState.ACCEPTED:
        return _confirms(flow, packet.acknowledged)
    return True


def _confirms(flow: HeldFlow, acknowledged: int) -> bool:
    distance = (acknowledged - flow.first_sequence) % SEQUENCE_RANGE
    return distance <= CONFIRMATION_SPAN
