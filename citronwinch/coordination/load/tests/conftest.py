"""Fixtures for the tests of load: a clock, table rows, and a view of peer reports."""

import pytest

from citronwinch.coordination import Endpoint, ManualClock, TableRow, TransportProtocol
from citronwinch.coordination.load import LoadReport, LoadView, ReportOrigin


@pytest.fixture
def clock():
    return ManualClock(1_000_000)


@pytest.fixture
def view(clock):
    return LoadView(clock)


@pytest.fixture
def make_row():
    def make(number, weight=100, limit=2_000, zone="zone-1", service="gauging"):
        return TableRow(
            service,
            TransportProtocol.UDP,
            Endpoint("192.0.2.9", 9000),
            f"server-{number}",
            Endpoint(f"192.0.2.{number + 10}", 9000),
            zone,
            weight,
            limit,
        )

    return make


@pytest.fixture
def add_report(view):
    """Return a function that stores a report of a peer in the view."""
    sequences = iter(range(1, 1_000_000))

    def add(number, flows, limit=2_000, **fields):
        origin = ReportOrigin(f"server-{number}", 1, next(sequences))
        return view.accept_report(origin, LoadReport("gauging", flows, limit, **fields))

    return add
