"""The balancers that a balancer names to others, and how long its ticks are.

Guards against lists that grow with the fleet: when 59 balancers meet for the first
time, each pair of them exchanges a list.
"""

import pytest

from citronwinch.coordination.flows import Heartbeat, StorePosition
from citronwinch.coordination.flows.tests.conftest import (
    make_configuration,
    make_listing,
    make_packet,
    make_server,
)
from citronwinch.forwarder import parse_forwarder_settings
from citronwinch.forwarder._agent_process import AgentProcess
from citronwinch.forwarder.tests.conftest import AGENT, SEED_IP, make_balancer


def meet(process, count):
    heartbeat = Heartbeat(1, "a", False, StorePosition(1, 1), 1, 0, 1, ())
    for number in range(count):
        process.members.handle_heartbeat(
            f"10.9.{number // 250}.{number % 250}", heartbeat
        )


@pytest.mark.parametrize(
    ("ip", "members", "expected"),
    [
        ("127.95.0.12", 5, 5),
        ("127.95.0.12", 24, 24),
        ("127.95.0.12", 400, 24),
        (SEED_IP, 59, 59),
        (SEED_IP, 400, 64),
    ],
)
def test_lists_of_members_have_a_limit(open_sockets, ip, members, expected):
    process = make_balancer(open_sockets, ip)
    meet(process, members)
    named = process._list_named_members()
    assert len(set(named)) == expected
    assert set(named) <= process.members.members.keys()


def test_a_balancer_ticks_often_only_while_something_is_pending(open_sockets):
    process = make_balancer(open_sockets, "127.95.0.12")
    assert process.has_pending_work()
    assert process.compute_tick_ms(is_idle=False) == 20
    process.view.accept_configuration(make_configuration())
    listing = make_listing(10, make_server(1))
    process.view.accept_listing(listing, process.clock.now_ms())
    process.flows.handle_packet(make_packet(payload=10))
    # The search goes on when the answer is overdue, 15 ms later.
    assert 5 <= process.compute_tick_ms(is_idle=False) <= 15
    process.flows.searches.clear()
    process.has_been_ready = True
    assert not process.has_pending_work()
    assert process.compute_tick_ms(is_idle=True) == 250
    process.view_exchange.configuration_watch.record_listing_read()
    assert process.compute_tick_ms(is_idle=True) == 100


@pytest.mark.parametrize(
    ("balancers", "pending_ms", "idle_ms"), [(0, 40, 200), (3, 40, 200), (12, 160, 500)]
)
def test_an_agent_ticks_less_often_before_many_balancers(
    open_sockets, balancers, pending_ms, idle_ms
):
    text = AGENT.format(
        number=1,
        zone="a",
        ip="127.95.0.31",
        peer_port=21_200,
        service="gauging",
        first="false",
    )
    settings = parse_forwarder_settings(text, "x").ok
    process = AgentProcess(settings, open_sockets)
    process.local_balancers = {f"10.9.0.{n}": 0 for n in range(balancers)}
    assert process.compute_tick_ms(is_idle=False) == pending_ms
    assert process.compute_tick_ms(is_idle=True) == idle_ms
