"""Compares the keys of the local socket's answers, and the records of a state folder, with recorded ones."""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from cottonhold.emulator.process_fleet import free_ports
from cottonhold.node import status
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import RecordKind
from tests.conformance.golden import RECORD

WAIT_S = 60.0
ANY_NAME = (
    "counts",
    "runs",
    "cold_engines",
    "outlook",
)  # their keys depend on the run and are not part of the format


class Pair:
    """Two instances with all optional features enabled, and engines that do not respond."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.tcp = free_ports(2, socket.SOCK_STREAM)
        self.udp = free_ports(2, socket.SOCK_DGRAM)
        self.processes = [self._start(number) for number in (0, 1)]

    def _start(self, number: int) -> subprocess.Popen[bytes]:
        path = self.folder / f"n{number}.json"
        path.write_text(json.dumps(self._config(number)))
        program = [sys.executable, "-m", "cottonhold.cli.main", "serve", "--config", str(path)]
        with (self.folder / f"n{number}.log").open("wb") as log:
            return subprocess.Popen(program, stderr=log)

    def _config(self, number: int) -> dict[str, Any]:
        places = [f"127.0.0.1:{port}" for port in self.udp]
        return {
            "name": f"n{number}",
            "seed": number,
            "listen": f"127.0.0.1:{self.tcp[number]}",
            "number": number,
            "dispatchers": 2,
            "zones": ["a", "b"],
            "machine_types": [{"name": "std", "cores": 8}],
            "classes": [
                {"name": "lookup", "aim_ms": 1000, "deadline_ms": 5000, "effect": "safe"},
                {"name": "load", "aim_ms": 1000, "deadline_ms": 5000, "in_order": True, "loads": True},
            ],
            "known": [
                {"id": f"{zone}0", "address": "127.0.0.1:9", "zone": zone, "machine_type": "std"}
                for zone in "ab"
            ],
            "peers": {"listen": places[number], "all": places, "zones": ["a", "b"]},
            "membership": {"keys": [{"number": 1, "secret": "a shared key"}], "voters": ["n0", "n1"]},
            "fleet": {"outlook": True, "pins": True, "price": True},
            "state_dir": f"state{number}",
            "status_socket": f"n{number}.sock",
            "metrics": True,
        }

    def ask(self, call: str, **words: Any) -> dict[str, Any]:
        """Return the first instance's answer to a call of its local socket."""
        return status.call_instance(self.folder / "n0.sock", {"call": call, **words})

    def until(self, holds: Callable[[dict[str, Any]], bool]) -> dict[str, Any]:
        """Wait for a state of the first instance's view."""
        deadline = time.monotonic() + WAIT_S
        while True:
            try:
                if holds(view := self.ask("view")):
                    return view
            except (OSError, KeyError, IndexError, ValueError):
                pass
            if time.monotonic() > deadline:
                logs = [(self.folder / f"n{number}.log").read_text()[-2000:] for number in (0, 1)]
                raise AssertionError("\n".join(logs))
            time.sleep(0.1)

    def stop(self) -> None:
        """Terminate both processes."""
        for process in self.processes:
            process.send_signal(signal.SIGTERM)
        for process in self.processes:
            process.wait(30)


@pytest.fixture
def pair(tmp_path: Path) -> Iterator[Pair]:
    made = Pair(tmp_path)
    try:
        yield made
    finally:
        for process in made.processes:
            process.kill()
            process.wait()


def paths(value: Any, path: str = "") -> set[str]:
    """Return the paths of all keys of an answer."""
    if isinstance(value, dict) and path.rpartition(".")[2] in ANY_NAME:
        return {f"{path}.*"}
    if isinstance(value, dict):
        return {p for key, inner in value.items() for p in {f"{path}.{key}"} | paths(inner, f"{path}.{key}")}
    if isinstance(value, list):
        return {p for inner in value for p in paths(inner, f"{path}[]")}
    return set()


def in_service(view: dict[str, Any]) -> bool:
    """Return whether the other instance is alive, and duties, registers, survey and ownership are ready."""
    return (
        view["members"][0]["status"] == "alive"
        and bool(view["duties"])
        and view["swap"]["votes"]
        and view["recovery"]["settled"]
        and view["pins"]["complete"]
    )


def replacing(view: dict[str, Any]) -> bool:
    """Return whether machines of both kinds are being replaced."""
    steps = {row["machine"]: row["step"] for row in view["swap"]["machines"]}
    return {"n1", "a0"} <= set(steps) and "untold" in str(view["swap"])


def record(pair: Pair) -> dict[str, Any]:
    """Return the keys of each answer, and the kinds and keys of a folder's records."""
    pair.until(in_service)
    answers = {
        "order": pair.ask("order", mode="leave", zone="a", for_ms=60_000, who="ana", why="fire"),
        "swap": pair.ask("swap", who="ana", machines=[{"name": "n1"}, {"zone": "a"}], most_out=1, zones=1),
        "unknown": pair.ask("nothing"),
        "metrics": pair.ask("metrics"),
    }
    answers["view"] = pair.until(replacing)
    pair.stop()
    return {
        "keys": {name: sorted(paths(answer)) for name, answer in answers.items()},
        "error": answers["unknown"]["error"],
        "records": folder_records(pair.folder / "state0"),
    }


def folder_records(folder: Path) -> list[str]:
    """Return the records of an instance's folder by kind and key, with the sizes of fixed-size values."""
    varying = (RecordKind.PROMISE, RecordKind.AFFINITY)
    (name,) = {path.name.partition(".")[0] for path in folder.iterdir()}
    ledger = Ledger.open(folder, name)
    try:
        return sorted(
            f"{int(kind)} {key.decode('latin-1')!r} {len(value) if kind not in varying else ''}".rstrip()
            for kind in RecordKind
            for key, value in ledger.records(kind).items()
        )
    finally:
        ledger.close(clean=True)


def test_keys_of_the_sockets_answers_and_records_of_the_folder(pair: Pair) -> None:
    assert record(pair) == RECORD["socket"]
