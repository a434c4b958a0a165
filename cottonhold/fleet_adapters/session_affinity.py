"""Carries out session affinity and request forwarding: records, datagrams and timers. Decides nothing.

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
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.recovery.membership_survey import MembershipSurvey
from cottonhold.fleet.recovery.messages import MemoryState
from cottonhold.fleet.request_forwarding import forwarder
from cottonhold.fleet.request_forwarding.forwarder import ForwardingSettings, ForwardResult, RequestForwarder
from cottonhold.fleet.request_forwarding.messages import U32
from cottonhold.fleet.request_forwarding.request_codec import (
    ForwardedRequest,
    decode_request,
    encode_request,
    encode_rows,
)
from cottonhold.fleet.rolling_replacement.plan import MachineRecord as Swapped
from cottonhold.fleet.rolling_replacement.plan import ReplacementStep, machine_id
from cottonhold.fleet.session_affinity import membership_table, messages
from cottonhold.fleet.session_affinity.ownership import OwnedElsewhere, OwnedHere, RetryAfter
from cottonhold.fleet.session_affinity.record_book import HANDOVER_STEPS_MS
from cottonhold.fleet.session_affinity.service import (
    Action,
    DepartureState,
    SessionAffinityService,
    Surroundings,
)
from cottonhold.fleet_adapters.keyed_loads import WAIT_STEPS_MS, KeyedLoadGuard, OriginRound
from cottonhold.fleet_adapters.recovery_folder import incarnation_of
from cottonhold.fleet_adapters.rolling_replacement import RollingReplacementAdapter
from cottonhold.frontend.query_service import DuplicateRequestIdError
from cottonhold.membership.swim import Swim
from cottonhold.node.client_request import ClientRequest, OpenRequest
from cottonhold.node.gateway import Gateway
from cottonhold.node.load_guard import LoadGuard
from cottonhold.observe.counters import Counters
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import Record, RecordKind
from cottonhold.transport.clock import Clock, Timer

MIN_STEP_INTERVAL_MS, MAX_STEP_INTERVAL_MS = 2.0, 20.0
REQUEST_FORWARDING = 79  # first byte of its messages
WRITE_RETRY_MS = 500.0
LEAVING_STEPS = (ReplacementStep.MOVING, ReplacementStep.DRAINING, ReplacementStep.OUT)
DEPARTURE_BY_STEP = {
    ReplacementStep.MOVING: DepartureState.MOVING_KEYS,
    ReplacementStep.DRAINING: DepartureState.DRAINING,
    ReplacementStep.OUT: DepartureState.OUT,
}


class ForwardedClient:
    """The way back to the dispatcher that forwarded a request; stands for a client at the gateway."""

    def __init__(self, adapter: SessionAffinityAdapter, origin: int, number: int, request_id: str) -> None:
        self.adapter, self.origin, self.number, self.request_id = adapter, origin, number, request_id

    def complete(self, rows: Rows) -> None:
        """The complete result."""
        self.adapter.on_forwarded_ended(self, ForwardResult.ANSWERED, 0.0, encode_rows(rows))

    def reject(self, retry_after: float) -> None:
        """Rejected, or this is not the key's owner: nothing ran."""
        owner = self.adapter.guard.owners_by_returned.get(self.request_id)
        if owner is None:
            self.adapter.on_forwarded_ended(self, ForwardResult.REJECTED, retry_after, b"")
        else:
            self.adapter.on_forwarded_ended(
                self, ForwardResult.NOT_OWNER, 0.0, owner.to_bytes(8, "big") if owner else b""
            )

    def fail(self, why: str) -> None:
        """The request may have run."""
        self.adapter.on_forwarded_ended(self, ForwardResult.FAILED, 0.0, b"")


class SessionAffinityAdapter:
    """Feeds the session affinity of one instance, and carries out its actions."""

    def __init__(
        self,
        installation: Installation,
        ledger: Ledger,
        swim: Swim,
        fleet: FleetCoordinator,
        census: MembershipSurvey,
        swap: RollingReplacementAdapter,
        loads: LoadGuard,
        gateway: Gateway,
        clock: Clock,
        hop: Callable[[Callable[[], None]], object],
        say: Callable[[int, bytes], None],
        counters: Counters,
        note: Callable[..., None],
    ) -> None:
        now = clock.now()
        self.ledger, self.swim, self.fleet, self.census, self.replacement = ledger, swim, fleet, census, swap
        self.gateway, self.clock, self.hop, self.send = gateway, clock, hop, say
        self.counters, self.log, self.name = counters, note, installation.file.name
        self.zones_by_number = installation.file.peers.zones if installation.file.peers is not None else ()
        kept = {key.decode(): value for key, value in ledger.records(RecordKind.AFFINITY).items()}
        self.service = SessionAffinityService(swim.id, swap.voters, now, secrets.randbits(30), kept)
        self.member, self.retry_after_ms = swim.id, self.service.settings.retry_after_ms
        life = incarnation_of(ledger) & U32 or 1
        self.forwarder = RequestForwarder(swim.id, life, ForwardingSettings(), secrets.randbits(30))
        self.guard = KeyedLoadGuard(loads, self, gateway, clock, counters)
        self.incoming_requests: dict[tuple[int, int], tuple[OpenRequest, ForwardedClient]] = {}
        self.last_tokens: dict[str, int] = {}  # by name of the record
        self.failed_writes: dict[str, tuple[bytes, int]] = {}  # by name: the record and its token
        self.next_write_retry_at = 0.0
        self.timer: Timer | None = None
        self.timer_at = 0.0
        swap.key_mover = self

    def start(self) -> None:
        """Begin; from now on it steps by its own timer."""
        self._step()

    def close(self) -> None:
        """Stop the timer."""
        self.log(
            "session_affinity_ended",
            **self.service.counts,
            waits=self._wait_histogram(),
            ownerless=self._handover_histogram(),
        )
        if self.timer is not None:
            self.timer.cancel()

    def on_message(self, member: int, payload: bytes) -> bool:
        """Apply a datagram's payload; return whether it is one of session affinity or request forwarding."""
        if not payload or not messages.MIGRATION <= payload[0] <= REQUEST_FORWARDING:
            return False
        now = self.clock.now()
        if payload[0] == REQUEST_FORWARDING:
            self._carry_out_forwarding(self.forwarder.on_message(now, member, payload))
        else:
            self._carry_out(self.service.on_message(now, member, payload))
        self._schedule_step(MIN_STEP_INTERVAL_MS)
        return True

    def route(self, key: bytes) -> OwnedHere | OwnedElsewhere | RetryAfter:
        """Return where a request of the key belongs."""
        return self.service.route(self.clock.now(), key)

    def is_owner(self, key: bytes) -> bool:
        """Whether a request of the key may start here at this moment."""
        return self.service.ownership_of(self.clock.now(), key) is not None

    def is_member(self, member: int) -> bool:
        """Whether a member may own keys, as far as is known here."""
        pins = self.service.ownership
        return pins is not None and member in pins.lease.members

    def is_lost(self, key: bytes) -> bool:
        """Whether a waiting request of the key will not start here any more."""
        return self.service.is_lost(self.clock.now(), key)

    def on_request_opened(self, key: bytes, load: int) -> None:
        """A request waits or runs here."""
        self._carry_out(self.service.on_request_opened(self.clock.now(), key, load))

    def on_request_ended(self, key: bytes, load: int, known: bool) -> None:
        """A request has ended."""
        self._carry_out(self.service.on_request_ended(self.clock.now(), key, load, known))
        self._schedule_step(MIN_STEP_INTERVAL_MS)

    def forward(self, taken: ClientRequest, owner: int, key: bytes, until: float, number: int) -> None:
        """Forward a request to the owner of its key."""
        self.counters.add("pins_handed_on")
        tenants = self.gateway.settings.tenants
        forwarded = ForwardedRequest(
            request_id=taken.request_id,
            class_name=taken.class_name,
            ordering_key=taken.ordering_key or "",
            estimated_work_ms=taken.estimated_work_ms,
            estimated_memory_mb=taken.estimated_memory_mb,
            tables=taken.table_group,
            is_retry=taken.is_retry,
            body=taken.body,
            round=number,
            tenant=tenants[taken.tenant].name if taken.tenant < len(tenants) else "",
            idempotency_key=taken.idempotency_key or "",
        )
        body = encode_request(forwarded)
        now = self.clock.now()
        actions = self.forwarder.forward(now, taken.request_id, owner, body, until, queue_key=key)
        # A result that is there at once must reach the guard only after it has recorded the forwarding.
        self.clock.call_soon(lambda: self._carry_out_forwarding(actions))

    def abandon(self, ref: str) -> None:
        """No client waits any more for a forwarded request."""
        self._carry_out_forwarding(self.forwarder.abandon(self.clock.now(), ref))

    def _on_request_accepted(self, action: forwarder.RequestAccepted) -> None:
        """Pass a request that was forwarded to here to the gateway."""
        try:
            forwarded = decode_request(action.body)
        except MessageError:
            self.counters.add("pins_malformed")
            self._reject(action, retry_after_ms=0.0)
            return
        kind = self.gateway.decoder.class_indexes.get(forwarded.class_name)
        request_id = forwarded.request_id
        if request_id in self.gateway.requests:
            request_id = f"{request_id}.{action.number:x}"
        if kind is None or request_id in self.gateway.requests:
            self._reject(action, self.retry_after_ms)
            return
        self.counters.add("pins_handed_here")
        work = forwarded.estimated_work_ms, forwarded.estimated_memory_mb, forwarded.tables
        words = forwarded.ordering_key, forwarded.is_retry, forwarded.body
        named = (
            self.gateway.decoder.tenant_indexes.get(forwarded.tenant, 0),
            forwarded.idempotency_key or None,
        )
        now = self.clock.now()
        taken = ClientRequest(
            request_id, kind, forwarded.class_name, now, action.remaining_ms, *work, *words, *named
        )
        client = ForwardedClient(self, action.origin, action.number, request_id)
        self.guard.origin_rounds[request_id] = OriginRound(action.origin, forwarded.round)
        try:
            request = self.gateway.accept(taken, client)
        except DuplicateRequestIdError:
            self._reject(action, self.retry_after_ms)
            return
        self.incoming_requests[action.origin, action.number] = request, client

    def _reject(self, action: forwarder.RequestAccepted, retry_after_ms: float) -> None:
        now, result = self.clock.now(), ForwardResult.REJECTED
        actions = self.forwarder.on_request_ended(now, action.origin, action.number, result, retry_after_ms)
        self._carry_out_forwarding(actions)

    def on_forwarded_ended(
        self, client: ForwardedClient, result: ForwardResult, retry_after_ms: float, data: bytes
    ) -> None:
        """A request that was forwarded to here has ended."""
        place = client.origin, client.number
        self.incoming_requests.pop(place, None)
        self.guard.origin_rounds.pop(client.request_id, None)
        self.guard.owners_by_returned.pop(client.request_id, None)
        self._carry_out_forwarding(
            self.forwarder.on_request_ended(self.clock.now(), *place, result, retry_after_ms, data)
        )
        self._schedule_step(MIN_STEP_INTERVAL_MS)

    def _on_request_abandoned(self, origin: int, number: int) -> None:
        """No client waits for it any more."""
        found = self.incoming_requests.pop((origin, number), None)
        if found is not None:
            self.guard.origin_rounds.pop(found[1].request_id, None)
            self.gateway.on_client_disconnected(found[0])

    def _carry_out_forwarding(self, actions: Iterable[forwarder.Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(member, data):
                    self.send(member, data)
                case forwarder.RequestAccepted():
                    self._on_request_accepted(action)
                case forwarder.RequestAbandoned(origin, number):
                    self._on_request_abandoned(origin, number)
                case forwarder.ForwardingEnded():
                    self.guard.on_forwarding_ended(action)
        self._schedule_step(MIN_STEP_INTERVAL_MS)

    def on_outcome(self, token: int, won: bool | None, version: int, value: bytes) -> None:
        """A change or read of a register has ended."""
        self.service.on_outcome(self.clock.now(), token, won, version, value)
        self._schedule_step(MIN_STEP_INTERVAL_MS)

    def on_register_changed(self, name: str, version: int, value: bytes) -> None:
        """A register has changed."""
        if name == membership_table.TABLE_REGISTER:
            self.service.on_register_changed(self.clock.now(), name, version, value)
            self._schedule_step(MIN_STEP_INTERVAL_MS)

    def remaining_here(self) -> int:
        """Return how much is left here before this machine may be taken out."""
        # By the newest step of the replacement: at its own last step this part may have seen an earlier one.
        return self.service.remaining_count(
            self.clock.now(), self._departure(self.replacement.coordinator.view.records.get(self.name))
        )

    def remaining_elsewhere(self) -> dict[str, int | None]:
        """Return the same of other machines that are being replaced.

        Nothing is left at one that is not in the table; of the others it is not known here.
        """
        inside, known = self.service.table.member_list.members, self.service.table.is_known
        others = {
            n for n, r in self.replacement.coordinator.view.records.items() if r.step in LEAVING_STEPS
        } - {self.name}
        return {name: 0 if known and machine_id(name) not in inside else None for name in others}

    def move_keys(self, max_keys: int) -> None:
        """Move at most so many keys to others."""
        self.counters.add("pins_asked_to_move")
        self._carry_out(self.service.move_keys(self.clock.now(), max_keys, self._target_capacities()))
        self._schedule_step(MIN_STEP_INTERVAL_MS)

    def _target_capacities(self) -> dict[int, float]:
        """Return the capacity of each member that may take keys: by what is left in its zone, else even."""
        chain = self.replacement.coordinator.view.records
        going = {machine_id(name) for name, record in chain.items() if record.step in LEAVING_STEPS}
        there = [m for m in self.swim.live_members() if m != self.swim.id and m not in going]
        outlook = self.fleet.failover_cost
        left = outlook.plan.free_cores if outlook is not None and outlook.plan is not None else {}
        zones = {member: self._zone(member) for member in there}
        count = Counter(zones.values())
        found = {member: left.get(zone, 0.0) / count[zone] for member, zone in zones.items()}
        return found if any(value > 0 for value in found.values()) else dict.fromkeys(there, 1.0)

    def _zone(self, member: int) -> str:
        number = self.census.number_of(member)
        return (
            self.zones_by_number[number] if number is not None and number < len(self.zones_by_number) else ""
        )

    def _step(self) -> None:
        self.timer = None
        now, before = self.clock.now(), self.service.surroundings.departure
        around = self._surroundings()
        if around.departure is DepartureState.STAYING and before in (
            DepartureState.MOVING_KEYS,
            DepartureState.DRAINING,
        ):
            self._carry_out(self.service.cancel_moves(now))
        began = self.service.start_count
        self._carry_out(self.service.step(now, around))
        if self.service.start_count != began:
            self.log(
                "session_affinity_started",
                starts=self.service.start_count,
                folder_is_current=str(around.folder_is_current),
                epoch=self._epoch(),
            )
        self._carry_out_forwarding(self.forwarder.step(now))
        self._retry_failed_writes(now)
        self.guard.step()
        self._schedule_step(min(self.service.next_at(now), self.forwarder.next_at()) - now)

    def _surroundings(self) -> Surroundings:
        chain = self.replacement.coordinator.view.records
        out = frozenset(
            machine_id(name) for name, record in chain.items() if record.step is ReplacementStep.OUT
        )
        return Surroundings(
            self._folder_is_current(),
            self._departure(chain.get(self.name)),
            frozenset(self.swim.live_members()),
            out,
        )

    def _folder_is_current(self) -> bool | None:
        """Whether the folder is the one that this number last had, as far as others confirm it."""
        if self.census.memory is not MemoryState.INTACT:
            return False
        return (
            True
            if self.census.has_confirmed_memory() or self.service.surroundings.folder_is_current
            else None
        )

    def _departure(self, record: Swapped | None) -> DepartureState:
        return (
            DEPARTURE_BY_STEP.get(record.step, DepartureState.STAYING)
            if record is not None
            else DepartureState.STAYING
        )

    def _epoch(self) -> int:
        return self.service.ownership.lease.epoch if self.service.ownership is not None else -1

    def _schedule_step(self, delay_ms: float) -> None:
        delay_ms = min(max(delay_ms, MIN_STEP_INTERVAL_MS), MAX_STEP_INTERVAL_MS)
        # An earlier step stays scheduled, or frequent events would postpone it for ever.
        if self.timer is not None and self.timer_at <= self.clock.now() + delay_ms:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at = self.clock.now() + delay_ms
        self.timer = self.clock.call_in(delay_ms, self._step)

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(member, data):
                    self.send(member, data)
                case PersistState(name, data, then):
                    self._persist(name, data, then)
                case ChangeRegister() | ReadRegister():
                    self.replacement.use_register(action)

    def _persist(self, name: str, data: bytes, token: int) -> None:
        self.last_tokens[name] = token
        self.failed_writes.pop(name, None)

        def done(durable: bool) -> None:
            self.hop(lambda: self._on_written(name, data, token, durable))

        self.ledger.put([Record(RecordKind.AFFINITY, name.encode(), data or None)], done)

    def _on_written(self, name: str, data: bytes, token: int, is_durable: bool) -> None:
        if is_durable:
            if self.last_tokens.get(name) == token:
                del self.last_tokens[name]
            self._carry_out(self.service.on_persisted(self.clock.now(), token))
            self._schedule_step(MIN_STEP_INTERVAL_MS)
        elif self.last_tokens.get(name) == token:
            # The record is written again later, because its key is blocked until it is on disk.
            self.failed_writes[name] = data, token
            self.counters.add("pins_unkept")

    def _retry_failed_writes(self, now: float) -> None:
        if not self.failed_writes or now < self.next_write_retry_at:
            return
        self.next_write_retry_at = now + WRITE_RETRY_MS
        unkept, self.failed_writes = self.failed_writes, {}
        for name, (data, then) in unkept.items():
            self._persist(name, data, then)

    def _wait_histogram(self) -> str:
        """How many requests waited here for an owner, by ms: up to 10, 20 and so on, and longer."""
        return _histogram(WAIT_STEPS_MS, self.guard.wait_histogram)

    def _handover_histogram(self) -> str:
        """The same of keys that were moved from here: how long no member started their requests."""
        pins = self.service.ownership
        return _histogram(HANDOVER_STEPS_MS, pins.handover_histogram) if pins is not None else ""

    def status(self) -> dict[str, Any]:
        """Return the view of this instance, for operators."""
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
            "waiting": sum(map(len, self.guard.queues.values())),
            "waits": self._wait_histogram(),
            "ownerless": self._handover_histogram(),
            "why": service.table.blocked_reason,
            "handed_on": self.forwarder.status(),
            **service.counts,
        }
        return {"pins": found}


def _histogram(steps: Sequence[float], counts: Sequence[int]) -> str:
    names = [f"{step:g}" for step in steps] + ["more"]
    return ",".join(f"{name}:{n}" for name, n in zip(names, counts, strict=True) if n)
