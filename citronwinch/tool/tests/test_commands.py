"""Tests of exit codes and output of the commands that read only files."""

import subprocess
import sys
from pathlib import Path

import orjson
import pytest

from citronwinch.tool import build_parser, main

EXAMPLES = Path(__file__).parents[3] / "examples"
TABLE = EXAMPLES / "derwent" / "table.csv"
CALLER = "203.0.113.5:40000"


def run(capsys, *arguments):
    exit_code = main([str(argument) for argument in arguments])
    captured = capsys.readouterr()
    return exit_code, captured.out + captured.err


@pytest.mark.parametrize("site", ["derwent", "nautica"])
def test_example_deployment_has_no_problems(capsys, site):
    settings = sorted((EXAMPLES / site).glob("*.ini"))
    exit_code, output = run(capsys, "settings", "check", *settings)
    assert (exit_code, output) == (0, "2 files, no mistakes\n")
    exit_code, output = run(capsys, "table", "check", EXAMPLES / site / "table.csv")
    assert exit_code == 0
    assert output.endswith("10 rows, 2 services, no mistakes\n")


def test_table_check_gives_problems_as_json(capsys, tmp_path):
    table = tmp_path / "table.csv"
    table.write_text(TABLE.read_text().replace(",100,2000", ",x,2000", 1))
    exit_code, output = run(capsys, "table", "check", "--json", table)
    (problem,) = orjson.loads(output)["problems"]
    assert exit_code == 1
    assert (problem["row"], problem["column"], problem["found"]) == (2, "weight", "x")


UNREADABLE = {
    "latin-1 table": ["table", "check", b"n\xe1utica"],
    "latin-1 settings": ["settings", "check", b"[n\xe1utica]"],
    "binary table": ["table", "check", bytes(range(256))],
    "empty settings": ["settings", "check", b""],
}


@pytest.mark.parametrize("case", UNREADABLE.values(), ids=UNREADABLE.keys())
def test_unreadable_file_is_a_finding(capsys, tmp_path, case):
    *command, data = case
    file = tmp_path / "file"
    file.write_bytes(data)
    exit_code, output = run(capsys, *command, file)
    assert exit_code == 1
    assert output.startswith(str(file))


USAGE_ERRORS = {
    "absent file": ["table", "check", "/nonexistent"],
    "directory": ["settings", "check", "/"],
    "no such service": ["explain", "--table", TABLE, "nothing", CALLER],
    "other IP version": ["explain", "--table", TABLE, "gauging", "[2001:db8::1]:4"],
    "nowhere to look": ["status"],
    "wrong table to show": ["table", "show", TABLE, "--service", "nothing"],
}


@pytest.mark.parametrize("case", USAGE_ERRORS.values(), ids=USAGE_ERRORS.keys())
def test_command_that_cannot_run_prints_the_reason(capsys, case):
    exit_code, output = run(capsys, *case)
    assert exit_code == 2
    assert output.startswith("citronwinchctl: ")


EDITS = {
    "same": ("", "", 0, "the tables are the same"),
    "drained": (",100,2000", ",0,2000", 1, "drains: gets no new flows"),
    "weight": (",100,2000", ",50,2000", 1, "a smaller share of new flows"),
    "limit": (",100,2000", ",100,10", 1, "takes no new flows while"),
    "address": ("10.20.1.10", "10.20.1.99", 1, "go to the new address"),
    "renamed": ("gauging-1,", "gauging-8,", 1, "removed gauging-1 (gauging)"),
    "moved": (
        "gauging,udp,192.0.2.10:5000,gauging-1",
        "reporting,udp,192.0.2.11:5001,gauging-1",
        1,
        "flows of gauging keep the service",
    ),
}


@pytest.mark.parametrize("case", EDITS.values(), ids=EDITS.keys())
def test_table_diff_shows_the_effect(capsys, tmp_path, case):
    old, new, expected_code, expected = case
    edited = tmp_path / "table.csv"
    edited.write_text(TABLE.read_text().replace(old, new, 1))
    exit_code, output = run(capsys, "table", "diff", TABLE, edited)
    assert exit_code == expected_code
    assert expected in output


def test_table_show_prints_shares(capsys):
    _, output = run(capsys, "table", "show", TABLE, "--service", "reporting")
    assert [line.split()[-1] for line in output.splitlines()] == ["share"] + [
        "33.3%"
    ] * 3


def test_explanation_ranks_all_candidates(capsys, tmp_path):
    table = tmp_path / "table.csv"
    table.write_text(TABLE.read_text().replace(",100,2000", ",0,2000", 1))
    command = ["explain", "--table", table, "--json", "gauging", CALLER]
    _, output = run(capsys, *command)
    explanation = orjson.loads(output)
    candidates = explanation["candidates"]
    assert [candidate["place"] for candidate in candidates] == [1, 2, 3, 4, 5, 6, 0]
    assert candidates[0]["backend_server"] == explanation["decider"]
    assert candidates[-1]["backend_server"] == "gauging-1"
    assert "no daemon was asked" in explanation["reason"]
    assert run(capsys, *command)[1] == output


def test_explanation_without_usable_backend_server(capsys, tmp_path):
    table = tmp_path / "table.csv"
    table.write_text(TABLE.read_text().replace(",100,2000", ",0,2000"))
    _, output = run(capsys, "explain", "--table", table, "gauging", CALLER)
    assert "decider   none" in output
    assert "a new flow is refused" in output


def list_parsers(parser):
    yield parser
    for action in parser._actions:
        choices = action.choices if isinstance(action.choices, dict) else {}
        for child in choices.values():
            yield from list_parsers(child)


def test_every_command_shows_examples_and_exit_codes():
    for parser in list_parsers(build_parser()):
        if parser.get_default("command"):
            assert "examples:" in parser.format_help(), parser.prog
            assert "exit codes:" in parser.format_help(), parser.prog


def test_closed_pipe_prints_no_traceback():
    program = "from citronwinch.tool import main; raise SystemExit(main())"
    command = [sys.executable, "-c", program, "table", "show", str(TABLE)]
    reader = subprocess.Popen(["true"], stdin=subprocess.PIPE)
    reader.wait()
    finished = subprocess.run(
        command, stdout=reader.stdin, stderr=subprocess.PIPE, check=False
    )
    assert b"Traceback" not in finished.stderr
