"""A stand-in for the platform's store that reproduces the faults of the real one."""

import base64
from enum import Enum
from typing import Any, NamedTuple

import orjson
import trio

from citronwinch.coordination import Clock, Endpoint, MonotonicClock
from citronwinch.network import HttpRequest, HttpResponse, serve

PAGE_ITEMS = 500
"""The most items on one page of a range."""

PAGE_BYTES = 1_000_000
"""The most bytes of values on one page of a range, but for the first item."""

COPY_RETENTION_MS = 30_000
"""How long the stand-in keeps copies of its former states, in milliseconds."""

DEAF_PERIOD_MS = 1_000
"""How long watches report nothing before the history is dropped, in milliseconds."""


class StoreFault(Enum):
    """How the store misbehaves."""

    NONE = "none"
    BUSY = "busy"
    """Every call is answered with status 503."""
    TOO_MANY_REQUESTS = "many"
    """Every call is answered with status 429."""
    SILENT = "silent"
    """No call is answered."""
    CUT = "cut"
    """Every response body is cut off."""
    MALFORMED = "malformed"
    """Every response body is malformed JSON."""
    FORGETFUL = "forgetful"
    """Every watch is answered with status 410: the store has discarded its history."""


_STATUS_BY_FAULT = {StoreFault.BUSY: 503, StoreFault.TOO_MANY_REQUESTS: 429}


class StoreCopy(NamedTuple):
    """A former state of the store."""

    taken_ms: int
    """When the state was current, in milliseconds of the stand-in's clock."""

    revision: int
    """The revision of the state."""

    items: dict[str, tuple[int, bytes]]
    """Revision and value by key."""


class StandInStore:
    """Serves keys, values and their revisions over HTTP.

    `reads_per_s` limits the reads in each second of the clock; calls beyond it get
    status 429.
    """

    def __init__(
        self,
        endpoint: Endpoint,
        clock: Clock | None = None,
        reads_per_s: int | None = None,
    ) -> None:
        self.endpoint = endpoint
        self.clock = clock or MonotonicClock()
        self.reads_per_s = reads_per_s
        self.era = 1
        self.revision = 1
        self.items: dict[str, tuple[int, bytes]] = {}
        self.changes: list[tuple[int, str]] = []
        """Revision and key of each change in the history."""
        self.history_start = 1
        """The earliest revision from which a watch may begin."""
        self.copies = [StoreCopy(self.clock.now_ms(), 1, {})]
        self.stale_by_ms = 0
        """How far the answers to reads with `allow_stale` lag, in milliseconds."""
        self.fault = StoreFault.NONE
        self.calls = 0
        self.open_watches = 0
        """How many watches wait for a change."""
        self.reads_by_second: dict[int, int] = {}
        self.is_deaf = False
        """Whether watches report no changes."""
        self.cut_watches = trio.Event()
        self.changed = trio.Event()

    async def run(self) -> None:
        """Serve until cancelled."""
        await serve(self.endpoint, self._answer)

    def write(self, key: str, value: bytes) -> None:
        """Set the value of a key and end the watches that wait for it."""
        self.revision += 1
        self.items[key] = (self.revision, value)
        self._record_change(key)

    def delete(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self.items.pop(key, None)
        self._record_change(key)

    def evacuate_zone(self, zone: str) -> None:
        """Request the evacuation of an availability zone, as the operators do."""
        self.write(f"op/evacuate/{zone}", b"{}")

    def restore_zone(self, zone: str) -> None:
        """Remove the request to evacuate an availability zone."""
        self.delete(f"op/evacuate/{zone}")

    def _record_change(self, key: str) -> None:
        self.changes.append((self.revision, key))
        now_ms = self.clock.now_ms()
        self.copies.append(StoreCopy(now_ms, self.revision, dict(self.items)))
        while self.copies[1].taken_ms < now_ms - COPY_RETENTION_MS:
            del self.copies[0]
        self._wake_watches()

    def restore_copy(self, age_ms: int) -> None:
        """Return to the state of `age_ms` ago, in a new era."""
        copy = self._find_copy(age_ms)
        self.era += 1
        self.revision, self.items = copy.revision, dict(copy.items)
        self.changes = [change for change in self.changes if change[0] <= copy.revision]
        self.history_start = min(self.history_start, copy.revision)
        self.copies = [copy]
        self._cut_watches()

    def _find_copy(self, age_ms: int) -> StoreCopy:
        latest_ms = self.clock.now_ms() - age_ms
        taken = [copy for copy in self.copies if copy.taken_ms <= latest_ms]
        return taken[-1] if taken else self.copies[0]

    def drop_history(self) -> None:
        """Discard the history, and cut the watches that wait."""
        self.history_start = self.revision
        self.changes.clear()
        self._cut_watches()

    async def drop_history_after_deaf_period(self) -> None:
        """Let watches report nothing for a second, then discard the history."""
        self.is_deaf = True
        await trio.sleep(DEAF_PERIOD_MS / 1000)
        self.is_deaf = False
        self.drop_history()

    def write_configuration(self, version: int, routes: dict[Endpoint, str]) -> None:
        """Write a configuration that routes each address to one service."""
        body = {
            "version": version,
            "routes": [
                {
                    "name": f"r-{index}",
                    "host": address.ip,
                    "prefix": f"/{address.port}/",
                    "type": "idempotent",
                    "timeout_ms": 1_000,
                    "target_latency_ms": 120,
                    "priority": 1,
                    "service": service,
                    "max_attempts": 2,
                }
                for index, (address, service) in enumerate(routes.items())
            ],
            "services": [{"name": service} for service in sorted(set(routes.values()))],
            "limits": {"idle_timeout_ms": 15_000},
        }
        self.write("op/config", orjson.dumps(body))

    def write_server(
        self,
        name: str,
        service: str,
        address: Endpoint,
        zone: str,
        state: str = "ready",
        started_ms: int = 1,
        slots: int = 1,
    ) -> None:
        """Write the entry of a backend server."""
        entry = {
            "service": service,
            "address": str(address),
            "zone": zone,
            "version": "v1",
            "concurrency": slots,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": self.revision,
            "born": started_ms,
        }
        self.write(f"servers/{name}", orjson.dumps(entry))

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    def _cut_watches(self) -> None:
        self.cut_watches.set()
        self.cut_watches = trio.Event()

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        self.calls += 1
        response = await self._answer_unmarked(request)
        return response._replace(headers={"Store-Era": str(self.era)})

    async def _answer_unmarked(self, request: HttpRequest) -> HttpResponse:
        """Return the answer to a request without its era."""
        if self.fault in _STATUS_BY_FAULT:
            return HttpResponse(_STATUS_BY_FAULT[self.fault], b'{"error":"no"}')
        if self.fault is StoreFault.SILENT:
            await trio.sleep_forever()
        if self.fault is StoreFault.MALFORMED:
            return HttpResponse(200, b'{"items": 7, "value": "?"')
        if self.fault is StoreFault.CUT:
            return HttpResponse(200, b'{"items":[{"key":"servers/')
        is_stale = request.query.get("allow_stale") == "1"
        if not is_stale and not self._admit_read():
            return HttpResponse(429, b'{"error":"too many reads"}')
        state = StoreCopy(self.clock.now_ms(), self.revision, self.items)
        if is_stale and self.stale_by_ms:
            state = self._find_copy(self.stale_by_ms)
        if request.path == "/kv-key":
            return _answer_key(state, request.query["key"])
        if request.path == "/kv-range":
            return _answer_range(
                state, request.query["prefix"], request.query.get("after", "")
            )
        return await self._answer_watch(request.query)

    def _admit_read(self) -> bool:
        if self.reads_per_s is None:
            return True
        second = self.clock.now_ms() // 1000
        reads = self.reads_by_second.get(second, 0) + 1
        self.reads_by_second = {second: reads}
        return reads <= self.reads_per_s

    async def _answer_watch(self, query: dict[str, str]) -> HttpResponse:
        prefix, after = query["prefix"], int(query["after"])
        if self.fault is StoreFault.FORGETFUL or not self._has_history(after):
            return HttpResponse(410, b'{"error":"history is gone"}')
        cut_watches = self.cut_watches
        events: list[dict[str, Any]] = []
        self.open_watches += 1
        try:
            with trio.move_on_after(int(query["wait_ms"]) / 1000):
                while not cut_watches.is_set():
                    events = self._find_changes(prefix, after)
                    if events:
                        break
                    await _wait_for_any(self.changed, cut_watches)
        finally:
            self.open_watches -= 1
        if cut_watches.is_set():
            return HttpResponse(503, b'{"error":"the watch was cut"}')
        return _json_response({"events": events, "at": self.revision})

    def _has_history(self, after: int) -> bool:
        return self.history_start <= after <= self.revision

    def _find_changes(self, prefix: str, after: int) -> list[dict[str, Any]]:
        if self.is_deaf:
            return []
        latest = {
            key: revision
            for revision, key in self.changes
            if key.startswith(prefix) and revision > after
        }
        return [
            _encode_item(key, *self.items[key])
            if key in self.items
            else {"key": key, "revision": revision, "deleted": True}
            for key, revision in latest.items()
        ]


async def _wait_for_any(*events: trio.Event) -> None:
    async with trio.open_nursery() as nursery:

        async def wait(event: trio.Event) -> None:
            await event.wait()
            nursery.cancel_scope.cancel()

        for event in events:
            nursery.start_soon(wait, event)


def _answer_key(state: StoreCopy, key: str) -> HttpResponse:
    if key not in state.items:
        return HttpResponse(404, b'{"error":"no such key"}')
    return _json_response(_encode_item(key, *state.items[key]) | {"at": state.revision})


def _answer_range(state: StoreCopy, prefix: str, after: str) -> HttpResponse:
    keys = sorted(key for key in state.items if key.startswith(prefix) and key > after)
    page: list[dict[str, Any]] = []
    page_bytes = 0
    for key in keys:
        revision, value = state.items[key]
        page_bytes += len(value)
        if page and (len(page) == PAGE_ITEMS or page_bytes > PAGE_BYTES):
            break
        page.append(_encode_item(key, revision, value))
    has_more = len(page) < len(keys)
    return _json_response({"items": page, "has_more": has_more, "at": state.revision})


def _encode_item(key: str, revision: int, value: bytes) -> dict[str, Any]:
    return {
        "key": key,
        "value": base64.b64encode(value).decode(),
        "revision": revision,
        "created": revision,
        "lease_id": 0,
    }


def _json_response(body: object) -> HttpResponse:
    return HttpResponse(200, orjson.dumps(body))
