"""The resident memory of this process, as the system reports it."""

from __future__ import annotations

import resource

STATM = "/proc/self/statm"
RESIDENT_FIELD = 1  # of `STATM`: resident pages
BYTES_PER_KB = 1024


def resident_bytes() -> int:
    """Return the resident memory of this process, in bytes; 0 if the system doesn't tell it."""
    try:
        with open(STATM, "rb") as file:
            return int(file.read().split()[RESIDENT_FIELD]) * resource.getpagesize()
    except (OSError, ValueError, IndexError):
        return 0


def peak_resident_bytes() -> int:
    """Return the largest resident memory since the start of this process, in bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KB
