"""The table as operators write it: CSV with a header, one row per backend server."""

import csv
import io
from collections.abc import Iterable
from typing import NamedTuple

from expression import Error, Ok, Result

from citronwinch.coordination import (
    Endpoint,
    Table,
    TableRow,
    TransportProtocol,
    row_fields,
)

COLUMNS = (
    "service",
    "protocol",
    "service_address",
    "backend_server",
    "backend_server_address",
    "availability_zone",
    "weight",
    "connection_limit",
)
"""The header of the CSV, in order."""

WEIGHT_LIMIT = 1000
"""The highest weight."""

CONNECTION_LIMIT_MAX = 1_000_000
"""The highest connection limit."""

NAME_LENGTH_LIMIT = 63
"""The longest name, in characters."""


class TableProblem(NamedTuple):
    """One mistake in a table."""

    row: int
    """The line in the CSV, the header being 1; 0 when the whole file is meant."""

    column: str
    """The column, empty when the whole row is meant."""

    found: str
    """What stands there."""

    expected: str
    """What should stand there."""

    def __str__(self) -> str:
        place = f"row {self.row}" if self.row else "table"
        if self.column:
            place += f", column {self.column}"
        return f"{place}: found {self.found!r}, expected {self.expected}"


class _CellError(Exception):
    def __init__(self, expected: str) -> None:
        super().__init__(expected)
        self.expected = expected


def parse_table(text: str, revision: int) -> Result[Table, list[TableProblem]]:
    """Return the table in CSV text, or every mistake in it.

    Example::

        >>> header = ",".join(COLUMNS)
        >>> row = "gauging,udp,192.0.2.1:5000,g1,198.51.100.1:6000,a,10,2000"
        >>> parse_table(f"{header}\\n{row}\\n", 3).ok
        Table(revision=3, rows=1)
        >>> for problem in parse_table(f"{header}\\n{row}0x\\n", 3).error:
        ...     print(problem)
        row 2, column connection_limit: found '20000x',
        expected a whole number 1 to 1000000
    """
    problems: list[TableProblem] = []
    rows: list[tuple[int, TableRow]] = []
    reader = csv.reader(io.StringIO(text, newline=""))
    try:
        lines = [(reader.line_num, cells) for cells in reader]
    except csv.Error as error:
        found = str(error)
        return Error([TableProblem(reader.line_num, "", found, "well-formed CSV")])
    if not lines or tuple(cell.strip() for cell in lines[0][1]) != COLUMNS:
        found = ",".join(lines[0][1]) if lines else ""
        return Error([TableProblem(1, "", found, f"the header {','.join(COLUMNS)}")])
    for number, cells in lines[1:]:
        if not any(cell.strip() for cell in cells):
            continue
        row = _parse_row(number, cells, problems)
        if row is not None:
            rows.append((number, row))
    problems.extend(_find_conflicts(rows))
    if problems:
        return Error(sorted(problems))
    return Ok(Table(revision, (row for _, row in rows)))


def find_conflicts(rows: Iterable[TableRow]) -> list[TableProblem]:
    """Return what rows that are valid one by one contradict each other in.

    Rows are numbered as `format_table` would write them.
    """
    return sorted(_find_conflicts(list(enumerate(rows, 2))))


def format_table(rows: Iterable[TableRow]) -> str:
    """Return rows as CSV text with a header."""
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow(COLUMNS)
    for row in rows:
        fields = row_fields(row)
        fields[1] = str(fields[1]).lower()
        writer.writerow(fields)
    return output.getvalue()


def _parse_row(
    number: int, cells: list[str], problems: list[TableProblem]
) -> TableRow | None:
    if len(cells) != len(COLUMNS):
        expected = f"{len(COLUMNS)} cells"
        problems.append(TableProblem(number, "", f"{len(cells)} cells", expected))
        return None
    values = {}
    before = len(problems)
    for column, cell in zip(COLUMNS, cells, strict=True):
        try:
            values[column] = _parse_cell(column, cell.strip())
        except _CellError as error:
            problems.append(TableProblem(number, column, cell, error.expected))
    if len(problems) > before:
        return None
    return TableRow(**values)  # type: ignore[arg-type]


def _parse_cell(column: str, cell: str) -> object:
    if column in ("service", "backend_server", "availability_zone"):
        return _parse_name(cell)
    if column == "protocol":
        return _parse_protocol(cell)
    if column in ("service_address", "backend_server_address"):
        return _parse_endpoint(cell)
    if column == "weight":
        return _parse_number(cell, 0, WEIGHT_LIMIT)
    return _parse_number(cell, 1, CONNECTION_LIMIT_MAX)


def _parse_name(cell: str) -> str:
    allowed = cell.isascii() and all(c.isalnum() or c in "-_." for c in cell)
    if not cell or not allowed or len(cell) > NAME_LENGTH_LIMIT:
        raise _CellError(
            f"1 to {NAME_LENGTH_LIMIT} letters, digits, hyphens, dots, underscores"
        )
    return cell


def _parse_protocol(cell: str) -> TransportProtocol:
    try:
        return TransportProtocol[cell.upper()]
    except KeyError:
        raise _CellError("tcp or udp") from None


def _parse_endpoint(cell: str) -> Endpoint:
    try:
        endpoint = Endpoint.parse(cell)
    except ValueError as error:
        raise _CellError(f"an address such as 192.0.2.1:80 ({error})") from None
    if endpoint.port == 0:
        raise _CellError("a port from 1 to 65535")
    return endpoint


def _parse_number(cell: str, low: int, high: int) -> int:
    digits = cell.isascii() and cell.isdigit() and len(cell) <= 9
    if not digits or not low <= int(cell) <= high:
        raise _CellError(f"a whole number {low} to {high}")
    return int(cell)


def _find_conflicts(rows: list[tuple[int, TableRow]]) -> list[TableProblem]:
    problems: list[TableProblem] = []
    names: dict[str, int] = {}
    addresses: dict[Endpoint, int] = {}
    services: dict[str, tuple[int, TableRow]] = {}
    endpoints: dict[tuple[TransportProtocol, Endpoint], tuple[int, str]] = {}
    for number, row in rows:
        first = names.setdefault(row.backend_server, number)
        if first != number:
            expected = f"a name used once (also in row {first})"
            problems.append(
                TableProblem(number, "backend_server", row.backend_server, expected)
            )
        first = addresses.setdefault(row.backend_server_address, number)
        if first != number:
            found = str(row.backend_server_address)
            expected = f"an address used once (also in row {first})"
            problems.append(
                TableProblem(number, "backend_server_address", found, expected)
            )
        problems.extend(_find_service_conflicts(number, row, services, endpoints))
    return problems


def _find_service_conflicts(
    number: int,
    row: TableRow,
    services: dict[str, tuple[int, TableRow]],
    endpoints: dict[tuple[TransportProtocol, Endpoint], tuple[int, str]],
) -> list[TableProblem]:
    problems: list[TableProblem] = []
    first, sample = services.setdefault(row.service, (number, row))
    if row.protocol != sample.protocol:
        expected = f"{sample.protocol.name.lower()} as in row {first}"
        found = row.protocol.name.lower()
        problems.append(TableProblem(number, "protocol", found, expected))
    if row.service_address != sample.service_address:
        expected = f"{sample.service_address} as in row {first}"
        found = str(row.service_address)
        problems.append(TableProblem(number, "service_address", found, expected))
    endpoint = (row.protocol, row.service_address)
    first, owner = endpoints.setdefault(endpoint, (number, row.service))
    if owner != row.service:
        expected = f"an address of its own (row {first} uses it for {owner})"
        found = str(row.service_address)
        problems.append(TableProblem(number, "service_address", found, expected))
    return problems
