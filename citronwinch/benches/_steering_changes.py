"""The changes and faults that the steering benchmark applies to a fleet."""

from collections.abc import Callable
from itertools import combinations
from typing import NamedTuple

from citronwinch.benches._fakes import LinkFaults
from citronwinch.benches._steering_callers import Callers
from citronwinch.benches._steering_fleet import Fleet, Node
from citronwinch.coordination import InstanceState, TableRow

MAX_LIST_LAG_MS = 1_500
"""The maximum delay in milliseconds until a process reads a new list of instances."""


class Change(NamedTuple):
    """A planned change or a fault."""

    name: str
    """The name in the output."""

    must_keep_flows: bool
    """Whether established flows must survive the change.

    True for planned changes, and for disturbed links, the crash of a balancer and a
    pause of an agent that is shorter than its lease.
    """

    apply: Callable[[Fleet, Callers], None]
    """Applies the change to a fleet."""


def sample_table_lag(fleet: Fleet) -> Callable[[Node], int]:
    """Return a function that draws the milliseconds until a process has a new table."""
    return lambda node: fleet.source.randrange(10, 300)


def sample_list_lag(fleet: Fleet) -> Callable[[Node], int]:
    """Return a function that draws the milliseconds until a process has a new list."""
    return lambda node: fleet.source.randrange(200, MAX_LIST_LAG_MS)


def replace_row_fields(fleet: Fleet, server: str, **fields: object) -> list[TableRow]:
    """Return the rows of a fleet with fields of one backend server replaced."""
    return [
        row._replace(**fields) if row.backend_server == server else row  # type: ignore[arg-type]
        for row in fleet.rows
    ]


def make_server_name(fleet: Fleet, service: int, number: int) -> str:
    """Return the name of a backend server; `service` is the index of its service."""
    return f"{fleet.shape.services[service][0]}-{number}"


def join_balancer(fleet: Fleet, callers: Callers) -> None:
    """Start a balancer with an empty cache."""
    fleet.start_balancer("balancer-new", 1)


def stop_balancer(fleet: Fleet, callers: Callers) -> None:
    """Stop a balancer to which the fabric no longer sends packets."""
    fleet.crash("balancer-1")


def kill_balancer(fleet: Fleet, callers: Callers) -> None:
    """Crash a balancer and lose the packets that it received in the 590 ms before.

    The fabric sends packets to it until the crash.
    """
    fleet.pause(fleet.nodes["balancer-2"], 600)
    fleet.queue.call_after(590, lambda: fleet.crash("balancer-2"))


def drain_server(fleet: Fleet, callers: Callers) -> None:
    """Set the weight of a backend server to 0."""
    fleet.publish(
        replace_row_fields(fleet, make_server_name(fleet, 0, 2), weight=0),
        sample_table_lag(fleet),
    )


def announce_leaving(fleet: Fleet, callers: Callers) -> None:
    """Have the platform list an instance as leaving."""
    fleet.states[make_server_name(fleet, 0, 3)] = InstanceState.LEAVING
    fleet.publish_instances(sample_list_lag(fleet))


def move_row(fleet: Fleet, callers: Callers) -> None:
    """Move a backend server from the second service to the first."""
    service = fleet.shape.services[0][0]
    address = callers.endpoints[service]
    moved = replace_row_fields(
        fleet, make_server_name(fleet, 1, 1), service=service, service_address=address
    )
    fleet.publish(moved, sample_table_lag(fleet))
    callers.record_assignments()


def change_weights(fleet: Fleet, callers: Callers) -> None:
    """Change two weights in one edit."""
    fleet.rows = replace_row_fields(fleet, make_server_name(fleet, 0, 1), weight=30)
    fleet.publish(
        replace_row_fields(fleet, make_server_name(fleet, 1, 2), weight=200),
        sample_table_lag(fleet),
    )


def delay_edit_at_half(fleet: Fleet, callers: Callers) -> None:
    """Publish an edit that reaches half of the fleet 3 s later than the other half."""
    lags = {name: 3_000 * (index % 2) for index, name in enumerate(fleet.nodes)}
    fleet.publish(
        replace_row_fields(fleet, make_server_name(fleet, 0, 4), weight=40),
        lambda node: lags.get(node.name, 0) + fleet.source.randrange(10, 300),
    )


def pause_beyond_lease(fleet: Fleet, callers: Callers) -> None:
    """Pause an agent for 9 s, longer than a lease."""
    fleet.pause(fleet.nodes[make_server_name(fleet, 0, 5)], 9_000)


def pause_briefly(fleet: Fleet, callers: Callers) -> None:
    """Pause an agent for 1.5 s, less than a lease."""
    fleet.pause(fleet.nodes[make_server_name(fleet, 0, 5)], 1_500)


def crash_server(fleet: Fleet, callers: Callers) -> None:
    """Crash a backend server with its agent; the platform lists it for 10 s more."""
    name = make_server_name(fleet, 0, 6)
    fleet.crash(name)
    callers.lost_servers.add(name)
    callers.servers_lost_ms = fleet.now_ms

    def remove_from_list() -> None:
        fleet.states.pop(name, None)
        fleet.publish_instances(sample_list_lag(fleet))

    fleet.queue.call_after(10_000, remove_from_list)


def isolate_zone(fleet: Fleet, callers: Callers) -> None:
    """Isolate one availability zone for 8 s."""
    fleet.isolated_zones = frozenset({2})
    callers.servers_lost_ms = fleet.now_ms
    callers.lost_servers |= {
        row.backend_server
        for row in fleet.rows
        if fleet.nodes[row.backend_server].zone in fleet.isolated_zones
    }

    def reconnect_zone() -> None:
        fleet.isolated_zones = frozenset()

    fleet.queue.call_after(8_000, reconnect_zone)


def disturb_links(fleet: Fleet, callers: Callers) -> None:
    """Apply loss, duplication and reordering to all messages between processes."""
    fleet.faults = LinkFaults(jitter_ms=20, loss=0.02, duplication=0.05)


CHANGES = (
    Change("balancer_joins", True, join_balancer),
    Change("balancer_stops", True, stop_balancer),
    Change("server_drains", True, drain_server),
    Change("instance_leaves", True, announce_leaving),
    Change("row_moves", True, move_row),
    Change("weights_change", True, change_weights),
    Change("edit_reaches_half", True, delay_edit_at_half),
    Change("links_disturbed", True, disturb_links),
    Change("balancer_dies", True, kill_balancer),
    Change("agent_pauses_briefly", True, pause_briefly),
    Change("agent_pauses_long", False, pause_beyond_lease),
    Change("server_crashes", False, crash_server),
    Change("zone_cut_off", False, isolate_zone),
)
"""The changes, each of which is a case of its own."""

PAIRED_CHANGES = (
    "balancer_joins",
    "balancer_dies",
    "server_drains",
    "row_moves",
    "weights_change",
    "edit_reaches_half",
    "links_disturbed",
    "server_crashes",
)
"""The changes that are also applied in all pairs of two."""

TRIPLES = (
    ("server_drains", "row_moves", "weights_change"),
    ("balancer_joins", "server_drains", "links_disturbed"),
    ("edit_reaches_half", "row_moves", "balancer_dies"),
    ("weights_change", "edit_reaches_half", "links_disturbed"),
)
"""The combinations of three changes."""

CHANGES_BY_NAME = {change.name: change for change in CHANGES}


def list_combinations() -> list[tuple[Change, ...]]:
    """Return the pairs and triples of changes."""
    names = [*combinations(PAIRED_CHANGES, 2), *TRIPLES]
    return [tuple(CHANGES_BY_NAME[name] for name in group) for group in names]
