"""The lookups of flows at all balancers of the zone, before a flow counts as dead."""

from collections import Counter

from citronwinch.coordination._address import FlowKey
from citronwinch.coordination._clock import Clock
from citronwinch.coordination.flows._actions import SendMessage
from citronwinch.coordination.flows._flow_directory import FlowDirectory
from citronwinch.coordination.flows._flow_search import FlowSearch
from citronwinch.coordination.flows._messages import FlowLookup


class BalancerLookups:
    """Which balancers are asked about a flow, and which of them are waited for."""

    def __init__(
        self, directory: FlowDirectory, clock: Clock, counters: Counter[str]
    ) -> None:
        self.directory = directory
        self.clock = clock
        self.counters = counters
        self.unresponsive: set[str] = set()
        """The balancers that have left two lookups in a row unanswered. They are asked,
        but not waited for until they send a message."""

    def ask(self, key: FlowKey, search: FlowSearch) -> list[SendMessage]:
        """Look a flow up at all balancers of the zone before it counts as dead.

        Its backend server may have just registered, and be missing from the listing.
        """
        others = frozenset(self.directory.list_peers())
        self.unresponsive &= others & self.directory.silent
        silent = others & self.directory.silent
        search.ask_balancers(others - self.unresponsive, silent)
        search.unanswered_balancers |= others & self.unresponsive
        search.unanswered_balancers |= others & self.directory.list_recently_restarted()
        search.may_lack_balancers = self.directory.may_lack_balancers
        return [SendMessage(ip, FlowLookup(key)) for ip in sorted(others)]

    def give_up_overdue(self, search: FlowSearch) -> None:
        """Stop waiting for balancers that have not answered in time."""
        if self.clock.now_ms() < search.balancers_deadline_ms:
            return
        pending, search.pending_balancers = search.pending_balancers, set()
        search.unanswered_balancers |= pending
        self.counters["lookups_unanswered"] += len(pending)
        still_silent = search.silent_balancers & self.directory.silent
        self.unresponsive |= pending & still_silent
        self.directory.silent |= pending
