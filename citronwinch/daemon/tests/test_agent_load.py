"""Tests that `LoadExchange` sends due load reports and counts request outcomes."""

from typing import Any, NamedTuple

import pytest

from citronwinch.backend_servers import add_request_header
from citronwinch.coordination import (
    Endpoint,
    FlowKey,
    Instance,
    InstanceRole,
    ManualClock,
    Table,
    TableRow,
    TransportProtocol,
)
from citronwinch.coordination.load import LoadReport, OverloadLevel
from citronwinch.coordination.requests import RequestKey, RequestKind, RequestMetadata
from citronwinch.coordination.spread import ControlPriority
from citronwinch.daemon._agent_load import LoadExchange
from citronwinch.operators import Metrics
from citronwinch.operators._metrics import MetricKey
from citronwinch.peers import Envelope

FLOW = FlowKey(b"f" * 13)
ID = b"i" * 16


class FakePeerSocket:
    """Stores sent messages, and refuses them without budget."""

    def __init__(self):
        self.sent = []
        self.has_budget = True

    def send_control(self, message, receiver, priority):
        assert priority is ControlPriority.LOAD
        if self.has_budget:
            self.sent.append((message, receiver))
        return self.has_budget


class FakeSettings(NamedTuple):
    """The settings that `LoadExchange` reads."""

    name: str = "server-1"
    availability_zone: str = "zone-1"


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def exchange(clock):
    settings: Any = FakeSettings()
    peer_socket: Any = FakePeerSocket()
    exchange = LoadExchange(settings, clock, peer_socket, Metrics())
    address = Endpoint("192.0.2.9", 9000)
    rows = [
        TableRow(
            "gauging",
            TransportProtocol.UDP,
            address,
            f"server-{number}",
            Endpoint(f"192.0.2.{number}", 9000),
            "zone-1",
            100,
            2_000,
        )
        for number in (1, 2, 3)
    ]
    exchange.load.accept_table(Table(1, rows))
    return exchange


def test_reports_are_sent_to_listed_peers(exchange):
    address = Endpoint("192.0.2.2", 7000)
    instances = {"server-2": Instance("server-2", InstanceRole.AGENT, "z", address)}
    exchange.tick(7, instances)
    assert [(report.flows, to) for report, to in exchange.peers.sent] == [(7, address)]
    assert exchange.metrics.counters[MetricKey("load_reports_sent_total")] == 1


def test_report_is_sent_at_the_next_tick_after_a_peer_is_listed(exchange):
    exchange.tick(7, {})
    address = Endpoint("192.0.2.2", 7000)
    instances = {"server-2": Instance("server-2", InstanceRole.AGENT, "z", address)}
    exchange.tick(7, instances)
    assert [to for _, to in exchange.peers.sent] == [address]


def test_report_refused_by_the_control_budget_is_counted(exchange):
    address = Endpoint("192.0.2.2", 7000)
    exchange.peers.has_budget = False
    instances = {"server-2": Instance("server-2", InstanceRole.AGENT, "z", address)}
    exchange.tick(7, instances)
    assert exchange.peers.sent == []
    assert exchange.metrics.counters[MetricKey("load_reports_not_sent_total")] == 1


def test_outdated_report_is_ignored_and_counted(exchange):
    for sequence in (2, 1):
        report = LoadReport("gauging", sequence, 2_000)
        exchange.accept_report(Envelope("server-2", 1, sequence, 1, report), report)
    assert exchange.metrics.counters[MetricKey("load_reports_ignored_total")] == 1
    assert exchange.load.view.peers["server-2"].report.flows == 2


class End(NamedTuple):
    """A kind of reply, and the expected requests in progress and counted reason."""

    kind: RequestKind
    in_progress: int
    reason: str


ENDS = {
    "answer": End(RequestKind.ANSWER, 0, "answered"),
    "shed": End(RequestKind.SHED, 0, "shed"),
    "neither": End(RequestKind.UNKNOWN, 1, ""),
}


@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
def test_request_is_tracked_until_it_ends(end, exchange):
    exchange.record_delivery(RequestKey(FLOW, ID))
    exchange.record_reply(FLOW, RequestMetadata(end.kind, ID))
    assert exchange.load.outcomes.in_progress == end.in_progress
    counted = exchange.metrics.counters[
        MetricKey("load_requests_ended_total", end.reason)
    ]
    assert counted == (1 if end.reason else 0)


def test_cancelled_request_is_not_tracked(exchange):
    exchange.record_delivery(RequestKey(FLOW, ID))
    cancel = add_request_header(RequestMetadata(RequestKind.CANCEL, ID), b"")
    exchange.record_cancellation(FLOW, cancel)
    assert exchange.load.outcomes.in_progress == 0


def test_same_request_id_on_two_flows_counts_as_two_requests(exchange):
    exchange.record_delivery(RequestKey(FLOW, ID))
    exchange.record_delivery(RequestKey(FlowKey(b"g" * 13), ID))
    assert exchange.load.outcomes.in_progress == 2


def test_guest_requests_are_shed_before_requests_of_owned_flows(exchange):
    admitted = []
    for number in range(70):
        admitted.append((exchange.admits_request(), exchange.admits_guest()))
        exchange.record_delivery(RequestKey(FLOW, number.to_bytes(16)))
    assert admitted.index((True, False)) == 48
    assert admitted.index((False, False)) == 64
    assert exchange.load.guard.level is OverloadLevel.ALL
    assert exchange.metrics.counters[MetricKey("load_requests_shed_total")] == 6
