"""Entries that other programs write into the store beside the backend servers."""

import time
from typing import TYPE_CHECKING, Any

import orjson
import trio

from citronwinch.coordination import Endpoint
from citronwinch.soak._faults import Fault

if TYPE_CHECKING:
    from citronwinch.soak._run import Soak

FOREIGN_PORT = 9_100
"""The port at which another program listens on the instance of a backend server."""

FOREIGN_PERIOD_FACTOR = 4
"""How many times the duration of the fault the entries stay; they disturb nothing, so
that other faults may come meanwhile."""


async def write_foreign_entries(soak: "Soak", fault: Fault) -> None:
    """Write entries that name no backend server, and delete them after some time."""
    numbers = sorted(set(soak.servers) - soak.gone_servers)
    number = numbers[fault.target_index % len(numbers)]
    entries = make_foreign_entries(soak, number)
    names = [f"servers/{name}-{number}-{fault.start_s:.0f}" for name in entries]
    for name, value in zip(names, entries.values(), strict=True):
        soak.store.write(name, value)
    await trio.sleep(FOREIGN_PERIOD_FACTOR * fault.duration_s)
    for name in names:
        soak.store.delete(name)


def make_foreign_entries(soak: "Soak", number: int) -> dict[str, bytes]:
    """Return entries of other programs, most of them with the address of a server."""
    server = soak.servers[number]
    entry: dict[str, Any] = {
        "service": soak.service_by_server[number],
        "address": str(server.address),
        "zone": "ab"[number % 2],
        "version": "v1",
        "concurrency": 1,
        "state": "ready",
        "warmup_left_ms": 0,
        "sequence": 7,
        "born": soak.started_ms[number],
    }
    other_port = str(Endpoint(server.address.ip, FOREIGN_PORT))
    program = {
        "service": "host-metrics",
        "address": other_port,
        "born": time.time_ns() // 1_000_000,
    }
    copy = {key: value for key, value in entry.items() if key != "sequence"}
    return {
        "z-program": orjson.dumps(entry | program),
        "z-copy": orjson.dumps(copy),
        "no-limit": orjson.dumps(entry | {"concurrency": 2**63 - 1}),
        "nested": b'{"a":' * 20_000,
        "text-port": orjson.dumps(entry | {"address": f"{server.address.ip}:http"}),
    }
