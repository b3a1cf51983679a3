"""Tests that CSV tables are parsed and that every problem names its row and column."""

import pytest
from hypothesis import example, given, settings, strategies as st

from citronwinch.operators import COLUMNS, decode_table, format_table, parse_table

HEADER = ",".join(COLUMNS)
ROW = "gauging,udp,192.0.2.1:5000,g1,198.51.100.1:6000,a,10,2000"
SECOND = "gauging,udp,192.0.2.1:5000,g2,198.51.100.2:6000,a,10,2000"

ACCEPTED = {
    "plain": f"{HEADER}\n{ROW}\n",
    "byte order mark": f"\ufeff{HEADER}\n{ROW}\n",
    "windows line ends": f"{HEADER}\r\n{ROW}\r\n",
    "no last line end": f"{HEADER}\n{ROW}",
    "quoted cells": HEADER + "\n" + ",".join(f'"{c}"' for c in ROW.split(",")),
    "semicolons": f"{HEADER};;\n{ROW};;\n".replace(",", ";"),
    "tabs": f"{HEADER}\n{ROW}\n".replace(",", "\t"),
    "blank rows": f"\n{HEADER}\n,,,,,,,\n\n{ROW}\n,,,,,,,,,\n",
    "empty cells at the end": f"{HEADER},,\n{ROW},,\n",
    "spaces": f"{HEADER}\n{ROW.replace(',', ' , ')} \n",
    "header as a title": HEADER.replace("_", " ").title() + f"\n{ROW}\n",
    "decimal point": f"{HEADER}\n{ROW.replace(',10,2000', ',10.0,2000.00')}\n",
    "capitals": f"{HEADER}\n{ROW.replace('udp', 'UDP')}\n",
}


@pytest.mark.parametrize("text", ACCEPTED.values(), ids=ACCEPTED.keys())
def test_spreadsheet_variants_parse_to_the_same_table(text):
    decoded = decode_table(text.encode())
    assert parse_table(decoded.ok, 1).ok == parse_table(f"{HEADER}\n{ROW}\n", 1).ok


def change(old, new):
    return f"{HEADER}\n{ROW.replace(old, new)}\n"


REJECTED = {
    "no header": (ROW, (1, ""), "the header"),
    "empty": ("", (1, ""), "the header"),
    "missing column": (HEADER.replace(",weight", ""), (1, ""), "the header"),
    "too few cells": (f"{HEADER}\n{ROW[:-5]}\n", (2, ""), "8 cells"),
    "too many cells": (f"{HEADER}\n{ROW},x\n", (2, ""), "8 cells"),
    "thousands": (change("2000", '"2,000"'), (2, "connection_limit"), "digits only"),
    "fraction": (change(",10,", ",10.5,"), (2, "weight"), "a whole number 0 to 1000"),
    "negative": (change(",10,", ",-1,"), (2, "weight"), "a whole number"),
    "other digits": (change(",10,", ",\u0661\u0660,"), (2, "weight"), "a whole number"),
    "zero limit": (change("2000", "0"), (2, "connection_limit"), "1 to 1000000"),
    "protocol": (change("udp", "sctp"), (2, "protocol"), "tcp or udp"),
    "no port": (change(":5000", ""), (2, "service_address"), "address:port"),
    "port 0": (change(":5000", ":0"), (2, "service_address"), "a port from 1"),
    "host name": (change("192.0.2.1", "host"), (2, "service_address"), "IP number"),
    "any address": (change("192.0.2.1", "0.0.0.0"), (2, "service_address"), "one inst"),
    "scope": (change("192.0.2.1", "[fe80::1%e0]"), (2, "service_address"), "a scope"),
    "NUL": (change("g1", "g\0"), (2, "backend_server"), "letters, digits"),
    "long name": (change("g1", "g" * 64), (2, "backend_server"), "1 to 63 letters"),
    "open quote": (f'{HEADER}\n"{ROW}\n', (0, ""), "well-formed CSV"),
    "huge cell": (change("g1", "g" * 200_000), (0, ""), "well-formed CSV"),
    "repeated row": (f"{HEADER}\n{ROW}\n{ROW}\n", (3, ""), "same as row 2"),
    "name twice": (
        f"{HEADER}\n{ROW}\n{SECOND.replace('g2', 'g1')}\n",
        (3, "backend_server"),
        "also in row 2",
    ),
    "other service address": (
        f"{HEADER}\n{ROW}\n{SECOND.replace('5000', '5001')}\n",
        (3, "service_address"),
        "192.0.2.1:5000 as in row 2",
    ),
    "address of another service": (
        f"{HEADER}\n{ROW}\n{SECOND.replace('gauging', 'reporting')}\n",
        (3, "service_address"),
        "uses it for gauging",
    ),
    "tcp over two IP versions": (
        change("udp,192.0.2.1", "tcp,[2001:db8::1]"),
        (2, "backend_server_address"),
        "an IPv6 address",
    ),
}


@pytest.mark.parametrize("case", REJECTED.values(), ids=REJECTED.keys())
def test_problem_names_row_column_and_accepted_values(case):
    text, place, expected = case
    problems = parse_table(text, 1).error
    assert [problem[:2] for problem in problems] == [place]
    assert expected in problems[0].expected
    assert len(str(problems[0])) < 400


def test_all_problems_are_reported_together():
    text = f"{HEADER}\n{ROW.replace('udp', 'x')}\n{SECOND.replace(',10,', ',x,')}\n"
    problems = parse_table(text, 1).error
    assert [problem[:2] for problem in problems] == [(2, "protocol"), (3, "weight")]


def test_row_with_an_invalid_cell_is_checked_for_conflicts():
    invalid_row = ROW.replace(",10,", ",x,").replace("udp", "x")
    text = f"{HEADER}\n{invalid_row}\n{SECOND.replace('g2', 'g1')}\n"
    problems = parse_table(text, 1).error
    assert [problem[:2] for problem in problems] == [
        (2, "protocol"),
        (2, "weight"),
        (3, "backend_server"),
    ]


def test_row_number_counts_line_breaks_within_quotes():
    text = f'{HEADER}\n"gau\nging",{ROW.partition(",")[2]}\n{SECOND},x\n'
    assert [problem.row for problem in parse_table(text, 1).error] == [2, 4]


def test_byte_that_is_not_utf8_is_reported_with_its_row():
    problem = decode_table(f"{HEADER}\n".encode() + b"n\xe1utica\n").error[0]
    assert (problem.row, problem.found) == (2, "byte 0xe1")


def test_oversized_table_is_rejected():
    assert "at most" in decode_table(b"x" * (17 << 20)).error[0].expected


@settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(st.text(max_size=200), st.integers(0, 150), st.integers(0, 20))
@example('"', 0, 0)
def test_mutated_table_is_parsed_or_rejected(noise, position, length):
    text = f"{HEADER}\n{ROW}\n"
    result = parse_table(text[:position] + noise + text[position + length :], 1)
    if result.is_ok():
        assert parse_table(format_table(result.ok.rows), 1).ok == result.ok
    else:
        assert all(str(problem) for problem in result.error)
