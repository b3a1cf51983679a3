"""How a balancer fetches the former servers from others.

Guards against a balancer that fetches nothing else while the only source is silent, and
against one that counts a source as asked although it has not learned what that knows.
"""

from urllib.parse import parse_qsl, urlsplit

import trio

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import DeploymentView, Heartbeat, StorePosition
from citronwinch.coordination.flows.tests.conftest import make_listing, make_server
from citronwinch.forwarder import _view_exchange
from citronwinch.forwarder._view_server import ViewServer
from citronwinch.forwarder.tests.conftest import make_balancer
from citronwinch.network import HttpRequest

KILLED, LIVE = "10.1.0.2", "10.1.0.3"


def make_heartbeat(revision, version, known_for_ms, uptime_ms):
    return Heartbeat(
        7,
        "a",
        False,
        StorePosition(1, revision),
        revision,
        0,
        version,
        (),
        interval_ms=11_600,
        former_known_for_ms=known_for_ms,
        uptime_ms=uptime_ms,
    )


# Former servers come first, also while their only source has been killed: a newer
# configuration of a live balancer is not fetched for up to three heartbeat intervals.
def test_a_newer_view_is_fetched_while_the_source_of_former_servers_is_silent(
    open_sockets,
):
    process = make_balancer(open_sockets, "127.95.0.12")
    exchange, knowledge = process.view_exchange, process.view.former_knowledge
    knowledge.start("127.95.0.12")
    for sender, heartbeat in (
        (KILLED, make_heartbeat(10, 1, 30_000, 60_000)),
        (LIVE, make_heartbeat(11, 2, 1, 1)),
    ):
        process.members.handle_heartbeat(sender, heartbeat)
        knowledge.record_heartbeat(heartbeat, sender)
    failed = {KILLED}
    assert exchange._choose_source(failed) == LIVE


# A server has come and gone, so that the present listing equals an earlier one. The
# source still lists the server, and answers with a difference to the earlier listing.
def test_a_server_that_a_source_still_lists_is_learned_from_a_difference_as_well(
    open_sockets, monkeypatch
):
    stayed, left = make_server(1), make_server(9)
    source = DeploymentView(ManualClock(100_000))
    source.accept_listing(make_listing(8, stayed), 100_000)
    source.accept_listing(make_listing(9, stayed, left), 100_000)
    server = ViewServer(source, link_mbps=100)

    async def fetch_from_source(_endpoint, target, _timeout_ms):
        query = dict(parse_qsl(urlsplit(target).query))
        return await server.answer(HttpRequest("GET", "/view", query))

    monkeypatch.setattr(_view_exchange, "fetch", fetch_from_source)
    process = make_balancer(open_sockets, "127.95.0.12")
    view, exchange = process.view, process.view_exchange
    view.former_knowledge.start("127.95.0.12")
    view.accept_listing(make_listing(10, stayed), process.clock.now_ms())
    heartbeat = make_heartbeat(9, 1, 60_000, 60_000)
    process.members.handle_heartbeat(LIVE, heartbeat)
    view.former_knowledge.record_heartbeat(heartbeat, LIVE)
    trio.run(exchange._fetch_view, LIVE)
    assert view.former_knowledge.is_complete
    assert list(view.former) == [left.name]
