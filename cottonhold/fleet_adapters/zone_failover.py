"""The rim of the fleet's decisions on zones: timers, words, bounds, orders by hand. Decides nothing."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from cottonhold.backend.attempt import Attempt
from cottonhold.config.installation import Installation
from cottonhold.fleet.admission.demand import density_of_step
from cottonhold.fleet.admission.demand_sharing import admission_draw
from cottonhold.fleet.coordinator import Action, FleetCoordinator, FleetSettings, SendMessage, ThresholdUpdate
from cottonhold.fleet.engine_bounds import EngineBounds
from cottonhold.fleet.failover_cost.estimator import CostEstimatorSettings
from cottonhold.fleet.failover_cost.projection import Projection
from cottonhold.fleet.recovery.first_prober import first_prober
from cottonhold.fleet.recovery.slow_start_settings import SlowStartSettings
from cottonhold.fleet.zone_failover.evacuation import EvacuationSettings, PhaseChange
from cottonhold.fleet.zone_failover.failure_evidence import EvidenceSettings
from cottonhold.fleet.zone_failover.operator_overrides import MODE_NAMES
from cottonhold.membership.codec import MemberStatus
from cottonhold.membership.swim import Swim
from cottonhold.node.client_request import ClientRequest
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import AdmissionThreshold, AttemptEnded, EngineQuotas, Outcome
from cottonhold.transport.clock import Clock, Timer

# What an end says of the engine; one turned away, given up or never sent says nothing. Danger: a query that
# had waited here until its last 100 ms ran out of time at a well engine, and two of those in a crowd made a
# zone look failing. So running out of time counts by how long the attempt itself ran, as giving it up does.
SAYS = {
    Outcome.OK: True,
    Outcome.ERROR: False,
    Outcome.CONNECT_FAILED: False,
    Outcome.RESET: False,
}
MODES = {name: mode for mode, name in MODE_NAMES.items()}
LONGEST_MS = 7 * 86_400_000.0  # an order by hand that nobody remembers ends at last


class OverrideError(Exception):
    """An order by hand that can't be taken, with what is wrong in it."""


def make_coordinator(installation: Installation, me: int, now: float, life: int) -> FleetCoordinator:
    """The pure part for an installation that has a section `fleet`. life: as its folder counts, else the
    second of its start."""
    file, section = installation.file, installation.file.fleet
    assert section is not None and file.membership is not None
    settings = FleetSettings(
        dispatchers=file.dispatchers,
        sheds_load=section.price,
        checks_are_shared=file.permits.probes,
        max_check_age_ms=max(3000.0, 2.5 * file.membership.probe_ms),
        evidence=EvidenceSettings(slow_factor=section.slow),
        evacuation=EvacuationSettings(
            hold_ms=section.hold_ms,
            max_hold_ms=section.hold_most_ms,
            initial_share=section.first_share,
            step_ms=section.step_ms,
            usable_capacity_share=section.reserve,
        ),
        slow_start=SlowStartSettings(
            initial_share=file.rules.cold_from, warm_after_ms=file.rules.warm_within_ms
        )
        if file.state_dir
        else None,
        failover_cost=CostEstimatorSettings() if section.outlook else None,
        home_zone=file.peers.zones[file.number] if file.peers is not None and file.peers.zones else "",
    )
    # Danger: of two lives the later one has to count, also where the wall clock was set back between them.
    # Whoever knows the earlier one tells of it, and its stamps are passed; see zones/words.py.
    return FleetCoordinator(me, life, now, settings, installation.config.seed ^ secrets.randbits(32))


class ZoneFailoverAdapter:
    """Runs a fleet core: feeds it what happens here, keeps its timer, carries out what it says."""

    def __init__(
        self,
        fleet: FleetCoordinator,
        swim: Swim,
        clock: Clock,
        counters: Counters,
        say: Callable[[int, bytes], None],
        push: Callable[[EngineQuotas | AdmissionThreshold], None],
        note: Callable[..., None],
        probe: Callable[[str], bool],
        number: int = 0,
    ) -> None:
        self.probe, self.number, self.probed_at, self.started = probe, number, 0.0, clock.now()
        self.coordinator, self.swim, self.clock, self.counters = fleet, swim, clock, counters
        self.say, self.push, self.note = say, push, note
        self.timer: Timer | None = None
        # The group of tables of each open request, and the work that its client told.
        self.sets: dict[str, tuple[int, float]] = {}

    def start(self) -> None:
        """Begin; from now on it steps by its own timer."""
        if self.coordinator.demand is not None:
            self.push(AdmissionThreshold())  # of nothing yet
        self._step()

    def on_member_joined(self) -> None:
        """Another instance is there."""
        self._step()

    # --- what happens here ---

    def on_request_arrived(self, taken: ClientRequest) -> float | None:
        """A request has come."""
        self.coordinator.on_request(self.clock.now(), taken.query_class)
        return (
            None
            if self.coordinator.demand is None
            else admission_draw(taken.request_id.encode(), taken.is_retry)
        )

    def on_demand_estimated(self, taken: ClientRequest, worth: float, work: float) -> None:
        """What a request is worth, and its work."""
        now = self.clock.now()
        if self.coordinator.demand is not None:
            self.coordinator.demand.on_request(now, worth, work, taken.is_retry)
        if self.coordinator.failover_cost is not None:
            self.coordinator.failover_cost.on_request(
                now, worth, work, _data_set(taken.table_group), taken.is_retry
            )
            self.sets[taken.request_id] = taken.table_group, taken.estimated_work_ms

    def on_admission_settled(self, wait: float, lost: bool) -> None:
        """One that was let in went out, or was refused after all."""
        if self.coordinator.demand is not None:
            self.coordinator.demand.on_admitted(wait, lost)

    def on_attempt_sent(self, attempt: Attempt, query_class: int) -> None:
        """An attempt has gone out."""
        self.coordinator.on_attempt_sent(self.clock.now(), _ref(attempt), attempt.engine, query_class)

    def on_attempt_ended(self, attempt: Attempt, event: AttemptEnded) -> None:
        """An attempt has ended."""
        now, good = self.clock.now(), SAYS.get(event.outcome)
        if self.coordinator.failover_cost is not None and good:
            tables, told = self.sets.get(attempt.request_id, (-1, 0.0))
            beyond = event.actual_work_ms - told if told > 0 and event.actual_work_ms > 0 else None
            zone = self.coordinator.zone_of.get(attempt.engine, "")
            self.coordinator.failover_cost.on_answer(now, zone, _data_set(tables), excess_work_ms=beyond)
        self.coordinator.on_attempt_ended(now, _ref(attempt), good, event.elapsed_ms, event.actual_work_ms)

    def on_request_closed(self, ref: str) -> None:
        """A request is over for its client."""
        self.sets.pop(ref, None)

    def on_health_check_time(self, engine: str, ms: float) -> None:
        """An engine has answered a probe of this instance after so long."""
        zone = self.coordinator.zone_of.get(engine)
        if self.coordinator.failover_cost is not None and zone is not None:
            self.coordinator.failover_cost.on_health_check_answer(zone, ms)

    def on_health_check(self, engine: str, outcome: Outcome) -> None:
        """A probe has ended here, or a good one elsewhere."""
        self.coordinator.on_health_check(self.clock.now(), engine, outcome is Outcome.OK)

    def set_engines(self, zones: Mapping[str, Mapping[str, float]]) -> None:
        """Exactly these zones with the cores of their engines are there."""
        self.coordinator.set_engines(zones, self.clock.now())

    def on_list_received(self) -> None:
        """A source of the list has answered since the start."""
        if self.coordinator.slow_start is not None and not self.coordinator.slow_start.is_listed:
            self.coordinator.slow_start.on_list_received(self.clock.now())

    def on_message(self, member: int, payload: bytes) -> None:
        """Bytes from another instance."""
        self._carry_out(self.coordinator.on_message(self.clock.now(), member, payload))
        self._arm()

    def set_process_count(self, processes: int) -> None:
        """So many processes stand for this dispatcher now."""
        self.coordinator.quotas.process_count = processes
        if self.coordinator.slow_start is not None:
            self.coordinator.warmup_quotas.process_count = processes

    # --- by hand ---

    def issue_override(self, call: Mapping[str, Any]) -> dict[str, Any]:
        """An order from this instance's socket. Raises OrderError."""
        zone, mode = call.get("zone"), MODES.get(str(call.get("mode")))
        last, who, why = call.get("for_ms"), call.get("who"), call.get("why")
        if mode is None:
            raise OverrideError(f"mode {call.get('mode')!r} is none of {', '.join(MODES)}")
        if not isinstance(last, int | float) or isinstance(last, bool) or not 0 < last <= LONGEST_MS:
            raise OverrideError("for_ms has to be a number above 0 and within a week")
        if not isinstance(who, str) or not who or not isinstance(why, str) or not why:
            raise OverrideError("who and why have to be given")
        if not isinstance(zone, str) or zone not in self.coordinator.zone_numbers:
            raise OverrideError(
                f"there is no zone {zone!r}; there are: {', '.join(sorted(self.coordinator.zone_numbers))}"
            )
        self.coordinator.issue_override(self.clock.now(), zone, mode, float(last), who, why)
        self.counters.add("zone_orders")
        self.note("zone_order", zone=zone, mode=MODE_NAMES[mode], who=who, why=why, for_ms=round(last))
        self._step()
        return self.status()

    def status(self) -> dict[str, Any]:
        """What `cottonhold zone show` prints."""
        names = {self.swim.id: self.swim.name, **{m.id: m.name for m in self.swim.members.values()}}
        rows = self.coordinator.status(self.clock.now(), names)
        loads = self.coordinator.demand
        price = None
        if loads is not None and loads.threshold is not None:
            price = {
                "worth_a_ms": density_of_step(loads.threshold.step),
                "share": round(loads.threshold.admitted_share, 3),
            }
        ramp = self.coordinator.slow_start
        young = (
            {} if ramp is None else {engine: round(ramp.share(engine), 3) for engine in sorted(ramp.warming)}
        )
        outlook = self._outlook()
        return {
            "outlook": outlook,
            "zones": rows,
            "fleet_counts": dict(self.coordinator.counters),
            "price": price,
            "cold_engines": young,
        }

    def _outlook(self) -> dict[str, Any] | None:
        """What it would cost if a zone were out now, and who would serve its clients."""
        outlook = self.coordinator.failover_cost
        if outlook is None:
            return None
        rows: dict[str, Any] = {}
        for zone in sorted(self.coordinator.engines):
            found = outlook.projection(zone)
            if found is not None:
                cost = {name: round(amount, 3) for name, amount in _cost_row(found).items()}
                room = {at: round(cores, 2) for at, cores in found.free_cores.items()}
                rows[zone] = {"cost": cost, "room": room, "neighbours": outlook.neighbours(zone)}
        return rows

    # --- steps ---

    def _step(self) -> None:
        now = self.clock.now()
        left = (m.id for m in self.swim.members_by_name() if m.status is MemberStatus.LEFT)
        self.coordinator.set_members(now, self.swim.live_members(), left)
        self._carry_out(self.coordinator.step(now))
        self._probe_unproven(now)
        self._arm()

    def _probe_unproven(self, now: float) -> None:
        """Engines that have to answer first are asked by one dispatcher a turn, whoever is there yet."""
        ramp = self.coordinator.slow_start
        if ramp is None or now - self.probed_at < ramp.settings.prober_turn_ms:
            return
        self.probed_at = now
        count = self.coordinator.settings.dispatchers
        for engine, young in ramp.warming.items():
            if not young.has_answered:
                first = first_prober(engine, now - self.started, count, ramp.settings.prober_turn_ms)
                if first == self.number:
                    self.counters.add("first_probes")
                    self.probe(engine)

    def _arm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.clock.call_in(
            max(self.coordinator.next_at() - self.clock.now(), 0.0) + 0.5, self._step
        )

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage(member, data):
                    self.say(member, data)
                case EngineBounds(work, until):
                    self.push(EngineQuotas(work, until))
                case ThresholdUpdate(price, until, cooldown):
                    if price is None:
                        self.push(AdmissionThreshold())
                    else:
                        steps = density_of_step(price.step), density_of_step(price.step + 1)
                        self.push(AdmissionThreshold(*steps, price.admitted_share, until, cooldown))
                case PhaseChange(zone, phase, why):
                    self.counters.add(f"zones_{phase.value}")
                    self.note("zone", zone=zone, phase=phase.value, why=why)


def _cost_row(projection: Projection) -> dict[str, float]:
    """A projection under the names that `cottonhold zone show` knows."""
    return {
        "offered": projection.offered_utility,
        "worth": projection.served_utility,
        "lost": projection.lost_utility,
        "added": projection.added_round_trip_ms,
        "moved": projection.moved_cores,
        "extra": projection.extra_cold_cores,
        "warm_ms": projection.warm_ms,
        "back_ms": projection.return_ms,
        "useful": projection.useful_cores,
    }


def _data_set(tables: int) -> str:
    return str(tables) if tables >= 0 else ""


def _ref(attempt: Attempt) -> str:
    return f"{attempt.request_id}/{attempt.number}"
