"""Decides what an agent does with each packet."""

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._byte_budget import ByteBudget
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.load import OwnerChooser
from citronwinch.coordination.steering._actions import (
    AgentAction,
    EndFlow,
    ForwardToAgent,
    Send,
    make_refusal,
)
from citronwinch.coordination.steering._agent_handover import HandoverSteering
from citronwinch.coordination.steering._held import QUERY_RETRY_MS, HeldFlow
from citronwinch.coordination.steering._held_transfers import AwayFlow
from citronwinch.coordination.steering._leases import ServiceLeases
from citronwinch.coordination.steering._messages import Forward, Query
from citronwinch.coordination.steering._owned import OwnedFlow

HOPS_LIMIT = 8
"""The most times that a packet may be forwarded between agents."""

QUERY_BYTES = 180
"""The size of a query on the wire, in bytes."""

QUERY_BURST_BYTES = 131_072
"""The burst size of the rate limit on queries, in bytes."""

QUERY_BYTES_PER_SECOND = 1_000
"""The sustained rate limit on queries, in bytes per second."""


class AgentSteering(HandoverSteering):
    """Decides what happens to packets at the agent of one backend server.

    Packets of owned flows are delivered. Any other packet is forwarded to the flow's
    home, the agent that knows the flow's owner or chooses one for a new flow.
    """

    def __init__(
        self,
        backend_server: str,
        clock: Clock,
        incarnation: int = 1,
        chooser: OwnerChooser | None = None,
    ) -> None:
        super().__init__(backend_server, clock, incarnation, chooser)
        self.query_budget = ByteBudget(clock, QUERY_BURST_BYTES, QUERY_BYTES_PER_SECOND)

    def handle_forward(self, message: Forward) -> list[AgentAction]:
        """Return the actions for a forwarded packet."""
        owned = self.flows.owned.get(message.flow)
        if owned is not None:
            if self.is_ownership_uncertain(message.flow, owned.service):
                return self.confirm_ownership(message, owned)
            return self.deliver_owned(message, owned)
        service = self.table.find_service(message.flow)
        owner = self.owner_registry.owners.get(message.flow)
        if service is None and owner is not None and not message.decider:
            return self.forward_to_owner(
                message, owner, self.leases_of(message.service)
            )
        if service != message.service:
            return self.refuse_unknown_service(message)
        if message.declined and message.decider == self.backend_server:
            self.discard_owner(message.flow, message.declined[-1])
        elif message.decision:
            return self.accept_assignment(message)
        elif message.decider:
            return [self.decline(message)]
        return self.route_packet(message._replace(pinned=False, decider=""))

    def confirm_ownership(
        self, message: Forward, owned: OwnedFlow
    ) -> list[AgentAction]:
        """Hold a packet of an owned flow, and query the other members for its owner.

        This agent had no contact with the members for so long that they may have chosen
        a new owner. The packet is delivered once all members that are not confirmed
        gone have answered that they know no other owner.
        """
        if owned.service != message.service:
            return self.refuse_unknown_service(message)
        leases = self.leases_of(owned.service)
        held = self.held.hold(message, leases.revision)
        if held is None:
            return [make_refusal(message, "held_full", is_certain=False)]
        self.counters["packets_held"] += 1
        return self.query_owner(message.flow, held, leases)

    def accept_owner(self, flow: FlowKey, owner: str) -> list[AgentAction]:
        """Record another agent as the owner of a flow.

        If this agent owns the flow, it ends the flow when its ownership is uncertain,
        and ignores the other owner otherwise.
        """
        if flow in self.flows.owned:
            if flow not in self.uncertain_flows:
                return []
            self.counters["flows_lost"] += 1
            self.end_flow(flow)
            self.owner_registry.record(flow, owner)
            return [EndFlow(flow)]
        self.owner_registry.record(flow, owner)
        return []

    def route_packet(self, message: Forward) -> list[AgentAction]:
        """Forward a packet to the flow's owner or home, or decide as home.

        When this agent knows of a newer table than its own, it forwards the packet to
        the member with that table. When the packet's `declined` lists the home, this
        agent queries all members for the owner.
        """
        leases = self.leases_of(message.service)
        away = self.find_away(message.flow, message.service)
        if away is not None:
            return self.forward_to_next_run(message, away, leases)
        owner = self.owner_registry.owners.get(message.flow)
        if owner is not None:
            return self.forward_to_owner(message, owner, leases)
        if message.hops >= HOPS_LIMIT:
            return [make_refusal(message, "too_many_hops", is_certain=False)]
        if leases.is_fenced:
            skipped = (*message.declined, self.backend_server)
            forwarded = message._replace(declined=skipped)
            return [self.forward_to_agent(forwarded, leases.fence_source)]
        home = self.find_home(message.flow, message.service)
        if home is None:
            return [make_refusal(message, "no_home", is_certain=False)]
        if home != self.backend_server:
            if home in message.declined:
                return self.search_owner(message, leases)
            if leases.is_unavailable(home):
                return [make_refusal(message, "home_unreachable", is_certain=False)]
            return [self.forward_to_agent(message, home)]
        return self.decide_or_hold(message, leases)

    def forward_to_owner(
        self, message: Forward, owner: str, leases: ServiceLeases
    ) -> list[AgentAction]:
        """Forward a packet to its registered owner; refuse it if that owner is gone."""
        if leases.is_confirmed_gone(owner):
            self.owner_registry.discard(message.flow)
            self.counters["owners_gone"] += 1
            if message.request is not None:
                return [make_refusal(message, "owner_gone", is_certain=False)]
            return [self.refuse_as_decider(message, "owner_gone")]
        if message.hops >= HOPS_LIMIT:
            return [make_refusal(message, "too_many_hops", is_certain=False)]
        decision = self.owner_registry.find_decision(message.flow)
        forwarded = message._replace(
            hops=message.hops + 1,
            pinned=True,
            decider=self.backend_server,
            decision=decision.number,
            revision=decision.revision,
        )
        return [ForwardToAgent(owner, forwarded)]

    def forward_to_next_run(
        self, message: Forward, away: AwayFlow, leases: ServiceLeases
    ) -> list[AgentAction]:
        """Forward a packet to the agent that transferred its flow, if it is back.

        The packet is dropped while that agent is away: a refusal would end the flow,
        and by an answer "unknown" the caller would give a request up.
        """
        if leases.is_unavailable(away.agent):
            self.counters["packets_awaiting_owner"] += 1
            return []
        if message.hops >= HOPS_LIMIT:
            return [make_refusal(message, "too_many_hops", is_certain=False)]
        forwarded = message._replace(
            hops=message.hops + 1,
            pinned=True,
            decider=self.backend_server,
            decision=0,
            revision=0,
            declined=(),
        )
        return [ForwardToAgent(away.agent, forwarded)]

    def forward_to_agent(self, message: Forward, agent: str) -> ForwardToAgent:
        """Forward a message to an agent that may know the owner or has a newer table.

        The message names no decision, so that the receiver doesn't take it as one.
        """
        return ForwardToAgent(
            agent, message._replace(hops=message.hops + 1, decision=0)
        )

    def search_owner(
        self, message: Forward, leases: ServiceLeases
    ) -> list[AgentAction]:
        """Query all members for the owner when the home is unreachable or outdated."""
        held = self.held.hold(message, leases.revision)
        if held is None:
            return [make_refusal(message, "held_full", is_certain=False)]
        held.is_search = True
        self.counters["searches"] += 1
        return self.query_owner(message.flow, held, leases)

    def retry_search(
        self, flow: FlowKey, held: HeldFlow, leases: ServiceLeases, home: str
    ) -> list[AgentAction]:
        """Continue a search, or end it by forwarding its packets to the home.

        It ends when the home has answered, and either all other members have or the
        deadline has passed. Without the home's answer by then the packets are refused.
        """
        is_expired = self.clock.now_ms() >= held.deadline_ms
        has_all_answers = set(self.list_query_targets(flow, leases)) <= held.answered
        if home in held.answered and (is_expired or has_all_answers):
            messages = self.held.release(flow)
            return [
                self.forward_to_agent(message._replace(declined=()), home)
                for message in messages
            ]
        if is_expired:
            return self.refuse_held(flow, "home_unreachable")
        return self.query_owner(flow, held, leases)

    def refuse_held(self, flow: FlowKey, reason: str) -> list[AgentAction]:
        """Refuse the held packets of a flow; copies of them may still be delivered."""
        messages = self.held.release(flow)
        return [make_refusal(message, reason, is_certain=False) for message in messages]

    def decide_or_hold(
        self, message: Forward, leases: ServiceLeases
    ) -> list[AgentAction]:
        """Decide as home, or hold the packet while another member may have decided."""
        if message.flow not in self.held.flows:
            if not leases.list_blocking_members() and not leases.is_learning:
                return self.decide(message, leases)
            self.counters["packets_held"] += 1
        held = self.held.hold(message, leases.revision)
        if held is None:
            return [make_refusal(message, "held_full", is_certain=False)]
        return self.query_owner(message.flow, held, leases)

    def query_owner(
        self, flow: FlowKey, held: HeldFlow, leases: ServiceLeases
    ) -> list[AgentAction]:
        """Query the members that may know the owner and have not answered yet.

        Unanswered queries are repeated every `QUERY_RETRY_MS`.
        """
        now_ms = self.clock.now_ms()
        if held.queried_ms is not None and now_ms - held.queried_ms < QUERY_RETRY_MS:
            return []
        query = Query(held.service, flow, leases.revision)
        targets = [
            name
            for name in self.list_query_targets(flow, leases)
            if name not in held.answered
        ]
        if not self.query_budget.try_spend(QUERY_BYTES * len(targets)):
            self.counters["queries_limited"] += 1
            return []
        held.queried_ms = now_ms
        self.counters["queries"] += len(targets)
        return [Send(name, query) for name in targets]

    def list_query_targets(self, flow: FlowKey, leases: ServiceLeases) -> list[str]:
        """Return the members whose answers are needed to know a flow's owner.

        A search, and an owned flow, need all members that are not confirmed gone; a
        decision needs only those that block it.
        """
        held = self.held.flows.get(flow)
        is_search = held is not None and held.is_search
        if flow not in self.flows.owned and not is_search:
            return leases.list_blocking_members()
        return [
            name
            for name in leases.list_other_members()
            if not leases.is_confirmed_gone(name)
        ]

    def retry_flow(self, flow: FlowKey) -> list[AgentAction]:
        """Retry the decision about the held packets of a flow."""
        held = self.held.flows[flow]
        leases = self.leases_of(held.service)
        if held.revision != leases.revision:
            held.revision = leases.revision
            held.answered.clear()
        if flow in self.flows.owned:
            return self.retry_owned(flow, held, leases)
        home = self.find_home(flow, held.service)
        is_known = (
            flow in self.owner_registry.owners
            or leases.is_fenced
            or self.find_away(flow, held.service) is not None
        )
        if held.is_search and not is_known and home not in (None, self.backend_server):
            return self.retry_search(flow, held, leases, home or "")
        if is_known or home != self.backend_server:
            return self.replay(flow)
        if (
            set(leases.list_blocking_members()) <= held.answered
            and not leases.is_learning
        ):
            return self.decide_held(flow, leases)
        if self.clock.now_ms() >= held.deadline_ms:
            return self.refuse_held(flow, "home_unreachable")
        return self.query_owner(flow, held, leases)

    def retry_owned(
        self, flow: FlowKey, held: HeldFlow, leases: ServiceLeases
    ) -> list[AgentAction]:
        """Deliver the held packets of an owned flow once its ownership is confirmed."""
        now_ms = self.clock.now_ms()
        if set(self.list_query_targets(flow, leases)) <= held.answered:
            self.uncertain_flows.discard(flow)
            owned = self.flows.owned[flow]
            actions: list[AgentAction] = []
            for message in self.held.release(flow):
                actions += self.deliver_owned(message, owned)
            return actions
        if now_ms >= held.deadline_ms:
            return self.refuse_held(flow, "unconfirmed")
        return self.query_owner(flow, held, leases)

    def replay(self, flow: FlowKey) -> list[AgentAction]:
        """Route the held packets of a flow as if they had just arrived."""
        actions: list[AgentAction] = []
        for message in self.held.release(flow):
            actions += self.route_packet(message)
        return actions

    def decide_held(self, flow: FlowKey, leases: ServiceLeases) -> list[AgentAction]:
        """Choose the owner by the first held packet, and route the others to it."""
        first, *remaining = self.held.release(flow)
        actions = self.decide(first, leases)
        for message in remaining:
            if flow in self.flows.owned or flow in self.owner_registry.owners:
                actions += self.handle_forward(message)
            else:
                actions += self.decide(message, leases)
        return actions
