"""Opens a ledger in a separate thread, so that a hanging disk blocks nothing else."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from cottonhold.store.health import Completeness, StoreError
from cottonhold.store.ledger import Ledger


class LedgerOpening:
    """One attempt to open a ledger. Once it `is_over`, `ledger` or `error` holds the result."""

    def __init__(self, open_ledger: Callable[[], Ledger | None]) -> None:
        self.open_ledger = open_ledger
        self.ledger: Ledger | None = None
        self.error: StoreError | None = None
        self._over, self._started_at_s = threading.Event(), time.monotonic()
        # On the event loop a hanging disk would stop all service, and not only loads.
        threading.Thread(target=self._run, name="opening", daemon=True).start()

    @property
    def is_over(self) -> bool:
        """Whether the attempt has succeeded or failed."""
        return self._over.is_set()

    def is_slow(self, seconds: float) -> bool:
        """Return whether the attempt has been running for at least `seconds`."""
        return not self.is_over and time.monotonic() - self._started_at_s >= seconds

    def wait(self, seconds: float) -> None:
        """Block until the attempt is over, for at most `seconds`."""
        self._over.wait(seconds)

    def _run(self) -> None:
        try:
            self.ledger = self.open_ledger()
        except StoreError as error:
            self.error = error
        except Exception as error:  # the content of a folder must never prevent a dispatcher from serving
            self.error = StoreError(f"{type(error).__name__}: {error}", Completeness.UNKNOWN, {})
        finally:
            self._over.set()
