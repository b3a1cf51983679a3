"""The commands `table check`, `table diff` and `table show`."""

import argparse
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import trio

from citronwinch.coordination import Table, TableRow, row_fields
from citronwinch.operators import COLUMNS, TableProblem, decode_table, parse_table
from citronwinch.tool._daemons import (
    ToolError,
    add_deployment_arguments,
    find_deployment,
    read_platform_table,
)
from citronwinch.tool._exit_codes import EXIT_CODES_TEXT, EXIT_FINDING, EXIT_OK
from citronwinch.tool._output import print_columns, print_json

_CHECK_EXAMPLES = """\
examples:
  citronwinchctl table check table.csv
  citronwinchctl table check --json table.csv
"""

_DIFF_EXAMPLES = """\
examples:
  citronwinchctl table diff table-in-force.csv table-new.csv
  citronwinchctl table diff --json table-in-force.csv table-new.csv
"""

_SHOW_EXAMPLES = """\
examples:
  citronwinchctl table show table.csv
  citronwinchctl table show --platform 192.0.2.9:80
  citronwinchctl table show --settings balancer-1.ini --service gauging
"""


class RowChange(NamedTuple):
    """The difference of one backend server between two tables."""

    kind: str
    """`added`, `removed` or `changed`."""

    backend_server: str
    """The backend server's name."""

    service: str
    """Its service; the new one if the service changed."""

    columns: dict[str, list[str | int]]
    """The old and the new value by column; empty unless `kind` is `changed`."""

    effect: str
    """The effect on flows once the new table is in force."""


def add_table_commands(groups: Any) -> None:
    """Add the commands to the parser of the tool."""
    table = groups.add_parser("table", help="check, compare and show tables")
    commands = table.add_subparsers(required=True, metavar="COMMAND")
    add_command = partial(
        commands.add_parser, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    check = add_command(
        "check",
        help="report every mistake in a table",
        epilog=_CHECK_EXAMPLES + EXIT_CODES_TEXT,
    )
    check.add_argument("file", type=Path, help="the table as CSV")
    check.set_defaults(command=check_table)
    diff = add_command(
        "diff",
        help="show what an edit changes, and its effect",
        epilog=_DIFF_EXAMPLES + EXIT_CODES_TEXT,
    )
    diff.add_argument("old", type=Path, help="the table now")
    diff.add_argument("new", type=Path, help="the edited table")
    diff.set_defaults(command=show_diff)
    show = add_command(
        "show",
        help="show a table with each row's share of new flows",
        epilog=_SHOW_EXAMPLES + EXIT_CODES_TEXT,
    )
    show.add_argument("file", type=Path, nargs="?", help="the table as CSV")
    show.add_argument("--service", help="only this service")
    show.set_defaults(command=show_table)
    add_deployment_arguments(show)
    for parser in (check, diff, show):
        parser.add_argument("--json", action="store_true", help="print JSON")


def read_table_file(file: Path) -> tuple[Table | None, list[TableProblem]]:
    """Read a table from a file; without a table, return every problem."""
    text = decode_table(file.read_bytes())
    if text.is_error():
        return None, text.error
    parsed = parse_table(text.ok, 1)
    return (None, parsed.error) if parsed.is_error() else (parsed.ok, [])


def load_table(file: Path) -> Table:
    """Read a table from a file; raise ToolError with every problem."""
    table, problems = read_table_file(file)
    if table is None:
        raise ToolError("\n".join(f"{file}: {problem}" for problem in problems))
    return table


def check_table(options: argparse.Namespace) -> int:
    """Check a table and print every problem."""
    table, problems = read_table_file(options.file)
    if options.json:
        rows = len(table.rows) if table is not None else None
        found = [problem._asdict() for problem in problems]
        print_json({"file": str(options.file), "rows": rows, "problems": found})
    elif table is not None:
        services = len(table.rows_by_service)
        print(
            f"{options.file}: {len(table.rows)} rows, {services} services, no mistakes"
        )
    else:
        for problem in problems:
            print(f"{options.file}: {problem}")
    return EXIT_OK if table is not None else EXIT_FINDING


def show_diff(options: argparse.Namespace) -> int:
    """Print the differences between two tables."""
    changes = compare_tables(load_table(options.old), load_table(options.new))
    if options.json:
        print_json({"changes": [change._asdict() for change in changes]})
    elif not changes:
        print("the tables are the same")
    for change in [] if options.json else changes:
        print(f"{change.kind} {change.backend_server} ({change.service})")
        for column, (old, new) in change.columns.items():
            print(f"    {column}: {old} -> {new}")
        print(f"    effect: {change.effect}")
    return EXIT_FINDING if changes else EXIT_OK


def compare_tables(old: Table, new: Table) -> list[RowChange]:
    """Return the differences between two tables in the order of backend servers."""
    changes = []
    names = {*old.row_by_backend_server, *new.row_by_backend_server}
    for name in sorted(names):
        old_row = old.row_by_backend_server.get(name)
        new_row = new.row_by_backend_server.get(name)
        if old_row != new_row:
            changes.append(_describe_change(old_row, new_row))
    return changes


def _describe_change(old_row: TableRow | None, new_row: TableRow | None) -> RowChange:
    if new_row is None:
        assert old_row is not None
        effect = "gets no new flows; its established flows go on until they end"
        return RowChange("removed", old_row.backend_server, old_row.service, {}, effect)
    if old_row is None:
        effect = "gets its share of new flows; established flows stay where they are"
        if not new_row.weight:
            effect = "is known but gets no new flows (weight 0)"
        return RowChange("added", new_row.backend_server, new_row.service, {}, effect)
    columns = {
        column: [old_value, new_value]
        for column, old_value, new_value in zip(
            COLUMNS, row_fields(old_row), row_fields(new_row), strict=True
        )
        if old_value != new_value
    }
    effect = _describe_effect(old_row, new_row)
    return RowChange(
        "changed", new_row.backend_server, new_row.service, columns, effect
    )


def _describe_effect(old_row: TableRow, new_row: TableRow) -> str:
    if old_row.service != new_row.service:
        return (
            f"gets new flows of {new_row.service} only; flows of {old_row.service} "
            "keep the service under which they were opened"
        )
    if old_row.backend_server_address != new_row.backend_server_address:
        return "new flows go to the new address"
    if new_row.weight != old_row.weight:
        if not new_row.weight:
            return "drains: gets no new flows, its established flows go on"
        direction = "larger" if new_row.weight > old_row.weight else "smaller"
        return f"gets a {direction} share of new flows; established flows stay"
    if new_row.connection_limit < old_row.connection_limit:
        return "takes no new flows while it holds the new limit or more"
    return "new flows follow the new row; established flows stay"


def show_table(options: argparse.Namespace) -> int:
    """Print a table with each row's share of new flows."""
    if options.file is not None:
        table = load_table(options.file)
    else:
        table = load_platform_table(options)
    if options.service and options.service not in table.rows_by_service:
        known = ", ".join(table.rows_by_service)
        raise ToolError(f"no service {options.service!r}; the table has {known}")
    rows = [row for row in table.rows if options.service in (None, row.service)]
    if options.json:
        fields = [dict(zip(COLUMNS, row_fields(row), strict=True)) for row in rows]
        print_json({"revision": table.revision, "rows": fields})
        return EXIT_OK
    if options.file is None:
        print(f"revision {table.revision}, digest {table.digest.hex()}")
    cells = [[*row_fields(row), format_share(table, row)] for row in rows]
    print_columns([*COLUMNS, "share"], cells)
    return EXIT_OK


def load_platform_table(options: argparse.Namespace) -> Table:
    """Read the table from the configuration service; raise ToolError if that fails."""
    deployment = find_deployment(options)
    if deployment.configuration_service is None:
        raise ToolError("name a table file, --settings or --platform")
    found = trio.run(read_platform_table, deployment.configuration_service)
    if found.is_error():
        raise ToolError(found.error)
    return found.ok


def format_share(table: Table, row: TableRow) -> str:
    """Format a row's share of its service's new flows, `drains` for weight 0."""
    if not row.weight:
        return "drains"
    total = sum(
        service_row.weight for service_row in table.rows_by_service[row.service]
    )
    return f"{row.weight / total:.1%}"
