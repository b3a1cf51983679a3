"""The HTTP endpoint of a daemon: metrics, health, readiness and status."""

from collections.abc import Callable
from typing import NamedTuple

import orjson

from citronwinch.network import HttpRequest, HttpResponse
from citronwinch.operators import Metrics


class Status(NamedTuple):
    """What a daemon says about itself."""

    name: str
    """The instance's name."""

    role: str
    """The instance's role."""

    state: str
    """`starting`, `ready` or `stopping`."""

    revision: int
    """The table revision in force, 0 before there is one."""

    digest: str
    """The digest of the table in force, in hexadecimal."""

    flows: int
    """The flows that are held or remembered."""

    instances: int
    """The instances that are known."""


class StatusPage:
    """Answers the requests of operators and scrapers."""

    def __init__(self, metrics: Metrics, read_status: Callable[[], Status]) -> None:
        self.metrics = metrics
        self.read_status = read_status

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one request."""
        if request.path == "/metrics":
            content_type = "text/plain; version=0.0.4; charset=utf-8"
            return HttpResponse(200, self.metrics.render(), content_type)
        if request.path == "/healthz":
            return HttpResponse(200, b'{"healthy":true}')
        status = self.read_status()
        if request.path == "/readyz":
            ready = status.state == "ready"
            body = orjson.dumps({"ready": ready, "state": status.state})
            return HttpResponse(200 if ready else 503, body)
        if request.path == "/status":
            return HttpResponse(200, orjson.dumps(status._asdict()))
        return HttpResponse(404, b'{"error":"no such page"}')
