"""Counters and gauges as text for a scraper, by the library's registry.

Loaded only where `metrics` is on, as the library takes up to 3 MB and 50 ms of the start. Nothing listens
for it; the local socket gives it out.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from enum import Enum

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

Tally = Mapping[str, int]


@dataclass(slots=True, frozen=True)
class Readings:
    """What one instance shows at one moment.

    counts: since the start, by the names of the counters' line. engines: by state; members: the others, by
    what is believed of them; verdicts: 1 at the one that holds; steps: machines by how far their swap is. A
    part that is off gives an empty tally.
    """

    counts: Tally
    open_requests: int
    engines: Tally = field(default_factory=dict)
    members: Tally = field(default_factory=dict)
    verdicts: Tally = field(default_factory=dict)
    steps: Tally = field(default_factory=dict)


def tally(labels: Iterable[str], seen: Iterable[str]) -> dict[str, int]:
    """How often each label was seen. A label that was not seen counts 0: a series that ends looks lost."""
    return dict.fromkeys(labels, 0) | Counter(seen)


def names_of(kind: type[Enum]) -> list[str]:
    """The labels of an enumeration whose members' names are its labels."""
    return [member.name.lower() for member in kind]


class Reader(Collector):
    """What the registry asks at each scrape."""

    def __init__(self, read: Callable[[], Readings]) -> None:
        self.read = read

    def collect(self) -> Iterator[Metric]:
        """All series. Counters are one family: their names are made where they are counted, and none may
        clash with the text's own rules.
        """
        now = self.read()
        events = CounterMetricFamily("cottonhold_events", "What happened since the start.", labels=["event"])
        for name, count in sorted(now.counts.items()):
            events.add_metric([name], count)
        yield events
        yield GaugeMetricFamily("cottonhold_open_requests", "Requests without an answer.", now.open_requests)
        for name, label, text, values in (
            ("cottonhold_engines", "state", "Engines of the list.", now.engines),
            ("cottonhold_members", "status", "The other instances, as believed here.", now.members),
            ("cottonhold_recovery_verdict", "verdict", "What was away, 1 at what holds.", now.verdicts),
            ("cottonhold_swap_machines", "step", "Machines by the step of their swap.", now.steps),
        ):
            family = GaugeMetricFamily(name, text, labels=[label])
            for word, value in values.items():
                family.add_metric([word], value)
            yield family


class Metrics:
    """One instance's registry; the library's own, of process and interpreter, is left out."""

    def __init__(self, read: Callable[[], Readings]) -> None:
        self.registry = CollectorRegistry()
        self.registry.register(Reader(read))

    def text(self) -> str:
        """The exposition format, version 0.0.4."""
        return generate_latest(self.registry).decode()
