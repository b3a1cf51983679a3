"""Logs and counts the former servers that are not asked about flows any more."""

import structlog

from citronwinch.coordination.flows import FormerServers
from citronwinch.operators import MetricKey, Metrics

log = structlog.get_logger()


def record_former_servers(former: FormerServers, metrics: Metrics) -> None:
    """Log the removals since the last call, and update the metrics."""
    for removal in former.take_unreported_removals():
        log.info(
            "former_server_removed",
            server=removal.server.name,
            agent=removal.server.address.ip,
            service=removal.server.service,
            reason=removal.reason.value,
        )
    for reason, count in former.removal_counts.items():
        key = MetricKey("former_servers_removed_total", reason.value)
        metrics.counters[key] = count
    metrics.set_gauge("former_servers", len(former))
