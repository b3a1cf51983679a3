"""The backend servers whose agents are queried about a flow."""

from collections.abc import Collection, Iterable

from citronwinch.coordination._address import FlowKey, extract_service_endpoint
from citronwinch.coordination.flows._question_batches import QuestionBatches
from citronwinch.coordination.flows._search_rounds import (
    REMOTE_ANSWER_TIMEOUT_MS,
    SearchedServers,
)
from citronwinch.coordination.flows._server_selector import ServerSelector
from citronwinch.coordination.flows._trial_records import AGENT_RESTART_LIMIT_MS
from citronwinch.coordination.flows._view import DeploymentView

UNRELATED_SERVERS_LIMIT = 200
"""Servers of unrelated services, which the route is not known to have ever had, are
searched only if there are at most this many; beyond it the questions cost more than
they find."""


def list_servers_to_query(view: DeploymentView, key: FlowKey) -> SearchedServers:
    """Return the servers to query about a flow.

    Servers of services that the route is not known to have ever had are left out if
    they are too many. The route may have had them while changes may have been missed.
    """
    address = extract_service_endpoint(key)
    configuration = view.configuration
    route = configuration.routes.get(address) if configuration else None
    services = {share.service for share in route.shares} if route else set()
    former_services = view.list_current_and_former_services(address) - services
    route_servers = view.list_possible_holders(services)
    former = view.list_possible_holders(former_services)
    others = view.list_possible_holders(
        view.list_services() - services - former_services
    )
    if len(others) > UNRELATED_SERVERS_LIMIT:
        return SearchedServers(route_servers, former)
    if view.route_history.is_complete:
        return SearchedServers(route_servers, former, others)
    return SearchedServers(route_servers, [*former, *others])


def list_ended_agents(
    view: DeploymentView, selector: ServerSelector, services: Collection[str]
) -> set[str]:
    """Return the agents that stopped after their backend server had ended."""
    holders = view.list_possible_holders(services)
    ended = {s.address.ip for s in holders if selector.has_ended(s)}
    return ended - {s.address.ip for s in holders if not selector.has_ended(s)}


def list_silent_agents(
    selector: ServerSelector, batches: QuestionBatches, agents: Iterable[str]
) -> frozenset[str]:
    """Return the agents that sent nothing since a question, for the longest timeout."""
    latest_ms = batches.clock.now_ms() - REMOTE_ANSWER_TIMEOUT_MS
    return frozenset(
        ip
        for ip in agents
        if (since_ms := batches.find_unanswered_since_ms(ip)) is not None
        and since_ms <= latest_ms
        and not selector.has_message_since(ip, since_ms)
    )


def list_restarting_agents(
    view: DeploymentView,
    selector: ServerSelector,
    batches: QuestionBatches,
    services: Collection[str],
    started_ms: int,
) -> frozenset[str]:
    """Return the agents of services that may answer within a restart.

    Those that have been silent for longer are left out, so that an instance that is
    lost does not delay all flows. The silence of an agent of which nothing is known
    begins with its first unanswered question, and not before this balancer started,
    unless another balancer has stated the silence with a server that has left.
    After a restart of the whole fleet no agent is waited for: all have been killed, and
    with one lost instance no flow would be found.
    """
    if view.former_knowledge.is_fleet_restarted:
        return frozenset()
    holders = {server.address.ip for server in view.list_possible_holders(services)}
    now_ms = batches.clock.now_ms()
    return frozenset(
        ip
        for ip in holders - list_ended_agents(view, selector, services)
        if now_ms - _find_silence_start_ms(view, selector, batches, ip, started_ms)
        < AGENT_RESTART_LIMIT_MS
    )


def _find_silence_start_ms(
    view: DeploymentView,
    selector: ServerSelector,
    batches: QuestionBatches,
    agent: str,
    started_ms: int,
) -> int:
    """Return since when an agent has been silent, in milliseconds; now if unknown."""
    if last_message_ms := selector.get_last_message_ms(agent):
        return max(started_ms, last_message_ms)
    stated_ms = view.former.find_silence_start_ms(agent)
    if stated_ms is not None and stated_ms < started_ms:
        return stated_ms
    now_ms = batches.clock.now_ms()
    return max(started_ms, batches.find_unanswered_since_ms(agent) or now_ms)
