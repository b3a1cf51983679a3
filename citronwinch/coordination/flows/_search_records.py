"""What is logged about a search that has not found a holder of its flow."""

from citronwinch.coordination.flows._actions import Record, record
from citronwinch.coordination.flows._flow_search import FlowSearch
from citronwinch.coordination.flows._messages import Verdict
from citronwinch.coordination.flows._question_backlog import measure_backlog
from citronwinch.coordination.flows._question_batches import QuestionBatches
from citronwinch.coordination.flows._search_evidence import SearchEvidence
from citronwinch.coordination.flows._view import DeploymentView

LOGGED_AGENTS_LIMIT = 8
"""The most agents in a list of a log line, but for those that are silent or uncertain,
which explain why a flow was not reset."""


def record_without_holder(
    view: DeploymentView,
    search: FlowSearch,
    evidence: SearchEvidence,
    services: set[str],
    batches: QuestionBatches,
) -> Record:
    """Return the record of a search that ends with a reset, or without a result.

    A silent agent may not have been asked at all, because the link had no room for the
    question: `questions_unsent` counts these, and `backlog` says what waits.
    """
    return record(
        "dead_flow_reset" if evidence.is_dead else "flow_not_found",
        search.held_packets[0],
        absent=len(search.list_by_verdict(Verdict.ABSENT)),
        silent=sorted(evidence.silent),
        questions_unsent=len(evidence.silent - search.asked_agents),
        is_put_off=search.is_put_off,
        backlog=measure_backlog(batches)._asdict(),
        uncertain=sorted(evidence.uncertain),
        searched_ms=view.clock.now_ms() - search.started_ms,
        view_age_ms=view.age_ms,
        unasked=sorted(evidence.unasked)[:LOGGED_AGENTS_LIMIT],
        holders=evidence.holders,
        removed=view.former.describe_removals(services, LOGGED_AGENTS_LIMIT),
        former=len(view.former),
        former_source=view.former.source,
        is_former_complete=view.former_knowledge.is_complete,
        routes_known_for_ms=view.route_history.known_for_ms,
        listing=tuple(view.listing.position),
        balancers_asked=len(search.asked_balancers),
        balancers_silent=sorted(search.unanswered_balancers),
    )
