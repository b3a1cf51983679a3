"""The command `demo`."""

import argparse
from typing import Any

from citronwinch.demo import DEPLOYMENTS, DemoOptions, run_demo
from citronwinch.tool._exit_codes import EXIT_CODES_TEXT, EXIT_FINDING, EXIT_OK
from citronwinch.tool._output import print_json

_EXAMPLES = """\
examples:
  citronwinchctl demo
  citronwinchctl demo --deployment nautica --json
"""


def add_demo_command(groups: Any) -> None:
    """Add the command to the parser of the tool."""
    parser = groups.add_parser(
        "demo",
        help="run the whole path on loopback while everything changes",
        epilog=_EXAMPLES + EXIT_CODES_TEXT,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="derwent")
    parser.add_argument("--seed", type=int, default=1, help="seeds the traffic")
    parser.add_argument(
        "--base-port",
        type=int,
        choices=range(1_024, 65_000),
        default=DemoOptions().base_port,
        metavar="PORT",
        help="first port that is used on 127.0.0.0/16 (default: free ports)",
    )
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.set_defaults(command=show_demo)


def show_demo(options: argparse.Namespace) -> int:
    """Run the demo and print what happened."""
    demo_deployment = DEPLOYMENTS[options.deployment]
    result = run_demo(demo_deployment, DemoOptions(options.seed, options.base_port))
    if options.json:
        print_json(result._asdict())
    else:
        for name, value in result._asdict().items():
            print(f"{name.replace('_', ' '):<16} {value}")
    is_successful = not (result.broken_flows or result.doubled or result.misdirected)
    return EXIT_OK if is_successful else EXIT_FINDING
