"""Records that agents have handed over, and who may have them back."""

from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.requests._actions import RequestArrival
from citronwinch.coordination.requests._completeness import (
    COMPLETE_FOR_LIMIT_MS,
    RecordCompleteness,
)
from citronwinch.coordination.requests._messages import RequestRecords, split_records
from citronwinch.coordination.requests._metadata import RequestKind, RequestMetadata
from citronwinch.coordination.requests._open_requests import OpenRequests
from citronwinch.coordination.requests._records import (
    OPEN_STATES,
    ExportedRecord,
    RequestKey,
)
from citronwinch.coordination.requests._refusals import RefusalFilter
from citronwinch.coordination.requests._window import RequestWindow

RETURN_LIMIT_MS = 30_000
"""How long an agent may have its records back, in milliseconds."""


class CompleteTransfer(NamedTuple):
    """A complete hand-over of another agent."""

    keys: frozenset[RequestKey]
    """The requests."""

    complete_since_ms: int
    """Since when the former owner's records are complete, by the own clock."""

    received_ms: int
    """When it was complete."""


class RecordExchange:
    """Hands records over, takes them over and gives them back.

    A hand-over is given back once. An agent that has its records back from a
    majority of its peers knows that no run of it in between had them, because that
    run would have taken them from one of these peers.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        window: RequestWindow,
        open_requests: OpenRequests,
        completeness: RecordCompleteness,
        refusals: RefusalFilter,
    ) -> None:
        self.name = name
        self.clock = clock
        self.window = window
        self.open = open_requests
        self.completeness = completeness
        self.refusals = refusals
        self.incomplete_transfers: dict[tuple[str, str], set[RequestKey]] = {}
        self.complete_transfers: dict[str, CompleteTransfer] = {}
        self.returning_agents: set[str] = set()

    def make_transfer(self, flow: FlowKey | None = None) -> list[RequestRecords]:
        """Return the records of a flow, or all, for its next owner."""
        records = self.window.export_records(flow)
        now_ms = self.clock.now_ms()
        complete_for_ms = self.completeness.find_complete_for_ms(now_ms)
        if self.refusals.last_added_ms is not None:
            complete_for_ms = min(complete_for_ms, now_ms - self.refusals.last_added_ms)
        return split_records(
            self.name if flow is None else "", complete_for_ms, records
        )

    def accept_records(
        self, message: RequestRecords, sender: str = "", peer_count: int = 1
    ) -> None:
        """Take over records of a former owner.

        With all records of its own former run, given back by a majority of its
        peers, an agent serves at once, from where that run's knowledge began. Records
        that do not fit are as good as lost.
        """
        now_ms = self.clock.now_ms()
        if not self.window.import_records(message.records):
            self.completeness.mark_incomplete(now_ms)
            return
        for item in message.records:
            if item.state in OPEN_STATES and self.open.find(item.key) is None:
                self._add_open_request(item, now_ms)
        if not message.agent or not self._add_records(message, sender):
            return
        if message.agent != self.name:
            self._store_transfer(message, sender, now_ms)
        elif self._add_returning_agent(sender, peer_count):
            self.completeness.mark_complete_since(now_ms - message.complete_for_ms)

    def return_records(self, agent: str) -> list[RequestRecords]:
        """Return the records of an agent that has started again, once."""
        now_ms = self.clock.now_ms()
        transfer = self._claim_transfer(agent, now_ms)
        if transfer is None:
            return []
        exported = self.window.export_records()
        records = [item for item in exported if item.key in transfer.keys]
        complete_for_ms = min(
            now_ms - transfer.complete_since_ms, COMPLETE_FOR_LIMIT_MS
        )
        return split_records(agent, complete_for_ms, records)

    def handle_restart(self, name: str) -> None:
        """Note that a member runs; what it handed over before is of no use to it."""
        self._discard_transfers(name)

    def _add_open_request(self, item: ExportedRecord, now_ms: int) -> None:
        request = RequestMetadata(
            RequestKind.REQUEST, item.key.request_id, item.repeatable, item.remaining_ms
        )
        arrival = RequestArrival(item.key.flow, "", request, b"", now_ms)
        self.open.add(arrival, is_guest=False)
        self.open.add_deadline(item.key, now_ms + item.remaining_ms)

    def _add_records(self, message: RequestRecords, sender: str) -> bool:
        """Note a message; return whether its hand-over is complete now."""
        place = (message.agent, sender)
        received = self.incomplete_transfers.setdefault(place, set())
        received.update(item.key for item in message.records)
        return len(received) >= message.total

    def _store_transfer(
        self, message: RequestRecords, sender: str, now_ms: int
    ) -> None:
        """Keep a complete hand-over of another agent."""
        if message.complete_for_ms < COMPLETE_FOR_LIMIT_MS:
            self.completeness.mark_member_lost(now_ms - message.complete_for_ms)
        keys = frozenset(self.incomplete_transfers.pop((message.agent, sender)))
        complete_since_ms = now_ms - message.complete_for_ms
        self.complete_transfers[message.agent] = CompleteTransfer(
            keys, complete_since_ms, now_ms
        )

    def _add_returning_agent(self, sender: str, peer_count: int) -> bool:
        """Note who gave the own records back; return whether that suffices."""
        self.returning_agents.add(sender)
        return 2 * len(self.returning_agents) > peer_count

    def _claim_transfer(self, agent: str, now_ms: int) -> CompleteTransfer | None:
        """Return a hand-over for the one time that it may be given back."""
        transfer = self.complete_transfers.pop(agent, None)
        if transfer is None:
            return None
        age_ms = now_ms - transfer.received_ms
        return transfer if age_ms <= RETURN_LIMIT_MS else None

    def _discard_transfers(self, agent: str) -> None:
        """Forget the hand-over of an agent that runs again."""
        self.complete_transfers.pop(agent, None)
        for place in [
            place for place in self.incomplete_transfers if place[0] == agent
        ]:
            del self.incomplete_transfers[place]
