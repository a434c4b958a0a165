"""The proposer of registers: runs the two phases of a change or read and announces what was chosen. Pure."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from cottonhold.fleet.consensus import messages
from cottonhold.fleet.consensus.actions import (
    Action,
    ChangeResult,
    OperationOutcome,
    RegisterChanged,
    SendConsensusMessage,
)
from cottonhold.fleet.consensus.messages import AcceptedState, Ballot, RegisterMessage
from cottonhold.fleet.consensus.settings import RegisterSettings

MAX_ANNOUNCEMENT_DOUBLINGS = 6
# A finished register is removed everywhere only when no change of it can be pending any more, on any clock.
REMOVAL_DELAY_OPERATION_TIMEOUTS = 1.25
GIVE_UP_REMOVAL_OPERATION_TIMEOUTS = 3


@dataclass(slots=True)
class PendingChange:
    """A change in progress, or a read if `expected_version` is None."""

    name: str
    expected_version: int | None
    value: bytes
    token: int
    writer: tuple[int, int]
    deadline: float
    ballot: Ballot = messages.NO_BALLOT
    proposed_state: AcceptedState | None = None  # set in the accept phase
    answers: dict[int, RegisterMessage] = field(default_factory=dict)
    accept_sent: bool = False  # an ACCEPT with this change's value was sent
    refusal_count: int = 0
    next_send_at: float = -math.inf
    needs_new_ballot: bool = True


@dataclass(slots=True)
class Announcement:
    """A chosen state that is sent to all members several times; a finished one until all voters hold it."""

    state: AcceptedState
    chosen_at: float
    next_send_at: float
    sent_count: int = 0
    accepted_by: set[int] = field(default_factory=set)


class Proposer:
    """One member's changes and reads.

    proposer_id is drawn for each start of the member, so no two starts use the same ballots.
    """

    def __init__(
        self,
        member: int,
        voters: Iterable[int],
        proposer_id: int,
        settings: RegisterSettings,
        random_source: random.Random,
    ) -> None:
        self.member = member
        self.voters = tuple(voters)
        self.proposer_id = proposer_id
        self.settings = settings
        self.random_source = random_source
        self.majority = len(self.voters) // 2 + 1
        self.highest_ballot_number = 0
        self.change_count = 0
        self.in_progress: dict[str, PendingChange] = {}
        self.queue: deque[PendingChange] = deque()
        self.chosen_states: dict[str, AcceptedState] = {}  # the newest that this member learnt of
        self.announcements: dict[str, Announcement] = {}
        self.listeners: set[int] = set()
        self.actions: list[Action] = []

    def propose(self, now: float, name: str, expected_version: int | None, value: bytes, token: int) -> None:
        """Begin a change, or a read if `expected_version` is None."""
        self.change_count += 1
        deadline = now + self.settings.operation_timeout_ms
        writer = self.proposer_id, self.change_count
        pending = PendingChange(name, expected_version, value, token, writer, deadline)
        if len(self.queue) + len(self.in_progress) >= self.settings.max_pending_operations:
            self.actions.append(OperationOutcome(token, ChangeResult.LOST, -1, b""))
        else:
            self.queue.append(pending)
            self.step(now)

    def next_at(self) -> float:
        """Return when `step` is due."""
        times = [min(pending.next_send_at, pending.deadline) for pending in self.in_progress.values()]
        times += [pending.deadline for pending in self.queue]
        times += [announcement.next_send_at for announcement in self.announcements.values()]
        return min(times, default=math.inf)

    def step(self, now: float) -> None:
        """End overdue operations, start queued ones and send what is due."""
        for pending in [p for p in [*self.in_progress.values(), *self.queue] if now >= p.deadline]:
            result = ChangeResult.UNKNOWN if pending.accept_sent else ChangeResult.LOST
            self._finish_operation(now, pending, result, None)
        queued = self.queue
        self.queue = deque()
        for pending in queued:  # one operation a register at a time, in the order of arrival
            if pending.name in self.in_progress:
                self.queue.append(pending)
            else:
                self.in_progress[pending.name] = pending
        for pending in self.in_progress.values():
            if now >= pending.next_send_at:
                self._send_phase(now, pending)
        for name, announcement in list(self.announcements.items()):
            if now >= announcement.next_send_at:
                self._announce(now, name, announcement)

    def on_message(self, now: float, sender: int, message: RegisterMessage) -> None:
        """Apply a voter's answer, or a chosen state that another member announces."""
        self.highest_ballot_number = max(
            self.highest_ballot_number, message.ballot.number, message.state.ballot.number
        )
        if message.kind == messages.CHOSEN:
            self._on_chosen(message.name, message.state)
            return
        if sender not in self.voters:
            return
        if message.kind != messages.REFUSED and len(message.epochs) != len(self.voters):
            return
        announcement = self.announcements.get(message.name)
        is_announced = announcement is not None and announcement.state.ballot == message.ballot
        if announcement is not None and is_announced and message.kind == messages.ACCEPTED:
            announcement.accepted_by.add(sender)
        pending = self.in_progress.get(message.name)
        # A late answer to an earlier ballot may be a promise that the voter no longer keeps.
        if pending is None or pending.needs_new_ballot or pending.ballot != message.ballot:
            return
        if message.kind == messages.REFUSED:
            self._back_off(now, pending)
        elif message.kind == (messages.PROMISE if pending.proposed_state is None else messages.ACCEPTED):
            self._on_answer(now, sender, message, pending)

    def _back_off(self, now: float, pending: PendingChange) -> None:
        """Wait a random time before the next ballot, lest competing proposers block one another."""
        pending.refusal_count += 1
        backoff_ms = self.settings.initial_backoff_ms * 2**pending.refusal_count
        backoff_ms = min(backoff_ms, self.settings.max_backoff_ms)
        pending.needs_new_ballot = True
        pending.next_send_at = now + backoff_ms * (0.25 + 0.75 * self.random_source.random())

    def _on_answer(self, now: float, sender: int, message: RegisterMessage, pending: PendingChange) -> None:
        """Count an answer of the current phase; a majority ends the phase."""
        pending.answers[sender] = message
        current_answers = self._current_answers(pending.answers)
        if len(current_answers) < self.majority:
            return
        if pending.proposed_state is None:
            self._on_majority_promised(now, pending, [answer.state for answer in current_answers.values()])
        else:
            self._on_majority_accepted(now, pending)

    def _current_answers(self, answers: Mapping[int, RegisterMessage]) -> dict[int, RegisterMessage]:
        """Return the answers given under the newest recovery epoch that any answer reports of their voter.

        Without this, a voter that lost its folder after its answer would count for a promise that it no
        longer knows.
        """
        newest_epochs = [max(column) for column in zip(*(a.epochs for a in answers.values()), strict=True)]
        newest_epoch_of = dict(zip(self.voters, newest_epochs, strict=True))
        return {
            voter: answer
            for voter, answer in answers.items()
            if answer.epochs[self.voters.index(voter)] >= newest_epoch_of[voter]
        }

    def _send_phase(self, now: float, pending: PendingChange) -> None:
        """Send the current phase's message to all voters, even to those that have answered it.

        An answer given under an old recovery epoch is replaced only by a new answer.
        """
        if pending.needs_new_ballot:
            self.highest_ballot_number += 1
            pending.ballot = Ballot(self.highest_ballot_number, self.proposer_id)
            pending.needs_new_ballot = False
            pending.proposed_state = None
            pending.answers = {}
        pending.next_send_at = now + self.settings.retry_interval_ms
        if pending.proposed_state is None:
            message = RegisterMessage(messages.PREPARE, pending.name, pending.ballot)
        else:
            message = RegisterMessage(messages.ACCEPT, pending.name, pending.ballot, pending.proposed_state)
        payload = messages.encode_message(message)
        self.actions += [SendConsensusMessage(voter, payload) for voter in self.voters]

    def _on_majority_promised(self, now: float, pending: PendingChange, states: list[AcceptedState]) -> None:
        """Propose the newest accepted state, with the change applied if the version is the expected one."""
        newest = max(states, key=lambda state: state.ballot)
        version, value, writer = newest.version, newest.value, newest.writer
        if newest.ballot == messages.NO_BALLOT and pending.expected_version != 0:
            # The register did not exist; writing that down would only fill the voters' memory.
            result = ChangeResult.UNKNOWN if pending.accept_sent else ChangeResult.LOST
            if pending.expected_version is None:
                result = ChangeResult.WON
            self._finish_operation(now, pending, result, newest)
            return
        if pending.expected_version == newest.version:
            version, value, writer = version + 1, pending.value, pending.writer
            pending.accept_sent = True
        pending.proposed_state = AcceptedState(pending.ballot, version, value, writer)
        pending.answers = {}
        self._send_phase(now, pending)

    def _on_majority_accepted(self, now: float, pending: PendingChange) -> None:
        """The proposed state is chosen: announce it and report whether it holds this change."""
        state = pending.proposed_state
        assert state is not None
        self.announcements[pending.name] = Announcement(state, now, now, accepted_by=set(pending.answers))
        self._on_chosen(pending.name, state)
        if pending.expected_version is None or state.writer == pending.writer:
            result = ChangeResult.WON
        elif not pending.accept_sent or state.version == pending.expected_version + 1:
            # No voter was asked to accept it, or another's change holds the only version it could have had.
            result = ChangeResult.LOST
        else:
            result = ChangeResult.UNKNOWN
        self._finish_operation(now, pending, result, state)

    def _finish_operation(
        self, now: float, pending: PendingChange, result: ChangeResult, state: AcceptedState | None
    ) -> None:
        if self.in_progress.get(pending.name) is pending:
            del self.in_progress[pending.name]
        else:
            self.queue = deque(other for other in self.queue if other is not pending)
        version, value = (state.version, state.value) if state is not None else (-1, b"")
        self.actions.append(OperationOutcome(pending.token, result, version, value))
        if state is not None:
            self.step(now)

    def _on_chosen(self, name: str, state: AcceptedState) -> None:
        known = self.chosen_states.get(name)
        if known is not None and state.ballot <= known.ballot:
            return
        self.chosen_states[name] = state
        if known is None or (known.version, known.value) != (state.version, state.value):
            self.actions.append(RegisterChanged(name, state.version, state.value))

    def _announce(self, now: float, name: str, announcement: Announcement) -> None:
        """Send a chosen state to all members; remove the register everywhere if it is finished."""
        announcement.sent_count += 1
        doublings = min(announcement.sent_count, MAX_ANNOUNCEMENT_DOUBLINGS)
        announcement.next_send_at = now + self.settings.retry_interval_ms * 2**doublings
        state = announcement.state
        is_finished = not state.value
        if announcement.sent_count > self.settings.max_announcements and not is_finished:
            del self.announcements[name]
            return
        if announcement.sent_count <= self.settings.max_announcements:
            payload = messages.encode_message(RegisterMessage(messages.CHOSEN, name, state.ballot, state))
            receivers = sorted({*self.voters, *self.listeners})
            self.actions += [SendConsensusMessage(member, payload) for member in receivers]
        if is_finished:
            self._remove_finished(now, name, announcement)

    def _remove_finished(self, now: float, name: str, announcement: Announcement) -> None:
        """Have all voters accept the finished state, then have all of them forget the register.

        If only a majority forgot it, a voter that was away would bring its older value back. The delay lets
        every pending change of the register time out first: a change that found the register missing, as it
        was before the change, would be applied a second time.
        """
        ballot = announcement.state.ballot
        accept = messages.encode_message(RegisterMessage(messages.ACCEPT, name, ballot, announcement.state))
        missing = [voter for voter in self.voters if voter not in announcement.accepted_by]
        self.actions += [SendConsensusMessage(voter, accept) for voter in missing]
        timeout_ms = self.settings.operation_timeout_ms
        if now < announcement.chosen_at + timeout_ms * REMOVAL_DELAY_OPERATION_TIMEOUTS:
            return
        if len(announcement.accepted_by) == len(self.voters):
            forget = messages.encode_message(RegisterMessage(messages.FORGET, name, ballot))
            self.actions += [SendConsensusMessage(voter, forget) for voter in self.voters]
        if now > announcement.chosen_at + timeout_ms * GIVE_UP_REMOVAL_OPERATION_TIMEOUTS:
            # Either it is removed, or a voter is away: a voter that still has it reads it again later.
            del self.announcements[name]
