"""Searches on a thin link while agents are away, as after a loss of power.

The pattern: every caller's packet is of an unknown flow, agents are still starting, and
each search asks all of them again and again. If the questions fill the link, no answer
arrives, all searches fail, callers send again, and the storm feeds itself.
"""

import random

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    FlowQuestion,
    SendMessage,
    ServerChoice,
    Verdict,
)
from citronwinch.coordination.flows._flow_searches import QUESTION_BYTES
from citronwinch.coordination.flows.tests.conftest import (
    has_reset,
    make_configuration,
    make_listing,
    make_packet,
    make_server,
)

SERVERS = 44
TICK_MS = 20
PACKETS_A_TICK = 4
OUTAGE_MS = 3_000


class ThinBalancer:
    """A balancer behind a link, with agents that may be away."""

    def __init__(self, clock: ManualClock, link_mbps: int) -> None:
        self.clock = clock
        self.view = DeploymentView(clock)
        self.view.accept_configuration(make_configuration())
        servers = [make_server(n, zone="abc"[n % 3]) for n in range(1, SERVERS + 1)]
        self.view.accept_listing(make_listing(10, *servers), clock.now_ms())
        self.choice = ServerChoice("a", clock, random.Random(7))
        self.flows = BalancerFlows(self.view, self.choice, clock, link_mbps)
        self.questions = 0
        self.next_port = 2_000

    def play(self, for_ms: int, *, answered: bool) -> int:
        """Let unknown flows come for a time; return how many were reset."""
        resets = 0
        for _ in range(0, for_ms, TICK_MS):
            self.view.confirm_listing(10, self.clock.now_ms())
            actions: list[Action] = []
            for _ in range(PACKETS_A_TICK):
                self.next_port += 1
                packet = make_packet(self.next_port, payload=10)
                actions += self.flows.handle_packet(packet)
            actions += self.flows.tick()
            while actions:
                resets += has_reset(actions)
                actions = self._answer(actions, answered=answered)
            self.clock.advance(TICK_MS)
        return resets

    def _answer(self, actions: list[Action], *, answered: bool) -> list[Action]:
        replies: list[Action] = []
        for action in actions:
            if isinstance(action, SendMessage) and isinstance(
                action.message, FlowQuestion
            ):
                self.questions += 1
                answer = FlowAnswer(action.message.flow, Verdict.ABSENT)
                if answered:
                    replies += self.flows.handle_answer(answer, action.ip)
        return replies


@pytest.mark.parametrize("link_mbps", [5, 10])
def test_questions_leave_most_of_a_thin_link_to_others(
    clock: ManualClock, link_mbps: int
) -> None:
    thin = ThinBalancer(clock, link_mbps)
    thin.play(OUTAGE_MS, answered=False)
    link_bytes = link_mbps * 125_000 * OUTAGE_MS / 1_000
    assert 0.2 * link_bytes < thin.questions * QUESTION_BYTES < 0.4 * link_bytes


def test_searches_end_once_agents_answer_again(clock: ManualClock) -> None:
    thin = ThinBalancer(clock, 5)
    assert thin.play(OUTAGE_MS, answered=False) == 0
    thin.play(2_500, answered=True)
    waiting = len(thin.flows.searches)
    resets = thin.play(1_000, answered=True)
    assert resets > 0
    assert len(thin.flows.searches) <= waiting


def test_a_wide_link_puts_no_search_off(clock: ManualClock) -> None:
    wide = ThinBalancer(clock, 1_000)
    wide.play(OUTAGE_MS, answered=False)
    assert wide.flows.counts["searches_put_off"] == 0
