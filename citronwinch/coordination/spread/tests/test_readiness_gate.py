"""Tests of when a joining process may serve.

They guard against a process that serves with an outdated table, which it has read from
a configuration service that is behind, and against one that waits for peers forever.
"""

import pytest

from citronwinch.coordination.spread import ReadinessGate, TableVersion

OWN = TableVersion(7, b"own")
OLDER = TableVersion(6, b"older")
OTHER = TableVersion(7, b"other")
PEERS, ZONES = 9, 3

CASES = {
    "no table": ([("p1", "a", OWN)] * 3, TableVersion(0, b""), 7, 60_000, False),
    "no peer has answered yet": ([], OWN, 0, 500, False),
    "no peer answers in time": ([], OWN, 0, 2_000, True),
    "three peers in two zones": (
        [("p1", "a", OWN), ("p2", "a", OLDER), ("p3", "b", OWN)],
        OWN,
        7,
        0,
        True,
    ),
    "three peers in one zone": (
        [("p1", "a", OWN), ("p2", "a", OWN), ("p3", "a", OWN)],
        OWN,
        7,
        0,
        False,
    ),
    "peers without a table do not count": (
        [(f"p{i}", f"{i}", TableVersion(0, b"")) for i in range(3)],
        OWN,
        7,
        0,
        False,
    ),
    "a peer has a higher revision": ([("p1", "a", OWN)], OWN, 8, 9_000, False),
    "no peer delivers the higher revision in time": (
        [("p1", "a", OWN)],
        OWN,
        8,
        10_000,
        True,
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_when_a_process_may_serve(clock, case):
    answers, version, highest, waited_ms, expected = CASES[case]
    gate = ReadinessGate(clock)
    for sender, zone, answered in answers:
        gate.record_answer(sender, zone, answered)
    clock.advance(waited_ms)
    assert gate.update(version, highest, PEERS, ZONES) is expected


def test_an_open_gate_stays_open(clock):
    gate = ReadinessGate(clock)
    clock.advance(2_000)
    assert gate.update(OWN, 0, PEERS, ZONES)
    assert gate.update(OWN, 99, PEERS, ZONES)


CONTRADICTIONS = {
    "two peers agree on another table": ([OTHER, OTHER], True),
    "one peer is not enough": ([OTHER], False),
    "one peer has the same table": ([OTHER, OTHER, OWN], False),
    "another revision": ([OLDER, OLDER], False),
}


@pytest.mark.parametrize("case", CONTRADICTIONS)
def test_a_table_that_peers_contradict(clock, case):
    versions, expected = CONTRADICTIONS[case]
    gate = ReadinessGate(clock)
    for i, version in enumerate(versions):
        gate.record_answer(f"p{i}", "a", version)
    assert gate.is_contradicted(OWN) is expected
