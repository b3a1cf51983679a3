"""Which evacuations of zones a process knows to be requested.

Guards against requests that are lost or return when messages are reordered or repeated,
when processes restart or return from a partition, or when the store comes back from an
older copy.
"""

import random
from collections.abc import Callable

import pytest
from hypothesis import given, settings, strategies as st

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    ConfigurationFollower,
    DeploymentView,
    Evacuations,
    StorePosition,
    StoreStep,
    ZoneEvacuation,
)
from citronwinch.coordination.flows._evacuations import (
    CONFIRMATION_INTERVAL_MS,
    MAX_EVACUATIONS,
)
from citronwinch.coordination.flows._store_position import RESTORED_DISTRUST_MS
from citronwinch.coordination.flows.tests.conftest import make_configuration, make_entry

ENTRIES = st.lists(
    st.builds(
        make_entry,
        st.sampled_from("abcd"),
        active=st.booleans(),
        revision=st.integers(1, 6),
        era=st.integers(0, 2),
    ),
    max_size=12,
)


@settings(derandomize=True, deadline=None)
@given(ENTRIES, st.randoms(use_true_random=False))
def test_entries_give_one_state_in_any_order_and_number(
    entries: list[ZoneEvacuation], rng: random.Random
) -> None:
    ordered, shuffled = Evacuations(ManualClock(0)), Evacuations(ManualClock(0))
    ordered.merge(entries)
    doubled = entries * 2
    rng.shuffle(doubled)
    for entry in doubled:
        shuffled.merge([entry])
    assert shuffled.entries == ordered.entries
    assert shuffled.active_zones == ordered.active_zones


@settings(derandomize=True, deadline=None)
@given(st.lists(st.integers(0, 90), max_size=200), st.randoms(use_true_random=False))
def test_the_limit_of_entries_keeps_the_same_ones_in_any_order(
    numbers: list[int], rng: random.Random
) -> None:
    entries = [
        make_entry(f"z{number}", active=index % 3 > 0, revision=index + number)
        for index, number in enumerate(numbers)
    ]
    ordered, shuffled = Evacuations(ManualClock(0)), Evacuations(ManualClock(0))
    ordered.merge(entries)
    rng.shuffle(entries)
    for entry in entries:
        shuffled.merge([entry])
    assert shuffled.entries == ordered.entries
    assert len(ordered.entries) <= MAX_EVACUATIONS


def test_a_removal_is_not_forgotten_before_older_requests(clock: ManualClock) -> None:
    evacuations = Evacuations(clock)
    requests = [
        make_entry(f"z{number}", revision=100 - number)
        for number in range(MAX_EVACUATIONS)
    ]
    evacuations.merge(requests)
    evacuations.merge([make_entry("z0", active=False, revision=130)])
    evacuations.merge([make_entry("later", revision=131)])
    evacuations.merge(requests)
    assert "later" in evacuations.active_zones
    assert "z0" not in evacuations.active_zones
    assert len(evacuations.entries) == MAX_EVACUATIONS


@st.composite
def draw_steps(draw: st.DrawFn) -> list[tuple[str, object]]:
    """Draw merges, reads and pauses as one process may see them."""
    positions = st.builds(StorePosition, st.integers(0, 2), st.integers(1, 6))
    step = st.one_of(
        st.tuples(st.just("merge"), ENTRIES),
        st.tuples(
            st.just("read"), st.tuples(st.sets(st.sampled_from("abcd")), positions)
        ),
        st.tuples(st.just("pause"), st.integers(0, 2 * RESTORED_DISTRUST_MS)),
    )
    return draw(st.lists(step, max_size=12))


@settings(derandomize=True, deadline=None)
@given(draw_steps())
def test_positions_never_go_back(steps: list[tuple[str, object]]) -> None:
    clock = ManualClock(0)
    evacuations = Evacuations(clock)
    for kind, argument in steps:
        before = dict(evacuations.entries)
        was_active = evacuations.active_zones
        has_changed = False
        if kind == "merge":
            has_changed = evacuations.merge(argument)  # type: ignore[arg-type]
        elif kind == "read":
            has_changed = evacuations.accept_read(*argument)  # type: ignore[misc]
        else:
            clock.advance(argument)  # type: ignore[arg-type]
        for zone, entry in before.items():
            assert evacuations.entries[zone].position >= entry.position
        assert has_changed is (was_active != evacuations.active_zones)
        assert evacuations.active_zones == {
            entry.zone for entry in evacuations.entries.values() if entry.is_active
        }


@settings(derandomize=True, deadline=None)
@given(st.lists(st.tuples(st.sampled_from("ab"), st.booleans()), max_size=8), st.data())
def test_a_process_that_reads_and_one_that_gets_heartbeats_agree(
    changes: list[tuple[str, bool]], data: st.DataObject
) -> None:
    """One process reads at some positions, the other gets each change out of order."""
    reader, listener = Evacuations(ManualClock(0)), Evacuations(ManualClock(0))
    active: set[str] = set()
    received = []
    for revision, (zone, is_active) in enumerate(changes, start=1):
        active = active | {zone} if is_active else active - {zone}
        received.append(make_entry(zone, active=is_active, revision=revision))
        if data.draw(st.booleans()):
            reader.accept_read(active, StorePosition(1, revision))
    reader.accept_read(active, StorePosition(1, len(changes)))
    listener.merge(data.draw(st.permutations(received)))
    assert reader.active_zones == listener.active_zones == active
    listener.merge(reader.list_entries())
    reader.merge(received)
    assert reader.active_zones == listener.active_zones == active


@pytest.mark.parametrize(
    ("entries", "active"),
    [
        pytest.param([make_entry("a", revision=8)], {"a"}, id="requested"),
        pytest.param(
            [make_entry("a", revision=8), make_entry("a", active=False, revision=9)],
            set(),
            id="removed",
        ),
        pytest.param(
            [
                make_entry("a", revision=10),
                make_entry("a", active=False, revision=9),
                make_entry("a", revision=8),
            ],
            {"a"},
            id="requested again, received in reverse",
        ),
        pytest.param(
            [make_entry("a", revision=90), make_entry("a", active=False, era=2)],
            set(),
            id="removed in a later era at a lower revision",
        ),
        pytest.param(
            [make_entry("a", era=2), make_entry("a", active=False, revision=90)],
            {"a"},
            id="removal of an earlier era comes late",
        ),
        pytest.param(
            [make_entry("a"), make_entry("b")], {"a", "b"}, id="two zones at once"
        ),
        pytest.param(
            [make_entry("a"), make_entry("b"), make_entry("a", active=False)],
            {"a", "b"},
            id="two states at one position: the request wins",
        ),
    ],
)
def test_the_entry_with_the_latest_position_wins(
    entries: list[ZoneEvacuation], active: set[str], clock: ManualClock
) -> None:
    evacuations = Evacuations(clock)
    evacuations.merge(entries)
    assert evacuations.active_zones == active


def test_a_read_removes_zones_that_it_lacks_but_not_later_requests(
    clock: ManualClock,
) -> None:
    evacuations = Evacuations(clock)
    evacuations.merge([make_entry("a", revision=20), make_entry("b", revision=40)])
    assert evacuations.accept_read({"c"}, StorePosition(1, 30))
    assert evacuations.active_zones == {"b", "c"}
    assert not evacuations.accept_read({"c"}, StorePosition(1, 31))
    assert not evacuations.accept_read({"a"}, StorePosition(1, 29))


def test_a_removal_is_kept_against_a_process_that_still_sends_the_request(
    clock: ManualClock,
) -> None:
    evacuations = Evacuations(clock)
    evacuations.merge([make_entry("a", revision=20)])
    evacuations.accept_read((), StorePosition(1, 30))
    clock.advance(3_600_000)
    assert not evacuations.merge([make_entry("a", revision=20)])
    assert evacuations.active_zones == frozenset()


# The store comes back from an older copy.


def test_a_request_that_the_copy_lacks_stays_active_until_the_distrust_ends(
    view: DeploymentView, clock: ManualClock
) -> None:
    follower = ConfigurationFollower(view)
    follower.record_era(1)
    view.evacuations.merge([make_entry("b", revision=90)])
    clock.advance(60_000)
    follower.record_era(2)
    view.evacuations.accept_read((), StorePosition(2, 70))
    follower.handle_read(make_configuration(), StorePosition(2, 70))
    assert view.evacuations.active_zones == {"b"}
    clock.advance(RESTORED_DISTRUST_MS - 1)
    assert follower.choose_step() is StoreStep.WATCH
    clock.advance(1)
    # A watch would never report that the request is missing.
    assert follower.choose_step() is StoreStep.READ
    assert view.evacuations.accept_read((), StorePosition(2, 75))
    follower.handle_read(make_configuration(), StorePosition(2, 75))
    assert follower.choose_step() is StoreStep.WATCH
    assert view.evacuations.active_zones == frozenset()


def test_a_request_written_again_after_the_restore_stays_active(
    clock: ManualClock,
) -> None:
    evacuations = Evacuations(clock)
    evacuations.merge([make_entry("b", revision=90)])
    evacuations.accept_read((), StorePosition(2, 70))
    evacuations.merge([make_entry("b", revision=71, era=2)])
    clock.advance(RESTORED_DISTRUST_MS)
    assert not evacuations.needs_read()
    assert evacuations.active_zones == {"b"}
    evacuations.merge([make_entry("b", active=False, revision=72, era=2)])
    assert evacuations.active_zones == frozenset()


def test_a_removal_during_the_distrust_takes_effect(clock: ManualClock) -> None:
    evacuations = Evacuations(clock)
    evacuations.merge([make_entry("b", revision=90)])
    evacuations.accept_read({"b"}, StorePosition(2, 70))
    assert evacuations.accept_read((), StorePosition(2, 75))


def test_a_process_that_starts_after_the_restore_does_not_end_the_evacuation(
    clock: ManualClock,
) -> None:
    """Its first read lacks the request that a heartbeat then contains."""
    evacuations = Evacuations(clock)
    evacuations.accept_read((), StorePosition(2, 70))
    evacuations.merge([make_entry("b", revision=90)])
    assert not evacuations.needs_read()
    evacuations.accept_read((), StorePosition(2, 72))
    assert evacuations.active_zones == {"b"}


def test_a_removal_that_happened_while_a_process_was_down_is_read_at_its_start(
    clock: ManualClock,
) -> None:
    evacuations = Evacuations(clock)
    evacuations.merge([make_entry("b", revision=90)])
    assert evacuations.accept_read((), StorePosition(1, 95))


# Several processes.


class Fleet:
    """A store and processes that read it and send heartbeats to each other."""

    def __init__(self, clock: ManualClock, processes: int) -> None:
        self.clock = clock
        self.processes = [Evacuations(clock) for _ in range(processes)]
        self.zones: set[str] = set()
        self.revision = 1
        self.delayed: list[tuple[int, tuple[ZoneEvacuation, ...]]] = []

    def write(self, zone: str, *, active: bool) -> None:
        self.revision += 1
        (self.zones.add if active else self.zones.discard)(zone)

    def read(self, number: int) -> None:
        position = StorePosition(1, self.revision)
        self.processes[number].accept_read(frozenset(self.zones), position)

    def send(self, sender: int, receiver: int, *, delayed: bool) -> None:
        heartbeat = (receiver, self.processes[sender].list_entries())
        self.delayed.append(heartbeat)
        if not delayed:
            self.deliver()

    def deliver(self) -> None:
        """Deliver the delayed heartbeats, the last one first."""
        while self.delayed:
            receiver, entries = self.delayed.pop()
            self.processes[receiver].merge(entries)

    def restart(self, number: int) -> None:
        self.processes[number] = Evacuations(self.clock)


@st.composite
def draw_fleet_steps(draw: st.DrawFn) -> list[Callable[[Fleet], None]]:
    process = st.integers(0, 3)
    step = st.one_of(
        st.builds(
            lambda zone, active: lambda fleet: fleet.write(zone, active=active),
            st.sampled_from("ab"),
            st.booleans(),
        ),
        st.builds(lambda number: lambda fleet: fleet.read(number), process),
        st.builds(
            lambda sender, receiver, delayed: (
                lambda fleet: fleet.send(sender, receiver, delayed=delayed)
            ),
            process,
            process,
            st.booleans(),
        ),
        st.builds(lambda number: lambda fleet: fleet.restart(number), process),
    )
    return draw(st.lists(step, max_size=30))


@settings(derandomize=True, deadline=None)
@given(draw_fleet_steps())
def test_all_processes_learn_the_state_after_restarts_and_delays(
    steps: list[Callable[[Fleet], None]],
) -> None:
    """One process may still send a request that all others have forgotten."""
    clock = ManualClock(0)
    fleet = Fleet(clock, processes=4)
    for step in steps:
        step(fleet)
    fleet.deliver()
    for sender in (1, 2, 3):
        fleet.send(sender, 0, delayed=False)
    clock.advance(CONFIRMATION_INTERVAL_MS)
    reader = fleet.processes[0]
    assert reader.needs_read() is bool(reader.active_zones)
    fleet.read(0)
    assert not reader.needs_read()
    for receiver in (1, 2, 3):
        fleet.send(0, receiver, delayed=False)
    assert {process.active_zones for process in fleet.processes} == {
        frozenset(fleet.zones)
    }
