"""The view of a balancer.

Guards against versions that decrease, and against live servers that are dropped
because their entries lapsed during an outage of the store.
"""

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    UNKNOWN_POSITION,
    DeploymentView,
    StorePosition,
)
from citronwinch.coordination.flows.tests.conftest import (
    make_configuration,
    make_listing,
    make_server,
)


@pytest.mark.parametrize(
    ("version", "accepted"),
    [
        pytest.param(4, False, id="older"),
        pytest.param(5, False, id="same"),
        pytest.param(9, True, id="newer, with a gap"),
    ],
)
def test_the_configuration_version_never_decreases(
    view: DeploymentView, version: int, accepted: bool
) -> None:
    view.accept_configuration(make_configuration(5))
    assert view.accept_configuration(make_configuration(version)) is accepted
    assert view.configuration is not None
    assert view.configuration.version == max(5, version)


def test_a_version_is_known_to_be_the_newest_up_to_a_revision(
    view: DeploymentView,
) -> None:
    view.confirm_configuration(1, StorePosition(1, 20))
    view.confirm_configuration(1, StorePosition(1, 15))
    view.confirm_configuration(2, StorePosition(1, 90))
    assert view.configuration_position == (1, 20)
    view.accept_configuration(make_configuration(2))
    assert view.configuration_position == UNKNOWN_POSITION
    view.confirm_configuration(1, StorePosition(1, 95))
    assert view.configuration_position == UNKNOWN_POSITION
    view.confirm_configuration(2, StorePosition(1, 97))
    assert view.configuration_position == (1, 97)


def test_an_older_listing_is_ignored(view: DeploymentView, clock: ManualClock) -> None:
    assert not view.accept_listing(make_listing(9, make_server(9)), clock.now_ms())
    assert "s9" not in view.listing.servers


def test_a_missing_entry_is_removed_at_once_without_an_outage(
    view: DeploymentView, clock: ManualClock
) -> None:
    clock.advance(700)
    view.accept_listing(make_listing(11, make_server(1)), clock.now_ms())
    assert [server.name for server in view.list_ready("gauging")] == ["s1"]


def test_entries_that_lapsed_in_an_outage_are_retained_for_the_grace_time(
    view: DeploymentView, clock: ManualClock
) -> None:
    clock.advance(6_000)
    view.accept_listing(make_listing(11, make_server(1)), clock.now_ms())
    names = {server.name for server in view.list_ready("gauging")}
    assert names == {"s1", "s2", "s3"}
    clock.advance(1_200)
    later = make_listing(12, make_server(1), make_server(2))
    view.accept_listing(later, clock.now_ms())
    clock.advance(800)
    assert [server.name for server in view.expire()] == ["s3", "s4"]
    assert {server.name for server in view.list_ready("gauging")} == {"s1", "s2"}


def test_a_balancer_that_starts_after_an_outage_adopts_retained_servers(
    view: DeploymentView, clock: ManualClock
) -> None:
    clock.advance(6_000)
    incomplete = make_listing(11, make_server(1))
    view.accept_listing(incomplete, clock.now_ms())
    started = DeploymentView(clock)
    started.accept_listing(incomplete, clock.now_ms())
    assert started.is_settled()
    started.accept_grace(view.remaining_grace_ms, tuple(view.retained.values()))
    assert not started.is_settled()
    names = [server.name for server in started.list_possible_holders(["gauging"])]
    assert sorted(names) == ["s1", "s2", "s3"]
    clock.advance(2_000)
    assert {server.name for server in started.expire()} == {"s2", "s3", "s4"}
    assert [server.name for server in started.list_ready("gauging")] == ["s1"]


def test_two_balancers_do_not_extend_each_others_grace_time(
    view: DeploymentView, clock: ManualClock
) -> None:
    other = DeploymentView(clock)
    clock.advance(6_000)
    for balancer_view in (view, other):
        balancer_view.mark_read_failed()
        balancer_view.accept_listing(make_listing(11, make_server(1)), clock.now_ms())
    for _ in range(30):
        remaining_ms = view.remaining_grace_ms
        clock.advance(100)
        other.accept_grace(remaining_ms)
        view.accept_grace(other.remaining_grace_ms)
    assert view.is_settled() or view.remaining_grace_ms == 0
    assert other.remaining_grace_ms == 0


@pytest.mark.parametrize("adopted_ms", [0, 100, 60_000])
def test_adopted_grace_time_is_limited_to_that_of_the_platform(
    view: DeploymentView, clock: ManualClock, adopted_ms: int
) -> None:
    view.accept_grace(adopted_ms)
    assert view.remaining_grace_ms == (2_000 if adopted_ms > 250 else 0)


def test_a_leaving_server_gets_no_new_flows_but_may_hold_flows(
    view: DeploymentView, clock: ManualClock
) -> None:
    leaving = make_server(1, leaving=True)
    view.accept_listing(make_listing(11, leaving, make_server(2)), clock.now_ms())
    assert [server.name for server in view.list_ready("gauging")] == ["s2"]
    holders = [server.name for server in view.list_possible_holders(["gauging"])]
    assert holders == ["s1", "s2", "s3"]


def test_a_confirmation_resets_the_age_of_the_listing(
    view: DeploymentView, clock: ManualClock
) -> None:
    clock.advance(900)
    view.confirm_listing(StorePosition(1, 10), clock.now_ms() - 50)
    assert view.age_ms == 50
    view.confirm_listing(StorePosition(1, 9), clock.now_ms())
    assert view.age_ms == 50


def test_only_the_last_started_server_at_an_address_is_listed(
    view: DeploymentView, clock: ManualClock
) -> None:
    former = make_server(1)
    reused = make_server(1, "reporting")._replace(name="s9", started_ms=2_000)
    view.accept_listing(make_listing(11, former, reused), clock.now_ms())
    assert view.list_ready("gauging") == []
    assert view.list_ready("reporting") == [reused]
