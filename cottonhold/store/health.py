"""The states of a ledger's disk and content, and the errors raised when it is opened."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from cottonhold.store.records import RecordKind


class Completeness(Enum):
    """The completeness of a ledger's content, as far as it is known."""

    UNKNOWN = "empty"  # records may have been lost, so a missing load may still have been sent
    COMPLETE = "kept"


class DiskState(Enum):
    """The state of the disk. Writes are rejected immediately unless it is HEALTHY."""

    HEALTHY = "well"
    STALLED = "stalled"
    FULL = "full"
    FAILED = "failed"


@dataclass(slots=True, frozen=True)
class DiskHealth:
    """The state of the disk; the reason is empty if it is HEALTHY."""

    state: DiskState
    reason: str


class StoreError(Exception):
    """The ledger can't be opened for writing at present: the disk fails or is full, or the folder is in use.

    `records` contains the records that could be read nevertheless, by kind and key. The boot count isn't
    durable.
    """

    completeness: Completeness
    records: dict[RecordKind, dict[bytes, bytes]]

    def __init__(
        self, text: str, completeness: Completeness, records: dict[RecordKind, dict[bytes, bytes]]
    ) -> None:
        super().__init__(text)
        self.completeness, self.records = completeness, records


class StoreBusyError(StoreError):
    """Another running process uses the folder."""
