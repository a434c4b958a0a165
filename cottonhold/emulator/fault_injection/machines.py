"""The machines of the instances: state folders, disks and wall clocks, as the faults of a scenario leave
them."""

from __future__ import annotations

import json
import shutil
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cottonhold.fleet_adapters.recovery_folder import BASE_KEY
from cottonhold.store.ledger import Ledger, LedgerSettings
from cottonhold.store.records import Record, RecordKind

# How long the harness waits for its own few records to be written: on a busy machine longer than the ledger's
# own stall timeout, after which it would keep the folder's lock.
WRITE_TIMEOUT_MS = 60_000.0
# The control file of each state; see emulator/disk.py.
DISK_CONTROLS: dict[str, dict[str, Any]] = {
    "well": {},
    "full": {"full": True},
    "failing": {"fail_sync": 1.0},
    "stalled": {"stall": True},
}


@dataclass(slots=True)
class Machines:
    """All machines of a run, in its folder. A change takes effect at the instance's next start; that of a
    disk's state at once. clock_offsets_s: how far wall clocks are off. defect: one that all instances are
    started with; see defects.py."""

    folder: Path
    clock_offsets_s: dict[str, float] = field(default_factory=dict)
    defect: str = ""

    def state_folder(self, name: str) -> Path:
        """Return where an instance keeps what must survive a restart."""
        return self.folder / f"{name}.state"

    def disk_control(self, name: str) -> Path:
        """Return the file that says what is wrong with an instance's disk."""
        return self.folder / f"{name}.disk.json"

    def start(self, name: str) -> dict[str, Any]:
        """Return what the machine is as its instance starts; see instance.py."""
        if not self.state_folder(name).exists():
            self._create_state_folder(name)
        if not self.disk_control(name).exists():
            self.set_disk(name, "well")
        machine: dict[str, Any] = {
            "clock_s": self.clock_offsets_s.get(name, 0.0),
            "disk": str(self.disk_control(name)),
        }
        if self.defect:
            machine["defect"] = self.defect
        return machine

    def _create_state_folder(self, name: str) -> None:
        """Make the folder of a machine that has served for long: what it does not record has not happened."""
        settings = LedgerSettings(stall_timeout_ms=WRITE_TIMEOUT_MS)
        ledger = Ledger.open(self.state_folder(name), name, settings=settings)
        ledger.mark_complete()
        ledger.put([Record(RecordKind.INCARNATION, BASE_KEY, ledger.boot_count.to_bytes(8, "big"))])
        ledger.close(clean=True)

    def set_disk(self, name: str, state: str, **faults: Any) -> None:
        """Change the state of a disk. faults: further ones, by their names in emulator/disk.py."""
        new_file = self.disk_control(name).with_suffix(
            ".new"
        )  # moved into place, so that no half of it is read
        new_file.write_text(json.dumps(DISK_CONTROLS[state] | faults))
        new_file.replace(self.disk_control(name))

    def save_folder(self, name: str) -> None:
        """Copy the folder as it is, like a backup of a machine that runs on."""
        shutil.rmtree(self._copy_of(name), ignore_errors=True)
        if self.state_folder(name).is_dir():
            shutil.copytree(self.state_folder(name), self._copy_of(name))

    def empty_folder(self, name: str) -> None:
        """Replace the folder by an empty one, as on a new disk."""
        shutil.rmtree(self.state_folder(name), ignore_errors=True)
        self.state_folder(name).mkdir()

    def restore_old_folder(self, name: str) -> None:
        """Put the copy back; without one the folder stays."""
        if self._copy_of(name).is_dir():
            shutil.rmtree(self.state_folder(name), ignore_errors=True)
            shutil.copytree(self._copy_of(name), self.state_folder(name))

    def apply(self, verb: str, name: str, options: dict[str, Any]) -> None:
        """Inject a fault of a machine, by its verb."""
        if verb == "disk":
            self.set_disk(name, options["state"])
        elif verb == "clock":
            self.clock_offsets_s[name] = float(options.get("offset_s", 0.0))
        else:
            {"keep": self.save_folder, "empty": self.empty_folder, "old": self.restore_old_folder}[verb](name)

    def _copy_of(self, name: str) -> Path:
        return self.folder / f"{name}.kept"
