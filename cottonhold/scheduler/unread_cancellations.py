"""Whether an attempt has to wait, since a cancellation of its request may have arrived without being read."""

from __future__ import annotations

# A cancellation has to take effect this soon after it was written, read or not.
CANCELLATION_LIMIT_MS = 100.0
# A client that cancels closes its own connection 0.5 s later, which ends its request in any case.
MAX_HOLD_MS = 500.0


def has_to_wait(request_age_ms: float, unread_ms: float, held_ms: float) -> bool:
    """Return whether an attempt has to wait until more of the new connections are read.

    A client cancels on a new connection, and never before it has sent its request.

    Args:
        request_age_ms: How long ago the request arrived, in ms.
        unread_ms: The longest time that a new connection may have waited to be read, in ms.
        held_ms: How long the attempt has waited for this, in ms.
    """
    return min(request_age_ms, unread_ms) > CANCELLATION_LIMIT_MS and held_ms < MAX_HOLD_MS
