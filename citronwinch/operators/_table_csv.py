"""The table as CSV: a header and one row for each backend server."""

import csv
import io
from collections.abc import Iterable

from expression import Error, Ok, Result

from citronwinch.coordination import Table, TableRow, row_fields
from citronwinch.operators._table_cells import CellError, parse_cell
from citronwinch.operators._table_conflicts import TableProblem, find_conflicts

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
"""The column names of the header, in order."""

TABLE_LIMIT_BYTES = 16 << 20
"""The largest accepted table file, in bytes."""

FOUND_LENGTH_LIMIT = 80
"""Longest part of a cell that a message quotes, in characters."""

_DELIMITERS = (",", ";", "\t")


def decode_table(data: bytes) -> Result[str, list[TableProblem]]:
    """Decode the UTF-8 text of a table file.

    A byte order mark, which spreadsheets write, is removed.

    Example::

        >>> decode_table(b"service\\nn\\xe1utica").error[0].row
        2
    """
    if len(data) > TABLE_LIMIT_BYTES:
        expected = f"at most {TABLE_LIMIT_BYTES} bytes"
        return Error([TableProblem(0, "", f"{len(data)} bytes", expected)])
    try:
        return Ok(data.decode("utf-8-sig"))
    except UnicodeDecodeError as error:
        row = data.count(b"\n", 0, error.start) + 1
        found = f"byte {error.object[error.start]:#04x}"
        return Error([TableProblem(row, "", found, "UTF-8 text")])


def parse_table(text: str, revision: int) -> Result[Table, list[TableProblem]]:
    """Parse a table from CSV text; the error lists every problem.

    The variants of CSV that spreadsheets write are accepted: a byte order mark,
    semicolons or tabs between cells, quoted cells, blank rows, empty cells after the
    last column, and whole numbers with a decimal point.

    Example::

        >>> header = ",".join(COLUMNS)
        >>> row = "gauging,udp,192.0.2.1:5000,g1,198.51.100.1:6000,a,10,2000"
        >>> parse_table(f"{header}\\n{row}\\n", 3).ok
        Table(revision=3, rows=1)
        >>> for problem in parse_table(f"{header}\\n{row}0x\\n", 3).error:
        ...     print(problem)
        row 2, column connection_limit: found '20000x',
        expected a whole number 1 to 1000000, digits only
    """
    try:
        numbered_rows = _read_numbered_rows(text.removeprefix("\ufeff"))
    except csv.Error as error:
        return Error([TableProblem(0, "", str(error), "well-formed CSV")])
    if not numbered_rows or _normalize_header(numbered_rows[0][1]) != COLUMNS:
        found = _truncate(",".join(numbered_rows[0][1])) if numbered_rows else ""
        line_number = numbered_rows[0][0] if numbered_rows else 1
        expected = f"the header {','.join(COLUMNS)}"
        return Error([TableProblem(line_number, "", found, expected)])
    problems: list[TableProblem] = []
    rows: list[tuple[int, TableRow]] = []
    for line_number, cells in numbered_rows[1:]:
        if (row := _parse_row(line_number, cells, problems)) is not None:
            rows.append((line_number, row))
    problems.extend(find_conflicts(rows))
    if problems:
        return Error(sorted(problems))
    return Ok(Table(revision, (row for _, row in rows)))


def format_table(rows: Iterable[TableRow]) -> str:
    """Format rows as CSV text with a header."""
    output = io.StringIO()
    writer = csv.writer(output, lineterminator="\n")
    writer.writerow(COLUMNS)
    for row in rows:
        fields = row_fields(row)
        fields[1] = str(fields[1]).lower()
        writer.writerow(fields)
    return output.getvalue()


def _read_numbered_rows(text: str) -> list[tuple[int, list[str]]]:
    """Return the cells of each row that is not blank, with its first line number."""
    first_line = text.lstrip().partition("\n")[0]
    delimiter = max(_DELIMITERS, key=first_line.count)
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    numbered_rows: list[tuple[int, list[str]]] = []
    line_number = 1
    for cells in reader:
        if any(cell.strip() for cell in cells):
            numbered_rows.append((line_number, [cell.strip() for cell in cells]))
        line_number = reader.line_num + 1
    return numbered_rows


def _normalize_header(cells: list[str]) -> tuple[str, ...]:
    names = (
        cell.lower().replace(" ", "_") for cell in _drop_trailing_empty_cells(cells)
    )
    return tuple(names)


def _drop_trailing_empty_cells(cells: list[str]) -> list[str]:
    end = len(cells)
    while end > len(COLUMNS) and not cells[end - 1]:
        end -= 1
    return cells[:end]


def _parse_row(
    line_number: int, cells: list[str], problems: list[TableProblem]
) -> TableRow | None:
    """Parse the cells of a row; None if their count is wrong.

    An invalid cell is reported and becomes None, so that the valid cells of the row
    can still be compared with other rows.
    """
    cells = _drop_trailing_empty_cells(cells)
    if len(cells) != len(COLUMNS):
        expected = f"{len(COLUMNS)} cells"
        problems.append(TableProblem(line_number, "", f"{len(cells)} cells", expected))
        return None
    values = {}
    for column, cell in zip(COLUMNS, cells, strict=True):
        try:
            values[column] = parse_cell(column, cell)
        except CellError as error:
            values[column] = None
            found = _truncate(cell)
            problems.append(TableProblem(line_number, column, found, error.expected))
    return TableRow(**values)


def _truncate(text: str) -> str:
    if len(text) <= FOUND_LENGTH_LIMIT:
        return text
    return text[: FOUND_LENGTH_LIMIT - 3] + "..."
