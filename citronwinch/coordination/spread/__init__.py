"""Spread: membership, and the table in force on every process.

`SpreadNode` holds all decisions of one process; the other parts can be used alone.
"""

from citronwinch.coordination.spread._budget import (
    CONTROL_BURST_BYTES,
    CONTROL_BYTES_PER_SECOND,
    ControlBudget,
    ControlPriority,
)
from citronwinch.coordination.spread._delta import (
    TableDelta,
    TableVersion,
    digest_each_service,
    digest_services,
    make_delta,
)
from citronwinch.coordination.spread._failure_detector import (
    FailureDetector,
    TableState,
)
from citronwinch.coordination.spread._history import DeltaHistory
from citronwinch.coordination.spread._join_gate import JoinGate
from citronwinch.coordination.spread._membership import Member, Membership
from citronwinch.coordination.spread._messages import (
    MemberFact,
    MemberStatus,
    Probe,
    ProbeAnswer,
    SendMessage,
    SpreadMessage,
    TableChunk,
    TablePull,
)
from citronwinch.coordination.spread._node import SpreadNode
from citronwinch.coordination.spread._read_schedule import (
    WATCHERS_PER_ZONE,
    ReadSchedule,
)
from citronwinch.coordination.spread._replay_window import (
    WINDOW_MESSAGES,
    ReplayWindow,
)
from citronwinch.coordination.spread._scope import TableScope
from citronwinch.coordination.spread._table_spread import PeerDirectory, TableSpread
from citronwinch.coordination.spread._transfer import (
    CHUNK_BYTES,
    MalformedTransferError,
    TableImage,
    decode_deltas,
    decode_image,
    encode_deltas,
    encode_image,
)

__all__ = [
    "CHUNK_BYTES",
    "CONTROL_BURST_BYTES",
    "CONTROL_BYTES_PER_SECOND",
    "ControlBudget",
    "ControlPriority",
    "DeltaHistory",
    "FailureDetector",
    "JoinGate",
    "MalformedTransferError",
    "Member",
    "MemberFact",
    "MemberStatus",
    "Membership",
    "PeerDirectory",
    "Probe",
    "ProbeAnswer",
    "ReadSchedule",
    "ReplayWindow",
    "SendMessage",
    "SpreadMessage",
    "SpreadNode",
    "TableChunk",
    "TableDelta",
    "TableImage",
    "TablePull",
    "TableScope",
    "TableSpread",
    "TableState",
    "TableVersion",
    "WATCHERS_PER_ZONE",
    "WINDOW_MESSAGES",
    "decode_deltas",
    "decode_image",
    "digest_each_service",
    "digest_services",
    "encode_deltas",
    "encode_image",
    "make_delta",
]
