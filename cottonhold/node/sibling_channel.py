"""Passes calls on to the other processes of the same dispatcher, over named pipes in $TMPDIR.

In an upgrade, all new connections go to the newest process. A call on one of them may concern an older
process, such as KILL QUERY for one of its sessions. An operator's drain concerns all processes, but reaches
the one whose address was called.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from cottonhold.frontend.connection_ids import slot_of
from cottonhold.node.sibling_messages import (
    DrainCall,
    KillCall,
    KillResult,
    SiblingMessage,
    decode,
    encode,
)
from cottonhold.node.sibling_processes import SiblingProcesses
from cottonhold.observe.counters import Counters
from cottonhold.transport.clock import Clock, Timer
from cottonhold.transport.io_context import IoContext
from cottonhold.transport.named_pipe import NamedPipe, NoReaderError, has_reader, write_to_pipe

RESULT_TIMEOUT_MS = 1000.0  # longest wait for the result of a call
SEND_RETRY_MS = 5.0  # pause before a message is sent again
# Longest wait of a new process for the pipes of older ones, which look for siblings every 0.3 s.
PIPES_TIMEOUT_MS, PIPES_POLL_S = 600.0, 0.01


class KillHandler(Protocol):
    """Executes KILL for the sessions of this process."""

    def kill(self, connection_id: int, only_query: bool) -> bool:
        """Execute KILL; return whether the session exists."""


class DrainHandler(Protocol):
    """Begins and ends the drain of this process."""

    def set_draining(self, is_draining: bool) -> bool:
        """Begin or end the drain; return False if it can't end."""


@dataclass(slots=True)
class PendingCall:
    """A call to another process whose result has not arrived."""

    on_result: Callable[[bool], None]
    timer: Timer
    is_sent: bool = False


class SiblingChannel:
    """Sends calls to the other processes of this dispatcher, and executes theirs.

    Args:
        processes: The slots of this dispatcher's processes.
        context: The event loop.
        clock: This process's clock.
        counters: The counters of this process.
        log: Writes a line to the operators' log.
    """

    def __init__(
        self,
        processes: SiblingProcesses,
        context: IoContext,
        clock: Clock,
        counters: Counters,
        log: Callable[[str], None],
    ) -> None:
        self.processes, self.clock, self.counters, self.log = processes, clock, counters, log
        self.kill_handler: KillHandler | None = None
        self.drain_handler: DrainHandler | None = None
        self.call_numbers = itertools.cycle(range(1 << 32))
        self.pending: dict[int, PendingCall] = {}
        self.last_drain_call: DrainCall | None = None
        self.pipe = NamedPipe(context, processes.pipe_path(processes.slot), self._on_data)
        self.has_failed = False  # whether the last attempt to open the pipe failed

    def open(self) -> None:
        """Begin to receive calls, unless that has begun; log the first error, and let the next call retry."""
        if self.processes.slot < 0:
            return
        try:
            self.pipe.open()
            self.has_failed = False
        except OSError as error:
            if not self.has_failed:
                self.log(f"slot in $TMPDIR: no calls of sibling processes are received: {error}")
            self.has_failed = True

    def close(self) -> None:
        """Stop receiving calls."""
        self.pipe.close()

    async def wait_for_pipes(self) -> None:
        """Wait until the running processes receive calls, for a limited time.

        Before a process accepts clients, whose calls may concern an older process, that one must have noticed
        that it is not alone.
        """
        deadline = self.clock.now() + PIPES_TIMEOUT_MS
        slots = self.processes.others_by_slot()
        while not all(has_reader(self.processes.pipe_path(slot)) for slot in slots):
            if self.clock.now() >= deadline:
                self.counters.add("sibling_pipes_missing")
                return
            await asyncio.sleep(PIPES_POLL_S)
            slots = self.processes.others_by_slot()

    def forward_kill(self, connection_id: int, only_query: bool, on_result: Callable[[bool], None]) -> bool:
        """Pass KILL on to the process that assigned a connection id.

        Args:
            connection_id: The id of the session.
            only_query: Whether the session continues.
            on_result: Called later, with whether the session exists. If the result does not arrive in time, a
                call that was sent counts as executed.

        Returns:
            Whether there may be such a process; if not, `on_result` is not called.
        """
        slot = slot_of(connection_id)
        if self.processes.slot < 0 or slot == self.processes.slot:
            return False
        number = next(self.call_numbers)
        call = KillCall(self.processes.slot, number, connection_id, only_query)
        timer = self.clock.call_in(RESULT_TIMEOUT_MS, lambda: self._on_timeout(number))
        self.pending[number] = PendingCall(on_result, timer)
        try:
            self._send_with_retries(
                slot, call, lambda: number in self.pending, lambda: self._on_call_sent(number)
            )
        except NoReaderError:
            self._take_pending(number)
            return False
        self.counters.add("kills_forwarded")
        return True

    def share_drain(self, is_draining: bool) -> None:
        """Tell the other processes that an operator began or ended a drain."""
        call = self.last_drain_call = DrainCall(self.processes.slot, is_draining)
        for slot in self.processes.others_by_slot():
            with contextlib.suppress(NoReaderError):  # it has ended, or is of a build without this call
                self._send_with_retries(slot, call, lambda: self.last_drain_call is call)

    def _on_call_sent(self, number: int) -> None:
        if (pending := self.pending.get(number)) is not None:
            pending.is_sent = True

    def _send_with_retries(
        self,
        slot: int,
        message: SiblingMessage,
        is_current: Callable[[], bool],
        on_sent: Callable[[], None] = lambda: None,
    ) -> None:
        """Send a message; if that is not possible now, retry later.

        Args:
            slot: The slot of the process that the message is for.
            message: The message.
            is_current: Returns whether the message must still be sent.
            on_sent: Called once the message is sent.

        Raises:
            NoReaderError: The process has ended, or does not receive calls.
        """
        if not is_current():
            return
        if self._send(slot, message):
            on_sent()
            return

        def retry() -> None:
            with contextlib.suppress(NoReaderError):  # it has ended meanwhile
                self._send_with_retries(slot, message, is_current, on_sent)

        self.clock.call_in(SEND_RETRY_MS, retry)

    def _send(self, slot: int, message: SiblingMessage) -> bool:
        """Send a message; return whether that succeeded. Raises NoReaderError."""
        try:
            write_to_pipe(self.processes.pipe_path(slot), encode(message))
        except OSError:
            self.counters.add("sibling_sends_failed")
            return False
        return True

    def _on_timeout(self, number: int) -> None:
        if (pending := self.pending.get(number)) is not None:
            self.counters.add("sibling_calls_unanswered")
            self._end(number, pending.is_sent)

    def _end(self, number: int, result: bool) -> None:
        if (pending := self._take_pending(number)) is not None:
            pending.on_result(result)

    def _take_pending(self, number: int) -> PendingCall | None:
        if (pending := self.pending.pop(number, None)) is not None:
            pending.timer.cancel()
        return pending

    def _on_data(self, data: bytes) -> None:
        for message in decode(data):
            match message:
                case KillCall():
                    self._execute_kill(message)
                case KillResult(_, number, is_known):
                    self._end(number, is_known)
                case DrainCall(_, is_draining):
                    if self.drain_handler is not None:
                        self.drain_handler.set_draining(is_draining)
                case None:
                    self.counters.add("sibling_malformed")

    def _execute_kill(self, call: KillCall) -> None:
        handler = self.kill_handler
        is_known = handler is not None and handler.kill(call.connection_id, call.only_query)
        with contextlib.suppress(NoReaderError):  # the sender has ended
            self._send(call.sender_slot, KillResult(self.processes.slot, call.call_number, is_known))
