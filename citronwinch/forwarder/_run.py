"""Starts a balancer or an agent from its settings file."""

import sys
from pathlib import Path

import trio

from citronwinch.coordination import InstanceRole
from citronwinch.forwarder._settings import parse_forwarder_settings
from citronwinch.operators import configure_logging

EXIT_OK = 0
"""Exit code after a requested stop."""

EXIT_SETTINGS = 2
"""Exit code when the settings are not usable."""


def run_forwarder(file: Path) -> int:
    """Run the process that a settings file describes; return its exit code."""
    configure_logging("json", sys.stdout)
    try:
        text = file.read_text()
    except (OSError, UnicodeDecodeError) as error:
        print(f"{file}: cannot be read: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    parsed = parse_forwarder_settings(text, str(file))
    if parsed.is_error():
        for problem in parsed.error:
            print(problem, file=sys.stderr)
        return EXIT_SETTINGS
    settings = parsed.ok
    if settings.role is InstanceRole.BALANCER:
        from citronwinch.forwarder._balancer_process import BalancerProcess

        trio.run(BalancerProcess(settings).run)
    else:
        from citronwinch.forwarder._agent_process import AgentProcess

        trio.run(AgentProcess(settings).run)
    return EXIT_OK
