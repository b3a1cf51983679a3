"""The changes and faults that happen to a fleet in the steering benchmark."""

from collections.abc import Callable
from itertools import combinations
from typing import NamedTuple

from citronwinch.benches._fakes import LinkFaults
from citronwinch.benches._steering_callers import Callers
from citronwinch.benches._steering_fleet import Fleet, Node
from citronwinch.coordination import InstanceState, TableRow

LIST_LAG_MS = 1_500
"""How late the list of instances is read, at most."""


class Change(NamedTuple):
    """One thing that happens."""

    name: str
    """Its name."""

    is_planned: bool
    """Whether established flows must not notice."""

    apply: Callable[[Fleet, Callers], None]
    """Makes it happen."""


def sample_table_lag(fleet: Fleet) -> Callable[[Node], int]:
    """Return the lag of a table on its way to each process."""
    return lambda node: fleet.source.randrange(10, 300)


def sample_list_lag(fleet: Fleet) -> Callable[[Node], int]:
    """Return the lag of the list of instances on its way to each process."""
    return lambda node: fleet.source.randrange(200, LIST_LAG_MS)


def replace_row_fields(fleet: Fleet, server: str, **fields: object) -> list[TableRow]:
    """Return the rows with one of them changed."""
    return [
        row._replace(**fields) if row.backend_server == server else row  # type: ignore[arg-type]
        for row in fleet.rows
    ]


def make_server_name(fleet: Fleet, service: int, number: int) -> str:
    """Return the name of a backend server."""
    return f"{fleet.shape.services[service][0]}-{number}"


def join_balancer(fleet: Fleet, callers: Callers) -> None:
    """A balancer with an empty cache joins."""
    fleet.start_balancer("balancer-new", 1)


def stop_balancer(fleet: Fleet, callers: Callers) -> None:
    """A balancer leaves after the fabric stopped using it."""
    fleet.crash("balancer-1")


def kill_balancer(fleet: Fleet, callers: Callers) -> None:
    """A balancer is lost with all packets that it gets for a while."""
    fleet.pause(fleet.nodes["balancer-2"], 600)
    fleet.queue.call_after(590, lambda: fleet.crash("balancer-2"))


def drain_server(fleet: Fleet, callers: Callers) -> None:
    """A backend server gets weight 0."""
    fleet.publish(
        replace_row_fields(fleet, make_server_name(fleet, 0, 2), weight=0),
        sample_table_lag(fleet),
    )


def announce_leaving(fleet: Fleet, callers: Callers) -> None:
    """The platform lists an instance as leaving."""
    fleet.states[make_server_name(fleet, 0, 3)] = InstanceState.LEAVING
    fleet.publish_instances(sample_list_lag(fleet))


def move_row(fleet: Fleet, callers: Callers) -> None:
    """A backend server moves from the second service to the first."""
    service = fleet.shape.services[0][0]
    address = callers.endpoints[service]
    moved = replace_row_fields(
        fleet, make_server_name(fleet, 1, 1), service=service, service_address=address
    )
    fleet.publish(moved, sample_table_lag(fleet))
    callers.record_assignments()


def change_weights(fleet: Fleet, callers: Callers) -> None:
    """Two weights change at once."""
    fleet.rows = replace_row_fields(fleet, make_server_name(fleet, 0, 1), weight=30)
    fleet.publish(
        replace_row_fields(fleet, make_server_name(fleet, 1, 2), weight=200),
        sample_table_lag(fleet),
    )


def delay_edit_at_half(fleet: Fleet, callers: Callers) -> None:
    """An edit reaches half of the fleet seconds later than the other half."""
    lags = {name: 3_000 * (index % 2) for index, name in enumerate(fleet.nodes)}
    fleet.publish(
        replace_row_fields(fleet, make_server_name(fleet, 0, 4), weight=40),
        lambda node: lags.get(node.name, 0) + fleet.source.randrange(10, 300),
    )


def pause_beyond_lease(fleet: Fleet, callers: Callers) -> None:
    """An agent is paused for longer than a lease."""
    fleet.pause(fleet.nodes[make_server_name(fleet, 0, 5)], 9_000)


def pause_briefly(fleet: Fleet, callers: Callers) -> None:
    """An agent is paused for a second and a half."""
    fleet.pause(fleet.nodes[make_server_name(fleet, 0, 5)], 1_500)


def crash_server(fleet: Fleet, callers: Callers) -> None:
    """A backend server is lost with its agent; the platform's list follows late."""
    name = make_server_name(fleet, 0, 6)
    fleet.crash(name)
    callers.lost_servers.add(name)
    callers.servers_lost_ms = fleet.now_ms

    def remove_from_list() -> None:
        fleet.states.pop(name, None)
        fleet.publish_instances(sample_list_lag(fleet))

    fleet.queue.call_after(10_000, remove_from_list)


def cut_zone(fleet: Fleet, callers: Callers) -> None:
    """One availability zone is cut off for a while."""
    fleet.isolated_zones = frozenset({2})
    callers.servers_lost_ms = fleet.now_ms
    callers.lost_servers |= {
        row.backend_server
        for row in fleet.rows
        if fleet.nodes[row.backend_server].zone in fleet.isolated_zones
    }

    def heal() -> None:
        fleet.isolated_zones = frozenset()

    fleet.queue.call_after(8_000, heal)


def disturb_links(fleet: Fleet, callers: Callers) -> None:
    """All messages between processes suffer loss, copies and reordering."""
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
    Change("zone_cut_off", False, cut_zone),
)
"""Everything that happens alone; the first ones also in pairs."""

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
"""What also happens in pairs, each with each."""

TRIPLES = (
    ("server_drains", "row_moves", "weights_change"),
    ("balancer_joins", "server_drains", "links_disturbed"),
    ("edit_reaches_half", "row_moves", "balancer_dies"),
    ("weights_change", "edit_reaches_half", "links_disturbed"),
)
"""What happens three at a time."""

CHANGES_BY_NAME = {change.name: change for change in CHANGES}


def list_combinations() -> list[tuple[Change, ...]]:
    """Return the pairs and triples."""
    names = [*combinations(PAIRED_CHANGES, 2), *TRIPLES]
    return [tuple(CHANGES_BY_NAME[name] for name in group) for group in names]
