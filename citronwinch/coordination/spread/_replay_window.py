"""Rejects replayed messages, as in the anti-replay window of IPsec."""

from collections import OrderedDict

WINDOW_MESSAGES = 1_024
"""How many sequence numbers a message may be behind the newest one of its sender."""

SENDER_LIMIT = 16_384
"""The most senders whose window is stored; the least recent one is dropped first."""


class SenderWindow:
    """The accepted messages of one incarnation of one sender.

    Bit n of `seen` is set if the message with the sequence number `highest - n` was
    accepted.
    """

    __slots__ = ("highest", "incarnation", "seen")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.highest = 0
        self.seen = 0

    def accept(self, sequence: int) -> bool:
        """Return whether a message is new and within the window; record it then."""
        ahead = sequence - self.highest
        if ahead > 0:
            mask = (1 << WINDOW_MESSAGES) - 1
            shifted = self.seen << ahead if ahead < WINDOW_MESSAGES else 0
            self.seen = (shifted | 1) & mask
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
    """Accepts each message of each sender's newest incarnation once.

    Messages may be reordered within the window. After a message of a higher
    incarnation, those of lower ones are refused. Beyond the limit of senders, the
    window of the sender that has sent nothing for longest is dropped.

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
        """Return whether a message is neither a replay nor too old; record it then."""
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
