"""Slopes of state, messages, processor time and memory for each role.

Each case grows one thing (flows, backend servers, services, daemons or edits) and
gives the cost at each size and the slope of a line through them. Times are the
fastest of several runs of this process's own processor time; they differ from run to
run. Bytes and counts do not. `docs/CAPACITY.md` is worked out from these.
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
"""How often a time is measured; the fastest counts."""

SERVERS_PER_SERVICE = 10
"""How many backend servers a service has."""


class Measurement(NamedTuple):
    """What one size costs."""

    size: int
    """The size."""

    value: float
    """The cost."""


def run_case(seed: int) -> dict[str, Any]:
    """Measure every slope."""
    cases = [
        measure("balancer_memory_bytes_per_flow", (10_000, 40_000), hint_memory),
        measure("agent_memory_bytes_per_flow", (500, 2_000), agent_memory),
        measure("table_memory_bytes_per_row", (1_000, 12_000), table_memory),
        measure("member_memory_bytes", (1_000, 13_700), member_memory),
        measure("image_bytes_per_row", (1_000, 12_000), image_bytes),
        measure("manifest_bytes_per_service", (100, 1_200), manifest_bytes),
        measure("edit_bytes_per_row", (1, 10), delta_bytes),
        measure("edit_apply_us_per_row", (1_000, 12_000), edit_apply_us),
        measure("edit_read_us_per_row", (1_000, 12_000), edit_read_us),
        measure("whole_read_us_per_row", (1_000, 12_000), whole_read_us),
        measure("agent_edit_us_per_service", (100, 1_200), agent_edit_us),
        measure("fleet_review_us_per_member", (1_000, 13_700), fleet_review_us),
        measure("tick_us_by_members", (100, 13_700), tick_us),
        measure("control_message_us_by_facts", (0, 8), message_us),
        measure("control_message_bytes_by_facts", (0, 8), message_bytes),
        measure("list_accept_us_per_member", (1_000, 13_700), list_accept_us),
    ]
    return {
        "seed": seed,
        "slopes": {case["name"]: case["slope"] for case in cases},
        "cases": cases,
    }


def measure(
    name: str, sizes: Sequence[int], cost: Callable[[int], float]
) -> dict[str, Any]:
    """Return the costs at some sizes, and the line through the first and last."""
    points = [Measurement(size, cost(size)) for size in sizes]
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
    """Return the processor time of a call in microseconds, the fastest of several."""
    times: list[int] = []
    for _ in range(REPEATS):
        prepare()
        gc.collect()
        begin_ns = process_time_ns()
        run()
        times.append(process_time_ns() - begin_ns)
    return min(times) / 1_000


def count_bytes(make: Callable[[], object]) -> int:
    """Return the bytes that a value takes, with everything that it refers to."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert kept is not None
    return size


def hint_memory(flows: int) -> float:
    """Return the bytes of a balancer's remembered owners."""
    server = make_row(0, 0).backend_server

    def make() -> BalancerSteering:
        steering = BalancerSteering("balancer-1", 4 * flows)
        for i in range(flows):
            steering.accept_hint(Hint(make_flow_key(i), server))
        assert steering.owner_routes.find(make_flow_key(0)) is not None
        return steering

    return count_bytes(make)


def agent_memory(flows: int) -> float:
    """Return the bytes of an agent's records of its flows."""
    return count_bytes(lambda: open_flows(flows))


def table_memory(rows: int) -> float:
    """Return the bytes of a table."""
    return count_bytes(lambda: make_table(rows, 1))


def member_memory(members: int) -> float:
    """Return the bytes of what a process keeps of all members."""

    def make() -> object:
        node = make_node()
        node.accept_listing(make_members(members))
        node.tick()
        return node

    return count_bytes(make)


def image_bytes(rows: int) -> float:
    """Return the bytes of an encoded table."""
    table = make_table(rows, 1)
    return len(encode_snapshot(TableSnapshot(table.rows, digest_each_service(table))))


def manifest_bytes(services: int) -> float:
    """Return the bytes of the manifest."""
    values = split_table(make_table(services * SERVERS_PER_SERVICE, 1))
    return len(values[MANIFEST_KEY])


def edit_rows(table: Table, count: int) -> Table:
    """Return a table in which some rows have another weight."""
    changed = [row._replace(weight=row.weight + 1) for row in table.rows[:count]]
    return Table(table.revision + 1, [*changed, *table.rows[count:]])


def delta_bytes(rows: int) -> float:
    """Return the bytes of an edit to some rows, each of another service."""
    table = make_table(12_000, 1)
    step = len(table.rows) // rows
    edited = [
        row._replace(weight=77) if i % step == 0 and i // step < rows else row
        for i, row in enumerate(table.rows)
    ]
    new = Table(2, edited)
    delta = make_delta(table, digest_each_service(table), new, digest_each_service(new))
    return len(encode_deltas([delta]))


def edit_apply_us(rows: int) -> float:
    """Return the time that a balancer takes to apply a pushed edit."""
    first, second = make_node("b-1"), make_node("b-2")
    old = make_table(rows, 1)
    new = edit_rows(old, 1)
    put_in_force(first, old)
    put_in_force(first, new)
    [send] = first.replica.handle_pull("b-2", TablePull(1))

    def prepare() -> None:
        second.replica.discard_table()
        put_in_force(second, old)

    return time_us(lambda: second.replica.handle_chunk(send.message), prepare)  # type: ignore[arg-type]


def put_in_force(node: Any, table: Table) -> None:
    """Give a node a table as if it had read it."""
    digests = digest_each_service(table)
    node.accept_read(table, digests, digest_services(digests))


def edit_read_us(rows: int) -> float:
    """Return the time that a watcher takes to parse and check an edit."""
    old = make_table(rows, 1)
    new = edit_rows(old, 1)
    values = split_table(new)
    manifest = parse_manifest(values[MANIFEST_KEY].encode()).ok
    service = new.rows[0].service
    changed = {service: values[f"table/services/{service}"]}
    return time_us(lambda: join_table(manifest, changed, old))


def whole_read_us(rows: int) -> float:
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


def agent_edit_us(services: int) -> float:
    """Return the time that an agent takes to apply an edit of another service."""
    balancer, agent = make_node("b-1"), make_node("s-0000-00", is_agent=True)
    old = make_table(services * SERVERS_PER_SERVICE, 1)
    put_in_force(balancer, old)
    image = balancer.replica.handle_pull("x", TablePull(0, "s-0000-00"))
    edited = [*old.rows[:-1], old.rows[-1]._replace(weight=7)]
    put_in_force(balancer, Table(2, edited))
    [send] = balancer.replica.handle_pull("x", TablePull(1))

    def prepare() -> None:
        agent.replica.discard_table()
        for chunk in image:
            agent.replica.handle_chunk(chunk.message)  # type: ignore[arg-type]

    return time_us(lambda: agent.replica.handle_chunk(send.message), prepare)  # type: ignore[arg-type]


def fleet_review_us(members: int) -> float:
    """Return the time to choose view and watchers anew after a change."""
    node = make_node()
    node.accept_listing(make_members(members))

    def change() -> None:
        BENCH_CLOCK.advance(6_000)
        count = node.membership.change_count
        fact = MemberFact("m-00001", count, MemberStatus.LEAVING)
        node.membership.accept_fact(fact)

    def review() -> None:
        node.schedule.update_fleet(node.membership.list_instances().values())
        assert node.membership.view.own_zone

    return time_us(review, change)


def tick_us(members: int) -> float:
    """Return the mean time of a tick over ten seconds without a change."""
    node = make_node()
    put_in_force(node, make_table(100, 1))
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
    """Return a probe with facts in its envelope."""
    stated = tuple(
        MemberFact(f"m-{i:05d}", 1 << 60, MemberStatus.UNREACHABLE)
        for i in range(facts)
    )
    return Envelope("m-00000", 1 << 60, 9, 9, Probe(1, b"12345678", 0, "", stated))


def message_us(facts: int) -> float:
    """Return the time to encode, seal, open, decode and handle a probe."""
    ring = KeyRing(bytes(32), (bytes(32), bytes([1]) * 32))
    node = make_node()
    node.accept_listing(make_members(1_000))
    envelope = make_probe(facts)
    count = 500

    def run() -> None:
        for _ in range(count):
            data = ring.verify(ring.sign(encode_envelope(envelope)))
            assert data is not None
            found = decode_envelope(data)
            node.observe_envelope(found.sender, found.revision)
            version = TableVersion(found.revision, b"")
            node.handle(found.message, found.sender, version)

    return time_us(run) / count


def message_bytes(facts: int) -> float:
    """Return the bytes of a sealed probe."""
    ring = KeyRing(bytes(32), (bytes(32),))
    return len(ring.sign(encode_envelope(make_probe(facts))))


def list_accept_us(members: int) -> float:
    """Return the time to take a list of instances that is already known."""
    node = make_node()
    listed = make_members(members)
    node.accept_listing(listed)
    return time_us(lambda: node.accept_listing(listed))
