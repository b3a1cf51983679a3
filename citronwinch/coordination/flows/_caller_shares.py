"""Fair shares of a backend server for the callers whose requests wait for it."""

import math
from collections.abc import Collection

from citronwinch.coordination._address import IPV4_KEY_LENGTH, FlowKey
from citronwinch.coordination._clock import Clock

DECAY_TIME_CONSTANT_MS = 1_000
"""The time constant with which a charge decays, in milliseconds: a share counts what a
caller has had in about the last second."""

CALLER_LIMIT = 1_024
"""The most callers whose charges are kept; they take about 0.2 MB."""

RESCALE_INTERVAL_MS = 60_000
"""How often the charges are scaled to the present, in milliseconds; a floating-point
number could represent the growth of some ten minutes."""

MIN_CHARGE_MS = 0.01
"""A charge below this has decayed and is removed when the charges are rescaled."""

CHARGE_TOLERANCE_MS = 100
"""A caller is above its share only this far above the mean, in milliseconds: a tenth of
a slot. Charges of callers with equal demand differ by some requests; reordering these
for it left 1% fewer of all requests in time (`test_wave.py`)."""


class CallerShares:
    """Charges callers with the service time of their requests.

    Example::

        >>> from citronwinch.coordination import ManualClock
        >>> shares = CallerShares(ManualClock())
        >>> shares.charge(b"a", 300.0)
        >>> shares.is_above_share(b"a", [b"a", b"b"])
        True
        >>> shares.is_above_share(b"b", [b"a", b"b"])
        False
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.scaled_ms = clock.now_ms()
        """The time to which the charges are scaled."""
        self.charges: dict[bytes, float] = {}
        """The charges, as they would have to be at `scaled_ms` to have decayed to their
        present values; so all decay together, and they compare as they are."""

    def charge(self, caller: bytes, service_ms: float) -> None:
        """Charge a caller; evict the lowest charge beyond the limit."""
        if service_ms <= 0:
            return
        growth = math.exp(self._compute_age() / DECAY_TIME_CONSTANT_MS)
        self.charges[caller] = self.charges.get(caller, 0.0) + service_ms * growth
        if len(self.charges) > CALLER_LIMIT:
            del self.charges[min(self.charges, key=self.charges.__getitem__)]

    def is_above_share(self, caller: bytes, waiting: Collection[bytes]) -> bool:
        """Return whether a caller has had more than its share of the last second."""
        return caller in self.find_above_share(waiting)

    def find_above_share(self, waiting: Collection[bytes]) -> frozenset[bytes]:
        """Return the waiting callers whose charge is above the mean of all of them."""
        growth = math.exp(self._compute_age() / DECAY_TIME_CONSTANT_MS)
        tolerance = CHARGE_TOLERANCE_MS * growth
        callers = set(waiting)
        charged = {c: self.charges[c] for c in callers if c in self.charges}
        if not charged:
            return frozenset()
        limit = sum(charged.values()) / len(callers) + tolerance
        return frozenset(c for c, charge in charged.items() if charge > limit)

    def _compute_age(self) -> int:
        """Return the age of the scale, in milliseconds; rescale when it is too old."""
        age_ms = self.clock.now_ms() - self.scaled_ms
        if age_ms <= RESCALE_INTERVAL_MS:
            return age_ms
        decay = math.exp(-age_ms / DECAY_TIME_CONSTANT_MS)
        self.charges = {
            caller: charge * decay
            for caller, charge in self.charges.items()
            if charge * decay >= MIN_CHARGE_MS
        }
        self.scaled_ms += age_ms
        return 0


def extract_caller(flow: FlowKey) -> bytes:
    """Return the packed IP number of a flow's caller.

    Example::

        >>> from citronwinch.coordination import pack_flow_key, pack_ip
        >>> service = pack_ip("198.18.0.1")
        >>> key = pack_flow_key(6, pack_ip("100.64.0.7"), 4000, service, 443)
        >>> extract_caller(key) == pack_ip("100.64.0.7")
        True
    """
    return flow[1:5] if len(flow) == IPV4_KEY_LENGTH else flow[1:17]
