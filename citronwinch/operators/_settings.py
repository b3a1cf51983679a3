"""Settings of a daemon: INI, checked whole before anything opens."""

import configparser
from collections.abc import Callable
from typing import Any, NamedTuple

from expression import Error, Ok, Result

from citronwinch.coordination import Endpoint, InstanceRole

KEY_HEX_DIGITS = 64
"""Length of a shared key in hexadecimal digits."""


class SettingsProblem(NamedTuple):
    """One mistake in a settings file."""

    file: str
    """The file as it was named."""

    line: int
    """The line, 0 when something is missing."""

    place: str
    """Section and key."""

    found: str
    """What stands there."""

    expected: str
    """What should stand there."""

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.place}: found {self.found!r}, expected {self.expected}"


class Settings(NamedTuple):
    """The checked settings of one daemon."""

    name: str
    """The instance's name; an agent carries the name of its backend server."""

    role: InstanceRole
    """What the process does."""

    availability_zone: str
    """Where the process runs."""

    region: str
    """The region of the availability zone."""

    peer_address: Endpoint
    """Where messages of the system's own processes arrive."""

    http_address: Endpoint
    """Where metrics, health and status are served."""

    configuration_service: Endpoint
    """The platform's configuration service."""

    instance_service: Endpoint
    """The platform's list of instances."""

    expected_instances: int
    """How many instances may start at once; spaces the first reads of the platform."""

    fabric_address: Endpoint | None
    """Where the fabric hands packets to a balancer; None for an agent."""

    fabric_return: tuple[Endpoint, ...]
    """Where the fabric takes packets for callers."""

    key: bytes
    """The key that signs messages between the system's processes."""

    previous_key: bytes | None
    """A second key that is accepted while keys are rotated."""

    flow_idle_ms: int
    """How long a flow without packets is kept."""

    flow_cache_limit: int
    """The most owners that a balancer remembers."""

    stop_timeout_ms: int
    """How long a graceful shutdown may take."""

    log_format: str
    """`json` or `console`."""


class _ValueError(Exception):
    pass


def _text(value: str) -> str:
    if not value:
        raise _ValueError("a name")
    return value


def _role(value: str) -> InstanceRole:
    try:
        return InstanceRole(value)
    except ValueError:
        raise _ValueError("balancer or agent") from None


def _endpoint(value: str) -> Endpoint:
    try:
        return Endpoint.parse(value)
    except ValueError as error:
        raise _ValueError(f"an address such as 192.0.2.1:80 ({error})") from None


def _endpoints(value: str) -> tuple[Endpoint, ...]:
    return tuple(_endpoint(part) for part in value.split(",") if part.strip())


def _key(value: str) -> bytes:
    try:
        key = bytes.fromhex(value)
    except ValueError:
        key = b""
    if len(key) * 2 != KEY_HEX_DIGITS:
        raise _ValueError(f"{KEY_HEX_DIGITS} hexadecimal digits")
    return key


def _number(low: int, high: int, unit: str) -> Callable[[str], int]:
    def parse(value: str) -> int:
        digits = value.isascii() and value.isdigit() and len(value) <= 12
        if not digits or not low <= int(value) <= high:
            raise _ValueError(f"a whole number of {unit} from {low} to {high}")
        return int(value)

    return parse


def _log_format(value: str) -> str:
    if value not in ("json", "console"):
        raise _ValueError("json or console")
    return value


class SettingSpec(NamedTuple):
    """How one setting is read."""

    section: str
    """Its section."""

    key: str
    """Its key."""

    field: str
    """The attribute of `Settings` that it fills."""

    parse: Callable[[str], Any]
    """Reads the value, or raises with what was expected."""

    default: Any = ...
    """The value when it is absent; an ellipsis when it must be given."""


SETTING_SPECS = (
    SettingSpec("instance", "name", "name", _text),
    SettingSpec("instance", "role", "role", _role),
    SettingSpec("instance", "availability_zone", "availability_zone", _text),
    SettingSpec("instance", "region", "region", _text, ""),
    SettingSpec("listen", "peers", "peer_address", _endpoint),
    SettingSpec("listen", "http", "http_address", _endpoint),
    SettingSpec("listen", "fabric", "fabric_address", _endpoint, None),
    SettingSpec("platform", "configuration", "configuration_service", _endpoint),
    SettingSpec("platform", "instances", "instance_service", _endpoint),
    SettingSpec(
        "platform",
        "expected_instances",
        "expected_instances",
        _number(1, 1_000_000, "instances"),
        100,
    ),
    SettingSpec("fabric", "return", "fabric_return", _endpoints),
    SettingSpec("keys", "current", "key", _key),
    SettingSpec("keys", "previous", "previous_key", _key, None),
    SettingSpec(
        "flows",
        "idle_ms",
        "flow_idle_ms",
        _number(1_000, 86_400_000, "milliseconds"),
        300_000,
    ),
    SettingSpec(
        "flows",
        "cache_limit",
        "flow_cache_limit",
        _number(1, 10_000_000, "flows"),
        300_000,
    ),
    SettingSpec(
        "stop",
        "timeout_ms",
        "stop_timeout_ms",
        _number(0, 86_400_000, "milliseconds"),
        30_000,
    ),
    SettingSpec("log", "format", "log_format", _log_format, "json"),
)
"""Every setting there is."""


def parse_settings(text: str, file: str) -> Result[Settings, list[SettingsProblem]]:
    """Return the settings in INI text, or every mistake in it."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    parser.optionxform = str  # type: ignore[assignment,method-assign]
    try:
        parser.read_string(text, source=file)
    except configparser.Error as error:
        line = int(getattr(error, "lineno", 0) or 0)
        reason = str(error).splitlines()[0]
        return Error([SettingsProblem(file, line, "file", reason, "well-formed INI")])
    lines = _find_lines(text)
    problems = _find_unknown(parser, file, lines)
    values: dict[str, Any] = {}
    for spec in SETTING_SPECS:
        place = f"[{spec.section}] {spec.key}"
        raw = parser.get(spec.section, spec.key, fallback=None)
        if raw is None:
            if spec.default is ...:
                problems.append(SettingsProblem(file, 0, place, "nothing", "a value"))
            values[spec.field] = spec.default
            continue
        try:
            values[spec.field] = spec.parse(raw.strip())
        except _ValueError as error:
            line = lines.get((spec.section, spec.key), 0)
            shown = "(hidden)" if spec.section == "keys" else raw
            problems.append(SettingsProblem(file, line, place, shown, str(error)))
    if not problems:
        problems = _find_role_problems(values, file)
    if problems:
        return Error(sorted(problems, key=lambda problem: problem.line))
    return Ok(Settings(**values))


def _find_role_problems(values: dict[str, Any], file: str) -> list[SettingsProblem]:
    is_balancer = values["role"] is InstanceRole.BALANCER
    if is_balancer == (values["fabric_address"] is not None):
        return []
    found, expected = (
        ("nothing", "the address where the fabric hands packets over")
        if is_balancer
        else (str(values["fabric_address"]), "nothing: an agent takes no packets there")
    )
    return [SettingsProblem(file, 0, "[listen] fabric", found, expected)]


def _find_unknown(
    parser: configparser.ConfigParser, file: str, lines: dict[tuple[str, str], int]
) -> list[SettingsProblem]:
    known: dict[str, list[str]] = {}
    for spec in SETTING_SPECS:
        known.setdefault(spec.section, []).append(spec.key)
    problems = []
    for section in parser.sections():
        if section not in known:
            line = lines.get((section, ""), 0)
            expected = f"one of {', '.join(known)}"
            problems.append(SettingsProblem(file, line, "section", section, expected))
            continue
        for key in parser[section]:
            if key not in known[section]:
                line = lines.get((section, key), 0)
                expected = f"one of {', '.join(known[section])}"
                place = f"[{section}] key"
                problems.append(SettingsProblem(file, line, place, key, expected))
    return problems


def _find_lines(text: str) -> dict[tuple[str, str], int]:
    lines: dict[tuple[str, str], int] = {}
    section = ""
    for number, line in enumerate(text.splitlines(), 1):
        stripped = line.strip()
        if stripped.startswith("[") and "]" in stripped:
            section = stripped[1 : stripped.index("]")]
            lines[section, ""] = number
        elif stripped and stripped[0] not in "#;":
            key = stripped.replace(":", "=", 1).split("=", 1)[0].strip()
            lines.setdefault((section, key), number)
    return lines
