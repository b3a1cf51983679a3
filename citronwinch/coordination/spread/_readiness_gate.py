"""Whether a process that joins may serve with the table that it has."""

from collections import Counter
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.spread._delta import TableVersion

JOIN_ANSWER_COUNT = 3
"""From how many peers a joining process wants to hear."""

JOIN_ZONE_COUNT = 2
"""In how many availability zones those peers have to be."""

JOIN_ANSWER_TIMEOUT_MS = 2_000
"""How long a joining process waits for peers that do not answer, in milliseconds."""

CATCH_UP_TIMEOUT_MS = 10_000
"""After this long a process serves although it could not get a higher revision."""


class PeerAnswer(NamedTuple):
    """What a peer said to a process that joins."""

    availability_zone: str
    """The peer's availability zone."""

    version: TableVersion
    """The peer's table."""


class ReadinessGate:
    """Opens once the table is known to be no older than that of several peers.

    The service may be stale, so that a table that was read from it is not enough. The
    gate never closes again: a process that serves is brought up to date in passing.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started_ms = clock.now_ms()
        self.answers: dict[str, PeerAnswer] = {}
        self.is_open = False

    def record_answer(self, sender: str, zone: str, version: TableVersion) -> None:
        """Note a peer's answer; one that has no table itself does not count."""
        if version.revision and not self.is_open:
            self.answers[sender] = PeerAnswer(zone, version)

    def update(
        self, version: TableVersion, highest_peer_revision: int, peers: int, zones: int
    ) -> bool:
        """Open the gate when that is safe; return whether it is open."""
        if self.is_open or not version.revision:
            return self.is_open
        waited_ms = self.clock.now_ms() - self.started_ms
        if version.revision >= highest_peer_revision:
            has_enough_answers = len(self.answers) >= min(JOIN_ANSWER_COUNT, peers)
            answered_zones = {item.availability_zone for item in self.answers.values()}
            has_enough_zones = len(answered_zones) >= min(JOIN_ZONE_COUNT, zones)
            self.is_open = (
                has_enough_answers and has_enough_zones
            ) or waited_ms >= JOIN_ANSWER_TIMEOUT_MS
        else:
            self.is_open = waited_ms >= CATCH_UP_TIMEOUT_MS
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
