"""Notices that the backend server beside an agent has died."""

from enum import Enum

from citronwinch.coordination._clock import Clock

SILENCE_BEFORE_CHECK_MS = 350
"""How long a backend server may be silent after a delivery before it is checked, in
milliseconds; longer than it works on a full queue, shorter than a caller's second copy
of a request takes."""

MIN_UNANSWERED_DELIVERIES = 3
"""How many packets must have got no answer meanwhile."""

CHECK_INTERVAL_MS = 500
"""How often a silent backend server is checked, in milliseconds."""


class ServerCheck(Enum):
    """What a connection attempt to the backend server showed."""

    ACCEPTED = "accepted"
    """Its process lives."""

    REFUSED = "refused"
    """No process listens: it has died, and its flows with it."""

    SILENT = "silent"
    """No answer: nothing is certain."""


class ServerLiveness:
    """Watches deliveries and answers; asks for a check after a silence."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.is_down = False
        self.is_silent = False
        self.first_unanswered_ms: int | None = None
        self.unanswered_deliveries = 0
        self.last_check_ms = clock.now_ms() - CHECK_INTERVAL_MS

    @property
    def takes_flows(self) -> bool:
        """Whether new flows may be sent to the backend server."""
        return not self.is_down and not self.is_silent

    def record_delivery(self) -> None:
        """Note that a packet which calls for an answer was delivered."""
        self.unanswered_deliveries += 1
        if self.first_unanswered_ms is None:
            self.first_unanswered_ms = self.clock.now_ms()

    def mark_alive(self) -> None:
        """Note that the backend server has sent something."""
        self.first_unanswered_ms = None
        self.unanswered_deliveries = 0
        self.is_down = False
        self.is_silent = False

    def start_check_if_due(self) -> bool:
        """Return whether to try a connection now; counts as the start of a check."""
        now_ms = self.clock.now_ms()
        if now_ms - self.last_check_ms < CHECK_INTERVAL_MS:
            return False
        is_silent = (
            self.first_unanswered_ms is not None
            and self.unanswered_deliveries >= MIN_UNANSWERED_DELIVERIES
            and now_ms - self.first_unanswered_ms >= SILENCE_BEFORE_CHECK_MS
        )
        if not self.is_down and not is_silent:
            return False
        self.last_check_ms = now_ms
        return True

    def record_check(self, check: ServerCheck) -> None:
        """Take the result of a check."""
        if check is ServerCheck.ACCEPTED:
            self.mark_alive()
        else:
            self.is_down = check is ServerCheck.REFUSED
            self.is_silent = check is ServerCheck.SILENT
