"""Opens an instance's ledger at its start, and retries while the state folder can't be used."""

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

START_WAIT_S = 3.0  # longest time that a start waits for the ledger before it serves without one
SLOW_OPENING_S = 1.0  # duration of an attempt after which it is logged
# Pause between attempts; in an upgrade they fail until the replaced process has closed the folder.
RETRY_INTERVAL_MS = 250.0
POLL_INTERVAL_MS = 20.0  # interval between checks whether an attempt has ended


class LedgerAccess:
    """Opens one ledger in separate threads, so that a hanging disk delays loads only.

    Args:
        installation: Returns the configuration in force.
        folder: The folder of the configuration file.
        clock: This process's clock.
        counters: The counters of this process.
        log_event: Logs an event with its fields.
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
        """Return the ledger if it is open, or else None; log each new reason why it is not open once."""
        reason = self._failure_reason()
        if reason and reason != self.logged_reason:
            self.logged_reason = reason
            self.log_event("ledger_unavailable", reason=reason)
        return self.opening.ledger if self.opening.is_over else None

    def _failure_reason(self) -> str:
        """Return why the ledger is not open; empty if it is open, not configured, or still being opened."""
        if self.opening.is_slow(SLOW_OPENING_S):
            return f"{self.installation().file.state_dir}: the disk has not answered yet"
        error = self.opening.error
        if error is None:
            return ""
        self.counters.add("ledger_busy" if isinstance(error, StoreBusyError) else "ledger_faults")
        return str(error)

    def readable_records(self) -> Mapping[RecordKind, Mapping[bytes, bytes]]:
        """Return the readable records of a folder whose ledger could not be opened."""
        error = self.opening.error if self.opening.is_over else None
        return error.records if error is not None else {}

    def call_when_open(self, on_open: Callable[[Ledger], None]) -> None:
        """Call `on_open` with the ledger once it is open; retry without limit."""
        if self.opening.is_over and self.opening.ledger is None:
            self.clock.call_in(RETRY_INTERVAL_MS, lambda: self._retry(on_open))
        else:
            self.clock.call_in(POLL_INTERVAL_MS, lambda: self._poll(on_open))

    def _retry(self, on_open: Callable[[Ledger], None]) -> None:
        self.opening = LedgerOpening(self._open)
        self.call_when_open(on_open)

    def _poll(self, on_open: Callable[[Ledger], None]) -> None:
        ledger = self.ledger()
        if ledger is None:
            self.call_when_open(on_open)
        else:
            on_open(ledger)

    def _open(self) -> Ledger | None:
        return open_ledger(self.installation(), self.folder)
