"""The rim of engines' swaps: holds them back from the list, counts, asks them for a sign of life. Decides
nothing."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any, Protocol

from cottonhold.backend.connection_pool import EngineConnections
from cottonhold.discovery.model import EngineListChange
from cottonhold.discovery.quarantine import Quarantine
from cottonhold.fleet.coordinator import FleetCoordinator
from cottonhold.fleet.engine_drain import DRAINS, Drains, DrainSettings, Kept, Knock, Settled, Tell, fresh
from cottonhold.fleet.rolling_replacement import step_decision
from cottonhold.fleet.rolling_replacement.coordinator import Swap
from cottonhold.fleet.rolling_replacement.plan import Flag, Machine, Record, Step
from cottonhold.fleet_adapters.membership import MembershipAdapter
from cottonhold.fleet_adapters.recovery import BOOT_STEP, LIFE_BASE, incarnation_of
from cottonhold.fleet_adapters.write_queue import OrderedWriteQueue
from cottonhold.membership.codec import member_id
from cottonhold.node.dispatcher import Logs
from cottonhold.observe.counters import Counters
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import RecordKind


class Listed(Protocol):
    """The dispatcher, as far as engines of its list go."""

    held: Quarantine
    engines: EngineConnections
    counters: Counters
    log: Logs

    def listed(self) -> dict[str, Machine]:
        """All engines of the list."""

    def republish(self, change: EngineListChange | None) -> None:
        """Publish what is held back now."""


class DrainRim:
    """Feeds one instance's drains, and carries out what they say."""

    def __init__(
        self,
        owner: Listed,
        ledger: Ledger,
        membership: MembershipAdapter,
        fleet: FleetCoordinator,
        voters: Iterable[str],
        hop: Callable[[Callable[[], None]], object],
    ) -> None:
        self.owner, self.ledger, self.membership, self.fleet = owner, ledger, membership, fleet
        self.records = OrderedWriteQueue(ledger, hop, membership.clock.call_in)
        self.swim, self.clock = membership.instance.swim, membership.clock
        swim, self.voters = self.swim, {member_id(name) for name in voters}
        now, settings = self.clock.now(), DrainSettings()
        self.drains = Drains(swim.id, incarnation_of(ledger), now, settings, self.voters)
        self.settled = Settled(now, settings)
        self.kept = Kept(ledger.records(RecordKind.ENGINE_DRAIN))
        self.writing: dict[str, Record] = {}  # drains that the disk doesn't have yet
        for engine in self.kept.before:
            owner.republish(owner.held.hold(engine))

    def told(self, payload: bytes) -> bool:
        """Whether bytes from another instance are a word on drained engines."""
        if not payload or payload[0] != DRAINS:
            return False
        self.drains.hear(self.clock.now(), payload)
        return True

    def knows(self) -> bool:
        """Whether it is known here which engines are drained, so that loads may go out."""
        return self.settled.over

    def machines(self, now: float, swap: Swap) -> list[Machine]:
        """Engines as they are there now; called first in each step."""
        if self.settled.stood(now):
            swap.unsettle(now)
        self.drains.list_is(self.owner.listed())
        return self.drains.there(swap.scene.chain)

    def tell(self, now: float, swap: Swap) -> None:
        """What is open at engines that are swapped, and how far new ones are."""
        ramp = self.fleet.slow_start
        for zone in swap.scene.zones.keys() - self.fleet.evacuation.states.keys():
            swap.zone(now, zone, "")  # its last engine is held: nothing is told of its trouble any more
        for name, record in _engines(swap).items():
            swap.open_left(now, name, self.drains.open(now, name, record.serial))
            if ramp is not None and record.step in (Step.IN_PLACE, Step.RAMPING):
                swap.pace(now, record.new, ramp.share(record.new) if record.new in ramp.engines else 0.0)

    def act(self, now: float, swap: Swap, action: step_decision.Drain | step_decision.Undrain) -> None:
        """Nothing new goes to an engine, or the way back."""
        engine, record = action.machine, swap.scene.chain.get(action.machine)
        if isinstance(action, step_decision.Drain):
            if record is not None:
                self.owner.counters.add("engine_drains")
                self.owner.republish(self.owner.held.hold(engine))
                self._keep(engine, record)
            return
        self.writing.pop(engine, None)
        self.drains.undrain(engine)
        self._free(now, engine, record)

    def step(self, now: float, swap: Swap) -> None:
        """Tell drivers, and ask engines that are out."""
        drains, live = self.drains, set(self.swim.live_members())
        drains.life = incarnation_of(self.ledger)
        lives = {id: _life(m.incarnation) for id, m in self.swim.members.items() if id in live}
        drains.members(now, lives)
        self._settle(now, swap, live)
        for engine in drains.drained:
            drains.count(engine, self.owner.engines.attempts_in_flight(engine))
        for action in drains.step(now, swap.scene.chain):
            match action:
                case Tell(member, data):
                    self.membership.send_payload(member, data)
                case Knock(engine):
                    if not self.owner.engines.check_liveness(engine, self._probed(engine)):
                        drains.probed(engine, False)

    def row(self, now: float, swap: Swap, engine: str) -> dict[str, Any]:
        """What operators are told of an engine's swap beside its step; nothing of a dispatcher's."""
        record = swap.scene.chain.get(engine)
        if record is None or not record.has(Flag.ENGINE):
            return {}
        names = {self.swim.id: self.swim.name, **{m.id: m.name for m in self.swim.members.values()}}
        counts = record.driver == self.swim.id and record.step is Step.DRAINING
        untold = self.drains.untold(now, engine, record.serial) if counts else set[int]()
        return {
            "ready": record.step is Step.OUT and not record.has(Flag.ABORT),
            "drained": engine in self.drains.drained,
            "away": record.has(Flag.AWAY),
            "open": self.drains.open(now, engine, record.serial) if counts else None,
            "untold": sorted(names.get(m, f"{m:x}") for m in untold),
        }

    def _keep(self, engine: str, record: Record) -> None:
        """It counts as drained here once the disk has it, or can't have it now."""

        def told() -> None:
            if self.writing.get(engine) is record:
                del self.writing[engine]
                self.drains.drain(engine, record.serial, self.owner.engines.attempts_in_flight(engine))

        self.writing[engine] = record
        if not (records := self.kept.drain(engine)):
            told()
        for record_of in records:
            # Danger: not put again once the disk was well, a drain was forgotten by the next restart, and its
            # engine got requests while it was powered off.
            self.records.put(record_of, told, told)

    def _free(self, now: float, engine: str, record: Record | None) -> None:
        for record_of in self.kept.undrain(engine):
            self.records.put(record_of)
        self.owner.republish(self.owner.held.release(engine, now if fresh(record) else 0.0))

    def _settle(self, now: float, swap: Swap, live: set[int]) -> None:
        if not self.settled.over:
            majority = 2 * len(self.voters & live) > len(self.voters)
            if self.settled.step(now, swap.settled(), majority):
                after = round(now - self.settled.began)
                over = self.kept.settle(swap.drained)
                for engine in over:
                    self._free(now, engine, swap.scene.chain.get(engine))
                words = {"read": swap.settled(), "drained": len(swap.drained), "over": ",".join(over)}
                self.owner.log.note("drains_known", after_ms=after, **words)

    def _probed(self, engine: str) -> Callable[[bool], None]:
        return lambda good: self.drains.probed(engine, good)


def _engines(swap: Swap) -> Mapping[str, Record]:
    return {name: r for name, r in swap.scene.chain.items() if r.has(Flag.ENGINE)}


def _life(incarnation: int) -> int:
    """The least life of a member's words, by the boot that its incarnation began with; see recovery.py."""
    return LIFE_BASE + incarnation // BOOT_STEP & 0xFFFFFFFF
