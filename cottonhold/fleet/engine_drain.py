"""Engines that are being replaced: nothing new goes there, and all dispatchers report what is open there.
Pure.

A dispatcher reports a row of each engine that it has drained: under which request's serial, how many of its
attempts are open there, and whether the engine seems absent to it. Reports merge by (incarnation, version):
in any order, any number of times. The driver adds them up. A live dispatcher that has not reported since it
drained the engine is *unknown*, never zero; a failed one counts as zero once it has been absent for
`member_absence_ms`. An engine is absent, or back, if more than half of the live dispatchers report it: a
single one may only have lost its route.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from cottonhold.fleet.engine_drain_messages import (
    U32,
    DrainedEngineRow,
    DrainReport,
    decode_report,
    encode_report,
)
from cottonhold.fleet.latest_reports import LatestReports
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.recovery.warmup_messages import engine_number
from cottonhold.fleet.rolling_replacement import plan
from cottonhold.fleet.rolling_replacement.plan import Machine, MachineFlag, ReplacementStep
from cottonhold.store.records import MAX_RECORDS, Hint, Record, RecordKind

REPORTED_STEPS = (ReplacementStep.DRAINING, ReplacementStep.OUT)


@dataclass(slots=True, frozen=True)
class DrainSettings:
    """Times of engine drains.

    report_interval_ms: between reports to drivers; a change is reported at once. liveness_check_interval_ms:
    of a drained engine. max_report_age_ms: of another's report. engine_absence_ms: an engine counts as
    absent once more than half have reported it for so long. member_absence_ms: how long a dispatcher must be
    absent before its open requests count as ended. no_majority_timeout_ms, startup_timeout_ms,
    pause_threshold_ms: see StartupGate.
    """

    report_interval_ms: float = 200.0
    liveness_check_interval_ms: float = 250.0
    max_report_age_ms: float = 2000.0
    engine_absence_ms: float = 5000.0
    member_absence_ms: float = 10_000.0
    no_majority_timeout_ms: float = 10_000.0
    startup_timeout_ms: float = 30_000.0
    pause_threshold_ms: float = 5000.0


@dataclass(slots=True, frozen=True)
class SendReport:
    """Send a report to a member."""

    member: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class CheckLiveness:
    """Check an engine's liveness; `on_liveness_check` gets the result."""

    engine: str


@dataclass(slots=True)
class DrainedEngine:
    """An engine that this instance has drained; failed_checks: in a row; absent_since: by more than half."""

    serial: int
    open_requests: int
    failed_checks: int = 0
    last_check_answered: bool = False
    last_check_at: float = -1e12
    absent_since: float | None = None
    is_absent: bool = False


class EngineDrains:
    """One instance's part.

    member: its id. incarnation: grows with each start. expected: ids of dispatchers that may be there, though
    none was seen yet.
    """

    def __init__(
        self, member: int, incarnation: int, now: float, settings: DrainSettings, expected: Iterable[int] = ()
    ) -> None:
        self.member, self.incarnation, self.settings = member, incarnation & U32, settings
        self.reports = LatestReports[DrainReport](member)
        self.min_incarnations: dict[int, int] = {}
        self.last_live_at = dict.fromkeys(set(expected) - {member}, now)  # by member
        self.listed: dict[str, Machine] = {}
        self.last_listed: dict[str, Machine] = {}  # drained ones as they were last listed
        self.drained: dict[str, DrainedEngine] = {}
        self.version, self.last_report_at, self.last_rows = 0, -1e12, dict[int, DrainedEngineRow]()
        self.malformed_count = 0

    def set_live_members(self, now: float, live: Mapping[int, int]) -> None:
        """Set the live members, and the least incarnation that each one's reports may be of."""
        self.min_incarnations = {m: life & U32 for m, life in live.items() if m != self.member}
        self.last_live_at.update(dict.fromkeys(self.min_incarnations, now))

    def set_listed_engines(self, engines: Mapping[str, Machine]) -> None:
        """Set the listed engines, drained or not."""
        self.listed = dict(engines)
        known = (self.last_listed | self.listed).items()
        self.last_listed = {name: m for name, m in known if name in self.listed or name in self.drained}

    def drain(self, engine: str, serial: int, count: int) -> None:
        """This instance sends nothing new to an engine, by the request of this serial.

        count: its attempts that are open there.
        """
        known = self.drained.get(engine)
        if known is None or known.serial != serial:
            self.drained[engine] = DrainedEngine(serial, count)

    def undrain(self, engine: str) -> None:
        """Undo `drain`."""
        self.drained.pop(engine, None)

    def set_open_requests(self, engine: str, count: int) -> None:
        """Set how many attempts of this instance are open at an engine."""
        if engine in self.drained:
            self.drained[engine].open_requests = count

    def on_liveness_check(self, engine: str, is_alive: bool) -> None:
        """A liveness check of this instance has ended."""
        drained = self.drained.get(engine)
        if drained is not None:
            drained.failed_checks = 0 if is_alive else drained.failed_checks + 1
            drained.last_check_answered = is_alive

    def on_message(self, now: float, data: bytes) -> None:
        """Apply another instance's report; a malformed one is counted and changes nothing."""
        try:
            self.reports.apply(now, decode_report(data))
        except MessageError:
            self.malformed_count += 1

    def open_requests(self, now: float, engine: str, serial: int) -> int | None:
        """Return the attempts of all dispatchers that are open at an engine; None while one is unknown."""
        return (
            None if self.missing_reports(now, engine, serial) else sum(self._open_counts(now, engine, serial))
        )

    def missing_reports(self, now: float, engine: str, serial: int) -> set[int]:
        """Return the ids of dispatchers that have not reported since they drained an engine."""
        drained = self.drained.get(engine)
        missing = {self.member} if drained is None or drained.serial != serial else set[int]()
        for member, at in self.last_live_at.items():
            if member in self.min_incarnations:
                if self._row(now, member, engine, serial) is None:
                    missing.add(member)
            elif now - at <= self.settings.member_absence_ms:
                missing.add(member)
        return missing

    def present_engines(self, chain: Mapping[str, plan.MachineRecord]) -> list[Machine]:
        """Return the engines that are there: listed ones, but of drained ones those that are not absent.

        One that was absent is there again once it is listed and has answered this instance.
        """
        present = []
        for name, machine in self.last_listed.items():
            record = chain.get(name)
            is_back = (
                record is not None
                and record.step is ReplacementStep.OUT
                and record.has_flag(MachineFlag.WAS_AWAY)
            )
            if (
                name not in self.drained
                or not self.is_absent(name)
                and (not is_back or self.is_answering(name))
            ):
                present.append(machine)
        return present

    def is_absent(self, engine: str) -> bool:
        """Whether an engine is absent, by the reports of more than half of the live dispatchers."""
        drained = self.drained.get(engine)
        return drained is not None and drained.is_absent

    def is_answering(self, engine: str) -> bool:
        """Whether a drained engine is listed, and answered this instance's last check."""
        drained = self.drained.get(engine)
        return drained is not None and drained.last_check_answered and engine in self.listed

    def step(self, now: float, chain: Mapping[str, plan.MachineRecord]) -> list[SendReport | CheckLiveness]:
        """Return what to report to drivers, and which engines to check."""
        # Only engines that drain or are out: a report holds a few, and replaced ones stay drained.
        reported = {
            n: d for n, d in sorted(self.drained.items()) if n in chain and chain[n].step in REPORTED_STEPS
        }
        actions: list[SendReport | CheckLiveness] = []
        for engine, drained in reported.items():
            if (
                chain[engine].step is ReplacementStep.OUT
                and now - drained.last_check_at >= self.settings.liveness_check_interval_ms
            ):
                drained.last_check_at = now
                actions.append(CheckLiveness(engine))
            self._update_absence(now, engine, drained)
        rows = {
            engine_number(e): DrainedEngineRow(d.serial & U32, d.open_requests, self._seems_absent(e, d))
            for e, d in reported.items()
        }
        drivers = {chain[engine].driver for engine in reported} - {self.member, 0}
        is_report_due = (
            now - self.last_report_at >= self.settings.report_interval_ms or rows != self.last_rows
        )
        if rows and is_report_due:
            self.last_report_at, self.last_rows = now, rows
            self.incarnation, self.version = self.reports.next_stamp(self.incarnation, self.version)
            data = encode_report(DrainReport(self.member, self.incarnation, self.version, rows))
            actions += [SendReport(member, data) for member in sorted(drivers)]
        return actions

    def _open_counts(self, now: float, engine: str, serial: int) -> list[int]:
        rows = (self._row(now, member, engine, serial) for member in self.min_incarnations)
        return [self.drained[engine].open_requests, *(row.open_requests for row in rows if row is not None)]

    def _row(self, now: float, member: int, engine: str, serial: int) -> DrainedEngineRow | None:
        """Return what a live dispatcher reports of an engine, in its present incarnation."""
        received = self.reports.received.get(member)
        # A report of an earlier incarnation says nothing of requests that the present one has open.
        if (
            received is None
            or now - received.received_at > self.settings.max_report_age_ms
            or received.report.incarnation < self.min_incarnations[member]
        ):
            return None
        row = received.report.rows.get(engine_number(engine))
        return row if row is not None and row.serial == serial & U32 else None

    def _seems_absent(self, engine: str, drained: DrainedEngine) -> bool:
        return engine not in self.listed or drained.failed_checks >= 2

    def _update_absence(self, now: float, engine: str, drained: DrainedEngine) -> None:
        rows = [self._row(now, member, engine, drained.serial) for member in self.min_incarnations]
        away = self._seems_absent(engine, drained) + sum(row is not None and row.is_absent for row in rows)
        if 2 * away <= 1 + len(self.min_incarnations):
            drained.absent_since, drained.is_absent = None, False
        elif drained.absent_since is None:
            drained.absent_since = now
        # An engine that only paused must not pass for a new one when it answers again.
        elif now - drained.absent_since >= self.settings.engine_absence_ms:
            drained.is_absent = True


class StartupGate:
    """Whether a dispatcher that has just started knows which engines are drained.

    Until then it sends no loads to any engine: if it was down while an engine was drained, it would send a
    load as the engine is powered off, and nobody would know whether it ran. Idempotent requests do not wait.

    It knows once it has read all registers of the replacement from a majority. While more than half of the
    voters are absent nothing can be read, and after no_majority_timeout_ms of that it serves all the same,
    as it does after startup_timeout_ms in any case: a fleet whose voters all have empty folders cannot read,
    and must serve.

    An instance that was paused for pause_threshold_ms begins again: others may have taken it for failed, and
    may not have counted its open requests.
    """

    def __init__(self, now: float, settings: DrainSettings) -> None:
        self.settings, self.started_at, self.last_majority_at, self.last_step_at = settings, now, now, now
        self.is_open = False

    def check_pause(self, now: float) -> bool:
        """Return whether this instance was paused since the last step, and begin again if so."""
        late = now - self.last_step_at >= self.settings.pause_threshold_ms
        self.last_step_at = now
        if late:
            self.started_at, self.last_majority_at, self.is_open = now, now, False
        return late

    def step(self, now: float, all_read: bool, has_majority: bool) -> bool:
        """Return whether loads may be sent from now on.

        all_read: all registers were read from a majority since the start. has_majority: more than half of the
        voters are there.
        """
        if has_majority:
            self.last_majority_at = now
        late = (
            now - self.last_majority_at >= self.settings.no_majority_timeout_ms
            or now - self.started_at >= self.settings.startup_timeout_ms
        )
        self.is_open = self.is_open or all_read or late
        return self.is_open


class DrainRecords:
    """Engines that this instance has drained, as its folder holds them over a restart.

    A restarted dispatcher must not send a request to an engine that it had drained before it has read the
    registers: the engine may be powered off at any moment. A record that cannot be decoded counts too, since
    its key names the engine. What was drained before the start is withheld until `release_previous`.
    """

    def __init__(self, folder: Mapping[bytes, bytes]) -> None:
        self.from_previous_start = {key.decode(errors="replace") for key in folder}
        self.engines = set(self.from_previous_start)

    def drain(self, engine: str) -> list[Record]:
        """Return what must be on disk before the drain is reported."""
        if engine in self.engines or len(self.engines) >= MAX_RECORDS[RecordKind.ENGINE_DRAIN]:
            return []
        self.engines.add(engine)
        return [Record(RecordKind.ENGINE_DRAIN, engine.encode(), Hint(b"", 0.0).encode())]

    def undrain(self, engine: str) -> list[Record]:
        """Return what undoes `drain` on disk."""
        self.from_previous_start.discard(engine)
        if engine not in self.engines:
            return []
        self.engines.discard(engine)
        return [Record(RecordKind.ENGINE_DRAIN, engine.encode(), None)]

    def release_previous(self, drained: Collection[str]) -> list[str]:
        """Return the engines that need not be withheld any longer.

        It is known which engines are drained, or service must go on without knowing it.
        """
        over = sorted(self.from_previous_start.difference(drained))
        self.from_previous_start.clear()
        return over


def is_new_process(record: plan.MachineRecord | None) -> bool:
    """Whether an engine that is drained no longer is another process than before.

    One whose replacement is over and forgotten counts as that: an unneeded slow start costs little.
    """
    return record is None or record.arrived_cores_tenths > 0
