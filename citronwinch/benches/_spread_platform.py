"""A fake of the platform that can be down, stale or restored from an old copy."""

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
"""How long a read takes, in milliseconds."""

READ_TIMEOUT_MS = 2_000
"""When a read without an answer fails, in milliseconds."""

REPLICAS = 3
"""How many replicas of the service answer reads."""


class Snapshot(NamedTuple):
    """What a replica serves."""

    table: Table
    """The table."""

    values: dict[str, str]
    """Its keys."""

    change_index: int
    """The change counter."""


class Watch(NamedTuple):
    """A read that waits for a change."""

    daemon: FakeDaemon
    """The reader."""

    request: PlatformRequest
    """The read."""

    since_ms: int
    """When it began."""


class FakePlatform:
    """Serves keys and the list of instances, and counts reads."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        empty = Table(0, ())
        self.snapshots = [Snapshot(empty, {}, 0)] * REPLICAS
        self.newest = self.snapshots[0]
        self.stale_replicas: frozenset[int] = frozenset()
        self.is_down = False
        self.list_index = 1
        self.instances: tuple[Instance, ...] = ()
        self.watches: dict[int, Watch] = {}
        self.watch_number = 0
        self.reads_by_second: Counter[int] = Counter()
        self.index = 0

    def publish(self, rows: list[TableRow], revision: int | None = None) -> Table:
        """Publish rows under the next revision, or under a given one."""
        self.index += 1
        number = self.newest.table.revision + 1 if revision is None else revision
        table = Table(number, rows)
        self.newest = Snapshot(table, split_table(table), self.index)
        for i in range(REPLICAS):
            if i not in self.stale_replicas:
                self.snapshots[i] = self.newest
        self.notify(KeyRequest)
        return table

    def refresh(self) -> None:
        """Let stale replicas catch up."""
        self.stale_replicas = frozenset()
        self.snapshots = [self.newest] * REPLICAS
        self.notify(KeyRequest)

    def publish_list(self, instances: tuple[Instance, ...]) -> None:
        """Replace the list of instances."""
        self.list_index += 1
        self.instances = instances
        self.notify(ListRequest)

    def go_down(self) -> None:
        """Fail all reads of keys, those that wait too."""
        self.is_down = True
        for number, watch in list(self.watches.items()):
            if isinstance(watch.request, KeyRequest):
                self.end_watch(number)
                self.fail(watch.daemon, watch.request, 0)

    def read(self, daemon: FakeDaemon, request: PlatformRequest) -> None:
        """Answer a read after a moment, or keep it waiting."""
        now_ms = self.fleet.queue.clock.now_ms()
        self.reads_by_second[now_ms // 1_000] += 1
        if daemon.is_cut:
            self.fail(daemon, request, READ_TIMEOUT_MS)
        elif self.is_down and isinstance(request, KeyRequest):
            self.fail(daemon, request, READ_DELAY_MS)
        elif (
            request.wait_ms
            and self.find_index(daemon, request) <= request.after_change_index
        ):
            self.watch_number += 1
            number = self.watch_number
            self.watches[number] = Watch(daemon, request, now_ms)
            self.fleet.queue.call_after(request.wait_ms, lambda: self.end_wait(number))
        else:
            self.reply(daemon, request)

    def end_wait(self, number: int) -> None:
        """Answer a watch whose time is over."""
        watch = self.watches.get(number)
        if watch is not None:
            self.end_watch(number)
            self.reply(watch.daemon, watch.request)

    def end_watch(self, number: int) -> None:
        """Forget a watch; it counts as one read in each second that it waited."""
        watch = self.watches.pop(number)
        first = watch.since_ms // 1_000 + 1
        last = self.fleet.queue.clock.now_ms() // 1_000
        for second in range(first, last + 1):
            self.reads_by_second[second] += 1

    def notify(self, kind: type[PlatformRequest]) -> None:
        """Answer the watches that waited for a change."""
        for number, watch in list(self.watches.items()):
            if not isinstance(watch.request, kind):
                continue
            index = self.find_index(watch.daemon, watch.request)
            if index > watch.request.after_change_index:
                self.end_watch(number)
                self.reply(watch.daemon, watch.request)

    def find_index(self, daemon: FakeDaemon, request: PlatformRequest) -> int:
        """Return the change counter of what a daemon asks for."""
        if isinstance(request, ListRequest):
            return self.list_index
        return self.snapshot_for(daemon).change_index

    def snapshot_for(self, daemon: FakeDaemon) -> Snapshot:
        """Return what the daemon's replica serves."""
        return self.snapshots[daemon.incarnation % REPLICAS]

    def reply(self, daemon: FakeDaemon, request: PlatformRequest) -> None:
        """Answer a read after a moment."""
        if daemon.is_cut:
            self.fail(daemon, request, READ_TIMEOUT_MS)
            return
        result: object
        if isinstance(request, ListRequest):
            result = Ok(InstanceList(self.list_index, self.instances))
        else:
            snapshot = self.snapshot_for(daemon)
            value = snapshot.values.get(request.key)
            if value is None:
                result = Error(f"no key {request.key}")
            else:
                result = Ok(KeyValue(snapshot.change_index, value.encode()))
        self.fleet.queue.call_after(
            READ_DELAY_MS, lambda: daemon.answer(request, result)
        )

    def fail(self, daemon: FakeDaemon, request: PlatformRequest, delay_ms: int) -> None:
        """Let a read fail after a time."""
        error = Error("no answer")
        self.fleet.queue.call_after(delay_ms, lambda: daemon.answer(request, error))
