"""Which other instances are live: SWIM with the Lifeguard additions, as a pure step function.

From "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (Das, Gupta,
Motivala) and "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (Dadgar, Phillips,
Currey).

In each probe interval one member is pinged, in an order shuffled anew each round. One that doesn't ack is
pinged through others; then it is *suspect*, which it may refute by a higher incarnation; then it is *dead*.
Updates are piggybacked on pings and acks. The Lifeguard additions: an instance that misses acks suspects
itself first (it waits longer and probes less often); a suspicion begins long and shortens with each
independent confirmation; a suspect is notified of it in every ping.

Times are milliseconds on the caller's clock, of which only differences count.
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
MAX_RELAYS = 64  # indirect pings that are waited for at once
NO_HELPERS = -1  # in place of the number of helpers, where an indirect ping found none


@dataclass(slots=True)
class Probe:
    """The probe in progress. helper_count: 0 before its indirect part."""

    sequence: int
    target: int
    indirect_at: float
    ends_at: float
    helper_count: int = 0
    nacks: set[int] = field(default_factory=set)


@dataclass(slots=True, frozen=True)
class Relay:
    """An indirect ping for another instance: its sequence there, and where the answer goes."""

    sequence: int
    address: Address


class Swim:
    """One instance's view: `step` takes received datagrams and the time, and returns actions."""

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
        self._relays: dict[int, Relay] = {}  # by own sequence
        self._sequence = itertools.count(self.random.getrandbits(16))
        self.awareness = 0  # Lifeguard's local health multiplier; 0 is healthy
        self._next_probe_at = self._next_sync_at = self._next_step_at = -math.inf
        self._table_sender = TableSender(self.id)
        self._is_leaving = False
        self.counts: dict[str, int] = {}
        self._actions: list[Action] = []
        self._now = 0.0

    def step(self, now: float, events: Iterable[DatagramReceived] = ()) -> list[Action]:
        """Process received datagrams and due timers; call again at `next_at` at the latest."""
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
        """When the next step is due."""
        times = [math.inf if self._is_leaving else self._next_sync_at, self._table.next_suspicion_at()]
        probe = self._probe
        if probe is None:
            times.append(self._next_probe_at)
        else:
            times.append(probe.ends_at if probe.helper_count else probe.indirect_at)
        return min(times)

    def leave(self, now: float) -> list[Action]:
        """Announce the end of this instance, so that nobody has to detect it."""
        self._actions, self._now, self._is_leaving = [], now, True
        self._updates.add(Update(MemberStatus.LEFT, self.id, self.incarnation, self.id))
        count = self.settings.indirect_probes * 2
        for member in self._table.sample(count, lambda m: m.status is not MemberStatus.DEAD):
            self._send(MessageKind.ACK, 0, member.address, 0)
        return self._actions

    def members_by_name(self) -> list[Member]:
        """All members but this one, by name."""
        return sorted(self.members.values(), key=lambda m: m.name)

    def live_members(self) -> list[int]:
        """The ids of this instance and of all that are alive or only suspected."""
        return self._table.live_ids()

    def message_to(self, kind: MessageKind, sequence: int, subject: int, member: int) -> SendDatagram | None:
        """A message of the layers above to a member; None if its address isn't known."""
        receiver = self.members.get(member)
        if receiver is None:
            return None
        updates = self._next_updates(member)
        data = self.codec.encode(Message(kind, self.id, sequence, subject), updates)
        return SendDatagram(data, receiver.address)

    def payload_to(self, payload: bytes, member: int) -> SendDatagram | None:
        """A payload of fleet/ to a member; None if its address isn't known or the payload is too long."""
        receiver = self.members.get(member)
        if receiver is None or len(payload) > self.codec.update_capacity():
            return None
        data = self.codec.encode(Message(MessageKind.FLEET, self.id, 0), payload)
        return SendDatagram(data, receiver.address)

    def _on_stall(self, now: float, late_ms: float) -> None:
        """This instance did not run for a while, so what it didn't receive meanwhile proves nothing.

        A process that was stopped and continued finds all its time-outs over and its answers still unread.
        Its clocks are moved by the time that it missed, so that it doesn't declare everyone dead."""
        self._count("stalls")
        self._adjust_awareness(1)
        if self._probe is not None:
            self._probe.indirect_at += late_ms
            self._probe.ends_at += late_ms
        self._table.postpone_suspicions(late_ms)
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
        if target is not None:  # a datagram that was lost once is seldom lost twice
            self._send(MessageKind.PING, probe.sequence, target.address, target.id)

    def _on_probe_missed(self, probe: Probe) -> None:
        """No answer, direct or indirect: the target is suspect, and this instance suspects itself a little.

        A helper that sends a nack shows that this instance's own link works; one that sends nothing at all
        shows the contrary, and weighs against this instance."""
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
                pass  # its updates are all it has
            case _:
                self._actions.append(MessageReceived(message))

    def _on_ping(self, message: Message, address: Address) -> None:
        if message.subject != self.id:
            self._count("misdirected")  # another process had this address; an ack would keep it alive
            return
        if not self._is_leaving:
            self._send(MessageKind.ACK, message.sequence, address, self.id, receiver=message.sender)

    def _on_ping_request(self, message: Message, address: Address) -> None:
        target = self.members.get(message.subject)
        if target is None:
            return
        sequence = self._next_sequence()
        self._relays[sequence] = Relay(message.sequence, address)
        while len(self._relays) > MAX_RELAYS:  # one that is never answered goes when newer ones come
            del self._relays[next(iter(self._relays))]
        self._send(MessageKind.PING, sequence, target.address, target.id)
        # The requester learns at once that its own link works; an ack follows if the target answers.
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
        """Another instance suspects this one: refute it by a higher incarnation."""
        if update.status is MemberStatus.ALIVE or self._is_leaving or update.incarnation < self.incarnation:
            # After a wall clock went back, this start may have a lower incarnation than the last one had.
            if update.incarnation > self.incarnation:
                self.incarnation = update.incarnation + 1
                self._updates.add(self._self_update())
            return
        self.incarnation = update.incarnation + 1
        self._count("refuted")
        self._adjust_awareness(1)
        self._updates.add(self._self_update())
        # Some members are notified at once: with much loss, a refutation that waits for the next ping would
        # arrive after the suspicion's end.
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
        """Updates to piggyback: a suspect's own suspicion first, then those that were sent least often."""
        capacity = self.codec.update_capacity()
        parts: list[bytes] = []
        suspect = self.members.get(receiver)
        if suspect is not None and suspect.status is not MemberStatus.ALIVE:
            parts = [encode_update(Update(suspect.status, suspect.id, suspect.incarnation, self.id))]
            capacity -= len(parts[0])
        return b"".join(parts + self._updates.take(capacity, len(self.members)))

    def _send(
        self, kind: MessageKind, sequence: int, address: Address, subject: int, receiver: int | None = None
    ) -> None:
        """Send a message with updates. receiver: the member at the address, where it isn't the subject."""
        updates = self._next_updates(subject if receiver is None else receiver)
        message = Message(kind, self.id, sequence, subject)
        self._actions.append(SendDatagram(self.codec.encode(message, updates), address))

    def _next_sequence(self) -> int:
        return next(self._sequence) & SEQUENCE_MASK

    def _sync(self) -> None:
        """Exchange tables with one member or seed, and with one believed dead, so that halves meet again."""
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
        """This instance and a part of the table; only the first of several datagrams asks for a reply."""
        capacity, max_parts = self.codec.update_capacity(), self.settings.max_sync_datagrams
        for rows in self._table_sender.parts(self._self_update(), self.members, address, capacity, max_parts):
            message = Message(kind, self.id, self._next_sequence())
            self._actions.append(SendDatagram(self.codec.encode(message, rows), address))
            kind = MessageKind.SYNC_REPLY

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
