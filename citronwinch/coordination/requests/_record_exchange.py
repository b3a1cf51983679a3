"""Transfer of request records between the agents of a service."""

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
"""The maximum age of a transfer whose records are returned, in milliseconds."""


class CompleteTransfer(NamedTuple):
    """A transfer of which all records of another agent have arrived."""

    keys: frozenset[RequestKey]
    """The requests of the records."""

    complete_since_ms: int
    """The time from which on the other agent's records are complete.

    It is a time of this agent's clock, in milliseconds.
    """

    received_ms: int
    """When the last record arrived, in milliseconds."""


class RecordExchange:
    """Transfers records to other agents and returns them after a restart.

    A stopping agent transfers its records to its peers, the other agents of the
    service. Its next run asks the peers for the records, and each peer returns them
    once. An agent to which a majority of its peers has returned the records knows
    that no run in between had them: any two majorities share a peer, and that peer
    would have returned the records to the run in between.

    `peers_with_returned_records` are the peers that have returned all records of this
    agent's previous run.
    """

    def __init__(
        self,
        name: str,
        clock: Clock,
        window: RequestWindow,
        requests: OpenRequests,
        completeness: RecordCompleteness,
        refusals: RefusalFilter,
    ) -> None:
        self.name = name
        self.clock = clock
        self.window = window
        self.open_requests = requests
        self.completeness = completeness
        self.refusals = refusals
        self.incomplete_transfers: dict[tuple[str, str], set[RequestKey]] = {}
        self.complete_transfers: dict[str, CompleteTransfer] = {}
        self.peers_with_returned_records: set[str] = set()

    def make_transfer(self, flow: FlowKey | None = None) -> list[RequestRecords]:
        """Return messages with the records of a flow, or of all flows.

        They go to the flow's next owner or, for all flows, to the peers. Refusals
        that only the Bloom filter holds cannot be exported, so that the records count
        as complete only since the latest of them.
        """
        records = self.window.export_records(flow)
        now_ms = self.clock.now_ms()
        complete_for_ms = self.completeness.compute_complete_for_ms(now_ms)
        if self.refusals.last_added_ms is not None:
            complete_for_ms = min(complete_for_ms, now_ms - self.refusals.last_added_ms)
        return split_records(
            self.name if flow is None else "", complete_for_ms, records
        )

    def accept_records(
        self, message: RequestRecords, sender: str = "", peer_count: int = 1
    ) -> None:
        """Import records of a flow's previous owner, a peer or the previous run.

        Once a majority of the peers has returned all records of its previous run, an
        agent accepts new requests: its records are complete from the same time on as
        those of the previous run. Records that do not fit the window count as lost.
        """
        now_ms = self.clock.now_ms()
        if not self.window.import_records(message.records):
            self.completeness.mark_incomplete(now_ms)
            return
        for record in message.records:
            if (
                record.state in OPEN_STATES
                and self.open_requests.find(record.key) is None
            ):
                self._add_open_request(record, now_ms)
        if not message.agent or not self._store_message(message, sender):
            return
        if message.agent != self.name:
            self._store_transfer(message, sender, now_ms)
        elif self._record_returning_peer(sender, peer_count):
            self.completeness.mark_complete_since(now_ms - message.complete_for_ms)

    def return_records(self, agent: str) -> list[RequestRecords]:
        """Return the records of a restarted agent; only the first call has them."""
        now_ms = self.clock.now_ms()
        transfer = self._claim_transfer(agent, now_ms)
        if transfer is None:
            return []
        exported_records = self.window.export_records()
        records = [record for record in exported_records if record.key in transfer.keys]
        complete_for_ms = min(
            now_ms - transfer.complete_since_ms, COMPLETE_FOR_LIMIT_MS
        )
        return split_records(agent, complete_for_ms, records)

    def handle_restart(self, name: str) -> None:
        """Discard the records of an agent that restarted without asking for them."""
        self._discard_transfers(name)

    def _add_open_request(self, record: ExportedRecord, now_ms: int) -> None:
        request = RequestMetadata(
            RequestKind.REQUEST,
            record.key.request_id,
            record.repeatable,
            record.remaining_ms,
        )
        arrival = RequestArrival(record.key.flow, "", request, b"", now_ms)
        self.open_requests.add(arrival, is_guest=False)
        self.open_requests.add_deadline(record.key, now_ms + record.remaining_ms)

    def _store_message(self, message: RequestRecords, sender: str) -> bool:
        """Store the keys of a message; return whether its transfer is complete."""
        transfer_id = (message.agent, sender)
        received = self.incomplete_transfers.setdefault(transfer_id, set())
        received.update(record.key for record in message.records)
        return len(received) >= message.total

    def _store_transfer(
        self, message: RequestRecords, sender: str, now_ms: int
    ) -> None:
        """Store the complete transfer of another agent, to return it later."""
        if message.complete_for_ms < COMPLETE_FOR_LIMIT_MS:
            self.completeness.mark_member_lost(now_ms - message.complete_for_ms)
        keys = frozenset(self.incomplete_transfers.pop((message.agent, sender)))
        complete_since_ms = now_ms - message.complete_for_ms
        self.complete_transfers[message.agent] = CompleteTransfer(
            keys, complete_since_ms, now_ms
        )

    def _record_returning_peer(self, sender: str, peer_count: int) -> bool:
        """Record a peer that returned all records; return whether a majority has."""
        self.peers_with_returned_records.add(sender)
        return 2 * len(self.peers_with_returned_records) > peer_count

    def _claim_transfer(self, agent: str, now_ms: int) -> CompleteTransfer | None:
        """Remove and return a transfer; None if there is none or it is too old."""
        transfer = self.complete_transfers.pop(agent, None)
        if transfer is None:
            return None
        age_ms = now_ms - transfer.received_ms
        return transfer if age_ms <= RETURN_LIMIT_MS else None

    def _discard_transfers(self, agent: str) -> None:
        """Remove the complete and incomplete transfers of an agent."""
        self.complete_transfers.pop(agent, None)
        for transfer_id in [
            transfer_id
            for transfer_id in self.incomplete_transfers
            if transfer_id[0] == agent
        ]:
            del self.incomplete_transfers[transfer_id]
