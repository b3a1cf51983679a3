"""Events that the tasks of a daemon send to its deciding task."""

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
    """Frames that were received from the fabric."""

    frames: list[Datagram]
    """The datagrams, in order of arrival."""

    earliest_arrival_ms: int = 0
    """No datagram of this batch, or of a later one, arrived before this time.

    It is in milliseconds of the process's clock.
    """


class PeerBatch(NamedTuple):
    """Messages of other balancers and agents."""

    envelopes: list[Envelope]
    """The authentic and well-formed messages, in order of arrival.

    Empty if no datagram held such a message, or if none arrived within
    `IDLE_INTERVAL_MS`; the event then still carries `earliest_arrival_ms`.
    """

    earliest_arrival_ms: int = 0
    """No message of this batch, or of a later one, arrived before this time.

    It is in milliseconds of the process's clock.
    """


class ReplyArrived(NamedTuple):
    """The backend server sent a datagram or a TCP segment."""

    reply: Reply
    """The datagram or segment, with its flow."""


class KeyWasRead(NamedTuple):
    """A read of a key of the configuration service succeeded or failed."""

    request: KeyRequest
    """The request of the read."""

    result: Result[KeyValue, str]
    """The value, or the reason of the failure."""


class TableWasJoined(NamedTuple):
    """A table was assembled from its keys and checked."""

    result: Result[TableRead | None, str]
    """The table, None if it is not newer, or why it is invalid."""


class ListWasRead(NamedTuple):
    """A read of the list of instances succeeded or failed."""

    result: Result[InstanceList, str]
    """The list, or the reason of the failure."""


class InstancesChanged(NamedTuple):
    """The instances changed, because of a new list or of news from peers."""

    instances: tuple[Instance, ...]
    """All known instances."""


class Tick(NamedTuple):
    """The tick interval has passed."""

    now_ms: int
    """The time, in milliseconds of the process's clock."""


class StopRequested(NamedTuple):
    """The process received SIGTERM or SIGINT."""


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
"""All events that the deciding task handles."""
