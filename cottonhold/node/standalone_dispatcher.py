"""A dispatcher of another installation: the platform's one, with Consul, a structured log and a file that
reloads.

Imported only by `cottonhold serve`; the platform's `run` never comes here.
"""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Iterable, Mapping
from pathlib import Path
from typing import TYPE_CHECKING, Any

from cottonhold.config import schema
from cottonhold.config.installation import (
    Installation,
    UnusableConfigError,
    changed_keys,
    initial_report,
    read_installation,
)
from cottonhold.config.sections import ConsulSource
from cottonhold.discovery.consul.health_response import HealthResponseDecoder
from cottonhold.discovery.consul.registration import Registration
from cottonhold.discovery.consul.watch import ServiceWatch
from cottonhold.discovery.model import Address, EngineListChange, Event, PublishChange
from cottonhold.discovery.quarantine import Quarantine
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.engine_drain import DrainRecords, DrainSettings
from cottonhold.fleet.recovery.cached_engines import EngineCache
from cottonhold.fleet.recovery.survey_results import OutageVerdict
from cottonhold.fleet.rolling_replacement.plan import Machine, ReplacementStep
from cottonhold.fleet_adapters.engine_drain import EngineDrainAdapter
from cottonhold.fleet_adapters.ledger_opener import LedgerOpening
from cottonhold.fleet_adapters.membership import MembershipAdapter, make_instance
from cottonhold.fleet_adapters.recovery import RecoveryAdapter, unavailable_guard
from cottonhold.fleet_adapters.recovery_folder import INCARNATIONS_PER_BOOT, incarnation_of, open_ledger
from cottonhold.fleet_adapters.rolling_replacement import ReplacementCallError, RollingReplacementAdapter
from cottonhold.fleet_adapters.session_affinity import SessionAffinityAdapter
from cottonhold.fleet_adapters.unavailable_load_guard import UnavailableLoadGuard
from cottonhold.fleet_adapters.zone_failover import OverrideError, ZoneFailoverAdapter, make_coordinator
from cottonhold.membership.codec import MemberStatus
from cottonhold.node import consul_client, status
from cottonhold.node.dispatcher import Dispatcher, run_program
from cottonhold.node.http_client import TlsSettings
from cottonhold.observe.counters import Counters
from cottonhold.observe.structured import StructuredLog
from cottonhold.scheduler.events import Engine, EngineState, HealthCheckCompleted, Outcome
from cottonhold.store.health import StoreBusyError
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import RecordKind

if TYPE_CHECKING:
    from cottonhold.observe.metrics import Metrics, Readings

FIRST_ANSWER_S = (
    10.0  # without a known list: so long a source may take before it is said that nobody is known
)
LISTED_MS = 10_000.0  # loads wait so long for a source's first answer
LEAVE_S = 3.0  # so long the registered entry is taken out, where SIGKILL leaves that time
LEDGER_MS = 250.0  # so often a folder is tried that another process still has, as at an upgrade
OPENING_S = 3.0  # so long the start waits for the folder before it serves without
SLOW_S = 1.0  # one that takes longer than this is told of
OPENED_MS = 20.0  # so often it is then seen whether the folder has been opened
RELOADED = ("sources", "known", "log", "register")  # what a reload takes over; the rest needs a restart


def tls_of(section: schema.TlsConfig | None) -> TlsSettings | None:
    """The rim's form of a TLS section."""
    if section is None:
        return None
    return TlsSettings(section.ca_file, section.cert_file, section.key_file, section.server_name)


class StandaloneDispatcher(Dispatcher):
    """One dispatcher with its Consul sources."""

    def __init__(
        self, path: Path, installation: Installation, log: StructuredLog, loop: asyncio.AbstractEventLoop
    ) -> None:
        super().__init__(installation.config, Counters(), loop, log, installation.sources)
        self.path, self.installation, self.structured = path, installation, log
        self.quarantine = Quarantine()
        self.watches: dict[str, tuple[ConsulSource, ServiceWatch, asyncio.Task[None]]] = {}
        self.entry: consul_client.RegistrationTask | None = None
        self.membership: MembershipAdapter | None = None
        self.fleet: ZoneFailoverAdapter | None = None
        self.recovery: RecoveryAdapter | None = None
        self.rolling_replacement: RollingReplacementAdapter | None = None
        self.session_affinity: SessionAffinityAdapter | None = None
        self.engine_cache: EngineCache | None = None
        self.began = self.event_loop.clock.now()
        self.ledger_why = ""
        self.unavailable_load_guard: UnavailableLoadGuard | None = None
        self.opening = LedgerOpening(self._open)
        self.opening.wait(OPENING_S)
        self.metrics = self._measure() if installation.file.has_metrics else None
        ledger = self._opened()
        if installation.file.membership is not None:
            self._start_membership(ledger)
        if installation.file.state_dir:
            self._start_recovery(ledger)

    def _open(self) -> Ledger | None:
        return open_ledger(self.installation, self.path.resolve().parent)

    def _opened(self) -> Ledger | None:
        """The ledger, if one is kept and its folder can be had by now; what is wrong is told once."""
        error, why = self.opening.error, ""
        if self.opening.is_slow(SLOW_S):
            why = f"{self.installation.file.state_dir}: the disk has not answered yet"
        elif error is not None:
            self.counters.add("ledger_busy" if isinstance(error, StoreBusyError) else "ledger_faults")
            why = str(error)
        if why and why != self.ledger_why:
            self.ledger_why = why
            self.log.note("ledger_unusable", why=why)
        return self.opening.ledger if self.opening.is_over else None

    def _open_again(self) -> None:
        self.opening = LedgerOpening(self._open)
        self._start_recovery(None)

    def _quarantine_drained_engines(self, folder: Mapping[bytes, bytes]) -> None:
        """Engines drained in a life before, by a folder that could be read: held until its ledger holds them,
        or for as long as they would be without the registers."""
        engines = DrainRecords(folder).from_previous_start

        def let_go() -> None:
            kept = (
                self.rolling_replacement.drains.drain_records.engines
                if self.rolling_replacement is not None
                else set[str]()
            )
            for engine in sorted(engines - kept):
                self.republish(self.quarantine.release(engine))

        for engine in sorted(engines):
            self.republish(self.quarantine.quarantine(engine))
        self.event_loop.clock.call_in(DrainSettings().startup_timeout_ms, let_go)

    def _reject_loads_until_ledger_opens(self) -> None:
        """Refuse loads, and see again whether the folder can be had."""
        if self.unavailable_load_guard is None:
            error = self.opening.error if self.opening.is_over else None
            found = error.records if error is not None else {}
            loads = found.get(RecordKind.LOAD, {})
            self.unavailable_load_guard = unavailable_guard(
                self.installation, loads, self.event_loop.clock, self.counters
            )
            self.gateway.notifications.load_guard = self.unavailable_load_guard
            self._quarantine_drained_engines(found.get(RecordKind.ENGINE_DRAIN, {}))
        if self.opening.is_over:
            self.event_loop.clock.call_in(LEDGER_MS, self._open_again)
        else:
            self.event_loop.clock.call_in(OPENED_MS, lambda: self._start_recovery(self._opened()))

    def _start_recovery(self, ledger: Ledger | None) -> None:
        """Loads are guarded: by the ledger, or while it can't be had by refusing them."""
        if ledger is None:
            self._reject_loads_until_ledger_opens()
            return
        membership, fleet = self.membership, self.fleet
        self.recovery = RecoveryAdapter(
            self.installation,
            ledger,
            membership.instance.swim if membership is not None else None,
            fleet.coordinator if fleet is not None else None,
            self.event_loop.clock,
            self.event_loop.loop.call_soon_threadsafe,
            membership.send_payload if membership is not None else lambda member, data: None,
            self.counters,
            self.log.note,
        )
        if self.unavailable_load_guard is not None:  # retries count from when they were first heard of
            self.recovery.history.local.queried.update(self.unavailable_load_guard.history.local.queried)
        self.gateway.notifications.load_guard = self.recovery.load_guard
        file = self.installation.file
        if fleet is not None and file.sources:
            # Without the ramp nobody would await the answer that proves what is remembered.
            self.engine_cache = EngineCache(ledger.records(RecordKind.ENGINE_ADDRESS), self.config.names)
            # An engine in the cached list may have been drained since it was cached.
            self.recovery.has_other_prerequisites = self._listed
            self.counters.add("recovery_malformed", self.engine_cache.malformed)
        if membership is not None and fleet is not None and file.membership and file.membership.voters:
            hop, voters = self.event_loop.loop.call_soon_threadsafe, file.membership.voters
            drains = EngineDrainAdapter(self, ledger, membership, fleet.coordinator, voters, hop)
            # Loads wait until drained engines are known, since an engine may be about to lose its power.
            # Queries that may be repeated do not wait: a majority may take seconds to come back.
            self.recovery.has_other_prerequisites = lambda: drains.may_send_loads() and self._listed()
            self.rolling_replacement = RollingReplacementAdapter(
                self.installation,
                ledger,
                membership.instance.swim,
                fleet.coordinator,
                self.recovery.survey,
                self.lifecycle,
                self.event_loop.clock,
                hop,
                membership.send_payload,
                lambda: self.gateway.open_count,
                self.counters,
                self.log.note,
                drains,
            )
            if file.fleet is not None and file.fleet.has_session_affinity:
                self._start_session_affinity(
                    ledger, membership, fleet.coordinator, self.recovery, self.rolling_replacement
                )
        if fleet is not None:
            fleet.coordinator.set_incarnation(incarnation_of(ledger))
        if self.is_serving:
            self.recovery.start()
            if self.rolling_replacement is not None:
                self.rolling_replacement.start()
            if self.session_affinity is not None:
                self.session_affinity.start()

    def _start_session_affinity(
        self,
        ledger: Ledger,
        membership: MembershipAdapter,
        fleet: FleetCoordinator,
        recovery: RecoveryAdapter,
        swap: RollingReplacementAdapter,
    ) -> None:
        """Loads with a key begin where that is owned."""
        self.session_affinity = SessionAffinityAdapter(
            self.installation,
            ledger,
            membership.instance.swim,
            fleet,
            recovery.survey,
            swap,
            recovery.load_guard,
            self.gateway,
            self.event_loop.clock,
            self.event_loop.loop.call_soon_threadsafe,
            membership.send_payload,
            self.counters,
            self.log.note,
        )
        self.gateway.notifications.load_guard = self.session_affinity.guard

    def _on_fleet_message(self, member: int, payload: bytes) -> None:
        """Bytes from another instance go to the part that they are for."""
        for part in (self.recovery, self.session_affinity, self.rolling_replacement):
            if part is not None and part.on_message(member, payload):
                return
        if self.fleet is not None:
            self.fleet.on_message(member, payload)

    def _start_membership(self, ledger: Ledger | None) -> None:
        """Make the parts of membership; they say hello once the sources are followed."""
        clock, gateway = self.event_loop.clock, self.gateway
        self.membership = rim = MembershipAdapter(
            make_instance(
                self.installation,
                clock.now(),
                INCARNATIONS_PER_BOOT * ledger.boot_count if ledger is not None else int(clock.unix()),
            ),
            clock,
            self.counters,
            self.event_loop.datagrams.send,
            self.engines.check_health,
            self._on_peer_health_check,
            self.log.note,
        )
        gateway.health_check_listener = self._on_health_check_completed
        if self.installation.file.fleet is not None:
            swim = rim.instance.swim
            life = incarnation_of(ledger) if ledger is not None else max(int(clock.unix() / 1000), 1)
            core = make_coordinator(self.installation, swim.id, clock.now(), life)
            self.fleet = ZoneFailoverAdapter(
                core,
                swim,
                clock,
                self.counters,
                rim.send_payload,
                gateway.push,
                self.log.note,
                self.engines.check_health,
                self.installation.file.dispatcher_index,
            )
            gateway.notifications.observer = self.fleet
        rim.on_fleet_message, rim.on_joined = self._on_fleet_message, self._joined

    def _joined(self) -> None:
        """Another instance is there."""
        # All parts are notified at once: an instance that waits for its next round believes that it is alone
        # and admits what the others shed.
        if self.recovery is not None:
            self.recovery.on_member_joined()
        if self.fleet is not None:
            self.fleet.on_member_joined()

    def _on_peer_health_check(self, engine: str, report: dict[str, float]) -> None:
        """Another instance's probe had a good end."""
        self.gateway.push(HealthCheckCompleted(engine, Outcome.OK, report))
        if self.fleet is not None:
            self.fleet.on_health_check(engine, Outcome.OK)

    def _on_health_check_completed(self, engine: str, outcome: Outcome, report: dict[str, float]) -> None:
        """A probe of this instance has ended."""
        if self.membership is not None:
            self.membership.on_probe_ended(engine, outcome, report)
        if self.fleet is not None:
            self.fleet.on_health_check(engine, outcome)
            if outcome is Outcome.OK:
                self.fleet.on_health_check_time(engine, self.engines.health_checker.last_duration_ms)

    def apply_settings(self) -> None:
        """As the dispatcher does; the parts of budgets follow as well."""
        super().apply_settings()
        if self.fleet is not None:
            self.fleet.set_process_count(1 + self.sibling_count)

    def on_engine_list(self, change: EngineListChange) -> None:
        """Engines in service are also what the duty of probing is about."""
        cache, recovery = self.engine_cache, self.recovery
        if (
            cache is not None
            and recovery is not None
            and self._answered()
            and (records := cache.apply(change))
        ):
            recovery.ledger.put(records)
        self.republish(self.quarantine.on_change(change))

    def _listed(self) -> bool:
        """The own list is a source's word, or none has come for so long that service must go on without."""
        sources = self.installation.file.sources
        return not sources or self._answered() or self.event_loop.clock.now() - self.began >= LISTED_MS

    def _answered(self) -> bool:
        """Whether any source has answered since the start."""
        return any(view.answer_count for view in self.engine_catalog.views.values())

    def republish(self, change: EngineListChange | None) -> None:
        """What the fleet holds back of the list, or does no longer, is published as a change of it is."""
        if change is None:
            return
        super().on_engine_list(change)
        if self.membership is not None:
            live = self.quarantine.live_engines()
            self.membership.set_engines(live)
            if self.fleet is not None:
                self.fleet.set_engines(self._by_zone(live))

    def _by_zone(self, live: Mapping[str, Engine]) -> dict[str, dict[str, float]]:
        """Engines by the name of their zone, with the cores of each."""
        zones, found = self.installation.file.zones, dict[str, dict[str, float]]()
        for engine_id, info in live.items():
            found.setdefault(zones[info.zone], {})[engine_id] = self._cores(info)
        return found

    def _cores(self, info: Engine) -> float:
        models = self.config.settings.machine_types
        cores = models[info.machine_type].cores if info.machine_type < len(models) else 0
        return float(cores) or max(info.size, 1.0)

    def listed(self) -> dict[str, Machine]:
        """All engines of the list as machines of a swap; their lives are the starts that sources tell."""
        zones, live, found = (
            self.installation.file.zones,
            self.quarantine.live_engines(),
            dict[str, Machine](),
        )
        for engine_id, info in self.quarantine.listed.items():
            claims = (view.claims.get(engine_id) for view in self.engine_catalog.views.values())
            life = int(max((c.observation.started_at for c in claims if c is not None), default=0.0))
            found[engine_id] = Machine(
                engine_id, zones[info.zone], self._cores(info), True, life, is_counted=engine_id in live
            )
        return found

    def on_other_datagram(self, data: bytes, sender: Address) -> bool:
        """Membership's datagrams begin with a byte of their own."""
        return self.membership is not None and self.membership.on_datagram(data, sender)

    # --- sources ---

    def follow_sources(self) -> None:
        """Serve the known engines, follow all sources, and register."""
        if self.installation.file.sources:
            self.believe_known()
        elif self.installation.initial_engines:
            self.on_discovery_events([initial_report(self.installation)])
        super().follow_sources()
        for watched in self.installation.consul_sources:
            self._watch(watched)
        if self.installation.registration is not None:
            self.entry = consul_client.RegistrationTask(
                self.event_loop,
                Registration(self.installation.registration),
                tls_of(self.installation.registration_tls),
                lambda: self.gateway.open_count,
                self.log.note,
            )
            self.event_loop.spawn(self.entry.run())
        if self.membership is not None:
            self.membership.start()
        if self.fleet is not None:
            self.fleet.start()
        if self.recovery is not None:
            self.recovery.start()
        if self.rolling_replacement is not None:
            self.rolling_replacement.start()
        if self.session_affinity is not None:
            self.session_affinity.start()
        if self.installation.file.status_socket:
            path = self.path.parent / self.installation.file.status_socket
            self.event_loop.spawn(status.serve(self.event_loop, status.listen(path), self._answer))
        self.event_loop.loop.call_later(FIRST_ANSWER_S, self._report_silence)

    def _answer(self, call: dict[str, Any]) -> dict[str, Any]:
        """A call at the local socket: what `cottonhold members`, `duties` and `zone` ask."""
        view = self.membership.status() if self.membership is not None else {"name": self.config.name}
        if call.get("call") == "order":
            if self.fleet is None:
                return {"error": "this instance has no section 'fleet'"}
            try:
                return view | self.fleet.issue_override(call)
            except OverrideError as error:
                return {"error": str(error)}
        if call.get("call") in ("swap", "abort"):
            if self.rolling_replacement is None:
                return {"error": "a swap needs state_dir, section 'fleet' and membership.voters"}
            try:
                return view | self.rolling_replacement.call(call)
            except ReplacementCallError as error:
                return {"error": str(error)}
        if call.get("call") == "metrics":
            if self.metrics is None:
                return {"error": "this instance has `metrics` off"}
            return {"metrics": self.metrics.text()}
        if call.get("call") != "view":
            return {"error": f"there is no call {call.get('call')!r}"}
        return self._view()

    def _view(self) -> dict[str, Any]:
        """What all parts show."""
        view: dict[str, Any] = {"name": self.config.name}
        for part in (
            self.membership,
            self.fleet,
            self.recovery,
            self.rolling_replacement,
            self.session_affinity,
        ):
            view |= part.status() if part is not None else {}
        return view

    def _measure(self) -> Metrics:
        from cottonhold.observe.metrics import Metrics, Readings, names_of, tally

        def read() -> Readings:
            view = self._view()
            return Readings(
                self.counters.counts,
                self.gateway.open_count,
                tally(
                    (state.value for state in EngineState),
                    (e.engine.state.value for e in self.engines.endpoints.values()),
                ),
                tally(names_of(MemberStatus), (m["status"] for m in view["members"]))
                if "members" in view
                else {},
                tally(names_of(OutageVerdict), (view["recovery"]["verdict"],)) if "recovery" in view else {},
                tally(names_of(ReplacementStep), (m["step"] for m in view["swap"]["machines"]))
                if "swap" in view
                else {},
            )

        return Metrics(read)

    def believe_known(self) -> None:
        """The list from the file, and what is remembered, stand for what no source has answered yet."""
        now, known = self.event_loop.clock.now(), self.installation.initial_engines
        if self.engine_cache is not None:
            known = self.engine_cache.observations(known)
            self.log.note("engines_remembered", engines=len(known) - len(self.installation.initial_engines))
        if not known:
            return
        for action in self.engine_catalog.set_initial(now, known):
            if isinstance(action, PublishChange):
                self.on_engine_list(action.change)

    def _watch(self, watched: ConsulSource) -> None:
        settings = watched.watch_settings
        answers = HealthResponseDecoder(
            self.config.names, watched.interpretation, lambda why: self._malformed(settings.name, why)
        )
        watch = ServiceWatch(settings, answers, self.config.seed)
        work = consul_client.follow_service(
            self.event_loop, watch, tls_of(watched.tls), self.on_discovery_events, self.counters
        )
        self.watches[settings.name] = (watched, watch, self.event_loop.spawn(work))

    def _malformed(self, source: str, why: str) -> None:
        self.counters.add("consul_malformed")
        self.log.note("entry_malformed", source=source, why=why)

    def on_discovery_events(self, events: Iterable[Event]) -> None:
        """As the dispatcher does; a task that ends late may tell of a source that a reload took out."""
        known = [event for event in events if event.source in self.engine_catalog.views]
        super().on_discovery_events(known)
        if self.fleet is not None and self._answered():
            self.fleet.on_list_received()

    def confirm_absent(self, source: str, absent: tuple[str, ...]) -> None:
        """Ask the catalogue before the next health call."""
        if source in self.watches:
            self.watches[source][1].confirm_absence(absent)

    def _report_silence(self) -> None:
        """Log the sources that have not answered: a dispatcher without engines rejects everything."""
        for name, view in self.engine_catalog.views.items():
            if view.answer_count == 0:
                self.log.note(
                    "source_unheard",
                    source=name,
                    after_s=FIRST_ANSWER_S,
                    engines_known=len(self.engine_catalog.published),
                )

    def shutdown_tasks(self) -> Iterable[Awaitable[object]]:
        """The entry goes first, so that fronts which read Consul send their clients elsewhere."""
        if self.membership is not None:
            self.membership.leave()
        left_s = (self.lifecycle.close_deadline() - self.event_loop.clock.now()) / 1000
        return (
            () if self.entry is None else (asyncio.wait_for(self.entry.deregister(), min(LEAVE_S, left_s)),)
        )

    async def run(self) -> None:
        """As the dispatcher does; the ledger is closed last, as one that ended by order."""
        await super().run()
        if self.session_affinity is not None:
            self.session_affinity.close()
        if self.rolling_replacement is not None:
            self.rolling_replacement.close()
        if self.recovery is not None:
            self.recovery.close()

    # --- reload ---

    def reload(self) -> None:
        """Read the file again. A bad one is one line a problem and changes nothing."""
        try:
            new = read_installation(self.path)
        except UnusableConfigError as error:
            self.counters.add("reloads_failed")
            for problem in error.problems:
                self.log.note("reload_refused", problem=str(problem))
            return
        self.counters.add("reloads")
        old, self.installation = self.installation, new
        log = new.file.log
        self.structured.reconfigure(log.format, log.lines_per_second, log.burst_lines, new.secrets)
        later = [key for key in changed_keys(old.file, new.file) if key not in RELOADED]
        self.log.note("reloaded", restart_needed_for=",".join(later) or "nothing")
        self._reload_sources(new)
        self._reload_entry(old, new)

    def _reload_sources(self, new: Installation) -> None:
        for name, (watched, _, task) in list(self.watches.items()):
            kept = next((w for w in new.consul_sources if w.watch_settings.name == name), None)
            if kept is None:
                task.cancel()
                del self.watches[name]
            elif kept != watched:
                task.cancel()
                self._watch(kept)  # its first answer is a whole list, compared with all that is claimed
        now = self.event_loop.clock.now()
        for action in self.engine_catalog.reload(now, new.sources):
            if isinstance(action, PublishChange):
                self.on_engine_list(action.change)
        for watched in new.consul_sources:
            if watched.watch_settings.name not in self.watches:
                self._watch(watched)
        if self.event_stream_task is not None:
            self.event_stream_task.cancel()
            self.event_stream_task = None
        if new.config.event_stream is not None:
            self.event_stream.host = new.config.event_stream.host
            self.event_stream_task = self.event_loop.spawn(
                self.event_loop.event_stream.follow(self.event_stream, new.config.event_stream)
            )

    def _reload_entry(self, old: Installation, new: Installation) -> None:
        """A token may change in place; another entry needs a restart, since clients hold its address."""
        if self.entry is None or new.registration is None or old.registration is None:
            return
        same = (new.registration.id, new.registration.agent) == (old.registration.id, old.registration.agent)
        if same:
            self.entry.registration.settings = new.registration


def serve(path: Path) -> int:
    """Run one dispatcher by its file; 2 if the file can't be used, 1 if its address can't."""
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
        log.note("start", listen=installation.file.listen, sources=len(installation.sources))
        return StandaloneDispatcher(path, installation, log, loop)

    return run_program(installation.file.name, make)
