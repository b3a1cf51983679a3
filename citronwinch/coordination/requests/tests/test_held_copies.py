"""Copies that waited at steering and are decided one right after the other.

Steering may hold several copies of a request while it asks for the owner of their
flow. None of them was known when it came, so that the decision itself has to find
the record that an earlier copy left.
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


def decide(requests, arrival, step):
    if step == "deliver":
        return requests.deliver(arrival)
    return requests.refuse(arrival, "full", is_final=step == "refuse")


@pytest.mark.parametrize("steps", ORDERS.values(), ids=ORDERS.keys())
def test_held_copies_run_at_most_once_and_keep_their_outcome(requests, clock, steps):
    arrivals = [make_arrival(clock) for _ in steps]
    assert all(requests.receive(arrival, True) == [] for arrival in arrivals)
    actions = [
        action
        for arrival, step in zip(arrivals, steps, strict=True)
        for action in decide(requests, arrival, step)
    ]
    starts = sum(isinstance(action, StartRequest) for action in actions)
    told = {action.kind.name for action in actions if isinstance(action, SendOutcome)}
    assert starts <= 1
    if starts:
        assert told == set()
    else:
        assert told == {"NOT_RUN"}
