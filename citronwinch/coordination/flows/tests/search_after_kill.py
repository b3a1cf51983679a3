"""Measures how soon a balancer finds open flows after all balancers were killed.

The balancer knows no flow; all agents live and know theirs. Callers send a packet
within a second, and repeat it until their flow is found. The decisions of the balancer
and of the agents are those of the product; the link carries questions and answers, in
a queue for each direction. Run by hand:

    python -m citronwinch.coordination.flows.tests.search_after_kill --seeds 1-3
"""

import argparse
import random
import sys
from functools import partial
from typing import NamedTuple

from citronwinch.coordination import FlowKey
from citronwinch.coordination.flows import Action
from citronwinch.coordination.flows._actions import Record
from citronwinch.coordination.flows.tests.conftest import make_packet
from citronwinch.coordination.flows.tests.search_load import (
    PEER_IPS,
    Network,
    SearchLoad,
)

AGENTS = 51
BALANCERS = 20
FIRST_PACKETS_MS = 1_000
REPEATS_MS = (0, 200, 600, 1_400, 3_000, 4_600, 6_200, 7_800)
RUN_MS = 12_000
FIRST_PORT = 2_000
BYTES_PER_MS_AND_MBPS = 125


class Recovery(NamedTuple):
    """What the callers of one balancer saw."""

    flows: int
    """The number of flows whose packets came to the balancer."""

    found: int
    """How many of them were found."""

    found_99_ms: float | None
    """The time from a flow's first packet until it was found, for 99% of all flows;
    None if fewer were found."""

    failed_searches: int
    """The searches that ended without a result."""

    late_unasked: int
    """Those of them that ended later than 3 s after the first packet of the run, and
    had not asked all silent agents."""

    question_bytes: int
    """The size of all questions."""


class KilledBalancer(SearchLoad):
    """A balancer that has just started among agents with open flows."""

    def __init__(self, link_mbps: int) -> None:
        network = Network(link_bytes_per_ms=link_mbps * BYTES_PER_MS_AND_MBPS)
        super().__init__(AGENTS, link_mbps, network, PEER_IPS)
        self.found_ms: dict[FlowKey, float] = {}
        self.failed: list[tuple[float, Record]] = []

    def send_until_found(self, port: int, at_ms: float) -> None:
        """Let a caller send a packet, and its copies until the flow is found."""
        flow = make_packet(port).flow

        def repeat(since_ms: int) -> None:
            if flow not in self.found_ms:
                self.send_packet(port, at_ms + since_ms)

        for since_ms in REPEATS_MS:
            self.schedule(100_000 + at_ms + since_ms, partial(repeat, since_ms))

    def apply(self, actions: list[Action]) -> None:
        """Carry out the actions of the balancer; record how searches end."""
        for action in actions:
            if not isinstance(action, Record) or action.packet is None:
                continue
            if action.event == "flow_found":
                self.found_ms.setdefault(action.packet.flow, self.now)
            elif action.event == "flow_not_found":
                self.failed.append((self.now, action))
        super().apply(actions)


def measure_recovery(flows_per_agent: int, link_mbps: int, seed: int) -> Recovery:
    """Return what the callers of one of `BALANCERS` balancers see."""
    rng = random.Random(seed)
    balancer = KilledBalancer(link_mbps)
    holders = [
        server.address.ip for server in balancer.servers if server.service == "gauging"
    ]
    flows = max(1, AGENTS * flows_per_agent // BALANCERS)
    for port in range(FIRST_PORT, FIRST_PORT + flows):
        balancer.open_flow(port, rng.choice(holders))
        balancer.send_until_found(port, rng.uniform(0, FIRST_PACKETS_MS))
    balancer.run(RUN_MS)
    assert not balancer.reset_ms
    times_ms = sorted(
        found_ms - balancer.first_packet_ms[flow]
        for flow, found_ms in balancer.found_ms.items()
    )
    needed = -(-99 * flows // 100)
    late = [record for at_ms, record in balancer.failed if at_ms > 103_000]
    return Recovery(
        flows,
        len(times_ms),
        round(times_ms[needed - 1], 1) if len(times_ms) >= needed else None,
        len(balancer.failed),
        sum(bool(dict(record.fields)["questions_unsent"]) for record in late),
        balancer.question_bytes,
    )


def main() -> None:
    """Write a line for each link, number of flows and seed."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="1")
    first, _, last = parser.parse_args().seeds.partition("-")
    for link_mbps in (5, 10, 200):
        for flows_per_agent in (1, 10, 100, 1_000):
            for seed in range(int(first), int(last or first) + 1):
                found = measure_recovery(flows_per_agent, link_mbps, seed)
                sys.stdout.write(
                    f"{link_mbps} Mbit/s, {flows_per_agent} flows an agent: {found}\n"
                )


if __name__ == "__main__":
    main()
