"""Spread: membership, and the table in force on every process."""

__all__: list[str] = []
