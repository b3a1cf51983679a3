"""The interface between steering and load: who takes a new flow."""

from collections.abc import Sequence
from typing import Protocol

from citronwinch.coordination._table import TableRow


class OwnerChooser(Protocol):
    """Chooses the backend server that takes a new flow.

    The agent that decides for a flow asks its chooser once. Steering enforces the
    connection limit of its own backend server exactly, whatever a chooser says, so a
    chooser that works from late reports can never break a limit.
    """

    def choose_owner(
        self, service: str, candidates: Sequence[TableRow], own_flows: int
    ) -> str | None:
        """Return the backend server that should take a new flow, None to refuse it.

        `candidates` are the usable rows of the service, best placed first, and
        `own_flows` is the number of flows that the deciding agent owns now.
        """
        ...


class FirstCandidateChooser:
    """Takes the first candidate, as plain rendezvous hashing does."""

    def choose_owner(
        self, service: str, candidates: Sequence[TableRow], own_flows: int
    ) -> str | None:
        """Return the first candidate, None when there is none."""
        return candidates[0].backend_server if candidates else None
