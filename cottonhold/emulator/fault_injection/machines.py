"""The machines of the instances: state folders, disks and wall clocks, as the faults of a day leave them."""

from __future__ import annotations

import json
import shutil
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cottonhold.fleet_adapters.recovery_folder import CHECKPOINT_BOOT_KEY
from cottonhold.store.ledger import Ledger, LedgerSettings
from cottonhold.store.records import Record, RecordKind

SETTLING_MS = 60_000.0  # at most, for the rig's own few records
# What a disk is told to do; see emulator/disk.py.
DISKS: dict[str, dict[str, Any]] = {
    "well": {},
    "full": {"full": True},
    "failing": {"fail_sync": 1.0},
    "stalled": {"stall": True},
}


@dataclass(slots=True)
class Machines:
    """All of them, in a run's folder. What an instance is told takes effect at its next start; a disk's state
    at once."""

    folder: Path
    clocks: dict[str, float] = field(default_factory=dict)  # seconds that the wall clock is off
    defect: str = ""  # what all programs are started with; see defects.py

    def state(self, name: str) -> Path:
        """Where an instance keeps what must survive a restart."""
        return self.folder / f"{name}.state"

    def disk(self, name: str) -> Path:
        """The file that says what is wrong with an instance's disk."""
        return self.folder / f"{name}.disk.json"

    def start(self, name: str) -> dict[str, Any]:
        """What the machine is as its instance starts."""
        if not self.state(name).exists():
            self._settle(name)
        if not self.disk(name).exists():
            self.set_disk(name, "well")
        machine = {"clock_s": self.clocks.get(name, 0.0), "disk": str(self.disk(name))}
        return machine | ({"defect": self.defect} if self.defect else {})

    def _settle(self, name: str) -> None:
        """A folder of a machine that has served for long: what is not in it was not."""
        # Danger: on a machine so busy that its last write took longer than a stall, the rig kept the folder's
        # lock for good, and the instance served everything but loads.
        ledger = Ledger.open(self.state(name), name, settings=LedgerSettings(stall_timeout_ms=SETTLING_MS))
        ledger.mark_complete()
        ledger.put(
            [Record(RecordKind.INCARNATION, CHECKPOINT_BOOT_KEY, ledger.boot_count.to_bytes(8, "big"))]
        )
        ledger.close(clean=True)

    def set_disk(self, name: str, state: str, **orders: Any) -> None:
        """From now on. orders: more of them, as emulator/disk.py has them."""
        new = self.disk(name).with_suffix(".new")  # beside and moved, so that nobody reads half of it
        new.write_text(json.dumps(DISKS[state] | orders))
        new.replace(self.disk(name))

    def save_folder(self, name: str) -> None:
        """Copy the folder as it is, like a backup of a machine that goes on."""
        shutil.rmtree(self._copy(name), ignore_errors=True)
        if self.state(name).is_dir():
            shutil.copytree(self.state(name), self._copy(name))

    def empty_folder(self, name: str) -> None:
        """A new disk."""
        shutil.rmtree(self.state(name), ignore_errors=True)
        self.state(name).mkdir()

    def restore_old_folder(self, name: str) -> None:
        """The copy is put back; without one the folder stays."""
        if self._copy(name).is_dir():
            shutil.rmtree(self.state(name), ignore_errors=True)
            shutil.copytree(self._copy(name), self.state(name))

    def apply(self, verb: str, name: str, words: dict[str, Any]) -> None:
        """A fault of a day."""
        if verb == "disk":
            self.set_disk(name, words["state"])
        elif verb == "clock":
            self.clocks[name] = float(words.get("offset_s", 0.0))
        else:
            {"keep": self.save_folder, "empty": self.empty_folder, "old": self.restore_old_folder}[verb](name)

    def _copy(self, name: str) -> Path:
        return self.folder / f"{name}.kept"
