"""Read-only client of the configuration service and of the list of instances."""

from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

import orjson
from expression import Error, Ok, Result

from citronwinch.coordination import Endpoint, Instance, InstanceRole, InstanceState
from citronwinch.network import HttpError, fetch

READ_TIMEOUT_MS = 2_000
"""Timeout of a read in milliseconds; a watch adds its wait time."""

MANIFEST_KEY = "table/manifest"
"""The key that holds the table's revision and the digests of its services."""

MALFORMED_ERRORS = (
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)
"""The exceptions that decoding a malformed response raises."""


class PlatformError(NamedTuple):
    """A read that failed and returned no data."""

    step: str
    """The read that failed, such as `read table/manifest`."""

    peer: Endpoint
    """The address of the service that was read: for a key or for the instances."""

    reason: str
    """Why the read failed."""


class KeyValue(NamedTuple):
    """The value of a key in the configuration service."""

    change_index: int
    """The configuration service's change counter when the value was last written."""

    value: bytes
    """The value, encoded as UTF-8."""


class InstanceList(NamedTuple):
    """The platform's list of instances."""

    change_index: int
    """The configuration service's change counter when the list was last written."""

    instances: tuple[Instance, ...]
    """All agents and balancers in the list."""


async def read_key(
    service: Endpoint, key: str, after_change_index: int = 0, wait_ms: int = 0
) -> Result[KeyValue, PlatformError]:
    """Read a key from the configuration service.

    `service` is the endpoint of the service. With `wait_ms`, the service delays its
    response until the change index exceeds `after_change_index`, or until `wait_ms`
    have passed.
    """
    target = f"/v1/keys/{quote(key)}" + _watch_query(after_change_index, wait_ms)
    step = f"read {key}"
    response_json = await _read_json(service, step, target, wait_ms)
    if response_json.is_error():
        return Error(response_json.error)
    try:
        body = response_json.ok
        return Ok(KeyValue(int(body["index"]), str(body["value"]).encode()))
    except MALFORMED_ERRORS as error:
        return Error(PlatformError(step, service, f"malformed answer: {error!r}"))


async def read_instances(
    service: Endpoint, after_change_index: int = 0, wait_ms: int = 0
) -> Result[InstanceList, PlatformError]:
    """Read the list of instances from the configuration service.

    `service` is the endpoint of the service. With `wait_ms`, the service delays its
    response until the change index exceeds `after_change_index`, or until `wait_ms`
    have passed.
    """
    target = "/v1/instances" + _watch_query(after_change_index, wait_ms)
    step = "read instances"
    response_json = await _read_json(service, step, target, wait_ms)
    if response_json.is_error():
        return Error(response_json.error)
    try:
        body = response_json.ok
        instances = tuple(parse_instance(item) for item in body["instances"])
        return Ok(InstanceList(int(body["index"]), instances))
    except MALFORMED_ERRORS as error:
        return Error(PlatformError(step, service, f"malformed answer: {error!r}"))


def parse_instance(item: dict[str, Any]) -> Instance:
    """Decode an instance from the platform's JSON form.

    Raise one of `MALFORMED_ERRORS` when it is malformed.
    """
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


def _watch_query(after_change_index: int, wait_ms: int) -> str:
    if not wait_ms:
        return ""
    return "?" + urlencode({"after": after_change_index, "wait_ms": wait_ms})


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
