"""Logs and counts the zones that become evacuated or restored."""

import structlog

from citronwinch.coordination.flows import Evacuations
from citronwinch.operators import Metrics

log = structlog.get_logger()


class EvacuationLog:
    """Logs each change of the active zones once in this process."""

    def __init__(self, evacuations: Evacuations, metrics: Metrics) -> None:
        self.evacuations = evacuations
        self.metrics = metrics
        self.logged_zones: frozenset[str] = frozenset()
        """The active zones at the last call of `record_changes`."""
        metrics.set_gauge("evacuated_zones", 0)

    def record_changes(self, source: str) -> frozenset[str]:
        """Log the zones that changed since the last call, and return them.

        `source` is `store` or the address of the balancer that sent the change.
        """
        active_zones = self.evacuations.active_zones
        changed = active_zones ^ self.logged_zones
        if not changed:
            return changed
        self.logged_zones = active_zones
        self.metrics.set_gauge("evacuated_zones", len(active_zones))
        for zone in sorted(changed):
            # An entry beyond the limit is removed while its zone is active.
            entry = self.evacuations.entries.get(zone)
            log.warning(
                "zone_evacuated" if zone in active_zones else "zone_restored",
                zone=zone,
                era=entry.position.era if entry else None,
                revision=entry.position.revision if entry else None,
                source=source,
            )
        return changed
