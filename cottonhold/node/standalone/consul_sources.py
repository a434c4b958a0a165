"""Follows the Consul sources of an installation, each in a separate task; a reload may change them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from cottonhold.config import schema
from cottonhold.config.sections import ConsulSource
from cottonhold.discovery.consul.health_response import HealthResponseDecoder
from cottonhold.discovery.consul.watch import ServiceWatch
from cottonhold.discovery.model import Event
from cottonhold.node import consul_client
from cottonhold.node.dispatcher import Dispatcher
from cottonhold.node.http_client import TlsSettings


def client_tls(section: schema.TlsConfig | None) -> TlsSettings | None:
    """Convert a configuration's TLS section to the HTTP client's settings."""
    if section is None:
        return None
    return TlsSettings(section.ca_file, section.cert_file, section.key_file, section.server_name)


@dataclass(slots=True, frozen=True)
class RunningWatch:
    """The watch of a source, and its task."""

    source: ConsulSource
    watch: ServiceWatch
    task: asyncio.Task[None]


class ConsulSources:
    """Runs the watches of one dispatcher; `on_events` receives the events of sources."""

    def __init__(self, dispatcher: Dispatcher, on_events: Callable[[Iterable[Event]], None]) -> None:
        self.event_loop, self.config = dispatcher.event_loop, dispatcher.config
        self.counters, self.log, self.on_events = dispatcher.counters, dispatcher.log, on_events
        self.running: dict[str, RunningWatch] = {}  # by name of the source

    def follow(self, source: ConsulSource) -> None:
        """Start following a source."""
        name = source.watch_settings.name
        answers = HealthResponseDecoder(
            self.config.names, source.interpretation, lambda reason: self._on_malformed(name, reason)
        )
        watch = ServiceWatch(source.watch_settings, answers, self.config.seed)
        watching = consul_client.follow_service(
            self.event_loop, watch, client_tls(source.tls), self.on_events, self.counters
        )
        self.running[name] = RunningWatch(source, watch, self.event_loop.spawn(watching))

    def replace_changed(self, sources: Sequence[ConsulSource]) -> None:
        """Stop sources that are no longer configured, and restart those whose settings have changed."""
        configured = {source.watch_settings.name: source for source in sources}
        for name, running in list(self.running.items()):
            source = configured.get(name)
            if source is None:
                running.task.cancel()
                del self.running[name]
            elif source != running.source:
                running.task.cancel()
                self.follow(source)  # the first answer is a complete list, without removed engines

    def follow_new(self, sources: Sequence[ConsulSource]) -> None:
        """Start following sources that are not followed yet."""
        for source in sources:
            if source.watch_settings.name not in self.running:
                self.follow(source)

    def confirm_absent(self, source: str, absent: tuple[str, ...]) -> None:
        """Query a source's catalog for engines missing from its last list, before its next health query."""
        if source in self.running:
            self.running[source].watch.confirm_absence(absent)

    def _on_malformed(self, source: str, reason: str) -> None:
        self.counters.add("consul_malformed")
        self.log.note("consul_entry_malformed", source=source, reason=reason)
