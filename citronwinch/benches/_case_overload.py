"""The effect of an overload of 30 s, with and without the load shedding of the agents.

Callers offer 0.8 times the capacity of the service, then 1.5 times, then 0.8 times
again. Goodput counts the requests whose answer came before the caller's deadline. It
has recovered from the first second in which it reaches nine tenths of the requests
offered in that second, if the later seconds, except for one in twenty, do so too.
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
"""The offered load: normal, overload, normal again."""

RECOVERED_RATIO = 0.9
"""The ratio of goodput to offered requests from which a second is recovered."""

TOLERATED_SHORTFALL_SHARE = 0.05
"""The share of later seconds that may miss `RECOVERED_RATIO` by chance."""

VARIANTS = (
    Variant("with the policy", sheds=True, drops_expired=True),
    Variant("with the policy, servers ignore deadlines", True, False),
    Variant("without the policy", sheds=False, drops_expired=True),
    Variant("without the policy, servers ignore deadlines", False, False),
)
"""The variants that are compared."""


def run_case(seed: int) -> dict[str, Any]:
    """Run all variants and return their figures."""
    return {"seed": seed, "cases": [measure(variant, seed) for variant in VARIANTS]}


def measure(variant: Variant, seed: int) -> dict[str, Any]:
    """Run one variant and return its figures."""
    world = OverloadWorld(variant, PHASES, seed)
    world.run()
    normal_ms, overload_ms, end_ms = (phase.until_ms for phase in PHASES)
    return {
        "name": variant.name,
        "goodput_before": compute_goodput(world, 0, normal_ms),
        "goodput_in_overload": compute_goodput(world, normal_ms, overload_ms),
        "goodput_after": compute_goodput(world, overload_ms, end_ms),
        "recovery_ms": compute_recovery_ms(world, overload_ms, end_ms),
        # Level changes in the first 5 s after the overload belong to the recovery.
        "level_changes_after_recovery": sum(
            1 for at_ms in world.level_changes if at_ms >= overload_ms + 5_000
        ),
        "last_level_change_ms": max([overload_ms, *world.level_changes]) - overload_ms,
        "attempts_per_request": round(world.attempts / world.request_count, 3),
        "work_per_answer": round(
            world.work_done / max(1, sum(world.answered_in_second.values())), 3
        ),
        "answered_share_established": compute_answered_share(
            world, is_established=True
        ),
        "answered_share_new": compute_answered_share(world, is_established=False),
        "unanswered": sum(
            count for key, count in world.outcomes.items() if key[0] == "unanswered"
        ),
    }


def compute_goodput(world: OverloadWorld, start_ms: int, end_ms: int) -> float:
    """Return the mean answers per second relative to the capacity."""
    seconds = range(start_ms // 1_000, end_ms // 1_000)
    mean = fmean(world.answered_in_second[second] for second in seconds)
    return round(mean / CAPACITY_PER_SECOND, 3)


def compute_recovery_ms(world: OverloadWorld, start_ms: int, end_ms: int) -> int | None:
    """Return how long the goodput took to recover, None when it did not."""
    seconds = list(range(start_ms // 1_000, end_ms // 1_000))
    is_recovered = [
        world.answered_in_second[second]
        >= world.offered_in_second[second] * RECOVERED_RATIO
        for second in seconds
    ]
    for first in range(len(seconds) - 1):
        later = is_recovered[first:]
        if later[0] and later.count(False) <= len(later) * TOLERATED_SHORTFALL_SHARE:
            return first * 1_000
    return None


def compute_answered_share(world: OverloadWorld, is_established: bool) -> float:
    """Return the answered share of requests of established flows, or of new ones."""
    request_counts = {
        key[0]: count
        for key, count in world.outcomes.items()
        if key[1] is is_established
    }
    return round(
        request_counts.get("answered", 0) / max(1, sum(request_counts.values())), 4
    )
