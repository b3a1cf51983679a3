"""Since when a balancer hears the agent beside a server.

Guards against a balancer that forgets an earlier run of an agent, or takes the agent of
the server that was at the address before for one.
"""

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import BackendServer
from citronwinch.coordination.flows._heard_agents import HeardAgents
from citronwinch.coordination.flows.tests.conftest import make_server

SERVER = make_server(1)
AGENT = SERVER.address.ip


@pytest.fixture
def heard(clock: ManualClock) -> HeardAgents:
    """A balancer that has heard the agent of a server for 500 ms."""
    agents = HeardAgents(clock)
    agents.set_servers([SERVER])
    agents.record_message(AGENT)
    clock.advance(500)
    return agents


@pytest.mark.parametrize(
    ("servers", "asked", "heard_ms"),
    [
        pytest.param([SERVER], SERVER, 500, id="the same server"),
        pytest.param(
            [SERVER._replace(slots=8)], SERVER, 500, id="another field of its entry"
        ),
        pytest.param([], SERVER, 0, id="no server at the address"),
        pytest.param([SERVER._replace(name="s9")], SERVER, 0, id="another server"),
        pytest.param(
            [SERVER._replace(started_ms=9_000)],
            SERVER._replace(started_ms=9_000),
            0,
            id="restarted server",
        ),
    ],
)
def test_an_agent_is_heard_beside_one_incarnation_of_a_server(
    heard: HeardAgents,
    servers: list[BackendServer],
    asked: BackendServer,
    heard_ms: int,
) -> None:
    heard.set_servers(servers)
    assert heard.get_heard_ms(asked) == heard_ms


# The agent had been killed and started again between two messages.
def test_later_messages_do_not_shorten_the_time(
    heard: HeardAgents, clock: ManualClock
) -> None:
    heard.record_message(AGENT)
    clock.advance(300)
    heard.record_message(AGENT)
    assert heard.get_heard_ms(SERVER) == 800


# Agents report before their server is listed; that run may be the present one.
def test_messages_count_from_the_listing_of_the_server_on(clock: ManualClock) -> None:
    heard = HeardAgents(clock)
    heard.record_message(AGENT)
    clock.advance(500)
    heard.set_servers([SERVER])
    assert heard.get_heard_ms(SERVER) == 0
    heard.record_message(AGENT)
    clock.advance(200)
    assert heard.get_heard_ms(SERVER) == 200
