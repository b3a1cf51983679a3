"""Finding the daemons of a deployment and reading from their HTTP endpoints."""

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
"""Time limit for the answer of a daemon, in milliseconds."""

PARALLEL_READS = 32
"""Maximum number of concurrent requests to daemons."""


class ToolError(Exception):
    """An error that ends the command; its message is printed for the operator."""


class DaemonAddress(NamedTuple):
    """A daemon with its HTTP address."""

    name: str
    """The instance's name, or its address if the name is unknown."""

    role: str
    """The instance's role, empty if unknown."""

    address: Endpoint
    """The address that serves metrics and status."""


class DaemonAnswer(NamedTuple):
    """The answer of one daemon."""

    daemon: DaemonAddress
    """The daemon that was read."""

    body: Any
    """The decoded JSON body, None without an answer."""

    error: str
    """The reason for a missing answer, empty if there is an answer."""


class Deployment(NamedTuple):
    """The addresses and objectives that the command line names."""

    instance_service: Endpoint | None
    """Address of the platform's list of instances."""

    configuration_service: Endpoint | None
    """Address of the platform's configuration service."""

    http_port: int
    """HTTP port of instances whose list entry has none; 0 if unknown."""

    daemons: tuple[Endpoint, ...]
    """HTTP addresses of the daemons that the command line names."""

    objectives: tuple[Objective, ...]
    """The service-level objectives in the settings file."""


def add_deployment_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments from which the daemons are found."""
    group = parser.add_argument_group("where to look")
    group.add_argument(
        "--settings",
        type=Path,
        metavar="FILE",
        help="settings of any instance: names the platform and the objectives",
    )
    group.add_argument(
        "--platform",
        type=parse_endpoint,
        metavar="ADDRESS",
        help="the platform's configuration service and list of instances",
    )
    group.add_argument(
        "--daemon",
        type=parse_endpoint,
        action="append",
        default=[],
        metavar="ADDRESS",
        help="HTTP address of one daemon; may be repeated",
    )


def parse_endpoint(text: str) -> Endpoint:
    """Parse an address argument."""
    try:
        return Endpoint.parse(text)
    except ValueError as error:
        raise argparse.ArgumentTypeError(str(error)) from None


def read_settings(file: Path) -> Settings:
    """Read settings from a file; raise ToolError with every problem."""
    try:
        text = file.read_bytes().decode("utf-8-sig")
    except UnicodeDecodeError as error:
        raise ToolError(f"{file}: not UTF-8 text: {error.reason}") from None
    parsed = parse_settings(text, str(file))
    if parsed.is_error():
        raise ToolError("\n".join(str(problem) for problem in parsed.error))
    return parsed.ok


def find_deployment(options: argparse.Namespace) -> Deployment:
    """Return the deployment of the arguments; raise ToolError if they name none."""
    instances_address = configuration_address = options.platform
    objectives: tuple[Objective, ...] = ()
    http_port = 0
    if options.settings is not None:
        settings = read_settings(options.settings)
        instances_address = instances_address or settings.instance_service
        configuration_address = configuration_address or settings.configuration_service
        objectives = settings.objectives
        http_port = settings.http_address.port
    if instances_address is None and not options.daemon:
        raise ToolError("say where to look: --settings, --platform or --daemon")
    return Deployment(
        instances_address,
        configuration_address,
        http_port,
        tuple(options.daemon),
        objectives,
    )


async def find_daemons(deployment: Deployment) -> list[DaemonAddress]:
    """Return the daemons of a deployment; raise ToolError if none can be found."""
    if deployment.daemons:
        return [DaemonAddress(str(found), "", found) for found in deployment.daemons]
    assert deployment.instance_service is not None
    try:
        response = await fetch(
            deployment.instance_service, "/v1/instances", READ_TIMEOUT_MS
        )
        entries = orjson.loads(response.body)["instances"]
        found = [parse_daemon(item, deployment.http_port) for item in entries]
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
    """Return the daemon of an entry in the list, None if its port is unknown."""
    if "http_address" in item:
        address = Endpoint.parse(item["http_address"])
    elif http_port:
        address = Endpoint(Endpoint.parse(item["address"]).ip, http_port)
    else:
        return None
    return DaemonAddress(str(item["name"]), str(item["role"]), address)


async def read_daemon(daemon: DaemonAddress, target: str) -> DaemonAnswer:
    """Read the given HTTP target of one daemon."""
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
    """Read the given HTTP target of all daemons; return answers in the same order."""
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
    """Read the table from the configuration service, or describe the error."""
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
