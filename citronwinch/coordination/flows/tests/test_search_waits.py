"""What a search waits for: answers, and instances that may still send one.

Guards against dead flows that each wait for a timeout because one balancer or one
agent, on which the reset does not depend, is gone.
"""

from collections import Counter

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import FlowQuestion, LoadReport, Message
from citronwinch.coordination.flows._flow_search import FlowSearch
from citronwinch.coordination.flows._search_rounds import SearchedServers
from citronwinch.coordination.flows.tests.conftest import make_server
from citronwinch.coordination.flows.tests.search_load import (
    PEER_IPS,
    TICK_MS,
    Network,
    SearchLoad,
)

INTERVAL_MS = 207
FLOWS = 30
UNRELATED_AGENT = "10.0.0.4"


def run_with_silent(silent: str, spread_by_ms: int = INTERVAL_MS) -> SearchLoad:
    network = Network(is_lost=lambda ip, message: ip == silent)
    load = SearchLoad(network=network, peers=PEER_IPS)
    for number in range(FLOWS):
        load.send_packet(2_000 + number, 10 + number * spread_by_ms)
    load.run(FLOWS * spread_by_ms + 1_000)
    return load


@pytest.mark.parametrize(
    ("silent", "first_limit_ms", "limit_ms"),
    [
        # It may know a flow at a new server, until the listing has been read again.
        pytest.param(PEER_IPS[2], 45, TICK_MS + 15, id="balancer of the zone"),
        pytest.param(UNRELATED_AGENT, 75, 15, id="agent of an unrelated service"),
    ],
)
def test_an_instance_that_stays_silent_delays_only_the_first_flows(
    silent: str, first_limit_ms: int, limit_ms: int
) -> None:
    load = run_with_silent(silent)
    delays_ms = load.list_delays_ms()
    assert len(delays_ms) == FLOWS
    assert max(delays_ms[:3]) <= first_limit_ms
    assert max(delays_ms[3:]) <= limit_ms


def test_a_balancer_that_sends_a_message_is_waited_for_again() -> None:
    load = run_with_silent(PEER_IPS[2])
    load.balancer.directory.silent.discard(PEER_IPS[2])
    load.send_packet(4_000, load.now - 100_000 + 1)
    load.run(load.now - 100_000 + 100)
    assert load.list_delays_ms()[-1] >= 15


def test_an_agent_that_sends_a_message_is_waited_for_again() -> None:
    load = run_with_silent(UNRELATED_AGENT)
    report = LoadReport("reporting", 0, 0, 0, 0.0, accepts_flows=True)
    load.selector.record_message(UNRELATED_AGENT, report)
    load.send_packet(4_000, load.now - 100_000 + 1)
    load.run(load.now - 100_000 + 200)
    assert load.list_delays_ms()[-1] >= 60


def test_a_silent_agent_that_may_hold_the_flow_is_always_waited_for() -> None:
    load = run_with_silent("10.0.0.5")
    assert not load.reset_ms


@pytest.mark.parametrize("is_presumed_dead", [False, True])
def test_most_dead_outcomes_start_searches_in_a_single_step(
    *, is_presumed_dead: bool
) -> None:
    """Flows that only moved cost no questions to other zones."""
    load = SearchLoad(peers=PEER_IPS)
    if is_presumed_dead:
        load.presume_dead()
    load.send_packet(2_000, 10)
    load.run(10.2)
    zones = {load.zones.get(ip, "") for ip in load.balancer.searches.batches.agents}
    assert zones == ({"a", "b", "c"} if is_presumed_dead else set())
    lookups = len(PEER_IPS) if is_presumed_dead else 1
    assert load.sent["FlowLookup"] == lookups


def test_deadlines_of_few_searches_are_met_exactly() -> None:
    load = SearchLoad(network=Network(is_lost=lambda ip, message: True))
    assert load.balancer.searches.compute_wait_ms(TICK_MS) == TICK_MS
    load.send_packet(2_000, 10)
    load.run(10)
    assert load.balancer.searches.compute_wait_ms(TICK_MS) == 15


def test_silent_agents_are_asked_again_with_single_questions() -> None:
    """Guards against searches that an agent of an earlier version never answers."""
    silent, flows = "10.0.0.5", 12
    at_a_time: Counter[float] = Counter()

    def is_lost(ip: str, message: Message) -> bool:
        if ip == silent and isinstance(message, FlowQuestion):
            at_a_time[load.now] += 1
        return ip == silent

    load = SearchLoad(network=Network(is_lost=is_lost))
    for number in range(flows):
        load.send_packet(2_000 + number, 10)
    load.run(130)
    assert max(at_a_time.values()) == 1
    load.run(400)
    assert max(at_a_time.values()) >= flows / 2


def test_agents_that_were_not_asked_yet_do_not_count_as_silent(
    clock: ManualClock,
) -> None:
    """Guards against single questions, three times as large, after a put-off."""
    servers = [make_server(number) for number in (1, 2)]
    search = FlowSearch("a", SearchedServers(servers), clock)
    search.start()
    search.record_sent("10.0.0.1")
    search.pause()
    assert search.resume(SearchedServers(servers)).silent_agents == {"10.0.0.1"}
