"""Flows that are opened to check that some backend servers get none."""

from typing import TYPE_CHECKING

from citronwinch.coordination import Endpoint
from citronwinch.platform.standins import FlowOutcome

if TYPE_CHECKING:
    from citronwinch.soak._run import Soak

PROBE_FLOW_COUNT = 15
"""The number of flows opened to check that some backend servers get none.

It is three for each backend server of the larger service, replacement included.
"""


async def open_probe_flows(soak: "Soak", address: Endpoint) -> None:
    """Open and close flows; soak.open_flow() records those that break a promise."""
    for _ in range(PROBE_FLOW_COUNT):
        port = soak.allocate_port()
        if await soak.open_flow(port, address) is FlowOutcome.DONE:
            soak.caller.close(port, address)
