"""Tasks that follow the platform."""

import random

import structlog
import trio
from expression import Error, Ok, Result

from citronwinch.coordination import Endpoint, Table
from citronwinch.daemon._events import Event, InstancesChanged, TableChanged
from citronwinch.operators import Metrics
from citronwinch.platform import (
    MANIFEST_KEY,
    SERVICE_KEY_PREFIX,
    join_table,
    parse_manifest,
    read_instances,
    read_key,
)

WATCH_WAIT_MS = 20_000
"""How long one watch waits at the service, in milliseconds."""

RETRY_BASE_MS = 200
"""The shortest wait after a failed read, in milliseconds."""

RETRY_LIMIT_MS = 5_000
"""The longest wait after failed reads, in milliseconds."""

log = structlog.get_logger()


class Backoff:
    """Waits longer after each failure, with jitter."""

    def __init__(self, source: random.Random) -> None:
        self.source = source
        self.failures = 0

    def succeeded(self) -> None:
        """Start again from the shortest wait."""
        self.failures = 0

    async def failed(self) -> None:
        """Wait for a random time below a limit that doubles with each failure."""
        ceiling = min(RETRY_LIMIT_MS, RETRY_BASE_MS * 2**self.failures)
        self.failures = min(self.failures + 1, 16)
        await trio.sleep(self.source.uniform(ceiling / 2, ceiling) / 1000)


async def read_table(
    service: Endpoint, after_index: int
) -> Result[tuple[int, Table], str]:
    """Wait for a manifest above `after_index` and return its index and its table."""
    value = await read_key(service, MANIFEST_KEY, after_index, WATCH_WAIT_MS)
    if value.is_error():
        return Error(value.error.reason)
    manifest = parse_manifest(value.ok.value)
    if manifest.is_error():
        return Error(manifest.error)
    parts: dict[str, str] = {}
    for name in manifest.ok.digests:
        part = await read_key(service, SERVICE_KEY_PREFIX + name)
        if part.is_error():
            return Error(part.error.reason)
        parts[name] = part.ok.value.decode("utf-8", "replace")
    table = join_table(manifest.ok, parts)
    if table.is_error():
        return Error("; ".join(str(problem) for problem in table.error))
    return Ok((value.ok.change_index, table.ok))


async def watch_table(
    service: Endpoint,
    inbox: trio.MemorySendChannel[Event],
    metrics: Metrics,
    source: random.Random,
) -> None:
    """Send each new table to the inbox."""
    index = 0
    known_reason = ""
    backoff = Backoff(source)
    while True:
        result = await read_table(service, index)
        if result.is_error():
            metrics.count("platform_errors_total", "table")
            if result.error != known_reason:
                known_reason = result.error
                log.warning("table_not_read", reason=known_reason, peer=str(service))
            await backoff.failed()
            continue
        known_reason = ""
        backoff.succeeded()
        found_index, table = result.ok
        if found_index != index:
            index = found_index
            await inbox.send(TableChanged(table))


async def watch_instances(
    service: Endpoint,
    inbox: trio.MemorySendChannel[Event],
    metrics: Metrics,
    source: random.Random,
) -> None:
    """Send each new list of instances to the inbox."""
    index = 0
    backoff = Backoff(source)
    while True:
        result = await read_instances(service, index, WATCH_WAIT_MS)
        if result.is_error():
            metrics.count("platform_errors_total", "instances")
            await backoff.failed()
            continue
        backoff.succeeded()
        if result.ok.change_index != index:
            index = result.ok.change_index
            await inbox.send(InstancesChanged(result.ok.instances))
