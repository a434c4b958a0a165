"""Opens an instance's ledger at its start, and retries for as long as the folder can't be used."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from pathlib import Path

from cottonhold.config.installation import Installation
from cottonhold.fleet_adapters.ledger_opener import LedgerOpening
from cottonhold.fleet_adapters.recovery_folder import open_ledger
from cottonhold.observe.counters import Counters
from cottonhold.store.health import StoreBusyError
from cottonhold.store.ledger import Ledger
from cottonhold.store.records import RecordKind
from cottonhold.transport.clock import Clock

START_WAIT_S = 3.0  # that a start waits for the folder before it serves without one
SLOW_OPENING_S = 1.0  # an attempt that takes longer is logged
RETRY_INTERVAL_MS = 250.0  # between attempts, as while the process that an upgrade replaces has the folder
POLL_INTERVAL_MS = 20.0  # between two looks at whether an attempt is over


class LedgerAccess:
    """The attempts to open one ledger, in threads of their own: a disk that hangs delays loads only.

    installation: the one in force; folder: of its file; log_event: called with an event and its fields.
    """

    def __init__(
        self,
        installation: Callable[[], Installation],
        folder: Path,
        clock: Clock,
        counters: Counters,
        log_event: Callable[..., None],
    ) -> None:
        self.installation, self.folder, self.clock = installation, folder, clock
        self.counters, self.log_event = counters, log_event
        self.logged_reason = ""
        self.opening = LedgerOpening(self._open)
        self.opening.wait(START_WAIT_S)

    def ledger(self) -> Ledger | None:
        """The ledger, if it is open by now; each new reason why it isn't is logged once."""
        reason = self._failure_reason()
        if reason and reason != self.logged_reason:
            self.logged_reason = reason
            self.log_event("ledger_unavailable", reason=reason)
        return self.opening.ledger if self.opening.is_over else None

    def _failure_reason(self) -> str:
        """Why there is no ledger; empty where there is one, or none is kept, or it may still come."""
        if self.opening.is_slow(SLOW_OPENING_S):
            return f"{self.installation().file.state_dir}: the disk has not answered yet"
        error = self.opening.error
        if error is None:
            return ""
        self.counters.add("ledger_busy" if isinstance(error, StoreBusyError) else "ledger_faults")
        return str(error)

    def readable_records(self) -> Mapping[RecordKind, Mapping[bytes, bytes]]:
        """The records of a folder whose ledger could not be opened, as far as they could be read."""
        error = self.opening.error if self.opening.is_over else None
        return error.records if error is not None else {}

    def call_when_open(self, use: Callable[[Ledger], None]) -> None:
        """Call `use` with the ledger once it is open, after as many attempts as that takes."""
        if self.opening.is_over and self.opening.ledger is None:
            self.clock.call_in(RETRY_INTERVAL_MS, lambda: self._retry(use))
        else:
            self.clock.call_in(POLL_INTERVAL_MS, lambda: self._poll(use))

    def _retry(self, use: Callable[[Ledger], None]) -> None:
        self.opening = LedgerOpening(self._open)
        self.call_when_open(use)

    def _poll(self, use: Callable[[Ledger], None]) -> None:
        ledger = self.ledger()
        if ledger is None:
            self.call_when_open(use)
        else:
            use(ledger)

    def _open(self) -> Ledger | None:
        return open_ledger(self.installation(), self.folder)
