"""When the store last lacked a server, as balancers tell its agent.

Guards against agents that take themselves for older than their servers, and deny the
flows that an earlier run of theirs has delivered.
"""

from collections.abc import Callable

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import DeploymentView, ServerListing
from citronwinch.coordination.flows._former_servers import RemovalReason
from citronwinch.coordination.flows.tests.conftest import (
    make_configuration,
    make_listing,
    make_server,
)

FIRST, NEW = make_server(1), make_server(9)
RESTARTED = NEW._replace(name="s9 again", started_ms=5_000)


@pytest.fixture
def view(clock: ManualClock) -> DeploymentView:
    """A view that has been current for a flow's lifetime, and lacks NEW."""
    deployment_view = DeploymentView(clock)
    deployment_view.accept_configuration(make_configuration())
    deployment_view.accept_listing(make_listing(10, FIRST), clock.now_ms())
    return deployment_view


def list_after(
    view: DeploymentView, clock: ManualClock, listing: ServerListing, pause_ms: int
) -> int:
    """Accept a listing after a pause; return how long NEW was absent before now."""
    clock.advance(pause_ms)
    view.accept_listing(listing, clock.now_ms())
    return view.new_servers.get_absence_ms(NEW.address.ip)


def test_the_absence_of_a_new_server_is_as_old_as_the_listing_before(
    view: DeploymentView, clock: ManualClock
) -> None:
    assert list_after(view, clock, make_listing(11, FIRST, NEW), 700) == 700
    assert list_after(view, clock, make_listing(12, FIRST, NEW), 700) == 1_400
    assert view.new_servers.get_absence_ms(FIRST.address.ip) == 0
    clock.advance(60_000)
    view.expire()
    assert view.new_servers.get_absence_ms(NEW.address.ip) == 0


def start_now(view: DeploymentView, clock: ManualClock) -> None:
    view.start_after_others("10.1.0.1")


def miss_listings(view: DeploymentView, clock: ManualClock) -> None:
    clock.advance(1_500)


def fail_read(view: DeploymentView, clock: ManualClock) -> None:
    view.mark_read_failed()


def accept_grace(view: DeploymentView, clock: ManualClock) -> None:
    view.accept_grace(2_000)


def list_before(view: DeploymentView, clock: ManualClock) -> None:
    for revision, servers in ((11, (FIRST, NEW)), (12, (FIRST,))):
        clock.advance(100)
        view.accept_listing(make_listing(revision, *servers), clock.now_ms())
    view.new_servers.absent_ms.clear()


def lose_before(view: DeploymentView, clock: ManualClock) -> None:
    list_before(view, clock)
    view.former.remove([NEW.name], RemovalReason.AGENT_SILENT)


NO_PROOF: dict[str, Callable[[DeploymentView, ManualClock], None]] = {
    "the balancer has just started": start_now,
    "listings were missed": miss_listings,
    "a read has failed": fail_read,
    "the store was down lately": accept_grace,
    "a server at the address left": list_before,
    "a server at the address is lost": lose_before,
}


# An entry may also appear since it had lapsed, or since the server has restarted.
@pytest.mark.parametrize("case", NO_PROOF)
def test_a_server_that_may_have_been_there_before_is_not_new(
    view: DeploymentView, clock: ManualClock, case: str
) -> None:
    NO_PROOF[case](view, clock)
    assert list_after(view, clock, make_listing(13, FIRST, NEW), 100) == 0


def test_a_server_that_restarts_under_another_name_is_not_new(
    view: DeploymentView, clock: ManualClock
) -> None:
    list_after(view, clock, make_listing(11, FIRST, NEW), 100)
    view.new_servers.absent_ms.clear()
    assert list_after(view, clock, make_listing(12, FIRST, RESTARTED), 100) == 0


def test_a_listing_of_an_earlier_copy_of_the_store_proves_no_absence(
    view: DeploymentView, clock: ManualClock
) -> None:
    list_after(view, clock, make_listing(5, FIRST, era=2), 100)
    assert list_after(view, clock, make_listing(6, FIRST, NEW, era=2), 100) == 0
