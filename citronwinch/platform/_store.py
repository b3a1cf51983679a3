"""Read-only client of the platform's metadata store."""

import base64
from typing import Any, NamedTuple
from urllib.parse import urlencode

import orjson

from citronwinch._results import Error, Ok, Result
from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import (
    BackendServer,
    Configuration,
    ServerListing,
    StorePosition,
)
from citronwinch.network import HttpError, fetch
from citronwinch.platform._entries import decode_configuration, decode_server

CONFIGURATION_KEY = "op/config"
"""The key that holds the operators' configuration."""

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

WATCH_MARGIN_MS = 500
"""Added to the wait time of a watch to give the timeout of its HTTP request."""


class StoreError(NamedTuple):
    """A call that failed and returned no data."""

    step: str
    """The operation that failed, such as `GET /kv-key`; a label in the metrics."""

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
    """The result of a read or a watch of the configuration."""

    position: StorePosition
    """The store's position at the read, after which the next watch continues; with
    revision 0 when the configuration's key does not exist."""

    configuration: Configuration | None
    """The configuration; None when it has not changed or its key does not exist."""


class StoreAnswer(NamedTuple):
    """The decoded body of a successful call."""

    body: Any
    """The decoded JSON, None for a key that does not exist."""

    era: int
    """The era of the store that answered, 0 from a store without eras."""


class StoreClient:
    """The calls that a balancer makes to the store.

    `calls` counts failed calls too, since the platform charges for every call. `era` is
    the highest era that any answer had, refusals included.
    """

    def __init__(self, store: Endpoint) -> None:
        self.store = store
        self.calls = 0
        self.era = 0

    async def read_servers(self) -> Result[ListingRead, StoreError]:
        """Return all backend servers, reading page after page until the last."""
        items: list[Any] = []
        after = ""
        position: StorePosition | None = None
        while True:
            query = {"prefix": SERVERS_PREFIX} | ({"after": after} if after else {})
            answer = await self._get("/kv-range", query, READ_TIMEOUT_MS)
            if answer.is_error():
                return Error(answer.error)
            body, era = answer.ok
            try:
                page = body["items"]
                # Keeps the first page's position: the next read shows later changes.
                position = position or StorePosition(era, int(body["at"]))
                items += page
                if era != position.era:
                    reason = f"era {position.era} became {era} between two pages"
                    return Error(
                        self._make_error("read servers", reason, is_temporary=True)
                    )
                if not body["has_more"]:
                    return Ok(_decode_listing(position, items))
                after = str(page[-1]["key"])
            except (KeyError, TypeError, ValueError, IndexError) as error:
                return Error(
                    self._make_error("read servers", f"malformed answer: {error!r}")
                )

    async def read_configuration(
        self, transfer_ms: int = 0
    ) -> Result[ConfigurationRead, StoreError]:
        """Return the newest configuration.

        `transfer_ms` extends the timeout for the transfer of a large configuration.
        """
        query = {"key": CONFIGURATION_KEY}
        answer = await self._get("/kv-key", query, READ_TIMEOUT_MS + transfer_ms)
        if answer.is_error():
            return Error(answer.error)
        body, era = answer.ok
        if body is None:
            return Ok(ConfigurationRead(StorePosition(era, 0), None))
        return self._decode_configuration_item(answer.ok, body)

    async def watch_configuration(
        self, after_revision: int, wait_ms: int
    ) -> Result[ConfigurationRead, StoreError]:
        """Wait up to `wait_ms` for a change of the configuration after a revision."""
        query = {
            "prefix": CONFIGURATION_KEY,
            "after": after_revision,
            "wait_ms": wait_ms,
        }
        answer = await self._get("/kv-watch", query, wait_ms + WATCH_MARGIN_MS)
        if answer.is_error():
            return Error(answer.error)
        body, era = answer.ok
        try:
            events = [
                event
                for event in body["events"]
                if event["key"] == CONFIGURATION_KEY and not event.get("deleted")
            ]
            if not events:
                position = StorePosition(era, int(body["at"]))
                return Ok(ConfigurationRead(position, None))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            return Error(
                self._make_error("watch configuration", f"malformed answer: {error!r}")
            )
        return self._decode_configuration_item(answer.ok, events[-1])

    def _decode_configuration_item(
        self, answer: StoreAnswer, item: Any
    ) -> Result[ConfigurationRead, StoreError]:
        # `item` contains the configuration, and the store's `answer` its revision. A
        # read returns the item as the answer itself; a watch returns a list of items.
        try:
            value = base64.b64decode(item["value"], validate=True)
            configuration = decode_configuration(value)
            position = StorePosition(answer.era, int(answer.body["at"]))
            return Ok(ConfigurationRead(position, configuration))
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            return Error(
                self._make_error("decode configuration", f"malformed answer: {error!r}")
            )

    async def _get(
        self, path: str, query: dict[str, Any], timeout_ms: int
    ) -> Result[StoreAnswer, StoreError]:
        """Send one call and decode its answer."""
        self.calls += 1
        step = f"GET {path}"
        try:
            response = await fetch(
                self.store, f"{path}?{urlencode(query, safe='/')}", timeout_ms
            )
        except HttpError as error:
            return Error(self._make_error(step, error.reason, is_temporary=True))
        era_text = response.headers.get(ERA_HEADER, "0")
        if not era_text.isdecimal():
            reason = f"{ERA_HEADER}: expected a whole number, found {era_text!r:.40}"
            return Error(self._make_error(step, reason))
        era = int(era_text)
        self.era = max(self.era, era)
        if response.status == 404 and path == "/kv-key":
            return Ok(StoreAnswer(None, era))
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
        return StoreError(step, self.store, reason, is_temporary)


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
            rejected.append(f"{name}: {error!r}")
    return ListingRead(ServerListing(position, servers), tuple(rejected))
