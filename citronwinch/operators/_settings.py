"""Settings of a daemon, an INI file that is checked before any socket is opened."""

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
    list_ini_problems,
    read_setting,
    redact_shared_keys,
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
    """The instance's name; for an agent, the name of its backend server."""

    role: InstanceRole
    """Whether the process is a balancer or an agent."""

    availability_zone: str
    """The availability zone that the process runs in."""

    region: str
    """The region of the availability zone."""

    peer_address: Endpoint
    """The UDP address that receives messages from other balancers and agents."""

    http_address: Endpoint
    """The address that serves metrics, health and status over HTTP."""

    configuration_service: Endpoint
    """Address of the platform's configuration service."""

    instance_service: Endpoint
    """Address of the platform's list of instances."""

    fabric_address: Endpoint | None
    """The address at which a balancer receives packets from the fabric; None for an
    agent."""

    fabric_return: tuple[Endpoint, ...]
    """Addresses of the fabric that accept packets to callers."""

    key: bytes
    """The key that signs messages between balancers and agents."""

    previous_key: bytes | None
    """A second key that is accepted during key rotation; None without one."""

    flow_idle_ms: int
    """Time after which a flow without packets expires."""

    flow_cache_limit: int
    """The most flows in each generation of a balancer's two route caches. A cache has
    two generations: it always holds the routes of this many recently used flows, and
    both caches together hold at most four times as many routes."""

    stop_timeout_ms: int
    """Longest duration of a graceful shutdown."""

    log_format: str
    """The format of log lines, `json` or `console`."""

    tun_device: str = ""
    """The layer-3 device that delivers TCP segments; empty if none is configured."""

    expected_instances: int = 100
    """The number of instances that may start at the same time. Their first reads of the
    platform are spread over a time that grows with it."""

    objectives: tuple[Objective, ...] = ()
    """The service-level objectives."""

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
"""All settings except the service-level objectives."""


def parse_settings(text: str, file: str) -> Result[Settings, list[SettingsProblem]]:
    """Parse settings from INI text; the error lists every problem."""
    ini = parse_ini(text.removeprefix("\ufeff"))
    problems = list_ini_problems(ini, file)
    problems += _find_unknown_names(ini, file)
    values: dict[str, Any] = {}
    for spec in SETTING_SPECS:
        values[spec.field] = read_setting(spec, ini, file, problems)
    objectives = _read_objectives(ini, file, problems)
    problems += _find_conflicting_settings(values, ini, file)
    if problems:
        problems = [redact_shared_keys(problem) for problem in problems]
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


def _find_conflicting_settings(
    values: dict[str, Any], ini: IniFile, file: str
) -> list[SettingsProblem]:
    """Find settings that contradict the role or another setting."""
    problems = []
    role, fabric = values["role"], values["fabric_address"]
    line = ini.find_line("listen", "fabric")
    if role is InstanceRole.BALANCER and not line:
        expected = "the address that receives packets from the fabric"
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


def _find_unknown_names(ini: IniFile, file: str) -> list[SettingsProblem]:
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
