"""Tests of who reads from the platform, and how often."""

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


def test_a_few_balancers_of_each_zone_watch():
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
def test_all_at_once_stay_within_the_rate_of_the_service(case):
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
                    schedule.record_read()
                    reads += 1
        assert reads <= READS_LIMIT_PER_SECOND


def test_others_read_only_when_nobody_known_has_compared_for_long(clock, source):
    schedule = ReadSchedule(make_instance("own"), clock, source, 10)
    schedule.record_check(0)
    clock.advance(25_000)
    assert not schedule.is_check_due(has_table=True, is_behind=False)
    schedule.record_check(1_000)
    clock.advance(28_000)
    assert not schedule.is_check_due(has_table=True, is_behind=False)
    clock.advance(90_000)
    assert schedule.is_check_due(has_table=True, is_behind=False)


def test_a_joining_process_asks_its_peers_first(clock, source):
    schedule = ReadSchedule(make_instance("own"), clock, source, 10)
    assert not schedule.is_check_due(has_table=False, is_behind=False)
    clock.advance(2_000)
    assert schedule.is_check_due(has_table=False, is_behind=False)


def test_a_process_that_cannot_get_a_known_revision_reads_it(clock, source):
    schedule = ReadSchedule(make_instance("own"), clock, source, 10)
    schedule.record_check(0)
    assert not schedule.is_check_due(has_table=True, is_behind=False)
    clock.advance(9_000)
    assert not schedule.is_check_due(has_table=True, is_behind=True)
    clock.advance(1_000)
    assert schedule.is_check_due(has_table=True, is_behind=True)
