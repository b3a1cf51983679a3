"""Stand-ins for the fabric, the platform and backend servers, for demo and tests."""

from citronwinch.standins._backend_server import (
    BackendServerSettings,
    BackendServerStandin,
)
from citronwinch.standins._fabric import FabricStandin, run_fabric
from citronwinch.standins._platform import (
    PlatformFaults,
    PlatformStandin,
    run_platform,
)

__all__ = [
    "BackendServerSettings",
    "BackendServerStandin",
    "FabricStandin",
    "PlatformFaults",
    "PlatformStandin",
    "run_fabric",
    "run_platform",
]
