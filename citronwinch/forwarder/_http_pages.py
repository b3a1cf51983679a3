"""The HTTP pages of a balancer or agent: readiness and metrics."""

from typing import TYPE_CHECKING

import structlog

from citronwinch.coordination import Endpoint
from citronwinch.network import HttpRequest, HttpResponse, serve
from citronwinch.platform import READY_PATH

if TYPE_CHECKING:
    from citronwinch.forwarder._process import ForwarderProcess

log = structlog.get_logger()


async def serve_readiness(process: "ForwarderProcess") -> None:
    """Answer whether the process accepts packets, until cancelled."""

    async def answer(request: HttpRequest) -> HttpResponse:
        if request.path != READY_PATH:
            return HttpResponse(404, b'{"error":"no such page"}')
        if process.stop_requested_ms is None and process.is_ready():
            return HttpResponse(200, b"{}")
        return HttpResponse(503, b'{"error":"not ready"}')

    def count_error(reason: str) -> None:
        process.metrics.count("http_errors_total", reason)

    await serve(process.settings.ready_address, answer, count_error)


async def serve_metrics(process: "ForwarderProcess") -> None:
    """Serve the metrics until cancelled; only log an address that cannot be bound."""

    async def answer(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, process.metrics.render(), "text/plain; version=0.0.4")

    def count_error(reason: str) -> None:
        process.metrics.count("http_errors_total", reason)

    endpoint = Endpoint(process.settings.ip, process.settings.metrics_port)
    try:
        await serve(endpoint, answer, count_error)
    except OSError as error:
        log.warning("metrics_not_served", address=str(endpoint), reason=str(error))
