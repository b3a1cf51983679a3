"""Checks the promises of the system against the observations of a soak run."""

from collections import Counter
from typing import NamedTuple

DRAIN_EFFECT_LIMIT_S = 3.0
"""How long a draining backend server may still get new flows, in seconds."""

EVACUATION_EFFECT_LIMIT_S = 5.0
"""How long after the store's acknowledgement an opening may still reach a backend
server of an evacuated zone, in seconds."""

MIN_RECOVERY_SERVED_SHARE = 0.98
"""The least share of `recovery_requests` that must be answered."""


class Violation(NamedTuple):
    """A promise that the system broke."""

    promise: str
    """The name of the promise."""

    detail: str
    """What was observed."""


class Observations:
    """What the callers, the backend servers and the supervisor observed in a run."""

    def __init__(self) -> None:
        self.wrong_answers: list[str] = []
        """Answers that were incomplete or belonged to another request."""
        self.executions: list[tuple[str, str, str]] = []
        """Each execution of a request: backend server, its service, and the request."""
        self.live_flow_resets: list[str] = []
        """Resets that a caller received while a backend server still held the flow."""
        self.astray_flows: list[str] = []
        """Open flows of which several packets in a row reached other servers than the
        one that held the flow."""
        self.openings_at_draining_servers: list[tuple[str, float]] = []
        """Flows opened at a draining backend server, each with the seconds since the
        server was marked as draining."""
        self.openings_at_evacuated_servers: list[tuple[str, float]] = []
        """Flows whose opening reached a backend server of an evacuated zone, each with
        the seconds from the request to evacuate the zone to the opening."""
        self.refused_new_routes: list[str] = []
        """Addresses that refused a flow although the edit that added their route had
        had the time to take effect."""
        self.served_removed_routes: list[str] = []
        """Addresses that accepted a flow although the edit that removed their route had
        had the time to take effect."""
        self.unexpected_exits: list[str] = []
        """Exits of processes that had been sent neither SIGTERM nor SIGKILL."""
        self.recovery_requests = 0
        """Requests sent in the last half of the recovery period."""
        self.recovery_served = 0
        """The number of these requests that got an answer, correct or not."""


def find_violations(observations: Observations) -> list[Violation]:
    """Return each violation of a promise that the observations show.

    Example::

        >>> observations = Observations()
        >>> observations.recovery_requests = observations.recovery_served = 10
        >>> execution = ("i-1", "gauging", "gauging 1")
        >>> observations.executions = [execution, execution]
        >>> [violation.promise for violation in find_violations(observations)]
        ['at most once']
    """
    violations = [
        Violation("whole answers", text) for text in observations.wrong_answers
    ]
    counts = Counter(request for _, _, request in observations.executions)
    violations += [
        Violation("at most once", f"{request} ran {count} times")
        for request, count in counts.items()
        if count > 1
    ]
    violations += [
        Violation("own service", f"{request} at {server} of {service}")
        for server, service, request in observations.executions
        if not request.startswith(service)
    ]
    violations += [
        Violation("live flows", text) for text in observations.live_flow_resets
    ]
    violations += [Violation("own server", text) for text in observations.astray_flows]
    violations += [
        Violation("leaving servers", f"{text} after {seconds:.1f} s")
        for text, seconds in observations.openings_at_draining_servers
        if seconds > DRAIN_EFFECT_LIMIT_S
    ]
    violations += [
        Violation("evacuated zones", f"{text} after {seconds:.1f} s")
        for text, seconds in observations.openings_at_evacuated_servers
        if seconds > EVACUATION_EFFECT_LIMIT_S
    ]
    violations += [Violation("edits", text) for text in observations.refused_new_routes]
    violations += [
        Violation("edits", text) for text in observations.served_removed_routes
    ]
    violations += [
        Violation("processes", text) for text in observations.unexpected_exits
    ]
    if (
        observations.recovery_served
        < MIN_RECOVERY_SERVED_SHARE * observations.recovery_requests
        or not observations.recovery_requests
    ):
        detail = (
            f"{observations.recovery_served} of {observations.recovery_requests} "
            "served at the end"
        )
        violations.append(Violation("recovery", detail))
    return violations
