"""Load: which backend server takes a new flow, and when work is refused.

`AgentLoad` is what an agent uses. It is made of parts that can be used alone: the
chooser over a view of the peers' reports, the schedule of the own reports, the ramp of
a server that joins, and the judgement of a server by the outcomes of its requests.
"""

from citronwinch.coordination.load._agent_load import AddressedReport, AgentLoad
from citronwinch.coordination.load._chooser import FirstCandidateChooser, OwnerChooser
from citronwinch.coordination.load._load_aware import LoadAwareChooser
from citronwinch.coordination.load._outcomes import (
    EndedRequest,
    Outcome,
    OutcomeSummary,
    OutcomeTracker,
)
from citronwinch.coordination.load._outlier import OutlierPolicy
from citronwinch.coordination.load._overload import (
    RETRY_AFTER_MS,
    ConcurrencyLimit,
    OverloadGuard,
    OverloadLevel,
)
from citronwinch.coordination.load._ramp import ColdStartRamp
from citronwinch.coordination.load._report import (
    FULL_SHARE_THOUSANDTHS,
    LoadReport,
    ServerState,
)
from citronwinch.coordination.load._schedule import REPORT_INTERVAL_MS, ReportSchedule
from citronwinch.coordination.load._view import LoadView, ReportOrigin

__all__ = [
    "AddressedReport",
    "AgentLoad",
    "ColdStartRamp",
    "ConcurrencyLimit",
    "EndedRequest",
    "FULL_SHARE_THOUSANDTHS",
    "FirstCandidateChooser",
    "LoadAwareChooser",
    "LoadReport",
    "LoadView",
    "Outcome",
    "OutcomeSummary",
    "OutcomeTracker",
    "OutlierPolicy",
    "OverloadGuard",
    "OverloadLevel",
    "OwnerChooser",
    "REPORT_INTERVAL_MS",
    "RETRY_AFTER_MS",
    "ReportOrigin",
    "ReportSchedule",
    "ServerState",
]
