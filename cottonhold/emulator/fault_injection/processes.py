"""The processes of a scenario run: engines, instances and clients, started and ended by name."""

from __future__ import annotations

import contextlib
import json
import socket
import subprocess
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cottonhold.emulator.fault_injection.machines import Machines
from cottonhold.emulator.fault_injection.parent_death_signal import (
    WAIT_FOR_SETTINGS,
    bound_to_this_process,
)
from cottonhold.emulator.fault_injection.script import Scenario
from cottonhold.emulator.fault_injection.worker_pool import PROGRAMS, Process, WorkerPool
from cottonhold.emulator.process_fleet import free_ports

PACKAGE = "cottonhold.emulator.fault_injection"
# Follows the name of an instance in the name of a second process on the same state folder.
DUPLICATE_SUFFIX = "-twice"


class ScenarioProcesses:
    """The processes that a run has started, and those that have loaded their program and wait for settings.

    Args:
        scenario: The scenario.
        folder: Folder for logs and configurations.
        machines: Machines of the instances.
        engine_ports: Port of each engine, by its name.
        config_of: Returns the configuration of an instance, by its name.
        forks: Whether engines and instances are forked from a process that has loaded their programs.
    """

    def __init__(
        self,
        scenario: Scenario,
        folder: Path,
        machines: Machines,
        engine_ports: dict[str, int],
        config_of: Callable[[str], dict[str, Any]],
        forks: bool,
    ) -> None:
        self.scenario, self.folder, self.machines = scenario, folder, machines
        self.engine_ports, self.config_of = engine_ports, config_of
        self.worker_pool = WorkerPool() if forks else None
        self.by_name: dict[str, Process] = {}
        self.prepared: dict[str, Process] = {}

    def __getitem__(self, name: str) -> Process:
        return self.by_name[name]

    def is_running(self, name: str) -> bool:
        """Return whether a process that was started still runs."""
        return self.by_name[name].poll() is None

    def is_engine(self, name: str) -> bool:
        """Return whether a name belongs to an engine."""
        return name in self.engine_ports

    def start(self, name: str) -> None:
        """Start an engine or an instance."""
        if self.is_engine(name):
            self.start_engine(name)
        else:
            self.start_instance(name)

    def start_engine(self, name: str) -> None:
        """Start an engine at its port."""
        number = self.scenario.engine_names().index(name)
        settings = {
            "id": name,
            "port": self.engine_ports[name],
            "ledger": str(self.folder / f"{name}.jsonl"),
            "traits": self.scenario.engine_traits,
            "seed": self.scenario.seed * 100 + number,
        }
        if not self._start_prepared(name, settings):
            program = ["-m", f"{PACKAGE}.engine", json.dumps(settings)]
            self._start_and_register(name, program, stdin=subprocess.PIPE, stdout=subprocess.PIPE)

    def start_instance(self, name: str) -> None:
        """Start an instance at its addresses, with the state folder of its machine."""
        path = self._write_config(name, self.config_of(name))
        machine = self.machines.start(name) if self.scenario.has_state_folders else {}
        if not self._start_prepared(name, [str(path), machine]):
            self._start_and_register(name, self._instance_program(name, path))

    def start_duplicate(self, name: str) -> None:
        """Start a second process on an instance's state folder, at other ports.

        Its peer address is not in the configuration of the other instances, so they ignore its datagrams.
        """
        duplicate = name + DUPLICATE_SUFFIX
        client_port = free_ports(1, socket.SOCK_STREAM)[0]
        peer_port = free_ports(1, socket.SOCK_DGRAM)[0]
        config = self.config_of(name)
        config |= {"listen": f"127.0.0.1:{client_port}", "status_socket": f"{duplicate}.sock"}
        config["peers"] |= {"listen": f"127.0.0.1:{peer_port}"}
        path = self._write_config(duplicate, config)
        self._start_and_register(duplicate, self._instance_program(name, path))

    def start_clients(self, settings: dict[str, Any]) -> Process:
        """Start the process that emulates all clients."""
        program = ["-m", f"{PACKAGE}.clients", json.dumps(settings)]
        return self._start_and_register("clients", program, stdout=subprocess.PIPE)

    def prepare(self, name: str) -> None:
        """Preload the program of a process that a later fault starts.

        Applies only to runs with state folders whose processes are not forked.

        When many programs load simultaneously on a busy machine, the loading time of several seconds would be
        measured as a slow recovery of the fleet.
        """
        if not self.scenario.has_state_folders or self.worker_pool is not None or name in self.prepared:
            return
        if not self._is_started_by_a_fault(name):
            return
        program = "engine" if self.is_engine(name) else "instance"
        stdout = subprocess.PIPE if self.is_engine(name) else None  # the output of instances is not read
        self.prepared[name] = self._start_process(
            name, ["-m", f"{PACKAGE}.{program}", WAIT_FOR_SETTINGS], stdin=subprocess.PIPE, stdout=stdout
        )

    def _is_started_by_a_fault(self, name: str) -> bool:
        return any(
            fault.verb == "start" and name in self.scenario.resolve_target(fault.target)
            for fault in self.scenario.faults
        )

    def duplicates_running(self) -> list[str]:
        """Return the names of the second processes that still run."""
        return [name for name in self.by_name if name.endswith(DUPLICATE_SUFFIX) and self.is_running(name)]

    def kill_all(self) -> None:
        """Kill every process that still runs; repeated calls have no effect."""
        processes = [*self.by_name.values(), *self.prepared.values()]
        for process in processes:
            if process.poll() is None:
                process.kill()
        for process in processes:
            process.wait()
            for stream in (process.stdin, process.stdout):
                if stream is not None:
                    with contextlib.suppress(OSError):
                        stream.close()
        if self.worker_pool is not None:
            self.worker_pool.close()

    def _write_config(self, name: str, config: dict[str, Any]) -> Path:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(config))
        return path

    def _instance_program(self, name: str, path: Path) -> list[str]:
        if not self.scenario.has_state_folders:
            return ["-m", "cottonhold.cli.main", "serve", "--config", str(path)]
        return ["-m", f"{PACKAGE}.instance", str(path), json.dumps(self.machines.start(name))]

    def _start_and_register(self, name: str, program: list[str], **streams: Any) -> Process:
        process = self.by_name[name] = self._start_process(name, program, **streams)
        return process

    def _start_process(self, name: str, program: list[str], **streams: Any) -> Process:
        with (self.folder / f"{name}.log").open("ab") as log:
            if self.worker_pool is not None and program[1] in PROGRAMS:
                return self.worker_pool.start(program[1], program[2:], log, bool(streams))
            return subprocess.Popen(bound_to_this_process(program), stderr=log, **streams)

    def _start_prepared(self, name: str, settings: object) -> bool:
        """Send settings to the prepared process of a name, if there is one; return whether there was."""
        process = self.prepared.pop(name, None)
        if process is None or process.poll() is not None or process.stdin is None:
            return False
        process.stdin.write(json.dumps(settings).encode() + b"\n")
        process.stdin.flush()
        self.by_name[name] = process
        return True
