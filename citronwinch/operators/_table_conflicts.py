"""Finding conflicts between rows, or between cells of a row, that are each valid."""

from typing import NamedTuple

from citronwinch.coordination import Endpoint, TableRow, TransportProtocol


class TableProblem(NamedTuple):
    """One problem in a table."""

    row: int
    """The line number in the CSV, 1 for its first line; 0 for the whole file."""

    column: str
    """The column's name, empty for the whole row."""

    found: str
    """The cell's text or a description of the row."""

    expected: str
    """A description of the accepted values."""

    def __str__(self) -> str:
        place = f"row {self.row}" if self.row else "table"
        if self.column:
            place += f", column {self.column}"
        return f"{place}: found {self.found!r}, expected {self.expected}"


class _SeenValues(NamedTuple):
    """The values of the rows checked so far, with the line of the first occurrence."""

    # The first line number of each row, backend server's name and server's address.
    rows: dict[TableRow, int]
    server_names: dict[str, int]
    server_addresses: dict[Endpoint, int]
    # The first line number and row of each service.
    services: dict[str, tuple[int, TableRow]]
    # The first line number and the service of each protocol and service address.
    service_endpoints: dict[tuple[TransportProtocol, Endpoint], tuple[int, str]]


def find_conflicts(rows: list[tuple[int, TableRow]]) -> list[TableProblem]:
    """Return the conflicts in rows, which are given with their line numbers.

    An invalid cell is None and conflicts with nothing.
    """
    problems: list[TableProblem] = []
    seen = _SeenValues({}, {}, {}, {}, {})
    for line_number, row in rows:
        first_line = seen.rows.setdefault(row, line_number)
        if first_line != line_number:
            expected = f"each row once (the same as row {first_line})"
            problems.append(TableProblem(line_number, "", "a repeated row", expected))
            continue
        problems.extend(_find_server_conflicts(line_number, row, seen))
        problems.extend(_find_service_conflicts(line_number, row, seen))
        problems.extend(_find_ip_version_conflicts(line_number, row))
    return problems


def _find_server_conflicts(
    line_number: int, row: TableRow, seen: _SeenValues
) -> list[TableProblem]:
    problems: list[TableProblem] = []
    first_line = seen.server_names.setdefault(row.backend_server, line_number)
    if first_line != line_number and row.backend_server is not None:
        expected = f"a name used once (also in row {first_line})"
        problems.append(
            TableProblem(line_number, "backend_server", row.backend_server, expected)
        )
    first_line = seen.server_addresses.setdefault(
        row.backend_server_address, line_number
    )
    if first_line != line_number and row.backend_server_address is not None:
        found = str(row.backend_server_address)
        expected = f"an address used once (also in row {first_line})"
        problems.append(
            TableProblem(line_number, "backend_server_address", found, expected)
        )
    return problems


def _find_service_conflicts(
    line_number: int, row: TableRow, seen: _SeenValues
) -> list[TableProblem]:
    problems: list[TableProblem] = []
    if row.service is None:
        return problems
    first_line, first_row = seen.services.setdefault(row.service, (line_number, row))
    if _differ(row.protocol, first_row.protocol):
        expected = f"{first_row.protocol.name.lower()} as in row {first_line}"
        found = row.protocol.name.lower()
        problems.append(TableProblem(line_number, "protocol", found, expected))
    if _differ(row.service_address, first_row.service_address):
        expected = f"{first_row.service_address} as in row {first_line}"
        found = str(row.service_address)
        problems.append(TableProblem(line_number, "service_address", found, expected))
    if row.protocol is None or row.service_address is None:
        return problems
    endpoint = (row.protocol, row.service_address)
    first_line, other_service = seen.service_endpoints.setdefault(
        endpoint, (line_number, row.service)
    )
    if other_service != row.service:
        expected = (
            f"an address of its own (row {first_line} uses it for {other_service})"
        )
        found = str(row.service_address)
        problems.append(TableProblem(line_number, "service_address", found, expected))
    return problems


def _differ(cell: object, other_cell: object) -> bool:
    """Return whether two valid cells differ; False if either is invalid."""
    return cell is not None and other_cell is not None and cell != other_cell


def _find_ip_version_conflicts(line_number: int, row: TableRow) -> list[TableProblem]:
    """Find a TCP row whose service and server addresses differ in IP version.

    The agent delivers TCP segments to the backend server in packets of the caller's
    IP version. It sends UDP payloads in datagrams of its own, for which the versions
    may differ.
    """
    if None in (row.protocol, row.service_address, row.backend_server_address):
        return []
    is_ipv6 = ":" in row.service_address.ip
    if row.protocol is TransportProtocol.UDP or is_ipv6 == (
        ":" in row.backend_server_address.ip
    ):
        return []
    version = "IPv6" if is_ipv6 else "IPv4"
    found = str(row.backend_server_address)
    expected = f"an {version} address, as the service address of a tcp service is"
    return [TableProblem(line_number, "backend_server_address", found, expected)]
