"""Read-only client of the platform's metadata store."""

import base64
from typing import Any, NamedTuple
from urllib.parse import urlencode

import orjson
from expression import Error, Ok, Result

from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import (
    BackendServer,
    Configuration,
    ServerListing,
    StorePosition,
    ZoneEvacuation,
)
from citronwinch.network import HttpError, fetch
from citronwinch.platform._entries import decode_configuration, decode_server
from citronwinch.platform._evacuation_keys import decode_evacuations
from citronwinch.platform._revisions import parse_era, parse_revision

CONFIGURATION_KEY = "op/config"
"""The key that holds the operators' configuration."""

OPERATORS_PREFIX = "op/"
"""Prefix of all keys that the operators write."""

SERVERS_PREFIX = "servers/"
"""Prefix of the keys under which backend servers register themselves."""

READ_TIMEOUT_MS = 800
"""Timeout of a read: three times the response time of a slow store."""

ERA_HEADER = "store-era"
"""The header in all answers that counts how often the store came back from a copy."""

LOST_HISTORY_STATUS = 410
"""HTTP status of a watch from a revision of which the store has no history."""

TEMPORARY_STATUSES = (429, 503)
"""HTTP statuses of rejected calls that may succeed when they are retried."""

MAX_REASON_LENGTH = 200
"""The most characters of the reason why an entry is ignored; the reason quotes the
entry, which may be as long as the store allows."""

WATCH_MARGIN_MS = 500
"""Added to the wait time of a watch to give the timeout of its HTTP request."""


class StoreError(NamedTuple):
    """A call that failed and returned no data."""

    step: str
    """The operation that failed, such as `GET /kv-range`; a label in the metrics."""

    peer: Endpoint
    """The address of the store."""

    reason: str
    """Why the operation failed."""

    is_temporary: bool = False
    """Whether a retry may succeed: the store did not answer or rejected the call with
    one of `TEMPORARY_STATUSES`."""

    is_history_lost: bool = False
    """Whether the store has no history from the revision of a watch."""


class ListingRead(NamedTuple):
    """The registered backend servers, and the entries that could not be decoded."""

    listing: ServerListing
    """The backend servers with valid entries."""

    rejected: tuple[str, ...]
    """One text for each entry that was ignored: backend server's name and error."""


class ConfigurationRead(NamedTuple):
    """The result of a read or a watch of what the operators have written."""

    position: StorePosition
    """The store's position at the read, after which the next watch continues."""

    configurations: tuple[Configuration, ...]
    """The configuration in a read, all versions since the position in a watch, in
    order; empty if it has not changed, its key does not exist or a value could not be
    decoded."""

    evacuations: tuple[ZoneEvacuation, ...] = ()
    """All requested evacuations in a read, the changed ones in a watch."""

    configuration_error: StoreError | None = None
    """Why the configuration could not be decoded. The evacuations are valid all the
    same."""

    @property
    def configuration(self) -> Configuration | None:
        """The newest of the configurations, None without one."""
        return self.configurations[-1] if self.configurations else None


class StoreAnswer(NamedTuple):
    """The decoded body of a successful call."""

    body: Any
    """The decoded JSON."""

    era: int
    """The era of the store that answered, 0 from a store without eras."""


class RangeRead(NamedTuple):
    """All items under a prefix."""

    position: StorePosition
    """The store's position at the read of the first page."""

    items: list[Any]
    """The items as the store sent them, ordered by key."""


class StoreClient:
    """The calls that a balancer makes to the store.

    `calls` counts failed calls too, since the platform charges for every call. `era` is
    the highest era that any answer had, refusals included.
    """

    def __init__(self, address: Endpoint) -> None:
        self.address = address
        """The address at which the next call reaches the store."""
        self.calls = 0
        self.era = 0

    async def read_servers(self) -> Result[ListingRead, StoreError]:
        """Return all backend servers."""
        answer = await self._read_range("read servers", SERVERS_PREFIX, READ_TIMEOUT_MS)
        return answer.map(lambda items: _decode_listing(items.position, items.items))

    async def _read_range(
        self, step: str, prefix: str, timeout_ms: int
    ) -> Result[RangeRead, StoreError]:
        """Return all items under a prefix, reading page after page until the last."""
        items: list[Any] = []
        after = ""
        position: StorePosition | None = None
        while True:
            query = {"prefix": prefix} | ({"after": after} if after else {})
            answer = await self._get("/kv-range", query, timeout_ms)
            if answer.is_error():
                return Error(answer.error)
            body, era = answer.ok
            try:
                page = body["items"]
                # Keeps the first page's position: the next read shows later changes.
                position = position or StorePosition(era, parse_revision(body["at"]))
                items += page
                if era != position.era:
                    reason = f"era {position.era} became {era} between two pages"
                    return Error(self._make_error(step, reason, is_temporary=True))
                if not body["has_more"]:
                    return Ok(RangeRead(position, items))
                after = str(page[-1]["key"])
            except (KeyError, TypeError, ValueError, IndexError) as error:
                return Error(self._make_error(step, f"malformed answer: {error!r}"))

    async def read_configuration(
        self, transfer_ms: int = 0
    ) -> Result[ConfigurationRead, StoreError]:
        """Return the newest configuration and all requested evacuations.

        `transfer_ms` extends the timeout for the transfer of a large configuration.
        """
        step = "read configuration"
        answer = await self._read_range(
            step, OPERATORS_PREFIX, READ_TIMEOUT_MS + transfer_ms
        )
        if answer.is_error():
            return Error(answer.error)
        return self._decode_operator_items(step, *answer.ok)

    async def watch_configuration(
        self, after_revision: int, wait_ms: int
    ) -> Result[ConfigurationRead, StoreError]:
        """Wait up to `wait_ms` for a change by the operators after a revision."""
        step = "watch configuration"
        query = {
            "prefix": OPERATORS_PREFIX,
            "after": after_revision,
            "wait_ms": wait_ms,
        }
        answer = await self._get("/kv-watch", query, wait_ms + WATCH_MARGIN_MS)
        if answer.is_error():
            return Error(answer.error)
        body, era = answer.ok
        try:
            position = StorePosition(era, parse_revision(body["at"]))
            return self._decode_operator_items(step, position, body["events"])
        except (KeyError, TypeError, ValueError) as error:
            return Error(self._make_error(step, f"malformed answer: {error!r}"))

    def _decode_operator_items(
        self, step: str, position: StorePosition, items: list[Any]
    ) -> Result[ConfigurationRead, StoreError]:
        """Decode the items of a read or the events of a watch."""
        try:
            evacuations = decode_evacuations(items, position)
            found = [
                item
                for item in items
                if item["key"] == CONFIGURATION_KEY and not item.get("deleted")
            ]
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            return Error(self._make_error(step, f"malformed answer: {error!r}"))
        try:
            configurations = tuple(
                decode_configuration(base64.b64decode(item["value"], validate=True))
                for item in found
            )
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            reason = f"malformed answer: {error!r}"
            failure = self._make_error("decode configuration", reason)
            return Ok(ConfigurationRead(position, (), evacuations, failure))
        return Ok(ConfigurationRead(position, configurations, evacuations))

    async def _get(
        self, path: str, query: dict[str, Any], timeout_ms: int
    ) -> Result[StoreAnswer, StoreError]:
        """Send one call and decode its answer."""
        self.calls += 1
        step = f"GET {path}"
        try:
            response = await fetch(
                self.address, f"{path}?{urlencode(query, safe='/')}", timeout_ms
            )
        except HttpError as error:
            return Error(self._make_error(step, error.reason, is_temporary=True))
        era_text = response.headers.get(ERA_HEADER, "0")
        try:
            era = parse_era(era_text)
        except ValueError as error:
            return Error(self._make_error(step, f"{ERA_HEADER}: {error}"))
        self.era = max(self.era, era)
        if response.status != 200:
            refusal = self._make_error(
                step,
                f"status {response.status}",
                is_temporary=response.status in TEMPORARY_STATUSES,
            )
            is_lost = response.status == LOST_HISTORY_STATUS
            return Error(refusal._replace(is_history_lost=is_lost))
        try:
            return Ok(StoreAnswer(orjson.loads(response.body), era))
        except orjson.JSONDecodeError as error:
            return Error(self._make_error(step, f"malformed answer: {error}"))

    def _make_error(
        self, step: str, reason: str, *, is_temporary: bool = False
    ) -> StoreError:
        return StoreError(step, self.address, reason, is_temporary)


def _decode_listing(position: StorePosition, items: list[Any]) -> ListingRead:
    servers: dict[str, BackendServer] = {}
    rejected = []
    for item in items:
        name = "?"
        try:
            name = str(item["key"]).removeprefix(SERVERS_PREFIX)
            value = base64.b64decode(item["value"], validate=True)
            servers[name] = decode_server(name, value)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            rejected.append(f"{name}: {error!r:.{MAX_REASON_LENGTH}}")
    return ListingRead(ServerListing(position, servers), tuple(rejected))
