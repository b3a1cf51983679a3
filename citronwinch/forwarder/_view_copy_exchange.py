"""Keeps an agent's copy of the view, and offers and serves it to balancers."""

import random
from typing import TYPE_CHECKING

import structlog
import trio

from citronwinch.coordination import Endpoint
from citronwinch.coordination.flows import CopySource, Heartbeat, ViewCopy
from citronwinch.forwarder._view_requests import (
    COMPRESSED_TYPE,
    FETCH_TIMEOUT_MS,
    VIEW_PATH,
)
from citronwinch.network import HttpError, HttpRequest, HttpResponse, fetch, serve

if TYPE_CHECKING:
    from citronwinch.forwarder._agent_process import AgentProcess

log = structlog.get_logger()


class ViewCopyExchange:
    """Runs the tasks that fetch and serve the copy of an agent."""

    def __init__(self, process: "AgentProcess") -> None:
        self.process = process
        self.metrics = process.metrics
        settings = process.settings
        rng = random.Random(settings.name)
        self.copy = ViewCopy(settings.availability_zone, process.clock, rng)
        self.is_offering = False

    def start_tasks(self, nursery: trio.Nursery) -> None:
        """Start serving the copy."""
        self.nursery = nursery
        settings = self.process.settings
        endpoint = Endpoint(settings.ip, settings.peer_port)
        nursery.start_soon(serve, endpoint, self._answer_view)

    def handle_heartbeat(self, heartbeat: Heartbeat, sender: str) -> None:
        """Record a balancer's view; the first heartbeat after silence is logged."""
        self.copy.record_heartbeat(heartbeat, sender)
        if self.is_offering:
            self.is_offering = False
            log.info("balancers_regained", balancer=sender)

    def tick(self) -> None:
        """Fetch a newer copy if that is due, or offer the copy to silent balancers."""
        source = self.copy.start_fetch()
        if source is not None:
            run_task = self.process.internal_errors.run_task
            self.nursery.start_soon(run_task, "fetch copy", self._fetch_copy, source)
        seeds = [seed.ip for seed in self.process.settings.seeds]
        receivers = self.copy.list_offer_receivers(seeds)
        if not receivers:
            return
        offer = self.copy.make_offer(self.process.evacuations.list_entries())
        self.metrics.count("view_offers_total")
        if not self.is_offering:
            self.is_offering = True
            log.warning(
                "balancers_silent",
                offered_to=receivers,
                configuration_version=offer.configuration_version,
                listing_age_ms=offer.listing_age_ms,
            )
        self.process.send_to_all(receivers, offer)

    async def _fetch_copy(self, source: CopySource) -> None:
        """Fetch a copy of the view from a balancer."""
        endpoint = Endpoint(source.balancer, self.process.settings.peer_port)
        target = f"{VIEW_PATH}?after=0&listing=0"
        try:
            response = await fetch(endpoint, target, FETCH_TIMEOUT_MS)
        except HttpError as error:
            self.metrics.count("view_fetch_errors_total")
            log.info("view_not_fetched", balancer=source.balancer, reason=str(error))
            return
        if response.status != 200 or response.content_type != COMPRESSED_TYPE:
            self.metrics.count("view_fetches_put_off_total")
            return
        self.copy.store(response.body, source.heartbeat)
        self.metrics.set_gauge("view_copy_bytes", len(self.copy.content))

    async def _answer_view(self, request: HttpRequest) -> HttpResponse:
        """Answer a balancer that lacks a view with the copy."""
        if request.path != VIEW_PATH or not self.copy.content:
            return HttpResponse(404, b'{"error":"this agent has no copy of a view"}')
        return HttpResponse(200, self.copy.content, COMPRESSED_TYPE)
