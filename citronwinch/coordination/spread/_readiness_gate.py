"""Decides when a joining process may serve with the table that it has."""

from collections import Counter
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.spread._delta import TableVersion

JOIN_ANSWERS = 3
"""The number of peers whose answers a joining process waits for, if so many exist."""

JOIN_ZONES = 2
"""The number of availability zones that those peers must be in, if so many exist."""

JOIN_TIMEOUT_MS = 2_000
"""How long a joining process waits for these answers, in milliseconds."""

CATCH_UP_TIMEOUT_MS = 10_000
"""How long a joining process waits for a higher revision that a peer has announced,
before it serves with the lower one, in milliseconds."""


class JoinAnswer(NamedTuple):
    """The table version that a peer stated to a joining process."""

    availability_zone: str
    """The peer's availability zone."""

    version: TableVersion
    """The version of the peer's table."""


class ReadinessGate:
    """Opens once the own table is at least as recent as those of several peers.

    The gate waits up to `JOIN_TIMEOUT_MS` for the answers of `JOIN_ANSWERS` peers in
    `JOIN_ZONES` availability zones, and up to `CATCH_UP_TIMEOUT_MS` for a higher
    revision that a peer has announced. Both times count from its creation; after them
    it opens with the table that the process has. Without a table it stays closed.

    A table read from the configuration service is not enough, since that may return
    outdated data. The gate never closes again: a process that serves gets later
    revisions by gossip.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started_ms = clock.now_ms()
        self.answers: dict[str, JoinAnswer] = {}
        self.is_open = False

    def record_answer(self, sender: str, zone: str, version: TableVersion) -> None:
        """Record a peer's table version; ignore a peer that has no table itself."""
        if version.revision and not self.is_open:
            self.answers[sender] = JoinAnswer(zone, version)

    def update(
        self,
        version: TableVersion,
        highest_peer_revision: int,
        peer_count: int,
        zone_count: int,
    ) -> bool:
        """Open the gate if the table is recent enough; return whether it is open.

        `peer_count` is the number of usable members, `zone_count` that of their
        availability zones.
        """
        if self.is_open or not version.revision:
            return self.is_open
        waited_ms = self.clock.now_ms() - self.started_ms
        if version.revision >= highest_peer_revision:
            enough_answers = len(self.answers) >= min(JOIN_ANSWERS, peer_count)
            answered_zones = {item.availability_zone for item in self.answers.values()}
            enough_zones = len(answered_zones) >= min(JOIN_ZONES, zone_count)
            self.is_open = (
                enough_answers and enough_zones
            ) or waited_ms >= JOIN_TIMEOUT_MS
        else:
            self.is_open = waited_ms >= CATCH_UP_TIMEOUT_MS
        return self.is_open

    def is_contradicted(self, version: TableVersion) -> bool:
        """Return whether the peers contradict the own table of this revision.

        This is so if at least two peers stated the same other digest for the revision,
        and no peer stated the own digest.
        """
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
