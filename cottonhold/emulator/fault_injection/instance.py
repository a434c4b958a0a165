"""An instance on a faulty machine: its wall clock is off, its disk loses what was not synced.

    python -m cottonhold.emulator.fault_injection.instance n3.json FAULTS

FAULTS is JSON such as {"clock_s": -86400, "disk": "n3.disk.json"}.

The program is the same; what is replaced is the machine under it. The wall clock as C code reads it
(datetime) stays as it is.
"""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from cottonhold.emulator.fault_injection.parent_death_signal import WAIT_FOR_SETTINGS, read_settings


def shift(offset_s: float) -> None:
    """From now on the wall clock of this process is off by so many seconds; the monotonic one is not."""
    real, real_ns, offset_ns = time.time, time.time_ns, int(offset_s * 1e9)
    wall: Callable[[], float] = lambda: real() + offset_s  # noqa: E731
    wall_ns: Callable[[], int] = lambda: real_ns() + offset_ns  # noqa: E731
    setattr(time, "time", wall)  # noqa: B010
    setattr(time, "time_ns", wall_ns)  # noqa: B010


def put_disk(control: str) -> bool:
    """The store of this process works on the disk that loses and fails as the control file says; whether
    there is a store to be put on it."""
    from importlib import import_module

    try:
        disk, ledger = import_module("cottonhold.emulator.disk"), import_module("cottonhold.store.ledger")
    except ModuleNotFoundError:
        return False
    disk.install("lossy", Path(control))
    setattr(ledger, "DEFAULT_VFS", "lossy")  # noqa: B010
    return True


def main(path: str, machine: dict[str, Any]) -> int:
    """Serve by a file, on such a machine; the code to end with."""
    # Danger: a module that takes `time.time` by itself has the true clock if it was loaded before; none does.
    if machine.get("clock_s"):
        shift(float(machine["clock_s"]))
    if machine.get("disk"):
        put_disk(machine["disk"])
    if machine.get("defect"):
        from cottonhold.emulator.fault_injection.defects import DEFECTS

        DEFECTS[machine["defect"]]()
    from cottonhold.node.standalone.dispatcher import serve

    return serve(Path(path))


def wait() -> int:
    """Load the program, and serve once a line says by which file and on which machine; end if none does."""
    from importlib import import_module, util

    for name in (
        "cottonhold.node.standalone.dispatcher",
        "cottonhold.store.ledger",
        "cottonhold.emulator.disk",
    ):
        if util.find_spec(name.rpartition(".")[0]) and util.find_spec(name):
            import_module(name)
    words = read_settings()
    return main(*json.loads(words)) if words else 0


if __name__ == "__main__":
    if sys.argv[1] == WAIT_FOR_SETTINGS:
        sys.exit(wait())
    sys.exit(main(sys.argv[1], json.loads(sys.argv[2]) if len(sys.argv) > 2 else {}))
