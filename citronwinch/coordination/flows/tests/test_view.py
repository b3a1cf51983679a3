"""What a balancer knows: versions never go back, entries outlive an outage."""

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import DeploymentView
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
def test_a_configuration_never_goes_back(
    view: DeploymentView, version: int, accepted: bool
) -> None:
    view.accept_configuration(make_configuration(5))
    assert view.accept_configuration(make_configuration(version)) is accepted
    assert view.configuration is not None
    assert view.configuration.version == max(5, version)


def test_a_version_is_known_to_be_the_newest_up_to_a_revision(
    view: DeploymentView,
) -> None:
    view.confirm_configuration(1, 20)
    view.confirm_configuration(1, 15)
    view.confirm_configuration(2, 90)
    assert view.configuration_revision == 20
    view.accept_configuration(make_configuration(2))
    assert view.configuration_revision == 0
    view.confirm_configuration(1, 95)
    assert view.configuration_revision == 0
    view.confirm_configuration(2, 97)
    assert view.configuration_revision == 97


def test_an_older_listing_is_ignored(view: DeploymentView, clock: ManualClock) -> None:
    assert not view.accept_listing(make_listing(9, make_server(9)), clock.now_ms())
    assert "s9" not in view.listing.servers


def test_a_missing_entry_is_gone_at_once_while_the_store_is_read(
    view: DeploymentView, clock: ManualClock
) -> None:
    clock.advance(700)
    view.accept_listing(make_listing(11, make_server(1)), clock.now_ms())
    assert [server.name for server in view.list_ready("gauging")] == ["s1"]


def test_entries_that_lapsed_in_an_outage_are_kept_for_the_grace_time(
    view: DeploymentView, clock: ManualClock
) -> None:
    clock.advance(6_000)
    view.accept_listing(make_listing(11, make_server(1)), clock.now_ms())
    names = {server.name for server in view.list_ready("gauging")}
    assert names == {"s1", "s2", "s3"}
    clock.advance(1_200)
    back = make_listing(12, make_server(1), make_server(2))
    view.accept_listing(back, clock.now_ms())
    clock.advance(800)
    assert [server.name for server in view.expire()] == ["s3", "s4"]
    assert {server.name for server in view.list_ready("gauging")} == {"s1", "s2"}


def test_a_balancer_that_starts_after_an_outage_takes_over_what_others_keep(
    view: DeploymentView, clock: ManualClock
) -> None:
    clock.advance(6_000)
    short = make_listing(11, make_server(1))
    view.accept_listing(short, clock.now_ms())
    fresh = DeploymentView(clock)
    fresh.accept_listing(short, clock.now_ms())
    assert fresh.is_settled()
    fresh.accept_grace(view.settles_in_ms, tuple(view.retained.values()))
    assert not fresh.is_settled()
    names = [server.name for server in fresh.list_holders(["gauging"])]
    assert sorted(names) == ["s1", "s2", "s3"]
    clock.advance(2_000)
    assert {server.name for server in fresh.expire()} == {"s2", "s3", "s4"}
    assert [server.name for server in fresh.list_ready("gauging")] == ["s1"]


def test_two_balancers_do_not_lengthen_each_others_grace(
    view: DeploymentView, clock: ManualClock
) -> None:
    other = DeploymentView(clock)
    clock.advance(6_000)
    for known in (view, other):
        known.mark_read_failed()
        known.accept_listing(make_listing(11, make_server(1)), clock.now_ms())
    for _ in range(30):
        told = view.settles_in_ms
        clock.advance(100)
        other.accept_grace(told)
        view.accept_grace(other.settles_in_ms)
    assert view.is_settled() or view.settles_in_ms == 0
    assert other.settles_in_ms == 0


@pytest.mark.parametrize("told_ms", [0, 100, 60_000])
def test_a_grace_that_others_tell_has_the_platforms_bound(
    view: DeploymentView, clock: ManualClock, told_ms: int
) -> None:
    view.accept_grace(told_ms)
    assert view.settles_in_ms == (2_000 if told_ms > 250 else 0)


def test_a_leaving_server_takes_nothing_new_but_may_hold_flows(
    view: DeploymentView, clock: ManualClock
) -> None:
    leaving = make_server(1, leaving=True)
    view.accept_listing(make_listing(11, leaving, make_server(2)), clock.now_ms())
    assert [server.name for server in view.list_ready("gauging")] == ["s2"]
    holders = [server.name for server in view.list_holders(["gauging"])]
    assert holders == ["s1", "s2", "s3"]


def test_a_confirmation_makes_the_listing_young_again(
    view: DeploymentView, clock: ManualClock
) -> None:
    clock.advance(900)
    view.confirm_listing(10, clock.now_ms() - 50)
    assert view.age_ms == 50
    view.confirm_listing(9, clock.now_ms())
    assert view.age_ms == 50


def test_only_the_newest_server_at_an_address_counts(
    view: DeploymentView, clock: ManualClock
) -> None:
    former = make_server(1)
    reused = make_server(1, "reporting")._replace(name="s9", started_ms=2_000)
    view.accept_listing(make_listing(11, former, reused), clock.now_ms())
    assert view.list_ready("gauging") == []
    assert view.list_ready("reporting") == [reused]
