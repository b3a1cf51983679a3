"""Service addresses of a run."""

from citronwinch.coordination import Endpoint

SERVICES = {
    "gauging": Endpoint("198.18.0.1", 443),
    "reporting": Endpoint("198.18.0.2", 443),
}
"""The services whose routes stay for the whole run, with their addresses."""

ADDED_ROUTE_BASE_PORT = 9_000
"""The base of the ports of added routes.

The port of a route is this number plus the version of the configuration that adds it.
"""
