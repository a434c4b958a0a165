"""A rolling swap of engines in virtual time: dispatchers that send, drain, tell and restart, with faults.

It adds engines and requests to the swap's model (swap.py); all are loads, since others may be repeated. One
runs at its engine until it ends, its dispatcher dies, or the engine is powered off, which operators do once
they read that it is out. What must never happen is checked from outside, by what the engines got. Times are
ms.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from cottonhold.emulator.rolling_replacement import JOIN, TICK, Host, Trouble, World
from cottonhold.fleet.engine_drain import (
    CheckLiveness,
    DrainSettings,
    EngineDrains,
    SendReport,
    StartupGate,
    is_new_process,
)
from cottonhold.fleet.rolling_replacement.plan import (
    Machine,
    MachineFlag,
    MachineRecord,
    ReplacementStep,
    machine_id,
    register_name,
)
from cottonhold.fleet.rolling_replacement.plan_codec import decode_record
from cottonhold.fleet.rolling_replacement.step_decision import Action, Drain, ReadyToPowerOff, Undrain

SETTINGS = DrainSettings()
ANSWER = 15.0  # a probe's way there and back
ENDS = 0.35  # of the requests at an engine end in a tick
COLD = 1500.0  # until a new engine takes its full part
AGAIN = 15_000.0  # until operators read that an engine is there still, though they have changed it


@dataclass(slots=True, eq=False)
class Engine:
    """An engine, with the requests that run there by the life of the dispatcher that sent them."""

    name: str
    zone: str
    cores: float = 16.0
    up: bool = True
    began: float = 0.0
    out: dict[tuple[str, int], int] = field(default_factory=dict)
    got: int = 0


@dataclass(slots=True, eq=False)
class Side:
    """What a dispatcher's process knows of engines."""

    drains: EngineDrains
    settled: StartupGate
    held: set[str] = field(default_factory=set)
    waits: bool = True


class EngineWorld(World):
    """Dispatchers d0, d1, ... and engines x0, x1, x2, one a zone. pull: ms from Ready until an engine is
    powered off; back: from then on until the hardware comes."""

    def __init__(
        self,
        seed: int,
        count: int = 4,
        trouble: Trouble | None = None,
        pull: float = 400.0,
        back: float = 8000.0,
    ) -> None:
        self.engines = {f"x{i}": Engine(f"x{i}", "abc"[i]) for i in range(3)}
        self.listed = dict(self.engines)
        self.sides: dict[str, Side] = {}
        self.booted: dict[str, float] = {}
        self.pull, self.back, self.loses = pull, back, set[tuple[str, str]]()
        super().__init__(seed, count, trouble)

    # --- dispatchers ---

    def _boot(self, host: Host) -> None:
        super()._boot(host)
        members = [machine_id(f"d{i}") for i in range(self.count)]
        drains = EngineDrains(machine_id(host.name), host.life, self.now, SETTINGS, members)
        self.sides[host.name] = Side(drains, StartupGate(self.now, SETTINGS))
        self.booted[host.name] = self.now

    def _seen(self, host: Host) -> list[Machine]:
        side, swap = self.sides[host.name], host.swap
        assert swap is not None
        if side.settled.check_pause(self.now):
            swap.on_pause(self.now)
            side.waits = True
        serving = self.listed.keys() - side.held
        side.drains.set_listed_engines(
            {n: Machine(n, e.zone, e.cores, True, is_counted=n in serving) for n, e in self.listed.items()}
        )
        return [*side.drains.present_engines(swap.view.records), *super()._seen(host)]

    def _feed(self, host: Host) -> None:
        super()._feed(host)
        side, swap = self.sides[host.name], host.swap
        assert swap is not None
        for name, record in self._records(host).items():
            swap.set_open_requests(self.now, name, side.drains.open_requests(self.now, name, record.serial))
            engine = self.engines.get(record.replacement)
            if engine is not None and record.step in (ReplacementStep.IN_PLACE, ReplacementStep.RAMPING):
                swap.set_traffic_share(
                    self.now, record.replacement, 1.0 if self.now - engine.began > COLD else 0.3
                )
        self._send(host)

    def _records(self, host: Host) -> Mapping[str, MachineRecord]:
        assert host.swap is not None
        return {n: r for n, r in host.swap.view.records.items() if r.has_flag(MachineFlag.ENGINE)}

    def _step(self, host: Host) -> None:
        super()._step(host)
        side, swap = self.sides[host.name], host.swap
        assert swap is not None
        there = [h for h in self.hosts.values() if self.linked.get((host.name, h.name), -1.0) > 0]
        # A life that has just begun is not told yet: others still take it for the one before.
        lives = {
            machine_id(h.name): h.life - (self.now - self.booted[h.name] < JOIN)
            for h in there
            if h is not host
        }
        side.drains.set_live_members(self.now, lives)
        if side.waits:
            side.waits = not side.settled.step(self.now, swap.has_read_all(), self.majority(host))
        for name in side.drains.drained:
            side.drains.set_open_requests(name, self._out(host, name))
        for action in side.drains.step(self.now, swap.view.records):
            if isinstance(action, CheckLiveness):
                self._knock(host, action.engine)
            else:
                self._tell_drains(action)

    def _act(self, host: Host, action: Action) -> None:
        if isinstance(action, Drain | Undrain) and action.machine in self.engines:
            side, engine = self.sides[host.name], action.machine
            record = self._records(host).get(engine)
            if isinstance(action, Undrain):
                side.held.discard(engine)
                side.drains.undrain(engine)
                assert record is None or is_new_process(record) or record.arrived_cores_tenths == 0
            elif record is not None:
                side.held.add(engine)
                side.drains.drain(engine, record.serial, self._out(host, engine))
        elif isinstance(action, ReadyToPowerOff) and action.machine in self.engines:
            self._effect(host, action.machine, action.epoch)
            self._off(action.machine)
        else:
            super()._act(host, action)

    def _tell_drains(self, action: SendReport) -> None:
        host = next((h for h in self.hosts.values() if machine_id(h.name) == action.member), None)
        if host is None:
            return
        life, side = host.life, self.sides[host.name]
        copies = [0.0] if self.draw.random() >= self.trouble.loss else []
        copies += [3000.0 * self.draw.random()] if self.draw.random() < self.trouble.twice else []
        for late in copies:
            wait = late + self.trouble.delay * (0.2 + self.draw.random())
            self.at(self.now + wait, lambda: self._to(host, life, lambda: hear(self, side, action.payload)))

    def _knock(self, host: Host, name: str) -> None:
        engine, life = self.listed.get(name), host.life
        good = engine is not None and engine.up and (host.name, name) not in self.loses

        def end() -> None:
            self.sides[host.name].drains.on_liveness_check(name, good)

        self.at(self.now + ANSWER, lambda: self._to(host, life, end))

    # --- requests ---

    def _out(self, host: Host, name: str) -> int:
        return self.engines[name].out.get((host.name, host.life), 0)

    def _send(self, host: Host) -> None:
        side = self.sides[host.name]
        for name, engine in self.listed.items():
            if side.waits or name in side.held or (host.name, name) in self.loses:
                continue
            record = self.record(name)
            if record is not None and record.step is ReplacementStep.OUT:
                self.breach(f"{host.name} sends to {name}, which is out")
            if engine.up:
                engine.out[host.name, host.life] = self._out(host, name) + self.draw.randint(0, 1)
                engine.got += 1

    def _tick(self) -> None:
        for engine in self.engines.values():
            for key in list(engine.out):
                host = self.hosts[key[0]]
                if not host.up or host.life != key[1]:
                    del engine.out[key]  # its connections have ended
                elif self.draw.random() < ENDS:
                    engine.out[key] = max(engine.out[key] - 2, 0)
        super()._tick()

    # --- operators ---

    def _off(self, name: str) -> None:
        if name in self.ordered:
            return
        self.ordered.add(name)
        self.at(self.now + self.pull, lambda: self._pull(name))

    def _pull(self, name: str) -> None:
        """An engine is powered off, if it still is out, and the new one comes in its place."""
        record, engine = self.record(name), self.engines[name]
        if record is None or record.step is not ReplacementStep.OUT or record.has_flag(MachineFlag.ABORTING):
            self.ordered.discard(name)
            return
        if running := sum(engine.out.values()):
            self.breach(f"{running} requests break as {name} is powered off")
        engine.up = False
        engine.out.clear()
        self.at(self.now + self.back, lambda: self._place(engine, record.replacement))

    def again(self, name: str) -> None:
        """Operators read that an engine which is out is still there: it is switched off and on."""
        record, engine = self.record(name), self.engines[name]
        if (
            record is not None
            and record.step is ReplacementStep.OUT
            and not record.has_flag(MachineFlag.WAS_AWAY)
            and engine.up
        ):
            self._pull(name)

    def _place(self, old: Engine, new: str) -> None:
        cores = self.sizes.get(old.name, old.cores)
        if new == old.name:
            old.up, old.began, old.cores = True, self.now, cores
            self.at(self.now + AGAIN, lambda: self.again(new))
        else:
            self.listed.pop(old.name, None)
            self.engines[new] = self.listed[new] = Engine(new, old.zone, cores, True, self.now)

    # --- what must never happen ---

    def _check(self, name: str, before: bytes, after: bytes) -> None:
        machine = next((m for m in self.engines if register_name(m) == name), "")
        record, old = decode_record(after) if machine else None, decode_record(before) if machine else None
        if record is None:
            super()._check(name, before, after)
            return
        if old is None or old.step is not record.step:
            self.steps_seen.setdefault(machine, []).append(record.step)
            if (
                record.step is ReplacementStep.OUT
                and record.arrived_cores_tenths == 0
                and (old is None or old.step is ReplacementStep.DRAINING)
            ):
                for (host, life), count in self.engines[machine].out.items():
                    if count and self.hosts[host].up and self.hosts[host].life == life:
                        self.breach(f"{machine} is OUT with {count} requests of {host}")
            if (
                record.step is ReplacementStep.IN_PLACE
                and not record.has_flag(MachineFlag.ABORTING)
                and not self._came(record)
            ):
                self.breach(f"{machine} is IN_PLACE, and nobody has put a new one there")
        for hook in self.hooks:
            hook(machine, record)

    def _came(self, record: MachineRecord) -> bool:
        new = self.engines.get(record.replacement)
        return new is not None and new.up and new.began > 0

    def at_end(self, *names: str) -> None:
        """At the end of a swap: none is held back that should serve, and each that is in place got work."""
        before = {name: engine.got for name, engine in self.engines.items()}
        self.run(self.now + 100 * TICK)
        for name in names:
            record = self.record(name)
            if record is None or not record.is_over:
                self.breach(f"{name} is not at its end")
                continue
            there = record.replacement if record.step is ReplacementStep.DONE else name
            there = there if there in self.listed else record.replacement
            if there in self.engines and self.engines[there].got == before.get(there, 0):
                self.breach(f"{there} gets nothing after the end")


def world_of(seed: int, trouble: Trouble | None = None, **given: Any) -> EngineWorld:
    """A fleet that serves."""
    world = EngineWorld(seed, trouble=trouble, **given)
    world.run(2500.0 + seed % 100)
    return world


def hear(world: EngineWorld, side: Side, data: bytes) -> None:
    """A word has come."""
    side.drains.on_message(world.now, data)
