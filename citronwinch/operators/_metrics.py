"""Metrics of a daemon, exported by aioprometheus."""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from itertools import accumulate
from typing import NamedTuple

import aioprometheus

from citronwinch.operators._metric_help import METRIC_HELP
from citronwinch.operators._service_levels import LATENCY_BUCKETS_MS, ServiceLevels


class MetricKey(NamedTuple):
    """Identifies one time series."""

    name: str
    """The metric's name without the `citronwinch_` prefix."""

    reason: str = ""
    """The value of the label `reason`; empty for a metric without it."""


class BucketCounts:
    """Counts times by the buckets `LATENCY_BUCKETS_MS`.

    The exporter's histogram takes several times as long to count one time.
    """

    def __init__(self) -> None:
        self.counts = [0] * (len(LATENCY_BUCKETS_MS) + 1)
        """The times up to each bound and above the previous one; last, all others."""
        self.sum_ms = 0.0

    def observe(self, value_ms: float) -> None:
        """Count a time in milliseconds."""
        self.counts[bisect_left(LATENCY_BUCKETS_MS, value_ms)] += 1
        self.sum_ms += value_ms

    def export(self, name: str) -> aioprometheus.Histogram:
        """Return the exporter's histogram with these counts."""
        from aioprometheus.histogram import Histogram

        help_text = METRIC_HELP.get(name, name.replace("_", " "))
        # Several daemons may run in one interpreter, so a histogram must not be added
        # to the exporter's global registry.
        exported = aioprometheus.Histogram(
            f"citronwinch_{name}",
            help_text,
            buckets=LATENCY_BUCKETS_MS,
            registry=aioprometheus.Registry(),
        )
        values = Histogram(*LATENCY_BUCKETS_MS)
        values.buckets.update(zip(values.buckets, accumulate(self.counts), strict=True))
        values.observations, values.sum = sum(self.counts), self.sum_ms
        exported.set_value({}, values)
        return exported


class Metrics:
    """The counters, gauges and histograms of one process.

    The packet path updates plain integers, which is cheap; `render` copies them to
    the exporter's objects.

    Example::

        >>> metrics = Metrics()
        >>> metrics.count("packets_total")
        >>> metrics.counters[MetricKey("packets_total")]
        1
    """

    def __init__(self) -> None:
        self.counters: Counter[MetricKey] = Counter()
        self.gauges: dict[MetricKey, float] = {}
        self.histograms: dict[str, BucketCounts] = {}
        self.service_levels = ServiceLevels()

    def count(self, name: str, reason: str = "", amount: int = 1) -> None:
        """Increase a counter."""
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
            histogram = self.histograms[name] = BucketCounts()
        histogram.observe(value_ms)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        from aioprometheus.formats import text

        registry = aioprometheus.Registry()
        exported: dict[str, aioprometheus.Counter | aioprometheus.Gauge] = {}
        for exporter_class, values in (
            (aioprometheus.Counter, self.counters),
            (aioprometheus.Gauge, self.gauges),
        ):
            for key, value in sorted(values.items()):
                key = MetricKey(*key)
                if key.name not in exported:
                    name = f"citronwinch_{key.name}"
                    help_text = METRIC_HELP.get(key.name, key.name.replace("_", " "))
                    exported[key.name] = exporter_class(
                        name, help_text, registry=registry
                    )
                labels = {"reason": key.reason} if key.reason else {}
                exported[key.name].set(labels, value)
        for name, histogram in self.histograms.items():
            registry.register(histogram.export(name))
        formatter = text.TextFormatter()
        service_level_text = formatter.marshall(self.service_levels.registry)
        rendered: bytes = formatter.marshall(registry) + service_level_text
        return rendered
