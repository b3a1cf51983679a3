"""A balancer that does not know a removed service does not end its flows.

A balancer that started after the removal, or has no table yet, refused their packets
with a TCP reset or an ICMP error, while their backend servers were running.
"""

import pytest

from citronwinch.coordination import (
    Endpoint,
    Flow,
    ManualClock,
    Table,
    TransportProtocol as Protocol,
)
from citronwinch.coordination.steering import BalancerSteering, Packet
from citronwinch.coordination.steering._former_services import (
    FORMER_SERVICE_MS,
    FORMER_SERVICES_LIMIT,
)
from citronwinch.coordination.steering.tests.conftest import make_key, make_row

REMOVED = Endpoint("192.0.2.9", 9000)


def make_packet(protocol, opens):
    flow = Flow(protocol, Endpoint("203.0.113.1", 1024), REMOVED)
    return Packet(flow.key, b"packet", opens)


def start_balancer(*tables):
    steering = BalancerSteering("balancer-1", 100, ManualClock(10_000))
    for table in tables:
        steering.accept_table(table)
    return steering


CURRENT = Table(5, [make_row("gauging-1")])

PACKETS = {
    "TCP packet of an open flow": (Protocol.TCP, False, [CURRENT], True),
    "UDP packet of an open flow": (Protocol.UDP, True, [CURRENT], True),
    "TCP packet that opens a flow": (Protocol.TCP, True, [CURRENT], False),
    "TCP packet before the first table": (Protocol.TCP, False, [], True),
    "UDP packet before the first table": (Protocol.UDP, True, [], True),
    "TCP packet that opens a flow before the first table": (
        Protocol.TCP,
        True,
        [],
        True,
    ),
}


@pytest.mark.parametrize("name", PACKETS)
def test_packet_of_a_service_removed_before_the_start_is_not_refused(name):
    protocol, opens, tables, expected = PACKETS[name]
    steering = start_balancer(*tables)
    packet = make_packet(protocol, opens)
    assert steering.find_service(packet) is None
    assert steering.may_be_established(packet) is expected


def test_flow_that_no_service_can_have_is_refused():
    """Dead flows would never end if packets without a service were always dropped."""
    steering = start_balancer(CURRENT)
    packet = make_packet(Protocol.TCP, False)
    steering.clock.advance(FORMER_SERVICE_MS - 1)
    assert steering.may_be_established(packet)
    steering.clock.advance(1)
    assert not steering.may_be_established(packet)


def test_flows_of_an_evicted_service_are_not_refused():
    rows = [
        make_row(f"server-{number}")._replace(
            service=f"service-{number}",
            protocol=Protocol.TCP,
            service_address=Endpoint("192.0.2.8", 1 + number),
        )
        for number in range(FORMER_SERVICES_LIMIT)
    ]
    first = make_row("first")._replace(
        service="first", protocol=Protocol.TCP, service_address=REMOVED
    )
    steering = start_balancer(CURRENT, Table(6, [first]))
    steering.clock.advance(FORMER_SERVICE_MS)
    steering.accept_table(Table(7, rows))
    packet = make_packet(Protocol.TCP, False)
    assert steering.find_service(packet) == "first"
    steering.accept_table(Table(8, [make_row("gauging-1")]))
    assert steering.find_service(packet) is None
    assert steering.may_be_established(packet)


def test_owner_that_missed_a_table_is_found_after_its_service_is_removed(group):
    """Balancers send the flow to the service's last row, which knows no owner of it."""
    owner, last = "reporting-1", "reporting-2"
    flow = next(
        key
        for key in (make_key(number, "reporting") for number in range(99))
        if group.home(key, "reporting") == owner
    )
    group.deliver_packet(owner, flow, service="reporting")
    rows = [row for row in group.table.rows if row.service == "gauging"]
    group.publish([*rows, make_row(owner), make_row(last, "reporting")], only=[last])
    group.settle(0)
    group.publish([*rows, make_row(owner), make_row(last)])
    group.settle(8_000)
    group.deliver_packet(last, flow, service="reporting", packet=b"second")
    group.settle()
    assert group.delivered == [(owner, flow)] * 2
