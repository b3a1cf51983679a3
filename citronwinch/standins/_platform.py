"""A stand-in for the platform's configuration service and list of instances.

It serves the files `table.csv` and `instances.json` of a directory. Each change of
`table.csv` gets the next revision. Tests can make the stand-in stale, slow or
unavailable, and read the number of requests that it received.
"""

from pathlib import Path
from typing import Any, NamedTuple

import orjson
import trio

from citronwinch.configuration_service import split_table
from citronwinch.coordination import Endpoint
from citronwinch.network import HttpRequest, HttpResponse, serve
from citronwinch.operators import parse_table

POLL_INTERVAL_MS = 50
"""The interval at which the directory is checked for changes, in milliseconds."""

MAX_NUMBER_DIGITS = 12
"""The largest number of digits that a number in a query may have."""


class PlatformFaults(NamedTuple):
    """The faults that the platform stand-in simulates."""

    unavailable: bool = False
    """Whether every read fails with status 503."""

    frozen: bool = False
    """Whether changes of the files are ignored, so that reads return an old state."""

    delay_ms: int = 0
    """The delay of each read, in milliseconds."""


class PlatformStandin:
    """Stores keys and the list of instances, and answers reads and watches."""

    def __init__(self) -> None:
        self.index = 0
        """The change index: the number of changes of keys and the list of instances."""
        self.revision = 0
        """The revision of the published table, 0 if there is none."""
        self.values: dict[str, tuple[int, str]] = {}
        """The change index of the last change and the value of each key."""
        self.instances: tuple[int, list[dict[str, Any]]] = (0, [])
        """The change index of the last change and the list of instances."""
        self.faults = PlatformFaults()
        self.reads = 0
        """The number of requests received, including those that failed."""
        self.changed = trio.Event()

    def publish_table(self, text: str) -> list[str]:
        """Publish CSV text as the next revision; return its problems if invalid."""
        parsed = parse_table(text, self.revision + 1)
        if parsed.is_error():
            return [str(problem) for problem in parsed.error]
        self.revision += 1
        for key, value in split_table(parsed.ok).items():
            self.publish_key(key, value)
        return []

    def publish_key(self, key: str, value: str) -> None:
        """Set the value of a key, as an operator's pipeline does."""
        if self.values.get(key, (0, None))[1] != value:
            self.index += 1
            self.values[key] = (self.index, value)
            self.notify()

    def publish_instances(self, instances: list[dict[str, Any]]) -> None:
        """Replace the list of instances."""
        self.index += 1
        self.instances = (self.index, instances)
        self.notify()

    def notify(self) -> None:
        """Wake all waiting watches."""
        self.changed.set()
        self.changed = trio.Event()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer a read or a watch."""
        self.reads += 1
        await trio.sleep(self.faults.delay_ms / 1000)
        if self.faults.unavailable:
            return HttpResponse(503, b'{"error":"unavailable"}')
        try:
            after = read_number(request, "after")
            wait_ms = read_number(request, "wait_ms")
        except ValueError:
            return HttpResponse(400, b'{"error":"expected whole numbers"}')
        with trio.move_on_after(wait_ms / 1000):
            while self.read_index(request.path) <= after:
                await self.changed.wait()
        if request.path == "/v1/instances":
            index, members = self.instances
            return reply_json({"index": index, "instances": members})
        if request.path == "/v1/reads":
            return reply_json({"reads": self.reads})
        key = request.path.removeprefix("/v1/keys/")
        if key not in self.values:
            return HttpResponse(404, b'{"error":"no such key"}')
        index, value = self.values[key]
        return reply_json({"index": index, "value": value})

    def read_index(self, path: str) -> int:
        """Return the change index of a path's last change, 0 if there is none."""
        if path == "/v1/instances":
            return self.instances[0]
        return self.values.get(path.removeprefix("/v1/keys/"), (0, ""))[0]

    async def poll_directory(self, directory: Path) -> None:
        """Publish the files of a directory whenever they change, until cancelled."""
        published: dict[str, bytes] = {}
        while True:
            for name in ("table.csv", "instances.json"):
                path = directory / name
                data = path.read_bytes() if path.exists() else b""
                if data and published.get(name) != data and not self.faults.frozen:
                    published[name] = data
                    self.publish_file(name, data)
            await trio.sleep(POLL_INTERVAL_MS / 1000)

    def publish_file(self, name: str, data: bytes) -> None:
        """Publish the content of a file."""
        if name == "table.csv":
            self.publish_table(data.decode())
        else:
            self.publish_instances(orjson.loads(data))


def read_number(request: HttpRequest, name: str) -> int:
    """Return a number from the query, 0 if it is absent.

    Raises ValueError if the value is not a decimal number or has too many digits.
    """
    text = request.query.get(name, "0")
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_NUMBER_DIGITS):
        raise ValueError(f"{name} is not a number: {text!r}")
    return int(text)


def reply_json(body: object) -> HttpResponse:
    """Return a response with status 200 and a JSON body."""
    return HttpResponse(200, orjson.dumps(body))


async def run_platform(listen: Endpoint, directory: Path) -> None:
    """Serve the files of a directory until cancelled."""
    standin = PlatformStandin()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(standin.poll_directory, directory)
        nursery.start_soon(serve, listen, standin.handle)
