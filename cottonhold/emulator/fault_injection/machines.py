"""The machines of the instances: their state folders, disks and wall clocks, and the faults in them."""

from __future__ import annotations

import json
import shutil
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from cottonhold.fleet_adapters.recovery_folder import CHECKPOINT_BOOT_KEY
from cottonhold.store.ledger import Ledger, LedgerSettings
from cottonhold.store.records import Record, RecordKind

# How long the harness waits for its own records to be written. On a busy machine that may take longer than
# the default stall timeout of the ledger, after which the ledger would keep the folder's lock.
WRITE_TIMEOUT_MS = 60_000.0
# The contents of the disk's control file, by the state of the disk; see emulator/disk.py.
DISK_CONTROLS: dict[str, dict[str, Any]] = {
    "well": {},
    "full": {"full": True},
    "failing": {"fail_sync": 1.0},
    "stalled": {"stall": True},
}


@dataclass(slots=True)
class Machines:
    """All machines of a run.

    Changes of a disk's state take effect immediately, all others at the instance's next start.

    Attributes:
        folder: Folder of the run.
        clock_offsets_s: Offset of the wall clock of each machine, in s, by the instance's name.
        defect: Defect to start all instances with, see defects.py; empty for none.
    """

    folder: Path
    clock_offsets_s: dict[str, float] = field(default_factory=dict)
    defect: str = ""

    def state_folder(self, name: str) -> Path:
        """Return the path of an instance's state folder."""
        return self.folder / f"{name}.state"

    def disk_control(self, name: str) -> Path:
        """Return the path of the control file with the faults of an instance's disk."""
        return self.folder / f"{name}.disk.json"

    def start(self, name: str) -> dict[str, Any]:
        """Create the machine's files if they do not exist, and return its description; see instance.py."""
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
        """Create the state folder of a machine with complete records: loads not recorded have not run."""
        settings = LedgerSettings(stall_timeout_ms=WRITE_TIMEOUT_MS)
        ledger = Ledger.open(self.state_folder(name), name, settings=settings)
        ledger.mark_complete()
        ledger.put(
            [Record(RecordKind.INCARNATION, CHECKPOINT_BOOT_KEY, ledger.boot_count.to_bytes(8, "big"))]
        )
        ledger.close(clean=True)

    def set_disk(self, name: str, state: str, **faults: Any) -> None:
        """Change the state of a disk; `faults` are further faults by their names in emulator/disk.py."""
        # The file is renamed into place, so that no partial file is read.
        new_file = self.disk_control(name).with_suffix(".new")
        new_file.write_text(json.dumps(DISK_CONTROLS[state] | faults))
        new_file.replace(self.disk_control(name))

    def save_folder(self, name: str) -> None:
        """Copy the state folder without stopping the instance, as a backup of a running machine would."""
        shutil.rmtree(self._copy_of(name), ignore_errors=True)
        if self.state_folder(name).is_dir():
            shutil.copytree(self.state_folder(name), self._copy_of(name))

    def empty_folder(self, name: str) -> None:
        """Replace the state folder by an empty one, as on a new disk."""
        shutil.rmtree(self.state_folder(name), ignore_errors=True)
        self.state_folder(name).mkdir()

    def restore_old_folder(self, name: str) -> None:
        """Replace the state folder by its copy, if there is one."""
        if self._copy_of(name).is_dir():
            shutil.rmtree(self.state_folder(name), ignore_errors=True)
            shutil.copytree(self._copy_of(name), self.state_folder(name))

    def apply(self, verb: str, name: str, options: dict[str, Any]) -> None:
        """Inject a fault into a machine.

        Args:
            verb: Verb of the fault: disk, clock, keep, empty or old.
            name: Name of the instance.
            options: Options of the fault.
        """
        if verb == "disk":
            self.set_disk(name, options["state"])
        elif verb == "clock":
            self.clock_offsets_s[name] = float(options.get("offset_s", 0.0))
        else:
            {"keep": self.save_folder, "empty": self.empty_folder, "old": self.restore_old_folder}[verb](name)

    def _copy_of(self, name: str) -> Path:
        return self.folder / f"{name}.kept"
