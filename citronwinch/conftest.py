"""Pytest configuration that marks tests with a known open fault as expected failures.

`KNOWN-RED.txt` at the root of the repository lists tests that fail because of a fault
that is not fixed yet. A listed test runs, but its failure does not fail the test run.
If it passes, the test run fails until its entry is removed, so that the list stays
accurate.
"""

from pathlib import Path
from typing import NamedTuple

import pytest

KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
"""The path of the list of known faults."""

FIELD_COUNT = 4
"""The number of fields of an entry of `KNOWN-RED.txt`."""


class KnownFault(NamedTuple):
    """An entry of `KNOWN-RED.txt`."""

    test: str
    """The pytest node ID of the test."""

    command: str
    """The command that reproduces the fault, with its seed."""

    seen: str
    """The observed failure."""

    issue: str
    """The number of the open issue."""


def parse_known_faults(text: str) -> list[KnownFault]:
    """Parse the text of `KNOWN-RED.txt`; raise ValueError for a malformed line.

    Example::

        >>> parse_known_faults("# comment\\na.py::test_b | make test | 2 != 3 | 7")
        [KnownFault(test='a.py::test_b', command='make test', seen='2 != 3', issue='7')]
    """
    faults = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split(" | ")]
        if len(fields) != FIELD_COUNT or not all(fields):
            raise ValueError(
                f"KNOWN-RED.txt:{number}: expected 'test | command | seen | issue', "
                f"found {line!r}"
            )
        faults.append(KnownFault(*fields))
    return faults


def read_known_faults() -> list[KnownFault]:
    """Read the entries of `KNOWN-RED.txt`; a missing file counts as an empty one."""
    if not KNOWN_RED_PATH.exists():
        return []
    return parse_known_faults(KNOWN_RED_PATH.read_text())


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests in `KNOWN-RED.txt` as expected to fail."""
    faults = {fault.test: fault for fault in read_known_faults()}
    for item in items:
        if item.nodeid in faults:
            reason = faults[item.nodeid].seen
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the known faults after the result of the test run."""
    for fault in read_known_faults():
        terminalreporter.write_line(
            f"KNOWN RED {fault.test} (issue {fault.issue}): {fault.seen}"
        )
