"""A stand-in for the platform's routers."""

import trio

from citronwinch.coordination import Endpoint
from citronwinch.network import HttpError, fetch
from citronwinch.platform import READY_PATH

READINESS_CHECK_SECONDS = 0.1
"""The interval of readiness checks; the real routers check every 0.5 s."""


class Router:
    """Routes each flow to one of the ready balancers.

    The caller's port, in place of the flow's hash, modulo the number of ready
    balancers decides, so that nearly all flows change their balancer whenever a
    balancer joins or leaves.
    """

    def __init__(self, balancers: dict[Endpoint, Endpoint]) -> None:
        self.balancers = balancers
        """The packet address of each balancer, by its address for readiness checks."""
        self.rotation: list[Endpoint] = []
        """The packet addresses of the balancers that were ready at the last check."""

    async def run(self) -> None:
        """Check the readiness of all balancers at intervals until cancelled."""
        while True:
            ready = [
                packet_address
                for ready_address, packet_address in sorted(self.balancers.items())
                if await _is_ready(ready_address)
            ]
            self.rotation = ready
            await trio.sleep(READINESS_CHECK_SECONDS)

    def choose(self, port: int) -> Endpoint:
        """Return the packet address of the balancer for a caller's port."""
        rotation = self.rotation or sorted(self.balancers.values())
        return rotation[port % len(rotation)]


async def _is_ready(endpoint: Endpoint) -> bool:
    try:
        return (await fetch(endpoint, READY_PATH, 300)).status == 200
    except HttpError:
        return False
