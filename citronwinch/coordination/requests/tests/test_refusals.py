"""Bloom filters of refusals: no refusal is removed early, false positives are rare."""

import random

from citronwinch.coordination import FlowKey
from citronwinch.coordination.requests import RequestKey
from citronwinch.coordination.requests._refusals import (
    FILTER_BITS,
    GENERATION_MS,
    REFUSALS_LIMIT,
    RefusalFilter,
)

SIZE_DIVISOR = 64


def make_keys(seed, count):
    rng = random.Random(seed)
    flow = FlowKey(bytes(13))
    return [RequestKey(flow, rng.randbytes(16)) for _ in range(count)]


def make_full_filter(clock):
    refusals = RefusalFilter(
        clock, FILTER_BITS // SIZE_DIVISOR, REFUSALS_LIMIT // SIZE_DIVISOR
    )
    keys = make_keys(1, REFUSALS_LIMIT // SIZE_DIVISOR)
    assert all(refusals.add(key) for key in keys)
    return refusals, keys


def test_refusals_are_stored_for_a_generation_and_then_removed(clock):
    refusals, keys = make_full_filter(clock)
    clock.advance(GENERATION_MS)
    refusals.expire(clock.now_ms())
    clock.advance(1)
    refusals.expire(clock.now_ms())
    clock.advance(GENERATION_MS)
    refusals.expire(clock.now_ms())
    assert all(refusals.contains(key) for key in keys)
    clock.advance(1)
    refusals.expire(clock.now_ms())
    assert not any(refusals.contains(key) for key in keys)
    assert refusals.used_bytes == 0


def test_full_filter_rejects_refusals_and_has_few_false_positives(clock):
    refusals, _ = make_full_filter(clock)
    other_keys = make_keys(2, 5_000)
    assert not refusals.add(other_keys[0])
    assert sum(refusals.contains(key) for key in other_keys) <= 0.02 * len(other_keys)


def test_refusals_are_stored_through_a_pause(clock):
    refusals, keys = make_full_filter(clock)
    before_ms = clock.now_ms()
    clock.advance(10 * GENERATION_MS)
    for _ in range(3):
        refusals.expire(before_ms)
    assert all(refusals.contains(key) for key in keys)
