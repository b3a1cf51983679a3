"""The balancer and agent processes for flows with opaque bytes."""

from citronwinch.forwarder._run import run_forwarder
from citronwinch.forwarder._settings import (
    FORWARDER_SPECS,
    ForwarderSettings,
    parse_forwarder_settings,
)

__all__ = [
    "FORWARDER_SPECS",
    "ForwarderSettings",
    "parse_forwarder_settings",
    "run_forwarder",
]
