"""The decisions of the agent beside a backend server."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination._placement import rank_candidates
from citronwinch.coordination._table import EMPTY_TABLE, Table
from citronwinch.coordination.requests import RequestMetadata
from citronwinch.coordination.steering._messages import Forward, Hint


class Deliver(NamedTuple):
    """Hand the packet to the backend server."""

    flow: FlowKey
    """The flow, which this agent owns."""

    packet: bytes
    """The IP packet."""

    request: RequestMetadata | None = None
    """What the caller said of its request."""


class PassOn(NamedTuple):
    """Send the message to another agent of the service."""

    agent: str
    """The backend server beside that agent."""

    message: Forward
    """What to send."""


class TellBalancer(NamedTuple):
    """Tell a balancer where a flow lives."""

    balancer: str
    """The balancer."""

    hint: Hint
    """What to tell."""


class Refuse(NamedTuple):
    """Refuse the packet; it was not delivered."""

    flow: FlowKey
    """The flow."""

    packet: bytes
    """The IP packet."""

    reason: str
    """Why, in a word that is also the metric's label."""

    retry_after_ms: int
    """When the caller may ask again."""

    request: RequestMetadata | None = None
    """What the caller said of its request."""

    is_certain: bool = True
    """Whether no other process can have delivered a copy of the packet."""


AgentAction = Deliver | PassOn | TellBalancer | Refuse
"""What an agent does about a message."""

RETRY_AFTER_MS = 1_000
"""When a refused caller may ask again, in milliseconds."""


class OwnedFlow(NamedTuple):
    """What the agent keeps of a flow that it owns."""

    service: str
    """The service under which the flow was opened."""

    last_seen_ms: int
    """When its last packet was seen."""


class AgentSteering:
    """Decides what happens to packets at the agent beside one backend server."""

    def __init__(self, backend_server: str, clock: Clock) -> None:
        self.backend_server = backend_server
        self.clock = clock
        self.table: Table = EMPTY_TABLE
        self.owned: dict[FlowKey, OwnedFlow] = {}
        self.passed_on: dict[FlowKey, str] = {}

    def accept_table(self, table: Table) -> None:
        """Use a table from now on; a lower revision is ignored."""
        if table.revision > self.table.revision:
            self.table = table

    def handle_forward(self, message: Forward) -> list[AgentAction]:
        """Return what to do about a forwarded packet."""
        owned = self.owned.get(message.flow)
        if owned is not None:
            return self.deliver_owned(message, owned)
        if message.flow in self.passed_on and not message.pinned:
            return [self.pass_on(message, self.passed_on[message.flow])]
        row = self.table.row_by_backend_server.get(self.backend_server)
        if row is None or row.service != message.service:
            return [refuse(message, "wrong_service")]
        if not message.opens:
            return [refuse(message, "no_such_flow")]
        if row.weight > 0 and len(self.owned) < row.connection_limit:
            owned = OwnedFlow(message.service, self.clock.now_ms())
            self.owned[message.flow] = owned
            return self.deliver_owned(message, owned)
        return self.pass_to_next(message)

    def deliver_owned(self, message: Forward, owned: OwnedFlow) -> list[AgentAction]:
        """Deliver a packet of an owned flow and hint its balancer if it went astray."""
        if owned.service != message.service:
            return [refuse(message, "wrong_service")]
        self.owned[message.flow] = owned._replace(last_seen_ms=self.clock.now_ms())
        actions: list[AgentAction] = [
            Deliver(message.flow, message.packet, message.request)
        ]
        if message.hops or not message.pinned:
            hint = Hint(message.flow, self.backend_server)
            actions.append(TellBalancer(message.balancer, hint))
        return actions

    def pass_to_next(self, message: Forward) -> list[AgentAction]:
        """Pass a new flow to the next candidate, or refuse it after the last."""
        rows = self.table.rows_by_service.get(message.service, ())
        candidates = [
            row.backend_server
            for row in rank_candidates(message.flow, rows)
            if row.backend_server != self.backend_server
        ]
        if message.hops >= len(candidates):
            return [refuse(message, "full")]
        successor = candidates[message.hops]
        self.passed_on[message.flow] = successor
        return [self.pass_on(message, successor)]

    def pass_on(self, message: Forward, agent: str) -> PassOn:
        """Return the message as it goes to another agent."""
        return PassOn(agent, message._replace(hops=message.hops + 1, pinned=True))

    def end_flow(self, flow: FlowKey) -> None:
        """Forget a flow that has ended."""
        self.owned.pop(flow, None)


def refuse(message: Forward, reason: str) -> Refuse:
    """Return the refusal of a forwarded packet."""
    return Refuse(
        message.flow,
        message.packet,
        reason,
        RETRY_AFTER_MS,
        message.request,
        is_certain=reason == "full",
    )
