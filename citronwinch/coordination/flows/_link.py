"""The bandwidth of an instance's link."""

DEFAULT_LINK_MBPS = 1_000
"""The assumed link bandwidth of an instance that does not configure it, in megabits per
second."""
