"""A restarted only member does not serve flows that a former member still owns.

It knows of a former member only by that member's lease requests, and waits 3 s for
them. A request that was lost, or a former member that was paused, led to two owners.
"""

import pytest

from citronwinch.coordination.steering import LeaseRequest
from citronwinch.coordination.steering.tests.conftest import Group, make_key, make_row

ONLY, FORMER = "reporting-1", "reporting-2"


class FormerMemberGroup(Group):
    """A group in which `FORMER` owns a flow of a service that it has left."""

    def __init__(self, rows):
        super().__init__(rows)
        self.packet_count = 0
        self.flow = next(
            key
            for key in (make_key(number, "reporting") for number in range(99))
            if self.home(key, "reporting") == FORMER
        )
        self.send_packet(FORMER)
        moved = make_row(FORMER, "gauging")
        self.publish([moved if row.backend_server == FORMER else row for row in rows])
        self.settle()

    def send_packet(self, name):
        self.packet_count += 1
        packet = b"%d" % self.packet_count
        self.deliver_packet(name, self.flow, service="reporting", packet=packet)


@pytest.fixture
def group(rows):
    return FormerMemberGroup(rows)


@pytest.mark.parametrize("phase_ms", range(0, 2_000, 200))
def test_lost_request_of_a_former_member_is_repeated_in_time(group, phase_ms):
    """One request to a member that was away for long was due in 3 s, and was lost."""
    del group.agents[ONLY]
    group.settle(8_000 + phase_ms)
    group.start(ONLY)
    is_lost = False
    for _ in range(33):
        group.tick()
        while group.in_transit:
            sent = group.in_transit.pop(0)
            is_request = isinstance(sent.message, LeaseRequest)
            if (
                is_request
                and not is_lost
                and (sent.sender, sent.receiver)
                == (
                    FORMER,
                    ONLY,
                )
            ):
                is_lost = True
                continue
            group.receive(sent)
    assert is_lost
    group.send_packet(ONLY)
    group.settle()
    assert group.owners(group.flow) == [FORMER]
    assert {name for name, _ in group.delivered} == {FORMER}


def test_paused_former_member_does_not_stay_a_second_owner(group):
    """It resumed when the restarted member had already opened its flow."""
    group.start(ONLY)
    for _ in range(33):
        group.tick(paused=frozenset([FORMER]))
        group.in_transit = [
            sent for sent in group.in_transit if sent.receiver != FORMER
        ]
        group.flush()
    group.send_packet(ONLY)
    group.settle(1_000)
    group.send_packet(FORMER)
    group.settle(1_000)
    assert len(group.owners(group.flow)) == 1
    last = len(group.delivered)
    group.send_packet(ONLY)
    group.send_packet(FORMER)
    group.settle(1_000)
    assert len({name for name, _ in group.delivered[last:]}) == 1


def test_former_member_in_touch_keeps_its_flow(group):
    group.start(ONLY)
    group.settle(3_500)
    group.send_packet(ONLY)
    group.send_packet(FORMER)
    group.settle()
    assert group.owners(group.flow) == [FORMER]
    assert group.delivered == [(FORMER, group.flow)] * 3
