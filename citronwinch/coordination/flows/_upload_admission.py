"""Limits the large requests that a balancer forwards at the same time over its link."""

from collections import OrderedDict

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._packets import Packet

CALLER_WINDOW_BYTES = 16 * 1_236
"""The most bytes that a caller has in flight on a flow, with headers."""

CALLER_RESEND_MS = 200
"""How long a caller waits for an acknowledgement before it sends a packet again, in
milliseconds."""

UPLOAD_LINK_SHARE = 0.5
"""The share of the link that large requests may fill. Each packet passes the link
twice, on its way in and on its way out."""

UPLOAD_PAUSE_MS = 400
"""How long after its last packet a large request no longer counts, in milliseconds:
two intervals after which its caller sends lost packets again."""


class UploadAdmission:
    """The large requests that are being transferred through one balancer.

    Each of them may have a whole window in flight. When the windows take longer to pass
    the link than callers wait for acknowledgements, callers send everything twice, and
    the link carries little else. A caller that is refused in time opens its next flow
    from another port, which the routers most likely give to another balancer.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> admission = UploadAdmission(ManualClock(), link_mbps=5)
        >>> admission.limit
        3
        >>> for number in range(3):
        ...     admission.record_opening(FlowKey(bytes((number,))))
        >>> admission.is_full()
        True
    """

    def __init__(self, clock: Clock, link_mbps: int) -> None:
        self.clock = clock
        bytes_per_ms = link_mbps * 125 * UPLOAD_LINK_SHARE
        self.limit = max(1, int(bytes_per_ms * CALLER_RESEND_MS / CALLER_WINDOW_BYTES))
        """The most large requests that are accepted at the same time."""
        self.last_packet_ms: OrderedDict[FlowKey, int] = OrderedDict()
        """When the latest packet of each flow with a large request was received, the
        oldest first."""

    def record_opening(self, flow: FlowKey) -> None:
        """Record that a flow was opened on which a large request follows."""
        self.last_packet_ms[flow] = self.clock.now_ms()
        self.last_packet_ms.move_to_end(flow)

    def record_data(self, packet: Packet) -> None:
        """Record a caller's packet on such a flow.

        The request ends with the first packet that is not filled with data.
        """
        if packet.is_full_size:
            self.record_opening(packet.flow)
        elif packet.payload_bytes or packet.is_finishing or packet.is_reset:
            self.last_packet_ms.pop(packet.flow, None)

    def is_full(self) -> bool:
        """Return whether one more large request would be too many for the link."""
        latest_ms = self.clock.now_ms() - UPLOAD_PAUSE_MS
        while self.last_packet_ms:
            flow, last_packet_ms = next(iter(self.last_packet_ms.items()))
            if last_packet_ms > latest_ms:
                break
            del self.last_packet_ms[flow]
        return len(self.last_packet_ms) >= self.limit
