"""The faults under which requests are measured, alone and in pairs."""

import itertools
from typing import NamedTuple

PAIR_TRAFFIC_MS = 5_000
"""How long calls are begun in a case with two faults, in milliseconds."""


class RequestFaults(NamedTuple):
    """What goes wrong in one case."""

    loss: float = 0.0
    """The share of datagrams that are lost on each link."""

    duplication: float = 0.0
    """The share of datagrams that arrive twice."""

    jitter_ms: int = 2
    """The most that is added to the delay of a link, which reorders."""

    late_copies: float = 0.0
    """The share of datagrams of which another copy arrives seconds later."""

    owner_change: str = ""
    """`planned`: with the records handed over; `unplanned`: without."""

    restart: str = ""
    """`planned`: with the records handed over; `unplanned`: without."""

    pause_ms: int = 0
    """How long one agent is paused."""

    partition_ms: int = 0
    """How long one agent is cut off; its flows get other owners meanwhile."""

    shed: float = 0.0
    """The share of requests that backend servers shed."""

    never: float = 0.0
    """The share of requests that are run and never answered."""

    late_answer: float = 0.0
    """The share of requests that are answered after their deadline."""

    cancel: float = 0.0
    """The share of calls that are cancelled soon after they began."""

    refused: float = 0.0
    """The share of copies that steering refuses for good."""

    window_records: int = 0
    """The records that fit each window; 0 for the usual size."""

    load: float = 0.2
    """The offered load over the capacity of all backend servers."""

    traffic_ms: int = 10_000
    """How long calls are begun, in milliseconds."""


SINGLE_FAULTS: dict[str, dict[str, float | int | str]] = {
    "loss": {"loss": 0.05},
    "duplication": {"duplication": 0.2},
    "reordering": {"jitter_ms": 200},
    "late_copies": {"late_copies": 0.1},
    "owner_change": {"owner_change": "unplanned"},
    "agent_restart": {"restart": "unplanned"},
    "pause": {"pause_ms": 8_000},
    "partition": {"partition_ms": 4_000},
    "shed": {"shed": 0.2},
    "answered_late": {"late_answer": 0.1},
    "never_answered": {"never": 0.1},
    "cancel": {"cancel": 0.3},
    "refused": {"refused": 0.1},
    "window_full": {"window_records": 60},
    "overload_2x": {"load": 2.0},
}
"""The fields that each fault sets."""

PLANNED_FAULTS: dict[str, dict[str, float | int | str]] = {
    "planned_owner_change": {"owner_change": "planned"},
    "planned_restart": {"restart": "planned"},
}
"""Changes that must cost nothing by themselves."""


def list_cases() -> dict[str, RequestFaults]:
    """Return every case by name: none, each fault, and each pair of faults."""
    cases = {"none": RequestFaults()}
    for name, fields in {**SINGLE_FAULTS, **PLANNED_FAULTS}.items():
        cases[name] = RequestFaults(**fields)  # type: ignore[arg-type]
    for first, second in itertools.combinations(SINGLE_FAULTS, 2):
        fields = {**SINGLE_FAULTS[first], **SINGLE_FAULTS[second]}
        fields["traffic_ms"] = PAIR_TRAFFIC_MS
        cases[f"{first}+{second}"] = RequestFaults(**fields)  # type: ignore[arg-type]
    return cases
