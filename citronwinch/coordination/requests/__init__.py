"""Requests: what callers say of them, and what becomes of them.

`AgentRequests` decides at the agent; `CallerRequests` is for the caller's side.
"""

from citronwinch.coordination.requests._actions import (
    Discard,
    EndGuestFlow,
    PassCancel,
    RequestAction,
    RequestArrival,
    RetryElsewhere,
    SendPart,
    StartRequest,
    TellOutcome,
)
from citronwinch.coordination.requests._agent import AgentRequests
from citronwinch.coordination.requests._answers import AnswerKeeper
from citronwinch.coordination.requests._assembly import AnswerAssembly, PartRejected
from citronwinch.coordination.requests._caller import (
    CallEnded,
    CallerAction,
    CallerRequests,
    RequestOutcome,
    SendRequest,
)
from citronwinch.coordination.requests._eras import RequestEras
from citronwinch.coordination.requests._messages import (
    RecordsQuery,
    RequestRecords,
    RequestsMessage,
    RetryRequest,
)
from citronwinch.coordination.requests._metadata import (
    PACKET_LIFETIME_MS,
    REQUEST_ID_BYTES,
    REQUEST_TIMEOUT_LIMIT_MS,
    RequestKind,
    RequestMetadata,
)
from citronwinch.coordination.requests._records import (
    RECORD_BYTES,
    ExportedRecord,
    RequestKey,
    RequestRecord,
    RequestState,
)
from citronwinch.coordination.requests._retries import RetryBudget, choose_backoff_ms
from citronwinch.coordination.requests._window import RequestWindow

__all__ = [
    "AgentRequests",
    "AnswerAssembly",
    "AnswerKeeper",
    "CallEnded",
    "CallerAction",
    "CallerRequests",
    "Discard",
    "EndGuestFlow",
    "ExportedRecord",
    "PACKET_LIFETIME_MS",
    "PartRejected",
    "PassCancel",
    "RECORD_BYTES",
    "RecordsQuery",
    "REQUEST_ID_BYTES",
    "REQUEST_TIMEOUT_LIMIT_MS",
    "RequestAction",
    "RequestArrival",
    "RequestEras",
    "RequestKey",
    "RequestKind",
    "RequestMetadata",
    "RequestOutcome",
    "RequestRecord",
    "RequestRecords",
    "RequestState",
    "RequestWindow",
    "RequestsMessage",
    "RetryBudget",
    "RetryElsewhere",
    "RetryRequest",
    "SendPart",
    "SendRequest",
    "StartRequest",
    "TellOutcome",
    "choose_backoff_ms",
]
