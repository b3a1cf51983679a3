"""The promises, checked from what callers and backend servers have seen."""

from collections import Counter
from typing import NamedTuple

LEAVE_LIMIT_S = 3.0
"""How long after its notice a leaving server may get new flows, in seconds."""

SERVED_AT_END = 0.98
"""The share of the requests in the quiet end that must be served."""


class Violation(NamedTuple):
    """A promise that was not kept."""

    promise: str
    """The promise."""

    detail: str
    """What was seen."""


class Observations:
    """What a run has seen, as plain records."""

    def __init__(self) -> None:
        self.wrong_answers: list[str] = []
        """Answers that were not the whole answer to their own request."""
        self.runs: list[tuple[str, str, str]] = []
        """Each run of a request: server, its service, and the request."""
        self.resets_of_live_flows: list[str] = []
        """Resets that reached a caller while its server held the flow."""
        self.late_openings: list[tuple[str, float]] = []
        """Openings at a leaving server, with the seconds since its notice."""
        self.stale_refusals: list[str] = []
        """Refusals of an address after its route had been in force for long."""
        self.stale_service: list[str] = []
        """Flows to an address whose route had been gone for long."""
        self.ended_alone: list[str] = []
        """Processes that ended without having been told to."""
        self.end_requests = 0
        """Requests in the quiet end of the run."""
        self.end_served = 0
        """Those of them that were served."""


def find_violations(seen: Observations) -> list[Violation]:
    """Return every promise that the observations break.

    Example::

        >>> seen = Observations()
        >>> seen.end_requests = seen.end_served = 10
        >>> run = ("i-1", "gauging", "gauging 1")
        >>> seen.runs = [run, run]
        >>> [violation.promise for violation in find_violations(seen)]
        ['at most once']
    """
    found = [Violation("whole answers", text) for text in seen.wrong_answers]
    counts = Counter(request for _, _, request in seen.runs)
    found += [
        Violation("at most once", f"{request} ran {count} times")
        for request, count in counts.items()
        if count > 1
    ]
    found += [
        Violation("own service", f"{request} at {server} of {service}")
        for server, service, request in seen.runs
        if not request.startswith(service)
    ]
    found += [Violation("live flows", text) for text in seen.resets_of_live_flows]
    found += [
        Violation("leaving servers", f"{text} after {seconds:.1f} s")
        for text, seconds in seen.late_openings
        if seconds > LEAVE_LIMIT_S
    ]
    found += [Violation("edits", text) for text in seen.stale_refusals]
    found += [Violation("edits", text) for text in seen.stale_service]
    found += [Violation("processes", text) for text in seen.ended_alone]
    if seen.end_served < SERVED_AT_END * seen.end_requests or not seen.end_requests:
        detail = f"{seen.end_served} of {seen.end_requests} served at the end"
        found.append(Violation("recovery", detail))
    return found
