"""The rim of membership: datagrams, timers, and the first duties. Decides nothing."""

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
UNKNOWN = 0xFFFFFFFF  # a detail that tells no load
SCALE = 0xFFFE


def pack_report(report: dict[str, float]) -> int:
    """A probe's load report in 32 bits: queries there, and the share of cores busy."""
    inflight, util = report.get("inflight"), report.get("util")
    if inflight is None or util is None:
        return UNKNOWN
    return (min(max(int(inflight), 0), SCALE) << 16) | round(min(max(util, 0.0), 1.0) * SCALE)


def unpack_report(detail: int) -> dict[str, float]:
    """The load report of another's probe; empty where it told none."""
    if detail == UNKNOWN:
        return {}
    return {"inflight": float(detail >> 16), "util": (detail & 0xFFFF) / SCALE}


def make_instance(installation: Installation, now: float, incarnation: int) -> MembershipInstance:
    """The pure parts for an installation that has a section `membership`. incarnation: the least to begin
    with."""
    file, config = installation.file, installation.config
    section = file.membership
    assert section is not None and config.peer_listen is not None
    settings = SwimSettings(probe_interval_ms=section.period_ms, ping_timeout_ms=section.timeout_ms)
    # Danger: the wall clock may have gone back since the last life. The others tell of its incarnation, and
    # that is passed; a life's terms, and what tells its datagrams from the last one's, are drawn.
    life = secrets.randbits(32)
    swim = Swim(
        file.name,
        installation.announce or config.peer_listen,
        settings,
        config.seed ^ life,
        max(incarnation, 1),
        installation.keys,
        config.peers,
    )
    voters = [member_id(name) for name in section.voters] or [swim.id]
    duties = DutyScheduler(
        swim.id,
        [Duty(PROBE, section.probe_ms), Duty(REPORT, section.report_ms)],
        voters,
        LeaseSettings(),
        now,
        life & 0xFFFFFF,
    )
    return MembershipInstance(swim, duties)


class MembershipRim:
    """Runs an instance: takes datagrams, keeps its timer, sends, and carries out its duties."""

    def __init__(
        self,
        instance: MembershipInstance,
        clock: Clock,
        counters: Counters,
        send: Callable[[bytes, Address], None],
        probe: Callable[[str], bool],
        learned: Callable[[str, dict[str, float]], None],
        note: Callable[..., None],
    ) -> None:
        self.instance, self.clock, self.counters = instance, clock, counters
        self.send, self.probe, self.learned, self.note = send, probe, learned, note
        self.told: Callable[[int, bytes], None] = lambda member, payload: None
        self.joined: Callable[[], None] = lambda: None  # somebody is there who was not before
        self.came: list[DatagramReceived] = []
        self.timer: Timer | None = None
        self.stepping = False
        self.probing: dict[str, RunDuty] = {}
        self.runs: dict[str, int] = {}

    def start(self) -> None:
        """Begin: the first step says hello."""
        now = self.clock.now()
        self._carry_out(self.instance.on_subjects(now, REPORT, [FLEET]))
        self._step()

    def receive(self, data: bytes, sender: Address) -> bool:
        """Whether a datagram is membership's; all of one turn of the loop go into one step."""
        if not data or data[0] != MAGIC:
            return False
        self.came.append(DatagramReceived(data, sender))
        if not self.stepping:
            self.stepping = True
            self.clock.call_soon(self._step)
        return True

    def engines(self, ids: Iterable[str]) -> None:
        """Exactly these engines are to be probed now."""
        self._carry_out(self.instance.on_subjects(self.clock.now(), PROBE, ids))
        self._arm()

    def probed(self, engine: str, outcome: Outcome, report: dict[str, float]) -> None:
        """A probe has ended. A good word is shared; a bad one may be this instance's own link, and isn't."""
        run = self.probing.pop(engine, None)
        if run is not None:
            detail = pack_report(report) if outcome is Outcome.OK else None
            self._carry_out(self.instance.on_run_ended(self.clock.now(), run, detail))
            self._arm()

    def say(self, member: int, payload: bytes) -> None:
        """Bytes of fleet/ to a member."""
        if (send := self.instance.swim.payload_to(payload, member)) is not None:
            self.send(send.data, send.address)

    def leave(self) -> None:
        """Say good-bye."""
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
        self.stepping, came = False, self.came
        self.came = []
        self._carry_out(self.instance.step(self.clock.now(), came))
        self._arm()

    def _arm(self) -> None:
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
                    self.note("member", name=name, status=status.name.lower(), incarnation=incarnation)
                    if status is MemberStatus.ALIVE:
                        self.clock.call_soon(self.joined)
                case RunDuty():
                    self._run(action)
                case StopDuty(_, subject, _):
                    self.probing.pop(subject, None)
                case FleetMessageReceived(member, payload):
                    self.told(member, payload)
                case DutyDone(duty, subject, _, detail):
                    if duty == PROBE:
                        self.learned(subject, unpack_report(detail))

    def _run(self, run: RunDuty) -> None:
        self.runs[run.duty] = self.runs.get(run.duty, 0) + 1
        self.counters.add(f"duties_{run.duty}")
        now = self.clock.now()
        if run.duty == REPORT:
            there = [
                m.name for m in self.instance.swim.members_by_name() if m.id in self.instance.reported_members
            ]
            self.note(
                "fleet", members=len(there) + 1, duties=len(self.instance.duties.tasks), runs=str(self.runs)
            )
            self._carry_out(self.instance.on_run_ended(now, run, 0))
        elif self.probe(run.subject):
            self.probing[run.subject] = run
        else:
            self._carry_out(self.instance.on_run_ended(now, run, None))
