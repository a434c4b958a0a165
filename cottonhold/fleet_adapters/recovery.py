"""Runs the membership survey and the load history: passes them messages and time, and executes their actions.

The adapter makes no decisions of its own.
"""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

from cottonhold.config.installation import Installation
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.recovery import load_history_interface, survey_results
from cottonhold.fleet.recovery.load_history import LoadHistory
from cottonhold.fleet.recovery.load_history_interface import (
    FleetState,
    LoadHistorySettings,
    LoadSettled,
    SendToDispatcher,
)
from cottonhold.fleet.recovery.local_loads import RecordedLoad, retention_ms_for
from cottonhold.fleet.recovery.membership_survey import MembershipSurvey
from cottonhold.fleet.recovery.messages import (
    CHECKPOINTS_PER_BOOT,
    OPEN_LOADS,
    PRESENCE,
    MemoryState,
    Presence,
    decode,
)
from cottonhold.fleet.recovery.shared_slow_start import OutageScope
from cottonhold.fleet.recovery.survey_results import (
    DuplicateIdentity,
    OutageVerdict,
    PeerBootCountLearned,
    ProvenSilence,
    RaiseBootCount,
    SendSurveyMessage,
    StoreCheckpoint,
    SurveySettings,
    SurveyView,
    ViewChanged,
)
from cottonhold.fleet_adapters.load_conversions import guarded_class_indices, recorded_loads
from cottonhold.fleet_adapters.load_records import LoadRecorder
from cottonhold.fleet_adapters.recovery_folder import (
    FolderState,
    KnownPeer,
    checkpoint_records,
    incarnation_of,
    peer_record,
    read_folder,
    restore_site_report,
    save_site_report,
)
from cottonhold.fleet_adapters.unavailable_load_guard import UnavailableLoadGuard
from cottonhold.fleet_adapters.write_queue import RETRY_MS
from cottonhold.membership.swim import Swim
from cottonhold.observe.counters import Counters
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import LoadRecord, RecordKind
from cottonhold.transport.clock import Clock, Timer

MEMORY_NAMES = {  # names in the log and in the status socket's answers
    MemoryState.EMPTY: "empty",
    MemoryState.INTACT: "kept",
    MemoryState.STALE: "old",
}
MIN_STEP_INTERVAL_MS, MAX_STEP_INTERVAL_MS = 5.0, 1000.0  # bounds of the interval between two steps
SILENCE_INTERVAL_MS = 200.0  # interval between updates of `silent` while a retry waits: a round of reports


class ReportedLoss(NamedTuple):
    """The loss of instances that was last reported to the fleet's coordinator."""

    verdict: OutageVerdict
    zones: frozenset[str]


def guarded_classes(installation: Installation) -> dict[int, bool]:
    """Return the indexes of the guarded classes, and whether a success may be reported without the result."""
    classes = installation.file.classes
    return {
        i: classes[i].completed_retry_answer == "served"
        for i in guarded_class_indices(installation.config.settings)
    }


def retention_ms_of(installation: Installation) -> float:
    """Return the time after sending during which a load can still be queried, in ms."""
    classes = installation.file.classes
    return retention_ms_for(
        classes[i].deadline_ms for i in guarded_class_indices(installation.config.settings)
    )


def make_unavailable_guard(
    installation: Installation, loads: Mapping[bytes, bytes], clock: Clock, counters: Counters
) -> UnavailableLoadGuard:
    """Make the load guard for an unusable state folder, from the records of loads that could be read."""
    file, settings = installation.file, LoadHistorySettings(retention_ms_of(installation))
    recorded, _ = recorded_loads(loads)
    history = LoadHistory(file.dispatcher_index, file.dispatcher_count, 0, clock.now(), recorded, settings, 0)
    max_retry_after_ms = installation.config.settings.features.max_retry_after_ms
    retry_after_ms = min(max_retry_after_ms, settings.retry_after_ms)
    return UnavailableLoadGuard(guarded_classes(installation), retry_after_ms, history, clock.now, counters)


class RecoveryAdapter:
    """Runs the membership survey, the load history and the load guard of one instance.

    Args:
        swim: The membership protocol; None without membership.
        fleet: The fleet's coordinator; None without one.
        call_in_loop: Calls a function in the event loop's thread; may be called in any thread.
    """

    def __init__(
        self,
        installation: Installation,
        ledger: Ledger,
        swim: Swim | None,
        fleet: FleetCoordinator | None,
        clock: Clock,
        call_in_loop: Callable[[Callable[[], None]], object],
        send: Callable[[int, bytes], None],
        counters: Counters,
        log: Callable[..., None],
    ) -> None:
        self.ledger, self.swim, self.fleet, self.clock = ledger, swim, fleet, clock
        self.call_in_loop, self.send, self.counters, self.log = call_in_loop, send, counters, log
        self.retention_ms = retention_ms_of(installation)
        self.are_engines_known: Callable[[], bool] = lambda: True  # loads require it; set by the dispatcher
        self.timer: Timer | None = None
        self.silent: dict[int, ProvenSilence] = {}  # by dispatcher number
        self.silent_at = -MAX_STEP_INTERVAL_MS  # time of the last computation of `silent`
        self.reported_loss = ReportedLoss(OutageVerdict.NOTHING, frozenset())
        cost = fleet.failover_cost if fleet is not None else None
        if cost is not None and not restore_site_report(ledger, cost):
            counters.add("recovery_malformed")
        self._start_parts(installation, read_folder(ledger))

    def _start_parts(self, installation: Installation, folder: FolderState) -> None:
        """Make the survey, the history and the load guard from the content of the state folder."""
        file, ledger, now = installation.file, self.ledger, self.clock.now()
        self.survey = MembershipSurvey(
            file.dispatcher_index,
            file.dispatcher_count,
            dict(enumerate(file.peers.zones)) if file.peers is not None else {},
            ledger.boot_count,
            secrets.randbits(32),
            folder.memory,
            ledger.closed_cleanly,
            {number: peer.boot_count for number, peer in folder.peers.items()},
            now,
            SurveySettings(retention_ms=self.retention_ms),
            folder.checkpoint,
            {number: peer.checkpoint for number, peer in folder.peers.items()},
        )
        recorded, records = recorded_loads(ledger.records(RecordKind.LOAD))
        self._start_load_guard(installation, recorded, records)
        self.log(
            "ledger_opened",
            boot=ledger.boot_count,
            memory=MEMORY_NAMES[folder.memory],
            reason=ledger.reason,
            loads=len(recorded),
        )

    def _start_load_guard(
        self, installation: Installation, recorded: list[RecordedLoad], records: dict[bytes, LoadRecord]
    ) -> None:
        """Make the load history from `recorded` and the load guard from `records`, the folder's loads."""
        file, ledger = installation.file, self.ledger
        self.history = LoadHistory(
            file.dispatcher_index,
            file.dispatcher_count,
            ledger.boot_count,
            self.clock.now(),
            recorded,
            LoadHistorySettings(self.retention_ms),
            secrets.randbits(31),
        )
        self.load_guard = LoadRecorder(
            self.history,
            ledger,
            records,
            guarded_classes(installation),
            self.retention_ms,
            self.clock.now,
            lambda: ledger.clock(),
            self.clock.call_in,
            self.call_in_loop,
            self._may_send_loads,
            self._execute_and_schedule_step,
            self.counters,
            self.log,
        )

    def start(self) -> None:
        """Run the first step; later steps run by the adapter's own timer."""
        self._step()

    def on_member_joined(self) -> None:
        """Send this instance's report soon; called when another instance has joined."""
        self._schedule_step(MIN_STEP_INTERVAL_MS)

    def on_message(self, member: int, payload: bytes) -> bool:
        """Apply a payload from another instance; return whether it is one of recovery, valid or malformed."""
        if not payload or not PRESENCE <= payload[0] <= OPEN_LOADS:
            return False
        try:
            message = decode(payload)
        except MessageError:
            self.counters.add("recovery_malformed")
            return True
        if isinstance(message, Presence):
            self._on_presence(member, message)
            return True
        number = self.survey.number_of(member)
        if number is None:
            self.counters.add("recovery_unbound")
            return True
        self._execute(self.history.on_message(self.clock.now(), number, message))
        return True

    def _on_presence(self, member: int, presence: Presence) -> None:
        """Pass a report to the survey, and schedule the step that assesses which instances were absent."""
        now = self.clock.now()
        self.survey.on_message(now, member, presence)
        if self.history.has_pending:
            self._schedule_step(MIN_STEP_INTERVAL_MS)
        elif not self.survey.view.is_settled:
            self._schedule_step(min(self.survey.next_at(), self.history.next_at()) - now)

    def close(self) -> None:
        """Stop the timer and close the ledger as after a clean shutdown."""
        if self.timer is not None:
            self.timer.cancel()
        self.ledger.close(clean=True)

    def status(self) -> dict[str, Any]:
        """Return the status of recovery for the status socket."""
        view, health = self.survey.view, self.ledger.health(self.ledger.clock())
        return {
            "recovery": {
                "boot": self.ledger.boot_count,
                "memory": MEMORY_NAMES[self.survey.memory],
                "confirmed": self.survey.has_confirmed_memory(),
                "marks": self.survey.checkpoint % CHECKPOINTS_PER_BOOT,
                "disk": health.state.value,
                "disk_why": health.reason,
                "verdict": view.verdict.value,
                "settled": view.is_settled,
                "lost": sorted(view.restarted),
                "missing": sorted(view.missing),
                "sends_loads": self._may_send_loads(),
                "twice": self.survey.duplicate is not None,
                "loads_remembered": len(self.history.local.entries),
                "loads_asked": len(self.history.pending),
                "hold_ms": self.retention_ms,
            }
        }

    def _execute_and_schedule_step(self, actions: Iterable[load_history_interface.Action]) -> None:
        self._execute(actions)
        self._schedule_step(MIN_STEP_INTERVAL_MS)

    def _step(self) -> None:
        now = self.clock.now()
        self.survey.set_members(now, self.swim.live_members() if self.swim is not None else ())
        if self.history.has_pending:
            self.survey.expedite(now)
        self._execute(self.survey.step(now))
        self._update_silent(now)
        fleet_state = FleetState(
            self._may_send_loads(),
            self.survey.has_confirmed_memory(),
            self.survey.memory,
            self.silent,
            self.survey.is_partitioned(self.silent),
        )
        self._execute(self.history.step(now, fleet_state))
        self.load_guard.expire()
        if self.fleet is not None and self.fleet.failover_cost is not None:
            save_site_report(self.ledger, self.fleet.failover_cost, now)
        self._schedule_step(min(self.survey.next_at(), self.history.next_at()) - now)

    def _update_silent(self, now: float) -> None:
        """Compute which dispatchers are proven silent, at a cost quadratic in the number of dispatchers.

        Therefore it is computed after each round of reports only while a retry is pending.
        """
        is_needed_soon = self.history.has_pending
        if not is_needed_soon and not self.survey.view.missing:
            self.silent = {}
        elif now - self.silent_at >= (SILENCE_INTERVAL_MS if is_needed_soon else MAX_STEP_INTERVAL_MS):
            self.silent, self.silent_at = self.survey.proven_silent(now), now

    def _may_send_loads(self) -> bool:
        """Return whether loads may be sent now."""
        return self.survey.may_send_loads(self.clock.now()) and self.are_engines_known()

    def _schedule_step(self, delay_ms: float) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.clock.call_in(
            min(max(delay_ms, MIN_STEP_INTERVAL_MS), MAX_STEP_INTERVAL_MS), self._step
        )

    def _execute(self, actions: Iterable[survey_results.Action | load_history_interface.Action]) -> None:
        for action in actions:
            match action:
                case SendSurveyMessage(member, data):
                    self.send(member, data)
                case SendToDispatcher(number, data):
                    if (known := self.survey.member_of(number)) is not None:
                        self.send(known, data)
                case LoadSettled():
                    self.load_guard.on_settled(action)
                case ViewChanged(view):
                    self._on_view_changed(view)
                case RaiseBootCount(min_boot_count):
                    self._raise_boot_count(min_boot_count)
                case DuplicateIdentity(is_later):
                    self.counters.add("twice")
                    self.log("duplicate_instance", is_later=is_later)
                case PeerBootCountLearned(number, boot_count, checkpoint):
                    self.ledger.put([peer_record(number, KnownPeer(boot_count, checkpoint))])
                case StoreCheckpoint(checkpoint):
                    self._store_checkpoint(checkpoint)

    def _raise_boot_count(self, min_boot_count: int) -> None:
        """Raise a boot count that is too low above those of the incarnations that the folder lost."""
        self.counters.add("boots_raised")
        self.log("boot_count_raised", min_boot=min_boot_count, memory=MEMORY_NAMES[self.survey.memory])
        self.ledger.raise_boot_count(min_boot_count)
        self.survey.on_boot_count_stored(self.clock.now(), self.ledger.boot_count)
        if self.fleet is not None:
            self.fleet.set_incarnation(incarnation_of(self.ledger))

    def _store_checkpoint(self, checkpoint: int) -> None:
        """Store the checkpoint up to which the folder's loads are complete; then notify the survey."""

        def on_written(durable: bool) -> None:
            self.call_in_loop(lambda: self._on_checkpoint_written(checkpoint, durable))

        if checkpoint:
            self.ledger.mark_complete()
        self.ledger.put(checkpoint_records(checkpoint), on_written)

    def _on_checkpoint_written(self, checkpoint: int, durable: bool) -> None:
        """Report a durable checkpoint to the survey, or retry the write while the checkpoint is requested.

        A stale folder that stayed marked as complete would be trusted after the next power loss.
        """
        if durable:
            self.survey.on_checkpoint_stored(self.clock.now(), checkpoint)
            return

        def retry() -> None:
            if self.survey.requested_checkpoint == checkpoint:
                self._store_checkpoint(checkpoint)

        self.clock.call_in(RETRY_MS, retry)

    def _on_view_changed(self, view: SurveyView) -> None:
        self.counters.add(f"census_{view.verdict.value}")
        self.log(
            "membership_surveyed",
            verdict=view.verdict.value,
            is_settled=view.is_settled,
            restarted=",".join(map(str, sorted(view.restarted))) or "none",
            missing=",".join(map(str, sorted(view.missing))) or "none",
        )
        if self.fleet is not None:
            self._report_loss(self.fleet, view)

    def _report_loss(self, fleet: FleetCoordinator, view: SurveyView) -> None:
        """Report a loss of instances to the coordinator, each loss only once.

        A second report would put engines that have warmed up since then under slow start again.
        """
        now, before = self.clock.now(), self.reported_loss
        lost_zones = view.restarted_zones if view.verdict is OutageVerdict.ZONE else frozenset[str]()
        self.reported_loss = ReportedLoss(view.verdict, lost_zones)
        new_zones = lost_zones - before.zones
        if view.verdict is OutageVerdict.FLEET and before.verdict is not OutageVerdict.FLEET:
            fleet.on_loss(now, OutageScope.FLEET, since=view.first_start)
        elif new_zones:
            fleet.on_loss(now, OutageScope.ZONE, sorted(new_zones), view.first_start)
        elif (
            view.verdict in (OutageVerdict.ALONE, OutageVerdict.SOME)
            and before.verdict is OutageVerdict.NOTHING
            and self.survey.number in view.restarted
        ):
            fleet.on_loss(now, OutageScope.ALONE)
