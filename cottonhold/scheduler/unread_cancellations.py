"""Whether an attempt has to wait, since a cancellation of its request may have arrived without being read."""

from __future__ import annotations

# A cancellation has to take effect this soon after it was written, read or not.
CANCELLATION_LIMIT_MS = 100.0


def has_to_wait(request_age_ms: float, unread_ms: float, delay_ms: float, max_delay_ms: float) -> bool:
    """Return whether an attempt has to wait until more of the new connections are read.

    A client cancels on a new connection, and never before it has sent its request. The wait is limited since
    budgets of retries and of cold engines count attempts when they are decided, and allow for a limited time
    until they begin.

    Args:
        request_age_ms: How long ago the request arrived, in ms.
        unread_ms: The longest time that a new connection may have waited to be read, in ms.
        delay_ms: How long ago the attempt was decided on, in ms.
        max_delay_ms: The longest time between the decision on an attempt and its beginning, in ms.
    """
    return min(request_age_ms, unread_ms) > CANCELLATION_LIMIT_MS and delay_ms < max_delay_ms
