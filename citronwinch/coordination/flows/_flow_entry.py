"""What an agent knows about one flow at its backend server."""

from enum import IntEnum

from citronwinch.coordination.flows._messages import Verdict
from citronwinch.coordination.flows._packets import Packet
from citronwinch.coordination.flows._route_class import RouteClass
from citronwinch.coordination.flows._sequence_numbers import (
    MAX_BYTES_IN_FLIGHT,
    MAX_FLOW_STEP_BYTES,
    SEQUENCE_RANGE,
    compute_sequence_distance,
    confirms_acceptance,
)

OTHER_FLOW_TIMEOUT_MS = 5_000
"""A flow that is neither accepted nor open is removed after this long without packets,
in milliseconds; longer than the callers' longest interval between retransmissions."""

DELIVERED_TRIAL_PACKETS = 2
"""The packets of an unknown flow that are delivered before the backend server has
answered; it acknowledges every second packet."""

TRIAL_ANSWER_TIMEOUT_MS = 30
"""How long the other packets wait for the answer, in milliseconds. A backend server
bounces a packet at once, but leaves some packets of its own flows unanswered."""


class FlowState(IntEnum):
    """What the agent knows about a flow at its backend server."""

    ASKED = 0
    """The opening packet was delivered; the backend server has not answered it."""

    ACCEPTED = 1
    """The backend server has accepted the flow; the caller has not confirmed that."""

    OPEN = 2
    """The backend server holds the flow."""

    ABSENT = 3
    """The backend server does not hold the flow."""

    TRIED = 4
    """A packet was delivered to find out whether the backend server holds the flow; it
    has not answered."""

    CLOSED = 5
    """Caller and backend server have both finished sending. Late copies of their last
    packets still belong to the backend server."""


STATES_BEFORE_OPENING = (FlowState.ABSENT, FlowState.TRIED, FlowState.CLOSED)
"""The states in which an opening begins a new flow, from the port of an earlier one."""

STATES_OF_OPENINGS = (FlowState.ASKED, FlowState.ACCEPTED)
"""The states of which only an opening and the answer to it are known."""

STATES_AFTER_CONFIRMATION = (FlowState.OPEN, FlowState.CLOSED)
"""The states in which the caller has confirmed this backend server's acceptance."""


class FlowEntry:
    """The agent's knowledge of one flow."""

    def __init__(self, state: FlowState, now_ms: int) -> None:
        self.state = state
        self.since_ms = now_ms
        """When the agent learned of the flow."""
        self.last_packet_ms = now_ms
        self.trial_packets = 0
        """The packets delivered to find out whether the backend server holds it."""
        self.balancer = ""
        """The balancer that sent the flow's latest packet, empty if none has."""
        self.informed_balancer = ""
        """The balancer that knows from this agent where the flow is, empty if none."""
        self.server_first_sequence: int | None = None
        """The sequence number with which the backend server accepted the flow; None if
        the agent has not seen that."""
        self.server_start: int | None = None
        """The lowest sequence number of the backend server that is known, None before
        its first packet."""
        self.server_end = 0
        """The end of what the backend server has sent, as a sequence number."""
        self.acknowledged = 0
        """The caller's latest acknowledgement number, which a reset has to match."""
        self.request_ms: int | None = None
        """When the request that waits for an answer was received, if any."""
        self.has_caller_finished = False
        """Whether the caller will send no more data."""
        self.has_server_finished = False
        """Whether the backend server will send no more data."""
        self.received_end: int | None = None
        """The end of the caller's data received so far, as a sequence number."""
        self.route_class: RouteClass | None = None
        """The class of the flow's requests, if the agent has seen its opening."""
        self.opening_age_ms = 0
        """How long the caller had been trying when its opening was forwarded, as far as
        its balancer knew, until the flow's first request is complete or answered."""

    def is_confirmed_by(self, acknowledged: int) -> bool:
        """Return whether a caller's acknowledgement confirms the acceptance."""
        return self.server_first_sequence is not None and confirms_acceptance(
            acknowledged, self.server_first_sequence
        )

    def is_replaced_by(self, packet: Packet) -> bool:
        """Return whether an acceptance is that of a later flow from the same port."""
        return self.state is FlowState.OPEN and self.server_first_sequence not in (
            None,
            packet.sequence,
        )

    def record_acceptance(self, packet: Packet) -> None:
        """Record the packet with which the backend server accepts the flow.

        It sends that again for each copy of the opening, also while the flow is open.
        """
        if self.state is not FlowState.OPEN:
            self.state = FlowState.ACCEPTED
            self.server_start = packet.sequence
            self.server_end = (packet.sequence + 1) % SEQUENCE_RANGE
        elif self.server_first_sequence is None:
            # The agent has restarted while the flow was open.
            self.server_start = packet.sequence
        self.server_first_sequence = packet.sequence
        self.has_caller_finished = self.has_server_finished = False

    def record_server_packet(self, packet: Packet) -> None:
        """Record the numbers of another packet of the backend server."""
        end = packet.sequence + packet.payload_bytes + packet.is_finishing
        advance = (end - self.server_end) % SEQUENCE_RANGE
        if self.server_start is None:
            self.server_start, self.server_end = packet.sequence, end % SEQUENCE_RANGE
        elif advance <= MAX_FLOW_STEP_BYTES:
            self.server_end = end % SEQUENCE_RANGE
        elif advance < SEQUENCE_RANGE - MAX_FLOW_STEP_BYTES:
            # The server has replaced the flow, unseen by this run of the agent.
            self.server_start, self.server_end = packet.sequence, end % SEQUENCE_RANGE

    def includes(self, acknowledged: int) -> bool:
        """Return whether a caller's acknowledgement is one of what the server has sent.

        A caller may have packets on their way that acknowledge less than the first one
        that this run of the agent has seen, or more than the latest.
        """
        if self.server_start is None:
            return True
        margin = MAX_BYTES_IN_FLIGHT
        if self.server_first_sequence is None:
            margin = MAX_FLOW_STEP_BYTES
        sent = (self.server_end - self.server_start) % SEQUENCE_RANGE
        distance = (acknowledged - self.server_start + margin) % SEQUENCE_RANGE
        return distance <= margin + sent + MAX_BYTES_IN_FLIGHT

    def must_wait_for_trial(self, now_ms: int) -> bool:
        """Return whether packets wait until the backend server answers earlier ones.

        A balancer with an outdated location sends all packets that a caller has in
        flight before the first one is returned.
        """
        is_recent = now_ms - self.since_ms < TRIAL_ANSWER_TIMEOUT_MS
        return is_recent and self.trial_packets >= DELIVERED_TRIAL_PACKETS

    def is_never_confirmed(self, now_ms: int) -> bool:
        """Return whether the flow was accepted long ago, without the caller's reply.

        It probably was confirmed at another server, unless the caller pauses.
        """
        is_old = now_ms - self.last_packet_ms > OTHER_FLOW_TIMEOUT_MS
        return is_old and self.state is FlowState.ACCEPTED

    def may_include(self, packet: Packet) -> bool:
        """Return whether a caller's packet may belong to this flow.

        While the flow is only accepted, a packet that confirms another backend server's
        acceptance of the same opening does not belong to it. Later, a packet that
        acknowledges what this server has not sent belongs to another flow of the port.
        """
        if self.state is FlowState.ACCEPTED:
            return self.is_confirmed_by(packet.acknowledged)
        return packet.is_reset or self.includes(packet.acknowledged)

    def find_verdict(self, acknowledged: int) -> Verdict:
        """Return whether the backend server holds the flow of a balancer's question."""
        if self.state in STATES_AFTER_CONFIRMATION:
            return Verdict.HELD if self.includes(acknowledged) else Verdict.ABSENT
        if self.state is FlowState.ACCEPTED and self.is_confirmed_by(acknowledged):
            return Verdict.HELD
        if self.state is FlowState.TRIED:
            return Verdict.UNCERTAIN
        return Verdict.ABSENT

    def has_new_data(self, packet: Packet) -> bool:
        """Return whether a packet has data beyond what was received; copies do not."""
        if self.received_end is None:
            return True
        end = packet.sequence + packet.payload_bytes
        return compute_sequence_distance(end, self.received_end) > 0

    def record_opening_age(self, age_ms: int) -> None:
        """Record the age of an opening; copies that arrive after data do not count."""
        if self.received_end is None:
            self.opening_age_ms = max(self.opening_age_ms, age_ms)

    def take_opening_age(self) -> int:
        """Return the age of the opening for the first request; 0 for later ones."""
        age_ms, self.opening_age_ms = self.opening_age_ms, 0
        return age_ms

    def record_data(self, packet: Packet) -> bool:
        """Record a packet with data; return whether it begins a request.

        A retransmission does not, nor does data while a request waits for its answer.
        """
        if not self.has_new_data(packet):
            return False
        self.received_end = (packet.sequence + packet.payload_bytes) % SEQUENCE_RANGE
        return self.request_ms is None


def has_accepted(flow: FlowEntry | None) -> bool:
    """Return whether the backend server has accepted the flow of an opening packet."""
    if flow is None or flow.has_caller_finished:
        return False
    return flow.state in (FlowState.ACCEPTED, FlowState.OPEN)
