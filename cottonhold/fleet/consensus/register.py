"""Registers: small values that the fleet agrees on, each changed by compare-and-set over a majority of the
configured voters. Pure.

CASPaxos ("CASPaxos: Replicated State Machines without logs", Rystsov): a change draws a *ballot*, has a
majority promise it and report the state that they accepted last, applies the change to the newest of those,
and has a majority accept the result. There is no leader and no log: any member proposes, and a register that
is not in use costs nothing. A read is a change that changes nothing.

A change that was interrupted by another's ballot may have been completed by that ballot's proposer. Each
state therefore names the change that wrote it. A proposer that finds its own change is `WON`. One that finds
another version than expected without having sent an ACCEPT, or finds another's change in the only version
that its own could have had, is `LOST`. Otherwise the result is `UNKNOWN`.

Messages may be lost, repeated and reordered: a message without an answer is sent again; an answer counts once
for each voter, for the current ballot, and only under the newest recovery epoch that any answer reports of
its voter (see voter_recovery.py).
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
INTERNAL_READ_TOKEN = 0  # of reads that a voter begins by itself; their outcome is ignored
# A finished register is read again only after it should have been removed.
FINISHED_READ_OPERATION_TIMEOUTS = 4


class UnsettledState(NamedTuple):
    """A state that this voter accepted, whether it is known to be chosen, and when it is read again."""

    ballot: Ballot
    is_chosen: bool
    next_read_at: float


class Registers:
    """One member's side of all registers: a proposer, and a voter if the member is one of `voters`.

    incarnation, boot_count and seed are those of this start; with `member` they make ballots that no other
    start uses. The seed must be drawn anew, because an emptied folder counts boots from the beginning.
    records: of the previous start, by name; empty if the folder is empty or known to be old.
    Raises ValueError for an unusable number of voters.
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
        """Set a register if its version is the expected one; 0 stands for a register that does not exist.

        An empty value finishes the register, which all voters then forget. Ends in an OperationOutcome with
        this token. Raises ValueError if the name or the value is too long.
        """
        if not name or len(name.encode()) > messages.MAX_NAME_BYTES or len(value) > messages.MAX_VALUE_BYTES:
            raise ValueError("name or value too long")
        self.proposer.propose(now, name, expected_version, value, token)
        return self._drain_actions(now)

    def read(self, now: float, name: str, token: int) -> list[Action]:
        """Read a register from a majority.

        Ends in an OperationOutcome with this token: WON, or LOST if no majority answered.
        """
        self.proposer.propose(now, name, None, b"", token)
        return self._drain_actions(now)

    def on_message(self, now: float, sender: int, payload: bytes) -> list[Action]:
        """Apply a message of a register (first byte 64 to 74); a malformed one is counted."""
        self.counts["heard"] += 1
        self._dispatch(now, sender, payload)
        return self._drain_actions(now)

    def on_persisted(self, now: float, token: int) -> list[Action]:
        """The record with this token is on disk."""
        if self.acceptor is not None:
            self.acceptor.on_persisted(token)
        return self._drain_actions(now)

    def step(self, now: float) -> list[Action]:
        """Do what is due; call at `next_at` at the latest, and once at the start."""
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
        """Set the members that learn of chosen states besides the voters."""
        self.proposer.listeners = set(live_members) - {self.member}

    def is_voting(self) -> bool:
        """Whether this member is a voter whose memory is complete."""
        return self.acceptor is not None and self.acceptor.is_voting

    def last_known(self, name: str) -> tuple[int, bytes]:
        """Return the newest chosen version and value that this member learnt of, or (0, b"").

        It may be out of date: a change checks the version.
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
                raise MessageError("kind")
            elif self.acceptor is not None:
                self.acceptor.on_message(sender, payload)
        except MessageError:
            self.counts["malformed"] += 1

    def _drain_actions(self, now: float) -> list[Action]:
        """Deliver messages to this member itself until there are none; return the other actions."""
        external: list[Action] = []
        while True:
            actions, self.proposer.actions = self.proposer.actions, []
            if self.acceptor is not None:
                actions += self.acceptor.take_actions()
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
        """Read each register that this voter accepted without learning that it was chosen.

        The proposer may have failed, and a read completes its change. A finished register is read until it
        is removed.
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
        """Limit the number of known registers by forgetting the oldest finished ones."""
        chosen_states = self.proposer.chosen_states
        finished = [name for name, state in chosen_states.items() if not state.value]
        for name in finished[: max(len(chosen_states) - self.settings.max_registers, 0)]:
            del chosen_states[name]


def _digest(identity: bytes) -> int:
    """Return 64 bits that identify a start or a folder."""
    return int.from_bytes(hashlib.blake2b(identity, digest_size=8).digest(), "big")
