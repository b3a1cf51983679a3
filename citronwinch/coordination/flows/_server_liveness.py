"""Detects that the backend server on the instance of an agent has died."""

from enum import Enum

from citronwinch.coordination._clock import Clock

SILENCE_BEFORE_CHECK_MS = 350
"""How long a backend server may leave packets unanswered before it is checked, in
milliseconds. This is longer than it takes to process a full queue, and shorter than the
time until a caller sends the second copy of a request."""

MIN_UNANSWERED_DELIVERIES = 3
"""The fewest unanswered packets for which a backend server is checked."""

CHECK_INTERVAL_MS = 500
"""The shortest time between two checks, in milliseconds."""


class ServerCheck(Enum):
    """The result of a connection attempt to the backend server."""

    ACCEPTED = "accepted"
    """The process is running."""

    REFUSED = "refused"
    """No process listens: the backend server has died, and its flows have ended."""

    SILENT = "silent"
    """No answer in time: the state of the process is unknown."""

    FAILED = "failed"
    """The agent could not try, for want of a descriptor for example."""


class ServerLiveness:
    """Tracks unanswered deliveries to the backend server and requests checks of it."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.is_down = False
        """Whether the last check was refused."""
        self.is_silent = False
        """Whether the last check got no answer."""
        self.first_unanswered_ms: int | None = None
        """When the oldest unanswered packet was delivered."""
        self.unanswered_deliveries = 0
        """The packets delivered since the last packet of the backend server."""
        self.last_check_ms = clock.now_ms() - CHECK_INTERVAL_MS

    @property
    def accepts_flows(self) -> bool:
        """Whether new flows may be sent to the backend server."""
        return not self.is_down and not self.is_silent

    def record_delivery(self) -> None:
        """Record the delivery of a packet that the backend server has to answer."""
        self.unanswered_deliveries += 1
        if self.first_unanswered_ms is None:
            self.first_unanswered_ms = self.clock.now_ms()

    def mark_alive(self) -> None:
        """Record that the backend server has sent a packet or accepted a connection."""
        self.first_unanswered_ms = None
        self.unanswered_deliveries = 0
        self.is_down = False
        self.is_silent = False

    def start_check_if_due(self) -> bool:
        """Return whether a check is due; if so, record that it starts now."""
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
        """Record the result of a check."""
        if check is ServerCheck.ACCEPTED:
            self.mark_alive()
        elif check is not ServerCheck.FAILED:
            self.is_down = check is ServerCheck.REFUSED
            self.is_silent = check is ServerCheck.SILENT
