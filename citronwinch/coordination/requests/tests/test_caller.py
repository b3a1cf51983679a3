"""The outcome of one call after a sequence of datagrams and timers.

Guards against a call that ends with a wrong outcome or answer, that ends more than
once, or that leaves memory allocated.
"""

import random

import pytest

from citronwinch.coordination.requests import (
    CallEnded,
    CallerRequests,
    RequestKind,
    RequestOutcome,
    RetryBudget,
)
from citronwinch.coordination.requests._caller import RETRANSMIT_AFTER_MS

CASES = {
    "a complete answer": ("part0 part1", "answered", b"hemlock"),
    "parts in reverse": ("part1 part0", "answered", b"hemlock"),
    "duplicate parts": ("part0 part0 part0 part1", "answered", b"hemlock"),
    "a part with another part count": (
        "part0 other_count part1",
        "answered",
        b"hemlock",
    ),
    "a part of another request": ("foreign part0 part1", "answered", b"hemlock"),
    "a missing part": ("part1 deadline", "unknown", b""),
    "refused": ("not_run", "not_run", b""),
    "refused after a part arrived": ("part0 not_run", "unknown", b""),
    "unknown": ("unknown", "unknown", b""),
    "no answer by the deadline": ("deadline", "unknown", b""),
    "cancelled and refused": ("cancel not_run", "not_run", b""),
    "cancelled and answered": ("cancel part0 part1", "answered", b"hemlock"),
    "cancelled without an answer": ("cancel deadline", "unknown", b""),
    "an answer that is too long": ("huge", "unknown", b""),
    "parts after the end of the call": ("not_run part0 part1", "not_run", b""),
}


@pytest.fixture
def caller(clock):
    return make_caller(clock)


def make_caller(clock, tokens=0.0, **limits):
    budget = RetryBudget(0.1)
    budget.tokens = tokens
    return CallerRequests(clock, random.Random(1), budget=budget, **limits)


def apply_event(caller, clock, call, sent, event):
    metadata = sent.metadata._replace(remaining_ms=0)
    match event:
        case "part0" | "part1":
            part = int(event[-1])
            answer = metadata._replace(kind=RequestKind.ANSWER, part=part, part_count=2)
            return caller.receive(answer, [b"hem", b"lock"][part])
        case "other_count":
            answer = metadata._replace(kind=RequestKind.ANSWER, part=1, part_count=3)
            return caller.receive(answer, b"other")
        case "foreign":
            answer = metadata._replace(kind=RequestKind.ANSWER, request_id=bytes(16))
            return caller.receive(answer, b"foreign")
        case "huge":
            answer = metadata._replace(kind=RequestKind.ANSWER)
            return caller.receive(answer, bytes(5 << 20))
        case "not_run" | "unknown":
            return caller.receive(
                metadata._replace(kind=RequestKind[event.upper()]), b""
            )
        case "cancel":
            return caller.cancel(call)
        case "deadline":
            clock.advance(2_000)
            return caller.advance()
    raise AssertionError(event)


@pytest.mark.parametrize("name", CASES)
def test_call_outcome(name, clock, caller):
    events, outcome, body = CASES[name]
    call, [sent] = caller.start(b"request", 2_000)
    actions = []
    for event in events.split():
        actions += apply_event(caller, clock, call, sent, event)
    ended = [action for action in actions if isinstance(action, CallEnded)]
    assert ended == [CallEnded(call, RequestOutcome(outcome), body)]
    assert caller.assembly_bytes == 0
    assert caller.calls == {}


def test_retransmission_has_same_id_and_deadline(clock):
    caller = make_caller(clock, tokens=1.0)
    _, [first] = caller.start(b"request", 2_000)
    clock.advance(2 * RETRANSMIT_AFTER_MS)
    [copy] = caller.advance()
    assert copy.metadata == first.metadata._replace(remaining_ms=1_400, age_ms=600)
    clock.advance(1_300)
    assert caller.advance() == []
    clock.advance(100)
    assert caller.advance()[0].outcome is RequestOutcome.UNKNOWN


def test_refused_repeatable_call_is_retried_within_budget_and_deadline(clock):
    caller = make_caller(clock, tokens=1.0)
    call, [first] = caller.start(b"request", 2_000, repeatable=True)
    refusal = first.metadata._replace(kind=RequestKind.NOT_RUN, remaining_ms=500)
    assert caller.receive(refusal, b"") == []
    clock.advance(499)
    assert caller.advance() == []
    clock.advance(30)
    [second] = caller.advance()
    assert second.metadata.request_id != first.metadata.request_id
    assert second.metadata.age_ms == 0
    refusal = second.metadata._replace(kind=RequestKind.NOT_RUN, remaining_ms=500)
    [ended] = caller.receive(refusal, b"")
    assert ended == CallEnded(call, RequestOutcome.NOT_RUN, b"", 500)


def test_refusal_after_attempt_that_may_have_run_is_unknown(clock):
    caller = make_caller(clock, tokens=1.0)
    _, [first] = caller.start(b"request", 2_000, repeatable=True)
    unknown = first.metadata._replace(kind=RequestKind.UNKNOWN, remaining_ms=0)
    assert caller.receive(unknown, b"") == []
    clock.advance(30)
    [second] = caller.advance()
    refusal = second.metadata._replace(kind=RequestKind.NOT_RUN)
    assert caller.receive(refusal, b"")[0].outcome is RequestOutcome.UNKNOWN


def test_limits_of_calls_and_memory_hold(clock):
    caller = make_caller(clock, open_calls_limit=2, assembly_limit_bytes=1_000)
    sent = [caller.start(b"request", 2_000)[1][0] for _ in range(3)]
    assert sent[2] == CallEnded(3, RequestOutcome.NOT_RUN)
    for request in sent[:2]:
        answer = request.metadata._replace(kind=RequestKind.ANSWER, part_count=2)
        caller.receive(answer, bytes(600))
        assert caller.assembly_bytes <= 1_000
    assert caller.counters["assembly_full"] == 1


def test_timers_of_ended_calls_are_removed(clock, caller):
    for _ in range(1_000):
        _, [sent] = caller.start(b"request", 60_000)
        caller.receive(sent.metadata._replace(kind=RequestKind.ANSWER), b"")
    assert len(caller.timers) <= 40
