"""The entry point of the command-line tool."""

import argparse
import os
import sys
from collections.abc import Callable

from citronwinch.tool._burn_command import add_report_commands
from citronwinch.tool._daemons import ToolError
from citronwinch.tool._demo_command import add_demo_command
from citronwinch.tool._exit_codes import (
    EXIT_CODES_TEXT,
    EXIT_FINDING,
    EXIT_INTERRUPTED,
    EXIT_USAGE,
)
from citronwinch.tool._explain_command import add_explain_command
from citronwinch.tool._settings_commands import add_settings_commands
from citronwinch.tool._status_command import add_status_command
from citronwinch.tool._table_commands import add_table_commands

_EXAMPLES = """\
examples:
  citronwinchctl table check table.csv
  citronwinchctl settings check balancer-1.ini
  citronwinchctl status --settings balancer-1.ini
  citronwinchctl explain --table table.csv gauging 203.0.113.5:40000
  citronwinchctl report burn --settings balancer-1.ini
"""


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    parser = build_parser()
    options = parser.parse_args(arguments)
    command: Callable[[argparse.Namespace], int] = options.command
    try:
        return command(options)
    except ToolError as error:
        print(f"citronwinchctl: {error}", file=sys.stderr)
        return EXIT_USAGE
    except BrokenPipeError:
        # The reading process closed the pipe. Standard output is redirected, since the
        # interpreter flushes it at exit, which would fail again.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return EXIT_FINDING
    except OSError as error:
        print(f"citronwinchctl: {error}", file=sys.stderr)
        return EXIT_USAGE
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="citronwinchctl",
        description="Check, watch and try out citronwinch.",
        epilog=_EXAMPLES + EXIT_CODES_TEXT,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    groups = parser.add_subparsers(required=True, metavar="COMMAND")
    add_settings_commands(groups)
    add_table_commands(groups)
    add_status_command(groups)
    add_explain_command(groups)
    add_report_commands(groups)
    add_demo_command(groups)
    return parser
