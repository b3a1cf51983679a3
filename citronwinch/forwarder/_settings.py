"""Settings of a balancer or agent that carries flows with opaque bytes."""

from typing import Any, NamedTuple

from expression import Error, Ok, Result

from citronwinch.coordination import Endpoint, InstanceRole
from citronwinch.coordination.flows import DEFAULT_LINK_MBPS
from citronwinch.operators import (
    SettingSpec,
    SettingsProblem,
    SettingValueError,
    list_ini_problems,
    parse_endpoint,
    parse_endpoints,
    parse_ini,
    parse_ip,
    parse_name,
    parse_number,
    parse_role,
    read_setting,
)

MAX_LINK_MBPS = 1_000_000
"""The highest link bandwidth that settings may have, in megabits a second."""

DEFAULT_STOP_TIMEOUT_MS = 6_000
"""The stop timeout of settings that do not state it, in milliseconds."""

MAX_STOP_TIMEOUT_MS = 3_600_000
"""The longest stop timeout, in milliseconds; longer ones count as this one."""


class ForwarderSettings(NamedTuple):
    """The validated settings of one process."""

    name: str
    """The instance's name."""

    role: InstanceRole
    """Whether the process is a balancer or an agent."""

    availability_zone: str
    """The availability zone of the instance."""

    is_first_start: bool
    """Whether this is the first start of the whole deployment."""

    ip: str
    """The instance's address."""

    peer_port: int
    """The UDP and TCP port of balancers and agents for each other, on all instances."""

    ready_address: Endpoint
    """The HTTP address at which routers check whether the process accepts packets."""

    packet_address: Endpoint
    """The address to which routers send callers' packets. Callers receive packets at
    the same port number."""

    seeds: tuple[Endpoint, ...]
    """The balancers to contact at the start; some may be outdated or down."""

    store_address: Endpoint | None
    """The address of the platform's store; None for an agent, which never reads it."""

    service: str
    """The service of an agent's backend server; empty for a balancer."""

    server_address: Endpoint | None
    """The address at which an agent's backend server receives packets."""

    outbound_address: Endpoint | None
    """The address to which an agent's backend server sends packets."""

    stop_timeout_ms: int
    """How long after the stop request the process is killed, in milliseconds."""

    metrics_port: int
    """The port that serves metrics; 0 disables them."""

    link_mbps: int
    """The bandwidth of the instance's link, in megabits a second."""

    holds_requests: bool
    """Whether an agent holds requests while its backend server has no free slot."""


def _parse_flag(value: str) -> bool:
    if value not in ("true", "false"):
        raise SettingValueError("true or false")
    return value == "true"


def _parse_first_port(value: str) -> int:
    first = value.partition(",")[0].strip()
    return parse_number(1, 65_535, "a port number")(first)


def _parse_link(value: str) -> int:
    if not value:
        return DEFAULT_LINK_MBPS
    # The platform may state fractions; a link below one megabit counts as one.
    try:
        mbps = round(float(value))
    except (ValueError, OverflowError) as error:
        raise SettingValueError("a number of megabits a second") from error
    if not 0 <= mbps <= MAX_LINK_MBPS:
        raise SettingValueError(f"0 to {MAX_LINK_MBPS} megabits a second")
    return max(1, mbps)


def _parse_stop_timeout_ms(value: str) -> int:
    # The platform may state fractions; a process never takes the longest time to stop.
    try:
        timeout_ms = round(1_000 * float(value))
    except (ValueError, OverflowError) as error:
        raise SettingValueError("a number of seconds, such as 6 or 6.5") from error
    if timeout_ms < 0:
        raise SettingValueError("a number of seconds that is not negative")
    return min(timeout_ms, MAX_STOP_TIMEOUT_MS)


def _parse_seeds(value: str) -> tuple[Endpoint, ...]:
    return parse_endpoints(value) if value else ()


FORWARDER_SPECS = (
    SettingSpec("instance", "name", "name", parse_name),
    SettingSpec("instance", "role", "role", parse_role),
    SettingSpec("instance", "availability_zone", "availability_zone", parse_name),
    SettingSpec("instance", "first_start", "is_first_start", _parse_flag, False),
    SettingSpec("listen", "ip", "ip", parse_ip),
    SettingSpec("listen", "peer_ports", "peer_port", _parse_first_port),
    SettingSpec("listen", "ready", "ready_address", parse_endpoint),
    SettingSpec("listen", "packets", "packet_address", parse_endpoint),
    SettingSpec(
        "listen", "metrics_port", "metrics_port", parse_number(0, 65_535, "a port"), 0
    ),
    SettingSpec("peers", "seeds", "seeds", _parse_seeds, ()),
    SettingSpec("store", "address", "store_address", parse_endpoint, None),
    SettingSpec("server", "service", "service", parse_name, ""),
    SettingSpec("server", "address", "server_address", parse_endpoint, None),
    SettingSpec("server", "outbound", "outbound_address", parse_endpoint, None),
    SettingSpec(
        "stop",
        "timeout_s",
        "stop_timeout_ms",
        _parse_stop_timeout_ms,
        DEFAULT_STOP_TIMEOUT_MS,
    ),
    SettingSpec("limits", "link_mbps", "link_mbps", _parse_link, DEFAULT_LINK_MBPS),
    SettingSpec("requests", "queue", "holds_requests", _parse_flag, False),
)
"""All settings. Other sections and keys are reported as problems."""

REQUIRED_KEYS_BY_ROLE = {
    InstanceRole.BALANCER: (("store", "address", "store_address"),),
    InstanceRole.AGENT: (
        ("server", "service", "service"),
        ("server", "address", "server_address"),
        ("server", "outbound", "outbound_address"),
    ),
}
"""The section, key and field of each setting that only this role requires."""


def parse_forwarder_settings(
    text: str, file: str
) -> Result[ForwarderSettings, list[SettingsProblem]]:
    """Return the settings in an INI text, or all problems found in it."""
    ini = parse_ini(text)
    problems = list_ini_problems(ini, file)
    known = {(spec.section, spec.key) for spec in FORWARDER_SPECS}
    for section, keys in ini.values.items():
        for key in keys:
            if (section, key) not in known:
                place = f"[{section}] {key}"
                line = ini.find_line(section, key)
                problems.append(
                    SettingsProblem(file, line, place, "unknown key", "a known key")
                )
    values: dict[str, Any] = {
        spec.field: read_setting(spec, ini, file, problems) for spec in FORWARDER_SPECS
    }
    if values["role"] is not None:
        for section, key, field in REQUIRED_KEYS_BY_ROLE[values["role"]]:
            if not values[field]:
                place = f"[{section}] {key}"
                problems.append(SettingsProblem(file, 0, place, "nothing", "a value"))
    return Error(problems) if problems else Ok(ForwarderSettings(**values))
