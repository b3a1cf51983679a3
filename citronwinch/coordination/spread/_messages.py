"""Messages between all processes about membership and the table."""

from enum import IntEnum
from typing import NamedTuple

from citronwinch.coordination._instances import Instance
from citronwinch.coordination.spread._budget import ControlPriority


class MemberStatus(IntEnum):
    """What is known of a member; of two facts on one incarnation the higher wins."""

    LIVE = 0
    """It answers."""

    SUSPECT = 1
    """It left probes unanswered and may still refute that."""

    LEAVING = 2
    """It said that it is leaving."""

    UNREACHABLE = 3
    """It left probes unanswered and did not refute that in time."""


class MemberFact(NamedTuple):
    """A statement about one member, spread by all members."""

    name: str
    """The member's name."""

    incarnation: int
    """The member's run, raised by the member itself to refute a suspicion."""

    status: MemberStatus
    """What is stated."""

    instance: Instance | None = None
    """The member, when it describes itself; others are known from list or facts."""


class Probe(NamedTuple):
    """Asks the receiver for a sign of life, its own or that of another member."""

    number: int
    """The number of the probe, which its answer repeats."""

    digest: bytes
    """The digest of the sender's table; the envelope names the revision."""

    age_ms: int
    """How long ago the table was last compared with the service, by anyone known."""

    target: str = ""
    """The member that the receiver shall probe; empty: the receiver itself."""

    facts: tuple[MemberFact, ...] = ()
    """Statements about members."""


class ProbeAnswer(NamedTuple):
    """Answers a probe."""

    number: int
    """The number of the probe."""

    digest: bytes
    """The digest of the sender's table."""

    age_ms: int
    """How long ago the table was last compared with the service, by anyone known."""

    facts: tuple[MemberFact, ...] = ()
    """Statements about members."""


class TablePull(NamedTuple):
    """Asks for the table, or for what changed in it."""

    since_revision: int
    """The sender's revision; 0 asks for all rows."""

    scope: str = ""
    """The backend server whose service's rows are wanted; empty: those of all."""

    revision: int = 0
    """The revision of a transfer that has begun; 0 asks for the newest."""

    missing: tuple[int, ...] = ()
    """The numbers of the chunks that are wanted; none asks for the first ones."""


class TableChunk(NamedTuple):
    """A part of an encoded table or of encoded changes."""

    since_revision: int
    """The revision that the changes start from; 0 when all rows are sent."""

    revision: int
    """The revision that the receiver has afterwards."""

    digest: bytes
    """The digest of the table at that revision."""

    scope: str
    """The backend server whose service's rows are sent; empty: those of all."""

    number: int
    """The number of this chunk, from 0."""

    chunk_count: int
    """The number of chunks."""

    data: bytes
    """The bytes of this chunk."""


SpreadMessage = Probe | ProbeAnswer | TablePull | TableChunk
"""Everything that processes say to each other about membership and the table."""


class SendMessage(NamedTuple):
    """A message that shall be sent if the budget allows."""

    receiver: str
    """The name of the receiving instance."""

    message: SpreadMessage
    """The message."""

    priority: ControlPriority
    """What it is charged as."""
