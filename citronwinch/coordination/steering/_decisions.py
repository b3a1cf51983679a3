"""Decides which agent owns a flow."""

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._byte_budget import ByteBudget
from citronwinch.coordination._clock import Clock
from citronwinch.coordination._placement import rank_candidates
from citronwinch.coordination._table import TableRow
from citronwinch.coordination.load import FirstCandidateChooser, OwnerChooser
from citronwinch.coordination.steering._actions import (
    AgentAction,
    Deliver,
    ForwardToAgent,
    Refuse,
    SendHint,
    make_refusal,
)
from citronwinch.coordination.steering._leases import ServiceLeases
from citronwinch.coordination.steering._messages import Forward, Hint
from citronwinch.coordination.steering._owned import OwnedFlow
from citronwinch.coordination.steering._protocol import AgentProtocol
from citronwinch.coordination.steering._refusals import RefusedPackets
from citronwinch.coordination.steering._registrations import Decision

HINT_BYTES = 150
"""The size of a hint on the wire, in bytes."""

HINT_BURST_BYTES = 65_536
"""The burst size of the rate limit on hints, in bytes."""

HINT_BYTES_PER_SECOND = 400
"""The sustained rate limit on hints, in bytes per second."""


class OwnerDecisions(AgentProtocol):
    """Chooses owners for new flows as home, and accepts or declines assigned flows."""

    def __init__(
        self,
        backend_server: str,
        clock: Clock,
        incarnation: int = 1,
        chooser: OwnerChooser | None = None,
    ) -> None:
        super().__init__(backend_server, clock, incarnation)
        self.chooser: OwnerChooser = chooser or FirstCandidateChooser()
        self.refused_packets = RefusedPackets(clock)
        self.guest_count = 0
        self.hint_budget = ByteBudget(clock, HINT_BURST_BYTES, HINT_BYTES_PER_SECOND)

    @property
    def owned(self) -> dict[FlowKey, OwnedFlow]:
        """The flows that this agent owns."""
        return self.flows.owned

    def refuse_unknown_service(self, message: Forward) -> list[AgentAction]:
        """Refuse a packet whose sender found a different service for it."""
        self.counters["wrong_service"] += 1
        return [make_refusal(message, "wrong_service", is_certain=False)]

    def deliver_owned(self, message: Forward, owned: OwnedFlow) -> list[AgentAction]:
        """Deliver a packet of an owned flow.

        If another agent had to forward it, its balancer is sent a hint with the owner,
        within the rate limit on hints.
        """
        if owned.service != message.service:
            return self.refuse_unknown_service(message)
        self.flows.record_packet(message.flow, owned, ends=message.ends)
        actions: list[AgentAction] = [
            Deliver(message.flow, message.packet, message.request)
        ]
        if message.hops and self.hint_budget.try_spend(HINT_BYTES):
            hint = Hint(message.flow, self.backend_server)
            actions.append(SendHint(message.balancer, hint))
        return actions

    def decide(self, message: Forward, leases: ServiceLeases) -> list[AgentAction]:
        """Choose the owner of a flow that certainly has none.

        A message with a decision was declined by the agent chosen before. The chooser
        is called only once for each flow, so that the highest-ranked remaining
        candidate then becomes the owner.
        """
        if not message.opens:
            return [self.refuse_as_decider(message, "no_such_flow")]
        if self.refused_packets.contains(message.packet):
            return [make_refusal(message, "refused_before")]
        candidates = self.find_candidates(message, leases)
        if message.decision:
            owner = candidates[0].backend_server if candidates else None
        else:
            owner = self.chooser.choose_owner(
                message.service, candidates, len(self.flows.owned)
            )
        if owner == self.backend_server and not self.can_accept_flow(message.service):
            others = [row.backend_server for row in candidates]
            owner = next((name for name in others if name != owner), None)
        if owner is None:
            return [self.refuse_as_decider(message, "full")]
        if owner == self.backend_server:
            return self.open_flow(message, 0)
        return self.assign(message, owner)

    def find_candidates(
        self, message: Forward, leases: ServiceLeases
    ) -> list[TableRow]:
        """Return the rows that are eligible for a new flow, in order of rank."""
        rows = self.table.rows_by_service.get(message.service, ())
        ranked = rank_candidates(message.flow, rows)
        return [row for row in ranked if self.is_eligible(row, message, leases)]

    def is_eligible(
        self, row: TableRow, message: Forward, leases: ServiceLeases
    ) -> bool:
        """Return whether a backend server is eligible for a new flow."""
        name = row.backend_server
        if name in message.declined or name in self.leaving:
            return False
        if name == self.backend_server:
            return not (self.is_leaving or self.is_backend_failing)
        member = leases.member(name)
        return not (member.is_leaving or leases.is_unavailable(name))

    def can_accept_flow(self, service: str) -> bool:
        """Return whether this agent's backend server can accept another flow."""
        row = self.row
        return (
            row is not None
            and row.service == service
            and row.weight > 0
            and not self.is_leaving
            and not self.is_backend_failing
            and len(self.flows.owned) + self.guest_count < row.connection_limit
        )

    def assign(self, message: Forward, owner: str) -> list[AgentAction]:
        """Assign a flow to another agent."""
        if not self.owner_registry.has_room():
            self.counters["registry_full"] += 1
            return [self.refuse_as_decider(message, "full")]
        decision = Decision(self.flows.next_decision_number(), self.table.revision)
        self.transfers.discard(message.flow)
        self.owner_registry.assign(message.flow, owner, decision)
        assigned = message._replace(
            hops=message.hops + 1,
            pinned=True,
            decider=self.backend_server,
            decision=decision.number,
            revision=decision.revision,
        )
        return [ForwardToAgent(owner, assigned)]

    def accept_assignment(self, message: Forward) -> list[AgentAction]:
        """Open a flow that its home assigned to this agent, or decline it.

        A declined decision is closed, so that a late copy of it cannot open the flow.
        """
        is_closed = self.flows.is_decision_closed(message.flow, message.decision)
        if is_closed or not message.opens:
            return [self.decline(message)]
        if not self.is_allowed_decider(message) or not self.can_accept_flow(
            message.service
        ):
            self.flows.close_decision(message.flow, message.decision)
            return [self.decline(message)]
        return self.open_flow(message, message.decision)

    def is_allowed_decider(self, message: Forward) -> bool:
        """Return whether this agent has promised that the message's decider may decide.

        While a query grant for the flow is valid, only its holder may decide; a lease
        counts only without such a grant.
        """
        leases = self.leases_of(message.service)
        if message.revision < leases.fence_revision:
            return False
        grantee, expires_ms = self.query_grants.get(message.flow, ("", 0))
        if expires_ms > self.clock.now_ms():
            return grantee == message.decider
        return leases.has_outstanding_grant(message.decider)

    def decline(self, message: Forward) -> ForwardToAgent:
        """Return a packet to the agent that sent it to this agent as owner."""
        self.counters["packets_declined"] += 1
        declined = (*message.declined, self.backend_server)
        return ForwardToAgent(
            message.decider,
            message._replace(hops=message.hops + 1, declined=declined),
        )

    def discard_owner(self, flow: FlowKey, owner: str) -> None:
        """Remove an owner that declined the flow, as owner and as away."""
        self.transfers.discard(flow, owner)
        if self.owner_registry.owners.get(flow) == owner:
            self.owner_registry.discard(flow)

    def open_flow(self, message: Forward, decision_number: int) -> list[AgentAction]:
        """Become the owner of a flow and deliver its first packet."""
        self.transfers.discard(message.flow)
        self.flows.open(message.flow, message.service, decision_number)
        if decision_number:
            self.registrations.record_home(message.flow, message.decider)
        self.update_home(message.flow, message.service)
        return self.deliver_owned(message, self.flows.owned[message.flow])

    def refuse_as_decider(self, message: Forward, reason: str) -> Refuse:
        """Refuse a packet as decider, and record it to refuse late copies as well.

        The refusal is certain unless there is no room to record the packet.
        """
        is_certain = self.refused_packets.add(message.packet)
        return make_refusal(message, reason, is_certain=is_certain)
