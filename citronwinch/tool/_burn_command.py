"""The command `report burn`."""

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

OBSERVATION_LIMIT_SECONDS = 21_600
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


class Gathered(NamedTuple):
    """What the daemons told."""

    before: list[DaemonCounts]
    """Their counts at the start of the observation; empty without one."""

    after: list[DaemonCounts]
    """Their counts now."""

    missing: list[str]
    """The daemons that told nothing, and why."""


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
    """Read a time argument."""
    if not (text.isascii() and text.isdigit() and len(text) < 9):
        raise argparse.ArgumentTypeError("expected whole seconds")
    if int(text) > OBSERVATION_LIMIT_SECONDS:
        raise argparse.ArgumentTypeError(f"at most {OBSERVATION_LIMIT_SECONDS}")
    return int(text)


def show_burn(options: argparse.Namespace) -> int:
    """Print the burn of every objective."""
    if options.settings is None:
        raise ToolError("name a file with objectives: --settings FILE")
    objectives = read_settings(options.settings).objectives
    if not objectives:
        raise ToolError(f"{options.settings}: there is no [objective SERVICE] section")
    gathered = trio.run(gather, options)
    report = make_report(objectives, gathered.after, gathered.before)
    latencies = [
        merge_latencies(objective.service, gathered.after) for objective in objectives
    ]
    if options.picture is not None:
        draw_picture(report, options.picture)
    known = [latency for latency in latencies if latency is not None]
    if options.json:
        print_json(format_report(report, known, gathered.missing))
    else:
        print_report(report, known, gathered.missing)
    if any(burn.alerts for burn in report):
        return EXIT_FINDING
    is_lacking = bool(gathered.missing) or any(burn.lacks for burn in report)
    return EXIT_NO_DATA if is_lacking else EXIT_OK


async def gather(options: argparse.Namespace) -> Gathered:
    """Read the counts of all daemons, twice when there is an observation time."""
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
    known = [daemon for daemon in daemons if daemon in after]
    return Gathered(
        [before[daemon] for daemon in known if daemon in before],
        [after[daemon] for daemon in known],
        [f"{name}: {reason}" for name, reason in sorted(missing.items())],
    )


async def read_counts(
    daemons: list[DaemonAddress], missing: dict[str, str]
) -> dict[DaemonAddress, DaemonCounts]:
    """Return the counts by daemon; note in `missing` who told nothing."""
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
    """Return a report as plain values."""
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
    """Print a report for a reader."""
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
