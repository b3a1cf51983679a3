"""Budget and backoff of retries."""

import random

RETRY_SHARE = 0.05
"""The number of retries that are allowed per answered request."""

RETRY_BURST = 10.0
"""The maximum number of saved retries."""

BACKOFF_BASE_MS = 20
"""The maximum wait before the first retry, in milliseconds."""

BACKOFF_LIMIT_MS = 1_000
"""The maximum wait before any retry, in milliseconds."""


class RetryBudget:
    """A token bucket: answered requests add tokens, and each retry takes one.

    Tokens come from answers rather than requests: when an overloaded service sheds
    requests, the budget shrinks with the share that is still answered, so that
    retries cannot sustain the overload.

    Example::

        >>> budget = RetryBudget(share=0.5)
        >>> budget.try_withdraw()
        False
        >>> budget.deposit()
        >>> budget.deposit()
        >>> budget.try_withdraw(), budget.try_withdraw()
        (True, False)
    """

    def __init__(self, share: float = RETRY_SHARE, burst: float = RETRY_BURST) -> None:
        self.share = share
        self.burst = burst
        self.tokens = 0.0

    def deposit(self) -> None:
        """Add the tokens of an answered request."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def try_withdraw(self) -> bool:
        """Take the token of a retry; return False when there is none."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def choose_backoff_ms(attempt: int, rng: random.Random) -> int:
    """Return the wait before a retry: exponential, with full jitter.

    `attempt` is the number of attempts made so far, at least 1.
    """
    max_wait_ms = min(BACKOFF_LIMIT_MS, BACKOFF_BASE_MS << min(attempt - 1, 16))
    return rng.randrange(max_wait_ms + 1)
