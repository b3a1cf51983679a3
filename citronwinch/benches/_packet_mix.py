"""The usual mix of packets: flows that open, and exchange requests and answers."""

from collections.abc import Iterator
from enum import Enum
from typing import NamedTuple

from citronwinch.benches._launched_process import (
    SERVICE,
    SERVICE_ADDRESS,
)
from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import FlowAnswer, ForwardedPacket, Verdict
from citronwinch.flow_peers import encode_flow_message
from citronwinch.platform._packet_codec import decode_caller_packet
from citronwinch.platform.standins._wire import ACK, SYN, FlowEnds, encode_from_ends

REQUESTS_PER_FLOW = 6
"""The requests of each flow; most requests are on long-lived flows."""

REQUEST_BYTES = 300
ANSWER_BYTES = 900

CALLER_SEQUENCE = 100
SERVER_SEQUENCE = 5_000


class Via(Enum):
    """How a datagram reaches or leaves the process."""

    PEER = "peer"
    """The socket for messages between balancers and agents."""

    PACKETS = "packets"
    """The socket for packets of callers or of the backend server."""


class Step(NamedTuple):
    """One datagram to the process."""

    via: Via
    """The socket that receives it."""

    data: bytes
    """The datagram."""

    is_packet: bool
    """Whether it carries a packet; the others are messages of the peer."""

    is_for_caller: bool = False
    """Whether the process sends the packet to the caller."""


def _list_packets(number: int, caller_ip: str) -> Iterator[tuple[bool, bytes]]:
    """Yield the packets of a flow, and whether the caller sent them."""
    caller = Endpoint(caller_ip, 1_024 + number)
    from_caller = FlowEnds(caller, SERVICE_ADDRESS)
    from_server = FlowEnds(SERVICE_ADDRESS, caller)
    sent, received = CALLER_SEQUENCE + 1, SERVER_SEQUENCE + 1
    yield True, encode_from_ends(from_caller, SYN, CALLER_SEQUENCE, 0)
    yield False, encode_from_ends(from_server, SYN | ACK, SERVER_SEQUENCE, sent)
    yield True, encode_from_ends(from_caller, ACK, sent, received)
    request, answer = bytes(REQUEST_BYTES), bytes(ANSWER_BYTES)
    for _ in range(REQUESTS_PER_FLOW):
        yield True, encode_from_ends(from_caller, ACK, sent, received, request)
        sent += REQUEST_BYTES
        yield False, encode_from_ends(from_server, ACK, received, sent, answer)
        received += ANSWER_BYTES
        yield True, encode_from_ends(from_caller, ACK, sent, received)


def list_agent_steps(number: int, caller_ip: str) -> list[Step]:
    """Return what an agent receives of a flow, from a balancer and its server."""
    return [
        Step(Via.PEER, encode_flow_message(ForwardedPacket(SERVICE, raw)), True)
        if is_from_caller
        else Step(Via.PACKETS, raw, True, is_for_caller=True)
        for is_from_caller, raw in _list_packets(number, caller_ip)
    ]


def list_balancer_steps(number: int, caller_ip: str) -> list[Step]:
    """Return what a balancer receives of a flow, from the caller and the agent."""
    packets = [
        raw
        for is_from_caller, raw in _list_packets(number, caller_ip)
        if is_from_caller
    ]
    steps = [Step(Via.PACKETS, raw, True) for raw in packets]
    flow = decode_caller_packet(packets[0]).flow
    answer = encode_flow_message(FlowAnswer(flow, Verdict.OPENING))
    return [steps[0], Step(Via.PEER, answer, False), *steps[1:]]


LIST_STEPS_BY_ROLE = {"agent": list_agent_steps, "balancer": list_balancer_steps}
"""The function that lists the datagrams of a flow for each role."""
