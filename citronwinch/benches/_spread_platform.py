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
"""The duration of a read."""

READ_TIMEOUT_MS = 2_000
"""The time after which an unanswered read fails."""

REPLICAS = 3
"""The number of replicas of the configuration service that answer reads."""


class Snapshot(NamedTuple):
    """The state that a replica serves."""

    table: Table
    """The table."""

    values: dict[str, str]
    """The values by key into which the table is split."""

    change_index: int
    """The number of the change that produced this state."""


class Watch(NamedTuple):
    """A blocking read, which is answered at the next change or after its wait time."""

    daemon: FakeDaemon
    """The daemon that reads."""

    request: PlatformRequest
    """The request."""

    since_ms: int
    """The time at which the read arrived."""


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
        self.last_watch_number = 0
        self.reads_by_second: Counter[int] = Counter()
        self.change_index = 0

    def publish(self, rows: list[TableRow], revision: int | None = None) -> Table:
        """Publish rows under the next revision, or under a given one."""
        self.change_index += 1
        number = self.newest.table.revision + 1 if revision is None else revision
        table = Table(number, rows)
        self.newest = Snapshot(table, split_table(table), self.change_index)
        for i in range(REPLICAS):
            if i not in self.stale_replicas:
                self.snapshots[i] = self.newest
        self.answer_watches(KeyRequest)
        return table

    def update_stale_replicas(self) -> None:
        """Give all replicas the newest state."""
        self.stale_replicas = frozenset()
        self.snapshots = [self.newest] * REPLICAS
        self.answer_watches(KeyRequest)

    def publish_list(self, instances: tuple[Instance, ...]) -> None:
        """Replace the list of instances."""
        self.list_index += 1
        self.instances = instances
        self.answer_watches(ListRequest)

    def stop_serving_keys(self) -> None:
        """Fail all reads of keys from now on, and those that are waiting."""
        self.is_down = True
        for number, watch in list(self.watches.items()):
            if isinstance(watch.request, KeyRequest):
                self.remove_watch(number)
                self.fail(watch.daemon, watch.request, 0)

    def read(self, daemon: FakeDaemon, request: PlatformRequest) -> None:
        """Answer a read, or hold a blocking read until there is a change."""
        now_ms = self.fleet.queue.clock.now_ms()
        self.reads_by_second[now_ms // 1_000] += 1
        if daemon.is_isolated:
            self.fail(daemon, request, READ_TIMEOUT_MS)
        elif self.is_down and isinstance(request, KeyRequest):
            self.fail(daemon, request, READ_DELAY_MS)
        elif (
            request.wait_ms
            and self.find_index(daemon, request) <= request.after_change_index
        ):
            self.last_watch_number += 1
            number = self.last_watch_number
            self.watches[number] = Watch(daemon, request, now_ms)
            self.fleet.queue.call_after(
                request.wait_ms, lambda: self.expire_watch(number)
            )
        else:
            self.reply(daemon, request)

    def expire_watch(self, number: int) -> None:
        """Answer a watch whose wait time has passed."""
        watch = self.watches.get(number)
        if watch is not None:
            self.remove_watch(number)
            self.reply(watch.daemon, watch.request)

    def remove_watch(self, number: int) -> None:
        """Remove a watch; count it as one read in each second that it waited."""
        watch = self.watches.pop(number)
        first = watch.since_ms // 1_000 + 1
        last = self.fleet.queue.clock.now_ms() // 1_000
        for second in range(first, last + 1):
            self.reads_by_second[second] += 1

    def answer_watches(self, kind: type[PlatformRequest]) -> None:
        """Answer the watches of a kind whose change has happened."""
        for number, watch in list(self.watches.items()):
            if not isinstance(watch.request, kind):
                continue
            index = self.find_index(watch.daemon, watch.request)
            if index > watch.request.after_change_index:
                self.remove_watch(number)
                self.reply(watch.daemon, watch.request)

    def find_index(self, daemon: FakeDaemon, request: PlatformRequest) -> int:
        """Return the change index of the state that a daemon reads."""
        if isinstance(request, ListRequest):
            return self.list_index
        return self.find_snapshot(daemon).change_index

    def find_snapshot(self, daemon: FakeDaemon) -> Snapshot:
        """Return the state of the replica that a daemon reads from."""
        return self.snapshots[daemon.incarnation % REPLICAS]

    def reply(self, daemon: FakeDaemon, request: PlatformRequest) -> None:
        """Answer a read after the usual delay."""
        if daemon.is_isolated:
            self.fail(daemon, request, READ_TIMEOUT_MS)
            return
        result: object
        if isinstance(request, ListRequest):
            result = Ok(InstanceList(self.list_index, self.instances))
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
