"""The decisions of an agent about who owns a flow."""

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._byte_budget import ByteBudget
from citronwinch.coordination._clock import Clock
from citronwinch.coordination._placement import rank_candidates
from citronwinch.coordination._table import TableRow
from citronwinch.coordination.load import FirstCandidateChooser, OwnerChooser
from citronwinch.coordination.steering._actions import (
    AgentAction,
    Deliver,
    PassOn,
    Refuse,
    SendHint,
    refuse,
)
from citronwinch.coordination.steering._leases import ServiceLeases
from citronwinch.coordination.steering._messages import Forward, Hint
from citronwinch.coordination.steering._owned import OwnedFlow
from citronwinch.coordination.steering._protocol import AgentProtocol
from citronwinch.coordination.steering._refusals import RefusedPackets
from citronwinch.coordination.steering._registrations import Decision

HINT_BYTES = 150
"""The bytes of a hint on the wire."""

HINT_BURST_BYTES = 65_536
"""How many bytes of hints may be sent at once after a quiet time."""

HINT_BYTES_PER_SECOND = 400
"""How many bytes of hints a second are sent beyond the burst."""


class OwnerDecisions(AgentProtocol):
    """Decides as home who owns a new flow, and takes or declines flows as owner."""

    def __init__(
        self,
        backend_server: str,
        clock: Clock,
        incarnation: int = 1,
        chooser: OwnerChooser | None = None,
    ) -> None:
        super().__init__(backend_server, clock, incarnation)
        self.chooser: OwnerChooser = chooser or FirstCandidateChooser()
        self.refused = RefusedPackets(clock)
        self.guest_count = 0
        self.hint_budget = ByteBudget(clock, HINT_BURST_BYTES, HINT_BYTES_PER_SECOND)

    @property
    def owned(self) -> dict[FlowKey, OwnedFlow]:
        """The flows that this agent owns."""
        return self.flows.owned

    def refuse_unknown_service(self, message: Forward) -> list[AgentAction]:
        """Refuse a packet whose sender has another idea of its service."""
        self.counters["wrong_service"] += 1
        return [refuse(message, "wrong_service", is_certain=False)]

    def deliver_owned(self, message: Forward, owned: OwnedFlow) -> list[AgentAction]:
        """Deliver a packet of an owned flow and hint its balancer if it went astray."""
        if owned.service != message.service:
            return self.refuse_unknown_service(message)
        self.flows.touch(message.flow, owned, ends=message.ends)
        actions: list[AgentAction] = [
            Deliver(message.flow, message.packet, message.request)
        ]
        if message.hops and self.hint_budget.spend(HINT_BYTES):
            hint = Hint(message.flow, self.backend_server)
            actions.append(SendHint(message.balancer, hint))
        return actions

    def decide(self, message: Forward, leases: ServiceLeases) -> list[AgentAction]:
        """Choose the owner of a flow that certainly has none."""
        if not message.opens:
            return [self.refuse_certainly(message, "no_such_flow")]
        if self.refused.is_refused(message.packet):
            return [refuse(message, "refused_before")]
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
            return [self.refuse_certainly(message, "full")]
        if owner == self.backend_server:
            return self.open(message, 0)
        return self.assign(message, owner)

    def find_candidates(
        self, message: Forward, leases: ServiceLeases
    ) -> list[TableRow]:
        """Return the rows that may take a new flow, best placed first."""
        rows = self.table.rows_by_service.get(message.service, ())
        ranked = rank_candidates(message.flow, rows)
        return [row for row in ranked if self.may_take(row, message, leases)]

    def may_take(self, row: TableRow, message: Forward, leases: ServiceLeases) -> bool:
        """Return whether a backend server may take a new flow."""
        name = row.backend_server
        if name in message.declined or name in self.leaving:
            return False
        if name == self.backend_server:
            return not (self.is_leaving or self.is_failing)
        member = leases.member(name)
        return not (member.is_leaving or leases.is_unavailable(name))

    def can_accept_flow(self, service: str) -> bool:
        """Return whether this agent's backend server may get another flow."""
        row = self.row
        return (
            row is not None
            and row.service == service
            and row.weight > 0
            and not self.is_leaving
            and not self.is_failing
            and len(self.flows.owned) + self.guest_count < row.connection_limit
        )

    def assign(self, message: Forward, owner: str) -> list[AgentAction]:
        """Make another agent the owner of a flow."""
        if not self.registry.has_room():
            self.counters["registry_full"] += 1
            return [self.refuse_certainly(message, "full")]
        decision = Decision(self.flows.next_decision(), self.table.revision)
        self.registry.assign(message.flow, owner, decision)
        assigned = message._replace(
            hops=message.hops + 1,
            pinned=True,
            decider=self.backend_server,
            decision=decision.number,
            revision=decision.revision,
        )
        return [PassOn(owner, assigned)]

    def take(self, message: Forward) -> list[AgentAction]:
        """Open a flow that its home assigned to this agent, or decline it."""
        is_closed = self.flows.is_closed(message.flow, message.decision)
        if is_closed or not message.opens:
            return [self.decline(message)]
        if not self.is_decider(message) or not self.can_accept_flow(message.service):
            self.flows.close(message.flow, message.decision)
            return [self.decline(message)]
        return self.open(message, message.decision)

    def is_decider(self, message: Forward) -> bool:
        """Return whether the sender may decide, as far as this agent promised."""
        leases = self.leases_of(message.service)
        if message.revision < leases.fence:
            return False
        asker, expires_ms = self.query_grants.get(message.flow, ("", 0))
        if expires_ms > self.clock.now_ms():
            return asker == message.decider
        return leases.is_granted(message.decider)

    def decline(self, message: Forward) -> PassOn:
        """Return a packet to the home that sent it here."""
        self.counters["packets_declined"] += 1
        declined = (*message.declined, self.backend_server)
        return PassOn(
            message.decider,
            message._replace(hops=message.hops + 1, declined=declined),
        )

    def forget_owner(self, flow: FlowKey, owner: str) -> None:
        """Forget an owner that does not own the flow after all."""
        if self.registry.owners.get(flow) == owner:
            self.registry.forget(flow)

    def open(self, message: Forward, decision: int) -> list[AgentAction]:
        """Own a flow from now on and deliver its first packet."""
        self.flows.open(message.flow, message.service, decision)
        if decision:
            self.registrations.note_known(message.flow, message.decider)
        self.place_flow(message.flow, message.service)
        return self.deliver_owned(message, self.flows.owned[message.flow])

    def refuse_certainly(self, message: Forward, reason: str) -> Refuse:
        """Refuse a packet as the one that decides; a late copy is refused as well."""
        is_certain = self.refused.note(message.packet)
        return refuse(message, reason, is_certain=is_certain)
