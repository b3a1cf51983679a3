"""Searches on a slow link while the agents do not answer, as after a power failure.

Guards against self-sustaining overload. After a power failure every flow is unknown to
the balancer while the agents are still starting, so each search queries all agents
repeatedly. If the questions fill the link, no answer arrives, all searches fail, and
the callers' retransmissions start them again.
"""

import random

import pytest

from citronwinch.coordination import ManualClock
from citronwinch.coordination.flows import (
    Action,
    BalancerFlows,
    DeploymentView,
    FlowAnswer,
    FlowAnswers,
    FlowQuestions,
    SendMessage,
    ServerSelector,
    StorePosition,
    Verdict,
)
from citronwinch.coordination.flows._actions import Record
from citronwinch.coordination.flows._question_batches import (
    BATCH_LIMIT,
    compute_bytes,
    list_questions,
)
from citronwinch.coordination.flows.tests.conftest import (
    has_reset,
    make_configuration,
    make_listing,
    make_packet,
    make_server,
)

SERVER_COUNT = 44
TICK_MS = 20
PACKETS_PER_TICK = 4
OUTAGE_MS = 3_000


class LimitedLinkBalancer:
    """A balancer behind a link of limited bandwidth, with agents that may be silent."""

    def __init__(
        self,
        clock: ManualClock,
        link_mbps: int,
        packets_per_tick: int = PACKETS_PER_TICK,
    ) -> None:
        self.packets_per_tick = packets_per_tick
        self.clock = clock
        self.view = DeploymentView(clock)
        self.view.accept_configuration(make_configuration())
        servers = [
            make_server(n, zone="abc"[n % 3]) for n in range(1, SERVER_COUNT + 1)
        ]
        self.view.accept_listing(make_listing(10, *servers), clock.now_ms())
        self.selector = ServerSelector("a", clock, random.Random(7))
        self.flows = BalancerFlows(self.view, self.selector, clock, link_mbps)
        self.question_bytes = 0
        self.failed_searches: list[Record] = []
        self.next_port = 2_000

    def run_for(self, for_ms: int, *, agents_answer: bool) -> int:
        """Send packets of unknown flows for a time; return the number of resets."""
        resets = 0
        for _ in range(0, for_ms, TICK_MS):
            self.view.confirm_listing(StorePosition(1, 10), self.clock.now_ms())
            actions: list[Action] = []
            for _ in range(self.packets_per_tick):
                self.next_port += 1
                packet = make_packet(self.next_port, payload=10)
                actions += self.flows.handle_packet(packet)
            actions += self.flows.tick()
            while actions:
                resets += has_reset(actions)
                actions = self._answer(actions, agents_answer=agents_answer)
            self.clock.advance(TICK_MS)
        return resets

    def _answer(self, actions: list[Action], *, agents_answer: bool) -> list[Action]:
        replies: list[Action] = []
        for action in actions:
            if isinstance(action, Record) and action.event == "flow_not_found":
                self.failed_searches.append(action)
            if not isinstance(action, SendMessage):
                continue
            questions = list_questions(action.message)
            self.question_bytes += compute_bytes(len(questions))
            if not agents_answer:
                continue
            if isinstance(action.message, FlowQuestions):
                verdicts = (Verdict.ABSENT,) * len(questions)
                message = FlowAnswers(action.message.number, verdicts)
                answers = self.flows.searches.batches.match_answers(action.ip, message)
            else:
                answers = [FlowAnswer(each.flow, Verdict.ABSENT) for each in questions]
            for answer in answers:
                replies += self.flows.handle_answer(answer, action.ip)
        return replies


@pytest.mark.parametrize("link_mbps", [5, 10])
def test_questions_leave_most_of_a_slow_link_to_other_packets(
    clock: ManualClock, link_mbps: int
) -> None:
    slow_link = LimitedLinkBalancer(clock, link_mbps)
    slow_link.run_for(OUTAGE_MS, agents_answer=False)
    link_bytes = link_mbps * 125_000 * OUTAGE_MS / 1_000
    assert 0.2 * link_bytes < slow_link.question_bytes < 0.4 * link_bytes


def test_searches_end_once_the_agents_answer_again(clock: ManualClock) -> None:
    slow_link = LimitedLinkBalancer(clock, 5, packets_per_tick=3)
    assert slow_link.run_for(OUTAGE_MS, agents_answer=False) == 0
    slow_link.run_for(2_500, agents_answer=True)
    searches_before = len(slow_link.flows.searches)
    resets = slow_link.run_for(1_000, agents_answer=True)
    assert resets > 0
    assert len(slow_link.flows.searches) <= searches_before


@pytest.mark.parametrize(
    ("packets_per_tick", "searches_limit"), [(4, 300), (5, 500), (8, 800)]
)
def test_searches_beyond_the_bandwidth_do_not_hinder_the_others(
    clock: ManualClock, packets_per_tick: int, searches_limit: int
) -> None:
    """Guards against questions that are sent for searches that end before the last.

    200 searches per second at 44 agents need 194 KB of questions per second without
    any headers; 0.3 of the link are 188 KB. About 180 are possible.
    """
    slow_link = LimitedLinkBalancer(clock, 5, packets_per_tick)
    assert slow_link.run_for(OUTAGE_MS, agents_answer=False) == 0
    slow_link.run_for(2_500, agents_answer=True)
    counters = slow_link.flows.counters
    for _ in range(20):
        resets_before = counters["flows_reset"]
        slow_link.run_for(1_000, agents_answer=True)
        assert counters["flows_reset"] - resets_before > 150
        assert len(slow_link.flows.searches) <= searches_limit


def test_no_search_is_deferred_on_a_fast_link(clock: ManualClock) -> None:
    fast_link = LimitedLinkBalancer(clock, 1_000)
    fast_link.run_for(OUTAGE_MS, agents_answer=False)
    assert fast_link.flows.counters["searches_put_off"] == 0


# "silent" meant both an agent that did not answer and one that was never asked.
@pytest.mark.parametrize(("link_mbps", "is_link_full"), [(5, True), (1_000, False)])
def test_failed_search_tells_unasked_agents_from_silent_ones(
    clock: ManualClock, link_mbps: int, is_link_full: bool
) -> None:
    balancer = LimitedLinkBalancer(clock, link_mbps, packets_per_tick=20)
    balancer.run_for(OUTAGE_MS, agents_answer=False)
    failed = [dict(record.fields) for record in balancer.failed_searches]
    assert failed
    assert any(fields["questions_unsent"] for fields in failed) is is_link_full
    assert any(fields["is_put_off"] for fields in failed) is is_link_full
    backlog = failed[-1]["backlog"]
    assert isinstance(backlog, dict)
    is_budget_spent = backlog["free_bytes"] < compute_bytes(BATCH_LIMIT)
    assert is_budget_spent is is_link_full
