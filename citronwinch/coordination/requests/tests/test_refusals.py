"""Compact tombstones: none is lost early, few are seen that are not there."""

import random

from citronwinch.coordination import FlowKey
from citronwinch.coordination.requests import RequestKey
from citronwinch.coordination.requests._refusals import (
    FILTER_BITS,
    GENERATION_MS,
    REFUSALS_LIMIT,
    RefusalFilter,
)

SHRINK = 64


def make_keys(seed, count):
    source = random.Random(seed)
    flow = FlowKey(bytes(13))
    return [RequestKey(flow, source.randbytes(16)) for _ in range(count)]


def make_full_filter(clock):
    refusals = RefusalFilter(clock, FILTER_BITS // SHRINK, REFUSALS_LIMIT // SHRINK)
    keys = make_keys(1, REFUSALS_LIMIT // SHRINK)
    assert all(refusals.add(key) for key in keys)
    return refusals, keys


def test_every_refusal_lasts_a_generation_and_none_lasts_for_ever(clock):
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


def test_a_full_filter_takes_no_more_and_confuses_few(clock):
    refusals, _ = make_full_filter(clock)
    others = make_keys(2, 5_000)
    assert not refusals.add(others[0])
    assert sum(refusals.contains(key) for key in others) <= 0.02 * len(others)


def test_an_expiry_by_arrival_keeps_what_waited_through_a_pause(clock):
    refusals, keys = make_full_filter(clock)
    before_ms = clock.now_ms()
    clock.advance(10 * GENERATION_MS)
    for _ in range(3):
        refusals.expire(before_ms)
    assert all(refusals.contains(key) for key in keys)
