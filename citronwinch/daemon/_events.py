"""What the tasks of a daemon tell the task that decides."""

from typing import NamedTuple

from citronwinch.backend_servers import Reply
from citronwinch.coordination import Instance, Table
from citronwinch.network import Datagram
from citronwinch.peers import Envelope


class FabricBatch(NamedTuple):
    """Frames that the fabric handed over."""

    frames: list[Datagram]
    """The datagrams, in order of arrival."""

    arrived_ms: int = 0
    """The earliest time at which these and later datagrams may have arrived."""


class PeerBatch(NamedTuple):
    """Messages of the system's other processes."""

    envelopes: list[Envelope]
    """The messages, in order of arrival; empty when none came for a while."""

    arrived_ms: int = 0
    """The earliest time at which these and later messages may have arrived."""


class ReplyArrived(NamedTuple):
    """The backend server answered."""

    reply: Reply
    """The answer."""


class TableChanged(NamedTuple):
    """A table was read and found valid."""

    table: Table
    """The table."""


class InstancesChanged(NamedTuple):
    """The list of instances was read."""

    instances: tuple[Instance, ...]
    """The instances."""


class Tick(NamedTuple):
    """Time has passed."""

    now_ms: int
    """The time."""


class StopRequested(NamedTuple):
    """The process was asked to stop."""


Event = (
    FabricBatch
    | PeerBatch
    | ReplyArrived
    | TableChanged
    | InstancesChanged
    | Tick
    | StopRequested
)
"""Everything that the deciding task reacts to."""
