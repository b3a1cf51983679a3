"""The HTTP endpoint of a daemon: metrics, health, readiness and status."""

from collections.abc import Callable
from typing import NamedTuple

import orjson

from citronwinch.coordination import (
    Clock,
    Endpoint,
    Flow,
    FlowKey,
    MonotonicClock,
    TransportProtocol,
)
from citronwinch.network import HttpRequest, HttpResponse
from citronwinch.operators import Metrics

STALLED_MS = 5_000
"""How long the deciding task may handle no event, in milliseconds.

A daemon is unhealthy and not ready after a longer time.
"""


class Status(NamedTuple):
    """The status of a daemon, as `/status` shows it."""

    name: str
    """The instance's name."""

    role: str
    """The instance's role."""

    state: str
    """`starting`, `ready` or `stopping`."""

    revision: int
    """The table revision in force, 0 before there is one."""

    digest: str
    """The digest of the rows that the process has, in hexadecimal."""

    flows: int
    """The number of flows that are owned or have a cached owner."""

    instances: int
    """The number of known instances."""

    idle_ms: int = 0
    """The time since the deciding task started its last event, in milliseconds."""

    scope: str = ""
    """The comma-separated services whose rows the process has.

    It is empty for a balancer, which has all rows, and for an agent without any row.
    """


class StatusPage:
    """Answers HTTP requests of operators and of metrics scrapers.

    `find_owner` returns the owner of a flow, empty if the process does not know it.
    """

    def __init__(
        self,
        metrics: Metrics,
        read_status: Callable[[], Status],
        find_owner: Callable[[FlowKey], str] = lambda flow: "",
        clock: Clock | None = None,
    ) -> None:
        self.metrics = metrics
        self.read_status = read_status
        self.find_owner = find_owner
        self.clock = clock or MonotonicClock()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answer one HTTP request."""
        self.metrics.count("http_requests_total")
        if request.method not in ("GET", "HEAD"):
            return HttpResponse(405, b'{"error":"only GET"}')
        if request.path == "/metrics":
            content_type = "text/plain; version=0.0.4; charset=utf-8"
            return HttpResponse(200, self.metrics.render(), content_type)
        if request.path == "/service-levels":
            report = self.metrics.service_levels.report(self.clock.now_ms())
            return HttpResponse(200, orjson.dumps(report))
        if request.path == "/flow":
            return self.answer_flow(request.query)
        return self.answer_status(request.path)

    def count_error(self, reason: str) -> None:
        """Count an HTTP request that could not be answered."""
        self.metrics.count("http_errors_total", reason)

    def answer_status(self, path: str) -> HttpResponse:
        """Answer a request for health, readiness or status."""
        status = self.read_status()
        if path == "/healthz":
            healthy = status.idle_ms < STALLED_MS
            body = orjson.dumps({"healthy": healthy, "idle_ms": status.idle_ms})
            return HttpResponse(200 if healthy else 503, body)
        if path == "/readyz":
            reason = find_unready_reason(status)
            answer = {"ready": not reason, "state": status.state, "reason": reason}
            return HttpResponse(503 if reason else 200, orjson.dumps(answer))
        if path == "/status":
            return HttpResponse(200, orjson.dumps(status._asdict()))
        return HttpResponse(404, b'{"error":"no such page"}')

    def answer_flow(self, query: dict[str, str]) -> HttpResponse:
        """Answer a request for the owner of the flow in the query."""
        try:
            flow = Flow(
                TransportProtocol[query["protocol"].upper()],
                Endpoint.parse(query["caller"]),
                Endpoint.parse(query["service"]),
            )
            owner = self.find_owner(flow.key)
        except (KeyError, ValueError):
            expected = b'{"error":"expected protocol, caller and service"}'
            return HttpResponse(400, expected)
        return HttpResponse(200, orjson.dumps({"owner": owner}))


def find_unready_reason(status: Status) -> str:
    """Return why a process is not ready for traffic, empty if it is ready."""
    if status.state != "ready":
        return "no table yet" if status.state == "starting" else status.state
    if not status.revision:
        return "no table yet"
    if status.role == "balancer" and not status.instances:
        return "no instances known"
    if status.idle_ms >= STALLED_MS:
        return "the deciding task is stalled"
    return ""
