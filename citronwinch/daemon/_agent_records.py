"""Exchange of request records with the other agents of the service."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

from citronwinch.coordination.requests import (
    AgentRequests,
    RecordsQuery,
    RequestRecords,
    RequestsMessage,
)
from citronwinch.peers import Envelope

if TYPE_CHECKING:
    from citronwinch.daemon._agent_process import AgentProcess

RECORDS_QUERY_TIMEOUT_MS = 2_000
"""How long a restarted agent may take to query its records, in milliseconds.

It is shorter than the time in which a started agent accepts no requests, so that no
agent returns records to a restarted agent that has already accepted requests.
"""


class RecordHandler:
    """Exchanges request records with the other agents of the service.

    A stopping agent transfers its records to the other agents and queries them after
    its restart; meanwhile the other agents store them. Only the deciding task of the
    agent uses this class.

    Three attributes are keyed by the name of another agent: `transfer_incarnations`
    holds its incarnation when it last sent records, `restart_times_ms` the time at
    which a later incarnation was first observed, and `last_incarnations` the
    incarnation in its last message. `gone_members` holds the agents that were gone at
    the last check of the members, `silent_members` those that were silent for so long
    that they held no lease.
    """

    def __init__(self, process: "AgentProcess", requests: AgentRequests) -> None:
        self.process = process
        self.requests = requests
        self.gone_members: set[str] = set()
        self.transfer_incarnations: dict[str, int] = {}
        self.restart_times_ms: dict[str, int] = {}
        self.last_incarnations: dict[str, int] = {}
        self.silent_members: set[str] = set()
        self.has_queried = False
        self.has_transferred = False

    def find_peers(self) -> list[str]:
        """Return the other agents of the service."""
        steering = self.process.steering
        row = steering.row
        return list(steering.leases_of(row.service).list_other_members()) if row else []

    def send_all(self, agent: str, messages: Sequence[RequestsMessage]) -> None:
        """Send messages to an agent; drop them if its address is unknown."""
        address = self.process.find_address(agent)
        if address is None:
            return
        for message in messages:
            self.process.peers.send(message, address)

    def transfer_records(self) -> None:
        """Send all records to the other agents of the service, once.

        From then on the records count as incomplete, so that this agent answers
        `UNKNOWN` instead of `NOT_RUN`: the record of a later refusal would not be
        transferred.
        """
        if self.has_transferred:
            return
        self.has_transferred = True
        messages = self.requests.record_exchange.make_transfer()
        self.requests.completeness.mark_incomplete(self.process.clock.now_ms())
        for name in self.find_peers():
            self.send_all(name, messages)
        amount = len(self.requests.window.records)
        self.process.metrics.count("request_records_handed_over_total", amount=amount)

    def handle_message(
        self, envelope: Envelope, message: RequestRecords | RecordsQuery
    ) -> None:
        """Import another agent's records, or return the records that it queries.

        An agent may query only the records that its own previous run transferred.
        """
        sender = envelope.sender
        if isinstance(message, RequestRecords):
            peer_count = len(self.find_peers())
            self.requests.record_exchange.accept_records(message, sender, peer_count)
            self.transfer_incarnations[sender] = envelope.incarnation
            self.restart_times_ms.pop(sender, None)
        elif message.agent == sender:
            self.send_all(sender, self.requests.record_exchange.return_records(sender))

    def query_records(self) -> None:
        """Query once the records that the previous run of this agent transferred."""
        peers = self.find_peers()
        if self.has_queried or not peers or not self.process.instances:
            return
        self.has_queried = True
        for name in peers:
            self.send_all(name, [RecordsQuery(self.process.settings.name)])

    def observe_sender(self, envelope: Envelope) -> None:
        """Detect that an agent restarted after a transfer, or is silent no longer.

        A silent member that returns with the same incarnation was only cut off. It
        may have decided about requests meanwhile, and so may the other members have
        about requests of its flows; therefore it counts as a lost member.
        """
        if envelope.sender in self.silent_members:
            self.silent_members.discard(envelope.sender)
            if self.last_incarnations.get(envelope.sender) == envelope.incarnation:
                self.process.metrics.count("request_members_returned_total")
                self.requests.mark_member_lost()
        self.last_incarnations[envelope.sender] = envelope.incarnation
        transfer_incarnation = self.transfer_incarnations.get(envelope.sender)
        if (
            transfer_incarnation is not None
            and envelope.incarnation > transfer_incarnation
        ):
            now_ms = self.process.clock.now_ms()
            self.restart_times_ms.setdefault(envelope.sender, now_ms)

    def check_members(self) -> None:
        """Detect members that are gone, and restarted ones that query no records.

        A member that is gone without a complete transfer of its records is lost. The
        records of a restarted agent are discarded if it does not query them in time.
        """
        now_ms = self.process.clock.now_ms()
        for name, restarted_ms in list(self.restart_times_ms.items()):
            if now_ms - restarted_ms > RECORDS_QUERY_TIMEOUT_MS:
                self.requests.record_exchange.handle_restart(name)
                del self.restart_times_ms[name]
                del self.transfer_incarnations[name]
        row = self.process.steering.row
        if row is None:
            return
        leases = self.process.steering.leases_of(row.service)
        others = list(leases.list_other_members())
        gone_members = {name for name in others if leases.is_confirmed_gone(name)}
        self.silent_members = {name for name in others if leases.is_silent(name)}
        self.last_incarnations = {
            name: incarnation
            for name, incarnation in self.last_incarnations.items()
            if name in others
        }
        lost_members = (
            gone_members
            - self.gone_members
            - self.requests.record_exchange.complete_transfers.keys()
        )
        if lost_members:
            self.process.metrics.count(
                "request_records_lost_total", amount=len(lost_members)
            )
            self.requests.mark_member_lost()
        self.gone_members = gone_members
