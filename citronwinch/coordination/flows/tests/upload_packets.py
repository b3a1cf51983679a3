"""Packets of uploads for tests of a balancer on a thin link, and their outcome."""

from citronwinch.coordination import ManualClock, unpack_flow_key
from citronwinch.coordination.flows import (
    Action,
    BalancerFlows,
    ForwardedPacket,
    Record,
    SendMessage,
)
from citronwinch.coordination.flows.tests.conftest import REPORTING, make_packet

THIN_LINK_MBPS = 5
TICK_MS = 20


def send_data(balancer: BalancerFlows, port: int, *, is_last: bool) -> list[Action]:
    packet = make_packet(port, REPORTING, payload=700 if is_last else 1_200)
    return balancer.handle_packet(packet._replace(is_full_size=not is_last))


def place_uploads(balancer: BalancerFlows, ports: range) -> list[Action]:
    """Open flows on the upload route; return the actions that it caused."""
    return [
        action
        for port in ports
        for action in balancer.handle_packet(make_packet(port, REPORTING, opening=True))
    ]


def list_placed_ports(actions: list[Action]) -> list[int]:
    return [
        unpack_flow_key(action.packet.flow).caller.port
        for action in actions
        if isinstance(action, Record)
        and action.event == "opening_placed"
        and action.packet is not None
    ]


def tick_for(balancer: BalancerFlows, clock: ManualClock, ms: int) -> list[Action]:
    actions: list[Action] = []
    for _ in range(0, ms, TICK_MS):
        clock.advance(TICK_MS)
        actions += balancer.tick()
    return actions


def list_packets(actions: list[Action]) -> list[bytes]:
    return [
        action.message.raw
        for action in actions
        if isinstance(action, SendMessage)
        and isinstance(action.message, ForwardedPacket)
    ]
