"""Ends the flows of backend servers that have left the listing and are lost.

A server that has left the listing may serve its flows for a long time. Its agent may be
silent meanwhile, for example because it is restarted, and then the flows go on when the
agent is back. Silence alone therefore ends flows only after a time in which an agent
has certainly restarted.
"""

from collections import Counter

from citronwinch.coordination.flows._actions import Action, ResetFlow, record
from citronwinch.coordination.flows._control_pace import compute_former_interval_ms
from citronwinch.coordination.flows._former_knowledge import FORMER_RETENTION_MS
from citronwinch.coordination.flows._former_servers import FormerServer, RemovalReason
from citronwinch.coordination.flows._known_flows import KnownFlows
from citronwinch.coordination.flows._packets import make_placeholder_packet
from citronwinch.coordination.flows._server_selector import (
    HEARTBEATS_PER_TIMEOUT,
    ServerSelector,
)
from citronwinch.coordination.flows._view import DeploymentView

UNREACHABLE_SERVER_TIMEOUT_MS = 1_500
"""How long a backend server must be missing from the listing, and its agent fail to
reach it, before its flows are considered dead, in milliseconds; the agent tries several
times in this time."""

RESTARTED_AGENT_WAIT_MS = 1_500
"""How long after its first listing a balancer that has restarted with the whole fleet
waits for agents of which it has heard nothing, in milliseconds."""


def end_flows_of_lost_servers(
    view: DeploymentView,
    selector: ServerSelector,
    flows: KnownFlows,
    counters: Counter[str],
) -> list[Action]:
    """Reset the flows of servers that left the listing and are lost.

    Without a reset a caller would lose its next request on an idle flow, or would
    wait for the deadline of a request that is already sent.
    """
    view.former.record_check()
    if selector.is_isolated():
        view.former.restart_probes()
        return []
    _record_signs(view, selector)
    _readmit_returned(view, selector)
    if not view.former or not view.is_settled():
        return []
    actions: list[Action] = []
    for reason, names in _find_lost(view, selector).items():
        agents = view.remove_former(names, reason)
        if agents and reason is not RemovalReason.EXPIRED:
            actions += _end_flows(view, flows, counters, agents, reason)
    return actions


def _record_signs(view: DeploymentView, selector: ServerSelector) -> None:
    """Record when the agents of former servers were last heard."""
    for name, former in list(view.former.items()):
        heard_ms = selector.get_last_message_ms(former.server.address.ip)
        view.former.record_sign(name, heard_ms)


def _readmit_returned(view: DeploymentView, selector: ServerSelector) -> None:
    """Let lost servers hold flows again whose agents are back, or reach them again."""
    for name, lost in list(view.former.lost.items()):
        agent = lost.former.server.address.ip
        if selector.has_message_since(agent, lost.lost_ms + 1) and (
            selector.reaches_server(agent)
        ):
            view.former.readmit(name)


def _find_lost(
    view: DeploymentView, selector: ServerSelector
) -> dict[RemovalReason, list[str]]:
    """Return the names of lost servers, by the reason why these count as lost."""
    lost: dict[RemovalReason, list[str]] = {}
    for name, former in view.former.items():
        reason = _find_reason(view, selector, former)
        if reason is not None:
            lost.setdefault(reason, []).append(name)
    return lost


def _find_reason(
    view: DeploymentView, selector: ServerSelector, former: FormerServer
) -> RemovalReason | None:
    """Return why a former server is lost; None if its flows may live."""
    now_ms = view.clock.now_ms()
    agent = former.server.address.ip
    if selector.has_ended(former.server):
        return RemovalReason.SERVER_ENDED
    missing_ms = now_ms - former.missing_since_ms
    if missing_ms > FORMER_RETENTION_MS and selector.has_no_open_flows(agent):
        return RemovalReason.EXPIRED
    unreachable_since_ms = selector.find_unreachable_since_ms(agent)
    if unreachable_since_ms is not None:
        since_ms = max(former.missing_since_ms, unreachable_since_ms)
        is_lost = now_ms - since_ms >= UNREACHABLE_SERVER_TIMEOUT_MS
        return RemovalReason.SERVER_UNREACHABLE if is_lost else None
    last_message_ms = selector.get_last_message_ms(agent)
    if not last_message_ms and _has_waited_for_restarted_agents(view):
        return RemovalReason.AGENT_SILENT
    last_sign_ms = max(former.probed_since_ms, last_message_ms)
    if now_ms - last_sign_ms > _compute_silence_limit_ms(view):
        return RemovalReason.AGENT_SILENT
    return None


def _has_waited_for_restarted_agents(view: DeploymentView) -> bool:
    """Return whether the whole fleet has restarted, long enough ago for its agents.

    Agents that lost power at the same time as the balancers are back at the same time.
    """
    if not view.former_knowledge.is_fleet_restarted:
        return False
    return view.clock.now_ms() >= view.first_listed_ms + RESTARTED_AGENT_WAIT_MS


def _compute_silence_limit_ms(view: DeploymentView) -> int:
    """Return the longest silence of an agent whose server's flows may live, in ms."""
    interval_ms = compute_former_interval_ms(len(view.former))
    heartbeats_ms = HEARTBEATS_PER_TIMEOUT * interval_ms
    return max(view.former.agent_restart_ms, heartbeats_ms)


def _end_flows(
    view: DeploymentView,
    flows: KnownFlows,
    counters: Counter[str],
    agents: set[str],
    reason: RemovalReason,
) -> list[Action]:
    """Reset the flows that were open at lost servers.

    Other records are dropped: the flow may be open at a server that has accepted
    another copy of its opening. Its next packet begins a search.
    """
    known_flows = flows.pop_by_agents(agents)
    resets = [
        ResetFlow(make_placeholder_packet(key, flow.acknowledged))
        for key, flow in known_flows.items()
        if flow.is_open
    ]
    dropped = len(known_flows) - len(resets)
    counters["flows_reset"] += len(resets)
    counters["unproved_flows_dropped"] += dropped
    lost_servers = record(
        "servers_lost",
        agents=sorted(agents),
        reason=reason.value,
        flows_reset=len(resets),
        flows_dropped=dropped,
        view_age_ms=view.age_ms,
    )
    return [*resets, lost_servers]
