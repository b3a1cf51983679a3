"""The service addresses of a run."""

from citronwinch.coordination import Endpoint

SERVICES = {
    "gauging": Endpoint("198.18.0.1", 443),
    "reporting": Endpoint("198.18.0.2", 443),
}
"""The service addresses that callers use all the time."""

EDITED_PORT = 9_000
"""The port of the first address that an edit adds."""
