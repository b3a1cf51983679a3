"""Parsers of the cells of a table."""

import ipaddress
import re
from typing import Any

from citronwinch.coordination import Endpoint, TransportProtocol

WEIGHT_LIMIT = 1000
"""The highest weight of a backend server."""

CONNECTION_LIMIT_MAX = 1_000_000
"""The highest connection limit of a backend server."""

NAME_LENGTH_LIMIT = 63
"""The longest name of a service, backend server or zone, in characters."""

_NAME = re.compile(r"[A-Za-z0-9_.-]+")
_SPREADSHEET_NUMBER = re.compile(r"(\d{1,9})(\.0+)?")


class CellError(Exception):
    """An invalid cell.

    Attributes:
        expected: A description of the accepted values.
    """

    def __init__(self, expected: str) -> None:
        super().__init__(expected)
        self.expected = expected


def parse_cell(column: str, cell: str) -> Any:
    """Parse a cell of the given column; raise CellError for an invalid one."""
    if column in ("service", "backend_server", "availability_zone"):
        return parse_name(cell)
    if column == "protocol":
        return parse_protocol(cell)
    if column in ("service_address", "backend_server_address"):
        return parse_address(cell)
    if column == "weight":
        return parse_number(cell, 0, WEIGHT_LIMIT)
    return parse_number(cell, 1, CONNECTION_LIMIT_MAX)


def parse_name(cell: str) -> str:
    """Parse the name of a service, a backend server or an availability zone."""
    if not _NAME.fullmatch(cell) or len(cell) > NAME_LENGTH_LIMIT:
        raise CellError(
            f"1 to {NAME_LENGTH_LIMIT} letters, digits, hyphens, dots, underscores"
        )
    return cell


def parse_protocol(cell: str) -> TransportProtocol:
    """Parse a transport protocol, in upper or lower case."""
    try:
        return TransportProtocol[cell.upper()]
    except KeyError:
        raise CellError("tcp or udp") from None


def parse_address(cell: str) -> Endpoint:
    """Parse an address with a port that packets can be sent to."""
    try:
        endpoint = Endpoint.parse(cell)
    except ValueError as error:
        raise CellError(f"an address such as 192.0.2.1:80 ({error})") from None
    address = ipaddress.ip_address(endpoint.ip)
    if isinstance(address, ipaddress.IPv6Address) and address.scope_id is not None:
        raise CellError("an address without a scope")
    if address.is_unspecified or address.is_multicast:
        raise CellError("an address of one instance")
    if endpoint.port == 0:
        raise CellError("a port from 1 to 65535")
    return endpoint


def parse_number(cell: str, low: int, high: int) -> int:
    """Parse a whole number; `10.0`, as spreadsheets write it, is 10.

    Example::

        >>> parse_number("10.0", 0, 1000)
        10
    """
    match = _SPREADSHEET_NUMBER.fullmatch(cell) if cell.isascii() else None
    if match is None or not low <= int(match[1]) <= high:
        raise CellError(f"a whole number {low} to {high}, digits only")
    return int(match[1])
