"""Tracks which requests occupy the slots of a backend server."""

from collections import OrderedDict
from typing import NamedTuple

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._service_times import ServiceTimes

HUNG_FACTOR = 4
"""A request that takes longer than this many times the learned service time may be
hung."""

MIN_HUNG_MS = 250
"""A request that takes less than this is not hung, in milliseconds: services take up to
70 ms, and a few requests in a hundred 7 times as long."""

RUNNING_TIMEOUT_MS = 15_000
"""A request without an answer for this long is forgotten, in milliseconds; longer than
the longest timeout of a route."""


class RunningRequest(NamedTuple):
    """A request that was delivered to the backend server and is not answered."""

    delivered_ms: int
    """When it was delivered."""

    started_ms: int | None
    """When a slot became free for it; None while it waits in the server's own queue."""

    wait_ms: int
    """How long the agent held it before, in milliseconds; 0 if it was not held."""

    charged_ms: int
    """The service time that its caller has been charged with, in milliseconds."""

    @property
    def counts_since_ms(self) -> int:
        """The time from which it may be hung: its start, or its delivery until then."""
        return self.delivered_ms if self.started_ms is None else self.started_ms


class ServerSlots:
    """The delivered requests of a backend server with a number of slots.

    A request occupies a slot from its delivery to the first data of its answer, unless
    it takes so long that it may be hung.
    """

    def __init__(self, clock: Clock, service_times: ServiceTimes) -> None:
        self.clock = clock
        self.service_times = service_times
        self.slots = 0
        """The number of requests that the server processes concurrently; 0 if
        unknown, in which case no request is tracked."""
        self.running: OrderedDict[FlowKey, RunningRequest] = OrderedDict()
        """The unanswered requests by flow, in the order of their delivery."""

    def record_delivery(self, flow: FlowKey, wait_ms: int, charged_ms: int) -> None:
        """Record that a request was delivered to the backend server."""
        if not self.slots:
            return
        now_ms = self.clock.now_ms()
        self._forget_oldest(now_ms)
        self.running.pop(flow, None)
        started_ms = now_ms if len(self.running) < self.slots else None
        self.running[flow] = RunningRequest(now_ms, started_ms, wait_ms, charged_ms)

    def end_request(self, flow: FlowKey) -> RunningRequest | None:
        """Remove and return a request; the server starts the next one of its queue."""
        ended = self.running.pop(flow, None)
        if ended is not None and ended.started_ms is not None:
            for key, request in self.running.items():
                if request.started_ms is None:
                    now_ms = self.clock.now_ms()
                    self.running[key] = request._replace(started_ms=now_ms)
                    break
        return ended

    def count_occupied(self) -> int:
        """Return the number of requests that occupy a slot or wait in the server."""
        limit_ms = max(MIN_HUNG_MS, HUNG_FACTOR * self.service_times.service_ms)
        oldest_ms = self.clock.now_ms() - limit_ms
        return sum(
            request.counts_since_ms >= oldest_ms for request in self.running.values()
        )

    def has_free(self) -> bool:
        """Return whether a slot is free."""
        return len(self.running) < self.slots or self.count_occupied() < self.slots

    def _forget_oldest(self, now_ms: int) -> None:
        while self.running:
            flow, request = next(iter(self.running.items()))
            if now_ms - request.delivered_ms < RUNNING_TIMEOUT_MS:
                break
            del self.running[flow]
