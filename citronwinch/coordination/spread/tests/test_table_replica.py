"""Tests of the table's dissemination: which tables are accepted, refused and sent.

They guard against a process that returns to an older revision, or serves a table that
was never published, after messages were lost, reordered, delayed or malformed.
"""

import random

import pytest
from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from citronwinch.coordination import ManualClock, Table
from citronwinch.coordination.spread import (
    TableChunk,
    TablePull,
    TableReplica,
    TableScope,
    digest_each_service,
    digest_services,
)
from citronwinch.coordination.spread.tests.conftest import make_row


class FixedPeers:
    """A directory in which every peer is a balancer."""

    def __init__(self, names):
        self.names = names

    def choose_push_targets(self, count):
        return self.names[:count]

    def choose_whole_table_peers(self, count):
        return self.names[:count]

    def stores_whole_table(self, name):
        return not name.startswith("agent")


def make_replica(clock, scope="", names=("peer-1", "peer-2")):
    peers = FixedPeers(list(names))
    return TableReplica(TableScope(scope), peers, clock, random.Random(1))


def read(replica, revision, rows):
    table = Table(revision, rows)
    digests = digest_each_service(table)
    return replica.accept_read(table, digests, digest_services(digests))


def exchange_messages(clock, first, second, rounds=40):
    """Deliver the messages between two processes for some rounds."""
    for _ in range(rounds):
        second.observe_revision("first", first.version.revision, first.version.digest)
        clock.advance(100)
        sends = [(first, send) for send in first.tick()]
        sends += [(second, send) for send in second.tick()]
        while sends:
            sender, (_, message, _) = sends.pop(0)
            target = second if sender is first else first
            if isinstance(message, TablePull):
                sends += [(target, s) for s in target.handle_pull("x", message)]
            else:
                sends += [(target, s) for s in target.handle_chunk(message)]


ROWS = tuple(make_row(f"g-{i}") for i in range(1, 5))
OTHER = tuple(make_row(f"d-{i}", "dock") for i in range(11, 13))


REFUSED_TABLES = {
    "lower revision": (2, ROWS[:2], "lower_revision"),
    "same revision with other rows": (3, ROWS[:2], "digest_conflict"),
}


@pytest.mark.parametrize("case", REFUSED_TABLES)
def test_a_refused_table_is_ignored_and_counted(clock, case):
    revision, rows, counter = REFUSED_TABLES[case]
    replica = make_replica(clock)
    assert read(replica, 3, ROWS)
    assert not read(replica, revision, rows)
    assert replica.table == Table(3, ROWS)
    assert replica.counters[counter] == 1


def test_a_chunk_of_a_lower_revision_from_a_paused_peer_is_ignored(clock):
    old, current = make_replica(clock), make_replica(clock)
    read(old, 2, ROWS[:2])
    read(current, 5, ROWS)
    for _, chunk, _ in old.handle_pull("x", TablePull(0)):
        assert current.handle_chunk(chunk) == []
    assert current.table == Table(5, ROWS)
    assert current.counters["lower_revision"] == 1


def test_a_higher_revision_of_a_peer_is_pulled_as_a_delta(clock):
    first, second = make_replica(clock), make_replica(clock, names=("first",))
    read(first, 1, ROWS)
    read(second, 1, ROWS)
    read(first, 2, [ROWS[0]._replace(weight=7), *ROWS[1:]])
    second.observe_revision("first", 2)
    clock.advance(100)
    [pull] = second.tick()
    assert pull.message == TablePull(1)
    [answer] = first.handle_pull("second", pull.message)
    assert answer.message.since_revision == 1
    second.handle_chunk(answer.message)
    assert second.table == first.table
    assert second.version == first.version


def test_a_table_without_common_history_is_sent_in_chunks(clock):
    rows = [make_row(f"g-{i}", f"s-{i % 97}", i % 991) for i in range(2_000)]
    first, second = make_replica(clock), make_replica(clock, names=("first",))
    read(first, 9, rows)
    assert len(first._find_transfer(0, "")) > 12
    exchange_messages(clock, first, second)
    assert second.table == first.table


def test_lost_chunks_are_requested_again(clock):
    rows = [make_row(f"g-{i}", f"s-{i % 97}", i % 991) for i in range(2_000)]
    first, second = make_replica(clock), make_replica(clock, names=("first",))
    read(first, 9, rows)
    loss_rng = random.Random(2)
    for _ in range(200):
        second.observe_revision("first", 9)
        clock.advance(100)
        pulls = [send.message for send in second.tick()]
        while pulls:
            for _, chunk, _ in first.handle_pull("second", pulls.pop()):
                if loss_rng.random() < 0.5:
                    pulls += [s.message for s in second.handle_chunk(chunk)]
    assert second.table == first.table


MALFORMED = {
    "not compressed": b"no table",
    "truncated": None,
}


@pytest.mark.parametrize("case", MALFORMED)
def test_a_malformed_transfer_leaves_the_table_unchanged(clock, case):
    first, second = make_replica(clock), make_replica(clock)
    read(first, 2, ROWS)
    read(second, 1, ROWS[:2])
    [send] = first.handle_pull("x", TablePull(0))
    data = send.message.data[:-5] if MALFORMED[case] is None else MALFORMED[case]
    second.handle_chunk(send.message._replace(data=data))
    assert second.table == Table(1, ROWS[:2])
    assert second.counters["transfer_rejected"] == 1


def test_a_transfer_with_a_wrong_digest_is_refused(clock):
    first, second = make_replica(clock), make_replica(clock)
    read(first, 2, ROWS)
    [send] = first.handle_pull("x", TablePull(0))
    second.handle_chunk(send.message._replace(digest=b"12345678"))
    assert second.version.revision == 0
    assert second.counters["transfer_rejected"] == 1


def test_an_agent_stores_only_the_services_of_its_backend_server(clock):
    balancer = make_replica(clock)
    agent = make_replica(clock, "g-1", ("first",))
    read(balancer, 1, [*ROWS, *OTHER])
    exchange_messages(clock, balancer, agent)
    assert agent.table.rows == tuple(ROWS)
    moved = ROWS[0]._replace(service="dock", service_address=OTHER[0].service_address)
    read(balancer, 2, [moved, *ROWS[1:], *OTHER])
    exchange_messages(clock, balancer, agent)
    assert agent.table.revision == 2
    assert agent.table.row_by_backend_server["g-1"].service == "dock"
    for service in ("dock", "gauging"):
        rows = balancer.table.rows_by_service[service]
        assert agent.table.rows_by_service[service] == rows


def test_an_agent_without_a_row_gets_its_service_when_the_row_is_added(clock):
    balancer = make_replica(clock)
    agent = make_replica(clock, "g-4", ("first",))
    read(balancer, 1, [*ROWS[:3], *OTHER])
    exchange_messages(clock, balancer, agent)
    assert (agent.table.revision, agent.table.rows) == (1, ())
    read(balancer, 2, [*ROWS, *OTHER])
    exchange_messages(clock, balancer, agent)
    assert agent.table.rows == ROWS


@settings(max_examples=30, stateful_step_count=25, derandomize=True, deadline=None)
class ReplicaMachine(RuleBasedStateMachine):
    """Three processes with edits, reads, lost, reordered and repeated messages."""

    @initialize()
    def start(self):
        self.clock = ManualClock(1_000)
        self.replicas = {
            name: make_replica(self.clock, names=("a", "b", "c")) for name in "abc"
        }
        self.tables = [Table(0, ())]
        self.messages = []
        self.highest = dict.fromkeys("abc", 0)

    @rule(seed=st.integers(0, 1_000))
    def edit(self, seed):
        rng = random.Random(seed)
        rows = [
            make_row(f"g-{i}", rng.choice(("gauging", "dock")), rng.randrange(9))
            for i in range(6)
            if rng.random() < 0.8
        ]
        self.tables.append(Table(len(self.tables), rows))

    @rule(name=st.sampled_from("abc"), age=st.integers(0, 3))
    def read(self, name, age):
        table = self.tables[max(0, len(self.tables) - 1 - age)]
        if table.revision:
            read(self.replicas[name], table.revision, table.rows)

    @rule(name=st.sampled_from("abc"), elapsed_ms=st.integers(1, 2_000))
    def tick(self, name, elapsed_ms):
        self.clock.advance(elapsed_ms)
        self.messages += [(name, send) for send in self.replicas[name].tick()]

    @rule(sender=st.sampled_from("abc"), receiver=st.sampled_from("abc"))
    def observe(self, sender, receiver):
        version = self.replicas[sender].version
        self.replicas[receiver].observe_revision(
            sender, version.revision, version.digest
        )

    @rule(position=st.integers(0, 50), keep=st.booleans())
    def deliver(self, position, keep):
        if not self.messages:
            return
        i = position % len(self.messages)
        sender, (receiver, message, _) = self.messages[i]
        if not keep:
            del self.messages[i]
        target = self.replicas[receiver]
        if isinstance(message, TableChunk):
            answers = target.handle_chunk(message)
        else:
            answers = target.handle_pull(sender, message)
        self.messages += [(receiver, answer) for answer in answers]

    @invariant()
    def every_table_is_one_that_was_published(self):
        for name, replica in self.replicas.items():
            revision = replica.version.revision
            assert revision >= self.highest[name]
            self.highest[name] = revision
            assert replica.table == self.tables[revision]
            assert replica.service_digests == digest_each_service(replica.table)

    def teardown(self):
        for receiver in "abc":
            for _ in range(60):
                for sender in "abc":
                    self.observe(sender, receiver)
                self.messages = []
                self.tick(receiver, 100)
                while self.messages:
                    self.deliver(0, False)
        newest = max(s.version.revision for s in self.replicas.values())
        assert {s.version.revision for s in self.replicas.values()} == {newest}


TestReplicaMachine = ReplicaMachine.TestCase
