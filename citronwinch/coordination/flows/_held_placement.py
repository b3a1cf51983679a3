"""Places the openings that a balancer holds, and refuses those without a chance."""

from collections import Counter, defaultdict, deque
from collections.abc import Sequence

from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import Action
from citronwinch.coordination.flows._chosen_server import ChosenServer
from citronwinch.coordination.flows._held_opening import HeldOpening
from citronwinch.coordination.flows._opening_order import ServicePool
from citronwinch.coordination.flows._opening_placement import OpeningPlacement
from citronwinch.coordination.flows._priority_turns import (
    PLACEMENTS_PER_LOWER_PRIORITY,
    PriorityTurns,
)
from citronwinch.coordination.flows._refusal_reasons import (
    explain_missing_server,
    may_get_server,
)

LATE_OPENING_PRESSURE_LIMIT = 1.0
"""A late opening is placed only at a backend server with a lower pressure than this;
below it the server counts as idle."""

ESTIMATE_FACTOR = 2
"""How many times faster than in the last second openings may be placed from now on;
one is refused only if that would not be fast enough."""

OpeningKind = tuple[str, bool, tuple[str, ...]]
"""The route, the need for an idle server and the order of services of an opening.
Openings of one kind find room or not at the same servers."""


class HeldPlacement:
    """Goes through the held openings at each tick, and when a new one arrives.

    After an opening finds no room, the rest of its kind is skipped, so that many held
    openings cost a few server choices instead of one each.
    """

    def __init__(self, placement: OpeningPlacement, clock: Clock) -> None:
        self.placement = placement
        self.held_openings = placement.held_openings
        self.clock = clock
        self.turns: dict[ServicePool, PriorityTurns] = {}
        """The turns of priorities, for each pool of services that openings wait for."""

    def tick(self) -> list[Action]:
        """Place held openings where there is room; refuse those without a chance."""
        actions: list[Action] = []
        by_pool = self.held_openings.list_by_pool()
        self.turns = {pool: self._get_turns(pool) for pool in by_pool}
        for pool, waiting in by_pool.items():
            placing = PlacingPass(self.placement, self.clock, self.turns[pool])
            actions += placing.place(waiting)
            actions += self._refuse(pool, placing)
        self.held_openings.update_rates()
        return actions

    def place_for(self, services: frozenset[str]) -> list[Action]:
        """Place held openings that compete for the services; refuse none."""
        actions: list[Action] = []
        for pool, waiting in self.held_openings.list_by_pool(services).items():
            turns = self.turns.setdefault(pool, PriorityTurns())
            actions += PlacingPass(self.placement, self.clock, turns).place(waiting)
        return actions

    def _get_turns(self, pool: ServicePool) -> PriorityTurns:
        return self.turns.get(pool) or PriorityTurns()

    def _refuse(self, pool: ServicePool, placing: "PlacingPass") -> list[Action]:
        """Refuse openings whose time is up or will be before their turn.

        A lower priority may get one of every eight placements, whatever is ahead of it.
        It is not known for how long other lower ones share these with it.
        """
        actions: list[Action] = []
        now_ms = self.clock.now_ms()
        view = self.placement.view
        for held in placing.without_server:
            if now_ms >= held.deadline_ms or not may_get_server(view, held.route):
                reason = explain_missing_server(view, held.route)
                actions += self._refuse_held(held, reason)
        rates = self.held_openings.rates
        most_per_s = ESTIMATE_FACTOR * rates.estimate_most_per_s(
            pool, self.placement.estimate_capacity_per_s(pool)
        )
        placed, observed_ms = rates.count_placed(pool)
        ahead = 0
        ahead_by_priority = Counter[int]()
        highest = min((h.route.priority for h in placing.without_room), default=0)
        for held in placing.without_room:
            turns, priority = ahead, held.route.priority
            if priority != highest:
                lower_turns = (
                    PLACEMENTS_PER_LOWER_PRIORITY * ahead_by_priority[priority]
                )
                turns = min(ahead, lower_turns)
            wait_ms = 1_000 * turns / most_per_s
            has_chance = (
                now_ms + wait_ms <= held.deadline_ms
                or held.may_be_accepted
                or not placing.is_full(held)
            )
            if now_ms < held.deadline_ms and has_chance:
                ahead += 1
                ahead_by_priority[priority] += 1
                continue
            actions += self._refuse_held(
                held,
                "no room in time",
                ahead=ahead,
                placed_per_s=round(1_000 * placed / max(1, observed_ms), 1),
                waited_ms=now_ms - held.received_ms,
            )
        return actions

    def _refuse_held(
        self, held: HeldOpening, reason: str, **details: object
    ) -> list[Action]:
        return self.placement.refuse(
            held.packet, held.route, held.times, (), reason, **details
        )


class PlacingPass:
    """One pass over the held openings of a pool, and what it found out."""

    def __init__(
        self, placement: OpeningPlacement, clock: Clock, turns: PriorityTurns
    ) -> None:
        self.placement = placement
        self.now_ms = clock.now_ms()
        self.turns = turns
        self.best_without_room: dict[OpeningKind, ChosenServer] = {}
        """The best server for each kind of openings that found no room."""
        self.kinds_without_server: set[OpeningKind] = set()
        """The kinds of openings whose route has no server."""
        self.without_server: list[HeldOpening] = []
        """The openings whose route has no server left."""
        self.without_room: list[HeldOpening] = []
        """The openings that found no room, in the order of placement."""

    def place(self, waiting: Sequence[HeldOpening]) -> list[Action]:
        """Place openings, which are in order, as far as there is room."""
        actions: list[Action] = []
        queues: dict[int, deque[HeldOpening]] = defaultdict(deque)
        for held in waiting:
            queues[held.route.priority].append(held)
        finished = set()
        while queues:
            priority = self.turns.choose(queues)
            queue = queues[priority]
            while queue:
                held = queue.popleft()
                if placed := self._place_one(held):
                    actions += placed
                    finished.add(held.packet.flow)
                    self.turns.record_placed(priority, queues)
                    break
            if not queue:
                del queues[priority]
        finished |= {held.packet.flow for held in self.without_server}
        self.without_room = [h for h in waiting if h.packet.flow not in finished]
        return actions

    def is_full(self, held: HeldOpening) -> bool:
        """Return whether no server had any room for an opening that was not placed."""
        best = self.best_without_room.get(self._make_kind(held))
        return best is None or best.is_full(held.route.latency_objective_ms)

    def _place_one(self, held: HeldOpening) -> list[Action]:
        if self.now_ms >= held.caller_gives_up_ms:
            return []
        kind = self._make_kind(held)
        if kind in self.best_without_room:
            return []
        if kind in self.kinds_without_server:
            self.without_server.append(held)
            return []
        chosen = self.placement.choose_server(held.packet, held.route)
        if chosen is None:
            self.kinds_without_server.add(kind)
            self.without_server.append(held)
            return []
        if must_wait(chosen, held, self.now_ms):
            self.best_without_room[kind] = chosen
            return []
        return self.placement.forward(
            held.packet, held.route, held.times, chosen, set()
        )

    def _make_kind(self, held: HeldOpening) -> OpeningKind:
        needs_idle = needs_idle_server(held, self.now_ms)
        return held.route.name, needs_idle, held.services_by_preference


def needs_idle_server(held: HeldOpening, now_ms: int) -> bool:
    """Return whether an opening waits until a server is idle.

    An opening that is late by its own attempt does: queueing it ahead of openings that
    can still meet their latency objective would make those late as well. When its time
    is up, any room will do.
    """
    return held.attempt_timely_until_ms < now_ms < held.deadline_ms


def must_wait(chosen: ChosenServer, held: HeldOpening, now_ms: int) -> bool:
    """Return whether an opening has to wait as the chosen server is full for it."""
    if needs_idle_server(held, now_ms):
        return chosen.pressure >= LATE_OPENING_PRESSURE_LIMIT
    return chosen.is_full(held.route.latency_objective_ms)
