"""Read-only client of the platform: configuration service and list of instances."""

from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

import orjson
from expression import Error, Ok, Result

from citronwinch.coordination import Endpoint, Instance, InstanceRole, InstanceState
from citronwinch.network import HttpError, fetch

READ_TIMEOUT_MS = 2_000
"""How long one read may take, in milliseconds."""

MANIFEST_KEY = "table/manifest"
"""The key that names the table's revision and its services."""


MALFORMED_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)
"""What reading an answer of another shape raises."""


class PlatformError(NamedTuple):
    """A read that failed; nothing is known to have changed."""

    step: str
    """What was being read."""

    peer: Endpoint
    """The service that was asked."""

    reason: str
    """Why it failed."""


class KeyValue(NamedTuple):
    """A value of the configuration service."""

    change_index: int
    """The service's change counter when the value was last written."""

    value: bytes
    """The value."""


class InstanceList(NamedTuple):
    """The list of instances as the platform gave it."""

    change_index: int
    """The list's change counter."""

    instances: tuple[Instance, ...]
    """The instances."""


async def read_key(
    service: Endpoint, key: str, after_index: int = 0, wait_ms: int = 0
) -> Result[KeyValue, PlatformError]:
    """Read a key; with `wait_ms`, wait for an index above `after_index` first."""
    target = f"/v1/keys/{quote(key)}" + _watch_query(after_index, wait_ms)
    step = f"read {key}"
    answer = await _read_json(service, step, target, wait_ms)
    if answer.is_error():
        return Error(answer.error)
    try:
        body = answer.ok
        return Ok(KeyValue(int(body["index"]), str(body["value"]).encode()))
    except MALFORMED_ERRORS as error:
        return Error(PlatformError(step, service, f"malformed answer: {error!r}"))


async def read_instances(
    service: Endpoint, after_index: int = 0, wait_ms: int = 0
) -> Result[InstanceList, PlatformError]:
    """Read the list of instances; with `wait_ms`, wait for a newer one first."""
    target = "/v1/instances" + _watch_query(after_index, wait_ms)
    step = "read instances"
    answer = await _read_json(service, step, target, wait_ms)
    if answer.is_error():
        return Error(answer.error)
    try:
        body = answer.ok
        members = tuple(parse_instance(item) for item in body["instances"])
        return Ok(InstanceList(int(body["index"]), members))
    except MALFORMED_ERRORS as error:
        return Error(PlatformError(step, service, f"malformed answer: {error!r}"))


def parse_instance(item: dict[str, Any]) -> Instance:
    """Return an instance of the platform's JSON form; raise ValueError or KeyError."""
    return Instance(
        name=str(item["name"]),
        role=InstanceRole(item["role"]),
        availability_zone=str(item["availability_zone"]),
        address=Endpoint.parse(item["address"]),
        state=InstanceState(item.get("state", "live")),
        region=str(item.get("region", "")),
    )


def format_instance(instance: Instance) -> dict[str, str]:
    """Return the platform's JSON form of an instance."""
    return {
        "name": instance.name,
        "role": instance.role.value,
        "availability_zone": instance.availability_zone,
        "address": str(instance.address),
        "state": instance.state.value,
        "region": instance.region,
    }


def _watch_query(after_index: int, wait_ms: int) -> str:
    if not wait_ms:
        return ""
    return "?" + urlencode({"after": after_index, "wait_ms": wait_ms})


async def _read_json(
    service: Endpoint, step: str, target: str, wait_ms: int
) -> Result[Any, PlatformError]:
    try:
        response = await fetch(service, target, READ_TIMEOUT_MS + wait_ms)
    except HttpError as error:
        return Error(PlatformError(step, service, error.reason))
    if response.status != 200:
        return Error(PlatformError(step, service, f"status {response.status}"))
    try:
        return Ok(orjson.loads(response.body))
    except orjson.JSONDecodeError as error:
        return Error(PlatformError(step, service, f"malformed answer: {error}"))
