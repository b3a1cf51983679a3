"""Parsers of the values in a settings file."""

import ipaddress
import re
from collections.abc import Callable

from citronwinch.coordination import Endpoint, InstanceRole

KEY_HEX_DIGITS = 64
"""Length of a shared key, in hexadecimal digits."""

_NAME = re.compile(r"[A-Za-z0-9_.-]{1,63}")
_DEVICE = re.compile(r"[A-Za-z0-9_.-]{1,15}")


class SettingValueError(Exception):
    """An invalid value; the message describes the accepted values."""


def parse_name(value: str) -> str:
    """Parse the name of an instance, an availability zone or a region."""
    if not _NAME.fullmatch(value):
        raise SettingValueError(
            "a name of 1 to 63 letters, digits, hyphens, dots, underscores"
        )
    return value


def parse_device(value: str) -> str:
    """Parse the name of a network device."""
    if not _DEVICE.fullmatch(value):
        raise SettingValueError("a device name of 1 to 15 characters, such as tun0")
    return value


def parse_role(value: str) -> InstanceRole:
    """Parse the role of a daemon."""
    try:
        return InstanceRole(value)
    except ValueError:
        raise SettingValueError("balancer or agent") from None


def parse_endpoint(value: str) -> Endpoint:
    """Parse an address with a port."""
    try:
        return Endpoint.parse(value)
    except ValueError as error:
        raise SettingValueError(f"an address such as 192.0.2.1:80 ({error})") from None


def parse_ip(value: str) -> str:
    """Parse an IP address and return it in canonical form."""
    try:
        return str(ipaddress.ip_address(value))
    except ValueError:
        raise SettingValueError("an IP number such as 192.0.2.1") from None


def parse_endpoints(value: str) -> tuple[Endpoint, ...]:
    """Parse one or more addresses with ports, separated by commas."""
    parts = [part for part in value.split(",") if part.strip()]
    if not parts:
        raise SettingValueError("one or more addresses such as 192.0.2.1:80")
    return tuple(parse_endpoint(part) for part in parts)


def parse_key(value: str) -> bytes:
    """Parse a shared key."""
    try:
        key = bytes.fromhex(value)
    except ValueError:
        key = b""
    if len(key) * 2 != KEY_HEX_DIGITS:
        raise SettingValueError(f"{KEY_HEX_DIGITS} hexadecimal digits")
    return key


def parse_number(low: int, high: int, unit: str) -> Callable[[str], int]:
    """Return a parser of whole numbers in a range."""

    def parse(value: str) -> int:
        digits = value.isascii() and value.isdigit() and len(value) <= 12
        if not digits or not low <= int(value) <= high:
            raise SettingValueError(f"a whole number of {unit} from {low} to {high}")
        return int(value)

    return parse


def parse_percent(value: str) -> float:
    """Parse an objective in percent; below 100, so that it has an error budget.

    Example::

        >>> parse_percent("99.9")
        99.9
    """
    if not re.fullmatch(r"\d{1,2}(\.\d{1,6})?", value, re.ASCII) or not float(value):
        raise SettingValueError("a percentage above 0 and below 100, such as 99.9")
    return float(value)


def parse_log_format(value: str) -> str:
    """Parse the format of log lines."""
    if value not in ("json", "console"):
        raise SettingValueError("json or console")
    return value
