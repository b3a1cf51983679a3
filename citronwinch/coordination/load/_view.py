"""The load of a service's other backend servers, as an agent knows it by reports."""

from collections import deque
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.load._report import LoadReport

FRESH_MS = 6_000
"""Up to this age a report has full confidence, in milliseconds."""

EXPIRY_MS = 15_000
"""From this age on a report is ignored, in milliseconds."""

IN_FLIGHT_MS = 20
"""A report that arrives now may not include choices newer than this, in ms."""


class ReportOrigin(NamedTuple):
    """The sender and number of the message that carried a report."""

    sender: str
    """The sending agent, by the name of its backend server."""

    incarnation: int
    """The sender's incarnation; it grows with each restart."""

    sequence: int
    """The number of the message within the incarnation."""


class PeerLoad:
    """The latest report of one peer and the times of the choices made since."""

    def __init__(self, origin: ReportOrigin, report: LoadReport, now_ms: int) -> None:
        self.origin = origin
        self.report = report
        self.received_ms = now_ms
        self.choice_times_ms: deque[int] = deque()

    def replace_report(
        self, origin: ReportOrigin, report: LoadReport, now_ms: int
    ) -> None:
        """Replace the report and remove the choices that the new one includes."""
        self.origin = origin
        self.report = report
        self.received_ms = now_ms
        while self.choice_times_ms and self.choice_times_ms[0] < now_ms - IN_FLIGHT_MS:
            self.choice_times_ms.popleft()

    def compute_confidence(self, now_ms: int) -> float:
        """Return the weight of the report: 1 when fresh, 0 when expired."""
        age_ms = now_ms - self.received_ms
        if age_ms <= FRESH_MS:
            return 1.0
        return max(0.0, (EXPIRY_MS - age_ms) / (EXPIRY_MS - FRESH_MS))

    def is_expired(self, now_ms: int) -> bool:
        """Return whether the report is too old to be used."""
        return now_ms - self.received_ms >= EXPIRY_MS


class LoadView:
    """The latest report of each peer, with its age and the choices made since.

    Reports may be lost, duplicated, delayed or from a former incarnation of the
    sender. Only a report that was sent after the stored one replaces it.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.peers: dict[str, PeerLoad] = {}
        self.recent_choice_times_ms: deque[int] = deque()

    def accept_report(self, origin: ReportOrigin, report: LoadReport) -> bool:
        """Store a report; return False when it is no newer than the stored one."""
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
        """Record that a new flow was assigned to a peer."""
        now_ms = self.clock.now_ms()
        self.recent_choice_times_ms.append(now_ms)
        peer = self.peers.get(backend_server)
        if peer is not None:
            peer.choice_times_ms.append(now_ms)

    def count_choices_in_flight(self) -> int:
        """Return the number of choices that may not have reached the peers yet."""
        horizon_ms = self.clock.now_ms() - IN_FLIGHT_MS
        while (
            self.recent_choice_times_ms and self.recent_choice_times_ms[0] < horizon_ms
        ):
            self.recent_choice_times_ms.popleft()
        return len(self.recent_choice_times_ms)

    def find_peer_load(self, backend_server: str, service: str) -> PeerLoad | None:
        """Return the load of a peer by its latest report and the choices made since.

        Returns None if the peer has sent no report for the service, or if its latest
        report has expired.
        """
        peer = self.peers.get(backend_server)
        if peer is None or peer.report.service != service:
            return None
        return None if peer.is_expired(self.clock.now_ms()) else peer

    def retain_peers(self, backend_servers: set[str]) -> None:
        """Remove all peers but the given backend servers."""
        for name in self.peers.keys() - backend_servers:
            del self.peers[name]

    def compute_service_latency_ms(self, service: str, own_latency_ms: int) -> int:
        """Return the lower median of the servers' latencies; 0 when none is known."""
        now_ms = self.clock.now_ms()
        known = [
            peer.report.latency_ms
            for peer in self.peers.values()
            if peer.report.service == service and not peer.is_expired(now_ms)
        ]
        latencies = sorted(ms for ms in [own_latency_ms, *known] if ms > 0)
        return latencies[(len(latencies) - 1) // 2] if latencies else 0
