"""Membership and failure detection: SWIM with the Lifeguard extensions, as a pure step function.

It follows "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (Das, Gupta,
Motivala) and "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (Dadgar, Phillips,
Currey).

In each probe interval one member is pinged, in an order that is shuffled for each round. A member that
doesn't ack is pinged indirectly through others. If there is still no ack, it becomes *suspect*, which it may
refute with a higher incarnation; otherwise it becomes *dead*. Updates are piggybacked on pings and acks.

The Lifeguard extensions: an instance that misses acks first assumes a local problem, so it waits longer and
probes less often; a suspicion becomes shorter with each independent confirmation; and every ping to a suspect
notifies it of the suspicion.

Times are in ms on the caller's clock; only differences are used.
"""

from __future__ import annotations

import itertools
import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from cottonhold.discovery.model import Address
from cottonhold.membership.codec import (
    Codec,
    CodecError,
    KeyRing,
    MemberStatus,
    Message,
    MessageKind,
    Update,
    encode_update,
    member_id,
)
from cottonhold.membership.dissemination import UpdateQueue
from cottonhold.membership.events import (
    Action,
    DatagramReceived,
    MemberChanged,
    MessageReceived,
    SendDatagram,
)
from cottonhold.membership.member import Member
from cottonhold.membership.member_table import MemberTable
from cottonhold.membership.swim_settings import SwimSettings
from cottonhold.membership.table_sync import TableSender, sync_targets

SEQUENCE_MASK = 0xFFFFFFFF
MAX_RELAYS = 64  # largest number of indirect pings for other instances in progress
NO_HELPERS = -1  # value of `Probe.helper_count` if no member could help with an indirect ping


@dataclass(slots=True)
class Probe:
    """The probe in progress.

    Attributes:
        sequence: The sequence of its pings.
        target: The id of the probed member.
        indirect_at: When indirect pings are due.
        ends_at: When the probe fails.
        helper_count: The number of members asked to ping indirectly; 0 before that.
        nacks: The ids of the helpers that have sent a nack.
    """

    sequence: int
    target: int
    indirect_at: float
    ends_at: float
    helper_count: int = 0
    nacks: set[int] = field(default_factory=set)


@dataclass(slots=True, frozen=True)
class Relay:
    """An indirect ping for another instance: the sequence of its request, and its address for the reply."""

    sequence: int
    address: Address


class Swim:
    """One instance's membership protocol.

    Each method returns the actions to perform; call `step` at `next_at` at the latest.

    Args:
        name: The name of this instance.
        address: The address at which other members reach it.
        settings: The settings of the protocol.
        seed: The seed of its random numbers.
        incarnation: Its first incarnation; should be higher than any of a previous process of the same name.
        keys: The keys of the datagrams' MACs; None for none.
        seeds: Addresses through which it joins the other members.
    """

    def __init__(
        self,
        name: str,
        address: Address,
        settings: SwimSettings,
        seed: int,
        incarnation: int,
        keys: KeyRing | None = None,
        seeds: Sequence[Address] = (),
    ) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.id, self.name, self.address = member_id(name), name, address
        self.incarnation = incarnation
        self.codec = Codec(self.id, self.random.getrandbits(32), keys)
        self.seeds = [seed for seed in seeds if seed != address]
        self._updates = UpdateQueue(settings.retransmit_factor)
        self._table = MemberTable(self.id, settings, self.random, self._updates, self._on_member_changed)
        self.members = self._table.members
        self._probe: Probe | None = None
        self._relays: dict[int, Relay] = {}  # by the sequence of this instance's ping
        self._sequence = itertools.count(self.random.getrandbits(16))
        self.awareness = 0  # Lifeguard's local health multiplier; 0 if healthy
        self._next_probe_at = self._next_sync_at = self._next_step_at = -math.inf
        self._table_sender = TableSender(self.id)
        self._is_leaving = False
        self.counts: dict[str, int] = {}
        self._actions: list[Action] = []
        self._now = 0.0

    def step(self, now: float, events: Iterable[DatagramReceived] = ()) -> list[Action]:
        """Process received datagrams and due timers."""
        self._actions = []
        if self._next_probe_at == -math.inf:
            self._next_probe_at = now + self.settings.probe_interval_ms * self.random.random()
            self._next_sync_at = now
        elif now - self._next_step_at > self.settings.stall_threshold_ms:
            self._on_stall(now, now - self._next_step_at)
        self._now = now
        for event in events:
            self._on_datagram(event)
        self._run_probe()
        self._table.run_suspicions(now)
        if now >= self._next_sync_at and not self._is_leaving:
            self._sync()
        self._next_step_at = self.next_at()
        return self._actions

    def next_at(self) -> float:
        """Return the time at which `step` is due."""
        times = [math.inf if self._is_leaving else self._next_sync_at, self._table.next_suspicion_at()]
        probe = self._probe
        if probe is None:
            times.append(self._next_probe_at)
        else:
            times.append(probe.ends_at if probe.helper_count else probe.indirect_at)
        return min(times)

    def leave(self, now: float) -> list[Action]:
        """Announce that this instance leaves, so that other members needn't detect it."""
        self._actions, self._now, self._is_leaving = [], now, True
        self._updates.add(Update(MemberStatus.LEFT, self.id, self.incarnation, self.id))
        count = self.settings.indirect_probes * 2
        for member in self._table.sample(count, lambda m: m.status is not MemberStatus.DEAD):
            self._send(MessageKind.ACK, 0, member.address, 0)
        return self._actions

    def members_by_name(self) -> list[Member]:
        """Return all other members, sorted by name."""
        return sorted(self.members.values(), key=lambda m: m.name)

    def live_members(self) -> list[int]:
        """Return the ids of this instance and of all members that are alive or suspected."""
        return self._table.live_ids()

    def message_to(self, kind: MessageKind, sequence: int, subject: int, member: int) -> SendDatagram | None:
        """Return a datagram with a message of a layer above; None if the member isn't known."""
        receiver = self.members.get(member)
        if receiver is None:
            return None
        updates = self._next_updates(member)
        data = self.codec.encode(Message(kind, self.id, sequence, subject), updates)
        return SendDatagram(data, receiver.address)

    def payload_to(self, payload: bytes, member: int) -> SendDatagram | None:
        """Return a datagram with a FLEET payload; None if the member is unknown or the payload too long."""
        receiver = self.members.get(member)
        if receiver is None or len(payload) > self.codec.update_capacity():
            return None
        data = self.codec.encode(Message(MessageKind.FLEET, self.id, 0), payload)
        return SendDatagram(data, receiver.address)

    def _on_stall(self, now: float, stalled_ms: float) -> None:
        """Postpone all timers after a time in which this instance did not run.

        When a stopped process continues, all its time-outs have expired and the replies are still unread.
        Without the postponement it would declare all other members dead.
        """
        self._count("stalls")
        self._adjust_awareness(1)
        if self._probe is not None:
            self._probe.indirect_at += stalled_ms
            self._probe.ends_at += stalled_ms
        self._table.postpone_suspicions(stalled_ms)
        self._next_probe_at = max(self._next_probe_at, now)

    def _adjust_awareness(self, by: int) -> None:
        if self.settings.uses_lifeguard:
            self.awareness = min(max(self.awareness + by, 0), self.settings.max_awareness)

    def _awareness_factor(self) -> float:
        return 1.0 + self.awareness

    def _run_probe(self) -> None:
        probe = self._probe
        if probe is not None:
            if self._now >= probe.ends_at:
                self._on_probe_missed(probe)
            elif self._now >= probe.indirect_at and not probe.helper_count:
                self._probe_indirectly(probe)
        if self._now >= self._next_probe_at and self._probe is None:
            self._begin_probe()

    def _begin_probe(self) -> None:
        target = self._table.next_probe_target()
        self._next_probe_at = self._now + self.settings.probe_interval_ms * self._awareness_factor()
        if target is None:
            return
        sequence = self._next_sequence()
        timeout_ms = self.settings.ping_timeout_ms * self._awareness_factor()
        ends_at = max(self._next_probe_at, self._now + 2 * timeout_ms)
        self._probe = Probe(sequence, target.id, self._now + timeout_ms, ends_at)
        self._send(MessageKind.PING, sequence, target.address, target.id)

    def _probe_indirectly(self, probe: Probe) -> None:
        helpers = self._table.sample(
            self.settings.indirect_probes, lambda m: m.status is MemberStatus.ALIVE and m.id != probe.target
        )
        probe.helper_count = len(helpers) or NO_HELPERS
        for helper in helpers:
            self._send(MessageKind.PING_REQ, probe.sequence, helper.address, probe.target)
        target = self.members.get(probe.target)
        if target is not None:  # ping again directly, in case only the first datagram was lost
            self._send(MessageKind.PING, probe.sequence, target.address, target.id)

    def _on_probe_missed(self, probe: Probe) -> None:
        """Suspect the target of a probe without an ack, and adjust the local health multiplier.

        A nack from a helper proves that this instance's own link works. A helper that sends nothing suggests
        that it doesn't, and increases the multiplier.
        """
        self._probe = None
        self._next_probe_at = max(self._next_probe_at, self._now)
        silent_helpers = max(probe.helper_count, 0) - len(probe.nacks)
        self._adjust_awareness(silent_helpers if probe.helper_count > 0 else 1)
        member = self.members.get(probe.target)
        if member is not None and member.is_live:
            self._count("missed")
            self._table.suspect(member, member.incarnation, self.id, self._now)

    def _on_datagram(self, event: DatagramReceived) -> None:
        try:
            message = self.codec.decode(event.data)
        except CodecError as error:
            self._count(f"malformed_{error.reason}")
            return
        self._count("received")
        for update in message.updates:
            if update.member == self.id:
                self._on_update_of_self(update)
            else:
                self._table.apply(update, self._now)
        match message.kind:
            case MessageKind.PING:
                self._on_ping(message, event.address)
            case MessageKind.PING_REQ:
                self._on_ping_request(message, event.address)
            case MessageKind.ACK:
                self._on_ack(message)
            case MessageKind.NACK:
                if self._probe is not None and self._probe.sequence == message.sequence:
                    self._probe.nacks.add(message.sender)
            case MessageKind.SYNC:
                self._send_table(event.address, MessageKind.SYNC_REPLY)
            case MessageKind.SYNC_REPLY:
                pass  # a reply contains only updates, which have been applied
            case _:
                self._actions.append(MessageReceived(message))

    def _on_ping(self, message: Message, address: Address) -> None:
        if message.subject != self.id:
            # The ping is meant for another process that had this address; an ack would make it look alive.
            self._count("misdirected")
            return
        if not self._is_leaving:
            self._send(MessageKind.ACK, message.sequence, address, self.id, receiver=message.sender)

    def _on_ping_request(self, message: Message, address: Address) -> None:
        target = self.members.get(message.subject)
        if target is None:
            return
        sequence = self._next_sequence()
        self._relays[sequence] = Relay(message.sequence, address)
        while len(self._relays) > MAX_RELAYS:  # relays without an ack are removed, the oldest first
            del self._relays[next(iter(self._relays))]
        self._send(MessageKind.PING, sequence, target.address, target.id)
        # The nack proves to the requester that its own link works; an ack follows if the target replies.
        self._send(MessageKind.NACK, message.sequence, address, message.subject)

    def _on_ack(self, message: Message) -> None:
        if self._probe is not None and message.sequence == self._probe.sequence:
            if message.subject == self._probe.target:
                self._probe = None
                self._adjust_awareness(-1)
            return
        relay = self._relays.pop(message.sequence, None)
        if relay is not None:
            self._send(MessageKind.ACK, relay.sequence, relay.address, message.subject)

    def _on_update_of_self(self, update: Update) -> None:
        """Refute a suspicion of this instance with a higher incarnation."""
        if update.status is MemberStatus.ALIVE or self._is_leaving or update.incarnation < self.incarnation:
            # If the wall clock went backwards before this start, a previous process of this instance may have
            # had a higher incarnation.
            if update.incarnation > self.incarnation:
                self.incarnation = update.incarnation + 1
                self._updates.add(self._self_update())
            return
        self.incarnation = update.incarnation + 1
        self._count("refuted")
        self._adjust_awareness(1)
        self._updates.add(self._self_update())
        # Some members are notified immediately: with high packet loss, a refutation that waits for the next
        # pings might arrive after the suspicion's end.
        for member in self._table.sample(
            self.settings.indirect_probes, lambda m: m.status is MemberStatus.ALIVE
        ):
            self._send(MessageKind.SYNC_REPLY, 0, member.address, 0)

    def _self_update(self) -> Update:
        return Update(MemberStatus.ALIVE, self.id, self.incarnation, 0, self.address, self.name)

    def _on_member_changed(self, member: Member) -> None:
        self._count(f"became_{member.status.name.lower()}")
        self._actions.append(MemberChanged(member.id, member.name, member.status, member.incarnation))

    def _next_updates(self, receiver: int) -> bytes:
        """Return the updates to piggyback: the receiver's own suspicion first, then the least often sent."""
        capacity = self.codec.update_capacity()
        parts: list[bytes] = []
        suspect = self.members.get(receiver)
        if suspect is not None and suspect.status is not MemberStatus.ALIVE:
            parts = [encode_update(Update(suspect.status, suspect.id, suspect.incarnation, self.id))]
            capacity -= len(parts[0])
        return b"".join(parts + self._updates.next_batch(capacity, len(self.members)))

    def _send(
        self, kind: MessageKind, sequence: int, address: Address, subject: int, receiver: int | None = None
    ) -> None:
        """Send a message with updates. `receiver` is the member at the address if it isn't the subject."""
        updates = self._next_updates(subject if receiver is None else receiver)
        message = Message(kind, self.id, sequence, subject)
        self._actions.append(SendDatagram(self.codec.encode(message, updates), address))

    def _next_sequence(self) -> int:
        return next(self._sequence) & SEQUENCE_MASK

    def _sync(self) -> None:
        """Sync tables with a live member, with a dead one so that partitions can heal, and with a seed."""
        self._table.remove_expired(self._now)
        is_alone = not any(m.status is MemberStatus.ALIVE for m in self.members.values())
        if is_alone:
            interval_ms = self.settings.probe_interval_ms * 2
        else:
            interval_ms = self.settings.sync_interval_ms * (0.75 + self.random.random() / 2)
        self._next_sync_at = self._now + interval_ms
        for address in sync_targets(self.members.values(), self.seeds, is_alone, self.random):
            self._send_table(address, MessageKind.SYNC)

    def _send_table(self, address: Address, kind: MessageKind) -> None:
        """Send this instance's row and a part of the table; only the first datagram may request a reply."""
        capacity, max_parts = self.codec.update_capacity(), self.settings.max_sync_datagrams
        for rows in self._table_sender.parts(self._self_update(), self.members, address, capacity, max_parts):
            message = Message(kind, self.id, self._next_sequence())
            self._actions.append(SendDatagram(self.codec.encode(message, rows), address))
            kind = MessageKind.SYNC_REPLY

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
