"""A stand-in for the platform's store that reproduces the faults of the real one."""

import base64
from enum import Enum
from typing import Any

import orjson
import trio

from citronwinch.coordination import Endpoint
from citronwinch.network import HttpRequest, HttpResponse, serve


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


class StandInStore:
    """Serves keys, values and their revisions over HTTP."""

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint
        self.revision = 1
        self.items: dict[str, tuple[int, bytes]] = {}
        self.fault = StoreFault.NONE
        self.calls = 0
        self.changed = trio.Event()

    async def run(self) -> None:
        """Serve until cancelled."""
        await serve(self.endpoint, self._answer)

    def write(self, key: str, value: bytes) -> None:
        """Set the value of a key and end the watches that wait for it."""
        self.revision += 1
        self.items[key] = (self.revision, value)
        self._wake_watches()

    def delete(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self.items.pop(key, None)
        self._wake_watches()

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
    ) -> None:
        """Write the entry of a backend server."""
        entry = {
            "service": service,
            "address": str(address),
            "zone": zone,
            "version": "v1",
            "concurrency": 1,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": self.revision,
            "born": started_ms,
        }
        self.write(f"servers/{name}", orjson.dumps(entry))

    def _wake_watches(self) -> None:
        self.changed.set()
        self.changed = trio.Event()

    async def _answer(self, request: HttpRequest) -> HttpResponse:
        self.calls += 1
        if self.fault in _STATUS_BY_FAULT:
            return HttpResponse(_STATUS_BY_FAULT[self.fault], b'{"error":"no"}')
        if self.fault is StoreFault.SILENT:
            await trio.sleep_forever()
        if self.fault is StoreFault.MALFORMED:
            return HttpResponse(200, b'{"items": 7, "value": "?"')
        if self.fault is StoreFault.CUT:
            return HttpResponse(200, b'{"items":[{"key":"servers/')
        if request.path == "/kv-key":
            return self._answer_key(request.query["key"])
        if request.path == "/kv-range":
            return self._answer_range(request.query["prefix"])
        return await self._answer_watch(request.query)

    def _answer_key(self, key: str) -> HttpResponse:
        if key not in self.items:
            return HttpResponse(404, b'{"error":"no such key"}')
        return _json_response(self._encode_item(key) | {"at": self.revision})

    def _answer_range(self, prefix: str) -> HttpResponse:
        items = [
            self._encode_item(key)
            for key in sorted(self.items)
            if key.startswith(prefix)
        ]
        return _json_response({"items": items, "has_more": False, "at": self.revision})

    async def _answer_watch(self, query: dict[str, str]) -> HttpResponse:
        after = int(query["after"])
        if self.fault is StoreFault.FORGETFUL:
            return HttpResponse(410, b'{"error":"history is gone"}')
        with trio.move_on_after(int(query["wait_ms"]) / 1000):
            while not self._find_changes(query["prefix"], after):
                await self.changed.wait()
        events = self._find_changes(query["prefix"], after)
        return _json_response({"events": events, "at": self.revision})

    def _find_changes(self, prefix: str, after: int) -> list[dict[str, Any]]:
        return [
            self._encode_item(key)
            for key, (revision, _) in self.items.items()
            if key.startswith(prefix) and revision > after
        ]

    def _encode_item(self, key: str) -> dict[str, Any]:
        revision, value = self.items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "created": revision,
            "lease_id": 0,
        }


def _json_response(body: object) -> HttpResponse:
    return HttpResponse(200, orjson.dumps(body))
