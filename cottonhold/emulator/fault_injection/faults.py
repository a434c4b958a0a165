"""Injects the faults of a scenario into processes, links, datagrams, machines and engine list sources."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import subprocess
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import TYPE_CHECKING, Any

from cottonhold.emulator.consul.script import ChangeKind, Step
from cottonhold.emulator.fault_injection.event_log import MarkVerb
from cottonhold.emulator.fault_injection.instance_config import MEMBERSHIP_KEY
from cottonhold.emulator.fault_injection.network import link_state
from cottonhold.emulator.fault_injection.operators import Operators
from cottonhold.emulator.fault_injection.script import Fault
from cottonhold.fleet.zone_failover.messages import (
    MemberReport,
    Vote,
    ZoneReport,
    encode_zone_reports,
    zone_number,
)
from cottonhold.membership.codec import Codec, KeyRing, Message, MessageKind, member_id
from cottonhold.node.status import call_instance

if TYPE_CHECKING:
    from cottonhold.emulator.fault_injection.harness import ScenarioRun

ORDER_DURATION_MS = 60_000
SHUTDOWN_TIMEOUT_S = 10.0  # time after SIGTERM until a process is killed
FORGERY_INTERVAL_S = 0.1
# Versions of forged reports; they are higher than any that an instance reaches within a run.
FORGED_VERSIONS = range(1_000_000, 2_000_000)
FORGED_FAILED_ATTEMPTS = 200
FORGED_CENTICORES = 100
MAX_FORGED_BYTES = 200
SIGNALS = {"kill": signal.SIGKILL, "stop": signal.SIGSTOP, "go": signal.SIGCONT}
CUTTING_OPTIONS = ("cut", "forth", "back", "refuse", "reset")
Handler = Callable[[Fault], Awaitable[None] | None]


class FaultInjector:
    """Injects the faults of one run. Some of them run in the background until `stop`."""

    def __init__(self, run: ScenarioRun) -> None:
        self.run = run
        self.background_tasks: list[asyncio.Task[None]] = []
        self.handlers: dict[str, Handler] = {
            "link": self._on_link,
            "door": self._on_client_link,
            "source": self._on_source_link,
            "peers": self._on_peers,
            "forge": self._on_forge,
            "replay": self._on_replay,
            "order": self._on_zone_override,
            "traits": self._on_traits,
            "drain": self._on_drain,
            "undrain": self._on_drain,
            "power": lambda fault: self.simulate_power_loss(fault.target),
            "swap": self._on_replacement,
            "start": self._on_start,
            "end": self._on_end,
            "twice": self._on_duplicate,
        }
        self.handlers |= dict.fromkeys(SIGNALS, self._on_signal)
        self.handlers |= dict.fromkeys(("keep", "empty", "old", "disk", "clock"), self._on_machine)

    async def apply(self, fault: Fault) -> None:
        """Inject one fault, and return once it is in effect."""
        pending = self.handlers[fault.verb](fault)
        if pending is not None:
            await pending

    def stop(self) -> None:
        """End the faults that run in the background."""
        for task in self.background_tasks:
            task.cancel()

    def _run_in_background(self, work: Coroutine[Any, Any, None]) -> None:
        self.background_tasks.append(asyncio.create_task(work))

    def _targets(self, fault: Fault) -> list[str]:
        return self.run.scenario.resolve_target(fault.target)

    async def _on_link(self, fault: Fault) -> None:
        network = self.run.network
        for instance in self._targets(fault):
            for engine in self.run.scenario.resolve_target(fault.other):
                link = network.engine_links.get((instance, engine))
                if link is not None:
                    await link.set(link_state(fault.options, network.distance_ms(instance, engine)))

    async def _on_client_link(self, fault: Fault) -> None:
        for name in self._targets(fault):
            if name in self.run.network.client_links:
                await self.run.network.client_links[name].set(link_state(fault.options))

    async def _on_source_link(self, fault: Fault) -> None:
        is_blocked = any(fault.options.get(option) for option in CUTTING_OPTIONS)
        for name in self._targets(fault):
            if name in self.run.network.source_links:
                await self.run.network.source_links[name].set(link_state(fault.options))
                self.run.mark(
                    MarkVerb.SOURCE_DISCONNECTED if is_blocked else MarkVerb.SOURCE_RECONNECTED, name
                )

    def _on_peers(self, fault: Fault) -> None:
        options = {name: value for name, value in fault.options.items() if name not in ("forth", "heal")}
        is_unidirectional = bool(fault.options.get("forth"))
        for sender in self._instance_numbers(fault.target):
            for receiver in self._instance_numbers(fault.other):
                pairs = (
                    [(sender, receiver)] if is_unidirectional else [(sender, receiver), (receiver, sender)]
                )
                for pair in pairs:
                    if sender != receiver:
                        self.run.network.switch.paths[pair] = self.run.network.peer_path(*pair, options)

    def _instance_numbers(self, target: str) -> list[int]:
        instances = self.run.scenario.instance_names()
        return [int(name[1:]) for name in self.run.scenario.resolve_target(target) if name in instances]

    def _on_forge(self, fault: Fault) -> None:
        self._run_in_background(self._forge_reports(fault.target, fault.options["zone"]))

    async def _forge_reports(self, name: str, zone: str) -> None:
        """Send forged reports in an instance's name, which assert with certainty that a zone has failed."""
        number, sender_id = int(name[1:]), member_id(name)
        incarnation = random.Random(self.run.scenario.seed).getrandbits(32)
        codec = Codec(sender_id, incarnation, KeyRing({1: MEMBERSHIP_KEY}, 1))
        evacuate = ZoneReport(
            Vote.EVACUATE,
            bad=FORGED_FAILED_ATTEMPTS,
            traffic_share=0.0,
            is_certain=True,
            suspects_failure=True,
        )
        switch = self.run.network.switch
        for version in FORGED_VERSIONS:
            report = MemberReport(
                sender_id,
                int(time.time()),
                version,
                FORGED_CENTICORES,
                overrides_digest=0,
                zones={zone_number(zone): evacuate},
            )
            message = Message(MessageKind.FLEET, sender_id, 0)
            datagram = codec.encode(message, encode_zone_reports([report], MAX_FORGED_BYTES))
            for receiver in range(self.run.scenario.instances):
                if receiver != number:
                    switch.forward(switch.ports[number], receiver, datagram)
            await asyncio.sleep(FORGERY_INTERVAL_S)

    def _on_replay(self, fault: Fault) -> None:
        """Send old datagrams again, out of order."""
        switch = self.run.network.switch
        datagrams = list(switch.recent_datagrams)
        random.Random(self.run.scenario.seed).shuffle(datagrams)
        for sender, receiver, data in datagrams:
            switch.forward(switch.ports[sender], receiver, data)

    async def _on_zone_override(self, fault: Fault) -> None:
        call = {"call": "order", "for_ms": ORDER_DURATION_MS, "who": "rig", "why": "a trial", **fault.options}
        with contextlib.suppress(OSError, ValueError):
            await asyncio.to_thread(call_instance, self.run.folder / f"{fault.target}.sock", call)

    def _on_traits(self, fault: Fault) -> None:
        for name in self._targets(fault):
            process = self.run.processes[name]
            if process.stdin is not None and process.poll() is None:
                process.stdin.write(json.dumps(fault.options).encode() + b"\n")
                process.stdin.flush()

    def _on_drain(self, fault: Fault) -> None:
        maintenance = "on" if fault.verb == "drain" else "off"
        for engine in self._targets(fault):
            for server in self.run.network.consuls.values():
                server.apply(Step(0, ChangeKind.MAINTENANCE, (engine, maintenance)))
            self.run.mark(fault.verb, engine)

    def _on_replacement(self, fault: Fault) -> None:
        self._run_in_background(Operators(self.run, fault.target, fault.options).run())

    def _on_start(self, fault: Fault) -> None:
        for name in self._targets(fault):
            process = self.run.processes[name]
            if process.poll() is not None:
                process.wait()
                self.run.processes.start(name)
                self.run.mark(MarkVerb.START, name)

    def _on_signal(self, fault: Fault) -> None:
        for name in self._targets(fault):
            process = self.run.processes[name]
            process.send_signal(SIGNALS[fault.verb])
            if fault.verb == "kill":
                process.wait()
                self.run.processes.prepare(name)
            self.run.mark(fault.verb, name)

    def simulate_power_loss(self, target: str) -> None:
        """Kill all processes of a target simultaneously."""
        names = [
            name for name in self.run.scenario.resolve_target(target) if self.run.processes.is_running(name)
        ]
        killed_at = time.monotonic()
        # All signals are sent first: waiting for one process would give the others time to detect its end.
        for name in names:
            self.run.processes[name].send_signal(signal.SIGKILL)
        for name in names:
            self.run.processes[name].wait()
            self.run.mark(MarkVerb.KILL, name, killed_at)
        for name in names:
            self.run.processes.prepare(name)

    async def _on_end(self, fault: Fault) -> None:
        """End the targets one after another: send SIGTERM, then SIGKILL after a timeout."""
        timeout_s = float(fault.options.get("within", SHUTDOWN_TIMEOUT_S))
        for name in self._targets(fault):
            process = self.run.processes[name]
            if process.poll() is not None:
                continue
            process.send_signal(signal.SIGTERM)
            self.run.mark(MarkVerb.END, name)
            try:
                await asyncio.to_thread(process.wait, timeout_s)
            except subprocess.TimeoutExpired:
                process.kill()
                await asyncio.to_thread(process.wait)
            self.run.mark(MarkVerb.KILL, name)
            self.run.processes.prepare(name)

    def _on_duplicate(self, fault: Fault) -> None:
        for name in self._targets(fault):
            self.run.processes.start_duplicate(name)

    def _on_machine(self, fault: Fault) -> None:
        for name in self._targets(fault):
            self.run.machines.apply(fault.verb, name, fault.options)
