"""What the questions of a balancer wait for."""

from typing import NamedTuple

from citronwinch.coordination.flows._question_batches import (
    MESSAGE_COST,
    QuestionBatches,
)


class QuestionBacklog(NamedTuple):
    """The questions that wait at one moment, and the room that the link has for them.

    With `free_bytes` or `free_messages` near zero the questions wait for the link; with
    many `owing_agents` they wait for answers.
    """

    questions: int
    """The questions to agents that owe no answer."""

    questions_to_owing: int
    """The questions to agents that owe an answer."""

    owing_agents: int
    """The number of these agents."""

    free_bytes: int
    """The bytes that may be sent now."""

    free_messages: int
    """The questions and batches that may be sent now."""


def measure_backlog(batches: QuestionBatches) -> QuestionBacklog:
    """Return what waits at a balancer now.

    Example::

        >>> from collections import Counter
        >>> from citronwinch.coordination import ManualClock
        >>> batches = QuestionBatches(
        ...     ManualClock(), 10, Counter(), lambda agent, flow: True
        ... )
        >>> measure_backlog(batches)
        QuestionBacklog(questions=0, questions_to_owing=0, owing_agents=0,
            free_bytes=187500, free_messages=600)
    """
    return QuestionBacklog(
        sum(len(state.collected) for state in batches.due.values()),
        sum(len(state.collected) for state in batches.blocked.values()),
        len(batches.blocked),
        batches.byte_budget.count_available_bytes(),
        batches.message_budget.count_available_bytes() // MESSAGE_COST,
    )
