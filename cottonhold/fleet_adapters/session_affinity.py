"""Runs session affinity: its records on disk, datagrams and timers.

The adapter makes no decisions of its own. Session affinity is off unless the configuration file contains
`fleet: {pins: true}`.
"""

from __future__ import annotations

import secrets
from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from cottonhold.config.installation import Installation
from cottonhold.fleet.consensus.actions import (
    ChangeRegister,
    PersistState,
    ReadRegister,
    SendConsensusMessage,
)
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.recovery.membership_survey import MembershipSurvey
from cottonhold.fleet.recovery.messages import MemoryState
from cottonhold.fleet.request_forwarding.forwarder import ForwardingSettings, RequestForwarder
from cottonhold.fleet.request_forwarding.messages import REQUEST_FORWARDING, U32
from cottonhold.fleet.rolling_replacement.plan import MachineRecord, ReplacementStep, machine_id
from cottonhold.fleet.session_affinity import membership_table, messages
from cottonhold.fleet.session_affinity.ownership import OwnedElsewhere, OwnedHere, RetryAfter
from cottonhold.fleet.session_affinity.ownership_records import HANDOVER_BUCKETS_MS
from cottonhold.fleet.session_affinity.service import (
    Action,
    DepartureState,
    SessionAffinityService,
    Surroundings,
)
from cottonhold.fleet_adapters.keyed_loads import WAIT_STEPS_MS, KeyedLoadGuard
from cottonhold.fleet_adapters.recovery_folder import incarnation_of
from cottonhold.fleet_adapters.request_forwarding import RequestForwardingAdapter
from cottonhold.fleet_adapters.rolling_replacement import RollingReplacementAdapter
from cottonhold.membership.swim import Swim
from cottonhold.node.client_request import ClientRequest
from cottonhold.node.gateway import Gateway
from cottonhold.node.load_guard import LoadGuard
from cottonhold.observe.counters import Counters
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import Record, RecordKind
from cottonhold.transport.clock import Clock, Timer

MIN_STEP_INTERVAL_MS, MAX_STEP_INTERVAL_MS = 2.0, 20.0
WRITE_RETRY_MS = 500.0  # pause before failed writes are retried
LEAVING_STEPS = (ReplacementStep.MOVING, ReplacementStep.DRAINING, ReplacementStep.OUT)
DEPARTURE_BY_STEP = {
    ReplacementStep.MOVING: DepartureState.MOVING_KEYS,
    ReplacementStep.DRAINING: DepartureState.DRAINING,
    ReplacementStep.OUT: DepartureState.OUT,
}


class SessionAffinityAdapter:
    """Passes events and time to the session affinity of one instance, and executes its actions.

    Args:
        replacement: Rolling replacement, which also provides the registers.
        loads: The load guard that prevents double execution.
        call_in_loop: Calls a function in the event loop's thread; may be called in any thread.
        send: Sends a payload to a member.
        log: Logs an event with its fields.
    """

    def __init__(
        self,
        installation: Installation,
        ledger: Ledger,
        swim: Swim,
        fleet: FleetCoordinator,
        survey: MembershipSurvey,
        replacement: RollingReplacementAdapter,
        loads: LoadGuard,
        gateway: Gateway,
        clock: Clock,
        call_in_loop: Callable[[Callable[[], None]], object],
        send: Callable[[int, bytes], None],
        counters: Counters,
        log: Callable[..., None],
    ) -> None:
        now = clock.now()
        self.ledger, self.swim, self.fleet = ledger, swim, fleet
        self.survey, self.replacement = survey, replacement
        self.gateway, self.clock, self.call_in_loop, self.send = gateway, clock, call_in_loop, send
        self.counters, self.log, self.name = counters, log, installation.file.name
        self.zones_by_number = installation.file.peers.zones if installation.file.peers is not None else ()
        records = {key.decode(): value for key, value in ledger.records(RecordKind.AFFINITY).items()}
        self.service = SessionAffinityService(swim.id, replacement.voters, now, secrets.randbits(30), records)
        self.member, self.retry_after_ms = swim.id, self.service.settings.retry_after_ms
        self.guard = KeyedLoadGuard(loads, self, gateway, clock, counters)
        self.forwarding = self._make_forwarding()
        self.last_tokens: dict[str, int] = {}  # token of the last write, by name of the record
        self.failed_writes: dict[str, tuple[bytes, int]] = {}  # record and its token, by name
        self.next_write_retry_at = 0.0
        self.timer: Timer | None = None
        self.timer_at = 0.0
        replacement.key_mover = self

    def _make_forwarding(self) -> RequestForwardingAdapter:
        incarnation = incarnation_of(self.ledger) & U32 or 1
        return RequestForwardingAdapter(
            RequestForwarder(self.member, incarnation, ForwardingSettings(), secrets.randbits(30)),
            self.guard,
            self.gateway,
            self.clock,
            self.send,
            self.counters,
            self.retry_after_ms,
            lambda: self._schedule_step(MIN_STEP_INTERVAL_MS),
        )

    def start(self) -> None:
        """Run the first step; later steps run by the adapter's own timer."""
        self._step()

    def close(self) -> None:
        """Stop the timer and log the counts of this run."""
        self.log(
            "session_affinity_ended",
            **self.service.counts,
            waits=self._wait_histogram(),
            ownerless=self._handover_histogram(),
        )
        if self.timer is not None:
            self.timer.cancel()

    def on_message(self, member: int, payload: bytes) -> bool:
        """Apply a member's payload; return whether it is one of session affinity or request forwarding."""
        if not payload or not messages.MIGRATION <= payload[0] <= REQUEST_FORWARDING:
            return False
        now = self.clock.now()
        if payload[0] == REQUEST_FORWARDING:
            self.forwarding.on_message(now, member, payload)
        else:
            self._execute(self.service.on_message(now, member, payload))
        self._schedule_step(MIN_STEP_INTERVAL_MS)
        return True

    def route(self, key: bytes) -> OwnedHere | OwnedElsewhere | RetryAfter:
        """Return where a request with this key has to start."""
        return self.service.route(self.clock.now(), key)

    def is_owner(self, key: bytes) -> bool:
        """Return whether this instance owns the key now, so that a request may start here."""
        return self.service.ownership_of(self.clock.now(), key) is not None

    def is_member(self, member: int) -> bool:
        """Return whether a member may own keys, according to this instance's membership table."""
        ownership = self.service.ownership
        return ownership is not None and member in ownership.lease.members

    def will_not_start(self, key: bytes) -> bool:
        """Return whether a waiting request with this key can no longer start here."""
        return self.service.will_not_start(self.clock.now(), key)

    def on_request_opened(self, key: bytes, load: int) -> None:
        """Record that a request with this key waits or runs here."""
        self._execute(self.service.on_request_opened(self.clock.now(), key, load))

    def on_request_ended(self, key: bytes, load: int, is_outcome_known: bool) -> None:
        """Record that a request has ended; without a known outcome it may still be running."""
        self._execute(self.service.on_request_ended(self.clock.now(), key, load, is_outcome_known))
        self._schedule_step(MIN_STEP_INTERVAL_MS)

    def forward(
        self, client_request: ClientRequest, owner: int, key: bytes, deadline: float, round_number: int
    ) -> None:
        """Forward a request to the owner of its key."""
        self.forwarding.forward(client_request, owner, key, deadline, round_number)

    def abandon(self, request_id: str) -> None:
        """Abandon a forwarded request: its client no longer waits for the answer."""
        self.forwarding.abandon(request_id)

    def on_outcome(self, token: int, won: bool | None, version: int, value: bytes) -> None:
        """Pass the outcome of a register change or read to the service."""
        self.service.on_outcome(self.clock.now(), token, won, version, value)
        self._schedule_step(MIN_STEP_INTERVAL_MS)

    def on_register_changed(self, name: str, version: int, value: bytes) -> None:
        """Pass a new version of the membership table's register to the service; ignore other registers."""
        if name == membership_table.TABLE_REGISTER:
            self.service.on_register_changed(self.clock.now(), name, version, value)
            self._schedule_step(MIN_STEP_INTERVAL_MS)

    def remaining_here(self) -> int:
        """Return the number of keys and requests that still prevent this machine's removal."""
        # Passes the replacement's newest step, since the service may still have an earlier one.
        return self.service.remaining_count(
            self.clock.now(), self._departure(self.replacement.coordinator.view.records.get(self.name))
        )

    def remaining_elsewhere(self) -> dict[str, int | None]:
        """Return `remaining_here` of the other machines that are being replaced; None where it is not known.

        It is 0 for a machine that is not in the membership table, and unknown for the others.
        """
        members, known = self.service.table.member_list.members, self.service.table.is_known
        others = {
            n for n, r in self.replacement.coordinator.view.records.items() if r.step in LEAVING_STEPS
        } - {self.name}
        return {name: 0 if known and machine_id(name) not in members else None for name in others}

    def move_keys(self, max_keys: int) -> None:
        """Move at most `max_keys` keys to other members."""
        self.counters.add("pins_asked_to_move")
        self._execute(self.service.move_keys(self.clock.now(), max_keys, self._target_capacities()))
        self._schedule_step(MIN_STEP_INTERVAL_MS)

    def _target_capacities(self) -> dict[int, float]:
        """Return the capacity of each member that may receive keys.

        A zone's free cores are divided evenly among its members; if no zone has any, all members are equal.
        """
        records = self.replacement.coordinator.view.records
        leaving = {machine_id(name) for name, record in records.items() if record.step in LEAVING_STEPS}
        targets = [m for m in self.swim.live_members() if m != self.swim.id and m not in leaving]
        cost = self.fleet.failover_cost
        free_cores = cost.plan.free_cores if cost is not None and cost.plan is not None else {}
        zones = {member: self._zone(member) for member in targets}
        targets_in_zone = Counter(zones.values())
        capacities = {
            member: free_cores.get(zone, 0.0) / targets_in_zone[zone] for member, zone in zones.items()
        }
        return capacities if any(value > 0 for value in capacities.values()) else dict.fromkeys(targets, 1.0)

    def _zone(self, member: int) -> str:
        number = self.survey.number_of(member)
        return (
            self.zones_by_number[number] if number is not None and number < len(self.zones_by_number) else ""
        )

    def _step(self) -> None:
        self.timer = None
        now, previous_departure = self.clock.now(), self.service.surroundings.departure
        surroundings = self._surroundings()
        if surroundings.departure is DepartureState.STAYING and previous_departure in (
            DepartureState.MOVING_KEYS,
            DepartureState.DRAINING,
        ):
            self._execute(self.service.cancel_moves(now))
        previous_start_count = self.service.start_count
        self._execute(self.service.step(now, surroundings))
        if self.service.start_count != previous_start_count:
            self.log(
                "session_affinity_started",
                starts=self.service.start_count,
                folder_is_current=str(surroundings.folder_is_current),
                epoch=self._epoch(),
            )
        self.forwarding.step(now)
        self._retry_failed_writes(now)
        self.guard.step()
        self._schedule_step(min(self.service.next_at(now), self.forwarding.next_at()) - now)

    def _surroundings(self) -> Surroundings:
        records = self.replacement.coordinator.view.records
        removed = frozenset(
            machine_id(name) for name, record in records.items() if record.step is ReplacementStep.OUT
        )
        return Surroundings(
            self._folder_is_current(),
            self._departure(records.get(self.name)),
            frozenset(self.swim.live_members()),
            removed,
        )

    def _folder_is_current(self) -> bool | None:
        """Return whether the state folder is this dispatcher's latest one; None until others confirm it."""
        if self.survey.memory is not MemoryState.INTACT:
            return False
        return (
            True
            if self.survey.has_confirmed_memory() or self.service.surroundings.folder_is_current
            else None
        )

    def _departure(self, record: MachineRecord | None) -> DepartureState:
        return (
            DEPARTURE_BY_STEP.get(record.step, DepartureState.STAYING)
            if record is not None
            else DepartureState.STAYING
        )

    def _epoch(self) -> int:
        return self.service.ownership.lease.epoch if self.service.ownership is not None else -1

    def _schedule_step(self, delay_ms: float) -> None:
        delay_ms = min(max(delay_ms, MIN_STEP_INTERVAL_MS), MAX_STEP_INTERVAL_MS)
        # An earlier step stays scheduled, or frequent events would postpone it indefinitely.
        if self.timer is not None and self.timer_at <= self.clock.now() + delay_ms:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at = self.clock.now() + delay_ms
        self.timer = self.clock.call_in(delay_ms, self._step)

    def _execute(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendConsensusMessage(member, data):
                    self.send(member, data)
                case PersistState(name, data, token):
                    self._persist(name, data, token)
                case ChangeRegister() | ReadRegister():
                    self.replacement.use_register(action)

    def _persist(self, name: str, data: bytes, token: int) -> None:
        self.last_tokens[name] = token
        self.failed_writes.pop(name, None)

        def on_written(durable: bool) -> None:
            self.call_in_loop(lambda: self._on_written(name, data, token, durable))

        self.ledger.put([Record(RecordKind.AFFINITY, name.encode(), data or None)], on_written)

    def _on_written(self, name: str, data: bytes, token: int, is_durable: bool) -> None:
        if is_durable:
            if self.last_tokens.get(name) == token:
                del self.last_tokens[name]
            self._execute(self.service.on_persisted(self.clock.now(), token))
            self._schedule_step(MIN_STEP_INTERVAL_MS)
        elif self.last_tokens.get(name) == token:
            # The write is retried later, because the record's key is blocked until it is on disk.
            self.failed_writes[name] = data, token
            self.counters.add("pins_unkept")

    def _retry_failed_writes(self, now: float) -> None:
        if not self.failed_writes or now < self.next_write_retry_at:
            return
        self.next_write_retry_at = now + WRITE_RETRY_MS
        failed, self.failed_writes = self.failed_writes, {}
        for name, (data, token) in failed.items():
            self._persist(name, data, token)

    def _wait_histogram(self) -> str:
        """Return how many requests waited here for an owner, by the upper bound of the wait in ms."""
        return _histogram(WAIT_STEPS_MS, self.guard.wait_histogram)

    def _handover_histogram(self) -> str:
        """Return the number of keys moved from here, by upper bound of the time without an owner, in ms."""
        ownership = self.service.ownership
        return _histogram(HANDOVER_BUCKETS_MS, ownership.handover_histogram) if ownership is not None else ""

    def status(self) -> dict[str, Any]:
        """Return the status of session affinity for the status socket."""
        now, service = self.clock.now(), self.service
        ownership = service.ownership
        members = ownership.lease.members if ownership is not None else ()
        names = {self.swim.id: self.swim.name, **{m.id: m.name for m in self.swim.members.values()}}
        row = {
            "began": service.start_count,
            "whole": service.surroundings.folder_is_current,
            "owned": len(ownership.owned_keys()) if ownership is not None else 0,
            "moving": ownership.moving_count() if ownership is not None else 0,
            "open": len(ownership.open_requests) if ownership is not None else 0,
            "stands": ownership is not None and ownership.lease.valid_until() > now,
            "complete": ownership is not None and ownership.lease.complete_epoch == ownership.lease.epoch,
            "epoch": self._epoch(),
            "table": sorted(names.get(member, f"{member:x}") for member in members),
            "left": service.remaining_count(now, service.surroundings.departure),
            "waiting": sum(map(len, self.guard.queues.values())),
            "waits": self._wait_histogram(),
            "ownerless": self._handover_histogram(),
            "why": service.table.blocked_reason,
            "handed_on": self.forwarding.status(),
            **service.counts,
        }
        return {"pins": row}


def _histogram(steps: Sequence[float], counts: Sequence[int]) -> str:
    names = [f"{step:g}" for step in steps] + ["more"]
    return ",".join(f"{name}:{n}" for name, n in zip(names, counts, strict=True) if n)
