"""Recent outcomes of flows and requests by service, in bounded memory."""

from __future__ import annotations

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable
from enum import IntEnum
from functools import cached_property
from typing import Any, NamedTuple

import aioprometheus
import hdrh.histogram

from citronwinch.operators._objectives import Objective

SLOT_MS = 10_000
"""Length of a slot, the interval that shares one set of counts, in milliseconds."""

RETENTION_MS = 6 * 3_600_000
"""Time after which counts are discarded, in milliseconds."""

SLOT_LIMIT = 30_000
"""Maximum number of slots of all services together."""

PENDING_LIMIT = 20_000
"""Maximum number of unanswered requests whose latency is measured."""

ANSWER_TIMEOUT_MS = 30_000
"""Time after which a request without any deadline is late, in milliseconds."""

LATENCY_LIMIT_MS = 3_600_000
"""The longest latency in the histograms, in milliseconds; longer latencies are recorded
as this one."""

LATENCY_BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000]
"""The upper bounds of the exported latency histogram, in milliseconds."""


class ObjectiveOutcome(IntEnum):
    """The outcome of a flow or a request; its value is its index among the counts."""

    FLOW_ENDED = 0
    """A flow was closed or exceeded the idle time."""

    FLOW_BROKEN = 1
    """A packet of an established flow could not be delivered."""

    ANSWERED_IN_TIME = 2
    """The whole answer was sent within the objective's time limit or the deadline."""

    ANSWERED_LATE = 3
    """The answer was sent later, or not at all before the deadline."""

    FAILED = 4
    """The caller was told that the request was not run or has an unknown outcome."""


class PendingRequest(NamedTuple):
    """A request that was delivered to the backend server and is not yet answered."""

    service: str
    """The service's name."""

    delivered_ms: int
    """Time of its delivery."""

    due_ms: int
    """Time after which its answer is late."""


class ServiceLevels:
    """Counts outcomes per service in slots of ten seconds.

    Example::

        >>> levels = ServiceLevels()
        >>> levels.count("gauging", ObjectiveOutcome.FAILED, 12_000)
        >>> levels.report(15_000)["services"]["gauging"]["slots"]
        [[1, 0, 0, 0, 0, 1]]

    A slot is a list of its slot number, which is the time divided by the length of a
    slot, and its counts in the order of `ObjectiveOutcome`.
    """

    def __init__(self) -> None:
        self.objectives: dict[str, Objective] = {}
        self.slots: dict[str, deque[list[int]]] = {}
        self.slot_count = 0
        self.started_ms: int | None = None
        self.open_flows: Counter[str] = Counter()
        self.pending: OrderedDict[bytes, PendingRequest] = OrderedDict()
        self.untracked_requests = 0
        self.latencies: dict[str, hdrh.histogram.HdrHistogram] = {}

    @cached_property
    def registry(self) -> aioprometheus.Registry:
        """The exporter's registry, with the histogram of latencies."""
        registry = aioprometheus.Registry()
        registry.register(self.exported_latency)
        return registry

    @cached_property
    def exported_latency(self) -> aioprometheus.Histogram:
        """The exported histogram of latencies."""
        return aioprometheus.Histogram(
            "citronwinch_answer_latency_ms",
            "time from a request's arrival to its answer in milliseconds",
            registry=aioprometheus.Registry(),
            buckets=LATENCY_BUCKETS_MS,
        )

    def configure(self, objectives: Iterable[Objective], now_ms: int) -> None:
        """Set the objectives and the start of the counts."""
        self.objectives = {objective.service: objective for objective in objectives}
        self.started_ms = now_ms

    def count(self, service: str, outcome: ObjectiveOutcome, now_ms: int) -> None:
        """Count one outcome."""
        if self.started_ms is None:
            self.started_ms = now_ms
        slot_number = now_ms // SLOT_MS
        slots = self.slots.setdefault(service, deque())
        if not slots or slots[-1][0] != slot_number:
            self.drop_old_slots(slots, slot_number)
            slots.append([slot_number, *(0 for _ in ObjectiveOutcome)])
            self.slot_count += 1
        slots[-1][1 + outcome] += 1

    def drop_old_slots(self, slots: deque[list[int]], slot_number: int) -> None:
        """Discard slots that are too old or exceed the service's part of the limit."""
        newest_expired_slot = slot_number - RETENTION_MS // SLOT_MS
        limit = max(1, SLOT_LIMIT // len(self.slots))
        while slots and (slots[0][0] <= newest_expired_slot or len(slots) >= limit):
            slots.popleft()
            self.slot_count -= 1

    def record_delivery(
        self, service: str, request_id: bytes, remaining_ms: int, now_ms: int
    ) -> None:
        """Start measuring the latency of a request; ignore a repeated delivery.

        While `PENDING_LIMIT` requests are unanswered, a further request is only counted
        as untracked.
        """
        if request_id in self.pending:
            return
        if len(self.pending) >= PENDING_LIMIT:
            self.untracked_requests += 1
            return
        objective = self.objectives.get(service)
        limit_ms = objective.answer_time_ms if objective else None
        due_ms = now_ms + (limit_ms or remaining_ms or ANSWER_TIMEOUT_MS)
        self.pending[request_id] = PendingRequest(service, now_ms, due_ms)

    def record_answer(self, request_id: bytes, now_ms: int) -> None:
        """Count a request when the last part of its answer was sent."""
        pending = self.pending.pop(request_id, None)
        if pending is None:
            return
        latency_ms = now_ms - pending.delivered_ms
        is_late = now_ms > pending.due_ms
        outcome = (
            ObjectiveOutcome.ANSWERED_LATE
            if is_late
            else ObjectiveOutcome.ANSWERED_IN_TIME
        )
        self.count(pending.service, outcome, now_ms)
        self.record_latency(pending.service, latency_ms)

    def record_failure(self, service: str, request_id: bytes, now_ms: int) -> None:
        """Count a request whose caller was told that it will get no answer."""
        self.pending.pop(request_id, None)
        self.count(service, ObjectiveOutcome.FAILED, now_ms)

    def expire_requests(self, now_ms: int) -> None:
        """Count unanswered requests as late once their time limit has passed."""
        late_request_ids = [
            pending_id
            for pending_id, request in self.pending.items()
            if request.due_ms < now_ms
        ]
        for request_id in late_request_ids:
            pending = self.pending.pop(request_id)
            self.count(pending.service, ObjectiveOutcome.ANSWERED_LATE, now_ms)

    def record_latency(self, service: str, latency_ms: int) -> None:
        """Add a latency to the service's histograms."""
        histogram = self.latencies.get(service)
        if histogram is None:
            histogram = self.latencies[service] = hdrh.histogram.HdrHistogram(
                1, LATENCY_LIMIT_MS, 2
            )
        histogram.record_value(min(max(1, latency_ms), LATENCY_LIMIT_MS))
        self.exported_latency.observe({"service": service}, latency_ms)

    def report(self, now_ms: int) -> dict[str, Any]:
        """Return all counts as JSON-compatible values."""
        started_ms = self.started_ms if self.started_ms is not None else now_ms
        names = {*self.slots, *self.latencies, *self.open_flows}
        return {
            "now_ms": now_ms,
            "slot_ms": SLOT_MS,
            "kept_ms": min(now_ms - started_ms, RETENTION_MS),
            "untracked_requests": self.untracked_requests,
            "services": {name: self.report_service(name) for name in sorted(names)},
        }

    def report_service(self, service: str) -> dict[str, Any]:
        """Return the counts of one service as JSON-compatible values."""
        histogram = self.latencies.get(service)
        return {
            "open_flows": self.open_flows[service],
            "slots": [list(slot) for slot in self.slots.get(service, ())],
            "latency": histogram.encode().decode() if histogram else "",
        }
