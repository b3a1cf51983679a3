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
"""How long an agent that runs again may take to ask, in milliseconds.

It is shorter than the time in which a fresh agent takes no requests, so that nobody
gives records back to a later run of an agent that has taken requests since.
"""


class RecordHandler:
    """Hands records over at the end, asks for them at the start, and gives them back.

    It belongs to the deciding task of the agent.
    """

    def __init__(self, process: "AgentProcess", requests: AgentRequests) -> None:
        self.process = process
        self.requests = requests
        self.gone_members: set[str] = set()
        self.transfer_incarnations: dict[str, int] = {}
        self.restarted_ms: dict[str, int] = {}
        self.last_incarnations: dict[str, int] = {}
        self.silent_members: set[str] = set()
        self.has_queried = False
        self.has_transferred = False

    def find_peers(self) -> list[str]:
        """Return the other agents of the service."""
        steering = self.process.steering
        row = steering.row
        return list(steering.leases_of(row.service).others()) if row else []

    def send_all(self, agent: str, messages: Sequence[RequestsMessage]) -> None:
        """Send messages to an agent, if it is known where it is."""
        address = self.process.find_address(agent)
        if address is None:
            return
        for message in messages:
            self.process.peers.send(message, address)

    def transfer_records(self) -> None:
        """Give all records to the other agents of the service, once.

        From then on this agent refuses nothing for sure, because no record of it
        would be handed over.
        """
        if self.has_transferred:
            return
        self.has_transferred = True
        messages = self.requests.records.make_transfer()
        self.requests.completeness.mark_incomplete(self.process.clock.now_ms())
        for name in self.find_peers():
            self.send_all(name, messages)
        amount = len(self.requests.window.records)
        self.process.metrics.count("request_records_handed_over_total", amount=amount)

    def handle_message(
        self, envelope: Envelope, message: RequestRecords | RecordsQuery
    ) -> None:
        """Handle records, or a question for records."""
        sender = envelope.sender
        if isinstance(message, RequestRecords):
            peer_count = len(self.find_peers())
            self.requests.records.accept_records(message, sender, peer_count)
            self.transfer_incarnations[sender] = envelope.incarnation
            self.restarted_ms.pop(sender, None)
        elif message.agent == sender:
            self.send_all(sender, self.requests.records.return_records(sender))

    def query_records(self) -> None:
        """Ask once for what the former run handed over."""
        peers = self.find_peers()
        if self.has_queried or not peers or not self.process.instances:
            return
        self.has_queried = True
        for name in peers:
            self.send_all(name, [RecordsQuery(self.process.settings.name)])

    def observe_sender(self, envelope: Envelope) -> None:
        """Note that an agent which handed its records over, or was silent, is back.

        A member that was cut off and runs on may have decided meanwhile, as the others
        may have for its flows.
        """
        if envelope.sender in self.silent_members:
            self.silent_members.discard(envelope.sender)
            if self.last_incarnations.get(envelope.sender) == envelope.incarnation:
                self.process.metrics.count("request_members_returned_total")
                self.requests.mark_member_lost()
        self.last_incarnations[envelope.sender] = envelope.incarnation
        former = self.transfer_incarnations.get(envelope.sender)
        if former is not None and envelope.incarnation > former:
            now_ms = self.process.clock.now_ms()
            self.restarted_ms.setdefault(envelope.sender, now_ms)

    def check_members(self) -> None:
        """Note who is gone without records, and who is back without asking."""
        now_ms = self.process.clock.now_ms()
        for name, restarted_ms in list(self.restarted_ms.items()):
            if now_ms - restarted_ms > RECORDS_QUERY_TIMEOUT_MS:
                self.requests.records.handle_restart(name)
                del self.restarted_ms[name]
                del self.transfer_incarnations[name]
        row = self.process.steering.row
        if row is None:
            return
        leases = self.process.steering.leases_of(row.service)
        others = list(leases.others())
        gone = {name for name in others if leases.is_gone(name)}
        self.silent_members = {name for name in others if leases.is_silent(name)}
        self.last_incarnations = {
            name: run for name, run in self.last_incarnations.items() if name in others
        }
        lost = (
            gone - self.gone_members - self.requests.records.complete_transfers.keys()
        )
        if lost:
            self.process.metrics.count("request_records_lost_total", amount=len(lost))
            self.requests.mark_member_lost()
        self.gone_members = gone
