"""The decisions of a balancer."""

from collections import OrderedDict
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._placement import rank_candidates
from citronwinch.coordination._table import EMPTY_TABLE, Table
from citronwinch.coordination.steering._messages import Forward, Hint


class Packet(NamedTuple):
    """A packet from the fabric, already parsed."""

    flow: FlowKey
    """Its flow."""

    data: bytes
    """The whole IP packet."""

    opens: bool
    """Whether it may open a flow."""

    ends: bool = False
    """Whether it ends the flow: a FIN or RST."""


class Route(NamedTuple):
    """Where a balancer sends a packet."""

    agent: str
    """The name of the backend server whose agent gets it."""

    pinned: bool
    """Whether the balancer knows that agent as the flow's owner."""


class BalancerSteering:
    """Chooses an agent for each packet.

    It keeps nothing that cannot be lost: a bounded cache of owners that agents have
    told, and the current table.
    """

    def __init__(self, name: str, cache_limit: int = 300_000) -> None:
        self.name = name
        self.cache_limit = cache_limit
        self.table: Table = EMPTY_TABLE
        self.owners: OrderedDict[FlowKey, str] = OrderedDict()

    def accept_table(self, table: Table) -> None:
        """Use a table from now on; a lower revision is ignored."""
        if table.revision > self.table.revision:
            self.table = table

    def accept_hint(self, hint: Hint) -> None:
        """Remember the owner of a flow, or forget it when the hint names none."""
        if not hint.owner:
            self.owners.pop(hint.flow, None)
            return
        if hint.flow not in self.owners and len(self.owners) >= self.cache_limit:
            self.owners.popitem(last=False)
        self.owners[hint.flow] = hint.owner

    def route(self, flow: FlowKey, service: str) -> Route | None:
        """Return where a packet of the flow goes, None when no agent can take it."""
        owner = self.owners.get(flow)
        if owner is not None:
            return Route(owner, pinned=True)
        candidates = rank_candidates(flow, self.table.rows_by_service.get(service, ()))
        if not candidates:
            return None
        return Route(candidates[0].backend_server, pinned=False)

    def forward(self, packet: Packet, service: str) -> tuple[str, Forward] | None:
        """Return the agent and the message for a packet, None when none can take it."""
        route = self.route(packet.flow, service)
        if route is None:
            return None
        return route.agent, Forward(
            flow=packet.flow,
            service=service,
            packet=packet.data,
            balancer=self.name,
            opens=packet.opens,
            pinned=route.pinned,
        )
