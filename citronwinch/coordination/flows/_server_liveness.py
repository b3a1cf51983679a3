"""Detects that the backend server on the instance of an agent has died."""

from enum import Enum

from citronwinch.coordination._clock import Clock

MAX_SILENCE_BEFORE_CHECK_MS = 350
"""How long a backend server may leave packets unanswered at most before it is checked,
in milliseconds. This is longer than it takes to process a full queue, and shorter than
the time until a caller sends the second copy of a request."""

MIN_SILENCE_BEFORE_CHECK_MS = 100
"""The same at least, in milliseconds."""

SILENCE_FACTOR = 4
"""Between these limits, a server may be silent for this many times its service time;
a request takes longer than that once in some hundred, and a check of a live server
costs only a connection."""

MIN_UNANSWERED_DELIVERIES = 2
"""The fewest unanswered packets for which a backend server is checked."""

CHECK_INTERVAL_MS = 500
"""The shortest time between two checks, in milliseconds."""

SILENT_CHECKS_BEFORE_DEATH = 3
"""After this many checks in a row without an answer, a silent server is dead. The check
does not leave the instance: the kernel there answers for every process that lives, also
for one that is busy or paused."""


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
        """Whether the last check was refused, or several got no answer."""
        self.is_silent = False
        """Whether the last check got no answer."""
        self.silent_checks = 0
        """The checks without an answer since the server's last sign of life."""
        self.first_unanswered_ms: int | None = None
        """When the oldest unanswered packet was delivered."""
        self.unanswered_deliveries = 0
        """The packets delivered since the last packet of the backend server."""
        self.last_check_ms = clock.now_ms() - CHECK_INTERVAL_MS

    @property
    def accepts_flows(self) -> bool:
        """Whether new flows may be sent to the backend server."""
        return not self.is_down and not self.is_silent

    @property
    def has_unanswered_deliveries(self) -> bool:
        """Whether enough packets are unanswered for a check of the backend server."""
        return self.unanswered_deliveries >= MIN_UNANSWERED_DELIVERIES

    @property
    def must_repeat_check(self) -> bool:
        """Whether one more check tells if a silent backend server is dead."""
        is_counted = 0 < self.silent_checks < SILENT_CHECKS_BEFORE_DEATH
        return self.is_silent and is_counted

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
        self.silent_checks = 0

    def start_check_if_due(self, service_ms: int = 0) -> bool:
        """Return whether a check is due; if so, record that it starts now.

        `service_ms` is the learned service time of the backend server, 0 if unknown.
        """
        now_ms = self.clock.now_ms()
        if now_ms - self.last_check_ms < CHECK_INTERVAL_MS:
            return False
        is_silent = (
            self.has_unanswered_deliveries
            and self.first_unanswered_ms is not None
            and now_ms - self.first_unanswered_ms >= compute_silence_ms(service_ms)
        )
        if not self.is_down and not is_silent:
            return False
        self.last_check_ms = now_ms
        return True

    def record_check(self, check: ServerCheck) -> None:
        """Record the result of a check."""
        if check is ServerCheck.FAILED:
            return
        if check is ServerCheck.ACCEPTED:
            self.mark_alive()
            return
        self.is_silent = check is ServerCheck.SILENT
        self.silent_checks += self.is_silent
        self.is_down = (
            check is ServerCheck.REFUSED
            or self.silent_checks >= SILENT_CHECKS_BEFORE_DEATH
        )


def compute_silence_ms(service_ms: int) -> int:
    """Return how long a server may leave packets unanswered before it is checked.

    Example::

        >>> [compute_silence_ms(service_ms) for service_ms in (0, 5, 30, 200)]
        [350, 100, 120, 350]
    """
    if not service_ms:
        return MAX_SILENCE_BEFORE_CHECK_MS
    silence_ms = max(MIN_SILENCE_BEFORE_CHECK_MS, SILENCE_FACTOR * service_ms)
    return min(silence_ms, MAX_SILENCE_BEFORE_CHECK_MS)
