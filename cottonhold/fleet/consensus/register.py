"""Registers: small replicated values that are changed by compare-and-set on a majority of the voters;
does no I/O.

The protocol is CASPaxos ("CASPaxos: Replicated State Machines without logs", Rystsov). The proposer of a
change chooses a *ballot*, obtains promises for it from a majority together with their last accepted states,
applies the change to the newest of these states, and has a majority accept the result. There is no leader and
no log: any member may propose, and a register that is not in use causes no traffic. A read is a change that
keeps the value.

A change that was interrupted by another proposer's ballot may have been completed by that proposer. Therefore
each state identifies the change that wrote it. The result of a change is `WON` if its proposer finds it in
the chosen state. It is `LOST` if the version was not the expected one and no ACCEPT was sent, or if another
change has the only version that this one could have had. Otherwise it is `UNKNOWN`.

Messages may be lost, repeated and reordered. Unanswered messages are sent again. Only one answer per voter is
used, for the current ballot, and only if it was given under the newest recovery epoch of its voter that any
answer reports (see voter_recovery.py).
"""

from __future__ import annotations

import hashlib
import random
import struct
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from cottonhold.fleet.consensus import messages
from cottonhold.fleet.consensus.acceptor import Acceptor
from cottonhold.fleet.consensus.actions import Action, SendConsensusMessage
from cottonhold.fleet.consensus.messages import AcceptedState, Ballot
from cottonhold.fleet.consensus.proposer import Proposer
from cottonhold.fleet.consensus.settings import RegisterSettings
from cottonhold.fleet.message_format import MessageError

UINT64_MASK = 2**64 - 1
INTERNAL_READ_TOKEN = 0  # token of reads that a voter starts by itself, whose outcome is ignored
# Delay, as a multiple of the operation timeout, until a finished register that was not removed is read again.
FINISHED_READ_OPERATION_TIMEOUTS = 4


class UnsettledState(NamedTuple):
    """A register that this voter will read again: accepted ballot, whether it is chosen, time of the read."""

    ballot: Ballot
    is_chosen: bool
    next_read_at: float


class Registers:
    """All registers at one member, which is a proposer, and also a voter if it is one of `voters`.

    Times are in ms of the local clock.

    Args:
        member: The id of this member.
        voters: The ids of all configured voters.
        incarnation: The incarnation of this start; with `member`, `boot_count` and `seed` it makes ballots
            unique to this start.
        boot_count: The number of starts with this state folder.
        seed: A random number, drawn at each start, because `boot_count` starts again if the folder is
            emptied.
        records: The records in the state folder, by name; empty if the folder is known to be out of date.
        settings: Timeouts and limits; the defaults if None.

    Raises:
        ValueError: There are no voters or too many.
        MessageError: The records cannot be decoded, or the number of voters has changed.
    """

    def __init__(
        self,
        member: int,
        voters: Iterable[int],
        incarnation: int,
        boot_count: int,
        seed: int,
        records: Mapping[str, bytes],
        settings: RegisterSettings | None = None,
    ) -> None:
        self.member = member
        self.voters = tuple(sorted(set(voters)))
        self.settings = settings or RegisterSettings()
        if not 0 < len(self.voters) <= messages.MAX_VOTERS:
            raise ValueError(f"1 to {messages.MAX_VOTERS} voters, not {len(self.voters)}")
        self.random_source = random.Random(seed)
        nonce = self.random_source.getrandbits(64)
        identity = struct.pack("!QQQQ", member, incarnation & UINT64_MASK, boot_count & UINT64_MASK, nonce)
        self.proposer = Proposer(member, self.voters, _digest(identity), self.settings, self.random_source)
        self.acceptor: Acceptor | None = None
        if member in self.voters:
            self.acceptor = Acceptor(
                member,
                self.voters,
                _digest(identity + b"folder"),
                records,
                self.settings.max_registers,
                self.settings.retry_interval_ms,
            )
        self.unsettled: dict[str, UnsettledState] = {}
        self.counts = {"said": 0, "heard": 0, "malformed": 0}

    def change(self, now: float, name: str, expected_version: int, value: bytes, token: int) -> list[Action]:
        """Set a register if it has the expected version; an OperationOutcome follows.

        Args:
            now: The current time.
            name: The name of the register.
            expected_version: The version that is required; 0 for a register that does not exist.
            value: The new value; an empty one finishes the register, which the voters then remove.
            token: Identifies the OperationOutcome.

        Raises:
            ValueError: The name is empty, or the name or value is too long.
        """
        if not name or len(name.encode()) > messages.MAX_NAME_BYTES or len(value) > messages.MAX_VALUE_BYTES:
            raise ValueError("name or value too long")
        self.proposer.propose(now, name, expected_version, value, token)
        return self._drain_actions(now)

    def read(self, now: float, name: str, token: int) -> list[Action]:
        """Read a register from a majority; an OperationOutcome with this token follows.

        Its result is WON, or LOST if no majority has answered in time.
        """
        self.proposer.propose(now, name, None, b"", token)
        return self._drain_actions(now)

    def on_message(self, now: float, sender: int, payload: bytes) -> list[Action]:
        """Apply a message about registers (first byte 64 to 74); a malformed one is only counted."""
        self.counts["heard"] += 1
        self._dispatch(now, sender, payload)
        return self._drain_actions(now)

    def on_persisted(self, now: float, token: int) -> list[Action]:
        """Record that the write with this token is on disk."""
        if self.acceptor is not None:
            self.acceptor.on_persisted(token)
        return self._drain_actions(now)

    def step(self, now: float) -> list[Action]:
        """Return the actions that are due; called at `next_at` at the latest, and once after the start."""
        self.proposer.step(now)
        if self.acceptor is not None:
            self.acceptor.step(now)
            self._read_unsettled(now)
        return self._drain_actions(now)

    def next_at(self) -> float:
        """Return when `step` is due."""
        times = [self.proposer.next_at()]
        if self.acceptor is not None:
            times.append(self.acceptor.next_at())
            times += [unsettled.next_read_at for unsettled in self.unsettled.values()]
        return min(times)

    def set_listeners(self, live_members: Iterable[int]) -> None:
        """Set the members to which chosen states are announced in addition to the voters."""
        self.proposer.listeners = set(live_members) - {self.member}

    def is_voting(self) -> bool:
        """Return whether this member is a voter whose memory is complete."""
        return self.acceptor is not None and self.acceptor.is_voting

    def last_known(self, name: str) -> tuple[int, bytes]:
        """Return the newest chosen version and value that this member has received, or (0, b"").

        They may be out of date; a change checks the version.
        """
        state = self.proposer.chosen_states.get(name, AcceptedState())
        return state.version, state.value

    def names(self) -> list[str]:
        """Return the known registers that are not finished."""
        return sorted(name for name, state in self.proposer.chosen_states.items() if state.value)

    def _dispatch(self, now: float, sender: int, payload: bytes) -> None:
        try:
            kind = payload[0] if payload else 0
            if kind in (messages.PROMISE, messages.ACCEPTED, messages.REFUSED, messages.CHOSEN):
                self.proposer.on_message(now, sender, messages.decode_message(payload))
            elif not messages.PREPARE <= kind <= messages.REGISTER_PAGE:
                raise MessageError("unknown kind of consensus message")
            elif self.acceptor is not None:
                self.acceptor.on_message(sender, payload)
        except MessageError:
            self.counts["malformed"] += 1

    def _drain_actions(self, now: float) -> list[Action]:
        """Deliver messages from this member to itself until there are none; return the other actions."""
        external: list[Action] = []
        while True:
            actions, self.proposer.actions = self.proposer.actions, []
            if self.acceptor is not None:
                actions += self.acceptor.drain_actions()
            if not actions:
                break
            for action in actions:
                if isinstance(action, SendConsensusMessage) and action.member == self.member:
                    self._dispatch(now, self.member, action.payload)
                else:
                    external.append(action)
        self._forget_finished()
        self.counts["said"] += sum(isinstance(action, SendConsensusMessage) for action in external)
        if self.acceptor is not None:
            self._read_unsettled(now)
        return external

    def _read_unsettled(self, now: float) -> None:
        """Read each register whose accepted state is not known to be chosen.

        Its proposer may have failed, and a read completes the change. A finished register is read until it is
        removed.
        """
        assert self.acceptor is not None
        registers = self.acceptor.registers
        for name, register in registers.items():
            ballot = register.state.ballot
            chosen = self.proposer.chosen_states.get(name)
            is_chosen = chosen is not None and chosen.ballot >= ballot
            known = self.unsettled.get(name)
            if not ballot.number or (is_chosen and register.state.value):
                self.unsettled.pop(name, None)
            elif known is None or (known.ballot, known.is_chosen) != (ballot, is_chosen):
                delay_ms = self._first_read_delay_ms(is_chosen)
                self.unsettled[name] = UnsettledState(ballot, is_chosen, now + delay_ms)
        for name, unsettled in list(self.unsettled.items()):
            if name not in registers:
                del self.unsettled[name]
            elif now >= unsettled.next_read_at:
                delay_ms = self.settings.settle_delay_ms * (1 + self.random_source.random())
                self.unsettled[name] = unsettled._replace(next_read_at=now + delay_ms)
                if name not in self.proposer.in_progress:
                    self.proposer.propose(now, name, None, b"", INTERNAL_READ_TOKEN)

    def _first_read_delay_ms(self, is_chosen: bool) -> float:
        delay_ms = self.settings.settle_delay_ms
        if is_chosen:
            delay_ms += FINISHED_READ_OPERATION_TIMEOUTS * self.settings.operation_timeout_ms
        return delay_ms * (0.75 + 0.5 * self.random_source.random())

    def _forget_finished(self) -> None:
        """Limit the number of known registers by removing the oldest finished ones."""
        chosen_states = self.proposer.chosen_states
        finished = [name for name, state in chosen_states.items() if not state.value]
        for name in finished[: max(len(chosen_states) - self.settings.max_registers, 0)]:
            del chosen_states[name]


def _digest(identity: bytes) -> int:
    """Return a 64-bit hash that identifies a start or a state folder."""
    return int.from_bytes(hashlib.blake2b(identity, digest_size=8).digest(), "big")
