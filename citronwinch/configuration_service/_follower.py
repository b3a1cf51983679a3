"""Which reads a process does next, and what becomes of their answers."""

from typing import NamedTuple

from expression import Result

from citronwinch.configuration_service._client import (
    MANIFEST_KEY,
    InstanceList,
    KeyValue,
)
from citronwinch.configuration_service._table_reader import TableRead, TableReader
from citronwinch.coordination import Clock, InstanceRole
from citronwinch.coordination.spread import GossipNode

WATCH_WAIT_MS = 20_000
"""How long one watch waits at the service, in milliseconds."""

LIST_INTERVAL_MS = 60_000
"""The shortest time between two reads of the list without watching it."""

LIST_BYTES_PER_INSTANCE = 150
"""About how long the list is for each instance in it, in bytes."""

LIST_BYTES_PER_SECOND = 500
"""The mean rate at which a process that does not watch reads the list."""

LIST_RETRY_MS = 2_000
"""How long after a failed read of the list it is tried again, in milliseconds."""


class KeyRequest(NamedTuple):
    """A key to read."""

    key: str
    """The key."""

    after_index: int = 0
    """The change counter above which the value is wanted."""

    wait_ms: int = 0
    """How long to wait for it."""


class ListRequest(NamedTuple):
    """The list of instances is to be read."""

    after_index: int = 0
    """The change counter above which the list is wanted."""

    wait_ms: int = 0
    """How long to wait for it."""


PlatformRequest = KeyRequest | ListRequest
"""A read, to be done by the task that owns the connection."""


class PlatformFollower:
    """Follows table and list of instances without reading itself.

    `take_requests` returns the reads that are due; the caller does them and gives the
    answers to `accept_key` and `accept_list`. When `accept_key` returns True the
    table is complete, and the caller runs `reader.finish()`, which parses it and may
    take long, and gives the outcome to `accept_table`.
    """

    def __init__(self, node: GossipNode, clock: Clock) -> None:
        self.node = node
        self.clock = clock
        is_agent = node.own.role is InstanceRole.AGENT
        self.reader = TableReader(node.own.name if is_agent else "")
        self.is_reading = False
        self.is_key_in_flight = False
        self.is_list_in_flight = False
        self.table_index = 0
        self.manifest_index = 0
        self.list_index = 0
        self.has_list = False
        self.was_list_last = False
        self.list_due_ms = clock.now_ms()
        self.failure_reason = ""

    @property
    def list_interval_ms(self) -> int:
        """How often a process that does not watch reads the list."""
        list_bytes = self.node.schedule.fleet_size * LIST_BYTES_PER_INSTANCE
        return max(LIST_INTERVAL_MS, list_bytes * 1_000 // LIST_BYTES_PER_SECOND)

    def take_requests(self) -> list[PlatformRequest]:
        """Return the reads that are due and that the rate allows."""
        makers = [self._next_list_request, self._next_key_request]
        if self.was_list_last:
            makers.reverse()
        requests: list[PlatformRequest] = []
        for make in makers:
            request = make() if self.node.schedule.may_read() else None
            if request is not None:
                self.was_list_last = isinstance(request, ListRequest)
                self.node.schedule.record_read()
                requests.append(request)
        return requests

    def accept_list(self, result: Result[InstanceList, str]) -> bool:
        """Take the answer to a read of the list; return whether it succeeded."""
        self.is_list_in_flight = False
        schedule = self.node.schedule
        now_ms = self.clock.now_ms()
        if result.is_error():
            wait_ms = max(LIST_RETRY_MS, schedule.read_interval_ms)
            self.list_due_ms = now_ms + round(wait_ms * self._jitter())
            return False
        if not self.has_list or result.ok.change_index != self.list_index:
            self.has_list = True
            self.list_index = result.ok.change_index
            self.node.accept_listing(result.ok.instances)
        wait_ms = 0 if schedule.is_watcher else self.list_interval_ms
        self.list_due_ms = now_ms + round(wait_ms * self._jitter())
        return True

    def accept_key(self, request: KeyRequest, result: Result[KeyValue, str]) -> bool:
        """Take the answer to a read; return whether the table is complete."""
        self.is_key_in_flight = False
        schedule = self.node.schedule
        if result.is_error():
            self._fail(result.error)
            return False
        schedule.record_success()
        if request.key == MANIFEST_KEY:
            self.manifest_index = result.ok.change_index
        accepted = self.reader.accept(request.key, result.ok.value)
        if accepted.is_error():
            self._fail(accepted.error)
            return False
        version = self.reader.version
        if request.key == MANIFEST_KEY and version is not None:
            self.node.record_service_version(version)
        if not self.reader.is_finished:
            return False
        if (
            version is not None
            and version.revision > self.node.replica.version.revision
        ):
            self.is_key_in_flight = True
            return True
        self._end()
        return False

    def accept_table(self, result: Result[TableRead | None, str]) -> bool:
        """Take a table that was put together; return whether it is newer."""
        self.is_key_in_flight = False
        if result.is_error():
            self._fail(result.error)
            return False
        self._end()
        read = result.ok
        if read is None:
            return False
        return self.node.accept_read(read.table, read.service_digests, read.digest)

    def _next_list_request(self) -> ListRequest | None:
        if self.is_list_in_flight or self.clock.now_ms() < self.list_due_ms:
            return None
        self.is_list_in_flight = True
        if self.node.schedule.is_watcher and self.has_list:
            return ListRequest(self.list_index, WATCH_WAIT_MS)
        return ListRequest()

    def _next_key_request(self) -> KeyRequest | None:
        if self.is_key_in_flight:
            return None
        request = self._plan_key_request()
        self.is_key_in_flight = request is not None
        return request

    def _plan_key_request(self) -> KeyRequest | None:
        replica, schedule = self.node.replica, self.node.schedule
        if self.is_reading:
            version = self.reader.version
            if version is None or version.revision > replica.version.revision:
                return KeyRequest(self.reader.next_key)
            self._end()
        has_table = replica.version.revision > 0
        if not schedule.is_check_due(has_table, replica.is_behind):
            return None
        self.is_reading = True
        self.reader.begin(
            replica.table, dict(replica.service_digests), replica.version.revision
        )
        if schedule.is_watcher and has_table and self.table_index:
            return KeyRequest(MANIFEST_KEY, self.table_index, WATCH_WAIT_MS)
        return KeyRequest(MANIFEST_KEY)

    def _end(self) -> None:
        self.is_reading = False
        self.failure_reason = ""
        self.table_index = self.manifest_index
        self.node.schedule.record_finished_check()

    def _fail(self, reason: str) -> None:
        self.is_reading = False
        self.failure_reason = reason
        self.node.schedule.record_failure()

    def _jitter(self) -> float:
        return 0.75 + self.node.schedule.source.random() / 2
