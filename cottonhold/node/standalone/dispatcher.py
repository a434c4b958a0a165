"""A dispatcher with Consul sources, a structured log, a reloadable configuration file, and a fleet.

Only `cottonhold serve --config` imports this module, and not the platform's program (`python -m cottonhold`).
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Iterable, Mapping
from pathlib import Path

from cottonhold.config.installation import (
    Installation,
    UnusableConfigError,
    changed_keys,
    initial_report,
    read_installation,
)
from cottonhold.discovery.consul.registration import Registration
from cottonhold.discovery.model import Address, EngineListChange, Event, PublishChange
from cottonhold.fleet.engine_drain import DrainRecords, DrainSettings
from cottonhold.fleet.recovery.cached_engines import EngineCache
from cottonhold.fleet_adapters.membership import MembershipAdapter
from cottonhold.fleet_adapters.recovery import RecoveryAdapter
from cottonhold.fleet_adapters.recovery_folder import incarnation_of
from cottonhold.fleet_adapters.rolling_replacement import RollingReplacementAdapter
from cottonhold.fleet_adapters.session_affinity import SessionAffinityAdapter
from cottonhold.fleet_adapters.unavailable_load_guard import UnavailableLoadGuard
from cottonhold.fleet_adapters.zone_failover import ZoneFailoverAdapter
from cottonhold.node import consul_client, status
from cottonhold.node.dispatcher import Dispatcher, run_program
from cottonhold.node.standalone.adapter_factory import AdapterFactory
from cottonhold.node.standalone.consul_sources import ConsulSources, client_tls
from cottonhold.node.standalone.engine_list import EngineListPublisher
from cottonhold.node.standalone.ledger_access import LedgerAccess
from cottonhold.node.standalone.operator_calls import OperatorCalls
from cottonhold.observe.counters import Counters
from cottonhold.observe.structured import StructuredLog
from cottonhold.scheduler.events import Engine, HealthCheckCompleted, Outcome
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import RecordKind

SILENT_SOURCE_S = 10.0  # time from the start until a source that has not answered is logged
MAX_LIST_WAIT_MS = 10_000.0  # longest time that loads wait after the start for a source's first answer
DEREGISTER_TIMEOUT_S = 3.0  # longest duration of the deregistration; SIGKILL may end it earlier
RELOADED_SECTIONS = ("sources", "known", "log", "register")  # changes in other sections need a restart


class StandaloneDispatcher(Dispatcher):
    """A dispatcher that takes part in a fleet. `installation` is the content of the file at `path`."""

    def __init__(
        self, path: Path, installation: Installation, log: StructuredLog, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(installation.config, Counters(), loop, log, installation.sources)
        self.path, self.installation, self.structured_log = path, installation, log
        self.started_at = self.event_loop.clock.now()
        self.engine_list = EngineListPublisher(
            self, lambda: self.installation.file.zones, self._on_list_published
        )
        self.quarantine = self.engine_list.quarantine
        self.consul_sources = ConsulSources(self, self.on_discovery_events)
        self.registration_task: consul_client.RegistrationTask | None = None
        self.adapters = AdapterFactory(self, lambda: self.installation)
        self.membership: MembershipAdapter | None = None
        self.zone_failover: ZoneFailoverAdapter | None = None
        self.recovery: RecoveryAdapter | None = None
        self.rolling_replacement: RollingReplacementAdapter | None = None
        self.session_affinity: SessionAffinityAdapter | None = None
        self.engine_cache: EngineCache | None = None
        self.unavailable_load_guard: UnavailableLoadGuard | None = None
        self.ledger_access = LedgerAccess(
            lambda: self.installation,
            path.resolve().parent,
            self.event_loop.clock,
            self.counters,
            self.log.note,
        )
        self.operator_calls = OperatorCalls(self, installation.file.has_metrics)
        ledger = self.ledger_access.ledger()
        if installation.file.membership is not None:
            self._make_membership(ledger)
        if installation.file.state_dir:
            if ledger is not None:
                self._use_ledger(ledger)
            else:
                self._reject_loads_until_ledger_opens()

    def _make_membership(self, ledger: Ledger | None) -> None:
        """Make membership and the fleet's coordinator; `follow_sources` starts both."""
        self.membership = membership = self.adapters.membership(ledger, self._on_peer_health_check)
        self.gateway.health_check_listener = self._on_health_check_completed
        if self.installation.file.fleet is not None:
            self.zone_failover = self.adapters.zone_failover(ledger, membership)
            self.gateway.notifications.observer = self.zone_failover
        membership.on_fleet_message = self._on_fleet_message
        membership.on_joined = self._on_member_joined

    def _reject_loads_until_ledger_opens(self) -> None:
        records = self.ledger_access.readable_records()
        self.unavailable_load_guard = self.adapters.unavailable_load_guard(records.get(RecordKind.LOAD, {}))
        self.gateway.notifications.load_guard = self.unavailable_load_guard
        self._quarantine_drained_engines(records.get(RecordKind.ENGINE_DRAIN, {}))
        self.ledger_access.call_when_open(self._use_ledger)

    def _quarantine_drained_engines(self, drain_records: Mapping[bytes, bytes]) -> None:
        """Quarantine engines that were drained before the start, until the startup timeout.

        Engines that are still in the drain records then stay quarantined.
        """

        def still_drained() -> set[str]:
            replacement = self.rolling_replacement
            return replacement.drains.drain_records.engines if replacement is not None else set()

        self.engine_list.quarantine_for(
            DrainSettings().startup_timeout_ms, DrainRecords(drain_records).from_previous_start, still_drained
        )

    def _use_ledger(self, ledger: Ledger) -> None:
        """Record loads in the ledger, and make the other parts that need it."""
        membership, fleet = self.membership, self.zone_failover
        self.recovery = recovery = self.adapters.recovery(ledger, membership, fleet)
        if self.unavailable_load_guard is not None:  # copies the times at which retries first arrived
            recovery.history.local.queried.update(self.unavailable_load_guard.history.local.queried)
        self.gateway.notifications.load_guard = recovery.load_guard
        if fleet is not None and self.installation.file.sources:
            # Engines are cached only with slow start, which waits for a health check of each cached engine.
            self.engine_cache = EngineCache(ledger.records(RecordKind.ENGINE_ADDRESS), self.config.names)
            self.counters.add("recovery_malformed", self.engine_cache.malformed)
            # An engine may have been drained since it was cached, so loads wait for a source's list.
            recovery.are_engines_known = self.is_list_settled
        if membership is not None and fleet is not None:
            self._make_replacement(ledger, membership, fleet, recovery)
        if fleet is not None:
            fleet.coordinator.set_incarnation(incarnation_of(ledger))
        if self.is_serving:
            self._start_ledger_parts()

    def _make_replacement(
        self,
        ledger: Ledger,
        membership: MembershipAdapter,
        fleet: ZoneFailoverAdapter,
        recovery: RecoveryAdapter,
    ) -> None:
        """Make rolling replacement, and session affinity which depends on it, if they are configured."""
        file = self.installation.file
        if file.membership is None or not file.membership.voters:
            return
        drains = self.adapters.engine_drains(
            self.engine_list, ledger, membership, fleet, file.membership.voters
        )
        # Loads wait until the drained engines are known, since an engine may be about to be powered off.
        # Idempotent queries do not wait, since it may take seconds until a majority is reachable.
        recovery.are_engines_known = lambda: drains.may_send_loads() and self.is_list_settled()
        self.rolling_replacement = self.adapters.rolling_replacement(
            ledger, membership, fleet, recovery, drains
        )
        if file.fleet is not None and file.fleet.has_session_affinity:
            self.session_affinity = self.adapters.session_affinity(
                ledger, membership, fleet, recovery, self.rolling_replacement
            )
            self.gateway.notifications.load_guard = self.session_affinity.guard

    def _start_ledger_parts(self) -> None:
        for part in (self.recovery, self.rolling_replacement, self.session_affinity):
            if part is not None:
                part.start()

    def _on_fleet_message(self, member: int, payload: bytes) -> None:
        """Pass another instance's message to the part that handles its first byte."""
        for part in (self.recovery, self.session_affinity, self.rolling_replacement):
            if part is not None and part.on_message(member, payload):
                return
        if self.zone_failover is not None:
            self.zone_failover.on_message(member, payload)

    def _on_member_joined(self) -> None:
        # The parts are notified without waiting for their next round: until then this instance would believe
        # that it is alone, and admit requests that the others shed.
        if self.recovery is not None:
            self.recovery.on_member_joined()
        if self.zone_failover is not None:
            self.zone_failover.on_member_joined()

    def _on_peer_health_check(self, engine: str, report: dict[str, float]) -> None:
        """Process another instance's successful health check of an engine."""
        self.gateway.push(HealthCheckCompleted(engine, Outcome.OK, report))
        if self.zone_failover is not None:
            self.zone_failover.on_health_check(engine, Outcome.OK)

    def _on_health_check_completed(self, engine: str, outcome: Outcome, report: dict[str, float]) -> None:
        """Pass the result of this instance's health check to membership and the fleet."""
        if self.membership is not None:
            self.membership.on_health_check_ended(engine, outcome, report)
        if self.zone_failover is not None:
            self.zone_failover.on_health_check(engine, outcome)
            if outcome is Outcome.OK:
                duration_ms = self.engines.health_checker.last_duration_ms
                self.zone_failover.on_health_check_time(engine, duration_ms)

    def apply_settings(self) -> None:
        """Apply the settings, and divide the fleet's quotas by the number of processes."""
        super().apply_settings()
        if self.zone_failover is not None:
            self.zone_failover.set_process_count(1 + self.sibling_count)

    def on_other_datagram(self, data: bytes, sender: Address) -> bool:
        """Process a membership datagram, recognized by its first byte; return False for any other."""
        return self.membership is not None and self.membership.on_datagram(data, sender)

    def on_engine_list(self, change: EngineListChange) -> None:
        """Publish a change of the engine list, and cache the list once a source has answered."""
        if self.engine_cache is not None and self.recovery is not None and self.has_source_answered():
            records = self.engine_cache.apply(change)
            if records:
                self.recovery.ledger.put(records)
        self.engine_list.on_change(change)

    def _on_list_published(self, live: Mapping[str, Engine]) -> None:
        """Pass the engines in service to the shared health checks and to the fleet's capacity planning."""
        if self.membership is None:
            return
        self.membership.set_engines(live)
        if self.zone_failover is not None:
            self.zone_failover.set_engines(self.engine_list.cores_by_zone(live))

    def has_source_answered(self) -> bool:
        """Return whether any source has answered since the start."""
        return any(view.answer_count for view in self.engine_catalog.views.values())

    def is_list_settled(self) -> bool:
        """Return whether loads may use the engine list: a source has answered, or the wait has timed out."""
        if not self.installation.file.sources or self.has_source_answered():
            return True
        return self.event_loop.clock.now() - self.started_at >= MAX_LIST_WAIT_MS

    def publish_initial_engines(self) -> None:
        """Publish the configured and the cached engines, which are in use until a source has answered."""
        observations = self.installation.initial_engines
        if self.engine_cache is not None:
            observations = self.engine_cache.observations(observations)
            cached_count = len(observations) - len(self.installation.initial_engines)
            self.log.note("cached_engines_loaded", engines=cached_count)
        if observations:
            now = self.event_loop.clock.now()
            self._publish(self.engine_catalog.set_initial(now, observations))

    def _publish(self, actions: Iterable[object]) -> None:
        """Publish the list changes among the catalog's actions."""
        for action in actions:
            if isinstance(action, PublishChange):
                self.on_engine_list(action.change)

    def follow_sources(self) -> None:
        """Publish the initial engines, follow all sources, register, and start the fleet's parts."""
        if self.installation.file.sources:
            self.publish_initial_engines()
        elif self.installation.initial_engines:
            self.on_discovery_events([initial_report(self.installation)])
        super().follow_sources()
        for source in self.installation.consul_sources:
            self.consul_sources.follow(source)
        self._register()
        if self.membership is not None:
            self.membership.start()
        if self.zone_failover is not None:
            self.zone_failover.start()
        self._start_ledger_parts()
        self._serve_operator_calls()
        self.event_loop.loop.call_later(SILENT_SOURCE_S, self._log_silent_sources)

    def _register(self) -> None:
        """Keep this dispatcher registered in Consul, if that is configured."""
        if self.installation.registration is None:
            return
        self.registration_task = consul_client.RegistrationTask(
            self.event_loop,
            Registration(self.installation.registration),
            client_tls(self.installation.registration_tls),
            lambda: self.gateway.open_count,
            self.log.note,
        )
        self.event_loop.spawn(self.registration_task.run())

    def _serve_operator_calls(self) -> None:
        if self.installation.file.status_socket:
            listener = status.listen(self.path.parent / self.installation.file.status_socket)
            self.event_loop.spawn(status.serve(self.event_loop, listener, self.operator_calls.answer))

    def _log_silent_sources(self) -> None:
        """Log the sources that have not answered, as a dispatcher without engines rejects all requests."""
        for name, view in self.engine_catalog.views.items():
            if view.answer_count == 0:
                self.log.note(
                    "source_silent",
                    source=name,
                    after_s=SILENT_SOURCE_S,
                    known_engines=len(self.engine_catalog.published),
                )

    def on_discovery_events(self, events: Iterable[Event]) -> None:
        """Process events of sources; drop late events of a source that a reload has removed."""
        known = [event for event in events if event.source in self.engine_catalog.views]
        super().on_discovery_events(known)
        if self.zone_failover is not None and self.has_source_answered():
            self.zone_failover.on_list_received()

    def confirm_absent(self, source: str, absent: tuple[str, ...]) -> None:
        """Query the source's catalog for missing engines before its next health query."""
        self.consul_sources.confirm_absent(source, absent)

    def shutdown_tasks(self) -> Iterable[Awaitable[object]]:
        """Leave membership, and return the deregistration, which runs while requests are still served.

        It starts first, so that load balancers that read Consul send clients to other dispatchers.
        """
        if self.membership is not None:
            self.membership.leave()
        remaining_s = (self.lifecycle.close_deadline() - self.event_loop.clock.now()) / 1000
        if self.registration_task is None:
            return ()
        return (
            asyncio.wait_for(self.registration_task.deregister(), min(DEREGISTER_TIMEOUT_S, remaining_s)),
        )

    async def run(self) -> None:
        """Serve until a shutdown has ended; close the ledger last, as after a clean shutdown."""
        await super().run()
        for part in (self.session_affinity, self.rolling_replacement, self.recovery):
            if part is not None:
                part.close()

    def reload(self) -> None:
        """Read the configuration again; the problems of an invalid one are logged, and it changes nothing."""
        try:
            new = read_installation(self.path)
        except UnusableConfigError as error:
            self.counters.add("reloads_failed")
            for problem in error.problems:
                self.log.note("config_reload_failed", problem=str(problem))
            return
        self.counters.add("reloads")
        old, self.installation = self.installation, new
        log = new.file.log
        self.structured_log.reconfigure(log.format, log.lines_per_second, log.burst_lines, new.secrets)
        unapplied = [key for key in changed_keys(old.file, new.file) if key not in RELOADED_SECTIONS]
        self.log.note("config_reloaded", restart_needed_for=",".join(unapplied) or "nothing")
        self._reload_sources(new)
        self._reload_registration(old, new)

    def _reload_sources(self, new: Installation) -> None:
        self.consul_sources.replace_changed(new.consul_sources)
        self._publish(self.engine_catalog.reload(self.event_loop.clock.now(), new.sources))
        self.consul_sources.follow_new(new.consul_sources)
        if new.config.event_stream is None:
            self.event_loop.event_stream.stop()
        else:
            self.event_stream.host = new.config.event_stream.host
            self.event_loop.event_stream.follow(self.event_stream, new.config.event_stream)

    def _reload_registration(self, old: Installation, new: Installation) -> None:
        """Apply changed settings of the same entry, such as a token.

        Another id or agent needs a restart, since clients hold the address of the registered entry.
        """
        if self.registration_task is None or new.registration is None or old.registration is None:
            return
        if (new.registration.id, new.registration.agent) == (old.registration.id, old.registration.agent):
            self.registration_task.registration.settings = new.registration


def serve(path: Path) -> int:
    """Run a dispatcher; return the exit status: 2 for an invalid file, 1 after an OSError, else 0."""
    try:
        installation = read_installation(path)
    except UnusableConfigError as error:
        print(error, file=sys.stderr)
        return 2
    settings = installation.file.log
    log = StructuredLog(
        settings.format,
        settings.lines_per_second,
        settings.burst_lines,
        installation.secrets,
        name=installation.file.name,
    )

    def make(loop: asyncio.AbstractEventLoop) -> StandaloneDispatcher:
        log.note("starting", listen=installation.file.listen, sources=len(installation.sources))
        return StandaloneDispatcher(path, installation, log, loop)

    return run_program(installation.file.name, make)
