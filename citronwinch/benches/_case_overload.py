"""What an overload of 30 s does, with the real policy and without it.

Callers offer 0.8 times what the service can do, then 1.5 times, then 0.8 times again.
Goodput is the requests whose answer came while the caller waited. It has returned when
every following second but one in twenty reaches nine tenths of what is offered then.
"""

from statistics import fmean
from typing import Any

from citronwinch.benches._overload_world import (
    CAPACITY_PER_SECOND,
    OverloadWorld,
    Phase,
    Variant,
)

PHASES = (Phase(20_000, 0.8), Phase(50_000, 1.5), Phase(90_000, 0.8))
"""The offered load: usual, overloaded, usual again."""

RECOVERED_RATIO = 0.9
"""Goodput relative to the offered requests from which a second counts as well."""

TOLERATED_SECONDS = 0.05
"""The share of later seconds that may fall short by chance."""

VARIANTS = (
    Variant("with the policy", sheds=True, drops_expired=True),
    Variant("with the policy, servers ignore deadlines", True, False),
    Variant("without the policy", sheds=False, drops_expired=True),
    Variant("without the policy, servers ignore deadlines", False, False),
)
"""What is compared."""


def run_case(seed: int) -> dict[str, Any]:
    """Run all variants and return their figures."""
    return {"seed": seed, "cases": [measure(variant, seed) for variant in VARIANTS]}


def measure(variant: Variant, seed: int) -> dict[str, Any]:
    """Run one variant and return its figures."""
    world = OverloadWorld(variant, PHASES, seed)
    world.run()
    usual_ms, overload_ms, end_ms = (phase.until_ms for phase in PHASES)
    return {
        "name": variant.name,
        "goodput_before": find_goodput(world, 0, usual_ms),
        "goodput_in_overload": find_goodput(world, usual_ms, overload_ms),
        "goodput_after": find_goodput(world, overload_ms, end_ms),
        "recovery_ms": find_recovery_ms(world, overload_ms, end_ms),
        "level_changes_after_recovery": sum(
            1 for at_ms in world.level_changes if at_ms >= overload_ms + 5_000
        ),
        "attempts_per_request": round(world.attempts / world.number, 3),
        "work_per_answer": round(
            world.work_done / max(1, sum(world.answered_in_second.values())), 3
        ),
        "answered_share_established": find_share(world, is_established=True),
        "answered_share_new": find_share(world, is_established=False),
        "unanswered": sum(
            count for key, count in world.outcomes.items() if key[0] == "unanswered"
        ),
    }


def find_goodput(world: OverloadWorld, start_ms: int, end_ms: int) -> float:
    """Return the answers per second relative to the capacity."""
    seconds = range(start_ms // 1_000, end_ms // 1_000)
    mean = fmean(world.answered_in_second[second] for second in seconds)
    return round(mean / CAPACITY_PER_SECOND, 3)


def find_recovery_ms(world: OverloadWorld, start_ms: int, end_ms: int) -> int | None:
    """Return how long the goodput took to return, None when it did not."""
    seconds = list(range(start_ms // 1_000, end_ms // 1_000))
    is_well = [
        world.answered_in_second[second]
        >= world.offered_in_second[second] * RECOVERED_RATIO
        for second in seconds
    ]
    for first in range(len(seconds) - 1):
        later = is_well[first:]
        if later[0] and later.count(False) <= len(later) * TOLERATED_SECONDS:
            return first * 1_000
    return None


def find_share(world: OverloadWorld, is_established: bool) -> float:
    """Return the share of the requests of one kind that were answered."""
    ended = {
        key[0]: count
        for key, count in world.outcomes.items()
        if key[1] is is_established
    }
    return round(ended.get("answered", 0) / max(1, sum(ended.values())), 4)
