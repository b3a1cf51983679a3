"""The command `report burn`, which shows error budgets and burn rates."""

import argparse
from pathlib import Path
from typing import Any, NamedTuple

import trio

from citronwinch.tool._burn_picture import draw_picture
from citronwinch.tool._burn_report import (
    DaemonCounts,
    Latency,
    ObjectiveBurn,
    make_report,
    merge_latencies,
    parse_counts,
)
from citronwinch.tool._daemons import (
    DaemonAddress,
    ToolError,
    add_deployment_arguments,
    find_daemons,
    find_deployment,
    read_daemons,
    read_settings,
)
from citronwinch.tool._exit_codes import (
    EXIT_CODES_TEXT,
    EXIT_FINDING,
    EXIT_NO_DATA,
    EXIT_OK,
)
from citronwinch.tool._output import Progress, print_columns, print_json

OBSERVATION_LIMIT_S = 21_600
"""The longest observation time, in seconds."""

_EXAMPLES = """\
examples:
  citronwinchctl report burn --settings balancer-1.ini
  citronwinchctl report burn --settings balancer-1.ini --observe 60
  citronwinchctl report burn --settings balancer-1.ini --json
  citronwinchctl report burn --settings balancer-1.ini --picture burn.svg

The objectives are the [objective SERVICE] sections of the settings file. Daemons
keep counts of the last six hours in memory and lose them when they end. Where
counts are lacking the report says so; it never shows zero instead.
"""


class CollectedCounts(NamedTuple):
    """The counts read from all daemons."""

    before: list[DaemonCounts]
    """Counts at the start of the observation time; empty without an observation."""

    after: list[DaemonCounts]
    """Counts at the end, of the same daemons."""

    missing: list[str]
    """The daemons without counts, each with the reason."""


def add_report_commands(groups: Any) -> None:
    """Add the commands to the parser of the tool."""
    report = groups.add_parser("report", help="report on service levels")
    commands = report.add_subparsers(required=True, metavar="COMMAND")
    burn = commands.add_parser(
        "burn",
        help="show error budgets and how fast they burn",
        epilog=_EXAMPLES + EXIT_CODES_TEXT,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add_deployment_arguments(burn)
    burn.add_argument(
        "--observe",
        type=parse_seconds,
        default=0,
        metavar="SECONDS",
        help="also watch for this long and report on that time",
    )
    burn.add_argument(
        "--picture", type=Path, metavar="FILE", help="write an SVG or PNG picture"
    )
    burn.add_argument("--json", action="store_true", help="print JSON")
    burn.set_defaults(command=show_burn)


def parse_seconds(text: str) -> int:
    """Parse an observation time in seconds."""
    if not (text.isascii() and text.isdigit() and len(text) < 9):
        raise argparse.ArgumentTypeError("expected whole seconds")
    if int(text) > OBSERVATION_LIMIT_S:
        raise argparse.ArgumentTypeError(f"at most {OBSERVATION_LIMIT_S}")
    return int(text)


def show_burn(options: argparse.Namespace) -> int:
    """Print the burn rates of every objective."""
    if options.settings is None:
        raise ToolError("name a file with objectives: --settings FILE")
    objectives = read_settings(options.settings).objectives
    if not objectives:
        raise ToolError(f"{options.settings}: there is no [objective SERVICE] section")
    collected = trio.run(collect_counts, options)
    report = make_report(objectives, collected.after, collected.before)
    latencies = [
        merge_latencies(objective.service, collected.after) for objective in objectives
    ]
    if options.picture is not None:
        draw_picture(report, options.picture)
    known_latencies = [latency for latency in latencies if latency is not None]
    if options.json:
        print_json(format_report(report, known_latencies, collected.missing))
    else:
        print_report(report, known_latencies, collected.missing)
    if any(burn.alerts for burn in report):
        return EXIT_FINDING
    is_incomplete = bool(collected.missing) or any(burn.lacks for burn in report)
    return EXIT_NO_DATA if is_incomplete else EXIT_OK


async def collect_counts(options: argparse.Namespace) -> CollectedCounts:
    """Read the counts of all daemons, twice if an observation time is given."""
    daemons = await find_daemons(find_deployment(options))
    missing: dict[str, str] = {}
    before: dict[DaemonAddress, DaemonCounts] = {}
    if options.observe:
        before = await read_counts(daemons, missing)
        progress = Progress("observing")
        for second in range(options.observe):
            progress.update(second, options.observe, "s")
            await trio.sleep(1)
        progress.finish()
    after = await read_counts(daemons, missing)
    if options.observe:
        daemons = [daemon for daemon in daemons if daemon in before]
    answering = [daemon for daemon in daemons if daemon in after]
    return CollectedCounts(
        [before[daemon] for daemon in answering if daemon in before],
        [after[daemon] for daemon in answering],
        [f"{name}: {reason}" for name, reason in sorted(missing.items())],
    )


async def read_counts(
    daemons: list[DaemonAddress], missing: dict[str, str]
) -> dict[DaemonAddress, DaemonCounts]:
    """Return the counts by daemon; add the error of each other daemon to `missing`."""
    counts = {}
    for answer in await read_daemons(daemons, "/service-levels"):
        if answer.error:
            missing[answer.daemon.name] = answer.error
            continue
        try:
            counts[answer.daemon] = parse_counts(answer.body)
        except ValueError as error:
            missing[answer.daemon.name] = str(error)
    return counts


def format_report(
    report: list[ObjectiveBurn], latencies: list[Latency], missing: list[str]
) -> dict[str, Any]:
    """Return a report as JSON-compatible values."""
    objectives = [
        burn._asdict() | {"windows": [window._asdict() for window in burn.windows]}
        for burn in report
    ]
    return {
        "objectives": objectives,
        "latencies": [latency._asdict() for latency in latencies],
        "daemons_without_answer": missing,
    }


def print_report(
    report: list[ObjectiveBurn], latencies: list[Latency], missing: list[str]
) -> None:
    """Print a report as text."""
    if report:
        names = [window.name for window in report[0].windows]
        header = ["service", "objective", *names, "budget left", "alert"]
        print_columns(header, [_make_cells(burn) for burn in report])
    for latency in latencies:
        print(
            f"answers of {latency.service} since the daemons started: "
            f"{latency.answers}, p50 {latency.p50_ms} ms, p99 {latency.p99_ms} ms, "
            f"max {latency.max_ms} ms"
        )
    for burn in report:
        for lack in burn.lacks:
            print(f"data is lacking: {burn.service}, {burn.kind}: {lack}")
    for daemon in missing:
        print(f"data is lacking: {daemon}")


def _make_cells(burn: ObjectiveBurn) -> list[str]:
    rates = [
        "no data" if window.burn is None else f"{window.burn:.2f}"
        for window in burn.windows
    ]
    left = "no data" if burn.budget_left is None else f"{burn.budget_left:.0%}"
    objective = f"{burn.objective_percent:g} % {burn.kind}"
    return [burn.service, objective, *rates, left, ", ".join(burn.alerts) or "-"]
