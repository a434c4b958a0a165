"""A rolling swap in virtual time: dispatchers with a register over their majority, faults between them.

A model: a register is one true value that an operation reaches if its instance is linked to a majority of the
voters at that moment, late, twice and with its answer lost as the seed draws; pins and open requests are
counts; operators power a machine off once they are told that they may. What must never happen is checked at
each change and each effect, from outside; breaches are collected. One seed replays the whole run. Times are
ms.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from cottonhold.fleet.consensus.actions import ChangeRegister, ReadRegister
from cottonhold.fleet.rolling_replacement.coordinator import ReplacementCoordinator
from cottonhold.fleet.rolling_replacement.machine_driver import ReplacementSettings
from cottonhold.fleet.rolling_replacement.plan import (
    FINAL_STEPS,
    PLAN_REGISTER,
    Machine,
    MachineRecord,
    MachineRequest,
    ReplacementPlan,
    ReplacementRequest,
    ReplacementStep,
    machine_id,
    register_name,
)
from cottonhold.fleet.rolling_replacement.plan_codec import decode_plan, decode_record
from cottonhold.fleet.rolling_replacement.step_decision import (
    Action,
    Drain,
    LogStep,
    MoveKeys,
    ReadyToPowerOff,
    RequestAnswered,
    StepSettings,
    Undrain,
)

NOTICE = 1200.0  # until membership tells of a death
JOIN = 300.0  # until it tells of one that has come
TICK = 50.0
PATIENCE = 5000.0  # of the registers
PINS = 350
TOLD = 500.0  # what is told of zones has reached all by then
BUSY = frozenset(
    {
        ReplacementStep.MOVING,
        ReplacementStep.DRAINING,
        ReplacementStep.OUT,
        ReplacementStep.IN_PLACE,
        ReplacementStep.RAMPING,
    }
)


@dataclass(slots=True, eq=False)
class Host:
    """One machine with its dispatcher."""

    name: str
    zone: str
    cores: float
    life: int = 1
    up: bool = True
    stopped_until: float = 0.0
    votes_from: float = 0.0
    drained: bool = False
    pins: int = 0
    open: int = 3
    place: bool = True  # in the table of owners; a drained one leaves it once its pins are gone
    swap: ReplacementCoordinator | None = None
    waiting: list[Callable[[], None]] = field(default_factory=list)


@dataclass(slots=True, frozen=True)
class Trouble:
    """What goes wrong beside the faults of a scenario. loss: of messages; twice: operations carried out
    again; delay: of each way, at most."""

    loss: float = 0.0
    twice: float = 0.0
    delay: float = 20.0


class World:
    """Dispatchers d0, d1, ... in zones a, b, c. hardware: when the new machine of an old one is there, after
    Ready; nothing: never. sizes: cores of a new machine where they differ."""

    def __init__(
        self,
        seed: int,
        count: int = 8,
        trouble: Trouble | None = None,
        hardware: Callable[[str], float | None] | None = None,
        sizes: Mapping[str, float] | None = None,
        empty: float = 1500.0,
        bearable: Callable[[Mapping[str, float]], list[str]] | None = None,
        settings: ReplacementSettings | None = None,
    ) -> None:
        self.draw, self.now, self.trouble = random.Random(seed), 0.0, trouble or Trouble()
        self.count, self.bearable, self.empty = count, bearable, empty
        self.settings = settings or ReplacementSettings(
            voters=count,
            steps=StepSettings(step_timeout_ms=60_000.0, arrival_timeout_ms=10_000.0, ramp_ms=1000.0),
        )
        self.hardware = hardware or (lambda name: 500.0 + 1500.0 * self.draw.random())
        self.sizes = dict(sizes or {})
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.serial = itertools.count()
        self.registers: dict[str, tuple[int, bytes]] = {}
        self.hosts = {f"d{i}": Host(f"d{i}", "abc"[i % 3], 8.0, pins=PINS) for i in range(count)}
        self.groups: dict[str, int] = {}  # partition of each host
        self.linked: dict[
            tuple[str, str], float
        ] = {}  # since when, or (negative) until when, two see each other
        self.zones: dict[str, tuple[str, float]] = {}  # zone -> trouble, since
        self.ups: list[tuple[float, frozenset[str]]] = []  # which voters were up
        self.driven: dict[
            str, tuple[int, str]
        ] = {}  # machine -> newest epoch that had an effect, and by whom
        self.orphans: dict[str, float] = {}  # machine -> since when its driver is dead
        self.takeovers: list[float] = []
        self.gone: set[str] = set()  # hosts that are to stay off
        self.ordered: set[str] = set()
        self.breaches: list[str] = []
        self.answers: list[RequestAnswered] = []
        self.says: list[tuple[float, str, LogStep]] = []
        self.steps_seen: dict[str, list[ReplacementStep]] = {}
        self.hooks: list[
            Callable[[str, MachineRecord], None]
        ] = []  # called after each change of a machine's register
        self.on_move: list[Callable[[str, MoveKeys], None]] = []
        for host in self.hosts.values():
            self._boot(host)
        self.at(0.0, self._tick)

    # --- running ---

    def at(self, when: float, do: Callable[[], None]) -> None:
        """Do something then."""
        heapq.heappush(self.events, (when, next(self.serial), do))

    def run(self, until: float) -> None:
        """Let time pass."""
        while self.events and self.events[0][0] <= until:
            self.now, _, do = heapq.heappop(self.events)
            do()
        self.now = until

    def run_until(self, done: Callable[[], bool], most: float) -> bool:
        """Let time pass until something holds; whether it did in time."""
        end = self.now + most
        while self.now < end and not done():
            self.run(self.now + 100.0)
        return done()

    def running(self, host: Host) -> bool:
        """Powered, and not stopped."""
        return host.up and host.stopped_until <= self.now

    def _boot(self, host: Host) -> None:
        seed = self.draw.getrandbits(40)
        host.swap = ReplacementCoordinator(host.name, self.now, self.settings, seed, self.bearable)
        host.drained, host.open = False, 3
        for zone, (trouble, _) in self.zones.items():
            host.swap.set_zone_trouble(self.now, zone, trouble)

    def _tick(self) -> None:
        self.at(self.now + TICK, self._tick)
        for a, b in itertools.permutations(self.hosts.values(), 2):
            up = self.running(b) and self.joined(a.name, b.name)
            since = self.linked.get((a.name, b.name), -1e9 if self.now else 1.0)
            if up != (since > 0):
                self.linked[a.name, b.name] = max(self.now, 1.0) if up else -max(self.now, 1.0)
        for host in list(self.hosts.values()):
            if host.drained or self.draw.random() < 0.3:
                host.open = max(host.open - 1, 0) if host.drained else self.draw.randint(0, 4)
            leaves = host.drained and not host.pins or not host.up
            host.place = self.draw.random() < 0.7 and host.place if leaves else True
            if self.running(host):
                self._feed(host)
                self._step(host)
        voters = frozenset(h.name for h in self.hosts.values() if self.votes(h) and self.running(h))
        self.ups.append((self.now, voters))
        self._watch_orphans()

    def joined(self, a: str, b: str) -> bool:
        """Not parted from each other."""
        return self.groups.get(a, 0) == self.groups.get(b, 0)

    def votes(self, host: Host) -> bool:
        """Its memory is whole."""
        return host.votes_from <= self.now

    def majority(self, host: Host) -> bool:
        """Linked to more than half of the voters."""
        there = [h for h in self.hosts.values() if self.running(h) and self.votes(h)]
        return 2 * sum(self.joined(host.name, h.name) for h in there) > self.count

    def _seen(self, host: Host) -> list[Machine]:
        found = []
        for other in self.hosts.values():
            since = self.linked.get((host.name, other.name), -1e9)
            here = since > 0 and (self.now - since >= JOIN or since <= 1.0)
            here = here or -NOTICE < self.now + since < NOTICE and since < 0
            if other is host or here:
                found.append(
                    Machine(other.name, other.zone, other.cores, False, other.life, True, self.votes(other))
                )
        return found

    def _feed(self, host: Host) -> None:
        assert host.swap is not None
        host.swap.set_machines(self.now, self._seen(host))
        host.swap.set_open_requests(self.now, host.name, host.open)
        if self.majority(host):
            for other in self.hosts.values():
                if self.joined(host.name, other.name) or not other.up:
                    record = host.swap.view.records.get(other.name)
                    drains = record is not None and record.step is ReplacementStep.DRAINING
                    host.swap.set_remaining_keys(self.now, other.name, other.pins + (drains and other.place))

    def _step(self, host: Host) -> None:
        assert host.swap is not None
        for action in host.swap.step(self.now):
            self._act(host, action)

    def _to(self, host: Host, life: int, do: Callable[[], None]) -> None:
        """Something reaches a host's process, if that is still there; later, if it is stopped."""
        if host.up and host.life == life:
            if host.stopped_until > self.now:
                host.waiting.append(do)
            else:
                do()

    # --- actions ---

    def _act(self, host: Host, action: Action) -> None:
        if isinstance(action, ChangeRegister | ReadRegister):
            self._operate(host, action)
        elif isinstance(action, MoveKeys):
            self._effect(host, action.machine, action.epoch)
            for hook in self.on_move:
                hook(host.name, action)
            self.at(self.now + 50.0, lambda: self._moved(action))
        elif isinstance(action, Drain):
            host.drained = True
        elif isinstance(action, Undrain):
            host.drained = False
        elif isinstance(action, ReadyToPowerOff):
            if host.name != action.machine:
                self._effect(host, action.machine, action.epoch)
            self._ready(action.machine)
        elif isinstance(action, RequestAnswered):
            self.answers.append(action)
        else:
            self.says.append((self.now, host.name, action))

    def _operate(self, host: Host, action: ChangeRegister | ReadRegister) -> None:
        """An operation is sent again until it gets through, or its patience is over."""
        t, draw, life, asked = self.trouble, self.draw, host.life, self.now
        swap = host.swap
        assert swap is not None

        def answer(won: bool | None, version: int, value: bytes) -> None:
            if host.swap is swap:
                swap.on_outcome(self.now, action.token, won, version, value)

        def attempt() -> None:
            if not (host.up and host.life == life):
                return
            if self.now - asked > PATIENCE:
                self._to(host, life, lambda: answer(None, -1, b""))
            elif not self.majority(host) or draw.random() < t.loss * t.loss * 2:
                self.at(self.now + 80.0, attempt)
            else:
                won, version, value = self._apply(action)
                if draw.random() < t.twice:
                    self.at(self.now + 3 * t.delay * draw.random(), lambda: void(self._apply(action)))
                if draw.random() < t.loss / 30:  # its end is never heard
                    self.at(asked + PATIENCE, lambda: self._to(host, life, lambda: answer(None, -1, b"")))
                else:
                    late = t.delay * (0.2 + draw.random())
                    self.at(
                        self.now + late, lambda: self._to(host, life, lambda: answer(won, version, value))
                    )

        self.at(self.now + t.delay * (0.2 + draw.random()), attempt)

    def _apply(self, action: ChangeRegister | ReadRegister) -> tuple[bool, int, bytes]:
        version, value = self.registers.get(action.name, (0, b""))
        if isinstance(action, ReadRegister):
            return True, version, value
        if action.version != version:
            return False, version, value
        self.registers[action.name] = version + 1, action.value
        self._check(action.name, value, action.value)
        for host in self.hosts.values():
            if self.draw.random() >= self.trouble.loss:
                self._tell(host, action.name, version + 1, action.value)
        return True, version + 1, action.value

    def _tell(self, host: Host, name: str, version: int, value: bytes) -> None:
        life, swap = host.life, host.swap
        assert swap is not None

        def hear() -> None:
            if host.swap is swap and self.majority(host):
                swap.on_register_changed(self.now, name, version, value)

        wait = self.trouble.delay * 2 * self.draw.random()
        self.at(self.now + wait, lambda: self._to(host, life, hear))

    def _moved(self, action: MoveKeys) -> None:
        source, target = self.hosts[action.machine], self.hosts.get(action.target)
        if action.epoch < self.driven[action.machine][0] or target is None or not target.up:
            return  # fenced, or nobody takes them
        if self.draw.random() >= self.trouble.loss:
            count = min(action.max_keys, source.pins)
            source.pins, target.pins = source.pins - count, target.pins + count

    def _ready(self, machine: str) -> None:
        """Operators power it off, and put the new one in its place."""
        if machine in self.ordered:
            return
        record = self.record(machine)
        self.ordered.add(machine)
        if record is None or record.step is not ReplacementStep.OUT:
            self.ordered.discard(machine)
            return
        host, wait = self.hosts[machine], self.hardware(machine)
        self.at(self.now + 200.0, lambda: self.kill(machine))
        self.gone.add(machine)
        if wait is not None:
            self.at(self.now + 200.0 + wait, lambda: self.place(host, record.replacement))

    def place(self, host: Host, new: str) -> None:
        """A new machine, with an empty folder, in the place of an old one."""
        cores = self.sizes.get(host.name, host.cores)
        self.gone.discard(new)
        if new == host.name:
            host.cores, host.votes_from = cores, self.now + self.empty
            self.start(new)
            return
        fresh = self.hosts[new] = Host(new, host.zone, cores)
        fresh.votes_from = self.now + self.empty
        self.groups[new] = self.groups.get(host.name, 0)
        self._boot(fresh)

    # --- faults ---

    def kill(self, name: str) -> None:
        """A process ends at once; what it had on disk stays."""
        self.hosts[name].up = False
        self.hosts[name].waiting.clear()

    def start(self, name: str) -> None:
        """It is started again."""
        host = self.hosts[name]
        if name not in self.gone:
            host.up, host.life, host.stopped_until = True, host.life + 1, 0.0
            self._boot(host)

    def stop(self, name: str, last: float) -> None:
        """It stands still for a while, and goes on with what it believed, before it hears anything."""
        host, life = self.hosts[name], self.hosts[name].life
        host.stopped_until = self.now + last

        def go_on() -> None:
            if host.up and host.life == life:
                assert host.swap is not None
                host.swap.next_step_at = self.now
                self._step(host)
                waiting, host.waiting = host.waiting, []
                for do in waiting:
                    do()

        self.at(self.now + last, go_on)

    def power_cut(self, back: float) -> None:
        """All end at once, and come back one after another."""
        for i, name in enumerate(n for n, h in self.hosts.items() if h.up):
            self.kill(name)
            self.at(self.now + back + 300.0 * i, lambda name=name: self.start(name))  # type: ignore[misc]

    def part(self, *sizes: int) -> None:
        """The dispatchers fall apart into groups of these sizes; none: they meet again."""
        groups = [i for i, size in enumerate(sizes) for _ in range(size)]
        self.groups = dict(zip(self.hosts, groups, strict=False))

    def zone_trouble(self, zone: str, trouble: str) -> None:
        """A zone is left or returns, as all are told; nothing: it is as usual again."""
        if trouble:
            self.zones[zone] = trouble, self.now
        else:
            self.zones.pop(zone, None)
        for host in self.hosts.values():
            assert host.swap is not None
            host.swap.set_zone_trouble(self.now, zone, trouble)

    # --- what is so ---

    def ask(self, at: str, who: str, *machines: MachineRequest, most_out: int = 1, zones: int = 1) -> None:
        """A request at one of them."""
        swap = self.hosts[at].swap
        assert swap is not None
        swap.request(self.now, ReplacementRequest(who, machines, most_out, zones))

    def whole(self) -> ReplacementPlan:
        """What `swap` holds."""
        return decode_plan(self.registers.get(PLAN_REGISTER, (0, b""))[1])

    def record(self, machine: str) -> MachineRecord | None:
        """What a machine's register holds."""
        return decode_record(self.registers.get(register_name(machine), (0, b""))[1])

    def over(self, *machines: str) -> bool:
        """All of these have come to their end."""
        records = [self.record(m) for m in machines]
        return all(r is not None and r.is_over for r in records) and not self.whole().active_machine_ids

    def driver(self, machine: str) -> str:
        """Who drives a machine's swap."""
        record = self.record(machine)
        names = {machine_id(name): name for name in self.hosts}
        return names.get(record.driver, "") if record is not None else ""

    # --- what must never happen ---

    def breach(self, what: str) -> None:
        """Note that a rule was broken."""
        self.breaches.append(f"{self.now:.0f}: {what}")

    def _effect(self, host: Host, machine: str, epoch: int) -> None:
        known = self.driven.get(machine, (-1, ""))
        if epoch < known[0]:
            self.breach(f"{host.name} acts on {machine} under epoch {epoch} after {known[0]}")
        if epoch == known[0] and host.name != known[1]:
            self.breach(f"{host.name} and {known[1]} act on {machine} under epoch {epoch}")
        self.driven[machine] = max(known, (epoch, host.name))

    def _check(self, name: str, before: bytes, after: bytes) -> None:
        if name == PLAN_REGISTER:
            old, new = decode_plan(before), decode_plan(after)
            for begun in set(new.active_machine_ids) - set(old.active_machine_ids):
                if any(self.now - since > TOLD for _, since in self.zones.values()):
                    self.breach(f"{begun:x} starts while {sorted(self.zones)} is in trouble")
            return
        record, old_record = decode_record(after), decode_record(before)
        assert record is not None
        machine = next((m for m in self.hosts if register_name(m) == name), "")
        is_new_epoch = old_record is not None and old_record.epoch != record.epoch
        if is_new_epoch and machine in self.orphans:
            self.takeovers.append(self.now - self.orphans.pop(machine))
        if old_record is None or old_record.step is not record.step:
            self.steps_seen.setdefault(machine, []).append(record.step)
            self._check_step(machine, record)
        for hook in self.hooks:
            hook(machine, record)

    def _check_step(self, machine: str, record: MachineRecord) -> None:
        whole = self.whole()
        records = {m: self.record(m) for m in self.hosts}
        busy = [m for m, r in records.items() if r is not None and r.step in BUSY]
        if len(busy) > whole.max_concurrent:
            self.breach(f"{busy} are out, at most {whole.max_concurrent} may be")
        if len({self.hosts[m].zone for m in busy}) > whole.max_zones:
            self.breach(f"{busy} are out, in more than {whole.max_zones} zones")
        if record.step in (ReplacementStep.DRAINING, ReplacementStep.OUT) and self.hosts[machine].pins:
            self.breach(f"{machine} is {record.step.name} with {self.hosts[machine].pins} pins")
        if record.step is ReplacementStep.OUT and self.hosts[machine].place:
            self.breach(f"{machine} goes out with its place in the table")
        if record.step is ReplacementStep.OUT:
            # A fault in the last moments is no step's fault: it can't have been heard of.
            out = {m for m, r in records.items() if r is not None and r.step is ReplacementStep.OUT} | {
                machine
            }
            lately = [up - out for t, up in self.ups[-40:] if t > self.now - 1.5 * NOTICE]
            if lately and max(map(len, lately)) <= self.count // 2:
                self.breach(f"{machine} goes out and leaves {max(map(len, lately))} of {self.count} voters")

    def _watch_orphans(self) -> None:
        for machine in self.hosts:
            record = self.record(machine)
            if record is None or record.step not in BUSY:
                self.orphans.pop(machine, None)
                continue
            driver = next((h for n, h in self.hosts.items() if machine_id(n) == record.driver), None)
            if driver is not None and not self.running(driver):
                self.orphans.setdefault(machine, self.now)
            else:
                self.orphans.pop(machine, None)
        if not any(h.swap and self.running(h) and self.majority(h) for h in self.hosts.values()):
            self.orphans.clear()


def void(_: object) -> None:
    """Nothing of it."""


def ended(record: MachineRecord | None) -> bool:
    """Whether a swap has come to its end."""
    return record is not None and record.step in FINAL_STEPS
