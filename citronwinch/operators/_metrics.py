"""Counters and gauges of a daemon, rendered by aioprometheus."""

from collections import Counter
from typing import NamedTuple

from aioprometheus import (
    Counter as ExportedCounter,
    Gauge as ExportedGauge,
    Histogram,
    Registry,
)
from aioprometheus.formats import text

from citronwinch.operators._metric_help import METRIC_HELP
from citronwinch.operators._service_levels import LATENCY_BUCKETS_MS, ServiceLevels


class MetricKey(NamedTuple):
    """One time series."""

    name: str
    """The metric's name without the `citronwinch_` prefix."""

    reason: str = ""
    """The value of the label `reason`; empty for a metric without it."""


class Metrics:
    """The counters and gauges of one process.

    The packet path adds to plain integers; the exporter's objects are filled when
    somebody reads them.

    Example::

        >>> metrics = Metrics()
        >>> metrics.count("packets_total")
        >>> metrics.counters[MetricKey("packets_total")]
        1
    """

    def __init__(self) -> None:
        self.counters: Counter[MetricKey] = Counter()
        self.gauges: dict[MetricKey, float] = {}
        self.histograms: dict[str, Histogram] = {}
        self.service_levels = ServiceLevels()

    def count(self, name: str, reason: str = "", amount: int = 1) -> None:
        """Add to a counter."""
        # A plain tuple equals its MetricKey and is made faster on the packet path.
        key = (name, reason)
        self.counters[key] += amount  # type: ignore[index]

    def set_gauge(self, name: str, value: float, reason: str = "") -> None:
        """Set a gauge."""
        self.gauges[MetricKey(name, reason)] = value

    def observe(self, name: str, value_ms: float) -> None:
        """Add a time in milliseconds to a histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            doc = METRIC_HELP.get(name, name.replace("_", " "))
            # Several processes may run in one interpreter, so that none may use the
            # exporter's common registry.
            histogram = self.histograms[name] = Histogram(
                f"citronwinch_{name}",
                doc,
                buckets=LATENCY_BUCKETS_MS,
                registry=Registry(),
            )
        histogram.observe({}, value_ms)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        registry = Registry()
        exported: dict[str, ExportedCounter | ExportedGauge] = {}
        for kind, values in (
            (ExportedCounter, self.counters),
            (ExportedGauge, self.gauges),
        ):
            for key, value in sorted(values.items()):
                key = MetricKey(*key)
                if key.name not in exported:
                    name = f"citronwinch_{key.name}"
                    doc = METRIC_HELP.get(key.name, key.name.replace("_", " "))
                    exported[key.name] = kind(name, doc, registry=registry)
                labels = {"reason": key.reason} if key.reason else {}
                exported[key.name].set(labels, value)
        for histogram in self.histograms.values():
            registry.register(histogram)
        formatter = text.TextFormatter()
        levels = formatter.marshall(self.service_levels.registry)
        rendered: bytes = formatter.marshall(registry) + levels
        return rendered
