"""An instance on a faulty machine: its wall clock is off, its disk loses what was not synced.

    python -m cottonhold.emulator.fault_injection.instance n3.json MACHINE

MACHINE is JSON such as {"clock_s": -86400, "disk": "n3.disk.json"}.

The program is the same; what is replaced is the machine under it. The wall clock as C code reads it
(datetime) stays as it is, and so does `time.time` in a module that imported the function itself before.
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
    """Shift the wall clock of this process by so many seconds; the monotonic one stays."""
    real, real_ns, offset_ns = time.time, time.time_ns, int(offset_s * 1e9)
    wall: Callable[[], float] = lambda: real() + offset_s  # noqa: E731
    wall_ns: Callable[[], int] = lambda: real_ns() + offset_ns  # noqa: E731
    setattr(time, "time", wall)  # noqa: B010
    setattr(time, "time_ns", wall_ns)  # noqa: B010


def install_faulty_disk(control: str) -> bool:
    """Put the store of this process on a disk that loses and fails as the control file says; return whether
    there is a store."""
    from importlib import import_module

    try:
        disk, ledger = import_module("cottonhold.emulator.disk"), import_module("cottonhold.store.ledger")
    except ModuleNotFoundError:
        return False
    disk.install("lossy", Path(control))
    setattr(ledger, "DEFAULT_VFS", "lossy")  # noqa: B010
    return True


def main(path: str, machine: dict[str, Any]) -> int:
    """Serve by a configuration file, on such a machine; return the exit code."""
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
    """Load the program, and serve once a line of standard input says by which file and on which machine; end
    if none does."""
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
