"""Flows under single changes and faults, and under pairs and triples of them.

The steering code is that of the daemon; links, clock, fabric, platform and callers
are fakes. The same seed gives the same output, byte for byte. If the environment
variable `CITRONWINCH_BENCH_ONLY` is set, only cases whose name contains its value
are run.
"""

import os
import random
from collections import Counter
from functools import partial
from typing import Any

from citronwinch.benches._steering_baselines import BASELINES
from citronwinch.benches._steering_callers import Callers
from citronwinch.benches._steering_changes import (
    CHANGES,
    CHANGES_BY_NAME,
    Change,
    list_combinations,
)
from citronwinch.benches._steering_fleet import (
    STEERING_DESIGN,
    Design,
    Fleet,
    FleetShape,
)

FAULT_FLOWS_PER_SERVER = 10
"""The flows per backend server in the cases with changes and faults."""

STEADY_FLOWS_PER_SERVER = 2_000
"""The flows per backend server in the steady case."""

STARTUP_MS = 3_500
"""How long the fleet runs before flows are opened."""

WARM_UP_MS = 3_000
"""How long flows run before the first change."""

CHANGE_GAP_MS = 400
"""The time between two changes of a case, short enough that they overlap."""

SETTLE_MS = 6_000
"""How long flows run after changes that must all keep established flows."""

SETTLE_AFTER_FAULT_MS = 12_000
"""How long flows run after changes of which at least one may break flows."""

STEADY_INTERVAL_MS = 2_000
"""The interval between two packets of a flow in the steady case."""

STEADY_MS = 4_000
"""How long the steady case is measured, after the changes have settled."""


def make_shape(name: str, balancers: int) -> FleetShape:
    """Return the shape of the deployment `name` with a number of balancers."""
    services, delay_ms = {
        "derwent": ((("gauging", 7), ("reporting", 3)), 5),
        "nautica": ((("dock", 7), ("gallery", 3)), 4),
    }[name]
    return FleetShape(f"{name}-{balancers}", delay_ms, services, balancers)


SHAPES = tuple(
    make_shape(name, count) for name in ("derwent", "nautica") for count in (4, 40)
)
"""Both deployments, with few and with many balancers."""


class CaseRun:
    """Runs a fleet under a list of changes."""

    def __init__(
        self, shape: FleetShape, design: Design, seed: int, flows_per_server: int
    ) -> None:
        self.fleet = Fleet(shape, design, seed)
        source = random.Random(f"callers-{shape.name}-{seed}")
        self.callers = Callers(self.fleet, source)
        self.callers.record_assignments()
        self.flows_per_server = flows_per_server
        self.source = source

    def warm_up(self) -> None:
        """Open the flows at random times within one second."""
        self.fleet.queue.run_until(self.fleet.now_ms + STARTUP_MS)
        for row in self.fleet.rows:
            for _ in range(self.flows_per_server):
                open_flow = partial(self.callers.open_flow, row.service)
                self.fleet.queue.call_after(self.source.randrange(1_000), open_flow)
        self.fleet.queue.run_until(self.fleet.now_ms + WARM_UP_MS)

    def apply(self, changes: tuple[Change, ...]) -> None:
        """Apply the changes shortly after one another and let the flows settle."""
        for index, change in enumerate(changes):
            apply = partial(change.apply, self.fleet, self.callers)
            self.fleet.queue.call_after(CHANGE_GAP_MS * index, apply)
        must_keep_flows = all(change.must_keep_flows for change in changes)
        settle_ms = SETTLE_MS if must_keep_flows else SETTLE_AFTER_FAULT_MS
        end_ms = self.fleet.now_ms + CHANGE_GAP_MS * len(changes) + settle_ms
        self.fleet.queue.run_until(end_ms)


def run_design(
    shape: FleetShape, design: Design, seed: int, changes: tuple[Change, ...]
) -> dict[str, Any]:
    """Return the figures of one design in one case."""
    run = CaseRun(shape, design, seed, FAULT_FLOWS_PER_SERVER)
    run.warm_up()
    fleet, callers = run.fleet, run.callers
    messages_before, bytes_before = fleet.control_messages, fleet.control_bytes
    callers.packets_by_hops.clear()
    start_ms = fleet.now_ms
    run.apply(changes)
    counts = callers.counts
    figures: dict[str, Any] = {
        "broken_flows": counts["broken_flows"],
        "misdirected_packets": counts["misdirected_packets"],
        "doubled_opens": counts["doubled_opens"],
    }
    if design is not STEERING_DESIGN:
        return figures
    seconds = (fleet.now_ms - start_ms) / 1_000
    daemons = len(fleet.nodes)
    figures["broken_flows_of_lost_server"] = counts["broken_of_lost_server"]
    figures["broken_flows_beyond_loss"] = (
        counts["broken_flows"] - counts["broken_of_lost_server"]
    )
    figures["lost_flows_ended_after_ms_max"] = max(
        callers.lost_flow_end_delays_ms, default=0
    )
    figures["refused_new_flows"] = counts["refused_new"]
    figures["extra_hops_p50"] = find_percentile(callers.packets_by_hops, 50)
    figures["extra_hops_p99"] = find_percentile(callers.packets_by_hops, 99)
    figures["control_messages_per_second_per_daemon"] = round(
        (fleet.control_messages - messages_before) / seconds / daemons, 3
    )
    figures["control_bytes_per_second_per_daemon"] = round(
        (fleet.control_bytes - bytes_before) / seconds / daemons, 1
    )
    figures["new_work_stopped_after_ms"] = find_last_new_flow_ms(run, start_ms, changes)
    figures["flows"] = len(callers.flows)
    return figures


def find_percentile(counts: Counter[int], percent: int) -> int:
    """Return a percentile of counted values."""
    needed = sum(counts.values()) * percent / 100
    counted = 0
    for value in sorted(counts):
        counted += counts[value]
        if counted >= needed:
            return value
    return 0


def find_last_new_flow_ms(
    run: CaseRun, start_ms: int, changes: tuple[Change, ...]
) -> int | None:
    """Return the ms from the change that drains a server to its last new flow.

    A drain is a weight of 0 or a list that has the instance as leaving. The result is
    None if no change drains a server.
    """
    service = run.fleet.shape.services[0][0]
    leaving = {"server_drains": f"{service}-2", "instance_leaves": f"{service}-3"}
    times = [
        run.callers.last_opened_ms_by_agent.get(leaving[change.name], 0)
        - start_ms
        - CHANGE_GAP_MS * index
        for index, change in enumerate(changes)
        if change.name in leaving
    ]
    return max(0, *times) if times else None


def run_fault_case(
    shape: FleetShape, seed: int, changes: tuple[Change, ...]
) -> dict[str, Any]:
    """Return the figures of one case for all designs."""
    name = "+".join(change.name for change in changes)
    return {
        "name": f"{shape.name}/{name}",
        "planned": all(change.must_keep_flows for change in changes),
        **run_design(shape, STEERING_DESIGN, seed, changes),
        "baselines": {
            design.name: run_design(shape, design, seed, changes)
            for design in BASELINES
        },
    }


def run_steady_case(seed: int) -> dict[str, Any]:
    """Return the figures of a full-size fleet after its changes have settled."""
    run = CaseRun(SHAPES[0], STEERING_DESIGN, seed, STEADY_FLOWS_PER_SERVER)
    run.callers.interval_ms = STEADY_INTERVAL_MS
    run.warm_up()
    run.apply((CHANGES_BY_NAME["weights_change"], CHANGES_BY_NAME["server_drains"]))
    fleet, callers = run.fleet, run.callers
    messages_before, bytes_before = fleet.control_messages, fleet.control_bytes
    fleet.bytes_by_type.clear()
    callers.packets_by_hops.clear()
    fleet.queue.run_until(fleet.now_ms + STEADY_MS)
    packets = sum(callers.packets_by_hops.values())
    seconds = STEADY_MS / 1_000
    return {
        "name": f"{SHAPES[0].name}/steady",
        "planned": True,
        "flows_per_server": STEADY_FLOWS_PER_SERVER,
        "flows": len(callers.flows),
        "packets": packets,
        "broken_flows": callers.counts["broken_flows"],
        "misdirected_packets": callers.counts["misdirected_packets"],
        "doubled_opens": callers.counts["doubled_opens"],
        "extra_hops_mean": round(
            sum(hops * count for hops, count in callers.packets_by_hops.items())
            / packets,
            4,
        ),
        "control_messages_per_second_per_daemon": round(
            (fleet.control_messages - messages_before) / seconds / len(fleet.nodes), 3
        ),
        "control_bytes_per_second_per_daemon": round(
            (fleet.control_bytes - bytes_before) / seconds / len(fleet.nodes), 1
        ),
        "control_bytes_by_type": dict(sorted(fleet.bytes_by_type.items())),
        "baselines": {},
    }


def list_cases() -> list[tuple[FleetShape, tuple[Change, ...]]]:
    """Return all cases.

    Single changes are run at every size, each combination at one size in turn.
    """
    singles = [(shape, (change,)) for change in CHANGES for shape in SHAPES]
    groups = list_combinations()
    combined = [(SHAPES[i % len(SHAPES)], group) for i, group in enumerate(groups)]
    return [*singles, *combined]


def run_case(seed: int) -> dict[str, Any]:
    """Return the figures of all cases."""
    name_filter = os.environ.get("CITRONWINCH_BENCH_ONLY", "")
    cases = [
        run_fault_case(shape, seed, changes)
        for shape, changes in list_cases()
        if name_filter in f"{shape.name}/" + "+".join(change.name for change in changes)
    ]
    if name_filter and name_filter not in "steady":
        return {"seed": seed, "cases": cases}
    steady = run_steady_case(seed)
    planned = [case for case in cases if case["planned"]]
    return {
        "seed": seed,
        "fault_table_flows_per_server": FAULT_FLOWS_PER_SERVER,
        "steady_extra_hops_mean": steady["extra_hops_mean"],
        "planned_broken_flows": sum(case["broken_flows"] for case in planned),
        "misdirected_packets": sum(case["misdirected_packets"] for case in cases),
        "doubled_opens": sum(case["doubled_opens"] for case in cases),
        "cases": [steady, *cases],
    }
