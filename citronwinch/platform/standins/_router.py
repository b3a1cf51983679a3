"""A stand-in for the platform's routers."""

import trio

from citronwinch.coordination import Endpoint
from citronwinch.network import HttpError, fetch
from citronwinch.platform import READY_PATH

PROBE_SECONDS = 0.1
"""How often readiness is asked for; the real routers ask every 0.5 s."""


class Router:
    """Chooses a balancer for each flow by hash over those in rotation.

    The flow's hash modulo their number decides, so that nearly all flows move
    whenever a balancer joins or leaves.
    """

    def __init__(self, balancers: dict[Endpoint, Endpoint]) -> None:
        self.balancers = balancers
        """Where each balancer takes packets, by where it tells its readiness."""
        self.rotation: list[Endpoint] = []

    async def run(self) -> None:
        """Follow the readiness of the balancers until cancelled."""
        while True:
            ready = [
                packets
                for ready, packets in sorted(self.balancers.items())
                if await _is_ready(ready)
            ]
            self.rotation = ready
            await trio.sleep(PROBE_SECONDS)

    def choose(self, port: int) -> Endpoint:
        """Return the balancer for a caller's port."""
        rotation = self.rotation or sorted(self.balancers.values())
        return rotation[port % len(rotation)]


async def _is_ready(endpoint: Endpoint) -> bool:
    try:
        return (await fetch(endpoint, READY_PATH, 300)).status == 200
    except HttpError:
        return False
