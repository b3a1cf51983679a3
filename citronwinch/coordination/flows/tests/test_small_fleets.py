"""Small fleets are searched for orders of events that reset or misdirect a live flow.

Guards against decisions that take a set that may be incomplete, or the silence of a
process, for proof that no backend server holds a flow.
"""

import pytest
from hypothesis import given, settings, strategies as st

from citronwinch.coordination.flows.tests.search_small_fleets import (
    FLEETS,
    OFFSETS_MS,
    list_sequences,
)
from citronwinch.coordination.flows.tests.small_fleet_events import (
    EVENTS,
    FleetEvent,
    describe,
    play,
)

SEARCHED_OFFSET_MS = 700
"""The offset of the exhaustive search, in milliseconds: a killed balancer comes back at
the second event. Others are drawn here, and searched by `search_small_fleets`."""


@pytest.mark.parametrize("name", [pytest.param(name, id=name) for name in EVENTS])
def test_no_event_breaks_the_promise_about_a_flow(name: str) -> None:
    events = [FleetEvent(0, name)]
    outcome = play(events)
    assert outcome is None, describe(events, outcome)


# Balancers whose seeds are all outdated find each other through the agents.
@pytest.mark.parametrize("name", [pytest.param(name, id=name) for name in EVENTS])
def test_no_event_breaks_the_promise_if_all_seeds_are_outdated(name: str) -> None:
    events = [FleetEvent(0, name)]
    outcome = play(events, has_seeds=False)
    assert outcome is None, describe(events, outcome)


def test_no_pair_of_events_breaks_the_promise_about_a_flow() -> None:
    for events in list_sequences(2, (SEARCHED_OFFSET_MS,)):
        outcome = play(events)
        assert outcome is None, describe(events, outcome)


@settings(max_examples=60, derandomize=True, deadline=None, database=None)
@given(
    events=st.lists(
        st.builds(FleetEvent, st.sampled_from(OFFSETS_MS), st.sampled_from([*EVENTS])),
        min_size=3,
        max_size=6,
    ),
    fleet=st.sampled_from(FLEETS),
)
def test_no_drawn_sequence_breaks_the_promise_about_a_flow(
    events: list[FleetEvent], fleet: tuple[int, int]
) -> None:
    outcome = play(events, *fleet)
    assert outcome is None, describe(events, outcome)
