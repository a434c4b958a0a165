"""Counters and gauges as text for a scraper, by the library's registry.

Loaded only if `metrics` is on, as the library takes up to 3 MB and 50 ms of the start. It listens nowhere;
the local socket serves it.
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
    """What one instance reports at one moment.

    counts: since the start, by counter. engines: by state. members: the others, by status. verdicts: 1 for
    the present one. steps: machines by the step of their replacement. A part that is off has an empty tally.
    """

    counts: CountsByLabel
    open_requests: int
    engines: CountsByLabel = field(default_factory=dict)
    members: CountsByLabel = field(default_factory=dict)
    verdicts: CountsByLabel = field(default_factory=dict)
    steps: CountsByLabel = field(default_factory=dict)


def count_by_label(labels: Iterable[str], seen: Iterable[str]) -> dict[str, int]:
    """How often each label occurs; 0 for one that doesn't, as a series that ends would look lost."""
    return dict.fromkeys(labels, 0) | Counter(seen)


def enum_labels(kind: type[Enum]) -> list[str]:
    """The labels of an enumeration: its members' names in lower case."""
    return [member.name.lower() for member in kind]


class SnapshotCollector(Collector):
    """What the registry calls at each scrape."""

    def __init__(self, read: Callable[[], MetricsSnapshot]) -> None:
        self.read = read

    def collect(self) -> Iterator[Metric]:
        """All series. Counters are one family: their names are made where they are counted, and none may
        clash with the text's own rules.
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
    """One instance's registry; the library's own, of process and interpreter, is left out."""

    def __init__(self, read: Callable[[], MetricsSnapshot]) -> None:
        self.registry = CollectorRegistry()
        self.registry.register(SnapshotCollector(read))

    def text(self) -> str:
        """The exposition format, version 0.0.4."""
        return generate_latest(self.registry).decode()
