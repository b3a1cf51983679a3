"""Whether a process that joins may serve with the table that it has."""

from collections import Counter
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.spread._delta import TableVersion

JOIN_ANSWERS = 3
"""From how many peers a joining process wants to hear."""

JOIN_ZONES = 2
"""In how many availability zones those peers have to be."""

JOIN_TIMEOUT_MS = 2_000
"""How long a joining process waits for peers that do not answer, in milliseconds."""

JOIN_LIMIT_MS = 10_000
"""After this long a process serves although it could not get a higher revision."""


class JoinAnswer(NamedTuple):
    """What a peer said to a process that joins."""

    availability_zone: str
    """The peer's availability zone."""

    version: TableVersion
    """The peer's table."""


class JoinGate:
    """Opens once the table is known to be no older than that of several peers.

    The service may be stale, so that a table that was read from it is not enough. The
    gate never closes again: a process that serves is brought up to date in passing.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started_ms = clock.now_ms()
        self.answers: dict[str, JoinAnswer] = {}
        self.is_open = False

    def hear(self, sender: str, zone: str, version: TableVersion) -> None:
        """Note a peer's answer; one that has no table itself does not count."""
        if version.revision and not self.is_open:
            self.answers[sender] = JoinAnswer(zone, version)

    def update(
        self, version: TableVersion, highest_heard: int, peers: int, zones: int
    ) -> bool:
        """Open the gate when that is safe; return whether it is open."""
        if self.is_open or not version.revision:
            return self.is_open
        waited_ms = self.clock.now_ms() - self.started_ms
        if version.revision >= highest_heard:
            enough = len(self.answers) >= min(JOIN_ANSWERS, peers)
            heard_zones = {item.availability_zone for item in self.answers.values()}
            spread = len(heard_zones) >= min(JOIN_ZONES, zones)
            self.is_open = (enough and spread) or waited_ms >= JOIN_TIMEOUT_MS
        else:
            self.is_open = waited_ms >= JOIN_LIMIT_MS
        return self.is_open

    def is_contradicted(self, version: TableVersion) -> bool:
        """Return whether several peers agree on another table of this revision."""
        digests = Counter(
            item.version.digest
            for item in self.answers.values()
            if item.version.revision == version.revision
        )
        return bool(
            digests
            and version.digest not in digests
            and digests.most_common(1)[0][1] >= 2
        )
