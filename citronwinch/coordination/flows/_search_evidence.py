"""What the answers to a search prove about a flow that nobody has found."""

from typing import NamedTuple

from citronwinch.coordination.flows._flow_search import FlowSearch
from citronwinch.coordination.flows._searched_servers import list_ended_agents
from citronwinch.coordination.flows._server_selector import ServerSelector
from citronwinch.coordination.flows._view import DeploymentView


class SearchEvidence(NamedTuple):
    """The agents that leave it open whether a flow exists."""

    silent: set[str]
    """Those that sent no answer, without those that stopped after their server."""

    uncertain: set[str]
    """Those that do not know all flows of their server."""

    unasked: set[str]
    """Those that have not been asked, because they became known during the search."""

    holders: int
    """The number of servers that might have held the flow."""

    needs_newer_listing: bool
    """Whether only a listing that is newer than the search is missing for a proof."""

    is_dead: bool
    """Whether the flow certainly does not exist."""


def gather_evidence(
    view: DeploymentView,
    selector: ServerSelector,
    search: FlowSearch,
    services: set[str],
) -> SearchEvidence:
    """Return what the answers of the agents of a route's services prove.

    Agents of other services do not count, nor do those whose servers are lost. Denials
    prove nothing while the listing is not settled, while no server is listed and some
    are expected, before a starting balancer knows the servers that have left, or while
    an agent that became known during the search has not been asked.

    The listing may lack a server that has just registered. If a balancer that might
    know it is silent, unknown, or has restarted, the listing has to be newer than the
    search.
    """
    holders = {s.address.ip for s in view.list_possible_holders(services)}
    holders -= list_ended_agents(view, selector, services)
    silent = search.list_silent(services) & holders
    uncertain = search.list_uncertain(services) & holders
    unasked = holders - search.verdicts.keys()
    is_denied = bool(
        not silent
        and not uncertain
        and not unasked
        and view.is_settled()
        and (holders or not view.expects_servers())
        and view.former_knowledge.is_complete
    )
    is_listing_newer = (view.confirmed_ms or 0) >= search.started_ms
    has_asked_all = not search.unanswered_balancers and not search.may_lack_balancers
    needs_newer_listing = not has_asked_all and not is_listing_newer
    return SearchEvidence(
        silent,
        uncertain,
        unasked,
        len(holders),
        needs_newer_listing=is_denied and needs_newer_listing,
        is_dead=is_denied and not needs_newer_listing,
    )
