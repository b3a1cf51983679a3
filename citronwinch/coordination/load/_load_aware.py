"""The chooser that keeps the load of a service even."""

from collections.abc import Sequence
from typing import NamedTuple

from citronwinch.coordination._clock import Clock
from citronwinch.coordination._table import TableRow
from citronwinch.coordination.load._report import LoadReport, ServerState
from citronwinch.coordination.load._view import LoadView, PeerLoad

EVEN_LOAD_MARGIN = 0.0025
"""How far above its even share a server may be and still keep its own flows."""

OUTLIER_LOAD_RATIO = 1.25
"""A server this far above the even share does not count in the mean."""

PANIC_ENTER_RATIO = 0.5
"""With more than this part of the weight ejected, ejection is ignored."""

PANIC_LEAVE_RATIO = 0.34
"""With at most this part of the weight ejected, ejection counts again."""

NO_CAPACITY_LOAD = 1e18
"""The relative load of a server that should have no flows at all."""


class CandidateLoad(NamedTuple):
    """What is believed about one candidate."""

    row: TableRow
    """The candidate."""

    flows: float
    """Its flows, those that were probably given to it since its report included."""

    capacity: float
    """Its weight times the share of it that it can carry now."""

    state: ServerState
    """Whether it takes new flows."""

    is_full: bool
    """Whether it is believed to be at its connection limit."""

    confidence: float
    """How much of `flows` is known: 1 for a fresh report, 0 for none."""

    @property
    def relative_load(self) -> float:
        """Its flows relative to its capacity."""
        return self.flows / self.capacity if self.capacity > 0 else NO_CAPACITY_LOAD


class LoadAwareChooser:
    """Keeps a flow at its first candidate while the service is even.

    The first candidate keeps the flow unless its load is above its even share by
    more than a margin. Otherwise the least loaded candidate takes it. Loads within
    one margin count as equal; among these a server of the same availability zone
    comes first, then the order of the candidates.

    The chooser works from reports of a few seconds ago, so it only prefers. It
    returns a server that seems full when all seem full, because one of them may have
    room by now; the taker alone enforces its limit. It returns None only when every
    candidate drains or sheds.
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
        """Return the backend server that should take a new flow, None to refuse it."""
        loads = self.estimate_loads(service, candidates, own_flows)
        taking = [load for load in loads if load.state is ServerState.ACCEPTING]
        usable = [load for load in taking if not load.is_full]
        if not usable:
            usable = [load for load in loads if load.state is ServerState.EJECTED]
            usable = [load for load in usable if not load.is_full] or taking or usable
        if not usable:
            return None
        chosen = self.choose_balanced(usable, find_even_load(loads))
        if chosen != self.backend_server:
            self.view.record_choice(chosen)
        return chosen

    def choose_balanced(self, usable: Sequence[CandidateLoad], level: float) -> str:
        """Return the first candidate or, when it is above its share, the least one."""
        first = usable[0]
        even_flows = level * first.capacity
        slack = max(1.0, even_flows * EVEN_LOAD_MARGIN)
        if first.flows + 1 <= even_flows + slack:
            return first.row.backend_server
        band = max(level * EVEN_LOAD_MARGIN, 1e-9)

        def rank(load: CandidateLoad) -> tuple[float, bool]:
            is_remote = load.row.availability_zone != self.availability_zone
            return load.relative_load // band, is_remote

        return min(usable, key=rank).row.backend_server

    def estimate_loads(
        self, service: str, candidates: Sequence[TableRow], own_flows: int
    ) -> list[CandidateLoad]:
        """Return what is believed about each candidate, in their order."""
        peers = [self.view.find_peer(row.backend_server, service) for row in candidates]
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

        Its flows are known exactly. While this agent passes flows on, the others pass
        as many to it, and those of the last moment have not arrived yet.
        """
        report = self.own_report
        state = report.state if report else ServerState.ACCEPTING
        share = report.find_share() if report else 1.0
        is_full = own_flows >= row.connection_limit
        flows = own_flows + self.view.count_choices_in_flight()
        return CandidateLoad(row, flows, row.weight * share, state, is_full, 1.0)

    def estimate_peer(
        self, row: TableRow, peer: PeerLoad | None, deciding_agents: int
    ) -> CandidateLoad:
        """Return the load of a peer from its report and the choices since.

        The other agents choose by the same rule as this one, so each own choice
        since the report stands for one by each of them.
        """
        if peer is None:
            return CandidateLoad(
                row, 0.0, float(row.weight), ServerState.ACCEPTING, False, 0.0
            )
        report = peer.report
        now_ms = self.clock.now_ms()
        share = report.find_share(now_ms - peer.received_ms)
        chosen = len(peer.choice_times_ms)
        limit = min(row.connection_limit, report.connection_limit)
        return CandidateLoad(
            row,
            report.flows + chosen * deciding_agents,
            row.weight * share,
            report.state,
            report.flows + chosen >= limit,
            peer.find_confidence(now_ms),
        )

    def ignore_ejection_in_panic(
        self, loads: list[CandidateLoad]
    ) -> list[CandidateLoad]:
        """Treat ejected servers as taking when most of the weight is ejected."""
        weight = sum(load.row.weight for load in loads)
        ejected = sum(
            load.row.weight for load in loads if load.state is ServerState.EJECTED
        )
        threshold = PANIC_LEAVE_RATIO if self.is_in_panic_mode else PANIC_ENTER_RATIO
        self.is_in_panic_mode = ejected > weight * threshold
        if not self.is_in_panic_mode:
            return loads
        return [
            load._replace(state=ServerState.ACCEPTING, capacity=float(load.row.weight))
            if load.state is ServerState.EJECTED
            else load
            for load in loads
        ]


def find_even_load(loads: Sequence[CandidateLoad]) -> float:
    """Return the load relative to capacity that an even service would have.

    Servers far above it cannot be brought down by new flows, so they are left out
    and the level of the others is what new flows should keep.
    """
    counted = [
        load
        for load in loads
        if load.capacity > 0 and load.state is not ServerState.DRAINING
    ]
    while counted:
        flows = sum(load.flows for load in counted)
        level = flows / sum(load.capacity for load in counted)
        kept = [
            load for load in counted if load.relative_load <= level * OUTLIER_LOAD_RATIO
        ]
        if len(kept) == len(counted):
            return level
        counted = kept
    return 0.0


def blend_uncertain_loads(loads: list[CandidateLoad]) -> list[CandidateLoad]:
    """Move loads towards the even level as far as they are unknown."""
    if all(load.confidence >= 1 for load in loads):
        return loads
    level = find_even_load([load for load in loads if load.confidence > 0])
    return [
        load._replace(
            flows=load.flows * load.confidence
            + level * load.capacity * (1 - load.confidence)
        )
        for load in loads
    ]
