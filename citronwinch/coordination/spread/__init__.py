"""Spread: membership, and the table in force on every process."""

from citronwinch.coordination.spread._budget import (
    CONTROL_BURST_BYTES,
    CONTROL_BYTES_PER_SECOND,
    ControlBudget,
    ControlPriority,
)

__all__ = [
    "CONTROL_BURST_BYTES",
    "CONTROL_BYTES_PER_SECOND",
    "ControlBudget",
    "ControlPriority",
]
