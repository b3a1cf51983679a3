"""Membership of the fleet, and dissemination of the table of backend servers.

Every process probes its peers and gossips about their status and the table's revision.
`GossipNode` makes all these decisions for one process; its parts can be used alone.
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
from citronwinch.coordination.spread._gossip_node import GossipNode
from citronwinch.coordination.spread._history import DeltaHistory
from citronwinch.coordination.spread._member_view import Member
from citronwinch.coordination.spread._membership import Membership
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
from citronwinch.coordination.spread._push_rounds import PeerDirectory
from citronwinch.coordination.spread._read_schedule import (
    WATCHERS_PER_ZONE,
    ReadSchedule,
)
from citronwinch.coordination.spread._readiness_gate import ReadinessGate
from citronwinch.coordination.spread._replay_window import (
    WINDOW_MESSAGES,
    ReplayWindow,
)
from citronwinch.coordination.spread._scope import TableScope
from citronwinch.coordination.spread._table_replica import TableReplica
from citronwinch.coordination.spread._transfer import (
    CHUNK_BYTES,
    MalformedTransferError,
    TableSnapshot,
    decode_deltas,
    decode_snapshot,
    encode_deltas,
    encode_snapshot,
)

__all__ = [
    "CHUNK_BYTES",
    "CONTROL_BURST_BYTES",
    "CONTROL_BYTES_PER_SECOND",
    "ControlBudget",
    "ControlPriority",
    "DeltaHistory",
    "FailureDetector",
    "GossipNode",
    "MalformedTransferError",
    "Member",
    "MemberFact",
    "MemberStatus",
    "Membership",
    "PeerDirectory",
    "Probe",
    "ProbeAnswer",
    "ReadSchedule",
    "ReadinessGate",
    "ReplayWindow",
    "SendMessage",
    "SpreadMessage",
    "TableChunk",
    "TableDelta",
    "TablePull",
    "TableReplica",
    "TableScope",
    "TableSnapshot",
    "TableState",
    "TableVersion",
    "WATCHERS_PER_ZONE",
    "WINDOW_MESSAGES",
    "decode_deltas",
    "decode_snapshot",
    "digest_each_service",
    "digest_services",
    "encode_deltas",
    "encode_snapshot",
    "make_delta",
]
