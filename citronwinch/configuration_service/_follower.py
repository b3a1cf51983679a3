"""Schedules reads of the table and of the list of instances; processes the results."""

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
"""How long the service may delay the response to a watch, in milliseconds."""

LIST_INTERVAL_MS = 60_000
"""The shortest interval between reads of the list by a process that does not watch.

It is in milliseconds, before jitter.
"""

LIST_BYTES_PER_INSTANCE = 150
"""The approximate size of one instance in the list, in bytes."""

LIST_BYTES_PER_SECOND = 500
"""The mean rate at which a process that does not watch receives the list.

It is in bytes per second; in a large fleet it lengthens the interval between reads.
"""

LIST_RETRY_MS = 2_000
"""The shortest delay before a failed read of the list is retried.

It is in milliseconds, before jitter.
"""


class KeyRequest(NamedTuple):
    """A request to read a key."""

    key: str
    """The key to read."""

    after_change_index: int = 0
    """With `wait_ms`, the change index that the value must exceed."""

    wait_ms: int = 0
    """How long the service may delay its response; 0 for a plain read."""


class ListRequest(NamedTuple):
    """A request to read the list of instances."""

    after_change_index: int = 0
    """With `wait_ms`, the change index that the list must exceed."""

    wait_ms: int = 0
    """How long the service may delay its response; 0 for a plain read."""


PlatformRequest = KeyRequest | ListRequest
"""A read, executed by the task that owns the connection to the service."""


class PlatformFollower:
    """Keeps the table and the list of instances up to date; performs no I/O itself.

    `take_requests` returns the reads that are due; the caller executes them and passes
    the results to `accept_key` and `accept_list`. When `accept_key` returns True, all
    keys were read: the caller runs `reader.finish()`, which parses the table and may
    take long, and passes its result to `accept_table_read`.

    A check of the table reads the manifest and, if its revision is newer than the
    table of this process, also the keys that `TableReader` selects.
    """

    def __init__(self, node: GossipNode, clock: Clock) -> None:
        self.node = node
        self.clock = clock
        is_agent = node.own.role is InstanceRole.AGENT
        self.reader = TableReader(node.own.name if is_agent else "")
        self.is_reading_table = False
        self.is_key_in_flight = False
        self.is_list_in_flight = False
        # The change indexes of the manifest at the end of the last check, of the
        # manifest that was read last, and of the list; 0 before the first read.
        self.checked_manifest_change_index = 0
        self.manifest_change_index = 0
        self.list_change_index = 0
        self.has_list = False
        self.was_list_requested_last = False
        self.list_due_ms = clock.now_ms()
        self.failure_reason = ""

    @property
    def list_interval_ms(self) -> int:
        """The interval between reads of the list without a watch, before jitter."""
        list_bytes = self.node.schedule.fleet_size * LIST_BYTES_PER_INSTANCE
        return max(LIST_INTERVAL_MS, list_bytes * 1_000 // LIST_BYTES_PER_SECOND)

    def take_requests(self) -> list[PlatformRequest]:
        """Return the reads that are due and within the read rate.

        The list and the keys take turns in going first, so that neither is starved
        when the rate allows a single read.
        """
        request_factories = [self._next_list_request, self._next_key_request]
        if self.was_list_requested_last:
            request_factories.reverse()
        requests: list[PlatformRequest] = []
        for make_request in request_factories:
            request = make_request() if self.node.schedule.may_read() else None
            if request is not None:
                self.was_list_requested_last = isinstance(request, ListRequest)
                self.node.schedule.record_read_sent()
                requests.append(request)
        return requests

    def accept_list(self, result: Result[InstanceList, str]) -> bool:
        """Process the result of a read of the list; return whether it succeeded."""
        self.is_list_in_flight = False
        schedule = self.node.schedule
        now_ms = self.clock.now_ms()
        if result.is_error():
            wait_ms = max(LIST_RETRY_MS, schedule.read_interval_ms)
            self.list_due_ms = now_ms + round(wait_ms * self._draw_jitter_factor())
            return False
        if not self.has_list or result.ok.change_index != self.list_change_index:
            self.has_list = True
            self.list_change_index = result.ok.change_index
            self.node.accept_listing(result.ok.instances)
        wait_ms = 0 if schedule.is_watcher else self.list_interval_ms
        self.list_due_ms = now_ms + round(wait_ms * self._draw_jitter_factor())
        return True

    def accept_key(self, request: KeyRequest, result: Result[KeyValue, str]) -> bool:
        """Process the result of a read of a key.

        Return True when all keys of a newer table were read.
        """
        self.is_key_in_flight = False
        schedule = self.node.schedule
        if result.is_error():
            self._record_failure(result.error)
            return False
        schedule.record_read_success()
        if request.key == MANIFEST_KEY:
            self.manifest_change_index = result.ok.change_index
        accepted = self.reader.accept_value(request.key, result.ok.value)
        if accepted.is_error():
            self._record_failure(accepted.error)
            return False
        version = self.reader.version
        if request.key == MANIFEST_KEY and version is not None:
            self.node.record_configuration_version(version)
        if not self.reader.is_finished:
            return False
        if (
            version is not None
            and version.revision > self.node.replica.version.revision
        ):
            # No key is in flight now, but the next read must not start before
            # `accept_table_read`, since the caller is still using the reader.
            self.is_key_in_flight = True
            return True
        self._finish_check()
        return False

    def accept_table_read(self, result: Result[TableRead | None, str]) -> bool:
        """Process a result of `reader.finish`; return whether its table was adopted."""
        self.is_key_in_flight = False
        if result.is_error():
            self._record_failure(result.error)
            return False
        self._finish_check()
        table_read = result.ok
        if table_read is None:
            return False
        return self.node.accept_read(
            table_read.table, table_read.service_digests, table_read.digest
        )

    def _next_list_request(self) -> ListRequest | None:
        if self.is_list_in_flight or self.clock.now_ms() < self.list_due_ms:
            return None
        self.is_list_in_flight = True
        if self.node.schedule.is_watcher and self.has_list:
            return ListRequest(self.list_change_index, WATCH_WAIT_MS)
        return ListRequest()

    def _next_key_request(self) -> KeyRequest | None:
        if self.is_key_in_flight:
            return None
        request = self._choose_key_request()
        self.is_key_in_flight = request is not None
        return request

    def _choose_key_request(self) -> KeyRequest | None:
        replica, schedule = self.node.replica, self.node.schedule
        if self.is_reading_table:
            version = self.reader.version
            if version is None or version.revision > replica.version.revision:
                return KeyRequest(self.reader.next_key)
            self._finish_check()
        has_table = replica.version.revision > 0
        if not schedule.is_check_due(has_table, replica.is_behind):
            return None
        self.is_reading_table = True
        self.reader.start(
            replica.table, dict(replica.service_digests), replica.version.revision
        )
        if schedule.is_watcher and has_table and self.checked_manifest_change_index:
            return KeyRequest(
                MANIFEST_KEY, self.checked_manifest_change_index, WATCH_WAIT_MS
            )
        return KeyRequest(MANIFEST_KEY)

    def _finish_check(self) -> None:
        self.is_reading_table = False
        self.failure_reason = ""
        self.checked_manifest_change_index = self.manifest_change_index
        self.node.schedule.schedule_next_check()

    def _record_failure(self, reason: str) -> None:
        self.is_reading_table = False
        self.failure_reason = reason
        self.node.schedule.record_read_failure()

    def _draw_jitter_factor(self) -> float:
        """Return a random factor between 0.75 and 1.25, whose mean is 1."""
        return 0.75 + self.node.schedule.rng.random() / 2
