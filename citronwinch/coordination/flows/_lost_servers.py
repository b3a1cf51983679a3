"""Ends the flows of backend servers that are lost together with their agents."""

from collections import Counter

from citronwinch.coordination.flows._actions import Action, ResetFlow, record
from citronwinch.coordination.flows._former_servers import RemovalReason
from citronwinch.coordination.flows._known_flows import KnownFlows
from citronwinch.coordination.flows._packets import make_placeholder_packet
from citronwinch.coordination.flows._server_selector import ServerSelector
from citronwinch.coordination.flows._view import DeploymentView

LOST_SERVER_TIMEOUT_MS = 1_500
"""How long a backend server must be missing from the listing before its flows are
considered dead, in milliseconds; its agent is contacted several times before that."""


def end_flows_of_lost_servers(
    view: DeploymentView,
    selector: ServerSelector,
    flows: KnownFlows,
    counters: Counter[str],
) -> list[Action]:
    """Reset the flows of servers that left the listing and whose agents are lost.

    Without a reset a caller would lose its next request on an idle flow, or would
    wait for the deadline of a request that is already sent.
    """
    if not view.is_settled() or selector.is_isolated():
        return []
    former_servers = view.list_former(LOST_SERVER_TIMEOUT_MS)
    lost_agents = {
        s.address.ip for s in former_servers if selector.is_unavailable(s.address.ip)
    }
    if not lost_agents:
        return []
    view.remove_former(lost_agents, RemovalReason.SERVER_LOST)
    reset_flows = flows.pop_by_agents(lost_agents)
    actions: list[Action] = [
        ResetFlow(make_placeholder_packet(key, flow.acknowledged))
        for key, flow in reset_flows.items()
    ]
    counters["flows_reset"] += len(reset_flows)
    lost_servers = record(
        "servers_lost",
        agents=sorted(lost_agents),
        flows_reset=len(reset_flows),
        view_age_ms=view.age_ms,
    )
    return [*actions, lost_servers]
