"""A voter, which holds its promise and its accepted state for each register; does no I/O.

A voter answers only once the record on which the answer depends is on disk. voter_recovery.py describes how a
voter recovers that starts with an empty state folder.
"""

from __future__ import annotations

import math
import struct
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from cottonhold.fleet.consensus import messages
from cottonhold.fleet.consensus.actions import PersistState, SendConsensusMessage
from cottonhold.fleet.consensus.messages import (
    NO_BALLOT,
    AcceptedState,
    Ballot,
    HelloReply,
    RecoveryRequest,
    RegisterMessage,
    RegisterPage,
)
from cottonhold.fleet.consensus.voter_recovery import RecoveryResult, VoterRecovery
from cottonhold.fleet.message_format import MessageError

VOTER_RECORD, REGISTER_RECORD_PREFIX = "voter", "reg/"  # name of a record; prefix of record names
MAX_PROPOSER_ID = 2**64 - 1
VOTER_RECORD_FORMAT = struct.Struct("!Q?I")  # folder id, is_voting, ballot floor


@dataclass(slots=True)
class VoterRegister:
    """One register at a voter: the highest promised ballot, and the last accepted state."""

    promised: Ballot = NO_BALLOT
    state: AcceptedState = AcceptedState()


def encode_register(register: VoterRegister) -> bytes:
    """Encode a register's record."""
    return messages.encode_ballot(register.promised) + messages.encode_state(register.state)


def decode_register(data: bytes) -> VoterRegister:
    """Decode a register's record. Raises MessageError if it is malformed."""
    reader = messages.MessageReader(data)
    register = VoterRegister(reader.read_ballot(), reader.read_state())
    reader.expect_end()
    return register


@dataclass(slots=True, frozen=True)
class ServedCopy:
    """A copy of this voter's registers for a recovering voter, and the round of that voter's requests."""

    round: int
    registers: list[tuple[str, VoterRegister]]


class Acceptor:
    """One voter: its registers, its promises and its recovery from an empty state folder.

    Args:
        member: The id of this member, which must be one of `voters`.
        voters: The ids of all configured voters.
        folder_id: A newly drawn number that identifies the state folder if it is empty.
        records: The records in the state folder, by name.
        max_registers: Maximum number of registers that the voter holds.
        retry_interval_ms: Interval between requests while recovering, in ms.

    Raises:
        MessageError: The records cannot be decoded, or the number of voters has changed.
    """

    def __init__(
        self,
        member: int,
        voters: Sequence[int],
        folder_id: int,
        records: Mapping[str, bytes],
        max_registers: int,
        retry_interval_ms: float,
    ) -> None:
        self.voters = tuple(voters)
        self.max_registers = max_registers
        self.retry_interval_ms = retry_interval_ms
        self.index = self.voters.index(member)
        self.is_voting = False
        self.ballot_floor = 0  # highest ballot number refused for registers not held here
        self.epochs = [0] * len(self.voters)  # number of recoveries of each voter
        self.recovered_folder_ids = [0] * len(self.voters)  # state folder to which each epoch belongs
        self.founding_folder_ids = [0] * len(self.voters)
        self.registers: dict[str, VoterRegister] = {}
        self.last_token = 0
        self.folder_id_durable = False  # whether the folder id is on disk and may be sent
        self.answers_by_token: dict[int, list[SendConsensusMessage]] = {}  # answers that wait for a write
        self.pending_writes: dict[str, int] = {}  # by record name: token of its last unfinished write
        self.removals_by_token: dict[int, list[str]] = {}  # registers to remove once the floor is on disk
        self.served_copies: dict[int, ServedCopy] = {}  # by id of the recovering voter
        self.recovery = VoterRecovery(member, self.voters, folder_id)
        self.voting_token: int | None = None  # token of the write after which this voter votes
        self.next_request_at = 0.0
        self.actions: list[SendConsensusMessage | PersistState] = []
        self._load(records)

    @property
    def folder_id(self) -> int:
        """The number drawn when this voter's folder was created."""
        return self.recovery.folder_id

    def drain_actions(self) -> list[SendConsensusMessage | PersistState]:
        """Return the pending actions and clear them."""
        actions, self.actions = self.actions, []
        return actions

    def next_at(self) -> float:
        """Return when `step` is due."""
        return math.inf if self.is_voting or self.voting_token is not None else self.next_request_at

    def step(self, now: float) -> None:
        """Continue the recovery of a voter that does not vote yet."""
        if now < self.next_at():
            return
        self.next_request_at = now + self.retry_interval_ms
        if not self.folder_id_durable:
            if VOTER_RECORD not in self.pending_writes:
                self._persist_voter()
        elif not self.recovery.other_voters:
            self._start_voting()
        else:
            self._after_recovery_step(self.recovery.next_round())

    def on_persisted(self, token: int) -> None:
        """Record that the write with this token is on disk; must be called in the order of the writes."""
        for name in [name for name, last in self.pending_writes.items() if last == token]:
            del self.pending_writes[name]
            if name == VOTER_RECORD:
                self.folder_id_durable = True
        self.actions += self.answers_by_token.pop(token, [])
        for name in self.removals_by_token.pop(token, []):
            if name not in self.registers:
                self._persist(REGISTER_RECORD_PREFIX + name, b"")
        if self.voting_token == token:
            self.voting_token = None
            self.is_voting = True

    def on_message(self, sender: int, payload: bytes) -> None:
        """Apply a message to a voter. Raises MessageError if it is malformed."""
        kind = payload[0]
        if kind in (messages.PREPARE, messages.ACCEPT, messages.FORGET):
            message = messages.decode_message(payload)
            if self.is_voting:
                self._on_proposer_message(sender, message)
        elif sender not in self.recovery.other_voters:
            return
        elif kind == messages.HELLO:
            self._on_hello(sender, messages.decode_recovery_request(payload).round)
        elif kind == messages.PAGE_REQUEST:
            self._on_page_request(sender, messages.decode_recovery_request(payload))
        elif kind == messages.HELLO_REPLY:
            self._on_hello_reply(sender, messages.decode_hello_reply(payload))
        elif kind == messages.REGISTER_PAGE:
            self._on_register_page(sender, messages.decode_register_page(payload))

    def _on_proposer_message(self, sender: int, message: RegisterMessage) -> None:
        if message.kind == messages.PREPARE:
            self._on_prepare(sender, message)
        elif message.kind == messages.ACCEPT:
            self._on_accept(sender, message)
        else:
            self._on_forget(message)

    def _on_prepare(self, sender: int, message: RegisterMessage) -> None:
        """Promise a ballot unless a higher one was promised before."""
        register = self._register(message.name)
        if message.ballot < register.promised or not self._has_capacity(message.name):
            self._refuse(sender, message, register)
            return
        if message.ballot > register.promised:
            register.promised = message.ballot
            self._persist_register(message.name, register)
        epochs = tuple(self.epochs)
        answer = RegisterMessage(messages.PROMISE, message.name, message.ballot, register.state, epochs)
        self._send_after_write(REGISTER_RECORD_PREFIX + message.name, sender, messages.encode_message(answer))

    def _on_accept(self, sender: int, message: RegisterMessage) -> None:
        """Accept a state unless a higher ballot was promised."""
        register = self._register(message.name)
        ballot = message.ballot
        is_acceptable = ballot >= register.promised and message.state.ballot == ballot
        if not is_acceptable or not self._has_capacity(message.name):
            self._refuse(sender, message, register)
            return
        if register.state.ballot != ballot:
            register.promised = ballot
            register.state = message.state
            self._persist_register(message.name, register)
        answer = RegisterMessage(messages.ACCEPTED, message.name, ballot, epochs=tuple(self.epochs))
        self._send_after_write(REGISTER_RECORD_PREFIX + message.name, sender, messages.encode_message(answer))

    def _on_forget(self, message: RegisterMessage) -> None:
        """Remove a finished register, whose final state all voters have accepted."""
        register = self.registers.get(message.name)
        if register is None or register.promised != message.ballot or register.state.ballot != message.ballot:
            return
        if not register.state.value:
            self._remove_register(message.name)

    def _has_capacity(self, name: str) -> bool:
        """Return whether this voter can hold the register.

        If necessary, registers without an accepted state are removed; the ballot floor preserves their
        promises.
        """
        if name in self.registers or len(self.registers) < self.max_registers:
            return True
        without_state = [other for other, r in self.registers.items() if r.state.ballot == NO_BALLOT]
        for other in without_state:
            self._remove_register(other)
        return bool(without_state)

    def _remove_register(self, name: str) -> None:
        """Raise the ballot floor, and remove the register's record once the floor is on disk.

        Without the floor, a late ACCEPT of an old ballot would restore an old value.
        """
        self.ballot_floor = max(self.ballot_floor, self.registers.pop(name).promised.number)
        self.removals_by_token.setdefault(self._persist_voter(), []).append(name)

    def _register(self, name: str) -> VoterRegister:
        register = self.registers.get(name)
        if register is not None:
            return register
        return VoterRegister(Ballot(self.ballot_floor, MAX_PROPOSER_ID if self.ballot_floor else 0))

    def _persist_register(self, name: str, register: VoterRegister) -> None:
        self.registers[name] = register
        self._persist(REGISTER_RECORD_PREFIX + name, encode_register(register))

    def _refuse(self, sender: int, message: RegisterMessage, register: VoterRegister) -> None:
        promised = AcceptedState(register.promised)
        refusal = RegisterMessage(messages.REFUSED, message.name, message.ballot, promised)
        self.actions.append(SendConsensusMessage(sender, messages.encode_message(refusal)))

    def _send_after_write(self, record_name: str, member: int, payload: bytes) -> None:
        """Send an answer once the record that it depends on is on disk."""
        answer = SendConsensusMessage(member, payload)
        token = self.pending_writes.get(record_name)
        if token is None:
            self.actions.append(answer)
            return
        waiting = self.answers_by_token.setdefault(token, [])
        if answer not in waiting:
            waiting.append(answer)

    def _persist(self, name: str, data: bytes) -> int:
        """Write a record and return its token.

        An earlier write of the record may be replaced before it reaches the disk, so answers and removals
        that wait for it then wait for this write.
        """
        self.last_token += 1
        token = self.last_token
        earlier_token = self.pending_writes.get(name)
        self.pending_writes[name] = token
        if earlier_token is not None and earlier_token in self.answers_by_token:
            answers = self.answers_by_token.pop(earlier_token)
            self.answers_by_token.setdefault(token, []).extend(answers)
        if earlier_token is not None and earlier_token in self.removals_by_token:
            removals = self.removals_by_token.pop(earlier_token)
            self.removals_by_token.setdefault(token, []).extend(removals)
        self.actions.append(PersistState(name, data, token))
        return token

    def _on_hello(self, sender: int, round_: int) -> None:
        """Answer a voter that is recovering or checking whether the fleet is new."""
        if not self.folder_id_durable:
            return
        epochs, founding_folder_ids = tuple(self.epochs), tuple(self.founding_folder_ids)
        reply = HelloReply(self.folder_id, round_, self.is_voting, epochs, founding_folder_ids)
        self._send_after_write(VOTER_RECORD, sender, messages.encode_hello_reply(reply))

    def _on_page_request(self, sender: int, request: RecoveryRequest) -> None:
        """Record a recovering voter's epoch, and send a page of a copy made at the same time."""
        if not self.is_voting:
            return
        voter_index = self.voters.index(sender)
        known_epoch = self.epochs[voter_index]
        is_other_folder = request.folder_id != self.recovered_folder_ids[voter_index]
        if request.epoch < known_epoch or (request.epoch == known_epoch and is_other_folder):
            # The request is outdated, or another recovery of that voter has used this epoch.
            self._on_hello(sender, request.round)
            return
        if request.epoch > known_epoch:
            self.epochs[voter_index] = request.epoch
            self.recovered_folder_ids[voter_index] = request.folder_id
            self._persist_voter()
        served = self.served_copies.get(sender)
        if request.page_index == 0 and (served is None or served.round != request.round):
            copies = [(n, VoterRegister(r.promised, r.state)) for n, r in sorted(self.registers.items())]
            served = self.served_copies[sender] = ServedCopy(request.round, copies)
        # After a restart the copy is lost. Pages of two copies must not be mixed, since a change between them
        # could be missed.
        if served is None or served.round != request.round:
            return
        if request.page_index < max(len(served.registers), 1):
            self._send_page(sender, request, served)

    def _send_page(self, sender: int, request: RecoveryRequest, served: ServedCopy) -> None:
        registers = served.registers
        name, register = registers[request.page_index] if registers else ("", VoterRegister())
        page = RegisterPage(
            round=request.round,
            epoch=request.epoch,
            page_index=request.page_index,
            page_count=len(registers),
            ballot_floor=self.ballot_floor,
            name=name,
            promised=register.promised,
            state=register.state,
            epochs=tuple(self.epochs),
        )
        self._send_after_write(VOTER_RECORD, sender, messages.encode_register_page(page))

    def _on_hello_reply(self, sender: int, reply: HelloReply) -> None:
        if self.is_voting or reply.round != self.recovery.round or len(reply.epochs) != len(self.voters):
            return
        if self.voting_token is not None or len(reply.founding_folder_ids) != len(self.voters):
            return
        self._after_recovery_step(self.recovery.on_hello_reply(sender, reply))

    def _after_recovery_step(self, founding_folder_ids: list[int] | None) -> None:
        """Send the recovery's requests; start to vote if this state folder is one of the founding folders."""
        self.actions += self.recovery.drain_messages()
        if founding_folder_ids is not None:
            self.founding_folder_ids = founding_folder_ids
            self._start_voting()

    def _on_register_page(self, sender: int, page: RegisterPage) -> None:
        if self.is_voting or self.voting_token is not None or len(page.epochs) != len(self.voters):
            return
        recovered = self.recovery.on_register_page(sender, page)
        self.actions += self.recovery.drain_messages()
        if recovered is not None:
            self._adopt(recovered)

    def _adopt(self, recovered: RecoveryResult) -> None:
        """Adopt the highest promise and the newest state of each register from the copies."""
        self.registers = {}
        for page in (page for copy in recovered.copies for page in copy.pages.values()):
            self.ballot_floor = max(self.ballot_floor, page.ballot_floor)
            if page.name:
                register = self.registers.setdefault(page.name, VoterRegister())
                register.promised = max(register.promised, page.promised)
                register.state = max(register.state, page.state, key=lambda state: state.ballot)
        self.epochs = recovered.epochs
        self.epochs[self.index] = self.recovery.epoch
        for name, register in self.registers.items():
            self._persist(REGISTER_RECORD_PREFIX + name, encode_register(register))
        self._start_voting()

    def _start_voting(self) -> None:
        """Start to vote once this is recorded on disk."""
        self.voting_token = self._persist_voter(is_voting=True)

    def _persist_voter(self, is_voting: bool = False) -> int:
        """Write this voter's record and return its token."""
        fixed = VOTER_RECORD_FORMAT.pack(self.folder_id, self.is_voting or is_voting, self.ballot_floor)
        epochs = bytes((len(self.epochs), *self.epochs))
        folder_ids = [*self.recovered_folder_ids, *self.founding_folder_ids]
        encoded_ids = b"".join(messages.UINT64_FORMAT.pack(folder_id) for folder_id in folder_ids)
        return self._persist(VOTER_RECORD, fixed + epochs + encoded_ids)

    def _load(self, records: Mapping[str, bytes]) -> None:
        if VOTER_RECORD not in records:
            return
        reader = messages.MessageReader(records[VOTER_RECORD])
        folder_id, is_voting, self.ballot_floor = reader.read_struct(VOTER_RECORD_FORMAT)
        epochs = list(reader.read_counted_bytes(messages.MAX_VOTERS))
        # Epochs are stored by position, so they cannot be assigned if the list of voters was changed.
        if len(epochs) != len(self.voters):
            raise MessageError("number of voters has changed")
        self.recovery.folder_id = folder_id
        self.is_voting = bool(is_voting)
        self.epochs = epochs
        self.folder_id_durable = True
        folder_ids = [reader.read_struct(messages.UINT64_FORMAT)[0] for _ in range(2 * len(epochs))]
        self.recovered_folder_ids = folder_ids[: len(epochs)]
        self.founding_folder_ids = folder_ids[len(epochs) :]
        reader.expect_end()
        if self.is_voting:
            self.registers = {
                name.removeprefix(REGISTER_RECORD_PREFIX): decode_register(data)
                for name, data in records.items()
                if name.startswith(REGISTER_RECORD_PREFIX) and data
            }
