"""The bytes with which a changing listing reaches all balancers.

Guards against listings that travel whole on each change: while 136 backend servers
register, each of 59 balancers fetched about 10 KB for each change, most of it between
availability zones, where bytes are expensive.
"""

import random

import pytest

from citronwinch.coordination import Endpoint, ManualClock
from citronwinch.coordination.flows import (
    BackendServer,
    DeploymentView,
    ListingDifference,
    ServerListing,
    ServerState,
    StorePosition,
    ViewAnswer,
)
from citronwinch.flow_peers import (
    ViewEncoder,
    compress_view,
    decode_compressed_view,
)

SERVERS = 136
ZONES = ("tas-south-a", "tas-south-b", "tas-south-c", "tas-south-d", "tas-south-e")


def make_server(number: int, rng: random.Random) -> BackendServer:
    return BackendServer(
        f"i-{rng.getrandbits(40):010x}",
        "seka18a" if number % 5 else "gocu56a",
        Endpoint(f"10.{number % 5 + 1}.0.{number}", 8167),
        ZONES[number % 5],
        ServerState.READY,
        1,
        1_771_472_094_292 + rng.randrange(30_000),
    )


def make_answer(source: DeploymentView, base_digest: int) -> ViewAnswer:
    """Return the answer of a balancer to one that has the listing with a digest."""
    servers = source.listing.servers
    difference = source.history.make_difference(base_digest, servers)
    if difference is None:
        return ViewAnswer(source.listing, 0, None)
    listing = ServerListing(source.listing.position, difference.changed)
    return ViewAnswer(
        listing, 0, None, base_digest=base_digest, removed=difference.removed
    )


def fetch(source: DeploymentView, receiver: DeploymentView, now_ms: int) -> int:
    """Bring a receiver up to date; return the bytes of the answer."""
    answer = make_answer(source, receiver.listing_digest)
    data = compress_view(ViewEncoder().encode(answer))
    received = decode_compressed_view(data)
    listing = received.listing
    if received.base_digest:
        difference = ListingDifference(listing.servers, received.removed)
        receiver.apply_listing_difference(
            received.base_digest, difference, listing.position, now_ms
        )
    else:
        receiver.accept_listing(listing, now_ms)
    return len(data)


def test_each_change_of_a_listing_takes_few_bytes(clock: ManualClock) -> None:
    rng = random.Random(3)
    servers = [make_server(number, rng) for number in range(SERVERS)]
    source, receiver = DeploymentView(clock), DeploymentView(clock)
    listed: dict[str, BackendServer] = {}
    sizes = []
    for revision, server in enumerate(servers, start=1):
        listed = listed | {server.name: server}
        listing = ServerListing(StorePosition(1, revision), listed)
        source.accept_listing(listing, clock.now_ms())
        sizes.append(fetch(source, receiver, clock.now_ms()))
        assert receiver.listing == source.listing
        assert receiver.listing_digest == source.listing_digest
        clock.advance(100)
    assert max(sizes) <= 300
    whole = fetch(source, DeploymentView(clock), clock.now_ms())
    assert whole <= 5_000


@pytest.mark.parametrize("missed", [1, 5, 11, 12, 40])
def test_a_balancer_that_missed_changes_gets_them_or_the_whole_listing(
    clock: ManualClock, missed: int
) -> None:
    rng = random.Random(missed)
    servers = {s.name: s for s in (make_server(n, rng) for n in range(SERVERS))}
    source, receiver = DeploymentView(clock), DeploymentView(clock)
    source.accept_listing(ServerListing(StorePosition(1, 1), servers), clock.now_ms())
    fetch(source, receiver, clock.now_ms())
    for revision in range(2, 2 + missed):
        gone = rng.choice(sorted(servers))
        changed = rng.choice(sorted(servers))
        servers = servers | {
            changed: servers[changed]._replace(state=ServerState.LEAVING)
        }
        servers = {name: s for name, s in servers.items() if name != gone}
        added = make_server(revision, rng)
        servers[added.name] = added
        listing = ServerListing(StorePosition(1, revision), servers)
        source.accept_listing(listing, clock.now_ms())
    size = fetch(source, receiver, clock.now_ms())
    assert receiver.listing == source.listing
    assert (size < 2_500) is (missed < 12)


def test_a_difference_to_another_listing_is_ignored(clock: ManualClock) -> None:
    view = DeploymentView(clock)
    difference = ListingDifference({}, ("i-1",))
    assert not view.apply_listing_difference(
        77, difference, StorePosition(1, 9), clock.now_ms()
    )
    assert view.confirmed_ms is None


@pytest.fixture
def clock() -> ManualClock:
    return ManualClock(100_000)
