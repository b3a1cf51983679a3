"""Recognises messages that were already accepted."""

from collections import OrderedDict

WINDOW_MESSAGES = 1_024
"""How far behind the newest message of a sender a late one may be."""

SENDER_LIMIT = 16_384
"""The most senders that are remembered; the least recent one goes first."""


class SenderWindow:
    """The messages of one run of one sender that were accepted."""

    __slots__ = ("highest", "incarnation", "seen")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.highest = 0
        self.seen = 0

    def accept(self, sequence: int) -> bool:
        """Return whether a message is new and not too late."""
        ahead = sequence - self.highest
        if ahead > 0:
            kept = (1 << WINDOW_MESSAGES) - 1
            shifted = self.seen << ahead if ahead < WINDOW_MESSAGES else 0
            self.seen = (shifted | 1) & kept
            self.highest = sequence
            return True
        if -ahead >= WINDOW_MESSAGES:
            return False
        bit = 1 << -ahead
        if self.seen & bit:
            return False
        self.seen |= bit
        return True


class ReplayWindow:
    """Accepts each message of each sender's newest run once, in any near order.

    A message of an earlier run is refused once a later run was heard. Senders beyond
    the limit are forgotten, the longest silent first.

    Example::

        >>> window = ReplayWindow()
        >>> [window.accept("agent-1", 7, number) for number in (1, 3, 2, 3)]
        [True, True, True, False]
        >>> window.accept("agent-1", 8, 1), window.accept("agent-1", 7, 4)
        (True, False)
    """

    def __init__(self, sender_limit: int = SENDER_LIMIT) -> None:
        self.sender_limit = sender_limit
        self.windows: OrderedDict[str, SenderWindow] = OrderedDict()

    def accept(self, sender: str, incarnation: int, sequence: int) -> bool:
        """Return whether a message may be handled."""
        window = self.windows.get(sender)
        if window is None:
            if len(self.windows) >= self.sender_limit:
                self.windows.popitem(last=False)
            window = self.windows[sender] = SenderWindow(incarnation)
        elif incarnation != window.incarnation:
            if incarnation < window.incarnation:
                return False
            window = self.windows[sender] = SenderWindow(incarnation)
        self.windows.move_to_end(sender)
        return window.accept(sequence)
