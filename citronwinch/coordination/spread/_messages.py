"""The messages by which processes exchange membership and the table."""

from enum import IntEnum
from typing import NamedTuple

from citronwinch.coordination._instances import Instance
from citronwinch.coordination.spread._budget import ControlPriority


class MemberStatus(IntEnum):
    """The status of a member; of two facts with one incarnation, the higher wins."""

    LIVE = 0
    """The member answers probes."""

    SUSPECT = 1
    """The member left probes unanswered and may still refute the suspicion."""

    LEAVING = 2
    """The member announced that it is leaving, or the platform lists it as leaving."""

    UNREACHABLE = 3
    """The member left probes unanswered and did not refute the suspicion in time."""


class MemberFact(NamedTuple):
    """A statement about one member, which members pass on by gossip."""

    name: str
    """The member's name."""

    incarnation: int
    """The member's incarnation, which only the member raises, to refute a suspicion."""

    status: MemberStatus
    """The stated status."""

    instance: Instance | None = None
    """The member's instance; set only by the member itself, and only while the
    platform's listing may not have it yet."""


class Probe(NamedTuple):
    """Asks the receiver to answer, or to probe another member for the sender."""

    number: int
    """The sender's number of the probe, which the answer repeats."""

    digest: bytes
    """The digest of the sender's `TableVersion`; the revision is in the envelope."""

    age_ms: int
    """The time since any process last compared the table with the configuration
    service, as far as the sender knows, in milliseconds."""

    target: str = ""
    """The member that the receiver is to probe; empty for the receiver itself."""

    facts: tuple[MemberFact, ...] = ()
    """Statements about members."""


class ProbeAnswer(NamedTuple):
    """Answers a probe."""

    number: int
    """The number of the probe."""

    digest: bytes
    """The digest of the sender's `TableVersion`; the revision is in the envelope."""

    age_ms: int
    """The time since any process last compared the table with the configuration
    service, as far as the sender knows, in milliseconds."""

    facts: tuple[MemberFact, ...] = ()
    """Statements about members."""


class TablePull(NamedTuple):
    """Asks for a snapshot, for the deltas since a revision, or for chunks of either."""

    since_revision: int
    """The revision whose following deltas are wanted; 0 asks for a snapshot.

    A peer that lacks some of the deltas answers with a snapshot if it can make one.
    """

    scope: str = ""
    """The backend server whose service's rows are wanted in a snapshot; empty for the
    whole table."""

    revision: int = 0
    """The revision of a transfer that the sender has received in part; 0 asks for the
    newest."""

    missing: tuple[int, ...] = ()
    """The numbers of the wanted chunks; empty asks for the first ones."""


class TableChunk(NamedTuple):
    """One part of an encoded snapshot of the table, or of encoded deltas."""

    since_revision: int
    """The revision that the deltas start from; 0 for a snapshot."""

    revision: int
    """The revision that the transfer leads to."""

    digest: bytes
    """The digest of the `TableVersion` at that revision."""

    scope: str
    """The backend server whose service's rows a snapshot has; empty for a snapshot of
    the whole table, and for deltas."""

    number: int
    """The position of this chunk, from 0."""

    chunk_count: int
    """The number of chunks of the transfer."""

    data: bytes
    """The bytes of this chunk."""


SpreadMessage = Probe | ProbeAnswer | TablePull | TableChunk
"""Any message about membership or the table."""


class SendMessage(NamedTuple):
    """A message to send if the control budget allows."""

    receiver: str
    """The name of the receiving instance."""

    message: SpreadMessage
    """The message."""

    priority: ControlPriority
    """The priority with which it draws from the control budget."""
