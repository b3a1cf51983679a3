"""Finding the daemons of a deployment and reading their endpoints."""

import argparse
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import orjson
import trio
from expression import Error, Ok, Result

from citronwinch.configuration_service import (
    MANIFEST_KEY,
    SERVICE_KEY_PREFIX,
    join_table,
    parse_manifest,
    read_key,
)
from citronwinch.coordination import Endpoint, Table
from citronwinch.network import HttpError, fetch
from citronwinch.operators import Objective, Settings, parse_settings
from citronwinch.tool._output import Progress

READ_TIMEOUT_MS = 3_000
"""How long a daemon may take to answer, in milliseconds."""

PARALLEL_READS = 32
"""How many daemons are read at the same time."""


class ToolError(Exception):
    """A command that cannot go on; its text is for the operator."""


class DaemonAddress(NamedTuple):
    """A daemon and where it serves HTTP."""

    name: str
    """The instance's name, or its address when the name is not known."""

    role: str
    """The instance's role, empty when it is not known."""

    address: Endpoint
    """Where it serves metrics and status."""


class DaemonAnswer(NamedTuple):
    """What one daemon answered."""

    daemon: DaemonAddress
    """The daemon."""

    body: Any
    """The JSON body, None without an answer."""

    error: str
    """Why there is no answer, empty when there is one."""


class Deployment(NamedTuple):
    """What the command line says about where to look."""

    platform: Endpoint | None
    """The platform's list of instances."""

    configuration: Endpoint | None
    """The platform's configuration service."""

    http_port: int
    """The HTTP port of instances whose list entry does not name one, 0: none."""

    daemons: tuple[Endpoint, ...]
    """Daemons that were named one by one."""

    objectives: tuple[Objective, ...]
    """The objectives in the settings file."""


def add_deployment_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that say where the daemons are."""
    where = parser.add_argument_group("where to look")
    where.add_argument(
        "--settings",
        type=Path,
        metavar="FILE",
        help="settings of any instance: names the platform and the objectives",
    )
    where.add_argument(
        "--platform",
        type=parse_endpoint,
        metavar="ADDRESS",
        help="the platform's configuration service and list of instances",
    )
    where.add_argument(
        "--daemon",
        type=parse_endpoint,
        action="append",
        default=[],
        metavar="ADDRESS",
        help="HTTP address of one daemon; may be repeated",
    )


def parse_endpoint(text: str) -> Endpoint:
    """Read an address argument."""
    try:
        return Endpoint.parse(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from None


def read_settings(file: Path) -> Settings:
    """Return the settings in a file; raise ToolError with every mistake."""
    try:
        text = file.read_bytes().decode("utf-8-sig")
    except UnicodeDecodeError as error:
        raise ToolError(f"{file}: not UTF-8 text: {error.reason}") from None
    parsed = parse_settings(text, str(file))
    if parsed.is_error():
        raise ToolError("\n".join(str(problem) for problem in parsed.error))
    return parsed.ok


def find_deployment(options: argparse.Namespace) -> Deployment:
    """Return what the arguments say; raise ToolError when they say nothing."""
    platform = configuration = options.platform
    objectives: tuple[Objective, ...] = ()
    http_port = 0
    if options.settings is not None:
        settings = read_settings(options.settings)
        platform = platform or settings.instance_service
        configuration = configuration or settings.configuration_service
        objectives = settings.objectives
        http_port = settings.http_address.port
    if platform is None and not options.daemon:
        raise ToolError("say where to look: --settings, --platform or --daemon")
    return Deployment(
        platform, configuration, http_port, tuple(options.daemon), objectives
    )


async def find_daemons(deployment: Deployment) -> list[DaemonAddress]:
    """Return the daemons of a deployment; raise ToolError when nobody knows."""
    if deployment.daemons:
        return [DaemonAddress(str(found), "", found) for found in deployment.daemons]
    assert deployment.platform is not None
    try:
        response = await fetch(deployment.platform, "/v1/instances", READ_TIMEOUT_MS)
        members = orjson.loads(response.body)["instances"]
        found = [parse_daemon(item, deployment.http_port) for item in members]
    except HttpError as error:
        raise ToolError(f"the list of instances cannot be read: {error}") from None
    except (orjson.JSONDecodeError, KeyError, TypeError, ValueError) as error:
        raise ToolError(f"the list of instances is malformed: {error!r}") from None
    daemons = sorted(daemon for daemon in found if daemon is not None)
    if not daemons:
        raise ToolError(
            f"the list names {len(found)} instances and no HTTP address of a daemon; "
            "give --settings or --daemon"
        )
    return daemons


def parse_daemon(item: dict[str, Any], http_port: int) -> DaemonAddress | None:
    """Return the daemon of an entry in the list, None when its port is unknown."""
    if "http_address" in item:
        address = Endpoint.parse(item["http_address"])
    elif http_port:
        address = Endpoint(Endpoint.parse(item["address"]).ip, http_port)
    else:
        return None
    return DaemonAddress(str(item["name"]), str(item["role"]), address)


async def read_daemon(daemon: DaemonAddress, target: str) -> DaemonAnswer:
    """Read one page of one daemon."""
    try:
        response = await fetch(daemon.address, target, READ_TIMEOUT_MS)
    except HttpError as error:
        return DaemonAnswer(daemon, None, error.reason)
    if response.status != 200:
        return DaemonAnswer(daemon, None, f"status {response.status}")
    try:
        return DaemonAnswer(daemon, orjson.loads(response.body), "")
    except orjson.JSONDecodeError:
        return DaemonAnswer(daemon, None, "malformed answer")


async def read_daemons(
    daemons: Sequence[DaemonAddress], target: str
) -> list[DaemonAnswer]:
    """Read one page of all daemons, a few at a time, in the order given."""
    answers: dict[DaemonAddress, DaemonAnswer] = {}
    limiter = trio.CapacityLimiter(PARALLEL_READS)
    progress = Progress("reading")

    async def read(daemon: DaemonAddress) -> None:
        async with limiter:
            answers[daemon] = await read_daemon(daemon, target)
        progress.update(len(answers), len(daemons), "daemons")

    async with trio.open_nursery() as nursery:
        for daemon in daemons:
            nursery.start_soon(read, daemon)
    progress.finish()
    return [answers[daemon] for daemon in daemons]


async def read_platform_table(service: Endpoint) -> Result[Table, str]:
    """Return the table that the configuration service holds."""
    value = await read_key(service, MANIFEST_KEY)
    if value.is_error():
        return Error(f"{value.error.step} {service}: {value.error.reason}")
    manifest = parse_manifest(value.ok.value)
    if manifest.is_error():
        return Error(f"table manifest: {manifest.error}")
    parts: dict[str, str] = {}
    for name in manifest.ok.digests:
        part = await read_key(service, SERVICE_KEY_PREFIX + name)
        if part.is_error():
            return Error(f"{part.error.step} {service}: {part.error.reason}")
        parts[name] = part.ok.value.decode("utf-8", "replace")
    table = join_table(manifest.ok, parts)
    if table.is_error():
        return Error("\n".join(str(problem) for problem in table.error))
    return Ok(table.ok)
