"""The table as operators write it: CSV with a header, one row per backend server."""

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
"""The header of the CSV, in order."""

TABLE_LIMIT_BYTES = 16 << 20
"""The longest table that is read, in bytes."""

FOUND_LENGTH_LIMIT = 80
"""The most characters of a cell that a message shows."""

_DELIMITERS = (",", ";", "\t")


def decode_table(data: bytes) -> Result[str, list[TableProblem]]:
    """Return the text of a table file, or why it is not text.

    A byte order mark is dropped; spreadsheets write one.

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
    """Return the table in CSV text, or every mistake in it.

    What spreadsheets do to a table is accepted: a byte order mark, semicolons or
    tabs between cells, quoted cells, blank rows, empty cells behind the last
    column, and whole numbers with a decimal point.

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
        lines = _read_lines(text.removeprefix("\ufeff"))
    except csv.Error as error:
        return Error([TableProblem(0, "", str(error), "well-formed CSV")])
    if not lines or _find_header(lines[0][1]) != COLUMNS:
        found = _shorten(",".join(lines[0][1])) if lines else ""
        number = lines[0][0] if lines else 1
        expected = f"the header {','.join(COLUMNS)}"
        return Error([TableProblem(number, "", found, expected)])
    problems: list[TableProblem] = []
    rows: list[tuple[int, TableRow]] = []
    for number, cells in lines[1:]:
        if (row := _parse_row(number, cells, problems)) is not None:
            rows.append((number, row))
    problems.extend(find_conflicts(rows))
    if problems:
        return Error(sorted(problems))
    return Ok(Table(revision, (row for _, row in rows)))


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


def _read_lines(text: str) -> list[tuple[int, list[str]]]:
    """Return each row that is not blank, with the line on which it begins."""
    first_line = text.lstrip().partition("\n")[0]
    delimiter = max(_DELIMITERS, key=first_line.count)
    reader = csv.reader(io.StringIO(text, newline=""), delimiter=delimiter, strict=True)
    lines: list[tuple[int, list[str]]] = []
    number = 1
    for cells in reader:
        if any(cell.strip() for cell in cells):
            lines.append((number, [cell.strip() for cell in cells]))
        number = reader.line_num + 1
    return lines


def _find_header(cells: list[str]) -> tuple[str, ...]:
    names = (cell.lower().replace(" ", "_") for cell in _drop_empty_end(cells))
    return tuple(names)


def _drop_empty_end(cells: list[str]) -> list[str]:
    end = len(cells)
    while end > len(COLUMNS) and not cells[end - 1]:
        end -= 1
    return cells[:end]


def _parse_row(
    number: int, cells: list[str], problems: list[TableProblem]
) -> TableRow | None:
    """Return a row, with None in place of a cell that is a mistake.

    A row with a mistake is still compared with the others.
    """
    cells = _drop_empty_end(cells)
    if len(cells) != len(COLUMNS):
        expected = f"{len(COLUMNS)} cells"
        problems.append(TableProblem(number, "", f"{len(cells)} cells", expected))
        return None
    values = {}
    for column, cell in zip(COLUMNS, cells, strict=True):
        try:
            values[column] = parse_cell(column, cell)
        except CellError as error:
            values[column] = None
            found = _shorten(cell)
            problems.append(TableProblem(number, column, found, error.expected))
    return TableRow(**values)


def _shorten(text: str) -> str:
    if len(text) <= FOUND_LENGTH_LIMIT:
        return text
    return text[: FOUND_LENGTH_LIMIT - 3] + "..."
