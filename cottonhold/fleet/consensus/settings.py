"""Settings of the registers."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class RegisterSettings:
    """Timeouts and limits of registers.

    Attributes:
        retry_interval_ms: Interval at which unanswered messages are sent again, in ms.
        initial_backoff_ms: Base of a proposer's backoff after a refusal, in ms; it is doubled at each
            refusal, and the proposer waits a random part of it.
        max_backoff_ms: Upper limit of the backoff, in ms.
        operation_timeout_ms: Time after which a change or read ends without a result from the voters, in ms.
        settle_delay_ms: Time after which a voter reads a register whose accepted state it does not know to be
            chosen, in ms.
        max_registers: Maximum number of registers that a voter holds.
        max_pending_operations: Maximum number of changes and reads in progress or queued at a proposer.
        max_announcements: Number of times that a chosen state is sent to all members.
    """

    retry_interval_ms: float = 80.0
    initial_backoff_ms: float = 20.0
    max_backoff_ms: float = 640.0
    operation_timeout_ms: float = 5000.0
    settle_delay_ms: float = 1000.0
    max_registers: int = 64
    max_pending_operations: int = 64
    max_announcements: int = 3
