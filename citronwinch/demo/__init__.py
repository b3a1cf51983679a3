"""A demo deployment on loopback whose configuration changes under traffic."""

from citronwinch.demo._demo import Demo, DemoOptions, DemoResult, run_demo
from citronwinch.demo._deployment import (
    DEPLOYMENTS,
    DERWENT,
    NAUTICA,
    Deployment,
    DeploymentShape,
    ServiceShape,
)

__all__ = [
    "DEPLOYMENTS",
    "DERWENT",
    "Demo",
    "Deployment",
    "DemoOptions",
    "DemoResult",
    "DeploymentShape",
    "NAUTICA",
    "ServiceShape",
    "run_demo",
]
