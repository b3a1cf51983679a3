"""Another program keeps a copy of a backend server's entry.

Guards against a copy that is older than the entry and decides all the same: new flows
go to a server that is leaving.
"""

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import DeploymentView, ServerState
from citronwinch.coordination.flows.tests.conftest import make_listing, make_server


# A leaving server got new flows, since the copy came last in the order of keys.
@pytest.mark.parametrize("copy_name", ["a-copy", "z-copy"])
@pytest.mark.parametrize("copy_state", list(ServerState))
def test_a_server_that_one_of_two_entries_calls_leaving_is_leaving(
    view: DeploymentView, clock: ManualClock, copy_name: str, copy_state: ServerState
) -> None:
    copied = make_server(1)._replace(name=copy_name, state=copy_state)
    own_state = ServerState.LEAVING if copied.state is ServerState.READY else 0
    own = make_server(1)._replace(state=ServerState(own_state))
    for servers in ((own, copied), (copied, own)):
        listing = make_listing(11, *servers, make_server(2))
        view.accept_listing(listing, clock.now_ms())
        assert view.list_ready("gauging") == [make_server(2)]
        assert len(view.by_service["gauging"]) == 2
        assert len(view.listed.superseded) == 1


def test_a_server_that_has_started_again_is_not_leaving(
    view: DeploymentView, clock: ManualClock
) -> None:
    leaving = make_server(1, leaving=True)
    restarted = make_server(1)._replace(name="s1-again", started_ms=2_000)
    view.accept_listing(make_listing(11, leaving, restarted), clock.now_ms())
    assert view.list_ready("gauging") == [restarted]
    assert view.listed.superseded == ("s1",)
