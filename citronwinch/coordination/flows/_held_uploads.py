"""Openings of large requests that wait until the balancer's link has room."""

from collections.abc import Callable

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import Action
from citronwinch.coordination.flows._held_opening import HeldOpening
from citronwinch.coordination.flows._held_openings import HELD_OPENINGS_LIMIT
from citronwinch.coordination.flows._opening_placement import OpeningPlacement
from citronwinch.coordination.flows._refusal_reasons import explain_missing_server
from citronwinch.coordination.flows._upload_admission import ENDED_UPLOADS

TRANSFER_TIME_MARGIN = 1.5
"""How many mean transfer times an upload is allowed for being in time; transfer times
vary, and the last packets wait to be forwarded."""


class HeldUploads:
    """Admits held uploads when others end; refuses those without a chance.

    They wait apart from the openings without room at a server, which they must not
    delay.
    """

    def __init__(
        self,
        placement: OpeningPlacement,
        clock: Clock,
        place: Callable[[HeldOpening], list[Action]],
    ) -> None:
        self.placement = placement
        self.uploads = placement.uploads
        self.clock = clock
        self.place = place
        """Places an admitted opening, holds it for a server or refuses it."""
        self.openings: dict[FlowKey, HeldOpening] = {}
        """The openings that wait for the link."""
        self.awaiting_server: set[FlowKey] = set()
        """The admitted flows whose openings wait for room at a server."""

    def handle_opening(self, held: HeldOpening) -> list[Action]:
        """Admit or hold a new opening; refuse it if too many are held."""
        flow = held.packet.flow
        if flow not in self.openings and len(self.openings) >= HELD_OPENINGS_LIMIT:
            return self._refuse(held, "too many openings wait")
        self.openings.setdefault(flow, held)
        actions = self.admit()
        if flow in self.openings and self.openings[flow] is held:
            self.placement.counters["openings_held"] += 1
            self.uploads.end_rates.record_waiting((ENDED_UPLOADS,))
        return actions

    def admit(self) -> list[Action]:
        """Place held openings while the link has room: the oldest that is not late."""
        actions: list[Action] = []
        if not self.openings or not self._has_room():
            return actions
        for held in self.list_in_order():
            if not self._has_room():
                break
            flow = held.packet.flow
            del self.openings[flow]
            if self.clock.now_ms() >= held.caller_gives_up_ms:
                actions += self._refuse_waiting(held, ahead=0)
                continue
            actions += self.place(held)
            if flow in self.placement.held_openings.openings:
                self.awaiting_server.add(flow)
        return actions

    def tick(self) -> list[Action]:
        """Admit held openings; refuse those without a server or without a chance."""
        actions = self.admit()
        rates = self.uploads.end_rates
        # After a pause the rate says nothing, and its observation begins anew.
        rates.update_waiting((ENDED_UPLOADS,) if self.openings else ())
        now_ms = self.clock.now_ms()
        ended_per_s = rates.estimate_per_s((ENDED_UPLOADS,))
        ahead = 0
        for held in self.list_in_order():
            wait_ms = 1_000 * ahead / ended_per_s
            if not self._has_server(held):
                reason = explain_missing_server(self.placement.view, held.route)
                actions += self._refuse(held, reason)
            elif now_ms >= held.deadline_ms or now_ms + wait_ms > held.deadline_ms:
                actions += self._refuse_waiting(held, ahead)
            else:
                ahead += 1
        return actions

    def remove(self, flow: FlowKey) -> None:
        """Remove an opening whose flow turned out to be open."""
        self.openings.pop(flow, None)

    def list_in_order(self) -> list[HeldOpening]:
        """Return the openings, those that are not late first, then by age."""
        now_ms = self.clock.now_ms()

        def make_key(held: HeldOpening) -> tuple[bool, int]:
            return self._find_timely_until_ms(held) < now_ms, held.times.first_ms

        return sorted(self.openings.values(), key=make_key)

    def _has_room(self) -> bool:
        self.awaiting_server &= self.placement.held_openings.openings.keys()
        accepted = self.uploads.count() + len(self.awaiting_server)
        return accepted < self.uploads.limit

    def _find_timely_until_ms(self, held: HeldOpening) -> float:
        """Return until when an upload can be admitted and still be in time."""
        mean_ms = self.uploads.mean_transfer_ms
        if mean_ms is None:
            return held.attempt_timely_until_ms
        objective_ms = held.route.latency_objective_ms
        return held.times.attempt_ms + objective_ms - TRANSFER_TIME_MARGIN * mean_ms

    def _has_server(self, held: HeldOpening) -> bool:
        view = self.placement.view
        return any(view.list_ready(service) for service in held.services)

    def _refuse_waiting(self, held: HeldOpening, ahead: int) -> list[Action]:
        waited_ms = self.clock.now_ms() - held.received_ms
        return self._refuse(held, "link full", ahead=ahead, waited_ms=waited_ms)

    def _refuse(
        self, held: HeldOpening, reason: str, **details: object
    ) -> list[Action]:
        self.remove(held.packet.flow)
        return self.placement.refuse(
            held.packet, held.route, held.times, (), reason, **details
        )
