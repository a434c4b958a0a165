"""A number of bytes that many holders share fairly.

A holder may grow as long as it holds at most a share of what is free (a dynamic threshold). So the share
shrinks as the pool fills: those that hold most are refused first, and small holders still find room.
"""

from __future__ import annotations

from cottonhold.scheduler.memory_quotas import ALLOWANCE_BYTES

SHARE_DIVISOR = 4  # a holder may hold a quarter of what is free


class BytePool:
    """Bytes that many holders share.

    Args:
        capacity: Largest sum of what the holders hold, in bytes.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity, self.used = capacity, 0

    def share(self) -> int:
        """Return how many bytes a holder without any may take now."""
        return max(self.capacity - self.used, 0) // SHARE_DIVISOR


class Reservation:
    """What one holder of a pool holds; its first bytes, an allowance, don't count.

    Args:
        pool: The pool.
        allowance: Bytes that don't count.
    """

    __slots__ = ("allowance", "charged", "pool")

    def __init__(self, pool: BytePool, allowance: int = ALLOWANCE_BYTES) -> None:
        self.pool, self.allowance, self.charged = pool, allowance, 0

    def resize(self, size: int) -> bool:
        """Set how many bytes are held; return False, and change nothing, if that exceeds the fair share."""
        charge = max(size - self.allowance, 0)
        if charge > self.charged:
            free = self.pool.capacity - self.pool.used + self.charged
            if charge > free // SHARE_DIVISOR:
                return False
        self._charge(charge)
        return True

    def set(self, size: int) -> None:
        """Set how many bytes are held, whatever the share: for what has been accepted already."""
        self._charge(max(size - self.allowance, 0))

    def release(self) -> None:
        """Hold nothing any more."""
        self._charge(0)

    def _charge(self, charge: int) -> None:
        self.pool.used += charge - self.charged
        self.charged = charge
