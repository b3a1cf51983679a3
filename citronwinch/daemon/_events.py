"""What the tasks of a daemon tell the task that decides."""

from typing import NamedTuple

from expression import Result

from citronwinch.backend_servers import Reply
from citronwinch.configuration_service import (
    InstanceList,
    KeyRequest,
    KeyValue,
    TableRead,
)
from citronwinch.coordination import Instance
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


class KeyWasRead(NamedTuple):
    """A key of the configuration service was read, or could not be."""

    request: KeyRequest
    """What was asked for."""

    result: Result[KeyValue, str]
    """The value, or why there is none."""


class TableWasJoined(NamedTuple):
    """The keys of a table were put together and checked."""

    result: Result[TableRead | None, str]
    """The table, None when it is not newer, or what is wrong with it."""


class ListWasRead(NamedTuple):
    """The list of instances was read, or could not be."""

    result: Result[InstanceList, str]
    """The list, or why there is none."""


class InstancesChanged(NamedTuple):
    """The list of instances was read, or peers stated something new about one."""

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
    | KeyWasRead
    | TableWasJoined
    | ListWasRead
    | InstancesChanged
    | Tick
    | StopRequested
)
"""Everything that the deciding task reacts to."""
