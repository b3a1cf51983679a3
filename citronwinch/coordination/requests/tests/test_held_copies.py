"""Copies of one request that steering held and then delivers or refuses in a row.

Steering may hold several copies of a request while it looks up the owner of their
flow. There was no record when they arrived, so that `deliver` and `refuse` have to
look up the record of an earlier copy again. Without that, the request runs twice.
"""

import pytest

from citronwinch.coordination.requests import SendOutcome, StartRequest
from citronwinch.coordination.requests.tests.conftest import make_arrival

ORDERS = {
    "delivered twice": ("deliver", "deliver"),
    "delivered, then refused": ("deliver", "refuse"),
    "refused, then delivered": ("refuse", "deliver"),
    "refused twice": ("refuse", "refuse"),
    "delivered, then refused elsewhere": ("deliver", "refuse_elsewhere"),
}


def apply_step(requests, arrival, step):
    if step == "deliver":
        return requests.deliver(arrival)
    return requests.refuse(arrival, "full", is_certain=step == "refuse")


@pytest.mark.parametrize("steps", ORDERS.values(), ids=ORDERS.keys())
def test_held_copies_run_at_most_once_with_one_outcome(requests, clock, steps):
    arrivals = [make_arrival(clock) for _ in steps]
    assert all(requests.receive(arrival, True) == [] for arrival in arrivals)
    actions = [
        action
        for arrival, step in zip(arrivals, steps, strict=True)
        for action in apply_step(requests, arrival, step)
    ]
    starts = sum(isinstance(action, StartRequest) for action in actions)
    sent_outcomes = {
        action.kind.name for action in actions if isinstance(action, SendOutcome)
    }
    assert starts <= 1
    if starts:
        assert sent_outcomes == set()
    else:
        assert sent_outcomes == {"NOT_RUN"}
