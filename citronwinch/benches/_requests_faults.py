"""The faults of the requests case, single and in pairs."""

import itertools
from typing import NamedTuple

PAIR_TRAFFIC_MS = 5_000
"""The duration of the traffic in milliseconds in a case with two faults."""


class RequestFaults(NamedTuple):
    """The faults and the load of one case."""

    loss: float = 0.0
    """The share of datagrams that are lost on each link."""

    duplication: float = 0.0
    """The share of datagrams that are delivered twice."""

    jitter_ms: int = 2
    """The maximum random extra delay in milliseconds, which reorders datagrams."""

    late_copies: float = 0.0
    """The share of datagrams of which another copy arrives 0.5 s to 4.5 s later."""

    owner_change: str = ""
    """How random flows change owner at a fixed interval; empty for no changes.

    `planned` transfers the records of the flow to the new owner, `unplanned` does not.
    """

    restart: str = ""
    """How one agent is restarted; empty for no restart.

    `planned` transfers the records of the agent, `unplanned` loses them.
    """

    pause_ms: int = 0
    """How long in milliseconds one agent is paused; 0 for no pause."""

    partition_ms: int = 0
    """How long in milliseconds one agent is unreachable; 0 for no partition.

    After a second its flows are assigned to the other agents.
    """

    shed: float = 0.0
    """The share of requests that backend servers shed."""

    never: float = 0.0
    """The share of requests that are run but never answered."""

    late_answer: float = 0.0
    """The share of requests that are answered after their deadline."""

    cancel: float = 0.0
    """The share of calls that their caller cancels within 40 ms."""

    refused: float = 0.0
    """The share of copies of requests that steering refuses."""

    window_records: int = 0
    """How many records fit in each request window; 0 for the default size."""

    load: float = 0.2
    """The offered load divided by the capacity of all backend servers."""

    traffic_ms: int = 10_000
    """How long in milliseconds callers start new calls."""


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
"""The fields of `RequestFaults` that each fault sets, by the name of the fault."""

PLANNED_FAULTS: dict[str, dict[str, float | int | str]] = {
    "planned_owner_change": {"owner_change": "planned"},
    "planned_restart": {"restart": "planned"},
}
"""Planned changes, which alone must leave every call answered."""


def list_cases() -> dict[str, RequestFaults]:
    """Return by name the case without faults, each fault and each pair of faults."""
    cases = {"none": RequestFaults()}
    for name, fields in {**SINGLE_FAULTS, **PLANNED_FAULTS}.items():
        cases[name] = RequestFaults(**fields)  # type: ignore[arg-type]
    for first, second in itertools.combinations(SINGLE_FAULTS, 2):
        fields = {**SINGLE_FAULTS[first], **SINGLE_FAULTS[second]}
        fields["traffic_ms"] = PAIR_TRAFFIC_MS
        cases[f"{first}+{second}"] = RequestFaults(**fields)  # type: ignore[arg-type]
    return cases
