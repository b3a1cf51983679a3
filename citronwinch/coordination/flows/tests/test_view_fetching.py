"""A large configuration reaches every balancer over slow links.

Guards against an overloaded link: a balancer that has read a new configuration
announces it to all others at once. If all fetched it from that balancer, its link would
be full for seconds, and its heartbeats and its callers' packets would be delayed.
"""

import random

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    BalancerMembers,
    DeploymentView,
    Heartbeat,
    StorePosition,
    ViewAnswerPacing,
    choose_view_source,
    list_view_sources,
)
from citronwinch.coordination.flows.tests.conftest import make_configuration

BALANCERS = 21
LINK_MBPS = 5
ANSWER_BYTES = 45_000
STEP_MS = 10
SPREAD_LIMIT_MS = 3_000


def make_heartbeat(version: int, zone: str, revision: int = 1) -> Heartbeat:
    position = StorePosition(1, revision)
    return Heartbeat(1, zone, False, position, revision, 0, version, ())


class Fleet:
    """Balancers that fetch a configuration from each other over slow links."""

    def __init__(self, clock: ManualClock, seed: int) -> None:
        self.clock = clock
        self.rng = random.Random(seed)
        self.zones = {f"10.0.0.{n}": "abcd"[n % 4] for n in range(BALANCERS)}
        self.informed = {"10.0.0.0"}
        self.pacing = {ip: ViewAnswerPacing(clock, LINK_MBPS) for ip in self.zones}
        self.arrival_ms: dict[str, int] = {}
        self.next_fetch_ms = dict.fromkeys(self.zones, clock.now_ms())
        self.sent_bytes = dict.fromkeys(self.zones, 0)

    def step(self) -> None:
        now_ms = self.clock.now_ms()
        self.informed |= {
            ip for ip, at_ms in self.arrival_ms.items() if at_ms <= now_ms
        }
        for ip in self.zones.keys() - self.informed - self.arrival_ms.keys():
            if self.next_fetch_ms[ip] <= now_ms:
                self.fetch(ip)
        self.clock.advance(STEP_MS)

    def fetch(self, ip: str) -> None:
        members = BalancerMembers(ip, [], self.clock)
        for other, zone in self.zones.items():
            members.handle_heartbeat(
                other, make_heartbeat(2 if other in self.informed else 1, zone)
            )
        view = DeploymentView(self.clock)
        view.accept_configuration(make_configuration(1))
        sources = list_view_sources(view, members.members)
        source = choose_view_source(sources, members.members, self.zones[ip], self.rng)
        assert source in self.informed
        if self.pacing[source].admit(ANSWER_BYTES):
            self.sent_bytes[source] += ANSWER_BYTES
            transfer_ms = ANSWER_BYTES * 8 // (LINK_MBPS * 1_000)
            self.arrival_ms[ip] = self.clock.now_ms() + transfer_ms
        else:
            self.next_fetch_ms[ip] = self.clock.now_ms() + self.rng.randint(20, 80)


@pytest.mark.parametrize("seed", range(5))
def test_a_large_configuration_spreads_in_time_without_filling_a_link(
    clock: ManualClock, seed: int
) -> None:
    fleet = Fleet(clock, seed)
    start_ms = clock.now_ms()
    while len(fleet.informed) < BALANCERS:
        fleet.step()
        assert clock.now_ms() - start_ms <= SPREAD_LIMIT_MS
    link_bytes = LINK_MBPS * 1_000 / 8 * (clock.now_ms() - start_ms)
    assert max(fleet.sent_bytes.values()) <= link_bytes / 2 + ANSWER_BYTES


@pytest.mark.parametrize(
    ("own", "others", "expected"),
    [
        pytest.param(1, {"x": (2, 1), "y": (3, 1)}, ["y"], id="the newest version"),
        pytest.param(3, {"x": (2, 9), "y": (3, 12)}, ["y"], id="a newer listing"),
        pytest.param(3, {"x": (2, 5), "y": (3, 10)}, [], id="nothing newer"),
    ],
)
def test_only_balancers_with_newer_data_are_sources(
    view: DeploymentView,
    clock: ManualClock,
    own: int,
    others: dict[str, tuple[int, int]],
    expected: list[str],
) -> None:
    view.accept_configuration(make_configuration(own))
    members = BalancerMembers("own", [], clock)
    for ip, (version, revision) in others.items():
        members.handle_heartbeat(ip, make_heartbeat(version, "a", revision))
    assert list_view_sources(view, members.members) == expected


def test_a_source_in_the_own_zone_is_preferred(clock: ManualClock) -> None:
    members = BalancerMembers("own", [], clock)
    for number in range(10):
        members.handle_heartbeat(
            f"{number}", make_heartbeat(2, "b" if number == 7 else "a")
        )
    chosen = choose_view_source(
        members.members.keys(), members.members, "b", random.Random(1)
    )
    assert chosen == "7"
    assert choose_view_source([], members.members, "b", random.Random(1)) is None


def test_small_answers_are_never_refused(clock: ManualClock) -> None:
    pacing = ViewAnswerPacing(clock, LINK_MBPS)
    assert all(pacing.admit(4_000) for _ in range(100))
