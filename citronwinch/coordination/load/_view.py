"""What an agent believes about the load of the other agents of its service."""

from collections import deque
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.load._report import LoadReport

FRESH_MS = 6_000
"""How long a report counts in full, in milliseconds."""

EXPIRY_MS = 15_000
"""From which age a report counts for nothing, in milliseconds."""

IN_FLIGHT_MS = 20
"""Choices this recent may not be part of a report that arrives now."""


class ReportOrigin(NamedTuple):
    """Which message a report came in."""

    sender: str
    """The backend server beside the sending agent."""

    incarnation: int
    """The run of the sender; a later run has a higher number."""

    sequence: int
    """The number of the message within the run."""


class PeerLoad:
    """The latest report of one peer, and what was sent to the peer since."""

    def __init__(self, origin: ReportOrigin, report: LoadReport, now_ms: int) -> None:
        self.origin = origin
        self.report = report
        self.received_ms = now_ms
        self.choice_times_ms: deque[int] = deque()

    def replace_report(
        self, origin: ReportOrigin, report: LoadReport, now_ms: int
    ) -> None:
        """Replace the report and forget the choices that it includes."""
        self.origin = origin
        self.report = report
        self.received_ms = now_ms
        while self.choice_times_ms and self.choice_times_ms[0] < now_ms - IN_FLIGHT_MS:
            self.choice_times_ms.popleft()

    def find_confidence(self, now_ms: int) -> float:
        """Return how much the report still counts: 1 when fresh, 0 when expired."""
        age_ms = now_ms - self.received_ms
        if age_ms <= FRESH_MS:
            return 1.0
        return max(0.0, (EXPIRY_MS - age_ms) / (EXPIRY_MS - FRESH_MS))

    def is_expired(self, now_ms: int) -> bool:
        """Return whether the report counts for nothing any more."""
        return now_ms - self.received_ms >= EXPIRY_MS


class LoadView:
    """The reports of the peers, each with its age and the choices made since.

    Reports may be lost, doubled, late or from a former run of the sender. Only one
    that was sent after the latest known one changes anything.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.peers: dict[str, PeerLoad] = {}
        self.recent_choice_times_ms: deque[int] = deque()

    def accept_report(self, origin: ReportOrigin, report: LoadReport) -> bool:
        """Take a report in; return False when a later one is known already."""
        now_ms = self.clock.now_ms()
        known = self.peers.get(origin.sender)
        if known is None:
            self.peers[origin.sender] = PeerLoad(origin, report, now_ms)
            return True
        if origin[1:] <= known.origin[1:]:
            return False
        known.replace_report(origin, report, now_ms)
        return True

    def record_choice(self, backend_server: str) -> None:
        """Count a flow that was passed to a peer."""
        now_ms = self.clock.now_ms()
        self.recent_choice_times_ms.append(now_ms)
        peer = self.peers.get(backend_server)
        if peer is not None:
            peer.choice_times_ms.append(now_ms)

    def count_choices_in_flight(self) -> int:
        """Return the choices so recent that the peers may not have heard of them."""
        horizon_ms = self.clock.now_ms() - IN_FLIGHT_MS
        while (
            self.recent_choice_times_ms and self.recent_choice_times_ms[0] < horizon_ms
        ):
            self.recent_choice_times_ms.popleft()
        return len(self.recent_choice_times_ms)

    def find_peer(self, backend_server: str, service: str) -> PeerLoad | None:
        """Return an unexpired report about the service, None when there is none."""
        peer = self.peers.get(backend_server)
        if peer is None or peer.report.service != service:
            return None
        return None if peer.is_expired(self.clock.now_ms()) else peer

    def retain_peers(self, backend_servers: set[str]) -> None:
        """Forget the peers that are no longer in the service."""
        for name in self.peers.keys() - backend_servers:
            del self.peers[name]

    def find_service_latency_ms(self, service: str, own_latency_ms: int) -> int:
        """Return the lower median latency of the service; 0 when nobody knows one."""
        now_ms = self.clock.now_ms()
        known = [
            peer.report.latency_ms
            for peer in self.peers.values()
            if peer.report.service == service and not peer.is_expired(now_ms)
        ]
        latencies = sorted(ms for ms in [own_latency_ms, *known] if ms > 0)
        return latencies[(len(latencies) - 1) // 2] if latencies else 0
