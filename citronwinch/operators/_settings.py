"""Settings of a daemon: INI, checked whole before anything opens."""

from typing import Any, NamedTuple

from expression import Error, Ok, Result

from citronwinch.coordination import Endpoint, InstanceRole
from citronwinch.operators._ini_file import IniFile, parse_ini
from citronwinch.operators._objectives import (
    OBJECTIVE_KEYS,
    OBJECTIVE_PREFIX,
    Objective,
)
from citronwinch.operators._setting_specs import (
    FOUND_LENGTH_LIMIT,
    SettingSpec,
    SettingsProblem,
    hide_keys,
    list_ini_problems,
    read_setting,
)
from citronwinch.operators._setting_values import (
    parse_device,
    parse_endpoint,
    parse_endpoints,
    parse_key,
    parse_log_format,
    parse_name,
    parse_number,
    parse_role,
)


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
    """The flows whose agent a balancer remembers at least; up to four times as many."""

    stop_timeout_ms: int
    """How long a graceful shutdown may take."""

    log_format: str
    """`json` or `console`."""

    tun_device: str = ""
    """The layer-3 device that delivers TCP segments; empty without one."""

    expected_instances: int = 100
    """How many instances may start at once; spaces the first reads of the platform."""

    objectives: tuple[Objective, ...] = ()
    """What the services promise."""

    def __repr__(self) -> str:
        """Return the settings without their keys."""
        shown = self._asdict() | {"key": "(hidden)", "previous_key": "(hidden)"}
        return f"Settings({shown})"


SETTING_SPECS = (
    SettingSpec("instance", "name", "name", parse_name),
    SettingSpec("instance", "role", "role", parse_role),
    SettingSpec("instance", "availability_zone", "availability_zone", parse_name),
    SettingSpec("instance", "region", "region", parse_name, ""),
    SettingSpec("listen", "peers", "peer_address", parse_endpoint),
    SettingSpec("listen", "http", "http_address", parse_endpoint),
    SettingSpec("listen", "fabric", "fabric_address", parse_endpoint, None),
    SettingSpec("platform", "configuration", "configuration_service", parse_endpoint),
    SettingSpec("platform", "instances", "instance_service", parse_endpoint),
    SettingSpec(
        "platform",
        "expected_instances",
        "expected_instances",
        parse_number(1, 1_000_000, "instances"),
        100,
    ),
    SettingSpec("fabric", "return", "fabric_return", parse_endpoints),
    SettingSpec("keys", "current", "key", parse_key),
    SettingSpec("keys", "previous", "previous_key", parse_key, None),
    SettingSpec(
        "flows",
        "idle_ms",
        "flow_idle_ms",
        parse_number(1_000, 86_400_000, "milliseconds"),
        300_000,
    ),
    SettingSpec(
        "flows",
        "cache_limit",
        "flow_cache_limit",
        parse_number(1, 10_000_000, "flows"),
        300_000,
    ),
    SettingSpec(
        "stop",
        "timeout_ms",
        "stop_timeout_ms",
        parse_number(0, 86_400_000, "milliseconds"),
        30_000,
    ),
    SettingSpec("delivery", "tun_device", "tun_device", parse_device, ""),
    SettingSpec("log", "format", "log_format", parse_log_format, "json"),
)
"""Every setting there is, but for the objectives of services."""


def parse_settings(text: str, file: str) -> Result[Settings, list[SettingsProblem]]:
    """Return the settings in INI text, or every mistake in it."""
    ini = parse_ini(text.removeprefix("\ufeff"))
    problems = list_ini_problems(ini, file)
    problems += _find_unknown(ini, file)
    values: dict[str, Any] = {}
    for spec in SETTING_SPECS:
        values[spec.field] = read_setting(spec, ini, file, problems)
    objectives = _read_objectives(ini, file, problems)
    problems += _find_role_problems(values, ini, file)
    if problems:
        problems = [hide_keys(problem) for problem in problems]
        return Error(sorted(problems, key=lambda problem: problem.line))
    return Ok(Settings(**values, objectives=objectives))


def _read_objectives(
    ini: IniFile, file: str, problems: list[SettingsProblem]
) -> tuple[Objective, ...]:
    objectives = []
    for section in ini.values:
        if not section.startswith(OBJECTIVE_PREFIX):
            continue
        values = {
            key: read_setting(
                SettingSpec(section, key, key, parse, None), ini, file, problems
            )
            for key, parse in OBJECTIVE_KEYS.items()
        }
        service = section.removeprefix(OBJECTIVE_PREFIX).strip()
        objectives.append(Objective(service, **values))
    return tuple(objectives)


def _find_role_problems(
    values: dict[str, Any], ini: IniFile, file: str
) -> list[SettingsProblem]:
    """Find settings that do not fit the role or each other."""
    problems = []
    role, fabric = values["role"], values["fabric_address"]
    line = ini.find_line("listen", "fabric")
    if role is InstanceRole.BALANCER and not line:
        expected = "the address where the fabric hands packets over"
        problems.append(
            SettingsProblem(file, 0, "[listen] fabric", "nothing", expected)
        )
    if role is InstanceRole.AGENT and fabric is not None:
        expected = "nothing: an agent takes no packets there"
        problems.append(
            SettingsProblem(file, line, "[listen] fabric", str(fabric), expected)
        )
    if fabric is not None and fabric.port and fabric == values["peer_address"]:
        expected = "an address other than [listen] peers"
        problems.append(
            SettingsProblem(file, line, "[listen] fabric", str(fabric), expected)
        )
    return problems


def _find_unknown(ini: IniFile, file: str) -> list[SettingsProblem]:
    known: dict[str, list[str]] = {}
    for spec in SETTING_SPECS:
        known.setdefault(spec.section, []).append(spec.key)
    problems = []
    for section, values in ini.values.items():
        keys = known.get(section)
        if section.startswith(OBJECTIVE_PREFIX):
            keys = list(OBJECTIVE_KEYS)
        if keys is None:
            line = ini.find_line(section)
            expected = f"one of {', '.join(known)}, objective SERVICE"
            found = section[:FOUND_LENGTH_LIMIT]
            problems.append(SettingsProblem(file, line, "section", found, expected))
            continue
        for key in values:
            if key not in keys:
                line = ini.find_line(section, key)
                expected = f"one of {', '.join(keys)}"
                place = f"[{section}] key"
                found = "(hidden)" if section == "keys" else key[:FOUND_LENGTH_LIMIT]
                problems.append(SettingsProblem(file, line, place, found, expected))
    return problems
