"""Tests that the documentation shows the programs' actual output and names."""

import re
from pathlib import Path

import pytest

from citronwinch.forwarder import FORWARDER_SPECS
from citronwinch.operators import COLUMNS, METRIC_HELP, SETTING_SPECS
from citronwinch.operators._objectives import OBJECTIVE_KEYS
from citronwinch.tool import main
from citronwinch.tool._exit_codes import EXIT_CODES_TEXT

ROOT = Path(__file__).parents[3]
TUTORIAL = ROOT / "docs" / "TUTORIAL.md"
REFERENCE = (ROOT / "docs" / "REFERENCE.md").read_text()


def read_commands():
    """Return each command of the tutorial with its documented output."""
    commands = []
    for block in re.findall(r"```console\n(.*?)```", TUTORIAL.read_text(), re.S):
        for part in re.split(r"^\$ ", block, flags=re.M)[1:]:
            command, _, output = part.partition("\n")
            commands.append((command, output))
    return commands


@pytest.mark.parametrize("command", read_commands(), ids=lambda case: case[0][:60])
def test_tutorial_shows_what_the_tool_prints(capsys, monkeypatch, command):
    monkeypatch.chdir(ROOT)
    line, output = command
    program, *arguments = line.split()
    main(arguments)
    assert program == "citronwinchctl"
    assert capsys.readouterr().out == output


def test_tutorial_contains_commands():
    assert len(read_commands()) >= 7


REFERENCED = {
    "columns": COLUMNS,
    "settings": [spec.key for spec in SETTING_SPECS] + list(OBJECTIVE_KEYS),
    "forwarder settings": [spec.key for spec in FORWARDER_SPECS],
    "metrics": [f"citronwinch_{name}" for name in METRIC_HELP],
    "exit codes": re.findall(r"^  (\d+) ", EXIT_CODES_TEXT, re.M),
}


@pytest.mark.parametrize("kind", REFERENCED)
def test_reference_contains_all_names(kind):
    missing = [name for name in REFERENCED[kind] if f"`{name}`" not in REFERENCE]
    assert missing == []
