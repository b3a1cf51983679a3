"""All decisions of one process about membership and the table, in one place."""

import random
from collections import Counter
from collections.abc import Iterable, Mapping
from functools import singledispatchmethod

from citronwinch.coordination._clock import Clock
from citronwinch.coordination._instances import Instance, InstanceRole
from citronwinch.coordination._table import EMPTY_TABLE, Table
from citronwinch.coordination.spread._delta import TableVersion
from citronwinch.coordination.spread._failure_detector import (
    FailureDetector,
    TableState,
)
from citronwinch.coordination.spread._member_view import is_usable
from citronwinch.coordination.spread._membership import Membership
from citronwinch.coordination.spread._messages import (
    Probe,
    ProbeAnswer,
    SendMessage,
    TableChunk,
    TablePull,
)
from citronwinch.coordination.spread._read_schedule import ReadSchedule
from citronwinch.coordination.spread._readiness_gate import ReadinessGate
from citronwinch.coordination.spread._scope import TableScope
from citronwinch.coordination.spread._table_replica import TableReplica

JOIN_PROBE_INTERVAL_MS = 300
"""How often a joining process asks its peers, in milliseconds."""

JOIN_PEERS = 4
"""How many peers a joining or waking process asks at once."""

FLEET_UPDATE_INTERVAL_MS = 1_000
"""How often the fleet is looked at as a whole, in milliseconds."""

LEAVING_PEERS = 6
"""How many peers are told at once that this process is leaving."""


class GossipNode:
    """One process's part in membership and in the spread of the table.

    The caller hands over every authentic message, calls `tick` often, sends what is
    returned as far as the control budget allows, and reads from the platform when
    `schedule` says so.

    Example::

        >>> from citronwinch.coordination import Endpoint, ManualClock
        >>> own = Instance("b-1", InstanceRole.BALANCER, "a", Endpoint("192.0.2.1", 1))
        >>> node = SpreadNode(own, 1, ManualClock(), random.Random(1))
        >>> node.is_ready, node.served_table.revision
        (False, 0)
    """

    def __init__(
        self,
        own: Instance,
        incarnation: int,
        clock: Clock,
        source: random.Random,
        expected_instances: int = 1,
    ) -> None:
        self.own = own
        self.clock = clock
        self.membership = Membership(own, incarnation, clock, source)
        self.detector = FailureDetector(self.membership, clock, source)
        is_agent = own.role is InstanceRole.AGENT
        scope = TableScope(own.name if is_agent else "")
        self.replica = TableReplica(scope, self.membership, clock, source)
        self.schedule = ReadSchedule(own, clock, source, expected_instances)
        self.gate = ReadinessGate(clock)
        self.next_join_probe_ms = clock.now_ms()
        self.fleet_change_count = -1
        self.next_fleet_update_ms = clock.now_ms()
        self.pause_count = 0

    @property
    def counts(self) -> Counter[str]:
        """What happened to the tables that were offered."""
        return self.replica.counts

    @property
    def is_ready(self) -> bool:
        """Whether the process may serve."""
        return self.gate.is_open

    @property
    def served_table(self) -> Table:
        """The table to decide by; empty until the process may serve."""
        return self.replica.table if self.gate.is_open else EMPTY_TABLE

    @property
    def state(self) -> TableState:
        """What messages say of the own table."""
        return TableState(self.replica.version.digest, self.schedule.advertised_age_ms)

    def observe_envelope(self, sender: str, revision: int) -> None:
        """Note the envelope of any authentic message."""
        self.detector.record_message(sender)
        self.replica.observe_revision(sender, revision)

    def accept_listing(self, instances: Iterable[Instance]) -> None:
        """Take the platform's newest list of instances."""
        self.membership.accept_listing(instances)

    def accept_read(
        self, table: Table, service_digests: Mapping[str, bytes], digest: bytes
    ) -> bool:
        """Take a table that was read from the service; return whether it is newer."""
        return self.replica.accept_read(table, service_digests, digest)

    def record_comparison(self, version: TableVersion) -> None:
        """Note that the service was asked and said which version it has."""
        own = self.replica.version
        if version.revision < own.revision:
            self.counts["lower_revision"] += 1
            return
        if version.revision == own.revision and version.digest != own.digest:
            self.counts["digest_conflict"] += 1
        self.schedule.record_check(0)

    def tick(self) -> list[SendMessage]:
        """Return the messages that are due."""
        sends = self.detector.tick(self.state)
        if self.detector.pause_count != self.pause_count:
            self.pause_count = self.detector.pause_count
            sends += self._probe_peers()
        if not self.gate.is_open:
            sends += self._check_readiness()
        sends += self.replica.tick()
        self._update_fleet()
        return sends

    def cancel_unsent(self, send: SendMessage) -> None:
        """Note that the budget did not allow a message that was returned."""
        if isinstance(send.message, Probe):
            self.detector.cancel_unsent(send.message)

    def leave(self) -> list[SendMessage]:
        """Say that this process is leaving."""
        self.membership.start_leaving()
        return self._probe_peers(LEAVING_PEERS)

    @singledispatchmethod
    def handle(
        self, message: object, sender: str, version: TableVersion
    ) -> list[SendMessage]:
        """Handle a peer's message after `observe_envelope` got its envelope."""
        raise TypeError(f"no such message: {type(message).__name__}")

    @handle.register
    def _(
        self, message: Probe, sender: str, version: TableVersion
    ) -> list[SendMessage]:
        self._handle_table_state(message, sender, version)
        return self.detector.handle_probe(sender, message, self.state)

    @handle.register
    def _(
        self, message: ProbeAnswer, sender: str, version: TableVersion
    ) -> list[SendMessage]:
        self._handle_table_state(message, sender, version)
        return self.detector.handle_answer(sender, message, self.state)

    @handle.register
    def _(
        self, message: TablePull, sender: str, version: TableVersion
    ) -> list[SendMessage]:
        return self.replica.handle_pull(sender, message)

    @handle.register
    def _(
        self, message: TableChunk, sender: str, version: TableVersion
    ) -> list[SendMessage]:
        return self.replica.handle_chunk(message)

    def _update_fleet(self) -> None:
        now_ms = self.clock.now_ms()
        changed = self.fleet_change_count != self.membership.change_count
        if not changed or now_ms < self.next_fleet_update_ms:
            return
        self.next_fleet_update_ms = now_ms + FLEET_UPDATE_INTERVAL_MS
        self.membership.remove_expired()
        self.fleet_change_count = self.membership.change_count
        self.schedule.update_fleet(self.membership.list_instances().values())

    def _handle_table_state(
        self, message: Probe | ProbeAnswer, sender: str, version: TableVersion
    ) -> None:
        stated = TableVersion(version.revision, message.digest)
        self.replica.observe_revision(sender, stated.revision, stated.digest)
        if stated.revision >= self.replica.version.revision:
            self.schedule.record_check(message.age_ms)
        self.gate.record_answer(sender, self.membership.zone_of(sender), stated)
        for fact in message.facts:
            self.membership.accept_fact(fact)

    def _check_readiness(self) -> list[SendMessage]:
        now_ms = self.clock.now_ms()
        if now_ms < self.next_join_probe_ms:
            return []
        self.next_join_probe_ms = now_ms + JOIN_PROBE_INTERVAL_MS
        members = [m for m in self.membership.members.values() if is_usable(m)]
        zones = {member.instance.availability_zone for member in members}
        self.gate.update(
            self.replica.version,
            self.replica.highest_peer_revision,
            len(members),
            len(zones),
        )
        if self.gate.is_open:
            return []
        if self.gate.is_contradicted(self.replica.version):
            self.replica.discard_table()
        return self._probe_peers()

    def _probe_peers(self, count: int = JOIN_PEERS) -> list[SendMessage]:
        names = self.membership.choose_join_peers(count)
        return [self.detector.probe(name, self.state) for name in names]
