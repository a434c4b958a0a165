"""Runs the membership protocol: datagrams, timers, and the duties of health checks and fleet reports.

The adapter makes no decisions of its own.
"""

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

HEALTH_CHECKS, FLEET_REPORT, FLEET_SUBJECT = "probe", "report", "fleet"
NO_LOAD_REPORT = 0xFFFFFFFF  # encoding of a missing load report
MAX_SCALED = 0xFFFE  # largest value of each 16-bit half of an encoded load report


def encode_load_report(report: dict[str, float]) -> int:
    """Encode a health check's load report in 32 bits: queries in flight, and the fraction of busy cores."""
    inflight, util = report.get("inflight"), report.get("util")
    if inflight is None or util is None:
        return NO_LOAD_REPORT
    return (min(max(int(inflight), 0), MAX_SCALED) << 16) | round(min(max(util, 0.0), 1.0) * MAX_SCALED)


def decode_load_report(detail: int) -> dict[str, float]:
    """Decode the load report of another instance's health check; empty if it had none."""
    if detail == NO_LOAD_REPORT:
        return {}
    return {"inflight": float(detail >> 16), "util": (detail & 0xFFFF) / MAX_SCALED}


def make_instance(installation: Installation, now: float, incarnation: int) -> MembershipInstance:
    """Make the membership protocol and the duties for an installation with a section `membership`.

    Args:
        installation: The configuration in force.
        now: The time in ms of the clock.
        incarnation: The lowest incarnation to start with.
    """
    file, config = installation.file, installation.config
    section = file.membership
    assert section is not None and config.peer_listen is not None
    settings = SwimSettings(
        probe_interval_ms=section.ping_interval_ms, ping_timeout_ms=section.ping_timeout_ms
    )
    # The wall clock may have been set back since the last start. The other members then report the last
    # start's incarnation, which is higher, and this instance chooses one above it. The session number is
    # random: it distinguishes this start's datagrams and terms from those of the last start.
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
        [
            Duty(HEALTH_CHECKS, section.health_check_interval_ms),
            Duty(FLEET_REPORT, section.report_interval_ms),
        ],
        voters,
        LeaseSettings(),
        now,
        session & 0xFFFFFF,
    )
    return MembershipInstance(swim, duties)


class MembershipAdapter:
    """Runs a membership instance: receives and sends its datagrams, keeps its timer, performs its duties.

    Args:
        instance: The membership protocol and the duties.
        send: Sends a datagram to an address.
        check_health: Starts a health check of an engine; returns whether it could be sent.
        on_health_check_result: Receives an engine and its load report after another instance's successful
            health check.
        log_event: Logs an event with its fields.
    """

    def __init__(
        self,
        instance: MembershipInstance,
        clock: Clock,
        counters: Counters,
        send: Callable[[bytes, Address], None],
        check_health: Callable[[str], bool],
        on_health_check_result: Callable[[str, dict[str, float]], None],
        log_event: Callable[..., None],
    ) -> None:
        self.instance, self.clock, self.counters = instance, clock, counters
        self.send, self.check_health, self.on_health_check_result, self.log_event = (
            send,
            check_health,
            on_health_check_result,
            log_event,
        )
        self.on_fleet_message: Callable[[int, bytes], None] = lambda member, payload: None
        self.on_joined: Callable[[], None] = lambda: None  # called when a member has become alive
        self.received: list[DatagramReceived] = []
        self.timer: Timer | None = None
        self.is_step_scheduled = False
        self.runs_by_engine: dict[str, RunDuty] = {}  # health checks in flight
        self.runs: dict[str, int] = {}  # number of runs by duty

    def start(self) -> None:
        """Run the first step, which contacts the configured peers."""
        now = self.clock.now()
        self._execute(self.instance.on_subjects(now, FLEET_REPORT, [FLEET_SUBJECT]))
        self._step()

    def on_datagram(self, data: bytes, sender: Address) -> bool:
        """Queue a datagram for the next step; return whether it is one of membership.

        All datagrams of one event loop iteration are processed in one step.
        """
        if not data or data[0] != MAGIC:
            return False
        self.received.append(DatagramReceived(data, sender))
        if not self.is_step_scheduled:
            self.is_step_scheduled = True
            self.clock.call_soon(self._step)
        return True

    def set_engines(self, ids: Iterable[str]) -> None:
        """Replace the set of engines whose health checks are shared among the members."""
        self._execute(self.instance.on_subjects(self.clock.now(), HEALTH_CHECKS, ids))
        self._schedule_step()

    def on_health_check_ended(self, engine: str, outcome: Outcome, report: dict[str, float]) -> None:
        """Record the result of a health check, and announce a success to the other members.

        A failure is not announced, since this instance's own network link may be the cause.
        """
        run = self.runs_by_engine.pop(engine, None)
        if run is not None:
            detail = encode_load_report(report) if outcome is Outcome.OK else None
            self._execute(self.instance.on_run_ended(self.clock.now(), run, detail))
            self._schedule_step()

    def send_payload(self, member: int, payload: bytes) -> None:
        """Send a fleet message to a member."""
        if (send := self.instance.swim.payload_to(payload, member)) is not None:
            self.send(send.data, send.address)

    def leave(self) -> None:
        """Announce to the other members that this instance leaves."""
        self._execute(self.instance.leave(self.clock.now()))

    def status(self) -> dict[str, Any]:
        """Return the members and duties that this instance knows, for the status socket."""
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
        self._execute(self.instance.step(self.clock.now(), received))
        self._schedule_step()

    def _schedule_step(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.clock.call_in(
            max(self.instance.next_at() - self.clock.now(), 0.0) + 0.5, self._step
        )

    def _execute(self, actions: list[Action]) -> None:
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
                    if duty == HEALTH_CHECKS:
                        self.on_health_check_result(subject, decode_load_report(detail))

    def _run_duty(self, run: RunDuty) -> None:
        self.runs[run.duty] = self.runs.get(run.duty, 0) + 1
        self.counters.add(f"duties_{run.duty}")
        now = self.clock.now()
        if run.duty == FLEET_REPORT:
            reported_names = [
                m.name for m in self.instance.swim.members_by_name() if m.id in self.instance.reported_members
            ]
            self.log_event(
                "fleet_reported",
                members=len(reported_names) + 1,
                duties=len(self.instance.duties.tasks),
                duty_runs=str(self.runs),
            )
            self._execute(self.instance.on_run_ended(now, run, 0))
        elif self.check_health(run.subject):
            self.runs_by_engine[run.subject] = run
        else:
            self._execute(self.instance.on_run_ended(now, run, None))
