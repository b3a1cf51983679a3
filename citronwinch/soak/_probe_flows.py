"""Flows that are opened to check that some backend servers get none."""

from typing import TYPE_CHECKING

from citronwinch.coordination import Endpoint
from citronwinch.platform.standins import FlowOutcome

if TYPE_CHECKING:
    from citronwinch.soak._run import Soak

PROBE_FLOW_COUNT = 60
"""The number of flows opened to check that some backend servers get none.

It is twelve for each backend server of the larger service, replacement included. A
balancer takes another zone once its own one has eight more flows, so that with three
for each server one of five often got none although it was ready.
"""


async def open_probe_flows(soak: "Soak", address: Endpoint) -> None:
    """Open some flows, then close them; soak.open_flow() records broken promises.

    All are open at the same time: balancers would give flows that follow each other all
    to the least loaded backend server, and none to one that must not get any.
    """
    opened = []
    for _ in range(PROBE_FLOW_COUNT):
        port = soak.allocate_port()
        if await soak.open_flow(port, address) is FlowOutcome.DONE:
            opened.append(port)
    for port in opened:
        soak.caller.close(port, address)
