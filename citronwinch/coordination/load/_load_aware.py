"""The chooser that balances the load of a service across its backend servers."""

from collections.abc import Sequence
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination._table import TableRow
from citronwinch.coordination.load._report import LoadReport, LoadState
from citronwinch.coordination.load._view import LoadView, PeerLoad

EVEN_LOAD_MARGIN = 0.0025
"""How far the first candidate may exceed the even load and still get the flow, as a
fraction of the even load.

The loads of the other candidates are compared in steps of the same size.
"""

MAX_AVERAGED_LOAD_RATIO = 1.25
"""Servers above this multiple of the mean load are left out of the mean."""

PANIC_ENTER_RATIO = 0.5
"""Above this fraction of ejected weight, panic mode begins: ejection is ignored."""

PANIC_LEAVE_RATIO = 0.34
"""At or below this fraction of ejected weight, panic mode ends."""

NO_CAPACITY_LOAD = 1e18
"""The relative load of a server without capacity; above every real load."""


class CandidateLoad(NamedTuple):
    """The estimated load of one candidate."""

    row: TableRow
    """The candidate's row in the table."""

    flows: float
    """Estimated flows: the reported ones and those probably assigned since."""

    capacity: float
    """The candidate's weight times the share of it that the server can carry now."""

    state: LoadState
    """Whether the server accepts new flows."""

    is_full: bool
    """Whether the server is estimated to be at its connection limit."""

    confidence: float
    """How reliable `flows` is: 1 for a fresh report, 0 without a report."""

    @property
    def relative_load(self) -> float:
        """Flows per unit of capacity."""
        return self.flows / self.capacity if self.capacity > 0 else NO_CAPACITY_LOAD


class LoadAwareChooser:
    """Assigns a flow to its first candidate while the load of the service is balanced.

    The even load is the relative load that each server of a balanced service has. The
    first candidate gets the flow unless it would then exceed the even load by more
    than `EVEN_LOAD_MARGIN`, and by more than one flow. Otherwise the least loaded
    candidate gets it. Loads in the same step of `EVEN_LOAD_MARGIN` times the even load
    count as equal; among these, a server of the own availability zone comes first,
    then the order of the candidates.

    The reports are up to a few seconds old, so the choice is a preference. When all
    candidates seem full, the chooser still returns one of them, because it may have
    room by now; the agent of the chosen server enforces the connection limit. The
    chooser returns None only when every candidate drains or sheds.
    """

    def __init__(
        self, backend_server: str, availability_zone: str, view: LoadView, clock: Clock
    ) -> None:
        self.backend_server = backend_server
        self.availability_zone = availability_zone
        self.view = view
        self.clock = clock
        self.own_report: LoadReport | None = None
        self.is_in_panic_mode = False

    def choose_owner(
        self, service: str, candidates: Sequence[TableRow], own_flows: int
    ) -> str | None:
        """Return the backend server that should own a new flow, None to refuse it."""
        loads = self.estimate_loads(service, candidates, own_flows)
        accepting = [load for load in loads if load.state is LoadState.ACCEPTING]
        usable = [load for load in accepting if not load.is_full]
        if not usable:
            usable = [load for load in loads if load.state is LoadState.EJECTED]
            usable = (
                [load for load in usable if not load.is_full] or accepting or usable
            )
        if not usable:
            return None
        chosen = self.choose_balanced(usable, compute_even_load(loads))
        if chosen != self.backend_server:
            self.view.record_choice(chosen)
        return chosen

    def choose_balanced(self, usable: Sequence[CandidateLoad], even_load: float) -> str:
        """Return the first candidate, or the least loaded if the first is too loaded.

        `even_load` is the relative load that each server of a balanced service has.
        """
        first = usable[0]
        even_flows = even_load * first.capacity
        allowed_excess = max(1.0, even_flows * EVEN_LOAD_MARGIN)
        if first.flows + 1 <= even_flows + allowed_excess:
            return first.row.backend_server
        equal_load_band = max(even_load * EVEN_LOAD_MARGIN, 1e-9)

        def rank(load: CandidateLoad) -> tuple[float, bool]:
            is_remote = load.row.availability_zone != self.availability_zone
            return load.relative_load // equal_load_band, is_remote

        return min(usable, key=rank).row.backend_server

    def estimate_loads(
        self, service: str, candidates: Sequence[TableRow], own_flows: int
    ) -> list[CandidateLoad]:
        """Return the estimated load of each candidate, in their order."""
        peers = [
            self.view.find_peer_load(row.backend_server, service) for row in candidates
        ]
        deciding_agents = 1 + sum(1 for peer in peers if peer is not None)
        loads = [
            self.estimate_own(row, own_flows)
            if row.backend_server == self.backend_server
            else self.estimate_peer(row, peer, deciding_agents)
            for row, peer in zip(candidates, peers, strict=True)
        ]
        loads = blend_uncertain_loads(loads)
        return self.ignore_ejection_in_panic(loads)

    def estimate_own(self, row: TableRow, own_flows: int) -> CandidateLoad:
        """Return the load of the own backend server.

        `own_flows` is exact. While this agent assigns flows to its peers, the peers
        are assumed to assign as many to this agent, so the choices that are still in
        flight are added.
        """
        report = self.own_report
        state = report.state if report else LoadState.ACCEPTING
        share = report.compute_share() if report else 1.0
        is_full = own_flows >= row.connection_limit
        flows = own_flows + self.view.count_choices_in_flight()
        return CandidateLoad(row, flows, row.weight * share, state, is_full, 1.0)

    def estimate_peer(
        self, row: TableRow, peer: PeerLoad | None, deciding_agents: int
    ) -> CandidateLoad:
        """Return the load of a peer from its report and the choices made since.

        All agents choose by the same rule. Each choice by this agent since the report
        is therefore counted once for each of the `deciding_agents`.
        """
        if peer is None:
            return CandidateLoad(
                row, 0.0, float(row.weight), LoadState.ACCEPTING, False, 0.0
            )
        report = peer.report
        now_ms = self.clock.now_ms()
        share = report.compute_share(now_ms - peer.received_ms)
        chosen = len(peer.choice_times_ms)
        limit = min(row.connection_limit, report.connection_limit)
        return CandidateLoad(
            row,
            report.flows + chosen * deciding_agents,
            row.weight * share,
            report.state,
            report.flows + chosen >= limit,
            peer.compute_confidence(now_ms),
        )

    def ignore_ejection_in_panic(
        self, loads: list[CandidateLoad]
    ) -> list[CandidateLoad]:
        """Update panic mode; in it, treat ejected servers as accepting new flows."""
        weight = sum(load.row.weight for load in loads)
        ejected = sum(
            load.row.weight for load in loads if load.state is LoadState.EJECTED
        )
        threshold = PANIC_LEAVE_RATIO if self.is_in_panic_mode else PANIC_ENTER_RATIO
        self.is_in_panic_mode = ejected > weight * threshold
        if not self.is_in_panic_mode:
            return loads
        return [
            load._replace(state=LoadState.ACCEPTING, capacity=float(load.row.weight))
            if load.state is LoadState.EJECTED
            else load
            for load in loads
        ]


def compute_even_load(loads: Sequence[CandidateLoad]) -> float:
    """Return the relative load that every server of a balanced service would have.

    New flows cannot lower the load of a server far above the mean, so such servers
    are left out and the mean of the remaining ones is returned.
    """
    counted = [
        load
        for load in loads
        if load.capacity > 0 and load.state is not LoadState.DRAINING
    ]
    while counted:
        flows = sum(load.flows for load in counted)
        even_load = flows / sum(load.capacity for load in counted)
        remaining = [
            load
            for load in counted
            if load.relative_load <= even_load * MAX_AVERAGED_LOAD_RATIO
        ]
        if len(remaining) == len(counted):
            return even_load
        counted = remaining
    return 0.0


def blend_uncertain_loads(loads: list[CandidateLoad]) -> list[CandidateLoad]:
    """Shift each load towards the even load in proportion to its uncertainty."""
    if all(load.confidence >= 1 for load in loads):
        return loads
    even_load = compute_even_load([load for load in loads if load.confidence > 0])
    return [
        load._replace(
            flows=load.flows * load.confidence
            + even_load * load.capacity * (1 - load.confidence)
        )
        for load in loads
    ]
