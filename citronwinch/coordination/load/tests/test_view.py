"""Tests of the view of peer reports under faults of the network.

They guard against a lost, duplicated, reordered or outdated report that replaces a
newer one, and against counting a choice twice or not at all.
"""

from typing import NamedTuple

import pytest

from citronwinch.coordination.load import LoadReport, ReportOrigin


class Arrival(NamedTuple):
    """A report as it arrives, and the time until the next one."""

    incarnation: int
    sequence: int
    flows: int
    wait_ms: int = 0


class Fault(NamedTuple):
    """Reports that arrive, the flows that are then known, and the ignored reports."""

    arrivals: tuple[Arrival, ...]
    flows: int | None
    ignored: int = 0


FAULTS = {
    "in order": Fault((Arrival(1, 1, 10), Arrival(1, 2, 20)), 20),
    "one lost": Fault((Arrival(1, 1, 10), Arrival(1, 3, 30)), 30),
    "doubled": Fault((Arrival(1, 1, 10), Arrival(1, 1, 10)), 10, ignored=1),
    "reordered": Fault((Arrival(1, 2, 20), Arrival(1, 1, 10)), 20, ignored=1),
    "from a former incarnation": Fault(
        (Arrival(2, 1, 5), Arrival(1, 9, 90)), 5, ignored=1
    ),
    "from a later incarnation": Fault((Arrival(1, 9, 90), Arrival(2, 1, 5)), 5),
    "fresh": Fault((Arrival(1, 1, 10, 5_999),), 10),
    "expired": Fault((Arrival(1, 1, 10, 15_000),), None),
    "expired, then replaced": Fault((Arrival(1, 1, 10, 60_000), Arrival(1, 2, 20)), 20),
}


@pytest.mark.parametrize("fault", FAULTS.values(), ids=FAULTS)
def test_known_flows_after_fault(fault, clock, view):
    ignored = 0
    for arrival in fault.arrivals:
        origin = ReportOrigin("server-2", arrival.incarnation, arrival.sequence)
        report = LoadReport("gauging", arrival.flows, 2_000)
        ignored += not view.accept_report(origin, report)
        clock.advance(arrival.wait_ms)
    peer = view.find_peer_load("server-2", "gauging")
    assert (peer.report.flows if peer else None) == fault.flows
    assert ignored == fault.ignored


def test_report_for_another_service_is_ignored(view, add_report):
    add_report(2, 10)
    assert view.find_peer_load("server-2", "reporting") is None


def test_report_replaces_earlier_choices_but_not_those_in_flight(
    clock, view, add_report
):
    add_report(2, 10)
    view.record_choice("server-2")
    clock.advance(500)
    view.record_choice("server-2")
    clock.advance(5)
    add_report(2, 11)
    assert len(view.peers["server-2"].choice_times_ms) == 1


def test_confidence_falls_between_fresh_and_expired(clock, view, add_report):
    add_report(2, 10)
    confidences = []
    for _ in range(4):
        confidences.append(view.peers["server-2"].compute_confidence(clock.now_ms()))
        clock.advance(5_000)
    assert confidences == [1.0, 1.0, pytest.approx(5 / 9), 0.0]
