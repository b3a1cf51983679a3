"""The time that a balancer takes to choose the agent for a packet.

This case measures time, so its output differs from run to run. Each figure is the
minimum over several rounds, each of which measures every kind of decision once.
"""

import random
import time
from collections.abc import Callable
from typing import Any

import xxhash

from citronwinch.benches._case_steering import SHAPES
from citronwinch.benches._steering_fleet import create_rows
from citronwinch.coordination import Endpoint, Flow, FlowKey, Table, TransportProtocol
from citronwinch.coordination.steering import BalancerSteering, Hint

FLOW_COUNT = 20_000
"""The number of flows for which one round decides."""

ROUND_COUNT = 15
"""The number of rounds."""


def make_keys(seed: int, service: Endpoint) -> list[FlowKey]:
    """Return the keys of flows in random order."""
    source = random.Random(seed)
    keys = [
        Flow(
            TransportProtocol.UDP,
            Endpoint(f"203.0.113.{n % 250 + 1}", 1024 + n // 250),
            service,
        ).key
        for n in range(FLOW_COUNT)
    ]
    source.shuffle(keys)
    return keys


def measure_ns_per_flow(run: Callable[[], None]) -> float:
    """Return the nanoseconds per flow that a function takes for all flows."""
    start_ns = time.perf_counter_ns()
    run()
    return (time.perf_counter_ns() - start_ns) / FLOW_COUNT


def run_case(seed: int) -> dict[str, Any]:
    """Return the time of each kind of decision, and that of a hash and a look-up."""
    rows = create_rows(SHAPES[0])
    service = rows[0].service
    keys = make_keys(seed, rows[0].service_address)
    steering = BalancerSteering("balancer-1", 4 * FLOW_COUNT)
    steering.accept_table(Table(1, rows))
    for key in keys:
        steering.accept_hint(Hint(key, rows[0].backend_server))
    # The baseline of `cached_decision_ratio`: a hash and one look-up in a dictionary.
    plain = dict.fromkeys(keys, rows[0].backend_server)
    digest = xxhash.xxh3_64_intdigest

    def look_up() -> None:
        for key in keys:
            digest(key)
            plain.get(key)

    def decide_cached() -> None:
        find_route = steering.find_route
        for key in keys:
            find_route(key, service)

    def decide_uncached() -> None:
        steering.home_routes.clear()
        find_home_route = steering.find_home_route
        for key in keys:
            find_home_route(key, service)

    decisions = {"plain": look_up, "cached": decide_cached, "uncached": decide_uncached}
    rounds = [
        {name: measure_ns_per_flow(run) for name, run in decisions.items()}
        for _ in range(ROUND_COUNT)
    ]
    minima = {name: min(timings[name] for timings in rounds) for name in decisions}
    return {
        "seed": seed,
        "plain_lookup_and_hash_ns": round(minima["plain"], 1),
        "cached_decision_ns": round(minima["cached"], 1),
        "uncached_decision_ns": round(minima["uncached"], 1),
        "cached_decision_ratio": round(minima["cached"] / minima["plain"], 2),
        "cases": [
            {"name": name, "nanoseconds": round(value, 1)}
            for name, value in minima.items()
        ],
    }
