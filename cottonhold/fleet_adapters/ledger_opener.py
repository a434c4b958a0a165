"""A ledger that is opened in a thread of its own: a disk that hangs holds up nothing but this."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

from cottonhold.store.health import Completeness, StoreError
from cottonhold.store.ledger import Ledger


class Opening:
    """One try. `ledger` or `error` is there once it is `over`."""

    def __init__(self, open_it: Callable[[], Ledger | None]) -> None:
        self.open_it = open_it
        self.ledger: Ledger | None = None
        self.error: StoreError | None = None
        self._over, self._began = threading.Event(), time.monotonic()
        # Danger: opened on the event loop, a folder on a disk that hangs stopped all service, not only loads.
        threading.Thread(target=self._run, name="opening", daemon=True).start()

    @property
    def over(self) -> bool:
        """It has succeeded or failed."""
        return self._over.is_set()

    def waits(self, seconds: float) -> bool:
        """It isn't over, and was begun so long ago."""
        return not self.over and time.monotonic() - self._began >= seconds

    def wait(self, seconds: float) -> None:
        """Until it is over, for so long at most."""
        self._over.wait(seconds)

    def _run(self) -> None:
        try:
            self.ledger = self.open_it()
        except StoreError as error:
            self.error = error
        except Exception as error:  # what is in a folder never keeps a dispatcher from serving
            self.error = StoreError(f"{type(error).__name__}: {error}", Completeness.UNKNOWN, {})
        finally:
            self._over.set()
