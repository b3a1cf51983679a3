"""Each promise of the soak can be found broken."""

from collections.abc import Callable

import pytest

from citronwinch.soak import FAULT_KINDS, Observations, draw_faults, find_violations


def make_sound() -> Observations:
    seen = Observations()
    seen.runs = [("i-1", "gauging", "gauging 1"), ("i-2", "reporting", "reporting 2")]
    seen.late_openings = [("i-1 took port 7", 2.9)]
    seen.end_requests, seen.end_served = 100, 99
    return seen


def test_sound_observations_break_nothing() -> None:
    assert find_violations(make_sound()) == []


BREACHES: dict[str, Callable[[Observations], object]] = {
    "whole answers": lambda seen: seen.wrong_answers.append("a foreign answer"),
    "at most once": lambda seen: seen.runs.append(("i-2", "gauging", "gauging 1")),
    "own service": lambda seen: seen.runs.append(("i-1", "gauging", "reporting 9")),
    "live flows": lambda seen: seen.resets_of_live_flows.append("port 7"),
    "leaving servers": lambda seen: seen.late_openings.append(("i-1", 3.1)),
    "processes": lambda seen: seen.ended_alone.append("balancer-11 ended with 1"),
    "recovery": lambda seen: setattr(seen, "end_served", 90),
}


@pytest.mark.parametrize("promise", BREACHES)
def test_a_broken_promise_is_found(promise: str) -> None:
    seen = make_sound()
    BREACHES[promise](seen)
    assert [violation.promise for violation in find_violations(seen)] == [promise]


@pytest.mark.parametrize("field", ["stale_refusals", "stale_service"])
def test_an_edit_that_is_not_in_force_is_found(field: str) -> None:
    seen = make_sound()
    getattr(seen, field).append("198.18.0.3:9001")
    assert [violation.promise for violation in find_violations(seen)] == ["edits"]


def test_seeds_draw_every_kind_of_fault_and_let_them_overlap() -> None:
    drawn = [fault for seed in range(40) for fault in draw_faults(seed, 20.0)]
    assert {fault.kind for fault in drawn} == set(FAULT_KINDS)
    assert all(fault.at_s < 14.0 for fault in drawn)
