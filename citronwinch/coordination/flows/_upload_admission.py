"""Limits the large requests that a balancer forwards at the same time over its link."""

from collections import OrderedDict

from citronwinch.coordination._address import FlowKey, extract_service_endpoint
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._packets import Packet
from citronwinch.coordination.flows._placement_rates import PlacementRates
from citronwinch.coordination.flows._view import DeploymentView

FULL_PACKET_BYTES = 1_236
"""The size of a packet that is filled with data, with its headers."""

CALLER_WINDOW_PACKETS = 16
"""The most full-size packets that a caller has in flight on a flow."""

CALLER_WINDOW_BYTES = CALLER_WINDOW_PACKETS * FULL_PACKET_BYTES
"""The most bytes that a caller has in flight on a flow, with headers."""

CALLER_RESEND_MS = 200
"""How long a caller waits for an acknowledgement before it sends a packet again, in
milliseconds."""

WINDOWS_PASS_MS = CALLER_RESEND_MS // 4
"""The time in which the windows of all accepted large requests pass the link on their
way in and out, in milliseconds, if more than one is accepted."""

UPLOAD_PAUSE_MS = 400
"""How long after its last packet a large request no longer counts, in milliseconds:
two intervals after which its caller sends lost packets again."""

TRANSFER_WEIGHT = 1 / 8
"""The weight of the latest large request in the mean transfer time."""

ENDED_UPLOADS = "uploads"
"""The name under which the ends of large requests are counted."""


class UploadAdmission:
    """The large requests that are being transferred through one balancer.

    Each of them may have a whole window in flight. When the windows take longer to pass
    the link than callers wait for acknowledgements, callers send everything twice, and
    the link carries little else. Long before that, small packets wait behind them.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> admission = UploadAdmission(ManualClock(), link_mbps=20)
        >>> admission.limit
        3
        >>> for number in range(3):
        ...     admission.record_opening(FlowKey(bytes((number,))))
        >>> admission.is_full()
        True
    """

    def __init__(self, clock: Clock, link_mbps: int) -> None:
        self.clock = clock
        pass_bytes = link_mbps * 125 * WINDOWS_PASS_MS
        self.limit = max(1, pass_bytes // (2 * CALLER_WINDOW_BYTES))
        """The most large requests that are accepted at the same time."""
        self.last_packet_ms: OrderedDict[FlowKey, int] = OrderedDict()
        """When the latest packet of each flow with a large request was received, the
        oldest first."""
        self.opened_ms: dict[FlowKey, int] = {}
        """When those of these flows were opened whose opening was placed here."""
        self.mean_transfer_ms: float | None = None
        """The mean time from an opening to the last packet; None if unknown."""
        self.end_rates = PlacementRates(clock)
        """How fast large requests ended while others waited for the link."""

    def record_opening(self, flow: FlowKey) -> None:
        """Record that a flow was opened on which a large request follows."""
        self.opened_ms[flow] = self.clock.now_ms()
        self._record_packet(flow)

    def _record_packet(self, flow: FlowKey) -> None:
        self.last_packet_ms[flow] = self.clock.now_ms()
        self.last_packet_ms.move_to_end(flow)

    def record_data(self, packet: Packet) -> None:
        """Record a caller's packet on such a flow.

        The request ends with the first packet that is not filled with data.
        """
        if packet.is_full_size:
            self._record_packet(packet.flow)
        elif packet.payload_bytes or packet.is_finishing or packet.is_reset:
            if packet.payload_bytes:
                self._learn_transfer_time(packet.flow)
            self.remove(packet.flow)

    def _learn_transfer_time(self, flow: FlowKey) -> None:
        opened_ms = self.opened_ms.get(flow)
        if opened_ms is None:
            return
        transfer_ms = self.clock.now_ms() - opened_ms
        if self.mean_transfer_ms is None:
            self.mean_transfer_ms = transfer_ms
        self.mean_transfer_ms += TRANSFER_WEIGHT * (transfer_ms - self.mean_transfer_ms)

    def remove(self, flow: FlowKey) -> None:
        """Record that the large request on a flow has ended, if there is one."""
        self.opened_ms.pop(flow, None)
        if self.last_packet_ms.pop(flow, None) is not None:
            self.end_rates.record_placed(ENDED_UPLOADS)

    def count(self) -> int:
        """Return how many large requests are in progress."""
        latest_ms = self.clock.now_ms() - UPLOAD_PAUSE_MS
        while self.last_packet_ms:
            flow, last_packet_ms = next(iter(self.last_packet_ms.items()))
            if last_packet_ms > latest_ms:
                break
            self.remove(flow)
        return len(self.last_packet_ms)

    def is_full(self) -> bool:
        """Return whether one more large request would be too many for the link."""
        return self.count() >= self.limit


def is_upload_flow(view: DeploymentView, flow: FlowKey) -> bool:
    """Return whether the route of a flow has large requests."""
    if view.configuration is None:
        return False
    route = view.configuration.routes.get(extract_service_endpoint(flow))
    return route is not None and route.has_large_requests
