"""Stores the flows of stopped agents until their next runs take them up again.

A stopping agent transfers its flows to its peers, the other agents of its service.
While a transfer is valid, no peer gives one of its flows to another agent: packets of
the flow are dropped while the agent is away, and forwarded to its next run.

All times count from the listing of the flows by the stopping agent, which each message
says, so that the peers agree on them within the time that a message takes.
"""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.steering._messages import (
    FlowTransfer,
    FlowTransferEnd,
    TransferredFlow,
)

TRANSFER_MS = 30_000
"""How long a transfer keeps its flows from other agents, in milliseconds.

It bounds how long callers of an agent that does not come back wait for a refusal. It
equals the default stop timeout, which is how long flows were kept without a transfer.
"""

TRANSFER_RETURN_MS = 20_000
"""The age up to which a transfer is returned to the next run, in milliseconds.

An agent that got it from some peers waits as long for the others. The difference to
`TRANSFER_MS` is longer than a lease (5 s) and the time to register the flows: by the
time another agent may own the flow, its home has either heard of the next run's
ownership or no lease of that run.
"""

TRANSFERRED_FLOWS_LIMIT = 65_536
"""The most flows of other agents that are stored."""

RETURNED_PARTS = 64
"""The most parts in the answer to one query, so that no receive buffer overflows."""

PARTS_LIMIT = 4_096
"""The most parts of one transfer."""


class AwayFlow(NamedTuple):
    """A flow that belongs to an agent that has stopped."""

    agent: str
    """The agent."""

    service: str
    """The service of the flow."""

    expires_ms: int
    """When other agents may own the flow, in milliseconds."""


class HeldTransfer:
    """The transfer of one agent.

    `first_part` has the fields that all parts share. `claimed_by` is the incarnation
    of the run to which the transfer was returned, 0 before that; it is returned to no
    other run.
    """

    def __init__(self, first_part: FlowTransfer, listed_ms: int) -> None:
        self.first_part = first_part
        self.listed_ms = listed_ms
        self.receivers = dict(first_part.receivers)
        self.parts: dict[int, tuple[TransferredFlow, ...]] = {}
        self.is_committed = False
        self.claimed_by = 0

    @property
    def version(self) -> tuple[int, int]:
        """The run and the number of the transfer; a higher one is later."""
        return self.first_part.incarnation, self.first_part.number

    @property
    def is_complete(self) -> bool:
        """Whether all parts have arrived."""
        return len(self.parts) == self.first_part.part_count

    def count_flows(self) -> int:
        """Return the number of flows that have arrived."""
        return sum(map(len, self.parts.values()))


class HeldTransfers:
    """The transfers of other agents, and their flows by key.

    `away_flows` also has flows that the answer to a query named as away. They are not
    part of a stored transfer, and are never returned.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.by_agent: dict[str, HeldTransfer] = {}
        self.away_flows: dict[FlowKey, AwayFlow] = {}

    def store(self, message: FlowTransfer) -> bool:
        """Store one part; return False if it is outdated or there is no room."""
        held = self.by_agent.get(message.agent)
        version = (message.incarnation, message.number)
        if held is not None and version < held.version:
            return False
        if message.age_ms >= TRANSFER_MS or message.part_count > PARTS_LIMIT:
            return False
        if held is None or version > held.version:
            self.discard_agent(message.agent)
            held = HeldTransfer(message, self.clock.now_ms() - message.age_ms)
        if message.part not in held.parts and not self.has_room(len(message.flows)):
            return False
        self.by_agent[message.agent] = held
        held.parts[message.part] = message.flows
        if held.is_complete:
            self.index(held)
        return True

    def has_room(self, count: int) -> bool:
        """Return whether there is room for `count` more flows."""
        stored = sum(held.count_flows() for held in self.by_agent.values())
        used = max(stored, len(self.away_flows))
        return used + count <= TRANSFERRED_FLOWS_LIMIT

    def index(self, held: HeldTransfer) -> None:
        """Keep the flows of a complete transfer from other agents."""
        transfer = held.first_part
        away = AwayFlow(transfer.agent, transfer.service, held.listed_ms + TRANSFER_MS)
        for flows in held.parts.values():
            for transferred in flows:
                self.away_flows[transferred.flow] = away

    def end(self, agent: str, message: FlowTransferEnd) -> None:
        """Commit the transfer of an agent, or discard void transfers."""
        held = self.by_agent.get(agent)
        version = (message.incarnation, message.number)
        if held is None:
            return
        if message.is_committed and held.version == version:
            held.is_committed = held.is_complete
        elif not message.is_committed and held.version <= version:
            self.discard_agent(agent)

    def return_parts(
        self, agent: str, incarnation: int, first_part: int = 0
    ) -> list[FlowTransfer]:
        """Return the transfer of an agent's previous run to its run `incarnation`.

        The answer has up to `RETURNED_PARTS` parts. Only one run gets them. Without a
        committed transfer that is recent enough, the answer is one message without
        parts.
        """
        held = self.by_agent.get(agent)
        now_ms = self.clock.now_ms()
        if (
            held is None
            or not held.is_committed
            or incarnation <= held.first_part.incarnation
            or held.claimed_by not in (0, incarnation)
            or now_ms - held.listed_ms > TRANSFER_RETURN_MS
        ):
            return [FlowTransfer(agent, 0, 0)]
        held.claimed_by = incarnation
        return [
            held.first_part._replace(
                age_ms=now_ms - held.listed_ms, part=part, flows=flows
            )
            for part, flows in sorted(held.parts.items())
            if first_part <= part < first_part + RETURNED_PARTS
        ]

    def find(self, flow: FlowKey, service: str) -> AwayFlow | None:
        """Return the valid transfer of a flow of a service, None without one."""
        if not self.away_flows:
            return None
        away = self.away_flows.get(flow)
        if (
            away is None
            or away.service != service
            or self.clock.now_ms() >= away.expires_ms
        ):
            return None
        return away

    def record_away(
        self, flow: FlowKey, service: str, owner: str, away_ms: int
    ) -> bool:
        """Record a flow of a transfer that another peer holds; False without room."""
        if flow not in self.away_flows and not self.has_room(1):
            return False
        expires_ms = self.clock.now_ms() + min(away_ms, TRANSFER_MS)
        self.away_flows[flow] = AwayFlow(owner, service, expires_ms)
        return True

    def discard(self, flow: FlowKey, agent: str | None = None) -> None:
        """Stop keeping a flow, of any agent or of the given one, from others."""
        away = self.away_flows.get(flow)
        if away is not None and agent in (None, away.agent):
            del self.away_flows[flow]

    def discard_agent(self, agent: str) -> None:
        """Remove the transfer of an agent."""
        held = self.by_agent.pop(agent, None)
        for flows in held.parts.values() if held is not None else ():
            for transferred in flows:
                self.discard(transferred.flow, agent)

    def is_informed(self, member: str, incarnation: int, service: str) -> bool:
        """Return whether a run of a member got all transfers that are stored here.

        If not, it has to query the owner of each flow before it decides on the flow.
        The agent that made a transfer knows it in any case.
        """
        now_ms = self.clock.now_ms()
        return all(
            held.receivers.get(member) == incarnation
            for agent, held in self.by_agent.items()
            if agent != member
            and held.first_part.service == service
            and held.is_complete
            and now_ms < held.listed_ms + TRANSFER_MS
        )

    def expire(self) -> None:
        """Remove what is no longer valid."""
        if not self.by_agent and not self.away_flows:
            return
        now_ms = self.clock.now_ms()
        for agent, held in list(self.by_agent.items()):
            if now_ms >= held.listed_ms + TRANSFER_MS:
                self.discard_agent(agent)
        if any(away.expires_ms <= now_ms for away in self.away_flows.values()):
            self.away_flows = {
                flow: away
                for flow, away in self.away_flows.items()
                if now_ms < away.expires_ms
            }
