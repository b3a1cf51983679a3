"""The protocol between the agents of a service: leases, registrations and queries."""

from collections import Counter
from functools import partial, singledispatchmethod

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination._instances import Instance, InstanceRole, InstanceState
from citronwinch.coordination._placement import find_home
from citronwinch.coordination._table import EMPTY_TABLE, Table, TableRow
from citronwinch.coordination.steering._actions import AgentAction, EndFlow, Send
from citronwinch.coordination.steering._held import HeldPackets
from citronwinch.coordination.steering._held_transfers import AwayFlow, HeldTransfers
from citronwinch.coordination.steering._leases import LEASE_MS, ServiceLeases
from citronwinch.coordination.steering._messages import (
    HandoverMessage,
    LeaseAnswer,
    LeaseRequest,
    MemberSilent,
    Probe,
    Query,
    QueryAnswer,
    Register,
    RegisterAck,
)
from citronwinch.coordination.steering._owned import OwnedFlows
from citronwinch.coordination.steering._registrations import (
    OwnerRegistry,
    Registrations,
)

QUERY_GRANTS_LIMIT = 16_384
"""The most query grants that are kept at a time."""

PAUSE_MS = 1_500
"""The time between two ticks above which the process was paused, in milliseconds."""

BACKEND_FAILURE_MS = 2_000
"""How long no new flows are accepted after a backend failure, in milliseconds."""


class AgentProtocol:
    """Leases, registrations and queries between the agents of a service.

    `handle` processes all messages except packets, and `tick` runs timers. Both
    return actions for the calling process.

    `registrations` registers this agent's flows with their homes, and `owner_registry`
    has the owners of flows that other agents own. `leaving` are the agents that the
    platform lists as leaving. `unlisted` are the agents of the table, and the former
    members of a service, that the platform does not list; this agent may be one of
    them. `query_grants` has, for each queried flow, the member that may decide on the
    flow and when that right expires.
    `uncertain_flows` are owned flows that other members may have given another owner.
    `transfers` has the flows of stopped agents, which are kept for their next runs.
    """

    def __init__(self, backend_server: str, clock: Clock, incarnation: int = 1) -> None:
        self.backend_server = backend_server
        self.clock = clock
        self.incarnation = incarnation
        self.table: Table = EMPTY_TABLE
        self.is_leaving = False
        self.is_stopping = False
        self.leaving: frozenset[str] = frozenset()
        self.unlisted: frozenset[str] = frozenset()
        self.is_listed = True
        self.flows = OwnedFlows(clock, backend_server, incarnation)
        self.leases: dict[str, ServiceLeases] = {}
        self.registrations = Registrations(clock, incarnation)
        self.owner_registry = OwnerRegistry()
        self.transfers = HeldTransfers(clock)
        self.held = HeldPackets(clock)
        self.query_grants: dict[FlowKey, tuple[str, int]] = {}
        self.unavailable_members: frozenset[tuple[str, str]] = frozenset()
        self.reported_unresponsive: frozenset[str] = frozenset()
        self.balancers: tuple[str, ...] = ()
        self.backend_failing_until_ms = clock.now_ms()
        self.uncertain_flows: set[FlowKey] = set()
        self.counters: Counter[str] = Counter()
        self.last_tick_ms = clock.now_ms()

    @property
    def row(self) -> TableRow | None:
        """The table row of this agent's backend server; None without one."""
        return self.table.row_by_backend_server.get(self.backend_server)

    def accept_table(self, table: Table) -> list[AgentAction]:
        """Replace the table; one whose revision is not higher is ignored."""
        if table.revision <= self.table.revision:
            return []
        self.table = table
        if self.row is not None:
            self.leases_of(self.row.service)
        for service, leases in self.leases.items():
            rows = table.rows_by_service.get(service, ())
            names = frozenset(row.backend_server for row in rows)
            leases.update_members(table.revision, names)
            leases.renew_all()
        self.update_homes()
        return self.tick()

    def has_finished_learning(self) -> bool:
        """Return whether this agent has a table row and has finished learning.

        It then knows all former members of its service that may own flows, or has
        waited for `LEARNING_MS` to learn of them.
        """
        row = self.row
        return row is not None and not self.leases_of(row.service).is_learning

    def begin_stop(self) -> None:
        """Accept no new flows from now on, because the process stops."""
        self.is_stopping = True
        self.is_leaving = True
        for leases in self.leases.values():
            leases.renew_all()

    def depart(self) -> list[AgentAction]:
        """Return the messages that tell all members that this agent has departed.

        Once they are sent, this agent decides nothing any more: its process must handle
        no more messages or packets.
        """
        now_ms = self.clock.now_ms()
        return [
            Send(
                name,
                LeaseAnswer(
                    service, leases.fence_revision, now_ms, False, has_departed=True
                ),
            )
            for service, leases in self.leases.items()
            for name in leases.list_other_members()
        ]

    def accept_instances(
        self, instances: tuple[Instance, ...], *, is_listed: bool = True
    ) -> None:
        """Replace the known instances.

        `is_listed` is whether the platform lists this agent itself; a process counts
        itself among the instances in any case.
        """
        self.is_listed = is_listed
        self.balancers = tuple(
            sorted(
                instance.name
                for instance in instances
                if instance.role is InstanceRole.BALANCER
            )
        )
        agents = [
            instance for instance in instances if instance.role is InstanceRole.AGENT
        ]
        self.leaving = frozenset(
            instance.name
            for instance in agents
            if instance.state is InstanceState.LEAVING
        )
        self.is_leaving = self.is_stopping or self.backend_server in self.leaving
        listed = {instance.name for instance in agents}
        names = {row.backend_server for row in self.table.rows}
        for leases in self.leases.values():
            names |= leases.former_members
        own = frozenset({self.backend_server})
        unlisted = frozenset(names - listed)
        self.unlisted = unlisted - own if is_listed else unlisted | own
        for leases in self.leases.values():
            leases.accept_unlisted(self.unlisted)

    def leases_of(self, service: str) -> ServiceLeases:
        """Return the leases of a service, created on first use."""
        leases = self.leases.get(service)
        if leases is None:
            leases = ServiceLeases(
                service,
                self.backend_server,
                self.clock,
                partial(self.flows.has_flows, service),
            )
            leases.unlisted = self.unlisted
            self.leases[service] = leases
            rows = self.table.rows_by_service.get(service, ())
            names = frozenset(row.backend_server for row in rows)
            leases.update_members(self.table.revision, names)
        return leases

    def find_home(self, flow: FlowKey, service: str) -> str | None:
        """Return the home of a flow, None when the service has no agent.

        Members that are confirmed gone are passed over.
        """
        leases = self.leases_of(service)
        rows = self.table.rows_by_service.get(service, ())
        present = [
            row
            for row in rows
            if row.backend_server == self.backend_server
            or not leases.is_confirmed_gone(row.backend_server)
        ]
        return find_home(flow, present)

    def update_homes(self) -> None:
        """Register all owned flows with their current homes."""
        for flow, owned in self.flows.owned.items():
            self.update_home(flow, owned.service)

    def update_home(self, flow: FlowKey, service: str) -> None:
        """Register an owned flow with its current home.

        Members that are unavailable are passed over, before they are confirmed gone.
        """
        leases = self.leases_of(service)
        rows = self.table.rows_by_service.get(service, ())
        if not rows:
            # The service was removed from the table: keep the flow registered with
            # its last home.
            return
        present = [
            row
            for row in rows
            if row.backend_server == self.backend_server
            or not leases.is_unavailable(row.backend_server)
        ]
        home = find_home(flow, present)
        if home is None or home == self.backend_server:
            self.registrations.withdraw_moved(service, flow)
        else:
            self.registrations.register(service, flow, home)

    @singledispatchmethod
    def handle(self, message: object, sender: str) -> list[AgentAction]:
        """Return the actions for a message of another process."""
        self.counters["unexpected_messages"] += 1
        return []

    @handle.register
    def _(self, message: LeaseRequest, sender: str) -> list[AgentAction]:
        leases = self.leases_of(message.service)
        is_restarted = leases.record_incarnation(sender, message.incarnation)
        if is_restarted is None:
            return []
        if is_restarted:
            self.registrations.discard_home(sender)
            self.owner_registry.discard_former_run(sender, message.incarnation)
            if not leases.is_former_member_known(sender):
                self.mark_service_uncertain(message.service)
        if leases.mark_alive(sender) or is_restarted:
            self.update_homes()
        is_complete = self.registrations.is_complete(
            sender, message.service
        ) and self.transfers.is_informed(sender, message.incarnation, message.service)
        answer = leases.answer_request(sender, message, is_complete=is_complete)
        # The flows of a home that has just become unavailable are registered with their
        # next homes at the next tick.
        is_current = all(
            (message.service, name) in self.unavailable_members
            for name in answer.silent
        )
        answer = answer._replace(
            is_complete=answer.is_complete and is_current,
            is_leaving=self.is_leaving or self.is_backend_failing,
            owns_flows=self.flows.has_flows(message.service),
        )
        return [Send(sender, answer)]

    @handle.register
    def _(self, message: LeaseAnswer, sender: str) -> list[AgentAction]:
        self.mark_uncertain_flows()
        self.leases_of(message.service).accept_answer(sender, message)
        return self.retry_held()

    @handle.register
    def _(self, message: Register, sender: str) -> list[AgentAction]:
        if not self.owner_registry.accept_registration(sender, message):
            self.counters["registry_full"] += 1
            return []
        actions: list[AgentAction] = [Send(sender, RegisterAck(message.number))]
        fence = self.leases_of(message.service).fence_revision
        for flow in message.flows:
            self.discard_transfer_to_other(flow, sender)
            if flow in self.flows.owned:
                self.counters["owner_conflicts"] += 1
                self.owner_registry.discard(flow)
                conflict = QueryAnswer(flow, fence, self.backend_server)
                actions.append(Send(sender, conflict))
        for flow in message.flows:
            if flow in self.held.flows:
                actions += self.retry_flow(flow)
        return actions

    @handle.register
    def _(self, message: RegisterAck, sender: str) -> list[AgentAction]:
        self.registrations.acknowledge(sender, message.number)
        return []

    @handle.register
    def _(self, message: Query, sender: str) -> list[AgentAction]:
        leases = self.leases_of(message.service)
        leases.mark_alive(sender)
        if message.revision >= leases.fence_revision:
            leases.raise_fence(message.revision, sender)
        owner, away_ms = "", 0
        away = self.find_away(message.flow, message.service)
        if message.flow in self.flows.owned:
            owner = self.backend_server
        elif away is not None:
            owner, away_ms = away.agent, away.expires_ms - self.clock.now_ms()
        elif message.flow in self.owner_registry.owners:
            owner = self.owner_registry.owners[message.flow]
        if not owner and not self.grant_query(message.flow, sender):
            return []
        answer = QueryAnswer(message.flow, leases.fence_revision, owner, away_ms)
        return [Send(sender, answer)]

    def find_away(self, flow: FlowKey, service: str) -> AwayFlow | None:
        """Return the valid transfer of a flow, None without one.

        If the flow is registered for another owner, the transfer is outdated.
        """
        away = self.transfers.find(flow, service)
        owner = self.owner_registry.owners.get(flow)
        return away if away is not None and owner in (None, away.agent) else None

    def discard_transfer_to_other(self, flow: FlowKey, owner: str) -> None:
        """Discard the transfer of a flow that another agent than its maker owns."""
        away = self.transfers.away_flows.get(flow)
        if away is not None and away.agent != owner:
            self.transfers.discard(flow)

    def grant_query(self, flow: FlowKey, sender: str) -> bool:
        """Grant the sender of a query the decision on its flow.

        Return False when another member has a grant for the flow, or when too many
        grants are kept.
        """
        now_ms = self.clock.now_ms()
        known = self.query_grants.pop(flow, None)
        if known is not None and known[0] != sender and known[1] > now_ms:
            self.query_grants[flow] = known
            return False
        if len(self.query_grants) >= QUERY_GRANTS_LIMIT:
            self.counters["query_grants_full"] += 1
            return False
        self.query_grants[flow] = (sender, now_ms + LEASE_MS)
        return True

    @handle.register
    def _(self, message: QueryAnswer, sender: str) -> list[AgentAction]:
        held = self.held.flows.get(message.flow)
        if held is None:
            return self.resolve_uncertain_flow(message.flow, message.owner)
        leases = self.leases_of(held.service)
        leases.raise_fence(message.revision, sender)
        if message.away_ms and message.flow not in self.flows.owned:
            return self.accept_away(message, held.service)
        if held.revision != leases.revision or message.revision > held.revision:
            return []
        has_declined = message.owner in held.messages[0].declined
        if message.owner in ("", self.backend_server) or has_declined:
            held.answered.add(sender)
        else:
            actions = self.accept_owner(message.flow, message.owner)
            return actions + self.retry_flow(message.flow)
        return self.retry_flow(message.flow)

    def accept_away(self, message: QueryAnswer, service: str) -> list[AgentAction]:
        """Record that a queried flow belongs to a stopped agent, if there is room."""
        if not self.transfers.record_away(
            message.flow, service, message.owner, message.away_ms
        ):
            return []
        return self.retry_flow(message.flow)

    def resolve_uncertain_flow(self, flow: FlowKey, owner: str) -> list[AgentAction]:
        """End a flow of uncertain ownership when another agent owns it."""
        if owner in ("", self.backend_server) or flow not in self.uncertain_flows:
            return []
        return self.accept_owner(flow, owner)

    def mark_uncertain_flows(self) -> None:
        """Mark the owned flows of each service in which ownership is uncertain.

        Ownership is uncertain when this agent had no answers from a majority of the
        service's members for so long that they may have chosen other owners.
        """
        now_ms = self.clock.now_ms()
        uncertain_services = {
            service
            for service, leases in self.leases.items()
            if self.flows.flow_counts[service]
            and now_ms >= leases.ownership_certain_until_ms
        }
        for service in uncertain_services:
            self.mark_service_uncertain(service)

    def mark_service_uncertain(self, service: str) -> None:
        """Mark the owned flows of a service as uncertain."""
        self.uncertain_flows |= {
            flow for flow, owned in self.flows.owned.items() if owned.service == service
        }

    def is_ownership_uncertain(self, flow: FlowKey, service: str) -> bool:
        """Return whether another agent may have become the owner of an owned flow.

        Such a flow is also marked as uncertain, until the other members have answered
        queries for its owner.
        """
        if self.clock.now_ms() >= self.leases[service].ownership_certain_until_ms:
            self.uncertain_flows.add(flow)
        return flow in self.uncertain_flows

    def accept_owner(self, flow: FlowKey, owner: str) -> list[AgentAction]:
        """Record another agent as the owner of a flow."""
        raise NotImplementedError

    @handle.register
    def _(self, message: HandoverMessage, sender: str) -> list[AgentAction]:
        return self.handle_handover(message, sender)

    def handle_handover(self, message: object, sender: str) -> list[AgentAction]:
        """Return the actions for a message about the transfer of flows."""
        raise NotImplementedError

    @handle.register
    def _(self, message: Probe, sender: str) -> list[AgentAction]:
        return [] if message.is_answer else [Send(sender, Probe(True))]

    def tick(self) -> list[AgentAction]:
        """Return the actions that are due.

        These are lease requests, reports to balancers, registrations, and decisions
        about held packets.
        """
        now_ms = self.clock.now_ms()
        if now_ms - self.last_tick_ms > PAUSE_MS:
            self.counters["pauses"] += 1
            for leases in self.leases.values():
                leases.renew_all()
        self.last_tick_ms = now_ms
        self.mark_uncertain_flows()
        self.expire_query_grants(now_ms)
        self.flows.expire()
        self.transfers.expire()
        actions = self.request_leases()
        self.update_unavailable_members()
        actions += self.notify_balancers()
        actions += [
            Send(home, message)
            for home, message in self.registrations.due_registrations()
        ]
        return actions + self.retry_held()

    def request_leases(self) -> list[AgentAction]:
        """Return the due lease requests for all services this agent takes part in.

        These are the service of its table row and the services of its owned flows.
        """
        row = self.row
        services = {
            service for service, count in self.flows.flow_counts.items() if count
        }
        if row is not None:
            services.add(row.service)
        is_leaving = (
            self.is_leaving or self.is_backend_failing or row is None or row.weight == 0
        )
        return [
            Send(name, request)
            for service in sorted(services)
            for name, request in self.leases_of(service).due_requests(
                is_leaving, self.incarnation
            )
        ]

    def update_unavailable_members(self) -> None:
        """Follow which members are unavailable or confirmed gone.

        Flows owned by a member that is confirmed gone leave the owner registry. When
        the set of unavailable members changes, the homes of owned flows are updated.
        """
        unavailable = frozenset(
            (service, name)
            for service, leases in self.leases.items()
            for name in leases.list_other_members()
            if leases.is_unavailable(name)
        )
        self.owner_registry.discard_owners(
            name
            for service, name in unavailable
            if self.leases[service].is_confirmed_gone(name)
        )
        if unavailable == self.unavailable_members:
            return
        for _, name in unavailable - self.unavailable_members:
            self.registrations.discard_home(name)
        self.unavailable_members = unavailable
        self.update_homes()

    def notify_balancers(self) -> list[AgentAction]:
        """Return reports to the balancers about members that have stopped answering."""
        unresponsive = {
            name
            for leases in self.leases.values()
            for name in leases.list_unresponsive_members()
        }
        newly_unresponsive = sorted(unresponsive - self.reported_unresponsive)
        self.reported_unresponsive = frozenset(unresponsive)
        return [
            Send(balancer, MemberSilent(name))
            for name in newly_unresponsive
            for balancer in self.balancers
        ]

    def expire_query_grants(self, now_ms: int) -> None:
        """Remove expired query grants."""
        old = [flow for flow, (_, end) in self.query_grants.items() if end <= now_ms]
        for flow in old:
            del self.query_grants[flow]

    def retry_held(self) -> list[AgentAction]:
        """Retry the decisions about all held packets."""
        actions: list[AgentAction] = []
        for flow in list(self.held.flows):
            actions += self.retry_flow(flow)
        return actions

    def retry_flow(self, flow: FlowKey) -> list[AgentAction]:
        """Retry the decision about the held packets of a flow."""
        raise NotImplementedError

    def record_backend_failure(self) -> None:
        """Accept no new flows for a while, since the backend server was unreachable."""
        self.backend_failing_until_ms = self.clock.now_ms() + BACKEND_FAILURE_MS

    @property
    def is_backend_failing(self) -> bool:
        """Whether the backend server was unreachable within `BACKEND_FAILURE_MS`."""
        return self.clock.now_ms() < self.backend_failing_until_ms

    def read_gauges(self) -> dict[str, int]:
        """Return the sizes of all bounded collections, by metric name."""
        return {
            "flows_owned": len(self.flows.owned),
            "flows_registered_here": len(self.owner_registry.owners),
            "flows_held": self.held.count.flows,
            "held_bytes": self.held.count.size_bytes,
            "flow_tombstones": len(self.flows.tombstones),
            "query_grants": len(self.query_grants),
            "flows_transferred_here": len(self.transfers.away_flows),
            "registrations_unacknowledged": len(self.registrations.unacknowledged),
        }

    def end_flow(self, flow: FlowKey) -> None:
        """Remove a flow that has ended, here and at its home."""
        owned = self.flows.end(flow)
        self.uncertain_flows.discard(flow)
        if owned is not None:
            self.registrations.withdraw(owned.service, flow)

    def end_idle_flows(self, idle_ms: int) -> list[AgentAction]:
        """End the flows without a packet for `idle_ms`; return an action for each."""
        idle = self.flows.list_idle(idle_ms)
        for flow in idle:
            self.end_flow(flow)
        return [EndFlow(flow) for flow in idle]
