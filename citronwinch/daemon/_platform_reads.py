"""Tasks that read from the platform on request of the deciding task."""

from typing import NamedTuple

import trio
from expression import Result

from citronwinch.configuration_service import (
    InstanceList,
    KeyRequest,
    KeyValue,
    ListRequest,
    TableReader,
    read_instances,
    read_key,
)
from citronwinch.coordination import Endpoint
from citronwinch.daemon._events import Event, KeyWasRead, ListWasRead, TableWasJoined

REQUEST_LIMIT = 4
"""The maximum number of queued reads; the deciding task has one in flight."""


class JoinTable(NamedTuple):
    """A request to assemble the table, in a worker thread, after all keys were read."""

    reader: TableReader
    """The reader of the table's keys; the deciding task does not use it meanwhile."""


async def read_table_keys(
    service: Endpoint,
    requests: trio.MemoryReceiveChannel[KeyRequest | JoinTable],
    inbox: trio.MemorySendChannel[Event],
) -> None:
    """Read keys and assemble tables, one request at a time."""
    async for request in requests:
        if isinstance(request, JoinTable):
            joined = await trio.to_thread.run_sync(request.reader.finish)
            await inbox.send(TableWasJoined(joined))
            continue
        value = await read_key(
            service, request.key, request.after_change_index, request.wait_ms
        )
        result: Result[KeyValue, str] = value.map_error(
            lambda error: f"{error.step}: {error.reason}"
        )
        await inbox.send(KeyWasRead(request, result))


async def read_instance_lists(
    service: Endpoint,
    requests: trio.MemoryReceiveChannel[ListRequest],
    inbox: trio.MemorySendChannel[Event],
) -> None:
    """Read the list of instances on each request."""
    async for request in requests:
        found = await read_instances(
            service, request.after_change_index, request.wait_ms
        )
        result: Result[InstanceList, str] = found.map_error(
            lambda error: f"{error.step}: {error.reason}"
        )
        await inbox.send(ListWasRead(result))
