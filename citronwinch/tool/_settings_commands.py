"""The command `settings check`."""

import argparse
from pathlib import Path
from typing import Any

from citronwinch.operators import Settings, SettingsProblem, parse_settings
from citronwinch.tool._exit_codes import EXIT_CODES_TEXT, EXIT_FINDING, EXIT_OK
from citronwinch.tool._instance_check import check_instance
from citronwinch.tool._output import print_json

_EXAMPLES = """\
examples:
  citronwinchctl settings check /etc/citronwinch/balancer-1.ini
  citronwinchctl settings check --instance /etc/citronwinch/agent.ini
  citronwinchctl settings check --json *.ini

With --instance, run it on the instance before the daemon starts: it also says
what the instance lacks, such as a TUN device for TCP services.
"""


def add_settings_commands(groups: Any) -> None:
    """Add the commands to the parser of the tool."""
    settings = groups.add_parser("settings", help="check settings files")
    commands = settings.add_subparsers(required=True, metavar="COMMAND")
    check = commands.add_parser(
        "check",
        help="report every mistake in settings files",
        epilog=_EXAMPLES + EXIT_CODES_TEXT,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    check.add_argument("files", type=Path, nargs="+", help="INI files")
    check.add_argument(
        "--instance",
        action="store_true",
        help="also say what this instance lacks for these settings",
    )
    check.add_argument("--json", action="store_true", help="print JSON")
    check.set_defaults(command=check_settings)


def check_settings(options: argparse.Namespace) -> int:
    """Check settings files and print every problem."""
    problems: list[SettingsProblem] = []
    instance_problems: list[str] = []
    for file in options.files:
        settings, found = read_settings_file(file)
        problems += found
        if settings is not None and options.instance:
            instance_problems += [
                f"{file}: {sentence}" for sentence in check_instance(settings)
            ]
    if options.json:
        found_fields = [problem._asdict() for problem in problems]
        print_json({"problems": found_fields, "instance_lacks": instance_problems})
    else:
        for line in [*map(str, problems), *instance_problems]:
            print(line)
        if not problems and not instance_problems:
            print(f"{len(options.files)} files, no mistakes")
    return EXIT_FINDING if problems or instance_problems else EXIT_OK


def read_settings_file(
    file: Path,
) -> tuple[Settings | None, list[SettingsProblem]]:
    """Read settings from a file; without settings, return every problem."""
    data = file.read_bytes()
    try:
        text = data.decode("utf-8-sig")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        found = f"byte {data[error.start]:#04x}"
        return None, [SettingsProblem(str(file), line, "file", found, "UTF-8 text")]
    parsed = parse_settings(text, str(file))
    return (None, parsed.error) if parsed.is_error() else (parsed.ok, [])
