"""The interface through which steering asks load for the owner of a new flow."""

from collections.abc import Sequence
from typing import Protocol

from citronwinch.coordination._table import TableRow


class OwnerChooser(Protocol):
    """Chooses the backend server that owns a new flow.

    The agent that decides for a flow calls its chooser once. Each agent's steering
    enforces the connection limit of its own backend server exactly and independently
    of the chooser, so a choice from outdated reports cannot exceed a limit.
    """

    def choose_owner(
        self, service: str, candidates: Sequence[TableRow], own_flows: int
    ) -> str | None:
        """Return the backend server that should own a new flow, None to refuse it.

        `candidates` are the usable rows of the service in rendezvous order, and
        `own_flows` is the number of flows that the deciding agent owns now.
        """
        ...


class FirstCandidateChooser:
    """Chooses the first candidate, as plain rendezvous hashing does."""

    def choose_owner(
        self, service: str, candidates: Sequence[TableRow], own_flows: int
    ) -> str | None:
        """Return the first candidate, None without candidates."""
        return candidates[0].backend_server if candidates else None
