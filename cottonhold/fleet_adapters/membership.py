"""Carries out membership: datagrams, timers, and the duties of probing and reporting. Decides nothing."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable
from typing import Any

from cottonhold.config.installation import Installation
from cottonhold.discovery.model import Address
from cottonhold.membership.codec import MAGIC, MemberStatus, member_id
from cottonhold.membership.duties import Duty, DutyScheduler, RunDuty, StopDuty
from cottonhold.membership.events import DatagramReceived, MemberChanged, SendDatagram
from cottonhold.membership.instance import Action, DutyDone, FleetMessageReceived, MembershipInstance
from cottonhold.membership.leases import LeaseSettings
from cottonhold.membership.swim import Swim
from cottonhold.membership.swim_settings import SwimSettings
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import Outcome
from cottonhold.transport.clock import Clock, Timer

PROBE, REPORT, FLEET = "probe", "report", "fleet"
NO_REPORT = 0xFFFFFFFF  # a detail without a load report
MAX_SCALED = 0xFFFE


def encode_load_report(report: dict[str, float]) -> int:
    """A probe's load report in 32 bits: queries in flight, and the share of cores that is busy."""
    inflight, util = report.get("inflight"), report.get("util")
    if inflight is None or util is None:
        return NO_REPORT
    return (min(max(int(inflight), 0), MAX_SCALED) << 16) | round(min(max(util, 0.0), 1.0) * MAX_SCALED)


def decode_load_report(detail: int) -> dict[str, float]:
    """The load report of another instance's probe; empty where there was none."""
    if detail == NO_REPORT:
        return {}
    return {"inflight": float(detail >> 16), "util": (detail & 0xFFFF) / MAX_SCALED}


def make_instance(installation: Installation, now: float, incarnation: int) -> MembershipInstance:
    """The pure parts for an installation that has a section `membership`. incarnation: the least to begin
    with."""
    file, config = installation.file, installation.config
    section = file.membership
    assert section is not None and config.peer_listen is not None
    settings = SwimSettings(
        probe_interval_ms=section.ping_interval_ms, ping_timeout_ms=section.ping_timeout_ms
    )
    # The wall clock may have gone back since the last start: the others then report the higher incarnation,
    # which is passed; terms, and what distinguishes this start's datagrams from the last one's, are drawn.
    session = secrets.randbits(32)
    swim = Swim(
        file.name,
        installation.announced_address or config.peer_listen,
        settings,
        config.seed ^ session,
        max(incarnation, 1),
        installation.key_ring,
        config.peers,
    )
    voters = [member_id(name) for name in section.voters] or [swim.id]
    duties = DutyScheduler(
        swim.id,
        [Duty(PROBE, section.health_check_interval_ms), Duty(REPORT, section.report_interval_ms)],
        voters,
        LeaseSettings(),
        now,
        session & 0xFFFFFF,
    )
    return MembershipInstance(swim, duties)


class MembershipAdapter:
    """Runs a membership instance: takes datagrams in, keeps its timer, sends, and carries out its duties."""

    def __init__(
        self,
        instance: MembershipInstance,
        clock: Clock,
        counters: Counters,
        send: Callable[[bytes, Address], None],
        probe: Callable[[str], bool],
        on_probe_result: Callable[[str, dict[str, float]], None],
        log_event: Callable[..., None],
    ) -> None:
        self.instance, self.clock, self.counters = instance, clock, counters
        self.send, self.probe, self.on_probe_result, self.log_event = send, probe, on_probe_result, log_event
        self.on_fleet_message: Callable[[int, bytes], None] = lambda member, payload: None
        self.on_joined: Callable[[], None] = lambda: None  # called when a member has become alive
        self.received: list[DatagramReceived] = []
        self.timer: Timer | None = None
        self.is_step_scheduled = False
        self.runs_by_engine: dict[str, RunDuty] = {}
        self.runs: dict[str, int] = {}

    def start(self) -> None:
        """Begin; the first step contacts the seeds."""
        now = self.clock.now()
        self._carry_out(self.instance.on_subjects(now, REPORT, [FLEET]))
        self._step()

    def on_datagram(self, data: bytes, sender: Address) -> bool:
        """Take a datagram in; false if it isn't membership's. All of one turn of the event loop go into one
        step."""
        if not data or data[0] != MAGIC:
            return False
        self.received.append(DatagramReceived(data, sender))
        if not self.is_step_scheduled:
            self.is_step_scheduled = True
            self.clock.call_soon(self._step)
        return True

    def set_engines(self, ids: Iterable[str]) -> None:
        """Probe exactly these engines from now on."""
        self._carry_out(self.instance.on_subjects(self.clock.now(), PROBE, ids))
        self._schedule_step()

    def on_probe_ended(self, engine: str, outcome: Outcome, report: dict[str, float]) -> None:
        """A probe has ended. A success is announced; a failure may be this instance's own link, and isn't."""
        run = self.runs_by_engine.pop(engine, None)
        if run is not None:
            detail = encode_load_report(report) if outcome is Outcome.OK else None
            self._carry_out(self.instance.on_run_ended(self.clock.now(), run, detail))
            self._schedule_step()

    def send_payload(self, member: int, payload: bytes) -> None:
        """Send bytes of fleet/ to a member."""
        if (send := self.instance.swim.payload_to(payload, member)) is not None:
            self.send(send.data, send.address)

    def leave(self) -> None:
        """Announce the end of this instance."""
        self._carry_out(self.instance.leave(self.clock.now()))

    def status(self) -> dict[str, Any]:
        """The view of this instance, for operators."""
        now, swim, duties = self.clock.now(), self.instance.swim, self.instance.duties
        names = {swim.id: swim.name, **{m.id: m.name for m in swim.members.values()}}
        return {
            "name": swim.name,
            "incarnation": swim.incarnation,
            "awareness": swim.awareness,
            "members": [
                {
                    "name": m.name,
                    "address": str(m.address),
                    "status": m.status.name.lower(),
                    "incarnation": m.incarnation,
                    "since_ms": round(now - m.status_since),
                }
                for m in swim.members_by_name()
            ],
            "duties": [
                {
                    "duty": name,
                    "subject": subject,
                    "holder": names.get(shares.holder(subject) or 0, ""),
                    "done_ms_ago": round(now - task.done_at) if task.done_at > 0 else None,
                }
                for name, shares in sorted(duties.assignments.items())
                for subject in sorted(shares.holders)
                for task in [duties.tasks[name, subject]]
            ],
            "runs": dict(self.runs),
            "counts": dict(swim.counts),
        }

    def _step(self) -> None:
        self.is_step_scheduled, received = False, self.received
        self.received = []
        self._carry_out(self.instance.step(self.clock.now(), received))
        self._schedule_step()

    def _schedule_step(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.clock.call_in(
            max(self.instance.next_at() - self.clock.now(), 0.0) + 0.5, self._step
        )

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendDatagram(data, address):
                    self.send(data, address)
                case MemberChanged(_, name, status, incarnation):
                    self.counters.add(f"members_{status.name.lower()}")
                    self.log_event(
                        "member_status_changed",
                        member=name,
                        status=status.name.lower(),
                        incarnation=incarnation,
                    )
                    if status is MemberStatus.ALIVE:
                        self.clock.call_soon(self.on_joined)
                case RunDuty():
                    self._run_duty(action)
                case StopDuty(_, subject, _):
                    self.runs_by_engine.pop(subject, None)
                case FleetMessageReceived(member, payload):
                    self.on_fleet_message(member, payload)
                case DutyDone(duty, subject, _, detail):
                    if duty == PROBE:
                        self.on_probe_result(subject, decode_load_report(detail))

    def _run_duty(self, run: RunDuty) -> None:
        self.runs[run.duty] = self.runs.get(run.duty, 0) + 1
        self.counters.add(f"duties_{run.duty}")
        now = self.clock.now()
        if run.duty == REPORT:
            there = [
                m.name for m in self.instance.swim.members_by_name() if m.id in self.instance.reported_members
            ]
            self.log_event(
                "fleet_reported",
                members=len(there) + 1,
                duties=len(self.instance.duties.tasks),
                duty_runs=str(self.runs),
            )
            self._carry_out(self.instance.on_run_ended(now, run, 0))
        elif self.probe(run.subject):
            self.runs_by_engine[run.subject] = run
        else:
            self._carry_out(self.instance.on_run_ended(now, run, None))
