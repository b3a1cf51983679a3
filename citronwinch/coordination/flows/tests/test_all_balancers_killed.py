"""All balancers are killed while the store is down; agents, servers and flows live.

Guards against a fleet that forgets its configuration and its servers with its
balancers, against balancers that go back to an older view for a copy, and against
agents whose copies cost more than control may use.
"""

import random

import pytest
from hypothesis import given, strategies as st

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    DeploymentView,
    Heartbeat,
    StorePosition,
    ViewCopy,
    ViewOffer,
    ViewOffers,
)
from citronwinch.coordination.flows._view_copies import (
    COPY_BYTES_PER_S,
    COPY_LIMIT_BYTES,
    FIRST_COPY_DELAY_MS,
    MAX_OFFER_INTERVAL_MS,
    MIN_COPY_INTERVAL_MS,
    MIN_SILENCE_BEFORE_OFFER_MS,
    OFFER_RECEIVERS_LIMIT,
    REMEMBERED_BALANCERS_LIMIT,
)
from citronwinch.coordination.flows._view_offers import STORE_WAIT_MS
from citronwinch.coordination.flows.tests.conftest import (
    make_configuration,
    make_listing,
    make_server,
)

HEARTBEAT_MS = 300


def make_heartbeat(
    version: int = 1,
    revision: int = 10,
    digest: int = 7,
    *,
    zone: str = "a",
    age_ms: int = 0,
    leaving: bool = False,
    interval_ms: int = 0,
) -> Heartbeat:
    position = StorePosition(1, revision)
    return Heartbeat(
        1,
        zone,
        leaving,
        position,
        digest,
        age_ms,
        version,
        (),
        interval_ms=interval_ms,
    )


@pytest.fixture
def copy(clock: ManualClock) -> ViewCopy:
    """The copy of an agent that is old enough to fetch one."""
    view_copy = ViewCopy("a", clock, random.Random(7))
    clock.advance(FIRST_COPY_DELAY_MS[1])
    return view_copy


def fetch(copy: ViewCopy, content: bytes = b"view") -> bool:
    """Fetch a copy if it is due; return whether it was."""
    source = copy.start_fetch()
    if source is not None:
        copy.store(content, source.heartbeat)
    return source is not None


def test_an_agent_fetches_a_copy_once_until_the_view_changes(
    copy: ViewCopy, clock: ManualClock
) -> None:
    fetched = []
    for version, digest in ((1, 7), (1, 7), (2, 7), (2, 7), (2, 8), (2, 8)):
        copy.record_heartbeat(make_heartbeat(version, 10 + digest, digest), "10.0.1.1")
        fetched.append(fetch(copy))
        clock.advance(MIN_COPY_INTERVAL_MS)
    assert fetched == [True, False, True, False, True, False]


def test_a_first_copy_is_fetched_at_a_random_time(clock: ManualClock) -> None:
    copies = [ViewCopy("a", clock, random.Random(seed)) for seed in range(200)]
    fetched = []
    for _ in range(0, FIRST_COPY_DELAY_MS[1], 100):
        clock.advance(100)
        for copy in copies:
            copy.record_heartbeat(make_heartbeat(), "10.0.1.1")
        fetched.append(sum(fetch(copy) for copy in copies))
    assert sum(fetched) == len(copies)
    assert max(fetched) < 20
    # Not in the crowd after a loss of power.
    assert not any(fetched[: FIRST_COPY_DELAY_MS[0] // 100 - 1])


@pytest.mark.parametrize("size", [3_000, 45_000, 400_000])
def test_copies_of_a_listing_that_changes_all_the_time_are_paced(
    copy: ViewCopy, clock: ManualClock, size: int
) -> None:
    fetches = 0
    duration_ms = 4 * max(MIN_COPY_INTERVAL_MS, size * 1_000 // COPY_BYTES_PER_S)
    for step in range(0, duration_ms, HEARTBEAT_MS):
        heartbeat = make_heartbeat(1, 10 + step, digest=step)
        copy.record_heartbeat(heartbeat, "10.0.1.1")
        fetches += fetch(copy, bytes(size))
        clock.advance(HEARTBEAT_MS)
    assert fetches * size <= 1.3 * COPY_BYTES_PER_S * duration_ms / 1_000


@pytest.mark.parametrize(
    ("heartbeat", "is_fetched"),
    [
        pytest.param(make_heartbeat(), True, id="own zone"),
        pytest.param(make_heartbeat(zone="b"), True, id="only another zone"),
        pytest.param(make_heartbeat(leaving=True), False, id="leaving balancer"),
        pytest.param(make_heartbeat(version=0), False, id="without a configuration"),
    ],
)
def test_copies_are_fetched_from_balancers_that_have_a_view(
    copy: ViewCopy, heartbeat: Heartbeat, is_fetched: bool
) -> None:
    copy.record_heartbeat(heartbeat, "10.0.1.1")
    assert fetch(copy) is is_fetched


def test_copies_are_not_fetched_across_zones_without_need(copy: ViewCopy) -> None:
    copy.record_heartbeat(make_heartbeat(), "10.0.1.1")
    assert fetch(copy)
    copy.record_heartbeat(make_heartbeat(version=9, zone="b"), "10.0.2.1")
    assert copy.source is None


def test_a_view_that_is_too_large_is_not_kept(copy: ViewCopy) -> None:
    copy.record_heartbeat(make_heartbeat(), "10.0.1.1")
    fetch(copy, bytes(COPY_LIMIT_BYTES + 1))
    assert not copy.content


def test_heartbeats_confirm_the_copied_listing(
    copy: ViewCopy, clock: ManualClock
) -> None:
    copy.record_heartbeat(make_heartbeat(age_ms=200), "10.0.1.1")
    fetch(copy)
    clock.advance(1_000)
    copy.record_heartbeat(make_heartbeat(revision=12, age_ms=100), "10.0.1.1")
    clock.advance(700)
    assert copy.make_offer(()) == ViewOffer(1, StorePosition(1, 12), 800)
    # Another listing was confirmed; that says nothing about the copied one.
    copy.record_heartbeat(make_heartbeat(revision=13, digest=8), "10.0.1.1")
    assert copy.make_offer(()).listing_age_ms == 800


def test_copies_are_offered_only_while_all_balancers_are_silent(
    copy: ViewCopy, clock: ManualClock
) -> None:
    copy.record_heartbeat(make_heartbeat(), "10.0.1.1")
    fetch(copy)
    for _ in range(10):
        clock.advance(HEARTBEAT_MS)
        assert copy.list_offer_receivers() == []
        copy.record_heartbeat(make_heartbeat(zone="b"), "10.0.2.1")
    clock.advance(MIN_SILENCE_BEFORE_OFFER_MS)
    assert copy.list_offer_receivers(["10.0.9.9"]) == [
        "10.0.1.1",
        "10.0.9.9",
        "10.0.2.1",
    ]
    copy.record_heartbeat(make_heartbeat(), "10.0.1.1")
    assert copy.list_offer_receivers() == []


def test_offers_are_few_however_long_the_balancers_are_silent(
    copy: ViewCopy, clock: ManualClock
) -> None:
    for number in range(100):
        copy.record_heartbeat(make_heartbeat(), f"10.0.1.{number}")
    fetch(copy)
    assert len(copy.balancers) == REMEMBERED_BALANCERS_LIMIT
    sent = []
    for _ in range(600):
        clock.advance(100)
        sent.append(len(copy.list_offer_receivers(["10.0.9.9"])))
    assert max(sent) == OFFER_RECEIVERS_LIMIT
    # A balancer that returns after a minute gets an offer within a second.
    assert sum(count > 0 for count in sent[-100:]) == 10_000 // MAX_OFFER_INTERVAL_MS
    assert sum(count > 0 for count in sent) <= 65


@pytest.mark.parametrize(
    ("balancers", "interval_ms"),
    [
        pytest.param(3, 300, id="small zone"),
        pytest.param(12, 2_250, id="27 agents a zone"),
        pytest.param(32, 62_000, id="target size"),
    ],
)
def test_rare_heartbeats_of_a_large_fleet_are_not_taken_for_silence(
    copy: ViewCopy, clock: ManualClock, balancers: int, interval_ms: int
) -> None:
    rng = random.Random(3)
    next_ms = {
        f"10.0.1.{number}": clock.now_ms() + rng.randint(0, interval_ms)
        for number in range(balancers)
    }
    heartbeat, offers, ticks = make_heartbeat(interval_ms=interval_ms), 0, 0
    for ip in next_ms:
        copy.record_heartbeat(heartbeat, ip)
    fetch(copy)
    end_ms = clock.now_ms() + 3 * interval_ms
    while clock.now_ms() < end_ms:
        clock.advance(100)
        for ip, due_ms in next_ms.items():
            if due_ms <= clock.now_ms():
                copy.record_heartbeat(heartbeat, ip)
                next_ms[ip] = due_ms + interval_ms
        ticks += 1
        offers += bool(copy.list_offer_receivers())
    assert offers <= 0.01 * ticks


def test_an_agent_without_a_copy_offers_nothing(
    copy: ViewCopy, clock: ManualClock
) -> None:
    clock.advance(60_000)
    assert copy.list_offer_receivers(["10.0.9.9"]) == []


@pytest.fixture
def offers(clock: ManualClock) -> ViewOffers:
    return ViewOffers(clock, random.Random(7))


@pytest.mark.parametrize(
    ("waited_ms", "is_store_lost", "is_chosen"),
    [
        pytest.param(0, False, False, id="the store may answer"),
        pytest.param(STORE_WAIT_MS, False, True, id="the store is silent"),
        pytest.param(0, True, True, id="the store has failed"),
    ],
)
def test_a_balancer_without_a_view_asks_the_store_first(
    offers: ViewOffers,
    clock: ManualClock,
    waited_ms: int,
    is_store_lost: bool,
    is_chosen: bool,
) -> None:
    clock.advance(waited_ms)
    offers.record("10.0.0.1", ViewOffer(1, StorePosition(1, 10), 0))
    chosen = offers.choose(DeploymentView(clock), is_store_lost=is_store_lost)
    assert chosen == ("10.0.0.1" if is_chosen else None)


def test_the_newest_copy_is_fetched_and_outdated_offers_are_not(
    offers: ViewOffers, clock: ManualClock
) -> None:
    view = DeploymentView(clock)
    offers.record("10.0.0.1", ViewOffer(5, StorePosition(1, 99), 0))
    clock.advance(2_000)
    offers.record("10.0.0.2", ViewOffer(3, StorePosition(1, 30), 100))
    offers.record("10.0.0.3", ViewOffer(4, StorePosition(1, 20), 400))
    offers.record("10.0.0.4", ViewOffer(0, StorePosition(1, 99), 0))
    assert offers.choose(view, is_store_lost=True) == "10.0.0.3"
    clock.advance(50)
    assert offers.compute_age_ms("10.0.0.3") == 450
    offers.remove("10.0.0.3")
    assert offers.choose(view, is_store_lost=True) == "10.0.0.2"


def test_copies_that_are_not_newer_are_left_alone(
    offers: ViewOffers, view: DeploymentView
) -> None:
    # The fixture's view has version 1 and revision 10.
    offers.record("10.0.0.1", ViewOffer(1, StorePosition(1, 10), 0))
    assert offers.choose(view, is_store_lost=True) is None
    offers.record("10.0.0.2", ViewOffer(2, StorePosition(1, 9), 0))
    assert offers.choose(view, is_store_lost=False) == "10.0.0.2"


copies = st.lists(
    st.tuples(st.integers(1, 6), st.integers(1, 9), st.integers(0, 5_000)),
    min_size=1,
    max_size=8,
)


@given(copies, st.randoms(use_true_random=False))
def test_a_balancer_gets_the_newest_copies_whatever_their_order(
    known: list[tuple[int, int, int]], rng: random.Random
) -> None:
    clock = ManualClock(100_000)
    view, offers = DeploymentView(clock), ViewOffers(clock, rng)
    versions, positions = [0], [StorePosition(0, 0)]
    for number, (version, revision, age_ms) in enumerate(known):
        offers.record(
            f"10.0.0.{number}", ViewOffer(version, StorePosition(1, revision), age_ms)
        )
    while agent := offers.choose(view, is_store_lost=True):
        version, revision, _ = known[int(agent.rpartition(".")[2])]
        view.accept_configuration(make_configuration(version))
        listing = make_listing(revision, make_server(revision))
        view.accept_listing(listing, clock.now_ms() - offers.compute_age_ms(agent))
        offers.remove(agent)
        assert view.configuration is not None
        versions.append(view.configuration.version)
        positions.append(view.listing.position)
    assert versions == sorted(versions) and positions == sorted(positions)
    assert versions[-1] == max(version for version, _, _ in known)
    assert positions[-1].revision == max(revision for _, revision, _ in known)
