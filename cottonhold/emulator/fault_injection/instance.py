"""Runs an instance on a faulty machine, whose wall clock is off or whose disk loses unsynced writes.

    python -m cottonhold.emulator.fault_injection.instance n3.json MACHINE

MACHINE is JSON such as {"clock_s": -86400, "disk": "n3.disk.json"}.

The program is unchanged; only the clock and the disk under it are replaced. The wall clock that C code reads
(datetime) is not shifted, nor is `time.time` in a module that had imported the function itself before.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cottonhold.emulator.fault_injection.parent_death_signal import WAIT_FOR_SETTINGS, read_settings


def shift_wall_clock(offset_s: float) -> None:
    """Shift the wall clock of this process by `offset_s` seconds; the monotonic clock is unchanged."""
    real, real_ns, offset_ns = time.time, time.time_ns, int(offset_s * 1e9)
    wall: Callable[[], float] = lambda: real() + offset_s  # noqa: E731
    wall_ns: Callable[[], int] = lambda: real_ns() + offset_ns  # noqa: E731
    setattr(time, "time", wall)  # noqa: B010
    setattr(time, "time_ns", wall_ns)  # noqa: B010


def install_faulty_disk(control: str) -> bool:
    """Put the store of this process on a faulty disk; return whether this version has a store.

    Args:
        control: Path of the control file with the disk's faults; see emulator/disk.py.
    """
    from importlib import import_module

    try:
        disk, ledger = import_module("cottonhold.emulator.disk"), import_module("cottonhold.store.ledger")
    except ModuleNotFoundError:
        return False
    disk.install("lossy", Path(control))
    setattr(ledger, "DEFAULT_VFS", "lossy")  # noqa: B010
    return True


def main(path: str, machine: dict[str, Any]) -> int:
    """Run an instance, and return its exit code.

    Args:
        path: Path of the configuration file.
        machine: Faults of the machine: `clock_s`, `disk` and `defect`, all optional.
    """
    if machine.get("clock_s"):
        shift_wall_clock(float(machine["clock_s"]))
    if machine.get("disk"):
        install_faulty_disk(machine["disk"])
    if machine.get("defect"):
        from cottonhold.emulator.fault_injection.defects import DEFECTS

        DEFECTS[machine["defect"]]()
    from cottonhold.node.standalone.dispatcher import serve

    return serve(Path(path))


def load_and_wait() -> int:
    """Load the program, wait for the settings on standard input, and run the instance; return the exit code.

    The settings are one line with the JSON array [path, machine]. Without one the process ends.
    """
    from importlib import import_module, util

    for name in (
        "cottonhold.node.standalone.dispatcher",
        "cottonhold.store.ledger",
        "cottonhold.emulator.disk",
    ):
        if util.find_spec(name.rpartition(".")[0]) and util.find_spec(name):
            import_module(name)
    settings = read_settings()
    return main(*json.loads(settings)) if settings else 0


if __name__ == "__main__":
    if sys.argv[1] == WAIT_FOR_SETTINGS:
        sys.exit(load_and_wait())
    sys.exit(main(sys.argv[1], json.loads(sys.argv[2]) if len(sys.argv) > 2 else {}))
