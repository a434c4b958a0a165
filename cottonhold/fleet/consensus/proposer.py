"""The proposer: runs the two phases of a change or read of a register, and announces chosen states;
does no I/O."""

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
# Time after the last change of a finished register until it is removed from the voters, and until the removal
# is given up, as multiples of the operation timeout. The register is removed only after every change of it
# has timed out, even with clocks that run at different rates.
REMOVAL_DELAY_OPERATION_TIMEOUTS = 1.25
GIVE_UP_REMOVAL_OPERATION_TIMEOUTS = 3


@dataclass(slots=True)
class PendingChange:
    """A change that is queued or in progress, or a read if `expected_version` is None."""

    name: str
    expected_version: int | None
    value: bytes
    token: int
    writer: tuple[int, int]
    deadline: float
    ballot: Ballot = messages.NO_BALLOT
    proposed_state: AcceptedState | None = None  # None in the prepare phase
    answers: dict[int, RegisterMessage] = field(default_factory=dict)
    accept_sent: bool = False  # whether an ACCEPT with this change's value was sent
    refusal_count: int = 0
    next_send_at: float = -math.inf
    needs_new_ballot: bool = True


@dataclass(slots=True)
class Announcement:
    """The announcement of a chosen state to all members, and the removal of a finished register."""

    state: AcceptedState
    chosen_at: float
    next_send_at: float
    sent_count: int = 0
    accepted_by: set[int] = field(default_factory=set)


class Proposer:
    """Runs the changes and reads of registers that one member proposes. Times are in ms of the local clock.

    Args:
        member: The id of this member.
        voters: The ids of all configured voters.
        proposer_id: A number drawn at each start of the member, so that no two starts use the same ballots.
        settings: Timeouts and limits of registers.
        random_source: Source of the random part of backoff times.
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
        self.chosen_states: dict[str, AcceptedState] = {}  # newest state received, by register
        self.announcements: dict[str, Announcement] = {}
        self.listeners: set[int] = set()
        self.actions: list[Action] = []

    def propose(self, now: float, name: str, expected_version: int | None, value: bytes, token: int) -> None:
        """Queue a change, or a read if `expected_version` is None, and send what is due."""
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
        """Time out overdue operations, start queued ones and send what is due."""
        for pending in [p for p in [*self.in_progress.values(), *self.queue] if now >= p.deadline]:
            result = ChangeResult.UNKNOWN if pending.accept_sent else ChangeResult.LOST
            self._finish_operation(now, pending, result, None)
        queued = self.queue
        self.queue = deque()
        for pending in queued:  # starts one operation per register, in order of arrival
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
        """Apply a voter's answer, or a chosen state that another member announced."""
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
        # A late answer to an earlier ballot may be a promise that no longer holds.
        if pending is None or pending.needs_new_ballot or pending.ballot != message.ballot:
            return
        if message.kind == messages.REFUSED:
            self._back_off(now, pending)
        elif message.kind == (messages.PROMISE if pending.proposed_state is None else messages.ACCEPTED):
            self._on_answer(now, sender, message, pending)

    def _back_off(self, now: float, pending: PendingChange) -> None:
        """Wait a random time before the next ballot, so that competing proposers do not block each other."""
        pending.refusal_count += 1
        backoff_ms = self.settings.initial_backoff_ms * 2**pending.refusal_count
        backoff_ms = min(backoff_ms, self.settings.max_backoff_ms)
        pending.needs_new_ballot = True
        pending.next_send_at = now + backoff_ms * (0.25 + 0.75 * self.random_source.random())

    def _on_answer(self, now: float, sender: int, message: RegisterMessage, pending: PendingChange) -> None:
        """Record an answer of the current phase, which ends with answers from a majority."""
        pending.answers[sender] = message
        current_answers = self._current_answers(pending.answers)
        if len(current_answers) < self.majority:
            return
        if pending.proposed_state is None:
            self._on_majority_promised(now, pending, [answer.state for answer in current_answers.values()])
        else:
            self._on_majority_accepted(now, pending)

    def _current_answers(self, answers: Mapping[int, RegisterMessage]) -> dict[int, RegisterMessage]:
        """Return the answers that were given under the newest recovery epoch of their voter in any answer.

        Otherwise, an answer would be used after its voter has lost its state folder and with it the promise.
        """
        newest_epochs = [max(column) for column in zip(*(a.epochs for a in answers.values()), strict=True)]
        newest_epoch_of = dict(zip(self.voters, newest_epochs, strict=True))
        return {
            voter: answer
            for voter, answer in answers.items()
            if answer.epochs[self.voters.index(voter)] >= newest_epoch_of[voter]
        }

    def _send_phase(self, now: float, pending: PendingChange) -> None:
        """Send the message of the current phase to all voters, including those that have answered.

        An answer that was given under an old recovery epoch can only be replaced by a new answer.
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
        """Propose the newest accepted state, with the change applied if it has the expected version."""
        newest = max(states, key=lambda state: state.ballot)
        version, value, writer = newest.version, newest.value, newest.writer
        if newest.ballot == messages.NO_BALLOT and pending.expected_version != 0:
            # The register does not exist; a state for it would only use up the voters' capacity.
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
        """Announce the proposed state, which is now chosen, and report whether it contains this change."""
        state = pending.proposed_state
        assert state is not None
        self.announcements[pending.name] = Announcement(state, now, now, accepted_by=set(pending.answers))
        self._on_chosen(pending.name, state)
        if pending.expected_version is None or state.writer == pending.writer:
            result = ChangeResult.WON
        elif not pending.accept_sent or state.version == pending.expected_version + 1:
            # No ACCEPT with this change was sent, or another change has the only version it could have had.
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
        """Send a chosen state to all members; if the register is finished, remove it from the voters."""
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
        """Send the final state to all voters until they have accepted it, then a FORGET to all of them.

        If only a majority removed the register, a voter that was absent could restore an older value. The
        delay lets every pending change of the register time out first: a change that expects the register not
        to exist could otherwise be applied a second time after the removal.
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
            # The register is removed, or a voter is absent: voters that still hold it read it again later.
            del self.announcements[name]
