"""Tests of membership: listings, facts, failure detection and pauses.

They guard against a process that marks live members as unreachable after its own
network failure or pause, and against processes that end with different members after
the same facts.
"""

import random

import pytest
from hypothesis import given, settings, strategies as st

from citronwinch.coordination import InstanceState, ManualClock
from citronwinch.coordination.spread import (
    FailureDetector,
    MemberFact,
    Membership,
    MemberStatus,
    Probe,
    ProbeAnswer,
    TableState,
)
from citronwinch.coordination.spread.tests.conftest import make_instance

STATE = TableState(b"12345678", 0)
LIVE, SUSPECT, LEAVING, UNREACHABLE = MemberStatus
NAMES = ("m-1", "m-2", "m-3", "m-4")


@pytest.fixture
def membership(clock, rng):
    result = Membership(make_instance("own"), 100, clock, rng)
    result.accept_listing([make_instance(name) for name in ("own", *NAMES)])
    return result


@pytest.fixture
def detector(membership, clock, rng):
    return FailureDetector(membership, clock, rng)


def run_detector(detector, clock, duration_ms, answering=()):
    """Advance the clock; the members in `answering` answer their direct probes."""
    for _ in range(duration_ms // 100):
        clock.advance(100)
        for receiver, message, _ in detector.tick(STATE):
            if receiver in answering and not message.target:
                detector.record_message(receiver)
                answer = ProbeAnswer(message.number, b"", 0)
                detector.handle_answer(receiver, answer, STATE)


FACT_ORDERS = {
    "a higher status of the same incarnation wins": ((5, LIVE), (5, SUSPECT), SUSPECT),
    "a lower status of the same incarnation loses": (
        (5, UNREACHABLE),
        (5, LIVE),
        UNREACHABLE,
    ),
    "a higher incarnation wins over unreachable": ((5, UNREACHABLE), (6, LIVE), LIVE),
    "a lower incarnation loses": ((6, LIVE), (5, UNREACHABLE), LIVE),
    "leaving wins over a suspicion": ((5, LEAVING), (5, SUSPECT), LEAVING),
}


@pytest.mark.parametrize("case", FACT_ORDERS)
def test_order_of_facts(membership, case):
    first, second, expected = FACT_ORDERS[case]
    for incarnation, status in (first, second):
        membership.accept_fact(MemberFact("m-1", incarnation, status))
    assert membership.members["m-1"].status is expected


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(NAMES), st.integers(1, 4), st.sampled_from(LIVE.__class__)
        ),
        max_size=12,
    ),
    st.randoms(use_true_random=False),
)
def test_facts_in_any_order_lead_to_the_same_members(facts, shuffler):
    outcomes = []
    for _ in range(2):
        membership = Membership(
            make_instance("own"), 1, ManualClock(), random.Random(1)
        )
        membership.accept_listing([make_instance(name) for name in NAMES])
        for fact in facts:
            membership.accept_fact(MemberFact(*fact))
        outcomes.append({n: m[1:3] for n, m in membership.members.items()})
        facts = list(facts)
        shuffler.shuffle(facts)
    assert outcomes[0] == outcomes[1]


def test_a_silent_member_is_unreachable_but_still_listed(detector, membership, clock):
    run_detector(detector, clock, 15_000, answering=NAMES[1:])
    assert membership.members["m-1"].status is UNREACHABLE
    instances = membership.list_instances()
    assert instances["m-1"].state is InstanceState.UNREACHABLE
    assert all(instances[name].state is InstanceState.LIVE for name in NAMES[1:])


def test_an_isolated_process_marks_no_member_unreachable(detector, membership, clock):
    run_detector(detector, clock, 60_000)
    assert all(m.status is not UNREACHABLE for m in membership.members.values())


def test_indirect_probes_keep_a_member_with_a_broken_link_live(
    detector, membership, clock
):
    for _ in range(150):
        clock.advance(100)
        for receiver, message, _ in detector.tick(STATE):
            if receiver == "m-1" and not message.target:
                continue
            detector.record_message(receiver)
            answer = ProbeAnswer(message.number, b"", 0)
            detector.handle_answer(receiver, answer, STATE)
    assert membership.members["m-1"].status is LIVE


def test_the_answer_to_an_indirect_probe_is_returned_to_the_requester(detector):
    [forwarded] = detector.handle_probe("m-2", Probe(9, b"", 0, "m-1"), STATE)
    assert forwarded.receiver == "m-1"
    answer = ProbeAnswer(forwarded.message.number, b"", 0)
    [returned] = detector.handle_answer("m-1", answer, STATE)
    assert (returned.receiver, returned.message.number) == ("m-2", 9)


def test_a_pause_discards_suspicions(detector, membership, clock):
    run_detector(detector, clock, 5_000, answering=NAMES[1:])
    assert detector.suspicions
    clock.advance(3_600_000)
    detector.tick(STATE)
    assert not detector.suspicions
    assert detector.pause_count == 1
    assert membership.members["m-1"].status is not UNREACHABLE


def test_a_suspected_process_refutes_with_a_higher_incarnation(membership):
    assert membership.accept_fact(MemberFact("own", 100, SUSPECT))
    assert membership.own_fact()[1:3] == (101, LIVE)
    assert membership.queued_facts["own"].fact == membership.own_fact()


def test_a_refutation_is_sent_again_after_an_old_suspicion(membership):
    membership.accept_fact(MemberFact("own", 100, UNREACHABLE))
    while membership.queued_facts:
        membership.dequeue_facts("m-1")
    assert not membership.accept_fact(MemberFact("own", 100, UNREACHABLE))
    assert membership.own_fact() in membership.dequeue_facts("m-2")


def test_a_process_adopts_leaving_from_a_peer_that_read_the_listing(
    membership, clock, rng
):
    reader = Membership(make_instance("m-1"), 7, clock, rng)
    leaving = make_instance("own")._replace(state=InstanceState.LEAVING)
    reader.accept_listing([leaving, make_instance("m-2")])
    [fact] = [fact for fact in reader.dequeue_facts("m-2") if fact.name == "own"]
    assert membership.accept_fact(fact)
    assert membership.list_instances()["own"].state is InstanceState.LEAVING
    for name in ("m-3", "m-4"):
        assert membership.own_fact() in membership.dequeue_facts(name)


OWN_LISTINGS = {
    "an outdated listing keeps it leaving": ([("live", 1_000)], MemberStatus.LEAVING),
    "a listing after the longest lag makes it live": (
        [("live", 31_000)],
        MemberStatus.LIVE,
    ),
    "a listing after one that had it leaving makes it live": (
        [("leaving", 1_000), ("live", 1_000)],
        MemberStatus.LIVE,
    ),
}


@pytest.mark.parametrize("case", OWN_LISTINGS)
def test_a_leaving_process_applies_its_listed_state(membership, clock, case):
    listings, expected = OWN_LISTINGS[case]
    membership.accept_fact(MemberFact("own", 100, LEAVING))
    for state, elapsed_ms in listings:
        clock.advance(elapsed_ms)
        own = make_instance("own")._replace(state=InstanceState(state))
        membership.accept_listing([own, make_instance("m-1")])
    assert membership.own_status is expected


def test_a_refuted_suspicion_keeps_the_status_leaving(membership):
    membership.start_leaving()
    membership.accept_fact(MemberFact("own", 100, UNREACHABLE))
    assert membership.own_fact()[1:3] == (101, LEAVING)


UNLISTED_CASES = {
    "an unlisted member with a fact stays": (True, LIVE, True),
    "an unlisted member without a fact is removed": (False, LIVE, False),
    "an unlisted unreachable member is removed": (True, UNREACHABLE, False),
}


@pytest.mark.parametrize("case", UNLISTED_CASES)
def test_a_listing_without_a_known_member(membership, case):
    has_fact, status, stays = UNLISTED_CASES[case]
    if has_fact:
        membership.accept_fact(MemberFact("m-1", 5, status))
    membership.accept_listing([make_instance(name) for name in NAMES[1:]])
    assert ("m-1" in membership.members) is stays


def test_a_joining_member_is_known_before_it_is_listed(membership):
    fact = MemberFact("new-1", 5, LIVE, make_instance("new-1", "b"))
    assert membership.accept_fact(fact)
    assert membership.list_instances()["new-1"].availability_zone == "b"
    assert not membership.accept_fact(MemberFact("new-2", 5, SUSPECT))


def test_a_view_is_bounded_and_mostly_in_the_own_zone(clock, rng):
    membership = Membership(make_instance("own"), 1, clock, rng)
    zones = [("a", "r"), ("b", "r"), ("c", "s"), ("d", "t")]
    membership.accept_listing(
        make_instance(f"m-{zone}-{i}", zone, region)
        for zone, region in zones
        for i in range(200)
    )
    view = membership.view
    assert [len(part) for part in view] == [24, 6, 4]
    assert len(membership.choose_push_targets(3)) == 3
