"""Scores backend servers by their load and by the time that they take for a request.

The load of a server is compared in open flows per slot of a server that takes the
median time for a request: a server that takes twice as long has the same score with
half of the flows and half of the waiting requests.
"""

from collections.abc import Sequence
from typing import NamedTuple

from citronwinch.coordination.flows._agent_state import AgentState
from citronwinch.coordination.flows._chosen_server import (
    MAX_DELIVERED_PRESSURE,
    compute_remote_cost_ms,
)

WAITING_REQUEST_WEIGHT = 4.0
"""How many open flows a waiting request counts for in a backend server's load."""

ADDED_FLOW_WEIGHT = 1.0 + WAITING_REQUEST_WEIGHT
"""How many open flows the flow to be placed counts for: it is open, and its first
request waits."""

BUSY_SHARE_WEIGHT = 20.0
"""How many open flows a backend server without idle time counts for in its load."""

MAX_SLOWNESS = 4.0
"""The largest factor by which a high latency multiplies a backend server's load."""

MIN_RELATIVE_SERVICE_TIME = 0.25
"""The least service time that a server is credited with, as a factor of the median. A
wrong low value then attracts at most four times the flows."""

UNREPORTED_SERVICE_MS = 17.5
"""The service time that is assumed until any server of a service reports one, in
milliseconds."""

PLACED_FLOW_PENDING_MS = 90
"""How long a flow counts as a waiting request after its placement, in milliseconds. By
then the agent has reported the request, or the server has answered it."""


class ServerLoad(NamedTuple):
    """The load of one backend server as a balancer knows it."""

    flows_per_slot: float
    """Its open flows per slot, with those placed recently."""

    pressure: float
    """Its waiting requests per slot, with the flows placed recently."""

    delivered_pressure: float
    """The part of `pressure` that its agent does not hold."""

    busy_share: float
    """The share of recent time in which it had work, 0 to 1."""

    latency_ms: int | None
    """Its recent mean time from a request to its answer; None without a report."""

    service_ms: int
    """Its time for a request, without time in a queue; 0 if unknown."""

    slots: int
    """The number of requests that it processes concurrently."""


class ServiceMedians(NamedTuple):
    """What is usual among the candidates, to which each of them is compared."""

    service_ms: float
    """The median of the known service times, in milliseconds."""

    latency_ms: float
    """The median of the latencies, each divided by the server's relative service time,
    in milliseconds."""


def read_load(agent: AgentState | None, slots: int, now_ms: int) -> ServerLoad:
    """Return the load of a server with some slots from what is known of its agent."""
    slots = max(slots, 1)
    if agent is None:
        return ServerLoad(0.0, 0.0, 0.0, 0.0, None, 0, slots)
    placed = agent.count_placed_flows(now_ms - PLACED_FLOW_PENDING_MS)
    report = agent.report
    if report is None:
        per_slot = placed / slots
        return ServerLoad(per_slot, per_slot, per_slot, 0.0, None, 0, slots)
    waiting = report.waiting + placed
    return ServerLoad(
        (report.open_flows + placed) / slots,
        waiting / slots,
        max(waiting - report.queued, 0) / slots,
        report.busy_share,
        report.latency_ms,
        report.service_ms,
        slots,
    )


def find_median_service_ms(service_ms: Sequence[int]) -> float:
    """Return the median of the service times that are known, those above 0.

    Example::

        >>> find_median_service_ms([20, 0, 48, 21]), find_median_service_ms([0])
        (21, 17.5)
    """
    known_ms = sorted(value for value in service_ms if value > 0)
    return known_ms[len(known_ms) // 2] if known_ms else UNREPORTED_SERVICE_MS


def compute_medians(loads: Sequence[ServerLoad], service_ms: float) -> ServiceMedians:
    """Return what is usual among some candidates with a median service time."""
    latencies_ms = sorted(
        load.latency_ms / _compute_relative_service_time(load, service_ms)
        for load in loads
        if load.latency_ms is not None
    )
    latency_ms = latencies_ms[len(latencies_ms) // 2] if latencies_ms else 1.0
    return ServiceMedians(service_ms, max(1.0, latency_ms))


def _compute_relative_service_time(load: ServerLoad, median_ms: float) -> float:
    """Return a server's service time as a factor of the median, 1.0 if unknown."""
    if load.service_ms <= 0:
        return 1.0
    return max(load.service_ms / median_ms, MIN_RELATIVE_SERVICE_TIME)


def is_load_full(load: ServerLoad, median_ms: float, limit_ms: float) -> bool:
    """Return whether a server has no room for a flow of a route.

    `limit_ms` is what `compute_full_wait_ms` returns for the route.
    """
    return (
        load.pressure * (load.service_ms or median_ms) >= limit_ms
        or load.delivered_pressure >= MAX_DELIVERED_PRESSURE
    )


def compute_remote_cost(median_ms: float, latency_objective_ms: int) -> float:
    """Return the load that a server of another zone is charged with for a route.

    It is the number of open flows that weigh as much as the requests that a server
    completes in the time that another zone costs. Servers that take long for a request
    count as if they took UNREPORTED_SERVICE_MS: queues differ at random by two or three
    requests, which would otherwise be a reason to leave the zone.
    """
    service_ms = min(median_ms, UNREPORTED_SERVICE_MS)
    requests = compute_remote_cost_ms(latency_objective_ms) / service_ms
    return WAITING_REQUEST_WEIGHT * requests


def compute_score(load: ServerLoad, medians: ServiceMedians) -> float:
    """Return the load of a server, in open flows per slot of a median server.

    The busy share is a share of time, which needs no weighing. The latency, which a
    slow server has without being loaded, is compared after division by the relative
    service time.

    The flow to be placed counts as well, as far as it is more work at this server than
    at a median server. Where servers hold four flows per slot, one flow more than its
    share overloads a server that takes twice as long. The limit lets a server whose
    learned time is far too long, because it hung, still get a flow now and then, whose
    requests correct that time.
    """
    relative = _compute_relative_service_time(load, medians.service_ms)
    added = (min(relative, MAX_SLOWNESS) - 1.0) * ADDED_FLOW_WEIGHT / load.slots
    work = load.flows_per_slot + WAITING_REQUEST_WEIGHT * load.pressure
    score = relative * work + BUSY_SHARE_WEIGHT * load.busy_share
    if load.latency_ms is None:
        return score + added
    slowness = load.latency_ms / relative / medians.latency_ms
    return score * min(max(slowness, 1.0), MAX_SLOWNESS) + added
