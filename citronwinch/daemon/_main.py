"""The entry point of the daemon."""

import argparse
import sys
from pathlib import Path

import trio

from citronwinch.coordination import InstanceRole
from citronwinch.daemon._agent_process import AgentProcess
from citronwinch.daemon._balancer_process import BalancerProcess
from citronwinch.operators import Settings, configure_logging, parse_settings

EXIT_OK = 0
"""Exit code after a graceful shutdown."""

EXIT_SYSTEM = 1
"""Exit code when the instance lacks a resource, such as a listening address."""

EXIT_SETTINGS = 2
"""Exit code when the settings file is unreadable or invalid."""

_EPILOG = """\
example: citronwinchd /etc/citronwinch/balancer-1.ini

exit codes:
  0    ended after a graceful shutdown
  1    the instance does not give what is needed, such as a listening address
  2    the settings are not usable; citronwinchctl settings check FILE says why
"""


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon; return its exit code."""
    parser = argparse.ArgumentParser(
        prog="citronwinchd",
        description="Run a balancer or an agent, as its settings say.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("settings", type=Path, help="the INI file of this instance")
    options = parser.parse_args(arguments)
    try:
        text = options.settings.read_bytes().decode("utf-8-sig")
    except (OSError, UnicodeDecodeError) as error:
        print(f"{options.settings}: cannot be read: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    parsed = parse_settings(text, str(options.settings))
    if parsed.is_error():
        for problem in parsed.error:
            print(problem, file=sys.stderr)
        return EXIT_SETTINGS
    configure_logging(parsed.ok.log_format)
    return run_process(parsed.ok, str(options.settings))


def run_process(settings: Settings, file: str) -> int:
    """Run a process and return its exit code; print the resources that it lacks."""
    errors: list[OSError] = []
    try:
        trio.run(create_process(settings).run)
    except* OSError as group:
        errors = list_errors(group)
    for failure in errors:
        print(f"{file}: cannot run: {failure}", file=sys.stderr)
    return EXIT_SYSTEM if errors else EXIT_OK


def list_errors(group: BaseExceptionGroup[OSError]) -> list[OSError]:
    """Return the errors in a group, including those in nested groups."""
    errors: list[OSError] = []
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            errors += list_errors(error)
        else:
            errors.append(error)
    return errors


def create_process(settings: Settings) -> BalancerProcess | AgentProcess:
    """Return a new process for the role in the settings."""
    if settings.role is InstanceRole.BALANCER:
        return BalancerProcess(settings)
    return AgentProcess(settings)
