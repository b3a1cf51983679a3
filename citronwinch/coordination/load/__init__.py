"""Load: which backend server takes a new flow, and when work is refused."""

__all__: list[str] = []
