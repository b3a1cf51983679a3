"""Hands the flows of a stopping agent over to its next run, through its peers.

An agent without peers leaves its flows to the next run by their local ports.
"""

from collections import Counter
from functools import singledispatchmethod

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.load import OwnerChooser
from citronwinch.coordination.steering._actions import AgentAction, Send
from citronwinch.coordination.steering._decisions import OwnerDecisions
from citronwinch.coordination.steering._flow_handover import (
    FlowRestoration,
    OutgoingTransfer,
)
from citronwinch.coordination.steering._leases import SILENT_MS
from citronwinch.coordination.steering._left_flows import (
    FindLocalPort,
    LeftFlows,
    find_left_flows,
)
from citronwinch.coordination.steering._messages import (
    FlowsQuery,
    FlowTransfer,
    FlowTransferAck,
    FlowTransferEnd,
    Forward,
    TransferredFlow,
)

VOID_COUNT = 3
"""How often a started agent voids the transfers of its earlier runs.

The message is not acknowledged. When all are lost, the transfers expire.
"""

VOID_INTERVAL_MS = 1_000
"""The time between these messages, in milliseconds."""


class HandoverSteering(OwnerDecisions):
    """Transfers flows when the agent stops, and restores them when it starts.

    The agent's process calls `advance_transfer`, `query_flows` and `void_transfers` at
    every tick, and carries out their actions.

    `was_leaving` tells whether the platform listed the agent as leaving before its
    stop; a stopping process announces itself as leaving.
    """

    def __init__(
        self,
        backend_server: str,
        clock: Clock,
        incarnation: int = 1,
        chooser: OwnerChooser | None = None,
    ) -> None:
        super().__init__(backend_server, clock, incarnation, chooser)
        self.outgoing = OutgoingTransfer(clock, backend_server, incarnation)
        self.restoration = FlowRestoration(clock, incarnation)
        self.next_void_ms = 0
        self.voids_left = 0
        self.was_leaving = False

    @singledispatchmethod
    def handle_handover(self, message: object, sender: str) -> list[AgentAction]:
        """Return the actions for a message about the transfer of flows."""
        raise TypeError(f"unknown handover message: {type(message).__name__}")

    @handle_handover.register
    def _(self, message: FlowTransfer, sender: str) -> list[AgentAction]:
        if message.agent == self.backend_server:
            self.restoration.accept(sender, message)
            return []
        if message.agent != sender or not message.part_count:
            self.counters["unexpected_messages"] += 1
            return []
        if not self.transfers.store(message):
            self.counters["transfers_declined"] += 1
            return []
        ack = FlowTransferAck(message.number, message.part, self.incarnation)
        return [Send(sender, ack)]

    @handle_handover.register
    def _(self, message: FlowTransferAck, sender: str) -> list[AgentAction]:
        self.outgoing.acknowledge(sender, message)
        return []

    @handle_handover.register
    def _(self, message: FlowTransferEnd, sender: str) -> list[AgentAction]:
        self.transfers.end(sender, message)
        return []

    @handle_handover.register
    def _(self, message: FlowsQuery, sender: str) -> list[AgentAction]:
        parts = self.transfers.return_parts(
            sender, message.incarnation, message.first_part
        )
        return [Send(sender, part) for part in parts]

    def find_receivers(self) -> dict[str, int]:
        """Return the peers that may decide on flows, with their incarnations.

        An incarnation is 0 if the peer has not been heard of yet.
        """
        if self.row is None:
            return {}
        leases = self.leases_of(self.row.service)
        return {
            name: leases.member(name).incarnation
            for name in leases.list_other_members()
            if not leases.is_confirmed_gone(name)
        }

    def may_transfer(self) -> bool:
        """Return whether the stopping agent is expected to start again.

        A drained backend server, or one that the platform lists as leaving, is not:
        its agent keeps its flows until they end.
        """
        row = self.row
        return (
            self.is_stopping
            and row is not None
            and row.weight > 0
            and not self.was_leaving
        )

    def list_transferable(
        self, find_local_port: FindLocalPort
    ) -> list[TransferredFlow]:
        """Return the owned flows of the service that this agent still belongs to.

        Flows of uncertain ownership are left out: another agent may own them.
        """
        service = self.row.service if self.row is not None else None
        return [
            TransferredFlow(flow, owned.decision_number, find_local_port(flow))
            for flow, owned in self.flows.owned.items()
            if owned.service == service and flow not in self.uncertain_flows
        ]

    def advance_transfer(
        self, path: str, find_local_port: FindLocalPort
    ) -> list[AgentAction]:
        """Return the due parts of the transfer, which is started or renewed if due."""
        if not self.is_stopping:
            self.was_leaving = self.backend_server in self.leaving
        if not self.may_transfer() or self.row is None:
            return []
        receivers = self.find_receivers()
        if not receivers:
            return []
        if 0 not in receivers.values() and self.outgoing.is_due(receivers):
            flows = self.list_transferable(find_local_port)
            self.outgoing.begin(self.row.service, path, receivers, flows)
        return [Send(name, part) for name, part in self.outgoing.list_due_parts()]

    def has_transferred_all(self, find_local_port: FindLocalPort) -> bool:
        """Return whether the peers have all flows that this agent owns now."""
        if not (
            self.may_transfer()
            and self.outgoing.is_complete
            and not self.outgoing.is_due(self.find_receivers())
        ):
            return False
        flows = self.list_transferable(find_local_port)
        return len(flows) == len(self.owned) and self.outgoing.flows.issuperset(flows)

    def has_peers(self) -> bool:
        """Return whether the service has other members, which may decide on flows.

        The next run counts a member of the table as a peer even if it does not answer.
        """
        row = self.row
        return row is not None and bool(
            self.leases_of(row.service).list_other_members()
        )

    def find_left_flows(
        self, find_local_port: FindLocalPort, derive_local_port: FindLocalPort
    ) -> LeftFlows:
        """Return which owned flows the next run can continue without a handover.

        It can continue none if there are peers, which get the flows instead, or if no
        next run is expected. It does not continue flows that it would not accept:
        those of another service, and more than the connection limit allows. Flows of
        uncertain ownership are not left either: another agent may own them.
        """
        row = self.row
        if row is None or self.has_peers() or not self.may_transfer():
            return LeftFlows((), +Counter(not_expected=len(self.owned)))
        served = [
            flow
            for flow, owned in self.flows.owned.items()
            if owned.service == row.service == self.table.find_service(flow)
        ]
        candidates = [flow for flow in served if flow not in self.uncertain_flows]
        found = find_left_flows(candidates, find_local_port, derive_local_port)
        reasons = Counter(
            other_service=len(self.owned) - len(served),
            uncertain=len(served) - len(candidates),
            limit=max(0, len(found.flows) - row.connection_limit),
        )
        left = found.flows[: row.connection_limit]
        return LeftFlows(left, found.ending + reasons)

    def end_transfer(self, *, is_committed: bool) -> list[AgentAction]:
        """Return the messages that commit or void the transfer before the departure."""
        if not self.outgoing.parts:
            return []
        message = FlowTransferEnd(self.incarnation, self.outgoing.number, is_committed)
        return [Send(name, message) for name in self.outgoing.receivers]

    def query_flows(self) -> list[AgentAction]:
        """Return the due queries for the flows of this agent's previous run."""
        if self.row is None or self.restoration.is_finished:
            return []
        peers = self.leases_of(self.row.service).list_other_members()
        return [
            Send(name, query)
            for name, query in self.restoration.list_due_queries(peers)
        ]

    def end_restoration(self) -> None:
        """Start to void the transfers of earlier runs, at once if no flow is restored.

        Otherwise the peers need them until they know the flows by registration, and
        until the leases have expired that this run granted before it owned the flows.
        """
        delay_ms = SILENT_MS if self.owned else 0
        self.next_void_ms = self.clock.now_ms() + delay_ms
        self.voids_left = VOID_COUNT

    def void_transfers(self) -> list[AgentAction]:
        """Return the due messages that void the transfers of earlier runs."""
        now_ms = self.clock.now_ms()
        if not self.voids_left or now_ms < self.next_void_ms:
            return []
        if self.registrations.has_outstanding():
            return []
        self.voids_left -= 1
        self.next_void_ms = now_ms + VOID_INTERVAL_MS
        message = FlowTransferEnd(self.incarnation, 0, False)
        return [Send(name, message) for name in self.find_receivers()]

    def may_restore(self, message: Forward) -> bool:
        """Return whether the flow of a packet may still be restored.

        Until then the packet has to be dropped, as it was while no run of this agent
        was there.
        """
        return message.flow not in self.flows.owned and self.restoration.may_restore(
            message.flow,
            is_sent_to_owner=bool(message.decider) and not message.decision,
        )

    def restore_flow(self, transferred: TransferredFlow, service: str) -> None:
        """Own a flow of the previous run again, and register it with its home."""
        if transferred.flow in self.flows.owned:
            return
        self.flows.open(transferred.flow, service, transferred.decision_number)
        self.update_home(transferred.flow, service)
