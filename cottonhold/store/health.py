"""The states of a ledger's disk and content, and the errors of opening one."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cottonhold.store.records import RecordKind


class Completeness(Enum):
    """Whether a ledger's content can be relied on to be complete."""

    UNKNOWN = "empty"  # what isn't in it may still have been: it is not known to be "never"
    COMPLETE = "kept"


class DiskState(Enum):
    """The disk's state. Writes are accepted while it is HEALTHY and refused at once in all other states."""

    HEALTHY = "well"
    STALLED = "stalled"
    FULL = "full"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class DiskHealth:
    """The state of the disk, and the reason for it."""

    state: DiskState
    reason: str


class StoreError(Exception):
    """No ledger can be written in this folder now: its disk fails or is full.

    What could be read nevertheless is in `records`, by kind and key; the boot isn't counted.
    """

    completeness: Completeness
    records: dict[RecordKind, dict[bytes, bytes]]

    def __init__(
        self, text: str, completeness: Completeness, records: dict[RecordKind, dict[bytes, bytes]]
    ) -> None:
        super().__init__(text)
        self.completeness, self.records = completeness, records


class StoreBusyError(StoreError):
    """Another running process has this folder."""
