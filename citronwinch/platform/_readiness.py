"""How the platform's routers check whether a balancer accepts packets."""

READY_PATH = "/readyz"
"""HTTP path that the platform's routers query for the readiness of a balancer."""
