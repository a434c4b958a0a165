"""Settings of the registers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RegisterSettings:
    """Timeouts and limits of registers.

    retry_interval_ms: messages without an answer are sent again after this time. initial_backoff_ms: after a
    refusal a proposer waits a random part of it, doubled at each refusal up to max_backoff_ms.
    operation_timeout_ms: a change or read that takes longer ends with an unknown outcome. settle_delay_ms: a
    voter that accepted a state and did not learn that it was chosen reads the register after this time.
    max_announcements: how often a chosen state is sent to all members.
    """

    retry_interval_ms: float = 80.0
    initial_backoff_ms: float = 20.0
    max_backoff_ms: float = 640.0
    operation_timeout_ms: float = 5000.0
    settle_delay_ms: float = 1000.0
    max_registers: int = 64
    max_pending_operations: int = 64
    max_announcements: int = 3
