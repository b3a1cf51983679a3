"""The decisions of the agent beside a backend server about packets."""

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._byte_budget import ByteBudget
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.load import OwnerChooser
from citronwinch.coordination.steering._actions import (
    AgentAction,
    EndFlow,
    PassOn,
    Send,
    refuse,
)
from citronwinch.coordination.steering._decisions import OwnerDecisions
from citronwinch.coordination.steering._held import QUERY_RETRY_MS, HeldFlow
from citronwinch.coordination.steering._leases import ServiceLeases
from citronwinch.coordination.steering._messages import Forward, Query
from citronwinch.coordination.steering._owned import OwnedFlow

HOPS_LIMIT = 8
"""How often a packet may be passed on."""

QUERY_BYTES = 180
"""The bytes of a query on the wire."""

QUERY_BURST_BYTES = 131_072
"""How many bytes of queries may be sent at once after a quiet time."""

QUERY_BYTES_PER_SECOND = 1_000
"""How many bytes of queries a second are sent beyond the burst."""


class AgentSteering(OwnerDecisions):
    """Decides what happens to packets at the agent beside one backend server.

    An owned flow is delivered. Any other packet goes to the flow's home, which
    knows its owner, or decides who becomes it.
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
        """Return what to do about a forwarded packet."""
        owned = self.flows.owned.get(message.flow)
        if owned is not None:
            if self.is_ownership_uncertain(message.flow, owned.service):
                return self.confirm_owned(message, owned)
            return self.deliver_owned(message, owned)
        service = self.table.service_of(message.flow)
        owner = self.registry.owners.get(message.flow)
        if service is None and owner is not None and not message.decider:
            return self.pass_to_owner(message, owner, self.leases_of(message.service))
        if service != message.service:
            return self.refuse_unknown_service(message)
        if message.declined and message.decider == self.backend_server:
            self.forget_owner(message.flow, message.declined[-1])
        elif message.decision:
            return self.take(message)
        elif message.decider:
            return [self.decline(message)]
        return self.find_owner(message._replace(pinned=False, decider=""))

    def confirm_owned(self, message: Forward, owned: OwnedFlow) -> list[AgentAction]:
        """Hold a packet of an owned flow until nobody else can have taken the flow.

        This agent was out of touch for so long that the others may count it as gone.
        """
        if owned.service != message.service:
            return self.refuse_unknown_service(message)
        leases = self.leases_of(owned.service)
        held = self.held.hold(message, leases.revision)
        if held is None:
            return [refuse(message, "held_full", is_certain=False)]
        self.counters["packets_held"] += 1
        return self.query_owner(message.flow, held, leases)

    def accept_owner(self, flow: FlowKey, owner: str) -> list[AgentAction]:
        """Believe that another agent owns a flow, and own it no longer."""
        if flow in self.flows.owned:
            if flow not in self.doubtful:
                return []
            self.counters["flows_lost"] += 1
            self.end_flow(flow)
            self.registry.remember(flow, owner)
            return [EndFlow(flow)]
        self.registry.remember(flow, owner)
        return []

    def find_owner(self, message: Forward) -> list[AgentAction]:
        """Pass a packet to the owner of its flow or to its home, or decide."""
        leases = self.leases_of(message.service)
        owner = self.registry.owners.get(message.flow)
        if owner is not None:
            return self.pass_to_owner(message, owner, leases)
        if message.hops >= HOPS_LIMIT:
            return [refuse(message, "too_many_hops", is_certain=False)]
        if leases.is_fenced:
            behind = (*message.declined, self.backend_server)
            passed = message._replace(declined=behind)
            return [self.pass_on(passed, leases.fenced_by)]
        home = self.home_of(message.flow, message.service)
        if home is None:
            return [refuse(message, "no_home", is_certain=False)]
        if home != self.backend_server:
            if home in message.declined:
                return self.search_owner(message, leases)
            if leases.is_unavailable(home):
                return [refuse(message, "home_unreachable", is_certain=False)]
            return [self.pass_on(message, home)]
        return self.decide_when_allowed(message, leases)

    def pass_to_owner(
        self, message: Forward, owner: str, leases: ServiceLeases
    ) -> list[AgentAction]:
        """Pass a packet to the owner that the home remembers."""
        if leases.is_confirmed_gone(owner):
            self.registry.forget(message.flow)
            self.counters["owners_gone"] += 1
            if message.request is not None:
                return [refuse(message, "owner_gone", is_certain=False)]
            return [self.refuse_certainly(message, "owner_gone")]
        if message.hops >= HOPS_LIMIT:
            return [refuse(message, "too_many_hops", is_certain=False)]
        decision = self.registry.decision_of(message.flow)
        passed = message._replace(
            hops=message.hops + 1,
            pinned=True,
            decider=self.backend_server,
            decision=decision.number,
            revision=decision.revision,
        )
        return [PassOn(owner, passed)]

    def pass_on(self, message: Forward, agent: str) -> PassOn:
        """Return the message as it goes to another agent that may know more."""
        return PassOn(agent, message._replace(hops=message.hops + 1, decision=0))

    def search_owner(
        self, message: Forward, leases: ServiceLeases
    ) -> list[AgentAction]:
        """Ask all members who owns a flow whose home is out of reach or behind."""
        held = self.held.hold(message, leases.revision)
        if held is None:
            return [refuse(message, "held_full", is_certain=False)]
        held.is_search = True
        self.counters["searches"] += 1
        return self.query_owner(message.flow, held, leases)

    def retry_search(
        self, flow: FlowKey, held: HeldFlow, leases: ServiceLeases, home: str
    ) -> list[AgentAction]:
        """Go on searching until the owner or the home is heard of."""
        is_over = self.clock.now_ms() >= held.deadline_ms
        is_unowned = set(self.find_askable(flow, leases)) <= held.answered
        if home in held.answered and (is_over or is_unowned):
            messages = self.held.release(flow)
            return [
                self.pass_on(message._replace(declined=()), home)
                for message in messages
            ]
        if is_over:
            return self.give_up(flow, "home_unreachable")
        return self.query_owner(flow, held, leases)

    def give_up(self, flow: FlowKey, reason: str) -> list[AgentAction]:
        """Refuse the waiting packets of a flow without knowing of other copies."""
        messages = self.held.release(flow)
        return [refuse(message, reason, is_certain=False) for message in messages]

    def decide_when_allowed(
        self, message: Forward, leases: ServiceLeases
    ) -> list[AgentAction]:
        """Decide as home, or hold the packet until nobody else can have decided."""
        if message.flow not in self.held.flows:
            if not leases.blockers() and not leases.is_learning:
                return self.decide(message, leases)
            self.counters["packets_held"] += 1
        held = self.held.hold(message, leases.revision)
        if held is None:
            return [refuse(message, "held_full", is_certain=False)]
        return self.query_owner(message.flow, held, leases)

    def query_owner(
        self, flow: FlowKey, held: HeldFlow, leases: ServiceLeases
    ) -> list[AgentAction]:
        """Ask the members that may have opened a flow, again after a while."""
        now_ms = self.clock.now_ms()
        if held.queried_ms is not None and now_ms - held.queried_ms < QUERY_RETRY_MS:
            return []
        query = Query(held.service, flow, leases.revision)
        asked = [
            name
            for name in self.find_askable(flow, leases)
            if name not in held.answered
        ]
        if not self.query_budget.spend(QUERY_BYTES * len(asked)):
            self.counters["queries_limited"] += 1
            return []
        held.queried_ms = now_ms
        self.counters["queries"] += len(asked)
        return [Send(name, query) for name in asked]

    def find_askable(self, flow: FlowKey, leases: ServiceLeases) -> list[str]:
        """Return the members that may know an owner that this agent does not."""
        held = self.held.flows.get(flow)
        is_search = held is not None and held.is_search
        if flow not in self.flows.owned and not is_search:
            return leases.blockers()
        return [
            name
            for name in leases.other_members()
            if not leases.is_confirmed_gone(name)
        ]

    def retry_flow(self, flow: FlowKey) -> list[AgentAction]:
        """Decide again about the waiting packets of a flow."""
        held = self.held.flows[flow]
        leases = self.leases_of(held.service)
        if held.revision != leases.revision:
            held.revision = leases.revision
            held.answered.clear()
        if flow in self.flows.owned:
            return self.retry_owned(flow, held, leases)
        home = self.home_of(flow, held.service)
        is_known = flow in self.registry.owners or leases.is_fenced
        if held.is_search and not is_known and home not in (None, self.backend_server):
            return self.retry_search(flow, held, leases, home or "")
        if is_known or home != self.backend_server:
            return self.replay(flow)
        if set(leases.blockers()) <= held.answered and not leases.is_learning:
            return self.decide_held(flow, leases)
        if self.clock.now_ms() >= held.deadline_ms:
            return self.give_up(flow, "home_unreachable")
        return self.query_owner(flow, held, leases)

    def retry_owned(
        self, flow: FlowKey, held: HeldFlow, leases: ServiceLeases
    ) -> list[AgentAction]:
        """Deliver the waiting packets of an owned flow once it certainly is."""
        now_ms = self.clock.now_ms()
        if set(self.find_askable(flow, leases)) <= held.answered:
            self.doubtful.discard(flow)
            owned = self.flows.owned[flow]
            actions: list[AgentAction] = []
            for message in self.held.release(flow):
                actions += self.deliver_owned(message, owned)
            return actions
        if now_ms >= held.deadline_ms:
            return self.give_up(flow, "unconfirmed")
        return self.query_owner(flow, held, leases)

    def replay(self, flow: FlowKey) -> list[AgentAction]:
        """Handle the waiting packets of a flow as if they came now."""
        actions: list[AgentAction] = []
        for message in self.held.release(flow):
            actions += self.find_owner(message)
        return actions

    def decide_held(self, flow: FlowKey, leases: ServiceLeases) -> list[AgentAction]:
        """Decide by the first waiting packet; the others follow it."""
        first, *others = self.held.release(flow)
        actions = self.decide(first, leases)
        for message in others:
            if flow in self.flows.owned or flow in self.registry.owners:
                actions += self.handle_forward(message)
            else:
                actions += self.decide(message, leases)
        return actions
