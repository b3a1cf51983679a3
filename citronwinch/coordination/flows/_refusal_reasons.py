"""The reasons for which a balancer refuses openings."""

from citronwinch.coordination.flows._deployment import Route
from citronwinch.coordination.flows._view import DeploymentView


def explain_missing_server(view: DeploymentView, route: Route) -> str:
    """Return why a route has no backend server left for an opening."""
    services = [share.service for share in route.shares if share.weight > 0]
    is_evacuated = any(view.list_evacuated(service) for service in services)
    return "zones evacuated" if is_evacuated else "no server left"
