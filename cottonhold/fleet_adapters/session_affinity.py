"""The rim of pins: their records, messages and timer; requests that are handed on. Decides nothing.

Off unless the installation's file says `fleet: {pins: true}`.
"""

from __future__ import annotations

import secrets
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from cottonhold.backend.resp import Rows
from cottonhold.config.installation import Installation
from cottonhold.fleet.consensus.actions import ChangeRegister, PersistState, ReadRegister, SendMessage
from cottonhold.fleet.coordinator import Fleet
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.recovery.membership_survey import Census
from cottonhold.fleet.recovery.messages import MemoryState
from cottonhold.fleet.request_forwarding import forwarder
from cottonhold.fleet.request_forwarding.forwarder import End, HandOn, HandSettings
from cottonhold.fleet.request_forwarding.messages import U32
from cottonhold.fleet.request_forwarding.request_codec import Handed, pack_request, pack_rows, read_request
from cottonhold.fleet.rolling_replacement.plan import Record as Swapped
from cottonhold.fleet.rolling_replacement.plan import Step, ident
from cottonhold.fleet.session_affinity import membership_table, messages
from cottonhold.fleet.session_affinity.ownership import OwnedElsewhere, OwnedHere, RetryAfter
from cottonhold.fleet.session_affinity.record_book import HANDOVER_STEPS_MS
from cottonhold.fleet.session_affinity.service import (
    Action,
    DepartureState,
    SessionAffinityService,
    Surroundings,
)
from cottonhold.fleet_adapters.keyed_loads import WAITS_MS, Pinned
from cottonhold.fleet_adapters.recovery import life_of
from cottonhold.fleet_adapters.rolling_replacement import SwapRim
from cottonhold.membership.swim import Swim
from cottonhold.node.clock import Clock, Timer
from cottonhold.node.gateway import DuplicateRef, Gateway, LoadGuard, Request, Taken
from cottonhold.observe.counters import Counters
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import Record, RecordKind

LEAST_MS, MOST_MS = 2.0, 20.0  # between two steps
HANDED_ON = 79  # first byte of words of requests that are handed on
AGAIN_MS = 500.0  # a record that the disk did not take is put again so often
ON_WAY = (Step.MOVING, Step.DRAINING, Step.OUT)
GOING = {
    Step.MOVING: DepartureState.MOVING_KEYS,
    Step.DRAINING: DepartureState.DRAINING,
    Step.OUT: DepartureState.OUT,
}


class HandedClient:
    """The way back to the dispatcher that handed a request on."""

    def __init__(self, rim: PinsRim, origin: int, number: int, ref: str) -> None:
        self.rim, self.origin, self.number, self.ref = rim, origin, number, ref

    def served(self, rows: Rows) -> None:
        """The whole result."""
        self.rim.answered(self, End.SERVED, 0.0, pack_rows(rows))

    def refused(self, retry_after: float) -> None:
        """Turned away, or this isn't the key's owner: nothing ran."""
        owner = self.rim.guard.moved.get(self.ref)
        if owner is None:
            self.rim.answered(self, End.REFUSED, retry_after, b"")
        else:
            self.rim.answered(self, End.MOVED, 0.0, owner.to_bytes(8, "big") if owner else b"")

    def failed(self, why: str) -> None:
        """It may have run."""
        self.rim.answered(self, End.FAILED, 0.0, b"")


class PinsRim:
    """Feeds the pins of one instance, and carries out what they say."""

    def __init__(
        self,
        installation: Installation,
        ledger: Ledger,
        swim: Swim,
        fleet: Fleet,
        census: Census,
        swap: SwapRim,
        loads: LoadGuard,
        gateway: Gateway,
        clock: Clock,
        hop: Callable[[Callable[[], None]], object],
        say: Callable[[int, bytes], None],
        counters: Counters,
        note: Callable[..., None],
    ) -> None:
        now = clock.now()
        self.ledger, self.swim, self.fleet, self.census, self.swap = ledger, swim, fleet, census, swap
        self.gateway, self.clock, self.hop, self.say = gateway, clock, hop, say
        self.counters, self.note, self.name = counters, note, installation.file.name
        self.homes = installation.file.peers.zones if installation.file.peers is not None else ()
        kept = {key.decode(): value for key, value in ledger.records(RecordKind.AFFINITY).items()}
        self.service = SessionAffinityService(swim.id, swap.voters, now, secrets.randbits(30), kept)
        self.me, self.back = swim.id, self.service.settings.retry_after_ms
        life = life_of(ledger) & U32 or 1
        self.handing = HandOn(swim.id, life, HandSettings(), secrets.randbits(30))
        self.guard = Pinned(loads, self, gateway, clock, counters)
        self.guests: dict[tuple[int, int], tuple[Request, HandedClient]] = {}
        self.puts: dict[str, int] = {}  # by name: the token of its last record
        self.unkept: dict[str, tuple[bytes, int]] = {}  # what the disk did not take
        self.again_at = 0.0
        self.timer: Timer | None = None
        self.due = 0.0  # when the timer fires
        swap.pins = self

    def start(self) -> None:
        """Begin; from now on it steps by its own timer."""
        self._step()

    def close(self) -> None:
        """The end of this life."""
        self.note("pins_end", **self.service.counts, waits=self._waits(), ownerless=self._ownerless())
        if self.timer is not None:
            self.timer.cancel()

    def told(self, member: int, payload: bytes) -> bool:
        """Whether bytes from another instance are of pins, or of a request that is handed on."""
        if not payload or not messages.MIGRATION <= payload[0] <= HANDED_ON:
            return False
        now = self.clock.now()
        if payload[0] == HANDED_ON:
            self._hands(self.handing.on_message(now, member, payload))
        else:
            self._carry_out(self.service.on_message(now, member, payload))
        self._arm(LEAST_MS)
        return True

    # --- what the guard asks ---

    def take(self, key: bytes) -> OwnedHere | OwnedElsewhere | RetryAfter:
        """Where a load of the key belongs."""
        return self.service.route(self.clock.now(), key)

    def owns(self, key: bytes) -> bool:
        """Whether a load of the key may start here at this moment."""
        return self.service.ownership_of(self.clock.now(), key) is not None

    def inside(self, member: int) -> bool:
        """Whether a member may own anything, as far as is known here."""
        pins = self.service.ownership
        return pins is not None and member in pins.lease.members

    def lost(self, key: bytes) -> bool:
        """Whether what waits here for the key won't start here any more."""
        return self.service.is_lost(self.clock.now(), key)

    def opened(self, key: bytes, load: int) -> None:
        """A load waits in line or runs here."""
        self._carry_out(self.service.on_request_opened(self.clock.now(), key, load))

    def ended(self, key: bytes, load: int, known: bool) -> None:
        """It has ended."""
        self._carry_out(self.service.on_request_ended(self.clock.now(), key, load, known))
        self._arm(LEAST_MS)

    def hand(self, taken: Taken, owner: int, key: bytes, until: float, number: int) -> None:
        """Hand a request on."""
        self.counters.add("pins_handed_on")
        words = (taken.ref, taken.service, taken.key or "", taken.effort, taken.room, taken.tables)
        tenants = self.gateway.settings.tenants
        tenant = tenants[taken.tenant].name if taken.tenant < len(tenants) else ""
        body = pack_request(Handed(*words, taken.retry, taken.body, number, tenant, taken.token or ""))
        now = self.clock.now()
        actions = self.handing.hand(now, taken.ref, owner, body, until, line=key)
        # An end that comes at once comes to the guard once it knows that the request is on its way.
        self.clock.call_soon(lambda: self._hands(actions))

    def left(self, ref: str) -> None:
        """Nobody waits any more for one that was handed on."""
        self._hands(self.handing.gone(self.clock.now(), ref))

    # --- requests that others hand on to here ---

    def _taken(self, action: forwarder.Take) -> None:
        now, place = self.clock.now(), (action.origin, action.number)
        try:
            asked = read_request(action.body)
        except MessageError:
            self.counters.add("pins_malformed")
            self._hands(self.handing.answered(now, *place, End.REFUSED))
            return
        kind = self.gateway.kinds.get(asked.service)
        ref = asked.ref if asked.ref not in self.gateway.requests else f"{asked.ref}.{action.number:x}"
        if kind is None or ref in self.gateway.requests:
            self._hands(self.handing.answered(now, *place, End.REFUSED, self.back))
            return
        self.counters.add("pins_handed_here")
        work = asked.effort, asked.room, asked.tables
        words = asked.key, asked.retry, asked.body
        named = self.gateway.tenants.get(asked.tenant, 0), asked.token or None
        taken = Taken(ref, kind, asked.service, now, action.left_ms, *work, *words, *named)
        client = HandedClient(self, action.origin, action.number, ref)
        self.guard.remote[ref] = action.origin, asked.round
        try:
            request = self.gateway.take(taken, client)
        except DuplicateRef:
            self._hands(self.handing.answered(now, *place, End.REFUSED, self.back))
            return
        self.guests[place] = request, client

    def answered(self, client: HandedClient, end: End, ms: float, data: bytes) -> None:
        """One that was handed on to here has ended."""
        place = client.origin, client.number
        self.guests.pop(place, None)
        self.guard.remote.pop(client.ref, None)
        self.guard.moved.pop(client.ref, None)
        self._hands(self.handing.answered(self.clock.now(), *place, end, ms, data))
        self._arm(LEAST_MS)

    def _gone(self, origin: int, number: int) -> None:
        """Nobody waits for it any more."""
        found = self.guests.pop((origin, number), None)
        if found is not None:
            self.guard.remote.pop(found[1].ref, None)
            self.gateway.client_gone(found[0])

    def _hands(self, actions: Iterable[forwarder.Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(member, data):
                    self.say(member, data)
                case forwarder.Take():
                    self._taken(action)
                case forwarder.Gone(origin, number):
                    self._gone(origin, number)
                case forwarder.Ended():
                    self.guard.handed(action)
        self._arm(LEAST_MS)

    # --- the swap ---

    def outcome(self, token: int, won: bool | None, version: int, value: bytes) -> None:
        """A change or read of a register has ended."""
        self.service.on_outcome(self.clock.now(), token, won, version, value)
        self._arm(LEAST_MS)

    def changed(self, name: str, version: int, value: bytes) -> None:
        """A register has changed."""
        if name == membership_table.TABLE_REGISTER:
            self.service.on_register_changed(self.clock.now(), name, version, value)
            self._arm(LEAST_MS)

    def left_here(self) -> int:
        """What still has to go before this machine may be taken out."""
        # Danger: counted by what this part had seen of the swap at its own last step, a machine that drains
        # seemed to be moving still, with nothing left but its place in the table.
        return self.service.remaining_count(
            self.clock.now(), self._going(self.swap.swap.scene.chain.get(self.name))
        )

    def left_there(self) -> dict[str, int | None]:
        """The same of all others on their way out: nothing is left of one that is not in the table, and of
        the rest that is not known here."""
        inside, known = self.service.table.member_list.members, self.service.table.is_known
        others = {n for n, r in self.swap.swap.scene.chain.items() if r.step in ON_WAY} - {self.name}
        return {name: 0 if known and ident(name) not in inside else None for name in others}

    def move(self, most: int) -> None:
        """At most so many pins go to others."""
        self.counters.add("pins_asked_to_move")
        self._carry_out(self.service.move_keys(self.clock.now(), most, self._room()))
        self._arm(LEAST_MS)

    def _room(self) -> dict[int, float]:
        """Of those that may take pins: by what the outlook says is left in their zones, else even."""
        chain = self.swap.swap.scene.chain
        going = {ident(name) for name, record in chain.items() if record.step in ON_WAY}
        there = [m for m in self.swim.live_members() if m != self.swim.id and m not in going]
        outlook = self.fleet.outlook
        # Danger: asked for the loss of no zone, which is never projected, the outlook had no say in this.
        left = outlook.plan.room if outlook is not None and outlook.plan is not None else {}
        zones = {member: self._zone(member) for member in there}
        count = Counter(zones.values())
        found = {member: left.get(zone, 0.0) / count[zone] for member, zone in zones.items()}
        return found if any(value > 0 for value in found.values()) else dict.fromkeys(there, 1.0)

    def _zone(self, member: int) -> str:
        number = self.census.number_of(member)
        return self.homes[number] if number is not None and number < len(self.homes) else ""

    # --- steps ---

    def _step(self) -> None:
        self.timer = None
        now, before = self.clock.now(), self.service.surroundings.departure
        around = self._around()
        if around.departure is DepartureState.STAYING and before in (
            DepartureState.MOVING_KEYS,
            DepartureState.DRAINING,
        ):
            self._carry_out(self.service.cancel_moves(now))
        began = self.service.start_count
        self._carry_out(self.service.step(now, around))
        if self.service.start_count != began:
            self.note(
                "pins",
                began=self.service.start_count,
                whole=str(around.folder_is_current),
                epoch=self._epoch(),
            )
        self._hands(self.handing.step(now))
        self._put_again(now)
        self.guard.step()
        self._arm(min(self.service.next_at(now), self.handing.next_at()) - now)

    def _around(self) -> Surroundings:
        chain = self.swap.swap.scene.chain
        out = frozenset(ident(name) for name, record in chain.items() if record.step is Step.OUT)
        return Surroundings(
            self._whole(), self._going(chain.get(self.name)), frozenset(self.swim.live_members()), out
        )

    def _whole(self) -> bool | None:
        """Whether the folder is the one this number last had, as far as others bear it out."""
        if self.census.memory is not MemoryState.KEPT:
            return False
        return True if self.census.confirmed() or self.service.surroundings.folder_is_current else None

    def _going(self, record: Swapped | None) -> DepartureState:
        return (
            GOING.get(record.step, DepartureState.STAYING) if record is not None else DepartureState.STAYING
        )

    def _epoch(self) -> int:
        return self.service.ownership.lease.epoch if self.service.ownership is not None else -1

    def _arm(self, ms: float) -> None:
        ms = min(max(ms, LEAST_MS), MOST_MS)
        # Danger: put off by each event, the step never came where events come faster than its least wait.
        if self.timer is not None and self.due <= self.clock.now() + ms:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.due = self.clock.now() + ms
        self.timer = self.clock.call_in(ms, self._step)

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(member, data):
                    self.say(member, data)
                case PersistState(name, data, then):
                    self._keep(name, data, then)
                case ChangeRegister() | ReadRegister():
                    self.swap.ask(action)

    def _keep(self, name: str, data: bytes, then: int) -> None:
        self.puts[name] = then
        self.unkept.pop(name, None)

        def done(durable: bool) -> None:
            self.hop(lambda: self._kept(name, data, then, durable))

        self.ledger.put([Record(RecordKind.AFFINITY, name.encode(), data or None)], done)

    def _kept(self, name: str, data: bytes, then: int, durable: bool) -> None:
        if durable:
            if self.puts.get(name) == then:
                del self.puts[name]
            self._carry_out(self.service.on_persisted(self.clock.now(), then))
            self._arm(LEAST_MS)
        elif self.puts.get(name) == then:
            # Danger: a record that the disk did not take, and that nobody puts again, holds its pin for good.
            self.unkept[name] = data, then
            self.counters.add("pins_unkept")

    def _put_again(self, now: float) -> None:
        if not self.unkept or now < self.again_at:
            return
        self.again_at = now + AGAIN_MS
        unkept, self.unkept = self.unkept, {}
        for name, (data, then) in unkept.items():
            self._keep(name, data, then)

    # --- for operators ---

    def _waits(self) -> str:
        """How many requests waited here for an owner, by ms: up to 10, 20 and so on, and longer."""
        return _histogram(WAITS_MS, self.guard.waits)

    def _ownerless(self) -> str:
        """The same of keys that were moved from here: how long nobody started their loads."""
        pins = self.service.ownership
        return _histogram(HANDOVER_STEPS_MS, pins.handover_histogram) if pins is not None else ""

    def status(self) -> dict[str, Any]:
        """The view of this instance."""
        now, service = self.clock.now(), self.service
        pins = service.ownership
        inside = pins.lease.members if pins is not None else ()
        names = {self.swim.id: self.swim.name, **{m.id: m.name for m in self.swim.members.values()}}
        found = {
            "began": service.start_count,
            "whole": service.surroundings.folder_is_current,
            "owned": len(pins.owned_keys()) if pins is not None else 0,
            "moving": pins.moving_count() if pins is not None else 0,
            "open": len(pins.open_requests) if pins is not None else 0,
            "stands": pins is not None and pins.lease.valid_until() > now,
            "complete": pins is not None and pins.lease.complete_epoch == pins.lease.epoch,
            "epoch": self._epoch(),
            "table": sorted(names.get(member, f"{member:x}") for member in inside),
            "left": service.remaining_count(now, service.surroundings.departure),
            "waiting": sum(map(len, self.guard.lines.values())),
            "waits": self._waits(),
            "ownerless": self._ownerless(),
            "why": service.table.blocked_reason,
            "handed_on": self.handing.status(),
            **service.counts,
        }
        return {"pins": found}


def _histogram(steps: Sequence[float], counts: Sequence[int]) -> str:
    names = [f"{step:g}" for step in steps] + ["more"]
    return ",".join(f"{name}:{n}" for name, n in zip(names, counts, strict=True) if n)
