"""Carries out what a day's faults say: on processes, links, datagrams, the source of the list, machines."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import subprocess
import time
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any

from cottonhold.emulator.consul.script import ChangeKind, Step
from cottonhold.emulator.fault_injection.links import Link, NetworkPath
from cottonhold.emulator.fault_injection.operators import Operators
from cottonhold.emulator.fault_injection.script import Fault
from cottonhold.emulator.fault_injection.zone_distances import distance_ms, zone_of
from cottonhold.fleet.zone_failover.messages import (
    MemberReport,
    Vote,
    ZoneReport,
    encode_zone_reports,
    zone_number,
)
from cottonhold.membership.codec import Codec, KeyRing, Message, MessageKind, member_id
from cottonhold.node.status import ask

if TYPE_CHECKING:
    from cottonhold.emulator.fault_injection.harness import ScenarioRun

KEY = b"a shared key of the rig"


class Faults:
    """The faults of one run."""

    def __init__(self, trial: ScenarioRun) -> None:
        self.trial = trial
        self.works: list[asyncio.Task[None]] = []  # what goes on beside the day's other faults

    def stop(self) -> None:
        """Nothing further."""
        for work in self.works:
            work.cancel()

    def _work(self, what: Coroutine[Any, Any, None]) -> None:
        self.works.append(asyncio.create_task(what))

    async def apply(self, fault: Fault) -> None:
        """Carry one fault out."""
        verbs: dict[str, Callable[[Fault], Any]] = {
            "link": self._fault_links,
            "door": self._fault_client_links,
            "order": self._order,
            "traits": lambda f: self._each(f, lambda name: self._set_traits(name, f.words)),
            "peers": self._peers,
            "forge": lambda f: self._work(self._lie(f.target, f.words["zone"])),
            "replay": lambda f: self._replay(),
            "source": self._fault_sources,
            "drain": lambda f: self._each(f, lambda name: self._drain("drain", name)),
            "undrain": lambda f: self._each(f, lambda name: self._drain("undrain", name)),
            "power": lambda f: self.power_now(f.target),
            "swap": lambda f: self._work(Operators(self.trial, f.target, f.words).run()),
            "end": self._end,
            "twice": lambda f: self._each(f, self.trial.start_duplicate),
        }
        for verb in ("kill", "start", "stop", "go"):
            verbs[verb] = lambda f: self._each(f, lambda name: self._process(f.verb, name))
        for verb in ("keep", "empty", "old", "disk", "clock"):
            verbs[verb] = lambda f: self._each(
                f, lambda name: self.trial.machines.apply(f.verb, name, f.words)
            )
        done = verbs[fault.verb](fault)
        if asyncio.iscoroutine(done):
            await done

    def _each(self, fault: Fault, act: Callable[[str], None]) -> None:
        for name in self.trial.day.pick(fault.target):
            act(name)

    async def _fault_links(self, fault: Fault) -> None:
        for name in self.trial.day.pick(fault.target):
            for engine in self.trial.day.pick(fault.other):
                if (link := self.trial.engine_links.get(f"{name}>{engine}")) is not None:
                    await link.set(link_of(fault.words, self.distance_ms(name, engine)))

    async def _fault_client_links(self, fault: Fault) -> None:
        for name in self.trial.day.pick(fault.target):
            if name in self.trial.client_links:
                await self.trial.client_links[name].set(link_of(fault.words))

    async def _fault_sources(self, fault: Fault) -> None:
        for name in self.trial.day.pick(fault.target):
            if name in self.trial.source_links:
                await self.trial.source_links[name].set(link_of(fault.words))
                cut = any(fault.words.get(word) for word in ("cut", "forth", "back", "refuse", "reset"))
                self.trial.marks.append((time.monotonic(), "deaf" if cut else "hears", name))

    async def _order(self, fault: Fault) -> None:
        call = {"call": "order", "for_ms": 60_000, "who": "rig", "why": "a trial", **fault.words}
        with contextlib.suppress(OSError, ValueError):
            await asyncio.to_thread(ask, self.trial.folder / f"{fault.target}.sock", call)

    def _set_traits(self, name: str, words: dict[str, Any]) -> None:
        process = self.trial.processes[name]
        if process.stdin is not None and process.poll() is None:
            process.stdin.write(json.dumps(words).encode() + b"\n")
            process.stdin.flush()

    def _process(self, verb: str, name: str) -> None:
        process = self.trial.processes[name]
        if verb == "start":
            if process.poll() is None:
                return
            process.wait()
            self.trial.start_engine(name) if name in self.trial.ports else self.trial.start_instance(name)
        else:
            number = {"kill": signal.SIGKILL, "stop": signal.SIGSTOP, "go": signal.SIGCONT}[verb]
            process.send_signal(number)
            if verb == "kill":
                process.wait()
                self.trial.prepare(name)
        self.trial.marks.append((time.monotonic(), verb, name))

    def power_now(self, target: str) -> None:
        """Danger: all signals first. Waiting for one would give the others time to hear of its end."""
        names = [n for n in self.trial.day.pick(target) if self.trial.processes[n].poll() is None]
        at = time.monotonic()
        for name in names:
            self.trial.processes[name].send_signal(signal.SIGKILL)
        for name in names:
            self.trial.processes[name].wait()
            self.trial.marks.append((at, "kill", name))
        for name in names:
            self.trial.prepare(name)

    async def _end(self, fault: Fault) -> None:
        """Ask each to end, and wait for it, one after another."""
        for name in self.trial.day.pick(fault.target):
            process = self.trial.processes[name]
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
                self.trial.marks.append((time.monotonic(), "end", name))
                try:
                    await asyncio.to_thread(process.wait, float(fault.words.get("within", 10.0)))
                except subprocess.TimeoutExpired:
                    process.kill()
                    await asyncio.to_thread(process.wait)
                self.trial.marks.append((time.monotonic(), "kill", name))
                self.trial.prepare(name)

    def _peers(self, fault: Fault) -> None:
        here, there = ([int(n[1:]) for n in self.trial.day.pick(t) if n[0] == "n" and n[1:].isdigit()]
                       for t in (fault.target, fault.other))  # fmt: skip
        words = {k: v for k, v in fault.words.items() if k not in ("forth", "heal")}
        for i in here:
            for j in there:
                for pair in ((i, j),) if fault.words.get("forth") else ((i, j), (j, i)):
                    if pair[0] != pair[1]:
                        self.trial.switch.paths[pair] = self.network_path(*pair, words)

    async def _lie(self, name: str, zone: str) -> None:
        """Words in an instance's name that it never said: it is sure that a zone is out."""
        number, me = int(name[1:]), member_id(name)
        codec = Codec(me, random.Random(self.trial.day.seed).getrandbits(32), KeyRing({1: KEY}, 1))
        said = ZoneReport(Vote.EVACUATE, 0, 0, 200, 0.0, is_certain=True, suspects_failure=True)
        for version in range(1_000_000, 2_000_000):
            word = MemberReport(me, int(time.time()), version, 100, 0, {zone_number(zone): said})
            data = codec.encode(Message(MessageKind.FLEET, me, 0), encode_zone_reports([word], 200))
            for j in range(self.trial.day.instances):
                if j != number:
                    self.trial.switch.forward(self.trial.switch.ports[number], j, data)
            await asyncio.sleep(0.1)

    def _replay(self) -> None:
        """Old datagrams once more, in disorder."""
        kept = list(self.trial.switch.kept)
        random.Random(self.trial.day.seed).shuffle(kept)
        for sender, receiver, data in kept:
            self.trial.switch.forward(self.trial.switch.ports[sender], receiver, data)

    def _drain(self, verb: str, engine: str) -> None:
        for server in self.trial.consuls.values():
            server.apply(Step(0, ChangeKind.MAINTENANCE, (engine, "on" if verb == "drain" else "off")))
        self.trial.marks.append((time.monotonic(), verb, engine))

    def distance_ms(self, instance: str, other: str) -> float:
        """ms one way between an instance and an engine or another instance."""
        if not self.trial.day.homes:
            return 0.0
        names = self.trial.day.instance_names()
        zones = [self.trial.day.homes[int(n[1:])] if n in names else zone_of(n) for n in (instance, other)]
        return distance_ms(self.trial.day.distance, *zones)

    def network_path(self, sender: int, receiver: int, words: dict[str, Any]) -> NetworkPath:
        """A way of datagrams, as long as the instances are apart."""
        far = self.distance_ms(f"n{sender}", f"n{receiver}")
        return NetworkPath(**(words | {"delay": words.get("delay", 0.0) + far}))


def link_of(words: dict[str, Any], far: float = 0.0) -> Link:
    """A link's state from a fault's words; `forth` and `back` alone cut that direction. far: ms one way that
    the ends are apart anyhow."""
    kept = {k: v for k, v in words.items() if k in ("delay", "jitter", "slow")}
    kept["delay"] = kept.get("delay", 0.0) + far
    cut = bool(words.get("cut"))
    return Link(
        forth=NetworkPath(cut=cut or bool(words.get("forth")), **kept),
        back=NetworkPath(cut=cut or bool(words.get("back")), **kept),
        refuse=bool(words.get("refuse")),
        reset=bool(words.get("reset")),
    )
