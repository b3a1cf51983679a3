"""Recent counts of what a service's objectives are about, in bounded memory."""

from collections import Counter, OrderedDict, deque
from collections.abc import Iterable
from enum import IntEnum
from typing import Any, NamedTuple

from aioprometheus import Histogram, Registry
from hdrh.histogram import HdrHistogram

from citronwinch.operators._objectives import Objective

SLOT_MS = 10_000
"""The time over which counts are added up, in milliseconds."""

KEPT_MS = 6 * 3_600_000
"""How long counts are kept, in milliseconds."""

SLOT_LIMIT = 30_000
"""The most slots that are kept over all services."""

PENDING_LIMIT = 20_000
"""The most unanswered requests whose time is taken."""

ANSWER_TIMEOUT_MS = 30_000
"""When a request without a deadline counts as late, in milliseconds."""

LATENCY_LIMIT_MS = 3_600_000
"""The longest latency that is told apart, in milliseconds."""

LATENCY_BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000]
"""The upper bounds of the exported latency histogram, in milliseconds."""


class Outcome(IntEnum):
    """What became of a flow or a request; the position of its count in a slot."""

    FLOW_ENDED = 0
    """A flow ended by itself or was idle for the idle time."""

    FLOW_BROKEN = 1
    """A packet of an established flow could not be delivered."""

    ANSWERED_IN_TIME = 2
    """The whole answer left within the objective's time or the deadline."""

    ANSWERED_LATE = 3
    """The answer left later, or not at all before the deadline."""

    FAILED = 4
    """The caller was told that the request was not run, or that nobody knows."""


class PendingRequest(NamedTuple):
    """A request that has been delivered and not answered yet."""

    service: str
    """Its service."""

    arrived_ms: int
    """When it came."""

    due_ms: int
    """When its answer is late."""


class ServiceLevels:
    """Counts outcomes per service in slots of ten seconds.

    Example::

        >>> levels = ServiceLevels()
        >>> levels.count("gauging", Outcome.FAILED, 12_000)
        >>> levels.report(15_000)["services"]["gauging"]["slots"]
        [[1, 0, 0, 0, 0, 1]]

    The first number of a slot is its number, the others are the counts in the
    order of `Outcome`.
    """

    def __init__(self) -> None:
        self.objectives: dict[str, Objective] = {}
        self.slots: dict[str, deque[list[int]]] = {}
        self.slot_count = 0
        self.started_ms: int | None = None
        self.open_flows: Counter[str] = Counter()
        self.pending: OrderedDict[bytes, PendingRequest] = OrderedDict()
        self.untracked_requests = 0
        self.latencies: dict[str, HdrHistogram] = {}
        self.registry = Registry()
        self.exported = Histogram(
            "citronwinch_answer_latency_ms",
            "time from a request's arrival to its answer in milliseconds",
            registry=self.registry,
            buckets=LATENCY_BUCKETS_MS,
        )

    def configure(self, objectives: Iterable[Objective], now_ms: int) -> None:
        """Take over the objectives; counting begins now."""
        self.objectives = {objective.service: objective for objective in objectives}
        self.started_ms = now_ms

    def count(self, service: str, outcome: Outcome, now_ms: int) -> None:
        """Count one outcome."""
        if self.started_ms is None:
            self.started_ms = now_ms
        number = now_ms // SLOT_MS
        slots = self.slots.setdefault(service, deque())
        if not slots or slots[-1][0] != number:
            self.drop_old_slots(slots, number)
            slots.append([number, *(0 for _ in Outcome)])
            self.slot_count += 1
        slots[-1][1 + outcome] += 1

    def drop_old_slots(self, slots: deque[list[int]], number: int) -> None:
        """Drop the slots of a service that are too old or too many."""
        oldest = number - KEPT_MS // SLOT_MS
        limit = max(1, SLOT_LIMIT // len(self.slots))
        while slots and (slots[0][0] <= oldest or len(slots) >= limit):
            slots.popleft()
            self.slot_count -= 1

    def request_delivered(
        self, service: str, request_id: bytes, remaining_ms: int, now_ms: int
    ) -> None:
        """Begin to take the time of a request."""
        if request_id in self.pending:
            return
        if len(self.pending) >= PENDING_LIMIT:
            self.untracked_requests += 1
            return
        objective = self.objectives.get(service)
        limit_ms = objective.answer_time_ms if objective else None
        due_ms = now_ms + (limit_ms or remaining_ms or ANSWER_TIMEOUT_MS)
        self.pending[request_id] = PendingRequest(service, now_ms, due_ms)

    def request_answered(self, request_id: bytes, now_ms: int) -> None:
        """Count a request whose last part of the answer has left."""
        pending = self.pending.pop(request_id, None)
        if pending is None:
            return
        latency_ms = now_ms - pending.arrived_ms
        is_late = now_ms > pending.due_ms
        outcome = Outcome.ANSWERED_LATE if is_late else Outcome.ANSWERED_IN_TIME
        self.count(pending.service, outcome, now_ms)
        self.note_latency(pending.service, latency_ms)

    def request_failed(self, service: str, request_id: bytes, now_ms: int) -> None:
        """Count a request whose caller was told that it has no answer."""
        self.pending.pop(request_id, None)
        self.count(service, Outcome.FAILED, now_ms)

    def expire_requests(self, now_ms: int) -> None:
        """Count the requests as late whose time has passed without an answer."""
        late = [key for key, value in self.pending.items() if value.due_ms < now_ms]
        for request_id in late:
            pending = self.pending.pop(request_id)
            self.count(pending.service, Outcome.ANSWERED_LATE, now_ms)

    def note_latency(self, service: str, latency_ms: int) -> None:
        """Add a latency to the service's histograms."""
        histogram = self.latencies.get(service)
        if histogram is None:
            histogram = self.latencies[service] = HdrHistogram(1, LATENCY_LIMIT_MS, 2)
        histogram.record_value(min(max(1, latency_ms), LATENCY_LIMIT_MS))
        self.exported.observe({"service": service}, latency_ms)

    def report(self, now_ms: int) -> dict[str, Any]:
        """Return all counts as plain values, for the tool."""
        started_ms = self.started_ms if self.started_ms is not None else now_ms
        names = {*self.slots, *self.latencies, *self.open_flows}
        return {
            "now_ms": now_ms,
            "slot_ms": SLOT_MS,
            "kept_ms": min(now_ms - started_ms, KEPT_MS),
            "untracked_requests": self.untracked_requests,
            "services": {name: self.report_service(name) for name in sorted(names)},
        }

    def report_service(self, service: str) -> dict[str, Any]:
        """Return the counts of one service as plain values."""
        histogram = self.latencies.get(service)
        return {
            "open_flows": self.open_flows[service],
            "slots": [list(slot) for slot in self.slots.get(service, ())],
            "latency": histogram.encode().decode() if histogram else "",
        }
