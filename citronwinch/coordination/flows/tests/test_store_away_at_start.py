"""A balancer that starts while the store is away, and gets its view a second later.

Packets queue in it meanwhile, most of them from callers that have given up. Guards
against openings and requests that nobody waits for and that take the servers' room, or
their time, from the others, and against openings that seem to be new.
"""

from collections import Counter

import pytest

from citronwinch.coordination import Endpoint, ManualClock
from citronwinch.coordination.flows import BalancerFlows, EarlyPackets, Packet
from citronwinch.coordination.flows.tests.conftest import (
    list_forwards,
    make_configuration,
    make_packet,
)

# The timeout of the fixtures' routes is 1,000 ms.


@pytest.fixture
def early(clock: ManualClock) -> EarlyPackets:
    return EarlyPackets(clock, Counter())


def take_all(early: EarlyPackets) -> list[Packet]:
    configuration, taken = make_configuration(), []
    while packet := early.take_next(configuration):
        taken.append(packet.packet)
    return taken


@pytest.mark.parametrize(
    ("packet", "age_ms", "is_taken"),
    [
        pytest.param(make_packet(opening=True), 900, True, id="opening"),
        pytest.param(make_packet(opening=True), 1_000, False, id="given up"),
        pytest.param(
            make_packet(opening=True, acknowledged=1), 700, True, id="first copy"
        ),
        pytest.param(
            make_packet(opening=True, acknowledged=1), 800, False, id="its end"
        ),
        pytest.param(make_packet(payload=50), 900, True, id="request"),
        pytest.param(make_packet(payload=50), 1_000, False, id="given up request"),
        pytest.param(make_packet(finishing=True), 9_000, True, id="end of a flow"),
        pytest.param(make_packet(reset=True), 9_000, True, id="reset of a flow"),
        pytest.param(make_packet(acknowledged=9), 9_000, True, id="acknowledgement"),
        pytest.param(
            make_packet(address=Endpoint("198.18.0.9", 80), opening=True),
            9_000,
            True,
            id="without a route",
        ),
    ],
)
def test_packets_of_callers_that_gave_up_are_dropped(
    early: EarlyPackets,
    clock: ManualClock,
    packet: Packet,
    age_ms: int,
    is_taken: bool,
) -> None:
    early.add(packet)
    clock.advance(age_ms)
    assert take_all(early) == [packet] * is_taken
    assert early.counters["early_packets_outdated"] == (not is_taken)


def test_packets_keep_their_order(early: EarlyPackets, clock: ManualClock) -> None:
    packets = [make_packet(port, opening=True) for port in range(4_000, 4_010)]
    for packet in packets:
        early.add(packet)
        clock.advance(150)
    assert take_all(early) == packets[4:]


def test_an_opening_has_the_age_at_which_it_was_received(
    balancer: BalancerFlows, early: EarlyPackets, clock: ManualClock
) -> None:
    packet = make_packet(opening=True, acknowledged=1)
    early.add(packet)
    clock.advance(300)
    taken = early.take_next(make_configuration())
    assert taken is not None
    assert list_forwards(balancer.handle_packet(*taken))
    assert clock.now_ms() - balancer.flows[packet.flow].times.attempt_ms == 500
