"""A cache of registers at one instance: their values, how current these are, and pending operations;
does no I/O.

A value is *confirmed* for a limited time after the request of the read or change that returned it. If an
instance acts only on confirmed values, and its successor first waits for longer than this time after taking
over, the two never act at the same time.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from cottonhold.fleet.consensus.actions import ChangeRegister, ReadRegister

READ_TIMEOUT_MS = 1000.0  # shorter than a change's timeout, because a read may be repeated safely
UNKNOWN_VERSION = -1


@dataclass(slots=True)
class CachedRegister:
    """One register as cached at this instance. Times are in ms of the local clock.

    Attributes:
        version: Version of the value; UNKNOWN_VERSION until one has been received.
        value: The value.
        first_seen_at: When this value was first received.
        confirmed_at: Latest time at which this is known to have been the register's value.
        version_received_at: When this version was first received.
        pending_token: Token of the pending operation, or 0.
        requested_at: When the last operation was requested.
        change_pending: Whether the pending operation is a change.
        outcome_unknown: Whether the last operation's result is unknown, so that a read must precede a change.
    """

    version: int = UNKNOWN_VERSION
    value: bytes = b""
    first_seen_at: float = 0.0
    confirmed_at: float = -math.inf
    version_received_at: float = -math.inf
    pending_token: int = 0
    requested_at: float = -math.inf
    change_pending: bool = False
    outcome_unknown: bool = False


class RegisterCache:
    """The registers that one component of this instance uses.

    Args:
        random_source: Source of the random part of tokens.
        operation_timeout_ms: Time after which a pending change is given up, in ms.
    """

    def __init__(self, random_source: random.Random, operation_timeout_ms: float) -> None:
        self.operation_timeout_ms = operation_timeout_ms
        self.registers: dict[str, CachedRegister] = {}
        self.names_by_token: dict[int, str] = {}
        self.last_token = random_source.getrandbits(30) << 20

    def register(self, name: str) -> CachedRegister:
        """Return the register of a name; add it to the cache if it is missing."""
        return self.registers.setdefault(name, CachedRegister())

    def received(self, name: str) -> CachedRegister | None:
        """Return a register if a version of it has been received."""
        register = self.registers.get(name)
        return register if register is not None and register.version >= 0 else None

    def can_send(self, now: float, name: str) -> bool:
        """Return whether no operation on the register is pending, or the pending one has timed out."""
        register = self.register(name)
        timeout_ms = self.operation_timeout_ms
        if not register.change_pending:
            timeout_ms = min(timeout_ms, READ_TIMEOUT_MS)
        return not register.pending_token or now - register.requested_at > timeout_ms

    def read(self, now: float, name: str, min_interval_ms: float = 0.0) -> list[ReadRegister]:
        """Read the register unless an operation is pending or was requested within the interval."""
        register = self.register(name)
        if not self.can_send(now, name):
            return []
        if now - register.requested_at < min_interval_ms and not register.outcome_unknown:
            return []
        return [ReadRegister(name, self._start_operation(now, name, register, False))]

    def change(self, now: float, name: str, value: bytes) -> list[ChangeRegister | ReadRegister]:
        """Set the register unless a change is pending; read it first if the last outcome is unknown.

        A pending read does not delay a change: if answers take longer than the interval between reads, the
        change would never be sent.
        """
        register = self.register(name)
        if register.change_pending and not self.can_send(now, name):
            return []
        timed_out = register.pending_token and register.change_pending
        if register.outcome_unknown or register.version < 0 or timed_out:
            return list(self.read(now, name))
        token = self._start_operation(now, name, register, True)
        return [ChangeRegister(name, register.version, value, token)]

    def on_outcome(self, now: float, token: int, won: bool | None, version: int, value: bytes) -> str:
        """Apply the outcome of an operation.

        Args:
            now: The current time.
            token: The token of the operation.
            won: Whether it took effect; None if unknown.
            version: The version of the register; negative if unknown.
            value: The value of the register.

        Returns:
            The register's name, or "" if the operation is not one of this cache.
        """
        name = self.names_by_token.pop(token, "")
        if not name:
            return ""
        register = self.register(name)
        is_unknown = won is None or version < 0
        requested_at = -math.inf
        if register.pending_token == token:
            requested_at = register.requested_at
            register.pending_token = 0
            register.outcome_unknown = is_unknown
            register.change_pending = False
        if not is_unknown:
            self._update(now, register, version, value, requested_at)
        return name

    def on_hint(self, now: float, name: str, version: int, value: bytes) -> None:
        """Apply a version that another member announced, without confirming it."""
        self._update(now, self.register(name), version, value, -math.inf)

    def is_confirmed(self, now: float, name: str, max_age_ms: float) -> bool:
        """Return whether the register had the cached value at some time within the last `max_age_ms`."""
        register = self.registers.get(name)
        return register is not None and now - register.confirmed_at <= max_age_ms

    def _update(
        self, now: float, register: CachedRegister, version: int, value: bytes, requested_at: float
    ) -> None:
        """Store a version, unless a newer one was received after the request.

        A lower version is valid only if the register was finished and removed, so that its versions start
        again. In that case it was requested after the higher version had been received.
        """
        if version < register.version and requested_at < register.version_received_at:
            return
        if version != register.version:
            if value != register.value or register.version < 0:
                register.first_seen_at = now
            register.version_received_at = now
            register.version = version
            register.value = value
            register.confirmed_at = -math.inf
        register.confirmed_at = max(register.confirmed_at, requested_at)

    def _start_operation(self, now: float, name: str, register: CachedRegister, is_change: bool) -> int:
        if register.pending_token:
            register.outcome_unknown = register.outcome_unknown or register.change_pending
            self.names_by_token.pop(register.pending_token, None)
        self.last_token += 1
        register.pending_token = self.last_token
        register.requested_at = now
        register.change_pending = is_change
        self.names_by_token[self.last_token] = name
        return self.last_token
