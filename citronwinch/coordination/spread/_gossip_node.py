"""The gossip protocol of one process: membership and the table of backend servers."""

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
"""The interval between probe rounds of a joining process, in milliseconds."""

JOIN_PEERS = 4
"""The number of peers that are probed in one round by a process that joins, or that
resumes after a pause."""

FLEET_UPDATE_INTERVAL_MS = 1_000
"""The shortest interval between updates that iterate over all members, in
milliseconds."""

LEAVING_PEERS = 6
"""The number of peers that a leaving process probes at once to announce it."""


class GossipNode:
    """Takes part in membership and table dissemination for one process; does no I/O.

    The surrounding process passes in every authenticated message, calls `tick`
    several times a second, sends the returned messages as far as the control budget
    allows, and reads from the platform when `schedule` allows it.

    Example::

        >>> from citronwinch.coordination import Endpoint, ManualClock
        >>> own = Instance("b-1", InstanceRole.BALANCER, "a", Endpoint("192.0.2.1", 1))
        >>> node = GossipNode(own, 1, ManualClock(), random.Random(1))
        >>> node.is_ready, node.served_table.revision
        (False, 0)
    """

    def __init__(
        self,
        own: Instance,
        incarnation: int,
        clock: Clock,
        rng: random.Random,
        expected_instances: int = 1,
    ) -> None:
        self.own = own
        self.clock = clock
        self.membership = Membership(own, incarnation, clock, rng)
        self.detector = FailureDetector(self.membership, clock, rng)
        is_agent = own.role is InstanceRole.AGENT
        scope = TableScope(own.name if is_agent else "")
        self.replica = TableReplica(scope, self.membership, clock, rng)
        self.schedule = ReadSchedule(own, clock, rng, expected_instances)
        self.gate = ReadinessGate(clock)
        self.next_join_probe_ms = clock.now_ms()
        self.handled_change_count = -1
        self.next_fleet_update_ms = clock.now_ms()
        self.handled_pause_count = 0

    @property
    def counters(self) -> Counter[str]:
        """Counts by outcome of tables, chunks and versions that this process received.

        The outcomes are `accepted` and the reasons for which others were ignored.
        """
        return self.replica.counters

    @property
    def is_ready(self) -> bool:
        """Whether the process has a table that is recent enough to serve with."""
        return self.gate.is_open

    @property
    def served_table(self) -> Table:
        """The table to route with; empty until the process is ready."""
        return self.replica.table if self.gate.is_open else EMPTY_TABLE

    @property
    def table_state(self) -> TableState:
        """The digest and age of the own table version, for probes and answers."""
        return TableState(self.replica.version.digest, self.schedule.advertised_age_ms)

    def observe_envelope(self, sender: str, revision: int) -> None:
        """Record the sender and table revision of any authenticated message."""
        self.detector.record_message(sender)
        self.replica.observe_revision(sender, revision)

    def accept_listing(self, instances: Iterable[Instance]) -> None:
        """Update the members from the platform's newest listing of instances."""
        self.membership.accept_listing(instances)

    def accept_read(
        self, table: Table, service_digests: Mapping[str, bytes], digest: bytes
    ) -> bool:
        """Install a table read from the configuration service if it is newer.

        Returns whether it was installed.
        """
        return self.replica.accept_read(table, service_digests, digest)

    def record_configuration_version(self, version: TableVersion) -> None:
        """Record the version that the configuration service reported."""
        own = self.replica.version
        if version.revision < own.revision:
            self.counters["lower_revision"] += 1
            return
        if version.revision == own.revision and version.digest != own.digest:
            self.counters["digest_conflict"] += 1
        self.schedule.record_known_check(0)

    def tick(self) -> list[SendMessage]:
        """Return the probes, pushes and pulls that are due."""
        sends = self.detector.tick(self.table_state)
        if self.detector.pause_count != self.handled_pause_count:
            self.handled_pause_count = self.detector.pause_count
            sends += self._probe_peers()
        if not self.gate.is_open:
            sends += self._check_readiness()
        sends += self.replica.tick()
        self._update_fleet()
        return sends

    def cancel_unsent(self, send: SendMessage) -> None:
        """Handle that the control budget did not allow a message returned earlier."""
        if isinstance(send.message, Probe):
            self.detector.cancel_unsent(send.message)

    def leave(self) -> list[SendMessage]:
        """Mark this process as leaving; return the probes that announce it."""
        self.membership.start_leaving()
        return self._probe_peers(LEAVING_PEERS)

    @singledispatchmethod
    def handle(
        self, message: object, sender: str, version: TableVersion
    ) -> list[SendMessage]:
        """Handle a peer's message; `observe_envelope` must be called with it first."""
        raise TypeError(f"unexpected message type: {type(message).__name__}")

    @handle.register
    def _(
        self, message: Probe, sender: str, version: TableVersion
    ) -> list[SendMessage]:
        self._handle_gossip(message, sender, version)
        return self.detector.handle_probe(sender, message, self.table_state)

    @handle.register
    def _(
        self, message: ProbeAnswer, sender: str, version: TableVersion
    ) -> list[SendMessage]:
        self._handle_gossip(message, sender, version)
        return self.detector.handle_answer(sender, message, self.table_state)

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
        changed = self.handled_change_count != self.membership.change_count
        if not changed or now_ms < self.next_fleet_update_ms:
            return
        self.next_fleet_update_ms = now_ms + FLEET_UPDATE_INTERVAL_MS
        self.membership.expire()
        self.handled_change_count = self.membership.change_count
        self.schedule.update_fleet(self.membership.list_instances().values())

    def _handle_gossip(
        self, message: Probe | ProbeAnswer, sender: str, version: TableVersion
    ) -> None:
        stated = TableVersion(version.revision, message.digest)
        self.replica.observe_revision(sender, stated.revision, stated.digest)
        if stated.revision >= self.replica.version.revision:
            self.schedule.record_known_check(message.age_ms)
        self.gate.record_answer(sender, self.membership.find_zone(sender), stated)
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
        return [self.detector.probe(name, self.table_state) for name in names]
