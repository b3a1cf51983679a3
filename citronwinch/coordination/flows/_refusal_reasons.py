"""The reasons for which a balancer refuses openings without a backend server."""

from citronwinch.coordination.flows._deployment import Route
from citronwinch.coordination.flows._view import DeploymentView


def explain_missing_server(view: DeploymentView, route: Route) -> str:
    """Return why a route has no backend server left for an opening."""
    return "zones evacuated" if _has_evacuated(view, route) else "no server left"


def may_get_server(view: DeploymentView, route: Route) -> bool:
    """Return whether a route without a listed server may have one within seconds.

    Servers whose entries lapsed while the store was down register again after its
    return. An evacuation, on the other hand, lasts.
    """
    has_server = any(view.by_service.get(share.service) for share in route.shares)
    return not has_server and view.may_lack_servers()


def _has_evacuated(view: DeploymentView, route: Route) -> bool:
    services = [share.service for share in route.shares if share.weight > 0]
    return any(view.list_evacuated(service) for service in services)
