"""Output functions of all commands."""

import sys
from collections.abc import Sequence
from typing import Any

import orjson


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    options = orjson.OPT_INDENT_2 | orjson.OPT_SORT_KEYS
    print(orjson.dumps(value, option=options).decode())


def print_columns(header: Sequence[str], rows: Sequence[Sequence[object]]) -> None:
    """Print rows below a header, each column as wide as its longest cell.

    Example::

        >>> print_columns(["name", "flows"], [["g1", 7], ["g2", 12]])
        name  flows
        g1    7
        g2    12
    """
    table = [list(header), *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(row[i]) for row in table) for i in range(len(header))]
    for row in table:
        cells = (cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        print("  ".join(cells).rstrip())


class Progress:
    """A progress line on standard error that is overwritten by each update.

    Nothing is written when standard error is not a terminal, so that the output of
    scripts stays short.
    """

    def __init__(self, title: str) -> None:
        self.title = title
        self.is_shown = sys.stderr.isatty()

    def update(self, done: int, total: int, unit: str) -> None:
        """Show the finished part of the work."""
        if self.is_shown:
            text = f"\r{self.title}: {done}/{total} {unit}\033[K"
            print(text, end="", file=sys.stderr, flush=True)

    def finish(self) -> None:
        """Clear the line."""
        if self.is_shown:
            print("\r\033[K", end="", file=sys.stderr, flush=True)
