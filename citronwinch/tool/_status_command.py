"""The command `status`."""

import argparse
from typing import Any

import trio

from citronwinch.tool._daemons import (
    DaemonAnswer,
    add_deployment_arguments,
    find_daemons,
    find_deployment,
    read_daemons,
)
from citronwinch.tool._exit_codes import (
    EXIT_CODES_TEXT,
    EXIT_FINDING,
    EXIT_NO_DATA,
    EXIT_OK,
)
from citronwinch.tool._output import print_columns, print_json

_EXAMPLES = """\
examples:
  citronwinchctl status --settings balancer-1.ini
  citronwinchctl status --platform 192.0.2.9:80 --json
  citronwinchctl status --daemon 192.0.2.1:7001 --daemon 192.0.2.2:7001
"""

_COLUMNS = ("name", "role", "state", "revision", "flows", "instances")


def add_status_command(groups: Any) -> None:
    """Add the command to the parser of the tool."""
    parser = groups.add_parser(
        "status",
        help="show every daemon: state, table revision, flows",
        epilog=_EXAMPLES + EXIT_CODES_TEXT,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    add_deployment_arguments(parser)
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(command=show_status)


def show_status(options: argparse.Namespace) -> int:
    """Print the status of every daemon and findings across all daemons."""
    answers = trio.run(_read_status, options)
    findings = collect_findings(answers)
    if options.json:
        daemons = [
            {"address": str(answer.daemon.address), "error": answer.error}
            | (answer.body or {"name": answer.daemon.name})
            for answer in answers
        ]
        print_json({"daemons": daemons, "findings": findings})
    else:
        print_columns(_COLUMNS, [_make_cells(answer) for answer in answers])
        for finding in findings:
            print(f"note: {finding}")
    if any(answer.error for answer in answers):
        return EXIT_NO_DATA
    return EXIT_FINDING if findings else EXIT_OK


async def _read_status(options: argparse.Namespace) -> list[DaemonAnswer]:
    daemons = await find_daemons(find_deployment(options))
    return await read_daemons(daemons, "/status")


def _make_cells(answer: DaemonAnswer) -> list[str]:
    if answer.error:
        unknown = ["-"] * (len(_COLUMNS) - 3)
        return [answer.daemon.name, answer.daemon.role or "-", "no answer", *unknown]
    return [str(answer.body.get(column, "-")) for column in _COLUMNS]


def collect_findings(answers: list[DaemonAnswer]) -> list[str]:
    """Return the findings that an operator should examine."""
    bodies = [answer.body for answer in answers if not answer.error]
    findings = [
        f"{answer.daemon.name} at {answer.daemon.address}: {answer.error}"
        for answer in answers
        if answer.error
    ]
    findings += [
        f"{body['name']} is {body['state']}"
        for body in bodies
        if body["state"] != "ready"
    ]
    highest_revision = max((body["revision"] for body in bodies), default=0)
    outdated = [body["name"] for body in bodies if body["revision"] < highest_revision]
    if outdated:
        findings.append(f"behind revision {highest_revision}: {', '.join(outdated)}")
    return findings + find_digest_mismatches(bodies, highest_revision)


def find_digest_mismatches(bodies: list[Any], revision: int) -> list[str]:
    """Return a finding for each scope whose content differs between daemons.

    Only daemons at the given revision are compared. A scope is a service. It is empty
    for a balancer, which has the whole table, and for an agent without any row.
    """
    digests: dict[str, set[str]] = {}
    for body in bodies:
        if body["revision"] == revision:
            digests.setdefault(body.get("scope", ""), set()).add(body["digest"])
    return [
        f"revision {revision} has {len(found)} contents for {scope or 'all services'}"
        for scope, found in sorted(digests.items())
        if len(found) > 1
    ]
