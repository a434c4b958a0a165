"""One instance's membership and duties, combined in one step function; does no I/O.

Duties are divided among the live members that SWIM reports. Lease messages and announcements of completed
runs are sent as datagrams of the same codec.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from cottonhold.membership.codec import Message, MessageKind
from cottonhold.membership.duties import Action as DutyAction
from cottonhold.membership.duties import AnnounceDone, DutyScheduler, RunDuty, StopDuty, lease_number
from cottonhold.membership.events import DatagramReceived, MemberChanged, MessageReceived, SendDatagram
from cottonhold.membership.leases import LeaseReply, LeaseRequest, SendToMember
from cottonhold.membership.swim import Swim


@dataclass(slots=True, frozen=True)
class DutyDone:
    """Another instance completed a run of a duty's subject.

    Attributes:
        duty: The name of the duty.
        subject: The subject.
        member: The id of the instance that completed the run.
        detail: 32 bits that the duty defines.
    """

    duty: str
    subject: str
    member: int
    detail: int


@dataclass(slots=True, frozen=True)
class FleetMessageReceived:
    """A message of the package `fleet` was received from another instance."""

    member: int
    payload: bytes


Action = SendDatagram | MemberChanged | RunDuty | StopDuty | DutyDone | FleetMessageReceived
# Number of probe intervals from the start until duties are assigned, enough for two attempts to reach a seed.
SETTLING_INTERVALS = 3.0


class MembershipInstance:
    """Membership and duties of one instance.

    Each method returns the actions to perform; call `step` at `next_at` at the latest.
    """

    def __init__(self, swim: Swim, duties: DutyScheduler) -> None:
        self.swim, self.duties = swim, duties
        self.actions: list[Action] = []
        self.reported_members: list[int] = []  # the members last passed to the duties
        self.settled_at = -math.inf if not swim.seeds else math.inf

    def step(self, now: float, datagrams: Iterable[DatagramReceived] = ()) -> list[Action]:
        """Process received datagrams and due timers; call again at `next_at` at the latest."""
        self.actions = []
        for action in self.swim.step(now, datagrams):
            if isinstance(action, MessageReceived):
                self._on_message(now, action.message)
            else:
                self.actions.append(action)
        if self.settled_at == math.inf:
            # An instance that has just started knows no other members, and would assign all duties to itself.
            self.settled_at = now + SETTLING_INTERVALS * self.swim.settings.probe_interval_ms
        live = self.swim.live_members()
        if live != self.reported_members and now >= self.settled_at:
            self.reported_members = live
            self._on_duty_actions(self.duties.on_members(now, dict.fromkeys(live, 1.0)))
        self._on_duty_actions(self.duties.step(now))
        return self.actions

    def on_subjects(self, now: float, duty: str, subjects: Iterable[str]) -> list[Action]:
        """Replace the subjects of a duty."""
        self.actions = []
        self._on_duty_actions(self.duties.on_subjects(now, duty, subjects))
        return self.actions

    def on_run_ended(self, now: float, run: RunDuty, detail: int | None) -> list[Action]:
        """Record the end of a run, and announce it unless it failed.

        Args:
            now: The time in ms.
            run: The action that started the run.
            detail: 32 bits for the announcement that the duty defines; None if the run failed.
        """
        self.actions = []
        duty_actions = self.duties.on_run_ended(now, run)
        self._on_duty_actions([a for a in duty_actions if not isinstance(a, AnnounceDone)])
        if detail is not None and any(isinstance(a, AnnounceDone) for a in duty_actions):
            number = lease_number((run.duty, run.subject))
            for member in self.swim.live_members():
                self._send(MessageKind.DUTY_DONE, detail, number, member)
        return self.actions

    def leave(self, now: float) -> list[Action]:
        """Announce that this instance leaves."""
        return [a for a in self.swim.leave(now) if not isinstance(a, MessageReceived)]

    def next_at(self) -> float:
        """Return the time at which `step` is due."""
        settles = math.inf if self.reported_members else self.settled_at
        return min(self.swim.next_at(), self.duties.next_at(), settles)

    def _send(self, kind: MessageKind, sequence: int, subject: int, member: int) -> None:
        if member != self.swim.id and (send := self.swim.message_to(kind, sequence, subject, member)):
            self.actions.append(send)

    def _on_message(self, now: float, message: Message) -> None:
        sender, number, term = message.sender, message.subject, message.sequence
        match message.kind:
            case MessageKind.FLEET:
                self.actions.append(FleetMessageReceived(sender, message.payload))
                return
            case MessageKind.LEASE_REQUEST | MessageKind.LEASE_RELEASE:
                is_release = message.kind is MessageKind.LEASE_RELEASE
                lease_message: LeaseRequest | LeaseReply = LeaseRequest(number, term, is_release)
            case MessageKind.LEASE_GRANT | MessageKind.LEASE_DENY:
                lease_message = LeaseReply(number, term, message.kind is MessageKind.LEASE_GRANT)
            case _:
                key = self.duties.subject_by_lease.get(number)
                if key is not None:  # None if the subject isn't known yet, or has been removed
                    self._on_duty_actions(self.duties.on_done_elsewhere(now, *key, 0.0))
                    self.actions.append(DutyDone(*key, sender, term))
                return
        self._on_duty_actions(self.duties.on_lease_message(now, sender, lease_message))

    def _on_duty_actions(self, actions: Iterable[DutyAction]) -> None:
        for action in actions:
            if isinstance(action, RunDuty | StopDuty):
                self.actions.append(action)
            elif isinstance(action, SendToMember):
                if isinstance(action.message, LeaseRequest):
                    kind = (
                        MessageKind.LEASE_RELEASE if action.message.is_release else MessageKind.LEASE_REQUEST
                    )
                else:
                    kind = MessageKind.LEASE_GRANT if action.message.is_granted else MessageKind.LEASE_DENY
                self._send(kind, action.message.term, action.message.duty, action.member)
