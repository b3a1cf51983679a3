"""At-most-once execution of requests, with a truthful outcome for the caller.

`AgentRequests` handles requests at the agent, `CallerRequests` at the caller.
"""

from citronwinch.coordination.requests._actions import (
    DeliverCancel,
    Discard,
    EndGuestFlow,
    RequestAction,
    RequestArrival,
    RetryElsewhere,
    SendOutcome,
    SendPart,
    StartRequest,
)
from citronwinch.coordination.requests._agent import AgentRequests
from citronwinch.coordination.requests._answer_cache import AnswerCache
from citronwinch.coordination.requests._assembly import AnswerAssembly, PartRejected
from citronwinch.coordination.requests._caller import (
    CallEnded,
    CallerAction,
    CallerRequests,
    RequestOutcome,
    SendRequest,
)
from citronwinch.coordination.requests._completeness import RecordCompleteness
from citronwinch.coordination.requests._home_changes import HomeChanges
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
    "AnswerCache",
    "CallEnded",
    "CallerAction",
    "CallerRequests",
    "Discard",
    "EndGuestFlow",
    "ExportedRecord",
    "HomeChanges",
    "PACKET_LIFETIME_MS",
    "PartRejected",
    "DeliverCancel",
    "RECORD_BYTES",
    "RecordsQuery",
    "REQUEST_ID_BYTES",
    "REQUEST_TIMEOUT_LIMIT_MS",
    "RequestAction",
    "RequestArrival",
    "RecordCompleteness",
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
    "SendOutcome",
    "choose_backoff_ms",
]
