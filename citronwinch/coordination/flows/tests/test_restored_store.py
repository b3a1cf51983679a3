"""The store comes back from an older copy, or without its history.

Guards against a listing that stands still because its revision is lower than before,
against servers that return to use because the copy lists them as they were, against a
configuration that decreases, and against balancers that repeat a watch from a position
that the store no longer has.
"""

from collections.abc import Callable

import pytest
from hypothesis import given, settings, strategies as st

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    UNKNOWN_POSITION,
    BackendServer,
    ConfigurationFollower,
    DeploymentView,
    StorePosition,
    StoreStep,
)
from citronwinch.coordination.flows.tests.conftest import (
    make_configuration,
    make_listing,
    make_server,
)

# The listing of the `view` fixture has era 1, revision 10 and the servers 1 to 4.


def list_ready_names(view: DeploymentView, service: str = "gauging") -> set[str]:
    return {server.name for server in view.list_ready(service)}


def test_a_listing_of_a_later_era_replaces_one_with_a_higher_revision(
    view: DeploymentView, clock: ManualClock
) -> None:
    joined = make_server(5)
    restored = make_listing(7, make_server(1), make_server(2), joined, era=2)
    assert view.accept_listing(restored, clock.now_ms())
    assert view.listing.position == StorePosition(2, 7)
    assert "s5" in list_ready_names(view)
    assert not view.accept_listing(make_listing(90, make_server(9)), clock.now_ms())


def test_servers_that_the_copy_lacks_are_retained_for_the_grace_time(
    view: DeploymentView, clock: ManualClock
) -> None:
    view.accept_listing(make_listing(7, make_server(1), era=2), clock.now_ms())
    assert list_ready_names(view) == {"s1", "s2", "s3"}
    assert not view.is_settled()
    clock.advance(2_000)
    view.expire()
    assert list_ready_names(view) == {"s1"}


@pytest.mark.parametrize(
    ("make_copied", "expected"),
    [
        pytest.param(lambda server: server, set(), id="the same incarnation"),
        pytest.param(
            lambda server: server._replace(started_ms=500), set(), id="an earlier one"
        ),
        pytest.param(
            lambda server: server._replace(started_ms=2_000), {"s2"}, id="a later one"
        ),
    ],
)
def test_a_server_that_had_left_returns_only_as_a_later_incarnation(
    view: DeploymentView,
    clock: ManualClock,
    make_copied: Callable[[BackendServer], BackendServer],
    expected: set[str],
) -> None:
    clock.advance(700)
    others = (make_server(1), make_server(3, zone="b"))
    view.accept_listing(make_listing(11, *others), clock.now_ms())
    copied = make_copied(make_server(2))
    view.accept_listing(make_listing(9, *others, copied, era=2), clock.now_ms())
    assert list_ready_names(view) == {"s1", "s3"} | expected


def test_a_leaving_server_stays_leaving_when_the_copy_has_it_as_ready(
    view: DeploymentView, clock: ManualClock
) -> None:
    clock.advance(700)
    leaving = make_server(1, leaving=True)
    view.accept_listing(make_listing(11, leaving, make_server(2)), clock.now_ms())
    restored = make_listing(9, make_server(1), make_server(2), era=2)
    view.accept_listing(restored, clock.now_ms())
    assert list_ready_names(view) == {"s2"}


def test_an_address_does_not_return_to_the_service_that_had_it_before(
    view: DeploymentView, clock: ManualClock
) -> None:
    clock.advance(700)
    owner = make_server(1, "reporting")._replace(name="s9", started_ms=5_000)
    view.accept_listing(make_listing(11, owner, make_server(2)), clock.now_ms())
    restored = make_listing(9, make_server(1), make_server(2), era=2)
    view.accept_listing(restored, clock.now_ms())
    assert list_ready_names(view) == {"s2"}
    assert list_ready_names(view, "reporting") == {"s9"}


def test_entries_that_remain_after_the_distrust_belong_to_live_servers(
    view: DeploymentView, clock: ManualClock
) -> None:
    clock.advance(700)
    view.accept_listing(make_listing(11, make_server(1)), clock.now_ms())
    restored = make_listing(9, make_server(1), make_server(2), era=2)
    view.accept_listing(restored, clock.now_ms())
    clock.advance(10_000)
    later = make_listing(30, make_server(1), make_server(2), era=2)
    view.accept_listing(later, clock.now_ms())
    assert list_ready_names(view) == {"s1", "s2"}


def test_a_confirmation_of_a_later_era_starts_the_distrust_as_well(
    view: DeploymentView, clock: ManualClock
) -> None:
    clock.advance(700)
    view.accept_listing(make_listing(11, make_server(1)), clock.now_ms())
    view.confirm_listing(StorePosition(2, 9), clock.now_ms())
    restored = make_listing(9, make_server(1), make_server(2), era=2)
    view.accept_listing(restored, clock.now_ms())
    assert list_ready_names(view) == {"s1"}


@pytest.fixture
def follower(view: DeploymentView) -> ConfigurationFollower:
    """Return a follower that watches version 1 from revision 10 of era 1."""
    configuration_follower = ConfigurationFollower(view)
    configuration_follower.record_era(1)
    position = StorePosition(1, 10)
    configuration_follower.handle_read(make_configuration(1), position)
    assert configuration_follower.choose_step() is StoreStep.WATCH
    return configuration_follower


def test_lost_history_ends_in_a_read_although_peers_send_the_lost_position(
    view: DeploymentView, follower: ConfigurationFollower
) -> None:
    follower.handle_lost_history(StorePosition(1, 10))
    view.confirm_configuration(1, StorePosition(1, 10))
    assert follower.choose_step() is StoreStep.READ
    assert follower.handle_read(make_configuration(5), StorePosition(1, 30))
    assert follower.choose_step() is StoreStep.WATCH
    assert view.configuration_position == StorePosition(1, 30)


def test_a_position_of_an_earlier_era_is_not_watched(
    view: DeploymentView, follower: ConfigurationFollower
) -> None:
    assert follower.record_era(2)
    assert follower.choose_step() is StoreStep.READ
    view.confirm_configuration(1, StorePosition(1, 50))
    assert view.configuration_position == UNKNOWN_POSITION
    assert not follower.record_era(2)


def test_the_first_answer_is_no_return_of_the_store() -> None:
    follower = ConfigurationFollower(DeploymentView(ManualClock()))
    assert not follower.record_era(4)
    assert follower.choose_step() is StoreStep.AWAIT_POSITION


def test_an_older_version_in_the_copy_is_not_accepted_but_watched(
    view: DeploymentView, follower: ConfigurationFollower
) -> None:
    follower.handle_watch(
        [make_configuration(5)], StorePosition(1, 20), StorePosition(1, 10)
    )
    follower.record_era(2)
    assert not follower.handle_read(make_configuration(1), StorePosition(2, 12))
    assert view.configuration is not None
    assert view.configuration.version == 5
    assert follower.choose_step() is StoreStep.WATCH
    assert view.configuration_position == StorePosition(2, 12)


def test_an_answer_of_a_later_era_than_the_watch_leads_to_a_read(
    follower: ConfigurationFollower,
) -> None:
    follower.handle_watch([], StorePosition(2, 40), StorePosition(1, 10))
    assert follower.choose_step() is StoreStep.READ


def test_a_read_of_an_earlier_era_does_not_replace_the_read_that_is_due(
    follower: ConfigurationFollower,
) -> None:
    follower.record_era(2)
    follower.handle_read(make_configuration(1), StorePosition(1, 11))
    assert follower.choose_step() is StoreStep.READ


class ModelStore:
    """A store with one configuration version and a history, which may be restored."""

    def __init__(self) -> None:
        self.era, self.revision, self.version = 1, 1, 1
        self.history_start = 1
        self.copies = [(1, 1)]

    @property
    def position(self) -> StorePosition:
        return StorePosition(self.era, self.revision)

    def edit(self, version: int) -> None:
        self.revision += 1
        self.version = version
        self.copies.append((self.revision, self.version))

    def restore(self, lost_edits: int) -> None:
        self.copies = self.copies[: max(1, len(self.copies) - lost_edits)]
        self.revision, self.version = self.copies[-1]
        self.history_start = min(self.history_start, self.revision)
        self.era += 1

    def drop_history(self) -> None:
        self.history_start = self.revision


class ModelBalancer:
    """A balancer that takes one step with the store, or hears from another one."""

    def __init__(self, clock: ManualClock) -> None:
        self.view = DeploymentView(clock)
        self.follower = ConfigurationFollower(self.view)
        self.versions: list[int] = []

    @property
    def version(self) -> int:
        return self.view.configuration.version if self.view.configuration else 0

    def step(self, store: ModelStore) -> None:
        self.follower.record_era(store.era)
        watched_from = self.view.configuration_position
        if self.follower.choose_step() is not StoreStep.WATCH:
            self.follower.handle_read(make_configuration(store.version), store.position)
        elif not store.history_start <= watched_from.revision <= store.revision:
            self.follower.handle_lost_history(watched_from)
        else:
            written = [
                make_configuration(version)
                for revision, version in store.copies
                if revision > watched_from.revision
            ]
            self.follower.handle_watch(written, store.position, watched_from)
        self.versions.append(self.version)

    def hear(self, other: "ModelBalancer") -> None:
        if other.view.configuration is None:
            return
        self.view.accept_configuration(other.view.configuration)
        self.view.confirm_configuration(
            other.version, other.view.configuration_position
        )
        self.versions.append(self.version)


BALANCERS = 4
STEPS_UNTIL_CURRENT = 2
"""The most steps until a balancer is current: one that shows that a watch cannot
succeed, and one read."""

ACTIONS = st.one_of(
    st.tuples(st.just("edit"), st.integers(1, 3)),
    st.tuples(st.just("restore"), st.integers(0, 3)),
    st.tuples(st.just("drop history"), st.just(0)),
    st.tuples(st.just("step"), st.integers(0, BALANCERS - 1)),
    st.tuples(st.just("hear"), st.integers(0, BALANCERS * BALANCERS - 1)),
    st.tuples(st.just("restart"), st.integers(0, BALANCERS - 1)),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(ACTIONS, max_size=40), st.integers(0, BALANCERS - 1))
def test_any_order_of_events_ends_with_the_newest_version_everywhere(
    actions: list[tuple[str, int]], reader: int
) -> None:
    clock = ManualClock()
    store, newest = ModelStore(), 1
    balancers = [ModelBalancer(clock) for _ in range(BALANCERS)]
    for action, argument in actions:
        if action == "edit":
            newest += argument
            store.edit(newest)
        elif action == "restore":
            store.restore(argument)
        elif action == "drop history":
            store.drop_history()
        elif action == "step":
            balancers[argument].step(store)
        elif action == "hear":
            receiver, sender = divmod(argument, BALANCERS)
            balancers[receiver].hear(balancers[sender])
        else:
            balancers[argument] = ModelBalancer(clock)
    # The operators write again what the store has lost.
    store.edit(newest)
    for _ in range(STEPS_UNTIL_CURRENT):
        balancers[reader].step(store)
    for balancer in balancers:
        balancer.hear(balancers[reader])
        assert balancer.version == newest
        assert balancer.versions == sorted(balancer.versions)


def test_a_rise_from_era_0_is_a_return_of_the_store_as_well(clock: ManualClock) -> None:
    view = DeploymentView(clock)
    view.accept_configuration(make_configuration(5))
    follower = ConfigurationFollower(view)
    assert not follower.record_era(0)
    follower.handle_read(make_configuration(5), StorePosition(0, 30))
    servers = (make_server(1), make_server(2))
    view.accept_listing(make_listing(30, *servers, era=0), clock.now_ms())
    view.accept_listing(make_listing(31, make_server(1), era=0), clock.now_ms())
    assert follower.record_era(1)
    assert follower.choose_step() is StoreStep.READ
    joined = make_server(3)
    view.accept_listing(make_listing(20, *servers, joined, era=1), clock.now_ms())
    assert list_ready_names(view) == {"s1", "s3"}
    assert not view.is_settled()


def test_a_balancer_that_knows_an_earlier_era_from_others_reads(
    clock: ManualClock,
) -> None:
    view = DeploymentView(clock)
    view.accept_configuration(make_configuration(5))
    view.confirm_configuration(5, StorePosition(0, 30))
    follower = ConfigurationFollower(view)
    assert follower.record_era(1)
    assert follower.choose_step() is StoreStep.READ
