"""Stand-ins for the platform's store, routers, callers and backend servers."""

from citronwinch.platform.standins._caller import Caller, FlowOutcome
from citronwinch.platform.standins._router import Router
from citronwinch.platform.standins._server import StandInServer
from citronwinch.platform.standins._store import (
    DEAF_PERIOD_MS,
    StandInStore,
    StoreFault,
)

__all__ = [
    "DEAF_PERIOD_MS",
    "Caller",
    "FlowOutcome",
    "Router",
    "StandInServer",
    "StandInStore",
    "StoreFault",
]
