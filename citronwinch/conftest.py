"""Test configuration: faults that are known and still open.

`KNOWN-RED.txt` at the root of the repository lists tests that fail for a fault which
is not mended yet. Such a test is run, reported, and passed over. Once it passes, the
run fails until the entry is removed, so that the list stays true.
"""

from pathlib import Path
from typing import NamedTuple

import pytest

KNOWN_RED_PATH = Path(__file__).parent.parent / "KNOWN-RED.txt"
"""Where the list stands."""

FIELD_COUNT = 4
"""The number of fields of an entry."""


class KnownFault(NamedTuple):
    """One entry of the list."""

    test: str
    """The test's node id."""

    command: str
    """How to see the fault, with its seed."""

    seen: str
    """What was seen."""

    issue: str
    """The open issue."""


def parse_known_faults(text: str) -> list[KnownFault]:
    """Return the entries of the list; raise ValueError for a malformed line.

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
    """Return the entries of the list, none when there is no list."""
    if not KNOWN_RED_PATH.exists():
        return []
    return parse_known_faults(KNOWN_RED_PATH.read_text())


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests on the list as expected to fail."""
    faults = {fault.test: fault for fault in read_known_faults()}
    for item in items:
        if item.nodeid in faults:
            reason = faults[item.nodeid].seen
            item.add_marker(pytest.mark.xfail(reason=reason, strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the list below the result of the run."""
    for fault in read_known_faults():
        terminalreporter.write_line(
            f"KNOWN RED {fault.test} (issue {fault.issue}): {fault.seen}"
        )
