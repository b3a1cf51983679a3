"""The entry point of the daemon."""

import argparse
import sys
from pathlib import Path

import trio

from citronwinch.coordination import InstanceRole
from citronwinch.daemon._agent_process import AgentProcess
from citronwinch.daemon._balancer_process import BalancerProcess
from citronwinch.operators import Settings, configure_logging, parse_settings

EXIT_SETTINGS = 2
"""Exit code when the settings are not usable."""


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon; return its exit code."""
    parser = argparse.ArgumentParser(
        prog="citronwinchd",
        description="Run a balancer or an agent, as its settings say.",
        epilog="example: citronwinchd /etc/citronwinch/balancer-1.ini",
    )
    parser.add_argument("settings", type=Path, help="the INI file of this instance")
    options = parser.parse_args(arguments)
    try:
        text = options.settings.read_text()
    except (OSError, UnicodeDecodeError) as error:
        print(f"{options.settings}: cannot be read: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    parsed = parse_settings(text, str(options.settings))
    if parsed.is_error():
        for problem in parsed.error:
            print(problem, file=sys.stderr)
        return EXIT_SETTINGS
    configure_logging(parsed.ok.log_format)
    trio.run(create_process(parsed.ok).run)
    return 0


def create_process(settings: Settings) -> BalancerProcess | AgentProcess:
    """Return the process of the role that the settings name."""
    if settings.role is InstanceRole.BALANCER:
        return BalancerProcess(settings)
    return AgentProcess(settings)
