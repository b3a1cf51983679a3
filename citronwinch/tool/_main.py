"""The entry point of the command-line tool."""

import argparse
import sys
from collections.abc import Callable
from pathlib import Path

import orjson

from citronwinch.demo import DEPLOYMENTS, DemoOptions, run_demo
from citronwinch.operators import parse_settings, parse_table

EXIT_OK = 0
"""Everything is as it should be."""

EXIT_FINDING = 1
"""The command ran and found something wrong."""

EXIT_USAGE = 2
"""The command could not run: bad arguments or an unreadable file."""


def main(arguments: list[str] | None = None) -> int:
    """Run one command and return its exit code."""
    parser = build_parser()
    options = parser.parse_args(arguments)
    command: Callable[[argparse.Namespace], int] = options.command
    try:
        return command(options)
    except OSError as error:
        print(f"citronwinchctl: {error}", file=sys.stderr)
        return EXIT_USAGE


def build_parser() -> argparse.ArgumentParser:
    """Return the parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="citronwinchctl", description="Check, watch and try out citronwinch."
    )
    groups = parser.add_subparsers(required=True)
    settings = groups.add_parser("settings", help="work on settings files")
    settings_commands = settings.add_subparsers(required=True)
    check = settings_commands.add_parser("check", help="check settings files")
    check.add_argument("files", type=Path, nargs="+")
    check.set_defaults(command=check_settings)
    table = groups.add_parser("table", help="work on tables")
    table_commands = table.add_subparsers(required=True)
    check = table_commands.add_parser("check", help="check a table")
    check.add_argument("file", type=Path)
    check.set_defaults(command=check_table)
    demo = groups.add_parser("demo", help="run the whole path on loopback")
    demo.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="derwent")
    demo.add_argument("--seed", type=int, default=1)
    demo.add_argument("--json", action="store_true", help="print the result as JSON")
    demo.set_defaults(command=show_demo)
    return parser


def check_settings(options: argparse.Namespace) -> int:
    """Check settings files and print every mistake."""
    exit_code = EXIT_OK
    for file in options.files:
        parsed = parse_settings(file.read_text(), str(file))
        if parsed.is_error():
            exit_code = EXIT_FINDING
            for problem in parsed.error:
                print(problem)
    return exit_code


def check_table(options: argparse.Namespace) -> int:
    """Check a table and print every mistake."""
    parsed = parse_table(options.file.read_text(), 1)
    if parsed.is_error():
        for problem in parsed.error:
            print(f"{options.file}: {problem}")
        return EXIT_FINDING
    print(f"{options.file}: {len(parsed.ok.rows)} rows, no mistakes")
    return EXIT_OK


def show_demo(options: argparse.Namespace) -> int:
    """Run the demo and print what happened."""
    shape = DEPLOYMENTS[options.deployment]
    result = run_demo(shape, DemoOptions(seed=options.seed))
    if options.json:
        print(orjson.dumps(result._asdict()).decode())
    else:
        for name, value in result._asdict().items():
            print(f"{name.replace('_', ' '):<16} {value}")
    is_sound = not (result.broken_flows or result.doubled or result.misdirected)
    return EXIT_OK if is_sound else EXIT_FINDING
