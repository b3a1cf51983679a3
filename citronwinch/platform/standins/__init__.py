"""Small stand-ins for what the platform runs: store, routers, callers, servers."""

from citronwinch.platform.standins._caller import Caller, FlowOutcome
from citronwinch.platform.standins._router import Router
from citronwinch.platform.standins._server import StandInServer
from citronwinch.platform.standins._store import StandInStore, StoreFault

__all__ = [
    "Caller",
    "FlowOutcome",
    "Router",
    "StandInServer",
    "StandInStore",
    "StoreFault",
]
