"""Searches small fleets for orders of events that break the promise about a flow.

The search for deep sequences takes long, and is run by hand::

    python -m citronwinch.coordination.flows.tests.search_small_fleets \
        --seeds 1-2000 --events 12
    python -m citronwinch.coordination.flows.tests.search_small_fleets --depth 2
"""

import argparse
import itertools
import random
import sys
from collections.abc import Iterator, Sequence

from citronwinch.coordination.flows.tests.small_fleet_events import (
    EVENTS,
    FleetEvent,
    describe,
    play,
)

OFFSETS_MS = (0, 50, 700, 3_000)
"""How long after the previous event the next one comes, in milliseconds."""

SAME_TIME_MS = 50
"""Up to this offset, the order of two events is not varied, in milliseconds."""

FLEETS = ((2, 3), (3, 4))
"""The numbers of balancers and of backend servers of drawn fleets."""


def list_sequences(
    depth: int, offsets_ms: Sequence[int] = OFFSETS_MS
) -> Iterator[tuple[FleetEvent, ...]]:
    """Return all sequences of a number of events, without duplicates.

    Events that come nearly at the same time have one order only.
    """
    order = {name: index for index, name in enumerate(EVENTS)}
    for names in itertools.product(EVENTS, repeat=depth):
        if names[0] == "the holder is listed again":
            continue
        for gaps_ms in itertools.product(offsets_ms, repeat=depth - 1):
            pairs = zip(names, names[1:], gaps_ms, strict=False)
            if any(
                gap_ms <= SAME_TIME_MS and order[first] > order[second]
                for first, second, gap_ms in pairs
            ):
                continue
            yield tuple(map(FleetEvent, (0, *gaps_ms), names))


def draw_sequence(seed: int, events: int) -> tuple[FleetEvent, ...]:
    """Return a sequence drawn from a seed."""
    rng = random.Random(seed)
    return tuple(
        FleetEvent(rng.choice(OFFSETS_MS), rng.choice(list(EVENTS)))
        for _ in range(events)
    )


def shorten(
    events: tuple[FleetEvent, ...], balancers: int, servers: int
) -> tuple[FleetEvent, ...]:
    """Leave events out as long as a promise is still broken."""
    for index in range(len(events)):
        fewer = list(events)
        removed = fewer.pop(index)
        for kept_ms in (removed.after_ms, 0):
            changed = fewer[:]
            if index < len(changed):
                following = changed[index]
                changed[index] = following._replace(
                    after_ms=following.after_ms + kept_ms
                )
            if play(changed, balancers, servers):
                return shorten(tuple(changed), balancers, servers)
    return events


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="", help="for example 1-200")
    parser.add_argument("--events", type=int, default=6)
    parser.add_argument("--depth", type=int, default=0)
    arguments = parser.parse_args()
    played, broken = 0, 0
    runs: list[tuple[str, tuple[FleetEvent, ...], int, int]] = []
    if arguments.seeds:
        first, _, last = arguments.seeds.partition("-")
        for seed in range(int(first), int(last or first) + 1):
            events = draw_sequence(seed, arguments.events)
            runs.append((f"seed {seed}", events, *FLEETS[seed % len(FLEETS)]))
    sequences = list_sequences(arguments.depth) if arguments.depth else ()
    every = (("depth", events, *FLEETS[0]) for events in sequences)
    for name, events, balancers, servers in itertools.chain(runs, every):
        played += 1
        if play(events, balancers, servers) is None:
            continue
        broken += 1
        events = shorten(events, balancers, servers)
        outcome = play(events, balancers, servers)
        sys.stdout.write(f"{name}, {balancers} balancers, {servers} servers\n")
        sys.stdout.write(describe(events, outcome) + "\n\n")
        sys.stdout.flush()
    sys.stdout.write(f"{played} sequences, {broken} broke a promise\n")


if __name__ == "__main__":
    main()
