"""Adapter between the simulator's protocol on standard input and output and the scheduler.

One process serves many gateway instances. The adapter only translates messages; all decisions are made in
cottonhold/scheduler. Run it as `python -m cottonhold.simulator_adapter`.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import TextIO

from cottonhold.config.settings import decode_settings
from cottonhold.message_validation import NUMBER, Json, WireError, read, read_mapped
from cottonhold.scheduler.actions import (
    Action,
    Cancel,
    CheckHealth,
    DemandEstimate,
    Fail,
    LogLine,
    Reject,
    Send,
    SendToPeer,
    SetTimer,
    Subscribe,
    UpdateAttempt,
)
from cottonhold.scheduler.events import (
    AttemptEnded,
    ClientDisconnected,
    Engine,
    EngineList,
    EngineListFailed,
    EngineState,
    Event,
    HealthCheckCompleted,
    Outcome,
    PeerMessage,
    ProgressKind,
    ProgressNote,
    QueryArrived,
    StreamStarted,
    TimerExpired,
)
from cottonhold.scheduler.scheduler import Scheduler
from cottonhold.scheduler.settings import Settings

__all__ = ["decode_health_check", "decode_settings", "run"]

USED_WORK_SHIFT = 12  # number of low bits of "used_up" for the memory in steps; the high bits are work in ms
USED_MEMORY_MASK = (1 << USED_WORK_SHIFT) - 1
USED_MEMORY_STEP_MB = 4

OUTCOMES = {
    200: Outcome.OK,
    502: Outcome.ERROR,
    429: Outcome.OVERLOADED,
    408: Outcome.TIMEOUT,
    521: Outcome.CONNECT_FAILED,
    520: Outcome.RESET,
    444: Outcome.CANCELLED,
    409: Outcome.NOT_STARTED,
}
STATES = {
    "live": EngineState.LIVE,
    "quiescing": EngineState.DRAINING,
    "dead": EngineState.REMOVED,
}


def decode_engine(source: Json) -> Engine:
    """Decode one entry of an engine list."""
    return Engine(
        id=read(source, "node", str),
        zone=read(source, "campus", int, 0),
        machine_type=read(source, "type", int, 0),
        cell=read(source, "pod", int, 0),
        state=read_mapped(source, "stage_state", STATES),
        size=read(source, "heft", NUMBER, 1.0),
        started_at=read(source, "ready_at", NUMBER, 0.0),
    )


def decode_load_report(source: Json, settings: Settings) -> dict[str, float]:
    """Decode a load report into values by field name; entries that are not numbers are left out."""
    values = read(source, "gauge", list, [])
    return {
        name: value
        for name, value in zip(settings.load_report_fields, values, strict=False)
        if isinstance(value, NUMBER)
    }


def decode_query_arrived(message: Json, settings: Settings) -> Event:
    """Decode the arrival of a query.

    Raises:
        WireError: A field is malformed, or the settings don't have the query's class.
    """
    query_class = read(message, "kind", int)
    tenant = read(message, "party", int, 0)
    if not 0 <= query_class < len(settings.classes):
        raise WireError(f"field 'kind' names no class: {query_class}")
    return QueryArrived(
        query_id=read(message, "req", str),
        query_class=query_class,
        deadline_at=read(message, "due", NUMBER),
        estimated_work_ms=read(message, "est_cost", NUMBER, 0.0),
        estimated_memory_mb=read(message, "footprint_mb", NUMBER, 0.0),
        table_group=read(message, "source_set", NUMBER, -1),
        tenant=tenant,
        ordering_key=read(message, "order_key", str, None),
        is_retry=read(message, "retry", bool, False),
    )


def decode_attempt_ended(message: Json, settings: Settings) -> Event:
    """Decode the end of an attempt; the work and memory used are packed in one number."""
    used = read(message, "used_up", int, 0)
    return AttemptEnded(
        query_id=read(message, "req", str),
        attempt=read(message, "attempt", int),
        engine=read(message, "node", str),
        outcome=read_mapped(message, "ending", OUTCOMES, int),
        elapsed_ms=read(message, "elapsed", NUMBER, 0.0),
        is_final=read(message, "last", bool, False),
        actual_work_ms=float(used >> USED_WORK_SHIFT),
        actual_memory_mb=float(used & USED_MEMORY_MASK) * USED_MEMORY_STEP_MB,
        load_report=decode_load_report(message, settings),
    )


def decode_progress_note(message: Json, settings: Settings) -> Event:
    """Decode a progress note."""
    kinds = {kind.value: kind for kind in ProgressKind}
    return ProgressNote(
        read(message, "req", str),
        read(message, "attempt", int),
        read(message, "node", str),
        read_mapped(message, "kind", kinds, int),
        read(message, "x", NUMBER, 0.0),
    )


def decode_stream_started(message: Json, settings: Settings) -> Event:
    """Decode the start of a streamed result."""
    return StreamStarted(read(message, "req", str), read(message, "attempt", int), read(message, "node", str))


def decode_peer_message(message: Json, settings: Settings) -> Event:
    """Decode a message from another gateway.

    Raises:
        WireError: A field is malformed, or the data is not hexadecimal.
    """
    try:
        return PeerMessage(read(message, "src_peer", int), bytes.fromhex(read(message, "data", str)))
    except ValueError as error:
        raise WireError("field 'data' is not hex") from error


def decode_health_check(message: Json, settings: Settings) -> Event:
    """Decode the result of a health check."""
    outcome = read_mapped(message, "ending", OUTCOMES, int)
    return HealthCheckCompleted(read(message, "node", str), outcome, decode_load_report(message, settings))


EVENT_DECODERS: dict[str, Callable[[Json, Settings], Event]] = {
    "NEW_REQUEST": decode_query_arrived,
    "DONE": decode_attempt_ended,
    "HINT_UPDATE": decode_progress_note,
    "FIRST": decode_stream_started,
    "DATAGRAM": decode_peer_message,
    "SAMPLED": decode_health_check,
    "LAPSED": lambda message, settings: ClientDisconnected(read(message, "req", str)),
    "ELAPSED": lambda message, settings: TimerExpired(read(message, "name", int)),
}


def encode_action(action: Action) -> Json:
    """Encode an action as a message.

    Raises:
        ValueError: The protocol has no message for the action.
    """
    match action:
        case Send(query, engine, timeout_ms):
            return {"event_type": "ISSUE", "req": query, "node": engine, "allow_for": timeout_ms}
        case UpdateAttempt(query, memory_mb, priority):
            return {"event_type": "PROVIDE", "req": query, "workspace_mb": memory_mb, "lane": priority}
        case Cancel(query, attempt):
            return {"event_type": "ABANDON", "req": query, "attempt": attempt}
        case Reject(query, retry_after_ms):
            return {"event_type": "SAY_NO", "req": query, "retry_after": retry_after_ms}
        case Fail(query):
            return {"event_type": "RESPOND_ERROR", "req": query}
        case CheckHealth(engine):
            return {"event_type": "HEALTH_CHECK", "node": engine}
        case Subscribe(is_on):
            return {"event_type": "TAIL", "enable": is_on}
        case SendToPeer(payload, peer):
            return {"event_type": "BROADCAST_TO", "neighbour_id": peer, "data": payload.hex()}
        case SetTimer(delay_ms, token):
            return {"event_type": "WAKE_ME", "offset": delay_ms, "name": token}
        case LogLine(text):
            return {"event_type": "LOG", "reason_text": text}
        case DemandEstimate():
            raise ValueError("the protocol has no message for demand estimates")


class Adapter:
    """Collects the events of a batch by gateway instance, and writes one reply to the batch."""

    def __init__(self, output: TextIO) -> None:
        """Create an adapter without instances that writes its replies to `output`."""
        self.output = output
        self.schedulers: dict[int, Scheduler] = {}
        self.pending_events: dict[int, list[Event]] = {}
        self.engine_lists: dict[int, tuple[Engine, ...]] = {}
        self.now = 0.0
        self.round = 0

    def on_message(self, message: Json) -> None:
        """Process one message of a batch.

        Raises:
            WireError: The message violates the protocol.
        """
        name = read(message, "event_type", str)
        if name == "TICK":
            self.now = read(message, "sim_time", NUMBER)
            self.round = read(message, "round", int)
        elif name == "YOUR_TURN":
            self._reply()
        elif name == "REGISTER":
            self._on_register(message)
        elif name == "HELLO":
            self._on_hello(message)
        else:
            self._on_event(name, message)

    def _on_register(self, message: Json) -> None:
        """Store a numbered engine list, to which later VIEW events refer."""
        entries = read(message, "entries", list)
        self.engine_lists[read(message, "sheet", int)] = tuple(decode_engine(entry) for entry in entries)

    def _on_hello(self, message: Json) -> None:
        """Create an instance with its settings; it replaces an instance with the same id and its state."""
        gateway_id = read(message, "gateway_id", int)
        seed = read(message, "init_seed", int)
        try:
            settings = decode_settings(read(message, "params", dict))
            self.schedulers[gateway_id] = Scheduler(settings, seed)
        except ValueError as error:
            raise WireError(f"field 'params': {error}") from error
        self.pending_events[gateway_id] = []

    def _on_event(self, name: str, message: Json) -> None:
        """Remove the instance at a HALT message, or add the event of any other message to its batch."""
        gateway_id = read(message, "gateway_id", int)
        if gateway_id not in self.schedulers:
            raise WireError(f"field 'gateway_id' names an unknown instance: {gateway_id}")
        if name == "HALT":
            del self.schedulers[gateway_id]
            self.pending_events.pop(gateway_id, None)
            return
        if name == "VIEW":
            event = self._decode_view(message)
        elif name in EVENT_DECODERS:
            event = EVENT_DECODERS[name](message, self.schedulers[gateway_id].settings)
        else:
            raise WireError(f"field 'event_type' names an unknown event: {name}")
        self.pending_events.setdefault(gateway_id, []).append(event)

    def _decode_view(self, message: Json) -> Event:
        """Decode a change of the engine list, which refers to a stored list by its number."""
        form = read(message, "form", str)
        if form == "X":
            return EngineListFailed()
        sheet = read(message, "sheet", int)
        if sheet not in self.engine_lists:
            raise WireError(f"field 'sheet' names an unknown list: {sheet}")
        return EngineList(self.engine_lists[sheet], is_complete=form != "D")

    def _reply(self) -> None:
        """Run a step of every instance in the batch, and write the actions and the acknowledgement."""
        lines = []
        for gateway_id, events in self.pending_events.items():
            for action in self._step(gateway_id, events):
                action["gateway_id"] = gateway_id
                lines.append(json.dumps(action))
        lines.append(json.dumps({"event_type": "ACK", "round": self.round}))
        self.output.write("\n".join(lines) + "\n")
        self.output.flush()
        self.pending_events = {}

    def _step(self, gateway_id: int, events: list[Event]) -> list[Json]:
        """Run a step of one instance and return its encoded actions.

        If the step fails, the GIVE_IN message that is returned instead ends the simulation.
        """
        try:
            return [encode_action(action) for action in self.schedulers[gateway_id].step(self.now, events)]
        except Exception as error:
            text = f"{type(error).__name__}: {error}"
            print(f"instance {gateway_id}: {text}", file=sys.stderr)
            return [{"event_type": "GIVE_IN", "reason_text": text}]


def run(source: TextIO, output: TextIO, errors: TextIO) -> int:
    """Process messages until the input ends; return 0, or 2 after a line that violates the protocol."""
    adapter = Adapter(output)
    for number, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            message = json.loads(line)
            if not isinstance(message, dict):
                raise WireError("not an object")
            adapter.on_message(message)
        except json.JSONDecodeError as error:
            print(f"line {number}: not JSON: {error}", file=errors)
            return 2
        except WireError as error:
            print(f"line {number}: {error}", file=errors)
            return 2
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.stdin, sys.stdout, sys.stderr))
