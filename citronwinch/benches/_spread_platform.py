"""A fake platform that can be down, stale or restored from an old copy."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from expression import Error, Ok

from citronwinch.configuration_service import (
    InstanceList,
    KeyRequest,
    KeyValue,
    ListRequest,
    PlatformRequest,
    split_table,
)
from citronwinch.coordination import Instance, Table, TableRow

if TYPE_CHECKING:
    from citronwinch.benches._spread_fleet import FakeDaemon, Fleet

READ_DELAY_MS = 3
"""The delay in milliseconds until the answer to a read."""

READ_TIMEOUT_MS = 2_000
"""The time in milliseconds after which an unanswered read fails."""

REPLICA_COUNT = 3
"""The number of replicas of the configuration service that answer reads."""


class Snapshot(NamedTuple):
    """The state that a replica serves."""

    table: Table
    """The table."""

    values: dict[str, str]
    """The values by key into which the table is split."""

    change_index: int
    """The number of the publication that produced this state."""


class BlockingRead(NamedTuple):
    """A blocking read, which is answered at the next change or after its wait time."""

    daemon: FakeDaemon
    """The daemon that reads."""

    request: PlatformRequest
    """The request."""

    since_ms: int
    """The time in milliseconds at which the read arrived."""


class FakePlatform:
    """Serves keys and the list of instances, and counts reads."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        empty = Table(0, ())
        self.snapshots = [Snapshot(empty, {}, 0)] * REPLICA_COUNT
        self.newest = self.snapshots[0]
        self.stale_replicas: frozenset[int] = frozenset()
        self.fails_key_reads = False
        self.list_change_index = 1
        self.instances: tuple[Instance, ...] = ()
        self.blocking_reads: dict[int, BlockingRead] = {}
        self.last_blocking_read_number = 0
        self.reads_by_second: Counter[int] = Counter()
        self.change_index = 0

    def publish(self, rows: list[TableRow], revision: int | None = None) -> Table:
        """Publish rows under the next revision, or under a given one."""
        self.change_index += 1
        number = self.newest.table.revision + 1 if revision is None else revision
        table = Table(number, rows)
        self.newest = Snapshot(table, split_table(table), self.change_index)
        for i in range(REPLICA_COUNT):
            if i not in self.stale_replicas:
                self.snapshots[i] = self.newest
        self.answer_blocking_reads(KeyRequest)
        return table

    def update_stale_replicas(self) -> None:
        """Update all replicas to the newest state."""
        self.stale_replicas = frozenset()
        self.snapshots = [self.newest] * REPLICA_COUNT
        self.answer_blocking_reads(KeyRequest)

    def publish_list(self, instances: tuple[Instance, ...]) -> None:
        """Replace the list of instances."""
        self.list_change_index += 1
        self.instances = instances
        self.answer_blocking_reads(ListRequest)

    def stop_serving_keys(self) -> None:
        """Fail the blocking reads of keys now and all later reads of keys."""
        self.fails_key_reads = True
        for number, blocking_read in list(self.blocking_reads.items()):
            if isinstance(blocking_read.request, KeyRequest):
                self.remove_blocking_read(number)
                self.fail(blocking_read.daemon, blocking_read.request, 0)

    def read(self, daemon: FakeDaemon, request: PlatformRequest) -> None:
        """Answer a read, or hold a blocking read until there is a change."""
        now_ms = self.fleet.queue.clock.now_ms()
        self.reads_by_second[now_ms // 1_000] += 1
        if daemon.is_isolated:
            self.fail(daemon, request, READ_TIMEOUT_MS)
        elif self.fails_key_reads and isinstance(request, KeyRequest):
            self.fail(daemon, request, READ_DELAY_MS)
        elif (
            request.wait_ms
            and self.find_change_index(daemon, request) <= request.after_change_index
        ):
            self.last_blocking_read_number += 1
            number = self.last_blocking_read_number
            self.blocking_reads[number] = BlockingRead(daemon, request, now_ms)
            self.fleet.queue.call_after(
                request.wait_ms, lambda: self.expire_blocking_read(number)
            )
        else:
            self.reply(daemon, request)

    def expire_blocking_read(self, number: int) -> None:
        """Answer a blocking read whose wait time has passed."""
        blocking_read = self.blocking_reads.get(number)
        if blocking_read is not None:
            self.remove_blocking_read(number)
            self.reply(blocking_read.daemon, blocking_read.request)

    def remove_blocking_read(self, number: int) -> None:
        """Remove a blocking read; count it as one read in each second of its wait."""
        blocking_read = self.blocking_reads.pop(number)
        first = blocking_read.since_ms // 1_000 + 1
        last = self.fleet.queue.clock.now_ms() // 1_000
        for second in range(first, last + 1):
            self.reads_by_second[second] += 1

    def answer_blocking_reads(self, kind: type[PlatformRequest]) -> None:
        """Answer the blocking reads of request type `kind` whose state has changed."""
        for number, blocking_read in list(self.blocking_reads.items()):
            if not isinstance(blocking_read.request, kind):
                continue
            index = self.find_change_index(blocking_read.daemon, blocking_read.request)
            if index > blocking_read.request.after_change_index:
                self.remove_blocking_read(number)
                self.reply(blocking_read.daemon, blocking_read.request)

    def find_change_index(self, daemon: FakeDaemon, request: PlatformRequest) -> int:
        """Return the change index of the state that a daemon reads."""
        if isinstance(request, ListRequest):
            return self.list_change_index
        return self.find_snapshot(daemon).change_index

    def find_snapshot(self, daemon: FakeDaemon) -> Snapshot:
        """Return the state of the replica that a daemon reads from."""
        return self.snapshots[daemon.incarnation % REPLICA_COUNT]

    def reply(self, daemon: FakeDaemon, request: PlatformRequest) -> None:
        """Answer a read after `READ_DELAY_MS`, or let it time out if isolated."""
        if daemon.is_isolated:
            self.fail(daemon, request, READ_TIMEOUT_MS)
            return
        result: object
        if isinstance(request, ListRequest):
            result = Ok(InstanceList(self.list_change_index, self.instances))
        else:
            snapshot = self.find_snapshot(daemon)
            value = snapshot.values.get(request.key)
            if value is None:
                result = Error(f"no key {request.key}")
            else:
                result = Ok(KeyValue(snapshot.change_index, value.encode()))
        self.fleet.queue.call_after(
            READ_DELAY_MS, lambda: daemon.handle_result(request, result)
        )

    def fail(self, daemon: FakeDaemon, request: PlatformRequest, delay_ms: int) -> None:
        """Fail a read after a delay."""
        error = Error("no answer")
        self.fleet.queue.call_after(
            delay_ms, lambda: daemon.handle_result(request, error)
        )
