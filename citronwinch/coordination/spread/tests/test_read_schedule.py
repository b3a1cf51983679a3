"""Tests of which processes read from the platform, and how often.

They guard against a fleet that reads more often than the platform allows, and against
a process that stays behind when no peer can send it the table.
"""

import random

import pytest

from citronwinch.coordination import InstanceRole, ManualClock
from citronwinch.coordination.spread import WATCHERS_PER_ZONE, ReadSchedule
from citronwinch.coordination.spread.tests.conftest import make_instance

READS_LIMIT_PER_SECOND = 2_000


def make_fleet(zones, balancers, agents):
    fleet = [
        make_instance(f"b-{zone}-{i}", f"zone-{zone}")
        for zone in range(zones)
        for i in range(balancers)
    ]
    fleet += [
        make_instance(f"a-{zone}-{i}", f"zone-{zone}", role=InstanceRole.AGENT)
        for zone in range(zones)
        for i in range(agents)
    ]
    return fleet


def test_some_balancers_of_each_zone_are_watchers():
    fleet = make_fleet(4, 9, 5)
    watchers = []
    for own in fleet:
        schedule = ReadSchedule(own, ManualClock(), random.Random(1), 1)
        schedule.update_fleet(fleet)
        if schedule.is_watcher:
            watchers.append(own)
    zones = sorted(own.availability_zone for own in watchers)
    assert zones == sorted([f"zone-{i}" for i in range(4)] * WATCHERS_PER_ZONE)
    assert {own.role for own in watchers} == {InstanceRole.BALANCER}


SIZES = {"today": (3, 4, 4), "four hundred": (16, 6, 19), "target": (16, 106, 750)}


@pytest.mark.parametrize("case", SIZES)
def test_a_fleet_that_reads_at_once_stays_within_the_rate_limit(case):
    fleet = make_fleet(*SIZES[case])
    clock, seconds = ManualClock(), 8
    watchers = {own.name for own in fleet[: 3 * SIZES[case][0]]}
    schedules = []
    for i, own in enumerate(fleet):
        schedule = ReadSchedule(own, clock, random.Random(i), len(fleet))
        schedule.fleet_size = len(fleet)
        schedule.watcher_count = len(watchers)
        schedule.is_watcher = own.name in watchers
        schedules.append(schedule)
    for _ in range(seconds):
        reads = 0
        for _ in range(10):
            clock.advance(100)
            for schedule in schedules:
                if schedule.may_read():
                    schedule.record_read_sent()
                    reads += 1
        assert reads <= READS_LIMIT_PER_SECOND


def test_a_check_is_due_when_no_check_is_known_for_long(clock, rng):
    schedule = ReadSchedule(make_instance("own"), clock, rng, 10)
    schedule.record_known_check(0)
    clock.advance(25_000)
    assert not schedule.is_check_due(has_table=True, is_behind=False)
    schedule.record_known_check(1_000)
    clock.advance(28_000)
    assert not schedule.is_check_due(has_table=True, is_behind=False)
    clock.advance(90_000)
    assert schedule.is_check_due(has_table=True, is_behind=False)


def test_a_joining_process_waits_for_its_peers_before_it_reads(clock, rng):
    schedule = ReadSchedule(make_instance("own"), clock, rng, 10)
    assert not schedule.is_check_due(has_table=False, is_behind=False)
    clock.advance(2_000)
    assert schedule.is_check_due(has_table=False, is_behind=False)


def test_a_revision_that_no_peer_delivers_is_read(clock, rng):
    schedule = ReadSchedule(make_instance("own"), clock, rng, 10)
    schedule.record_known_check(0)
    assert not schedule.is_check_due(has_table=True, is_behind=False)
    clock.advance(9_000)
    assert not schedule.is_check_due(has_table=True, is_behind=True)
    clock.advance(1_000)
    assert schedule.is_check_due(has_table=True, is_behind=True)
