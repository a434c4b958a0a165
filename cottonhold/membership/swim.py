"""Who is there: SWIM with the Lifeguard additions, as a pure step function.

From "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol" (Das, Gupta,
Motivala) and "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (Dadgar, Phillips,
Currey).

Each period one member is pinged, in an order shuffled anew each round. One that doesn't answer is asked for
by way of others; then it is *suspect*, which it may refute by a higher incarnation; then it is *dead*. News
rides on pings and acks. The Lifeguard additions: an instance that misses answers doubts itself first (it
waits longer, probes less often); a suspicion begins long and shortens with each independent confirmation; a
suspect is told so in every ping.

Times are milliseconds on the caller's clock, of which only differences count.
"""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field

from cottonhold.discovery.model import Address
from cottonhold.membership.codec import (
    Codec,
    CodecError,
    Keys,
    Kind,
    Message,
    Status,
    Update,
    encode_update,
    member_id,
)

LEAST_UPDATE = 25  # bytes of the shortest update
MOST_TRIED = 16  # updates tried for a datagram among those sent as often: it holds nine at most


@dataclass(slots=True, frozen=True)
class SwimSettings:
    """Every time-out and its reason. Times in ms.

    period: one probe; with five members each is probed within a second. timeout: the direct ping's part of
    it, several round trips of one site. helpers: members asked for an indirect ping. suspicion_least: the
    shortest suspicion, in periods times log10 of the members: a refutation needs that long to spread.
    suspicion_spread: the longest is so many times that; without Lifeguard the shortest counts. confirmations:
    independent ones that bring it to the shortest.
    awareness_most: local health multiplier at its worst. retransmit: an update rides along so many times
    log10 of the members. exchange: full exchange of tables, also with those believed dead, so that halves
    meet again.
    forget: how long the dead are remembered; longer than any replay or late update lives. stall: a step later
    than this past its due time means that this instance stood still, and its own time-outs prove nothing.
    """

    period: float = 200.0
    timeout: float = 80.0
    helpers: int = 3
    suspicion_least: float = 3.0
    suspicion_spread: float = 4.0
    confirmations: int = 2
    awareness_most: int = 8
    retransmit: float = 4.0
    exchange: float = 5000.0
    exchange_datagrams: int = 8
    forget: float = 60_000.0
    stall: float = 100.0
    lifeguard: bool = True


@dataclass(slots=True, frozen=True)
class Datagram:
    """A datagram has come."""

    data: bytes
    address: Address


@dataclass(slots=True, frozen=True)
class Send:
    """Send a datagram."""

    data: bytes
    address: Address


@dataclass(slots=True, frozen=True)
class Changed:
    """A member's status has changed."""

    member: int
    name: str
    status: Status
    incarnation: int


@dataclass(slots=True, frozen=True)
class Heard:
    """A message that is not about membership has come."""

    message: Message


Action = Send | Changed | Heard


@dataclass(slots=True)
class Member:
    """What is believed of one other instance."""

    id: int
    name: str
    address: Address
    status: Status
    incarnation: int
    since: float
    suspicion: Suspicion | None = None


@dataclass(slots=True)
class Suspicion:
    """A suspicion that runs: who holds it, and when it ends."""

    began: float
    least: float
    most: float
    needed: int
    sources: set[int] = field(default_factory=set)

    def ends_at(self) -> float:
        """Long while one instance alone holds it; the shortest once enough others agree."""
        agree = max(len(self.sources) - 1, 0)
        if self.needed < 1 or agree >= self.needed:
            return self.began + self.least
        part = math.log(agree + 1) / math.log(self.needed + 1)
        return self.began + max(self.least, self.most - part * (self.most - self.least))


@dataclass(slots=True)
class Probe:
    """The probe that is out."""

    sequence: int
    target: int
    indirect_at: float
    ends_at: float
    asked: int = 0  # helpers that were asked
    nacks: set[int] = field(default_factory=set)


class Swim:
    """One instance's view. `step` with what came and the clock; it returns datagrams to send and changes."""

    def __init__(
        self,
        name: str,
        address: Address,
        settings: SwimSettings,
        seed: int,
        incarnation: int,
        keys: Keys | None = None,
        seeds: Sequence[Address] = (),
    ) -> None:
        self.settings, self.draw = settings, random.Random(seed)
        self.id, self.name, self.address = member_id(name), name, address
        self.incarnation = incarnation
        self.codec = Codec(self.id, self.draw.getrandbits(32), keys)
        self.seeds = [seed for seed in seeds if seed != address]
        self.members: dict[int, Member] = {}
        self.ring: list[int] = []  # whom to probe next, last first
        # News to spread, by how often it was sent: taking the least sent must not cost a look at all of it.
        self.news: list[dict[int, bytes]] = []
        self.sent: dict[int, int] = {}  # by member: which of them holds its news
        self.probe: Probe | None = None
        # By own sequence: the asker's sequence, and where the asker is.
        self.relays: dict[int, tuple[int, Address]] = {}
        self.sequence = itertools.count(self.draw.getrandbits(16))
        self.suspicions: list[tuple[float, int]] = []  # a heap of ends, checked again when due
        self.awareness = 0
        self.next_probe = self.next_exchange = self.due = -math.inf
        self.cursor = 0
        self.leaving = False
        self.counts: dict[str, int] = {}
        self.actions: list[Action] = []
        self.now = 0.0

    # --- the one entry point ---

    def step(self, now: float, events: Iterable[Datagram] = ()) -> list[Action]:
        """Take in what came by now; call again at `next_at` at the latest."""
        self.actions = []
        if self.next_probe == -math.inf:
            self.next_probe = now + self.settings.period * self.draw.random()
            self.next_exchange = now
        elif now - self.due > self.settings.stall:
            self._stood_still(now, now - self.due)
        self.now = now
        for event in events:
            self._receive(event)
        self._run_probe()
        self._run_suspicions()
        if now >= self.next_exchange and not self.leaving:
            self._exchange()
        self.due = self.next_at()
        return self.actions

    def next_at(self) -> float:
        """When the next step is due."""
        times = [math.inf if self.leaving else self.next_exchange]
        if self.probe is None:
            times.append(self.next_probe)
        else:
            times.append(self.probe.ends_at if self.probe.asked else self.probe.indirect_at)
        if self.suspicions:
            times.append(self.suspicions[0][0])
        return min(times)

    def leave(self, now: float) -> list[Action]:
        """Say good-bye, so that nobody has to find out."""
        self.actions, self.now, self.leaving = [], now, True
        self._spread(Update(Status.LEFT, self.id, self.incarnation, self.id))
        for member in self._pick(self.settings.helpers * 2, lambda m: m.status is not Status.DEAD):
            self._send(Kind.ACK, 0, member.address, 0)
        return self.actions

    def view(self) -> list[Member]:
        """All members but this one, by name."""
        return sorted(self.members.values(), key=lambda m: m.name)

    def live(self) -> list[int]:
        """This instance and all that are alive or only suspect, by id."""
        there = [m.id for m in self.members.values() if m.status in (Status.ALIVE, Status.SUSPECT)]
        return sorted([self.id, *there])

    # --- local health ---

    def _stood_still(self, now: float, late: float) -> None:
        """This instance did not run for a while: what it did not hear meanwhile is its own fault.

        Danger: a process stopped for 5 s and continued finds all its time-outs over and its answers still
        unread. It called everyone dead. So its clocks are moved by the time that it missed.
        """
        self._count("stalls")
        self._doubt_self(1)
        if self.probe is not None:
            self.probe.indirect_at += late
            self.probe.ends_at += late
        for member in self.members.values():
            if member.suspicion is not None:
                member.suspicion.began += late
                heapq.heappush(self.suspicions, (member.suspicion.ends_at(), member.id))
        self.next_probe = max(self.next_probe, now)

    def _doubt_self(self, by: int) -> None:
        if self.settings.lifeguard:
            self.awareness = min(max(self.awareness + by, 0), self.settings.awareness_most)

    def _scale(self) -> float:
        return 1.0 + self.awareness

    # --- probing ---

    def _run_probe(self) -> None:
        probe = self.probe
        if probe is not None:
            if self.now >= probe.ends_at:
                self._missed(probe)
            elif self.now >= probe.indirect_at and not probe.asked:
                self._ask_others(probe)
        if self.now >= self.next_probe and self.probe is None:
            self._next_probe()

    def _next_probe(self) -> None:
        s = self.settings
        target = self._next_target()
        self.next_probe = self.now + s.period * self._scale()
        if target is None:
            return
        sequence = next(self.sequence) & 0xFFFFFFFF
        timeout = s.timeout * self._scale()
        ends_at = max(self.next_probe, self.now + 2 * timeout)
        self.probe = Probe(sequence, target.id, self.now + timeout, ends_at)
        self._send(Kind.PING, sequence, target.address, target.id)

    def _next_target(self) -> Member | None:
        """The next of the shuffled round: each is probed once a round, so detection has a bound."""
        for _ in range(2):
            while self.ring:
                member = self.members.get(self.ring.pop())
                if member is not None and member.status in (Status.ALIVE, Status.SUSPECT):
                    return member
            self.ring = sorted(self.members)
            self.draw.shuffle(self.ring)
        return None

    def _ask_others(self, probe: Probe) -> None:
        helpers = self._pick(
            self.settings.helpers, lambda m: m.status is Status.ALIVE and m.id != probe.target
        )
        probe.asked = len(helpers) or -1
        for helper in helpers:
            self._send(Kind.PING_REQ, probe.sequence, helper.address, probe.target)
        target = self.members.get(probe.target)
        if target is not None:  # what was lost once is seldom lost twice
            self._send(Kind.PING, probe.sequence, target.address, target.id)

    def _missed(self, probe: Probe) -> None:
        """No answer, direct or indirect: the target is suspect, and this instance doubts itself a little.

        A helper that says 'nor did I' (a nack) shows that this instance's own link works; one that says
        nothing at all shows the contrary, and weighs against this instance.
        """
        self.probe = None
        self.next_probe = max(self.next_probe, self.now)
        silent = max(probe.asked, 0) - len(probe.nacks)
        self._doubt_self(silent if probe.asked > 0 else 1)
        member = self.members.get(probe.target)
        if member is not None and member.status in (Status.ALIVE, Status.SUSPECT):
            self._count("missed")
            self._suspect(member, member.incarnation, self.id)

    # --- what comes ---

    def _receive(self, event: Datagram) -> None:
        try:
            message = self.codec.decode(event.data)
        except CodecError as error:
            self._count(f"malformed_{error.reason}")
            return
        self._count("received")
        for update in message.updates:
            self._apply(update)
        match message.kind:
            case Kind.PING:
                self._pinged(message, event.address)
            case Kind.PING_REQ:
                self._relay(message, event.address)
            case Kind.ACK:
                self._acked(message)
            case Kind.NACK:
                if self.probe is not None and self.probe.sequence == message.sequence:
                    self.probe.nacks.add(message.sender)
            case Kind.SYNC:
                self._send_table(event.address, Kind.SYNC_REPLY)
            case Kind.SYNC_REPLY:
                pass  # all that it says is in its updates
            case _:
                self.actions.append(Heard(message))

    def _pinged(self, message: Message, address: Address) -> None:
        if message.subject != self.id:
            self._count("misdirected")  # another process had this address; an ack would keep it alive
            return
        if not self.leaving:
            self._send(Kind.ACK, message.sequence, address, self.id, towards=message.sender)

    def _relay(self, message: Message, address: Address) -> None:
        target = self.members.get(message.subject)
        if target is None:
            return
        sequence = next(self.sequence) & 0xFFFFFFFF
        self.relays[sequence] = (message.sequence, address)
        while len(self.relays) > 64:  # one that never is answered goes when newer ones come
            del self.relays[next(iter(self.relays))]
        self._send(Kind.PING, sequence, target.address, target.id)
        # The asker learns at once that its own way here works; an ack follows if the target answers.
        self._send(Kind.NACK, message.sequence, address, message.subject)

    def _acked(self, message: Message) -> None:
        if self.probe is not None and message.sequence == self.probe.sequence:
            if message.subject == self.probe.target:
                self.probe = None
                self._doubt_self(-1)
            return
        relay = self.relays.pop(message.sequence, None)
        if relay is not None:
            sequence, address = relay
            self._send(Kind.ACK, sequence, address, message.subject)

    def say(self, kind: Kind, sequence: int, subject: int, member: int) -> Send | None:
        """A message of the parts above to a member; None where its address isn't known."""
        there = self.members.get(member)
        if there is None:
            return None
        updates = self._take_updates(self.codec.room(), member)
        return Send(self.codec.encode(Message(kind, self.id, sequence, subject), updates), there.address)

    def say_payload(self, payload: bytes, member: int) -> Send | None:
        """Bytes of fleet/ to a member; None where its address isn't known or they are too long."""
        there = self.members.get(member)
        if there is None or len(payload) > self.codec.room():
            return None
        return Send(self.codec.encode(Message(Kind.FLEET, self.id, 0), payload), there.address)

    # --- updates ---

    def _apply(self, update: Update) -> None:
        if update.member == self.id:
            self._refute(update)
            return
        member = self.members.get(update.member)
        if update.status is Status.ALIVE:
            self._alive(member, update)
        elif member is None:
            return  # never met: nothing to suspect, and its address isn't known
        elif update.status is Status.SUSPECT:
            if update.incarnation >= member.incarnation and member.status in (Status.ALIVE, Status.SUSPECT):
                self._suspect(member, update.incarnation, update.source)
        elif update.incarnation >= member.incarnation and member.status not in (Status.DEAD, Status.LEFT):
            self._end(member, update.status, update.incarnation, update.source)

    def _refute(self, update: Update) -> None:
        """Someone says this instance is in trouble: a higher incarnation says that it isn't."""
        if update.status is Status.ALIVE or self.leaving or update.incarnation < self.incarnation:
            # Danger: a clock that went back gave this life a lower incarnation than the last one had.
            if update.incarnation > self.incarnation:
                self.incarnation = update.incarnation + 1
                self._spread(self._self_update())
            return
        self.incarnation = update.incarnation + 1
        self._count("refuted")
        self._doubt_self(1)
        self._spread(self._self_update())
        # Danger: left to ride on the next ping alone, a refutation came after the suspicion's end where much
        # is lost. So some members are told at once.
        for member in self._pick(self.settings.helpers, lambda m: m.status is Status.ALIVE):
            self._send(Kind.SYNC_REPLY, 0, member.address, 0)

    def _self_update(self) -> Update:
        return Update(Status.ALIVE, self.id, self.incarnation, 0, self.address, self.name)

    def _alive(self, member: Member | None, update: Update) -> None:
        assert update.address is not None
        if member is None:
            member = Member(
                update.member, update.name, update.address, Status.ALIVE, update.incarnation, self.now
            )
            self.members[member.id] = member
            self.ring.insert(self.draw.randrange(len(self.ring) + 1), member.id)
        elif update.incarnation > member.incarnation:
            was = member.status
            member.name, member.address = update.name, update.address
            member.incarnation, member.suspicion, member.status = update.incarnation, None, Status.ALIVE
            if was is Status.ALIVE:
                self._spread(update)
                return
            member.since = self.now
        else:
            return
        self._spread(update)
        self._changed(member)

    def _suspect(self, member: Member, incarnation: int, source: int) -> None:
        if member.suspicion is not None and member.incarnation == incarnation:
            known = len(member.suspicion.sources)
            member.suspicion.sources.add(source)
            # The first independent confirmations are passed on, so that others can shorten theirs as well.
            if known < len(member.suspicion.sources) <= self.settings.confirmations + 1:
                self._spread(Update(Status.SUSPECT, member.id, incarnation, source))
                heapq.heappush(self.suspicions, (member.suspicion.ends_at(), member.id))
            return
        s = self.settings
        least = s.suspicion_least * s.period * max(1.0, math.log10(len(self.live()) + 1))
        most = least * s.suspicion_spread if s.lifeguard else least
        needed = min(s.confirmations, len(self.live()) - 2) if s.lifeguard else 0
        member.suspicion = Suspicion(self.now, least, most, needed, {source})
        member.incarnation, member.status, member.since = incarnation, Status.SUSPECT, self.now
        heapq.heappush(self.suspicions, (member.suspicion.ends_at(), member.id))
        self._spread(Update(Status.SUSPECT, member.id, incarnation, source))
        self._changed(member)

    def _run_suspicions(self) -> None:
        while self.suspicions and self.suspicions[0][0] <= self.now:
            _, id = heapq.heappop(self.suspicions)
            member = self.members.get(id)
            if member is None or member.suspicion is None:
                continue
            ends = member.suspicion.ends_at()
            if ends <= self.now:
                self._end(member, Status.DEAD, member.incarnation, self.id)
            elif not any(end == ends and which == id for end, which in self.suspicions):
                heapq.heappush(self.suspicions, (ends, id))

    def _end(self, member: Member, status: Status, incarnation: int, source: int) -> None:
        member.status, member.incarnation, member.suspicion = status, incarnation, None
        member.since = self.now
        self._spread(Update(status, member.id, incarnation, source))
        self._changed(member)

    def _changed(self, member: Member) -> None:
        self._count(f"became_{member.status.name.lower()}")
        self.actions.append(Changed(member.id, member.name, member.status, member.incarnation))

    # --- spreading ---

    def _spread(self, update: Update) -> None:
        """News of a member takes the place of older news of it."""
        old = self.sent.get(update.member)
        if old is not None:
            del self.news[old][update.member]
        self._file(update.member, encode_update(update), 0)

    def _file(self, member: int, data: bytes, times: int) -> None:
        while len(self.news) <= times:
            self.news.append({})
        self.news[times][member] = data
        self.sent[member] = times

    def _take_updates(self, room: int, towards: int) -> bytes:
        """What rides along: a suspect's own suspicion first, then what was sent least often."""
        most = math.ceil(self.settings.retransmit * math.log10(len(self.members) + 2))
        parts: list[bytes] = []
        suspect = self.members.get(towards)
        if suspect is not None and suspect.status is not Status.ALIVE:
            data = encode_update(Update(suspect.status, suspect.id, suspect.incarnation, self.id))
            parts, room = [data], room - len(data)
        taken: list[tuple[int, bytes, int]] = []
        for times, news in enumerate(self.news):
            for id, data in itertools.islice(news.items(), MOST_TRIED):
                if len(data) <= room:
                    taken.append((id, data, times))
                    room -= len(data)
            if room < LEAST_UPDATE:
                break
        for id, data, times in taken:
            del self.news[times][id], self.sent[id]
            if times + 1 < most:
                self._file(id, data, times + 1)
        return b"".join([*parts, *(data for _, data, _ in taken)])

    def _send(
        self, kind: Kind, sequence: int, address: Address, subject: int, towards: int | None = None
    ) -> None:
        updates = self._take_updates(self.codec.room(), subject if towards is None else towards)
        message = Message(kind, self.id, sequence, subject)
        self.actions.append(Send(self.codec.encode(message, updates), address))

    def _pick(self, count: int, fits: Callable[[Member], bool]) -> list[Member]:
        chosen = [m for m in self.members.values() if fits(m)]
        return self.draw.sample(chosen, min(count, len(chosen)))

    # --- full exchange ---

    def _exchange(self) -> None:
        """Exchange tables with one member or seed, at times with one believed dead: halves meet again so."""
        self._forget()
        s = self.settings
        alone = not any(m.status is Status.ALIVE for m in self.members.values())
        gap = s.period * 2 if alone else s.exchange * (0.75 + self.draw.random() / 2)
        self.next_exchange = self.now + gap
        lost = [m.address for m in self.members.values() if m.status is Status.DEAD]
        known = {m.address for m in self.members.values()}
        unmet = [address for address in self.seeds if address not in known]
        there = [m.address for m in self.members.values() if m.status in (Status.ALIVE, Status.SUSPECT)]
        targets = [self.draw.choice(group) for group in (there, lost) if group]
        targets += unmet if alone else unmet[:1]
        for address in targets:
            self._send_table(address, Kind.SYNC)

    def _send_table(self, address: Address, kind: Kind) -> None:
        """This instance and a part of the table, going round, so that a large one comes across by and by."""
        datagrams, part, room, used = 0, list[bytes](), self.codec.room(), 0
        for row in self._table(address):
            if used + len(row) > room:
                self._send_part(address, kind, part)
                datagrams, part, used = datagrams + 1, [], 0
                kind = Kind.SYNC_REPLY  # one of several asks for an answer
                if datagrams >= self.settings.exchange_datagrams:
                    break
            part.append(row)
            used += len(row)
            self.cursor += 1
        if part:
            self._send_part(address, kind, part)

    def _table(self, address: Address) -> Iterator[bytes]:
        """Rows for a receiver, made as they are sent: most of a large table waits for the next exchange."""
        yield encode_update(self._self_update())
        # The receiver's own row comes first: if it is believed dead here, it learns so and can refute.
        for member in [m for m in self.members.values() if m.address == address][:2]:
            yield encode_update(self._row(member))
        others, begin = sorted(self.members), self.cursor
        for i in range(len(others)):
            yield encode_update(self._row(self.members[others[(begin + i) % len(others)]]))

    def _send_part(self, address: Address, kind: Kind, part: list[bytes]) -> None:
        message = Message(kind, self.id, next(self.sequence) & 0xFFFFFFFF)
        self.actions.append(Send(self.codec.encode(message, b"".join(part)), address))

    def _row(self, member: Member) -> Update:
        if member.status is Status.ALIVE:
            return Update(Status.ALIVE, member.id, member.incarnation, 0, member.address, member.name)
        # Danger: passed on as 'dead', one side's error would kill the other half at the moment of meeting.
        # As a suspicion it can be refuted.
        status = Status.LEFT if member.status is Status.LEFT else Status.SUSPECT
        return Update(status, member.id, member.incarnation, self.id)

    def _forget(self) -> None:
        """Ended members are remembered for a while, those at seed addresses for good."""
        late = self.now - self.settings.forget
        for member in list(self.members.values()):
            if member.status in (Status.DEAD, Status.LEFT) and member.since < late:
                del self.members[member.id]

    def _count(self, name: str) -> None:
        self.counts[name] = self.counts.get(name, 0) + 1
