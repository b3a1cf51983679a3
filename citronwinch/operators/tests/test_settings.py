"""Tests that settings files are parsed and that every problem names its line."""

import pytest
from hypothesis import given, settings as hypothesis_settings, strategies as st

from citronwinch.operators import parse_settings

KEY = "5a" * 32
TEXT = f"""\
[instance]
name = balancer-1
role = balancer
availability_zone = tas-south-a
[listen]
peers = 192.0.2.1:7000
http = [2001:db8::1]:7001
fabric = 192.0.2.1:6081
[platform]
configuration = 192.0.2.9:80
instances = 192.0.2.9:80
[fabric]
return = 192.0.2.8:6081, 192.0.2.7:6081
[keys]
current = {KEY}
[objective gauging]
unbroken_flows_percent = 99.99
"""

ACCEPTED = {
    "plain": TEXT,
    "byte order mark": f"\ufeff{TEXT}",
    "windows line ends": TEXT.replace("\n", "\r\n"),
    "comments": f"; first\n{TEXT}# last\n",
    "colons": TEXT.replace(" = ", ": "),
}


@pytest.mark.parametrize("text", ACCEPTED.values(), ids=ACCEPTED.keys())
def test_settings_are_parsed(text):
    settings = parse_settings(text, "b.ini").ok
    assert (settings.name, len(settings.fabric_return)) == ("balancer-1", 2)
    assert settings.objectives[0].unbroken_flows_percent == 99.99
    assert KEY not in repr(settings) and "ZZZZ" not in repr(settings)


REJECTED = {
    "unknown key": ("role =", "rolle =", 3, "one of name, role"),
    "unknown section": ("[platform]", "[plattform]", 9, "one of instance, listen"),
    "default section": ("[platform]", "[DEFAULT]", 9, "one of instance, listen"),
    "bad address": ("192.0.2.1:7000", "host:7000", 6, "an address such as"),
    "no return address": ("192.0.2.8:6081, 192.0.2.7:6081", ",", 13, "one or more"),
    "unknown role": ("= balancer\n", "= router\n", 3, "balancer or agent"),
    "agent with fabric": ("= balancer\n", "= agent\n", 8, "an agent takes no"),
    "same address": ("2.1:6081", "2.1:7000", 8, "other than [listen] peers"),
    "wrong unit": ("[keys]", "[flows]\nidle_ms = 300s\n[keys]", 15, "milliseconds"),
    "too little": ("[keys]", "[flows]\nidle_ms = 3\n[keys]", 15, "from 1000 to"),
    "short key": (KEY, KEY[2:], 15, "64 hexadecimal digits"),
    "key twice": ("role =", "name = b\nrole =", 3, "also in line 2"),
    "section twice": ("[keys]", "[listen]\n[keys]", 14, "also in line 5"),
    "line without =": ("role =", "rolle\nrole =", 3, "key = value"),
    "key without =": ("current =", "current", 15, "key = value"),
    "line above all": ("[instance]", "x = 1\n[instance]", 1, "a [section] above it"),
    "100 percent": ("99.99", "100", 17, "below 100"),
    "percent sign": ("99.99", "99.99 %", 17, "such as 99.9"),
    "unknown objective": ("unbroken_flows", "whole_flows", 17, "one of unbroken"),
    "NUL": ("balancer-1", "balancer\0", 2, "a name of"),
}


@pytest.mark.parametrize("case", REJECTED.values(), ids=REJECTED.keys())
def test_problem_names_file_line_and_accepted_values(case):
    old, new, line, expected = case
    problems = parse_settings(TEXT.replace(old, new), "b.ini").error
    text = [str(problem) for problem in problems if expected in problem.expected]
    assert [line.partition(": ")[0] for line in text] == [f"b.ini:{line}"]
    assert KEY[2:] not in "".join(map(str, problems))


def test_all_problems_are_reported_together():
    text = TEXT.replace("peers", "pears").replace("99.99", "x").replace("[keys]", "")
    places = {problem.place for problem in parse_settings(text, "b.ini").error}
    assert places >= {"[listen] key", "[listen] peers", "[keys] current"}
    assert "[objective gauging] unbroken_flows_percent" in places


@hypothesis_settings(max_examples=200, derandomize=True, deadline=None, database=None)
@given(st.text(max_size=60), st.integers(0, len(TEXT)), st.integers(0, 30))
def test_mutated_settings_are_parsed_or_rejected(noise, position, length):
    text = TEXT[:position] + noise + TEXT[position + length :]
    result = parse_settings(text, "b.ini")
    if result.is_error():
        shown = "".join(str(problem) for problem in result.error)
        assert shown and KEY[:40] not in shown
