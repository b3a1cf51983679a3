"""Tables, members, gossip nodes and open flows for the capacity benchmark."""

import random
import struct

from citronwinch.coordination import (
    Endpoint,
    FlowKey,
    Instance,
    InstanceRole,
    ManualClock,
    Table,
    TableRow,
    TransportProtocol,
)
from citronwinch.coordination.spread import GossipNode
from citronwinch.coordination.steering import AgentSteering, Forward

ZONES = 16
"""The number of availability zones of the members."""

ZONES_PER_REGION = 2
"""The availability zones of each region."""

SERVERS_PER_SERVICE = 10
"""The backend servers of each service."""

MEMBERS_PER_BALANCER = 8
"""The number of members per balancer; all other members are agents."""

TICK_MS = 100
"""The interval between two ticks of an agent, in milliseconds."""

BENCH_CLOCK = ManualClock(1_000_000)
"""The clock that all nodes and agents share."""


def make_table(rows: int, revision: int) -> Table:
    """Return a table with ten backend servers for each service."""
    return Table(
        revision,
        [
            make_row(i // SERVERS_PER_SERVICE, i % SERVERS_PER_SERVICE)
            for i in range(rows)
        ],
    )


def make_row(service: int, server: int) -> TableRow:
    """Return the row of one backend server."""
    return TableRow(
        f"service-{service:04d}",
        TransportProtocol.UDP,
        Endpoint(f"203.{service // 250}.113.{service % 250 + 1}", 5_000),
        f"s-{service:04d}-{server:02d}",
        Endpoint(f"10.{service // 250}.{service % 250}.{server + 1}", 6_000),
        f"zone-{server % ZONES:02d}",
        100,
        5_000,
    )


def make_members(count: int) -> list[Instance]:
    """Return the instances of a fleet, spread over all availability zones."""
    return [make_member(i) for i in range(count)]


def make_member(number: int) -> Instance:
    """Return the instance of one member: a balancer or an agent."""
    zone = number % ZONES
    is_balancer = number % MEMBERS_PER_BALANCER == 0
    return Instance(
        f"m-{number:05d}",
        InstanceRole.BALANCER if is_balancer else InstanceRole.AGENT,
        f"zone-{zone:02d}",
        Endpoint(f"10.1.{number // 250}.{number % 250 + 1}", 7_000),
        region=f"region-{zone // ZONES_PER_REGION}",
    )


def make_node(name: str = "m-99999", *, is_agent: bool = False) -> GossipNode:
    """Return a gossip node that knows no other members."""
    role = InstanceRole.AGENT if is_agent else InstanceRole.BALANCER
    own = Instance(name, role, "zone-00", Endpoint("10.2.0.1", 1), region="region-0")
    return GossipNode(own, 1, BENCH_CLOCK, random.Random(1))


def make_flow_key(number: int) -> FlowKey:
    """Return the key of the flow with a number."""
    caller = struct.pack("!BIH", 17, 0x0B000000 + number // 60_000, number % 60_000)
    return FlowKey(caller + struct.pack("!IH", 0xCB007101, 5_000))


def open_flows(count: int) -> AgentSteering:
    """Return the steering of an agent at which some flows have been opened."""
    agent = AgentSteering("s-0000-00", BENCH_CLOCK, 1)
    row = make_row(0, 0)._replace(connection_limit=1_000_000)
    agent.accept_table(Table(1, [row]))
    # A new agent opens no flows while it learns which owners have left.
    while not agent.has_finished_learning():
        BENCH_CLOCK.advance(TICK_MS)
        agent.tick()
    for i in range(count):
        forward = Forward(make_flow_key(i), row.service, b"", "m-00000", opens=True)
        agent.handle_forward(forward)
    assert len(agent.owned) == count
    return agent
