"""Load: which backend server owns a new flow, and when requests are shed.

An agent uses `AgentLoad`. Its parts can also be used alone:

- `LoadAwareChooser` chooses owners from a `LoadView` of the peers' reports;
- `ReportSchedule` decides when reports are sent, and to which peers;
- `ColdStartRamp` raises the share of a server that has just started;
- `OutcomeTracker` and `OutlierPolicy` set a server's share by its request outcomes;
- `OverloadGuard` sheds requests when too many are in progress.
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
    LoadState,
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
    "LoadState",
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
]
