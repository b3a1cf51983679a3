"""Disturbs messages between balancers and agents for some time."""

import random
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import trio

from citronwinch.soak._faults import Fault, FaultKind
from citronwinch.soak._faulty_launch import ANY_BALANCER, MessageFault, format_faults

if TYPE_CHECKING:
    from citronwinch.soak._run import Soak

LOSS_SHARES = (0.3, 1.0)
"""The shares of messages of which a fault loses one."""

MAX_DELAYS_S = (0.05, 0.4)
"""The longest delays of messages of which a fault has one, in seconds."""


class MessageFaults:
    """The faults of messages at present, in the file that the processes read."""

    def __init__(self, file: Path) -> None:
        self.file = file
        self.faults: list[MessageFault] = []

    @contextmanager
    def disturb(self, faults: list[MessageFault]) -> Iterator[None]:
        """Have these faults besides those of others meanwhile."""
        self.faults += faults
        self._write()
        try:
            yield
        finally:
            for fault in faults:
                self.faults.remove(fault)
            self._write()

    def _write(self) -> None:
        new_file = self.file.with_suffix(".new")
        new_file.write_text(format_faults(self.faults))
        new_file.replace(self.file)


def make_message_faults(
    kind: FaultKind, agent_ip: str, balancer_ip: str, rng: random.Random
) -> list[MessageFault]:
    """Return a fault for each disturbed direction between agent and balancer."""
    loss_share = max_delay_s = 0.0
    if kind is FaultKind.MESSAGES_LATE:
        max_delay_s = rng.choice(MAX_DELAYS_S)
    else:
        loss_share = rng.choice(LOSS_SHARES)
    directions = [(agent_ip, balancer_ip), (balancer_ip, agent_ip)]
    if kind is FaultKind.MESSAGES_LOST_ONE_WAY:
        directions = [rng.choice(directions)]
    return [MessageFault(*ends, loss_share, max_delay_s) for ends in directions]


async def disturb_messages(soak: "Soak", fault: Fault) -> None:
    """Disturb the messages of an agent with one balancer or with all of them."""
    rng = random.Random(f"{soak.seed} {fault.start_s}")
    agents, balancers = (
        [soak.fleet.instances[name].ip for name in soak.fleet.list_names(role)]
        for role in ("agent", "balancer")
    )
    agent = agents[fault.target_index % len(agents)]
    balancer = rng.choice([ANY_BALANCER, rng.choice(balancers)])
    faults = make_message_faults(fault.kind, agent, balancer, rng)
    await apply_message_faults(soak, faults, fault.duration_s)


async def apply_message_faults(
    soak: "Soak", faults: list[MessageFault], seconds: float
) -> None:
    """Apply faults for some time, which counts as disrupted."""
    with soak.message_faults.disturb(faults), trio.move_on_after(seconds):
        while True:
            soak.last_disruption_s = time.monotonic()
            for fault in faults:
                for ip in (fault.sender, fault.receiver):
                    soak.fleet.impaired_s[ip] = soak.last_disruption_s
            await trio.sleep(0.05)
