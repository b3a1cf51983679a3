"""Load: which backend server takes a new flow, and when work is refused."""

from citronwinch.coordination.load._chooser import FirstCandidateChooser, OwnerChooser

__all__ = ["FirstCandidateChooser", "OwnerChooser"]
