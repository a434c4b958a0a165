"""Draining of engines that are being replaced: no new requests, and reports of open attempts; does no I/O.

A dispatcher's report has a row for each engine that it has drained: the serial number of the replacement
request, the number of its attempts that are open at the engine, and whether the engine seems absent to it.
Reports are merged by (incarnation, version), so they may arrive in any order and any number of times.

The driver of a replacement adds up the open attempts. The number is unknown while a live dispatcher has not
reported since it drained the engine; a failed dispatcher is regarded as having none once it has been absent
for `member_absence_ms`. An engine is regarded as absent, or as back, if more than half of the live
dispatchers report it, because a single dispatcher may only have lost its route to the engine.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from cottonhold.fleet.engine_drain_messages import (
    MAX_UINT32,
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

    Attributes:
        report_interval_ms: Interval between reports to drivers, in ms; a change is reported immediately.
        liveness_check_interval_ms: Interval between liveness checks of a drained engine, in ms.
        max_report_age_ms: Time after which a dispatcher's last report is no longer used, in ms.
        engine_absence_ms: Time for which more than half of the dispatchers must report an engine as absent
            until it is regarded as absent, in ms.
        member_absence_ms: Time after which an absent dispatcher's open requests are regarded as ended, in ms.
        no_majority_timeout_ms: Time without a majority of voters until the StartupGate opens, in ms.
        startup_timeout_ms: Time after the start until the StartupGate opens in any case, in ms.
        pause_threshold_ms: Time between two steps from which the instance is regarded as paused, in ms.
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
    """Send an encoded report to a member."""

    member: int
    payload: bytes


@dataclass(slots=True, frozen=True)
class CheckLiveness:
    """Check an engine's liveness; the result is passed to `on_liveness_check`."""

    engine: str


@dataclass(slots=True)
class DrainedEngine:
    """An engine that this instance has drained.

    Attributes:
        serial: Serial number of the replacement request for which it was drained.
        open_requests: Number of this instance's attempts that are open at the engine.
        failed_checks: Number of consecutive failed liveness checks.
        last_check_answered: Whether the last liveness check succeeded.
        last_check_at: When the last liveness check was requested.
        absent_since: Since when more than half of the dispatchers report it as absent, or None.
        is_absent: Whether it is regarded as absent.
    """

    serial: int
    open_requests: int
    failed_checks: int = 0
    last_check_answered: bool = False
    last_check_at: float = -1e12
    absent_since: float | None = None
    is_absent: bool = False


class EngineDrains:
    """The drained engines and received reports of one instance. Times are in ms of the local clock.

    Args:
        member: The member id of this instance.
        incarnation: A number that grows with each start of this instance.
        now: The current time.
        settings: Times of engine drains.
        expected: The ids of dispatchers that may be running although they have not been seen yet.
    """

    def __init__(
        self, member: int, incarnation: int, now: float, settings: DrainSettings, expected: Iterable[int] = ()
    ) -> None:
        self.member, self.incarnation, self.settings = member, incarnation & MAX_UINT32, settings
        self.reports = LatestReports[DrainReport](member)
        self.min_incarnations: dict[int, int] = {}
        self.last_live_at = dict.fromkeys(set(expected) - {member}, now)  # by member
        self.listed: dict[str, Machine] = {}
        self.last_listed: dict[str, Machine] = {}  # listed engines, and drained ones as last listed
        self.drained: dict[str, DrainedEngine] = {}
        self.version, self.last_report_at, self.last_rows = 0, -1e12, dict[int, DrainedEngineRow]()
        self.malformed_count = 0

    def set_live_members(self, now: float, live: Mapping[int, int]) -> None:
        """Set the live members and their incarnations; reports of older incarnations are ignored.

        Args:
            now: The current time.
            live: The incarnation of each live member, by member id.
        """
        self.min_incarnations = {
            m: incarnation & MAX_UINT32 for m, incarnation in live.items() if m != self.member
        }
        self.last_live_at.update(dict.fromkeys(self.min_incarnations, now))

    def set_listed_engines(self, engines: Mapping[str, Machine]) -> None:
        """Set the engines of the endpoint list, whether drained or not."""
        self.listed = dict(engines)
        known = (self.last_listed | self.listed).items()
        self.last_listed = {name: m for name, m in known if name in self.listed or name in self.drained}

    def drain(self, engine: str, serial: int, count: int) -> None:
        """Record that this instance sends no new requests to an engine.

        Args:
            engine: The name of the engine.
            serial: The serial number of the replacement request.
            count: The number of this instance's attempts that are open at the engine.
        """
        known = self.drained.get(engine)
        if known is None or known.serial != serial:
            self.drained[engine] = DrainedEngine(serial, count)

    def undrain(self, engine: str) -> None:
        """Record that this instance may send requests to an engine again."""
        self.drained.pop(engine, None)

    def set_open_requests(self, engine: str, count: int) -> None:
        """Set how many attempts of this instance are open at an engine."""
        if engine in self.drained:
            self.drained[engine].open_requests = count

    def on_liveness_check(self, engine: str, is_alive: bool) -> None:
        """Record the result of a liveness check by this instance."""
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
        """Return the number of attempts of all dispatchers that are open at an engine; None while unknown."""
        return (
            None if self.missing_reports(now, engine, serial) else sum(self._open_counts(now, engine, serial))
        )

    def missing_reports(self, now: float, engine: str, serial: int) -> set[int]:
        """Return the ids of the dispatchers whose reports on an engine are missing.

        A live dispatcher's report is missing if it has not reported under this serial number recently. A
        failed dispatcher's report is missing until it has been absent for `member_absence_ms`.
        """
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
        """Return the present engines: those last listed, except drained engines that are absent.

        An engine that was absent is present again once it is listed and has answered a check of this
        instance.
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
        """Return whether an engine is absent, by the reports of more than half of the live dispatchers."""
        drained = self.drained.get(engine)
        return drained is not None and drained.is_absent

    def is_answering(self, engine: str) -> bool:
        """Return whether a drained engine is listed and has answered this instance's last liveness check."""
        drained = self.drained.get(engine)
        return drained is not None and drained.last_check_answered and engine in self.listed

    def step(self, now: float, chain: Mapping[str, plan.MachineRecord]) -> list[SendReport | CheckLiveness]:
        """Return the reports to drivers and the liveness checks that are due."""
        # Only engines that are draining or out are reported: a report holds few rows, and replaced engines
        # remain drained.
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
            engine_number(e): DrainedEngineRow(
                d.serial & MAX_UINT32, d.open_requests, self._seems_absent(e, d)
            )
            for e, d in reported.items()
        }
        drivers = {chain[engine].driver for engine in reported} - {self.member, 0}
        should_report = (
            now - self.last_report_at >= self.settings.report_interval_ms or rows != self.last_rows
        )
        if rows and should_report:
            self.last_report_at, self.last_rows = now, rows
            self.incarnation, self.version = self.reports.next_stamp(self.incarnation, self.version)
            data = encode_report(DrainReport(self.member, self.incarnation, self.version, rows))
            actions += [SendReport(member, data) for member in sorted(drivers)]
        return actions

    def _open_counts(self, now: float, engine: str, serial: int) -> list[int]:
        rows = (self._row(now, member, engine, serial) for member in self.min_incarnations)
        return [self.drained[engine].open_requests, *(row.open_requests for row in rows if row is not None)]

    def _row(self, now: float, member: int, engine: str, serial: int) -> DrainedEngineRow | None:
        """Return a live dispatcher's row on an engine, or None if it is missing or too old."""
        received = self.reports.received.get(member)
        # A report of an earlier incarnation does not include the requests of the current one.
        if (
            received is None
            or now - received.received_at > self.settings.max_report_age_ms
            or received.report.incarnation < self.min_incarnations[member]
        ):
            return None
        row = received.report.rows.get(engine_number(engine))
        return row if row is not None and row.serial == serial & MAX_UINT32 else None

    def _seems_absent(self, engine: str, drained: DrainedEngine) -> bool:
        return engine not in self.listed or drained.failed_checks >= 2

    def _update_absence(self, now: float, engine: str, drained: DrainedEngine) -> None:
        rows = [self._row(now, member, engine, drained.serial) for member in self.min_incarnations]
        absent_count = self._seems_absent(engine, drained) + sum(
            row is not None and row.is_absent for row in rows
        )
        if 2 * absent_count <= 1 + len(self.min_incarnations):
            drained.absent_since, drained.is_absent = None, False
        elif drained.absent_since is None:
            drained.absent_since = now
        # An engine that was only paused must not be mistaken for a new one when it answers again.
        elif now - drained.absent_since >= self.settings.engine_absence_ms:
            drained.is_absent = True


class StartupGate:
    """Holds back loads after a start until the instance has read which engines are drained.

    If an engine was drained while the instance was down, the instance might otherwise send it a load just as
    it is powered off, and the outcome of the load would be unknown. Requests other than loads are not held
    back.

    The gate opens once all registers of the rolling replacement have been read from a majority. Without a
    majority of the voters they cannot be read; then it opens after no_majority_timeout_ms. In any case it
    opens after startup_timeout_ms, because a fleet whose voters all have empty state folders cannot read
    registers but must serve.

    The gate closes again if the instance was paused for pause_threshold_ms: other instances may have regarded
    it as failed and its open requests as ended.
    """

    def __init__(self, now: float, settings: DrainSettings) -> None:
        self.settings, self.started_at, self.last_majority_at, self.last_step_at = settings, now, now, now
        self.is_open = False

    def check_pause(self, now: float) -> bool:
        """Return whether this instance was paused since the last call, and close the gate if so."""
        was_paused = now - self.last_step_at >= self.settings.pause_threshold_ms
        self.last_step_at = now
        if was_paused:
            self.started_at, self.last_majority_at, self.is_open = now, now, False
        return was_paused

    def step(self, now: float, all_read: bool, has_majority: bool) -> bool:
        """Return whether loads may be sent.

        Args:
            now: The current time.
            all_read: Whether all registers were read from a majority since the start or the last pause.
            has_majority: Whether more than half of the voters are present.
        """
        if has_majority:
            self.last_majority_at = now
        has_timed_out = (
            now - self.last_majority_at >= self.settings.no_majority_timeout_ms
            or now - self.started_at >= self.settings.startup_timeout_ms
        )
        self.is_open = self.is_open or all_read or has_timed_out
        return self.is_open


class DrainRecords:
    """The records in this instance's state folder of the engines that it has drained.

    Until a restarted dispatcher has read the registers, it must not send requests to engines that it had
    drained, because they may be powered off at any moment. So engines that were drained before the start are
    withheld until `release_previous`. A record that cannot be decoded is used too, since its key is the name
    of the engine.
    """

    def __init__(self, folder: Mapping[bytes, bytes]) -> None:
        self.from_previous_start = {key.decode(errors="replace") for key in folder}
        self.engines = set(self.from_previous_start)

    def drain(self, engine: str) -> list[Record]:
        """Return the records that must be on disk before the drain is reported."""
        if engine in self.engines or len(self.engines) >= MAX_RECORDS[RecordKind.ENGINE_DRAIN]:
            return []
        self.engines.add(engine)
        return [Record(RecordKind.ENGINE_DRAIN, engine.encode(), Hint(b"", 0.0).encode())]

    def undrain(self, engine: str) -> list[Record]:
        """Return the records that remove the drain from the disk."""
        self.from_previous_start.discard(engine)
        if engine not in self.engines:
            return []
        self.engines.discard(engine)
        return [Record(RecordKind.ENGINE_DRAIN, engine.encode(), None)]

    def release_previous(self, drained: Collection[str]) -> list[str]:
        """Stop withholding engines drained before the start; return those that are not drained now.

        Called once the registers show which engines are drained, or once the instance must serve without
        them.
        """
        ended = sorted(self.from_previous_start.difference(drained))
        self.from_previous_start.clear()
        return ended


def is_new_process(record: plan.MachineRecord | None) -> bool:
    """Return whether an engine that is no longer drained is treated as a new process, with a slow start.

    Without a record, the replacement has ended and was removed from the plan; the engine is then regarded as
    a new process, because an unneeded slow start costs little.
    """
    return record is None or record.arrived_cores_tenths > 0
