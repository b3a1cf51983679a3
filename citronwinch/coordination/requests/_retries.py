"""When a request may be sent once more."""

import random

RETRY_SHARE = 0.05
"""Retries that each answered request pays for."""

RETRY_BURST = 10.0
"""The most retries that can be saved up."""

BACKOFF_BASE_MS = 20
"""The longest wait before the first retry, in milliseconds."""

BACKOFF_LIMIT_MS = 1_000
"""The longest wait before any retry, in milliseconds."""


class RetryBudget:
    """A token bucket that answered requests fill and retries empty.

    Answers fill it, not requests: when a service is overloaded and sheds, the
    budget shrinks with the share that is still answered, so that retries cannot
    keep an overload going.

    Example::

        >>> budget = RetryBudget(share=0.5)
        >>> budget.take()
        False
        >>> budget.note_answer()
        >>> budget.note_answer()
        >>> budget.take(), budget.take()
        (True, False)
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self.share = share
        self.burst = burst
        self.tokens = 0.0

    def deposit(self) -> None:
        """Pay in for an answered request."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def try_withdraw(self) -> bool:
        """Pay for one retry; return False when the budget does not allow it."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def choose_backoff_ms(attempt: int, source: random.Random) -> int:
    """Return the wait before a retry: exponential, with full jitter.

    `attempt` counts the attempts made so far, from 1.
    """
    longest_ms = min(BACKOFF_LIMIT_MS, BACKOFF_BASE_MS << min(attempt - 1, 16))
    return source.randrange(longest_ms + 1)
