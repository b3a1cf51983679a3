"""Schedules a process's reads from the platform, within a rate for the fleet."""

import random
from collections.abc import Iterable

import xxhash

from citronwinch.coordination._clock import Clock
from citronwinch.coordination._instances import (
    Instance,
    InstanceRole,
    InstanceState,
)
from citronwinch.coordination._placement import hash_seed

WATCHERS_PER_ZONE = 3
"""The number of balancers in an availability zone that watch the platform."""

WATCHER_READS_PER_SECOND = 600
"""The most reads per second by all watchers together."""

FALLBACK_READS_PER_SECOND = 1_000
"""The most reads per second by all other processes together."""

CHECK_AGE_LIMIT_MS = 60_000
"""The mean age of the last known check at which a process checks its table, in
milliseconds.

Each process multiplies it by a random factor from 0.5 to 1.5, so that the checks of
the processes do not coincide.
"""

BEHIND_TIMEOUT_MS = 10_000
"""How long a process tries to pull a higher revision from peers before it reads it from
the configuration service, in milliseconds."""

JOIN_READ_DELAY_MS = 2_000
"""How long a joining process waits for a table from its peers before it reads one from
the configuration service, in milliseconds."""

AGE_UNKNOWN_MS = 0xFFFFFFFF
"""The age that a process states to peers when it knows of no check, in milliseconds."""

BACKOFF_DOUBLING_LIMIT = 3
"""The most times that the wait after failed reads doubles."""


class ReadSchedule:
    """Decides when one process reads from the platform; the rate depends on fleet size.

    A read is one request to the platform, for the listing of instances or for a key of
    the configuration service. A check compares the table's version with the
    configuration service, and reads a newer table if there is one; it takes one read
    or more.

    A few balancers of each availability zone, the watchers, wait for changes at the
    platform. Every other process checks its table only when gossip has reported no
    check for long, and no more often than its share of the fleet's rate allows. Until
    the platform's listing is known, the fleet has the size given in the settings.
    """

    def __init__(
        self,
        own: Instance,
        clock: Clock,
        rng: random.Random,
        expected_instances: int,
    ) -> None:
        self.own = own
        self.clock = clock
        self.rng = rng
        self.expected_instances = expected_instances
        self.fleet_size = expected_instances
        self.watcher_count = 0
        self.is_watcher = False
        self.consecutive_failures = 0
        now_ms = clock.now_ms()
        self.started_ms = now_ms
        self.last_not_behind_ms = now_ms
        self.last_checked_ms: int | None = None
        self.next_read_ms = now_ms + round(rng.random() * self.read_interval_ms)
        self.next_check_ms = now_ms
        jitter = 0.5 + rng.random()
        self.max_check_age_ms = round(CHECK_AGE_LIMIT_MS * jitter)

    @property
    def read_interval_ms(self) -> float:
        """The shortest time between two reads of this process, in milliseconds."""
        if self.is_watcher:
            return self.watcher_count * 1000 / WATCHER_READS_PER_SECOND
        return self.fleet_size * 1000 / FALLBACK_READS_PER_SECOND

    @property
    def age_ms(self) -> int:
        """The time since the last known check by any process, in milliseconds.

        While no check is known, it counts from the start of this process.
        """
        last_checked_ms = (
            self.started_ms if self.last_checked_ms is None else self.last_checked_ms
        )
        return self.clock.now_ms() - last_checked_ms

    @property
    def advertised_age_ms(self) -> int:
        """The age that probes and answers to peers state, in milliseconds."""
        if self.last_checked_ms is None:
            return AGE_UNKNOWN_MS
        return min(self.age_ms, AGE_UNKNOWN_MS - 1)

    def update_fleet(self, instances: Iterable[Instance]) -> None:
        """Update the fleet's size and choose the watchers among the known members."""
        balancers_by_zone: dict[str, list[str]] = {}
        count = 0
        for instance in instances:
            count += 1
            if (
                instance.role is InstanceRole.BALANCER
                and instance.state is InstanceState.LIVE
            ):
                balancers_by_zone.setdefault(instance.availability_zone, []).append(
                    instance.name
                )
        self.fleet_size = max(count, self.expected_instances)
        self.watcher_count = sum(
            min(WATCHERS_PER_ZONE, len(members))
            for members in balancers_by_zone.values()
        )
        zone = self.own.availability_zone
        seed = hash_seed(zone)
        ranked = sorted(
            balancers_by_zone.get(zone, ()),
            key=lambda name: xxhash.xxh3_64_intdigest(name.encode(), seed),
        )
        was_watcher = self.is_watcher
        self.is_watcher = self.own.name in ranked[:WATCHERS_PER_ZONE]
        if self.is_watcher and not was_watcher:
            soon_ms = self.clock.now_ms() + round(
                self.rng.random() * self.read_interval_ms
            )
            self.next_read_ms = min(self.next_read_ms, soon_ms)

    def record_known_check(self, age_ms: int) -> None:
        """Record that this process or another one checked the table `age_ms` ago.

        Older checks than the last known one are ignored.
        """
        if age_ms >= AGE_UNKNOWN_MS:
            return
        last_checked_ms = self.clock.now_ms() - age_ms
        if self.last_checked_ms is None or last_checked_ms > self.last_checked_ms:
            self.last_checked_ms = last_checked_ms

    def may_read(self) -> bool:
        """Return whether the rate allows this process a read now."""
        return self.clock.now_ms() >= self.next_read_ms

    def is_check_due(self, has_table: bool, is_behind: bool) -> bool:
        """Return whether this process should check its table now."""
        now_ms = self.clock.now_ms()
        if not is_behind:
            self.last_not_behind_ms = now_ms
        if not self.is_watcher and now_ms < self.next_check_ms:
            return False
        if self.is_watcher or now_ms - self.last_not_behind_ms >= BEHIND_TIMEOUT_MS:
            return True
        if not has_table:
            return now_ms - self.started_ms >= JOIN_READ_DELAY_MS
        return self.age_ms >= self.max_check_age_ms

    def record_read_sent(self) -> None:
        """Record that a read was sent; the next one waits for the read interval."""
        jitter = 1 if self.is_watcher else 0.75 + self.rng.random() / 2
        self.next_read_ms = self.clock.now_ms() + round(self.read_interval_ms * jitter)

    def record_read_success(self) -> None:
        """Record that a read was answered, which resets the backoff."""
        self.consecutive_failures = 0

    def record_read_failure(self) -> None:
        """Record a failed read; back off exponentially, with jitter."""
        factor = 2 ** min(self.consecutive_failures, BACKOFF_DOUBLING_LIMIT) * (
            0.5 + self.rng.random()
        )
        self.consecutive_failures += 1
        # The backoff starts at a mean of 200 ms or more, since the read interval of a
        # small fleet is only a few milliseconds.
        wait_ms = max(self.read_interval_ms, 200.0) * factor
        self.next_read_ms = self.clock.now_ms() + round(wait_ms)

    def schedule_next_check(self) -> None:
        """Schedule the next check after this process has finished one."""
        self.max_check_age_ms = round(CHECK_AGE_LIMIT_MS * (0.5 + self.rng.random()))
        if not self.is_watcher:
            # The mean pause between two checks is a quarter of the age limit or more,
            # also while the process stays behind as the checks return no newer table.
            pause_ms = max(CHECK_AGE_LIMIT_MS / 4, self.read_interval_ms)
            self.next_check_ms = self.clock.now_ms() + round(
                pause_ms * (0.5 + self.rng.random())
            )
