"""The rim of the fleet's decisions on zones: timers, words, bounds, orders by hand. Decides nothing."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from cottonhold.backend.connection_pool import Attempt
from cottonhold.config.installation import Installation
from cottonhold.fleet.admission.loads import density, draw_of
from cottonhold.fleet.coordinator import Action, Bound, Fleet, FleetSettings, Priced, Say
from cottonhold.fleet.failover_cost.estimator import OutlookSettings
from cottonhold.fleet.recovery.slow_start import RampSettings, first_prober
from cottonhold.fleet.zone_failover.evacuation import Turn, ZoneSettings
from cottonhold.fleet.zone_failover.failure_evidence import EvidenceSettings
from cottonhold.fleet.zone_failover.operator_overrides import Mode
from cottonhold.membership.codec import MemberStatus
from cottonhold.membership.swim import Swim
from cottonhold.node.clock import Clock, Timer
from cottonhold.node.gateway import Taken
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import AdmissionThreshold, AttemptEnded, EngineQuotas, Outcome

# What an end says of the engine; one turned away, given up or never sent says nothing. Danger: a query that
# had waited here until its last 100 ms ran out of time at a well engine, and two of those in a crowd made a
# zone look failing. So running out of time counts by how long the attempt itself ran, as giving it up does.
SAYS = {
    Outcome.OK: True,
    Outcome.ERROR: False,
    Outcome.CONNECT_FAILED: False,
    Outcome.RESET: False,
}
MODES = {"leave": Mode.LEAVE, "return": Mode.RETURN, "free": Mode.FREE}
# What is shown of a projection: worth a second, ms, and cores; see fleet/outlook/projection.py.
COSTS = ("offered", "worth", "lost", "added", "moved", "extra", "warm_ms", "back_ms", "useful")
LONGEST_MS = 7 * 86_400_000.0  # an order by hand that nobody remembers ends at last


class OrderError(Exception):
    """An order by hand that can't be taken, with what is wrong in it."""


def make_fleet(installation: Installation, me: int, now: float, life: int) -> Fleet:
    """The pure part for an installation that has a section `fleet`. life: as its folder counts, else the
    second of its start."""
    file, section = installation.file, installation.file.fleet
    assert section is not None and file.membership is not None
    settings = FleetSettings(
        dispatchers=file.dispatchers,
        price=section.price,
        probed=file.permits.probes,
        answers=max(3000.0, 2.5 * file.membership.probe_ms),
        evidence=EvidenceSettings(slow=section.slow),
        zones=ZoneSettings(
            hold=section.hold_ms,
            hold_most=section.hold_most_ms,
            first=section.first_share,
            step=section.step_ms,
            reserve=section.reserve,
        ),
        recovery=RampSettings(first=file.rules.cold_from, warm=file.rules.warm_within_ms)
        if file.state_dir
        else None,
        outlook=OutlookSettings() if section.outlook else None,
        home=file.peers.zones[file.number] if file.peers is not None and file.peers.zones else "",
    )
    # Danger: of two lives the later one has to count, also where the wall clock was set back between them.
    # Whoever knows the earlier one tells of it, and its stamps are passed; see zones/words.py.
    return Fleet(me, life, now, settings, installation.config.seed ^ secrets.randbits(32))


class FleetRim:
    """Runs a fleet core: feeds it what happens here, keeps its timer, carries out what it says."""

    def __init__(
        self,
        fleet: Fleet,
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
        self.fleet, self.swim, self.clock, self.counters = fleet, swim, clock, counters
        self.say, self.push, self.note = say, push, note
        self.timer: Timer | None = None
        # The group of tables of each open request, and the work that its client told.
        self.sets: dict[str, tuple[int, float]] = {}

    def start(self) -> None:
        """Begin; from now on it steps by its own timer."""
        if self.fleet.loads is not None:
            self.push(AdmissionThreshold())  # of nothing yet
        self._step()

    def joined(self) -> None:
        """Another instance is there."""
        self._step()

    # --- what happens here ---

    def arrived(self, taken: Taken) -> float | None:
        """A request has come."""
        self.fleet.arrived(self.clock.now(), taken.query_class)
        return None if self.fleet.loads is None else draw_of(taken.ref.encode(), taken.retry)

    def offered(self, taken: Taken, worth: float, work: float) -> None:
        """What a request is worth, and its work."""
        now = self.clock.now()
        if self.fleet.loads is not None:
            self.fleet.loads.offered(now, worth, work, taken.retry)
        if self.fleet.outlook is not None:
            self.fleet.outlook.offered(now, worth, work, _data_set(taken.tables), taken.retry)
            self.sets[taken.ref] = taken.tables, taken.effort

    def let_in(self, wait: float, lost: bool) -> None:
        """One that was let in went out, or was refused after all."""
        if self.fleet.loads is not None:
            self.fleet.loads.ended(wait, lost)

    def sent(self, attempt: Attempt, query_class: int) -> None:
        """An attempt has gone out."""
        self.fleet.sent(self.clock.now(), _ref(attempt), attempt.engine, query_class)

    def ended(self, attempt: Attempt, event: AttemptEnded) -> None:
        """An attempt has ended."""
        now, good = self.clock.now(), SAYS.get(event.outcome)
        if self.fleet.outlook is not None and good:
            tables, told = self.sets.get(attempt.query, (-1, 0.0))
            beyond = event.actual_work_ms - told if told > 0 and event.actual_work_ms > 0 else None
            zone = self.fleet.zone_of.get(attempt.engine, "")
            self.fleet.outlook.answered(now, zone, _data_set(tables), beyond=beyond)
        self.fleet.ended(now, _ref(attempt), good, event.elapsed_ms, event.actual_work_ms)

    def closed(self, ref: str) -> None:
        """A request is over for its client."""
        self.sets.pop(ref, None)

    def trip(self, engine: str, ms: float) -> None:
        """An engine has answered a probe of this instance after so long."""
        zone = self.fleet.zone_of.get(engine)
        if self.fleet.outlook is not None and zone is not None:
            self.fleet.outlook.answered_probe(zone, ms)

    def probed(self, engine: str, outcome: Outcome) -> None:
        """A probe has ended here, or a good one elsewhere."""
        self.fleet.probed(self.clock.now(), engine, outcome is Outcome.OK)

    def engines(self, zones: Mapping[str, Mapping[str, float]]) -> None:
        """Exactly these zones with the cores of their engines are there."""
        self.fleet.know(zones, self.clock.now())

    def list_heard(self) -> None:
        """A source of the list has answered since the start."""
        if self.fleet.ramp is not None and not self.fleet.ramp.listed:
            self.fleet.ramp.list_heard(self.clock.now())

    def told(self, member: int, payload: bytes) -> None:
        """Bytes from another instance."""
        self._carry_out(self.fleet.hear(self.clock.now(), member, payload))
        self._arm()

    def beside(self, processes: int) -> None:
        """So many processes stand for this dispatcher now."""
        self.fleet.parts.beside = processes
        if self.fleet.ramp is not None:
            self.fleet.cold_parts.beside = processes

    # --- by hand ---

    def order(self, call: Mapping[str, Any]) -> dict[str, Any]:
        """An order from this instance's socket. Raises OrderError."""
        zone, mode = call.get("zone"), MODES.get(str(call.get("mode")))
        last, who, why = call.get("for_ms"), call.get("who"), call.get("why")
        if mode is None:
            raise OrderError(f"mode {call.get('mode')!r} is none of {', '.join(MODES)}")
        if not isinstance(last, int | float) or isinstance(last, bool) or not 0 < last <= LONGEST_MS:
            raise OrderError("for_ms has to be a number above 0 and within a week")
        if not isinstance(who, str) or not who or not isinstance(why, str) or not why:
            raise OrderError("who and why have to be given")
        if not isinstance(zone, str) or zone not in self.fleet.numbers:
            raise OrderError(f"there is no zone {zone!r}; there are: {', '.join(sorted(self.fleet.numbers))}")
        self.fleet.order(self.clock.now(), zone, mode, float(last), who, why)
        self.counters.add("zone_orders")
        self.note("zone_order", zone=zone, mode=mode.name.lower(), who=who, why=why, for_ms=round(last))
        self._step()
        return self.status()

    def status(self) -> dict[str, Any]:
        """What `cottonhold zone show` prints."""
        names = {self.swim.id: self.swim.name, **{m.id: m.name for m in self.swim.members.values()}}
        rows = self.fleet.status(self.clock.now(), names)
        loads = self.fleet.loads
        price = None
        if loads is not None and loads.price is not None:
            price = {"worth_a_ms": density(loads.price.step), "share": round(loads.price.share, 3)}
        ramp = self.fleet.ramp
        young = (
            {} if ramp is None else {engine: round(ramp.share(engine), 3) for engine in sorted(ramp.young)}
        )
        outlook = self._outlook()
        return {
            "outlook": outlook,
            "zones": rows,
            "fleet_counts": dict(self.fleet.counts),
            "price": price,
            "cold_engines": young,
        }

    def _outlook(self) -> dict[str, Any] | None:
        """What it would cost if a zone were out now, and who would serve its clients."""
        outlook = self.fleet.outlook
        if outlook is None:
            return None
        rows: dict[str, Any] = {}
        for zone in sorted(self.fleet.engines):
            found = outlook.projection(zone)
            if found is not None:
                cost = {name: round(float(getattr(found, name)), 3) for name in COSTS}
                room = {at: round(cores, 2) for at, cores in found.room.items()}
                rows[zone] = {"cost": cost, "room": room, "neighbours": outlook.neighbours(zone)}
        return rows

    # --- steps ---

    def _step(self) -> None:
        now = self.clock.now()
        left = (m.id for m in self.swim.members_by_name() if m.status is MemberStatus.LEFT)
        self.fleet.members(now, self.swim.live_members(), left)
        self._carry_out(self.fleet.step(now))
        self._probe_unproven(now)
        self._arm()

    def _probe_unproven(self, now: float) -> None:
        """Engines that have to answer first are asked by one dispatcher a turn, whoever is there yet."""
        ramp = self.fleet.ramp
        if ramp is None or now - self.probed_at < ramp.settings.turn:
            return
        self.probed_at = now
        count = self.fleet.settings.dispatchers
        for engine, young in ramp.young.items():
            if not young.proven:
                first = first_prober(engine, now - self.started, count, ramp.settings.turn)
                if first == self.number:
                    self.counters.add("first_probes")
                    self.probe(engine)

    def _arm(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.clock.call_in(max(self.fleet.next_at() - self.clock.now(), 0.0) + 0.5, self._step)

    def _carry_out(self, actions: Iterable[Action]) -> None:
        for action in actions:
            match action:
                case Say(member, data):
                    self.say(member, data)
                case Bound(work, until):
                    self.push(EngineQuotas(work, until))
                case Priced(price, until, cooldown):
                    if price is None:
                        self.push(AdmissionThreshold())
                    else:
                        steps = density(price.step), density(price.step + 1)
                        self.push(AdmissionThreshold(*steps, price.share, until, cooldown))
                case Turn(zone, phase, why):
                    self.counters.add(f"zones_{phase.value}")
                    self.note("zone", zone=zone, phase=phase.value, why=why)


def _data_set(tables: int) -> str:
    return str(tables) if tables >= 0 else ""


def _ref(attempt: Attempt) -> str:
    return f"{attempt.query}/{attempt.number}"
