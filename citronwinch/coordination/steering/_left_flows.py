"""Decides which flows of a stopping agent its next run can continue without a handover.

The next run of an agent without peers knows nothing of its earlier flows. The next
packet of a UDP flow opens the flow again, with the local port that is derived from its
key, so that the backend server sees the same peer.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey, TransportProtocol

FindLocalPort = Callable[[FlowKey], int]
"""Returns the local port of a flow's socket, 0 without a socket."""


class LeftFlows(NamedTuple):
    """Which of a stopping agent's flows can be left to its next run."""

    flows: tuple[FlowKey, ...]
    """The flows that the next run can continue."""

    ending: Counter[str]
    """The number of the other flows, by the reason why they end with this run."""


def find_left_flows(
    flows: Iterable[FlowKey],
    find_local_port: FindLocalPort,
    derive_local_port: FindLocalPort,
) -> LeftFlows:
    """Sort flows by whether the next run can continue them.

    A UDP flow with its derived port can be continued, and one without a socket, which
    the backend server does not know yet. Flows with the same derived port cannot: in
    the next run, any of them may get that port.

    Example::

        >>> flows = [FlowKey(bytes([17, number])) for number in range(3)]
        >>> ports = dict(zip(flows, (5_000, 5_001, 0)))
        >>> found = find_left_flows(flows, ports.get, lambda flow: 5_000 + flow[1])
        >>> len(found.flows), found.ending
        (3, Counter())
    """
    flows = tuple(flows)
    derived = {flow: derive_local_port(flow) for flow in flows if is_udp(flow)}
    port_counts = Counter(derived.values())
    reasons = {
        flow: find_ending_reason(
            find_local_port(flow), derived.get(flow), port_counts[derived.get(flow, 0)]
        )
        for flow in flows
    }
    left = tuple(flow for flow, reason in reasons.items() if not reason)
    return LeftFlows(left, Counter(reason for reason in reasons.values() if reason))


def find_ending_reason(
    local_port: int, derived_port: int | None, port_count: int
) -> str:
    """Return why a flow ends with this run; an empty string if it can go on.

    `derived_port` is None for a TCP flow and 0 without ports to derive one from.
    `port_count` is the number of flows with this derived port.
    """
    if derived_port is None:
        return "tcp"
    if not derived_port or local_port not in (0, derived_port):
        return "other_port"
    return "shared_port" if port_count > 1 else ""


def is_udp(flow: FlowKey) -> bool:
    """Return whether a flow is a UDP flow."""
    return flow[0] == TransportProtocol.UDP
