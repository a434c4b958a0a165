"""Counters and gauges in the Prometheus text format.

This module is imported only if `metrics` is enabled, since prometheus_client adds up to 3 MB of memory and
50 ms to the start. No port is opened; the local socket serves the text.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

CountsByLabel = Mapping[str, int]


@dataclass(slots=True, frozen=True)
class MetricsSnapshot:
    """The values of one instance's metrics; those of a disabled component are empty.

    Attributes:
        counts: Counters since the start, by name.
        open_requests: Requests without an answer.
        engines: Number of engines by state.
        members: Number of other instances by membership status.
        verdicts: The recovery verdicts, with 1 for the present one and 0 for the others.
        steps: Number of machines by the step of their replacement.
    """

    counts: CountsByLabel
    open_requests: int
    engines: CountsByLabel = field(default_factory=dict)
    members: CountsByLabel = field(default_factory=dict)
    verdicts: CountsByLabel = field(default_factory=dict)
    steps: CountsByLabel = field(default_factory=dict)


def count_by_label(labels: Iterable[str], seen: Iterable[str]) -> dict[str, int]:
    """Count how often each label occurs; absent labels get 0, since an absent series looks like lost data."""
    return dict.fromkeys(labels, 0) | Counter(seen)


def enum_labels(kind: type[Enum]) -> list[str]:
    """Return the labels of an enum: the names of its members in lower case."""
    return [member.name.lower() for member in kind]


class SnapshotCollector(Collector):
    """Collector that reads a new snapshot at each scrape."""

    def __init__(self, read: Callable[[], MetricsSnapshot]) -> None:
        self.read = read

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics.

        The counters are one metric with their names as a label: the names are made at run time and may
        contain characters that metric names can't.
        """
        readings = self.read()
        events = CounterMetricFamily("cottonhold_events", "What happened since the start.", labels=["event"])
        for name, count in sorted(readings.counts.items()):
            events.add_metric([name], count)
        yield events
        yield GaugeMetricFamily(
            "cottonhold_open_requests", "Requests without an answer.", readings.open_requests
        )
        for name, label, text, values in (
            ("cottonhold_engines", "state", "Engines of the list.", readings.engines),
            ("cottonhold_members", "status", "The other instances, as believed here.", readings.members),
            ("cottonhold_recovery_verdict", "verdict", "What was away, 1 at what holds.", readings.verdicts),
            ("cottonhold_swap_machines", "step", "Machines by the step of their swap.", readings.steps),
        ):
            family = GaugeMetricFamily(name, text, labels=[label])
            for label_value, count in values.items():
                family.add_metric([label_value], count)
            yield family


class Metrics:
    """The metrics registry of one instance, without the library's own process and interpreter metrics."""

    def __init__(self, read: Callable[[], MetricsSnapshot]) -> None:
        self.registry = CollectorRegistry()
        self.registry.register(SnapshotCollector(read))

    def text(self) -> str:
        """Return the metrics in the Prometheus text format, version 0.0.4."""
        return generate_latest(self.registry).decode()
