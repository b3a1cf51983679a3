"""How memory, message sizes and processor time of each role grow with the deployment.

Each case varies one quantity (flows, backend servers, services, daemons or edits) and
returns the cost at each size and the slope of the line through the first and the last.
Times are processor time of this process, the least of several runs; they differ from
run to run, while bytes and counts do not. `docs/CAPACITY.md` is derived from these
figures.
"""

import gc
import tracemalloc
from collections.abc import Callable, Sequence
from time import process_time_ns
from typing import Any, NamedTuple

from citronwinch.benches._capacity_setup import (
    BENCH_CLOCK,
    make_flow_key,
    make_members,
    make_node,
    make_row,
    make_table,
    open_flows,
)
from citronwinch.configuration_service import (
    MANIFEST_KEY,
    join_table,
    parse_manifest,
    split_table,
)
from citronwinch.coordination import Table
from citronwinch.coordination.spread import (
    MemberFact,
    MemberStatus,
    Probe,
    ProbeAnswer,
    TablePull,
    TableSnapshot,
    TableVersion,
    digest_each_service,
    digest_services,
    encode_deltas,
    encode_snapshot,
    make_delta,
)
from citronwinch.coordination.steering import BalancerSteering, Hint
from citronwinch.peers import Envelope, KeyRing, decode_envelope, encode_envelope

REPEATS = 3
"""The runs of each time measurement, of which the least counts."""

SERVERS_PER_SERVICE = 10
"""The backend servers of each service."""


class Measurement(NamedTuple):
    """The cost at one size."""

    size: int
    """The number of flows, rows, services, members or facts."""

    value: float
    """The cost, in the unit of the case name: bytes or microseconds."""


def run_case(seed: int) -> dict[str, Any]:
    """Measure every slope."""
    cases = [
        measure(
            "balancer_memory_bytes_per_flow", (10_000, 40_000), measure_hint_memory
        ),
        measure("agent_memory_bytes_per_flow", (500, 2_000), measure_agent_memory),
        measure("table_memory_bytes_per_row", (1_000, 12_000), measure_table_memory),
        measure("member_memory_bytes", (1_000, 13_700), measure_member_memory),
        measure("image_bytes_per_row", (1_000, 12_000), measure_snapshot_bytes),
        measure("manifest_bytes_per_service", (100, 1_200), measure_manifest_bytes),
        measure("edit_bytes_per_row", (1, 10), measure_delta_bytes),
        measure("edit_apply_us_per_row", (1_000, 12_000), measure_edit_apply_us),
        measure("edit_read_us_per_row", (1_000, 12_000), measure_edit_read_us),
        measure("whole_read_us_per_row", (1_000, 12_000), measure_whole_read_us),
        measure("agent_edit_us_per_service", (100, 1_200), measure_agent_edit_us),
        measure("fleet_review_us_per_member", (1_000, 13_700), measure_fleet_review_us),
        measure("tick_us_by_members", (100, 13_700), measure_tick_us),
        measure("control_message_us_by_facts", (0, 8), measure_message_us),
        measure("control_message_bytes_by_facts", (0, 8), measure_message_bytes),
        measure("list_accept_us_per_member", (1_000, 13_700), measure_list_accept_us),
    ]
    return {
        "seed": seed,
        "slopes": {case["name"]: case["slope"] for case in cases},
        "cases": cases,
    }


def measure(
    name: str, sizes: Sequence[int], measure_cost: Callable[[int], float]
) -> dict[str, Any]:
    """Return the cost at each size, and the line through the first and the last."""
    points = [Measurement(size, measure_cost(size)) for size in sizes]
    first, last = points[0], points[-1]
    slope = (last.value - first.value) / (last.size - first.size)
    return {
        "name": name,
        "sizes": [point.size for point in points],
        "values": [round(point.value, 2) for point in points],
        "slope": round(slope, 4),
        "base": round(first.value - slope * first.size, 2),
    }


def time_us(run: Callable[[], object], prepare: Callable[[], object] = int) -> float:
    """Return the least processor time of several calls, in microseconds.

    `prepare` is called before each of them and is not timed; the default does nothing.
    """
    times: list[int] = []
    for _ in range(REPEATS):
        prepare()
        gc.collect()
        begin_ns = process_time_ns()
        run()
        times.append(process_time_ns() - begin_ns)
    return min(times) / 1_000


def measure_bytes(make: Callable[[], object]) -> int:
    """Return the bytes that a new value allocates, with all objects it refers to."""
    gc.collect()
    tracemalloc.start()
    # The reference keeps the value in memory until its size has been read.
    measured_value = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert measured_value is not None
    return size


def measure_hint_memory(flows: int) -> float:
    """Return the bytes of a balancer's cache of flow owners."""
    server = make_row(0, 0).backend_server

    def make() -> BalancerSteering:
        steering = BalancerSteering("balancer-1", 4 * flows)
        for i in range(flows):
            steering.accept_hint(Hint(make_flow_key(i), server))
        assert steering.owner_routes.find(make_flow_key(0)) is not None
        return steering

    return measure_bytes(make)


def measure_agent_memory(flows: int) -> float:
    """Return the bytes of an agent's records of its flows."""
    return measure_bytes(lambda: open_flows(flows))


def measure_table_memory(rows: int) -> float:
    """Return the bytes of a table."""
    return measure_bytes(lambda: make_table(rows, 1))


def measure_member_memory(members: int) -> float:
    """Return the bytes of a gossip node's records of all members."""

    def make() -> object:
        node = make_node()
        node.accept_listing(make_members(members))
        node.tick()
        return node

    return measure_bytes(make)


def measure_snapshot_bytes(rows: int) -> float:
    """Return the bytes of an encoded snapshot of a table."""
    table = make_table(rows, 1)
    return len(encode_snapshot(TableSnapshot(table.rows, digest_each_service(table))))


def measure_manifest_bytes(services: int) -> float:
    """Return the bytes of a table's manifest in the configuration service."""
    values = split_table(make_table(services * SERVERS_PER_SERVICE, 1))
    return len(values[MANIFEST_KEY])


def edit_rows(table: Table, count: int) -> Table:
    """Return the next revision of a table, with the weights of some rows changed."""
    changed = [row._replace(weight=row.weight + 1) for row in table.rows[:count]]
    return Table(table.revision + 1, [*changed, *table.rows[count:]])


def measure_delta_bytes(rows: int) -> float:
    """Return the bytes of an encoded edit of some rows, each of another service."""
    table = make_table(12_000, 1)
    step = len(table.rows) // rows
    edited = [
        row._replace(weight=77) if i % step == 0 and i // step < rows else row
        for i, row in enumerate(table.rows)
    ]
    new = Table(2, edited)
    delta = make_delta(table, digest_each_service(table), new, digest_each_service(new))
    return len(encode_deltas([delta]))


def measure_edit_apply_us(rows: int) -> float:
    """Return the time that a balancer takes to apply an edit from another balancer."""
    sender, receiver = make_node("b-1"), make_node("b-2")
    old = make_table(rows, 1)
    new = edit_rows(old, 1)
    load_table(sender, old)
    load_table(sender, new)
    [send] = sender.replica.handle_pull("b-2", TablePull(1))

    def prepare() -> None:
        receiver.replica.discard_table()
        load_table(receiver, old)

    return time_us(lambda: receiver.replica.handle_chunk(send.message), prepare)  # type: ignore[arg-type]


def load_table(node: Any, table: Table) -> None:
    """Put a table in force at a node as if it came from the configuration service."""
    digests = digest_each_service(table)
    node.accept_read(table, digests, digest_services(digests))


def measure_edit_read_us(rows: int) -> float:
    """Return the time that a watcher takes to parse and check an edit."""
    old = make_table(rows, 1)
    new = edit_rows(old, 1)
    values = split_table(new)
    manifest = parse_manifest(values[MANIFEST_KEY].encode()).ok
    service = new.rows[0].service
    changed = {service: values[f"table/services/{service}"]}
    return time_us(lambda: join_table(manifest, changed, old))


def measure_whole_read_us(rows: int) -> float:
    """Return the time that a watcher takes to parse and check a whole table."""
    values = split_table(make_table(rows, 1))
    manifest = parse_manifest(values[MANIFEST_KEY].encode()).ok
    prefix = "table/services/"
    parts = {
        key.removeprefix(prefix): value
        for key, value in values.items()
        if key.startswith(prefix)
    }
    return time_us(lambda: join_table(manifest, parts))


def measure_agent_edit_us(services: int) -> float:
    """Return the time that an agent takes to apply an edit of another service."""
    balancer, agent = make_node("b-1"), make_node("s-0000-00", is_agent=True)
    old = make_table(services * SERVERS_PER_SERVICE, 1)
    load_table(balancer, old)
    snapshot_chunks = balancer.replica.handle_pull("x", TablePull(0, "s-0000-00"))
    edited = [*old.rows[:-1], old.rows[-1]._replace(weight=7)]
    load_table(balancer, Table(2, edited))
    [send] = balancer.replica.handle_pull("x", TablePull(1))

    def prepare() -> None:
        agent.replica.discard_table()
        for chunk in snapshot_chunks:
            agent.replica.handle_chunk(chunk.message)  # type: ignore[arg-type]

    return time_us(lambda: agent.replica.handle_chunk(send.message), prepare)  # type: ignore[arg-type]


def measure_fleet_review_us(members: int) -> float:
    """Return the time to choose view and watchers again when a member leaves."""
    node = make_node()
    node.accept_listing(make_members(members))

    def mark_member_leaving() -> None:
        BENCH_CLOCK.advance(6_000)
        count = node.membership.change_count
        fact = MemberFact("m-00001", count, MemberStatus.LEAVING)
        node.membership.accept_fact(fact)

    def review() -> None:
        node.schedule.update_fleet(node.membership.list_instances().values())
        assert node.membership.view.own_zone

    return time_us(review, mark_member_leaving)


def measure_tick_us(members: int) -> float:
    """Return the mean time of a tick over ten seconds in which no member changes."""
    node = make_node()
    load_table(node, make_table(100, 1))
    node.accept_listing(make_members(members))
    BENCH_CLOCK.advance(10_000)
    node.tick()
    node.tick()
    assert node.is_ready

    def run() -> None:
        for _ in range(100):
            BENCH_CLOCK.advance(100)
            for send in node.tick():
                if isinstance(send.message, Probe):
                    answer = ProbeAnswer(send.message.number, b"", 0)
                    node.handle(answer, send.receiver, TableVersion(0, b""))

    return time_us(run) / 100


def make_probe(facts: int) -> Envelope:
    """Return an envelope with a probe that carries some facts about members."""
    member_facts = tuple(
        MemberFact(f"m-{i:05d}", 1 << 60, MemberStatus.UNREACHABLE)
        for i in range(facts)
    )
    return Envelope(
        "m-00000", 1 << 60, 9, 9, Probe(1, b"12345678", 0, "", member_facts)
    )


def measure_message_us(facts: int) -> float:
    """Return the time to encode, sign, verify, decode and handle a probe."""
    ring = KeyRing(bytes(32), (bytes(32), bytes([1]) * 32))
    node = make_node()
    node.accept_listing(make_members(1_000))
    envelope = make_probe(facts)
    count = 500

    def run() -> None:
        for _ in range(count):
            data = ring.verify(ring.sign(encode_envelope(envelope)))
            assert data is not None
            decoded = decode_envelope(data)
            node.observe_envelope(decoded.sender, decoded.revision)
            version = TableVersion(decoded.revision, b"")
            node.handle(decoded.message, decoded.sender, version)

    return time_us(run) / count


def measure_message_bytes(facts: int) -> float:
    """Return the bytes of a signed probe."""
    ring = KeyRing(bytes(32), (bytes(32),))
    return len(ring.sign(encode_envelope(make_probe(facts))))


def measure_list_accept_us(members: int) -> float:
    """Return the time to accept a listing of instances that the node has already."""
    node = make_node()
    listed = make_members(members)
    node.accept_listing(listed)
    return time_us(lambda: node.accept_listing(listed))
