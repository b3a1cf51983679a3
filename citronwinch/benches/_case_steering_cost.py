"""The time that a balancer takes to decide on a packet.

This case measures time, so that its output differs from run to run. Each figure is
the least of several rounds, in which both ways take turns.
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

FLOWS = 20_000
"""The flows that are decided on in one round."""

ROUNDS = 15
"""The rounds."""


def make_keys(seed: int, service: Endpoint) -> list[FlowKey]:
    """Return the keys of flows in random order."""
    source = random.Random(seed)
    keys = [
        Flow(
            TransportProtocol.UDP,
            Endpoint(f"203.0.113.{n % 250 + 1}", 1024 + n // 250),
            service,
        ).key
        for n in range(FLOWS)
    ]
    source.shuffle(keys)
    return keys


def time_ns(run: Callable[[], None]) -> float:
    """Return the nanoseconds of a run for each flow."""
    begin = time.perf_counter_ns()
    run()
    return (time.perf_counter_ns() - begin) / FLOWS


def run_case(seed: int) -> dict[str, Any]:
    """Return the cost of each kind of decision beside a look-up with a hash."""
    rows = create_rows(SHAPES[0])
    service = rows[0].service
    keys = make_keys(seed, rows[0].service_address)
    steering = BalancerSteering("balancer-1", 4 * FLOWS)
    steering.accept_table(Table(1, rows))
    for key in keys:
        steering.accept_hint(Hint(key, rows[0].backend_server))
    plain = dict.fromkeys(keys, rows[0].backend_server)
    digest = xxhash.xxh3_64_intdigest

    def look_up() -> None:
        for key in keys:
            digest(key)
            plain.get(key)

    def decide_cached() -> None:
        route = steering.route
        for key in keys:
            route(key, service)

    def decide_new() -> None:
        steering.home_routes.clear()
        find_home = steering.find_home
        for key in keys:
            find_home(key, service)

    kinds = {"plain": look_up, "cached": decide_cached, "uncached": decide_new}
    rounds = [
        {name: time_ns(run) for name, run in kinds.items()} for _ in range(ROUNDS)
    ]
    least = {name: min(one[name] for one in rounds) for name in kinds}
    return {
        "seed": seed,
        "plain_lookup_and_hash_ns": round(least["plain"], 1),
        "cached_decision_ns": round(least["cached"], 1),
        "uncached_decision_ns": round(least["uncached"], 1),
        "cached_decision_ratio": round(least["cached"] / least["plain"], 2),
        "cases": [
            {"name": name, "nanoseconds": round(value, 1)}
            for name, value in least.items()
        ],
    }
