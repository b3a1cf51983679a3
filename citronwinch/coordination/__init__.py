"""The coordination logic without input and output, for embedding.

Everything in this package is a value, a pure function or a small state machine
that takes its clock and random generator as arguments. Nothing in it imports a socket
or an event loop. The values that all subpackages share are exported here:

- `citronwinch.coordination.steering` places flows and finds their owners again;
- `citronwinch.coordination.requests` suppresses duplicate requests and retries failed
  ones;
- `citronwinch.coordination.flows` decides about flows whose bytes are opaque;
- `citronwinch.coordination.load` balances new flows and sheds overload;
- `citronwinch.coordination.spread` keeps membership and the table up to date.
"""

from citronwinch.coordination._address import (
    Endpoint,
    Flow,
    FlowKey,
    TransportProtocol,
    pack_flow_key,
    pack_ip,
    unpack_flow_key,
)
from citronwinch.coordination._clock import Clock, ManualClock, MonotonicClock
from citronwinch.coordination._instances import Instance, InstanceRole, InstanceState
from citronwinch.coordination._placement import (
    hash_seed,
    rank_candidates,
    score_candidate,
)
from citronwinch.coordination._table import (
    EMPTY_TABLE,
    Table,
    TableRow,
    digest_rows,
    row_fields,
)

__all__ = [
    "Clock",
    "EMPTY_TABLE",
    "Endpoint",
    "Flow",
    "FlowKey",
    "Instance",
    "InstanceRole",
    "InstanceState",
    "ManualClock",
    "MonotonicClock",
    "Table",
    "TableRow",
    "TransportProtocol",
    "digest_rows",
    "hash_seed",
    "pack_flow_key",
    "pack_ip",
    "rank_candidates",
    "row_fields",
    "score_candidate",
    "unpack_flow_key",
]
