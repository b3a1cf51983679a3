"""The command `explain`, which shows where a flow goes and the reason."""

import argparse
from pathlib import Path
from typing import Any, NamedTuple
from urllib.parse import urlencode

import trio

from citronwinch.coordination import (
    Endpoint,
    Flow,
    Table,
    TableRow,
    rank_candidates,
    score_candidate,
)
from citronwinch.tool._daemons import (
    DaemonAnswer,
    ToolError,
    add_deployment_arguments,
    find_daemons,
    find_deployment,
    parse_endpoint,
    read_daemons,
)
from citronwinch.tool._exit_codes import EXIT_CODES_TEXT, EXIT_NO_DATA, EXIT_OK
from citronwinch.tool._output import print_columns, print_json
from citronwinch.tool._table_commands import load_platform_table, load_table

_EXAMPLES = """\
examples:
  citronwinchctl explain --table table.csv gauging 203.0.113.5:40000
  citronwinchctl explain --settings balancer-1.ini gauging 203.0.113.5:40000
  citronwinchctl explain --platform 192.0.2.9:80 --json dock [2001:db8::5]:40000

With --table the answer comes from the file alone. Otherwise the table is the one
that the platform holds, and the daemons are asked who owns the flow.
"""


class Candidate(NamedTuple):
    """One backend server in the ranking for a flow."""

    place: int
    """Its rank, from 1; 0 for a backend server with weight 0, which is not ranked."""

    backend_server: str
    """The backend server's name."""

    availability_zone: str
    """The backend server's availability zone."""

    weight: int
    """The weight in the table."""

    reason: str
    """The reason for the rank."""


class Explanation(NamedTuple):
    """The ranking of backend servers for a flow, and its owner."""

    service: str
    """The service's name."""

    flow: Flow
    """The flow in question."""

    revision: int
    """The table's revision; 0 for a table from a file."""

    candidates: list[Candidate]
    """All backend servers of the service, the highest rank first."""

    decider: str
    """The backend server whose agent decides about a new flow; empty without one."""

    owner: str
    """The backend server that owns the flow now; empty if unknown."""

    unanswered: list[str]
    """The names of the daemons that did not answer."""

    reason: str
    """A sentence that explains the outcome."""


def add_explain_command(groups: Any) -> None:
    """Add the command to the parser of the tool."""
    parser = groups.add_parser(
        "explain",
        help="say where a flow goes, who decides, who owns it, and why",
        epilog=_EXAMPLES + EXIT_CODES_TEXT,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("service", help="the service's name")
    parser.add_argument("caller", type=parse_endpoint, help="the caller's address")
    parser.add_argument("--table", type=Path, metavar="FILE", help="a table as CSV")
    add_deployment_arguments(parser)
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(command=show_explanation)


def show_explanation(options: argparse.Namespace) -> int:
    """Print where a flow goes and the reason."""
    table = load_table(options.table) if options.table else load_platform_table(options)
    flow = find_flow(table, options.service, options.caller)
    answers: list[DaemonAnswer] = []
    if options.table is None:
        answers = trio.run(_query_daemons, options, flow)
    revision = 0 if options.table else table.revision
    explanation = explain(table, revision, options.service, flow, answers)
    if options.json:
        print_json(format_explanation(explanation))
    else:
        print_explanation(explanation)
    return EXIT_NO_DATA if explanation.unanswered else EXIT_OK


def find_flow(table: Table, service: str, caller: Endpoint) -> Flow:
    """Return the flow of a caller to a service; raise ToolError if it cannot exist."""
    rows = table.rows_by_service.get(service)
    if not rows:
        known = ", ".join(table.rows_by_service) or "none"
        raise ToolError(f"no service {service!r}; the table has {known}")
    address = rows[0].service_address
    if (":" in address.ip) != (":" in caller.ip):
        raise ToolError(f"{caller} cannot send to {address}: different IP versions")
    return Flow(rows[0].protocol, caller, address)


async def _query_daemons(options: argparse.Namespace, flow: Flow) -> list[DaemonAnswer]:
    query = {
        "protocol": flow.protocol.name.lower(),
        "caller": str(flow.caller),
        "service": str(flow.service),
    }
    daemons = await find_daemons(find_deployment(options))
    return await read_daemons(daemons, f"/flow?{urlencode(query)}")


def explain(
    table: Table,
    revision: int,
    service: str,
    flow: Flow,
    answers: list[DaemonAnswer],
) -> Explanation:
    """Explain a flow from a table and the answers of daemons, if any."""
    rows = table.rows_by_service[service]
    ranked = rank_candidates(flow.key, rows)
    total = sum(row.weight for row in ranked)
    candidates = [
        Candidate(
            place,
            row.backend_server,
            row.availability_zone,
            row.weight,
            f"score {score_candidate(flow.key, row) * total:.3f}, "
            f"first for {row.weight / total:.1%} of flows",
        )
        for place, row in enumerate(ranked, 1)
    ]
    candidates += [
        Candidate(
            0, row.backend_server, row.availability_zone, 0, "weight 0: no new flows"
        )
        for row in rows
        if not row.weight
    ]
    decider = ranked[0].backend_server if ranked else ""
    owner = find_owner(answers)
    unanswered = [answer.daemon.name for answer in answers if answer.error]
    reason = describe_outcome(rows, decider, owner, is_offline=not answers)
    return Explanation(
        service, flow, revision, candidates, decider, owner, unanswered, reason
    )


def find_owner(answers: list[DaemonAnswer]) -> str:
    """Return the owner that the daemons report, empty without one.

    An agent that reports itself as the owner takes precedence.
    """
    reported_owners = [
        (answer.daemon.name, answer.body["owner"]) for answer in answers if answer.body
    ]
    self_reported = [
        owner for name, owner in reported_owners if owner and owner == name
    ]
    all_reported = [owner for _, owner in reported_owners if owner]
    return str((self_reported or all_reported or [""])[0])


def describe_outcome(
    rows: tuple[TableRow, ...], decider: str, owner: str, *, is_offline: bool
) -> str:
    """Return a sentence that explains the outcome."""
    if not decider:
        new_flow_text = (
            f"all {len(rows)} backend servers have weight 0, so a new flow is refused"
        )
    else:
        new_flow_text = (
            f"a new flow is decided by the agent beside {decider}, which has the "
            "lowest score; it takes the flow, or passes it on when it is full or loaded"
        )
    if is_offline:
        return f"{new_flow_text}; no daemon was asked who owns the flow"
    if not owner:
        return f"{new_flow_text}; no daemon that answered holds this flow"
    if owner == decider:
        return f"the flow is established on {owner}, which also decides for it"
    weights = {row.backend_server: row.weight for row in rows}
    if owner not in weights:
        cause = "it is no longer in the table and keeps its established flows"
    elif not weights[owner]:
        cause = "it drains and keeps its established flows"
    else:
        cause = (
            f"{decider} passed the flow on, or the table changed after it was opened"
        )
    return f"the flow is established on {owner}: {cause}; {new_flow_text}"


def format_explanation(explanation: Explanation) -> dict[str, Any]:
    """Return an explanation as JSON-compatible values."""
    flow = explanation.flow
    return explanation._asdict() | {
        "candidates": [candidate._asdict() for candidate in explanation.candidates],
        "flow": {
            "protocol": flow.protocol.name.lower(),
            "caller": str(flow.caller),
            "service": str(flow.service),
        },
    }


def print_explanation(explanation: Explanation) -> None:
    """Print an explanation as text."""
    flow = explanation.flow
    source = f"revision {explanation.revision}" if explanation.revision else "a file"
    print(f"flow      {flow.protocol.name.lower()} {flow.caller} -> {flow.service}")
    print(f"service   {explanation.service}, table from {source}")
    print(f"decider   {explanation.decider or 'none'}")
    print(f"owner     {explanation.owner or 'not known'}")
    print(f"reason    {explanation.reason}")
    for name in explanation.unanswered:
        print(f"note      {name} gave no answer")
    print()
    header = ("place", "backend_server", "availability_zone", "weight", "reason")
    cells = [
        (candidate.place or "-", *candidate[1:]) for candidate in explanation.candidates
    ]
    print_columns(header, cells)
