"""The simulator's wire on standard input and output, for many gateways in one process.

Translates only; every decision is in cottonhold/scheduler. Runs as `python -m cottonhold.simulator_adapter`.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from typing import TextIO

from cottonhold.config.settings import read_settings
from cottonhold.message_validation import NUMBER, Json, WireError, read, word
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

__all__ = ["read_probed", "read_settings", "run"]

OUTCOMES = {
    200: Outcome.OK,
    502: Outcome.ERROR,
    429: Outcome.OVERLOADED,
    408: Outcome.TIMEOUT,
    521: Outcome.CONNECT_FAILED,
    520: Outcome.RESET,
    444: Outcome.CANCELLED,
    409: Outcome.ALREADY_FINISHED,
}
STATES = {
    "live": EngineState.LIVE,
    "quiescing": EngineState.DRAINING,
    "dead": EngineState.REMOVED,
}


def read_engine(source: Json) -> Engine:
    """One line of an engine list."""
    return Engine(
        id=read(source, "node", str),
        zone=read(source, "campus", int, 0),
        machine_type=read(source, "type", int, 0),
        cell=read(source, "pod", int, 0),
        state=word(source, "stage_state", STATES),
        size=read(source, "heft", NUMBER, 1.0),
        started_at=read(source, "ready_at", NUMBER, 0.0),
    )


def read_report(source: Json, settings: Settings) -> dict[str, float]:
    """A load report under the field's names."""
    values = read(source, "gauge", list, [])
    return {
        name: v for name, v in zip(settings.load_report_fields, values, strict=False) if isinstance(v, NUMBER)
    }


def read_arrival(m: Json, settings: Settings) -> Event:
    kind, tenant = read(m, "kind", int), read(m, "party", int, 0)
    if not 0 <= kind < len(settings.classes):
        raise WireError(f"field 'kind' names no class: {kind}")
    return QueryArrived(
        query_id=read(m, "req", str),
        query_class=kind,
        deadline_at=read(m, "due", NUMBER),
        estimated_work_ms=read(m, "est_cost", NUMBER, 0.0),
        estimated_memory_mb=read(m, "footprint_mb", NUMBER, 0.0),
        table_group=read(m, "source_set", NUMBER, -1),
        tenant=tenant,
        ordering_key=read(m, "order_key", str, None),
        is_retry=read(m, "retry", bool, False),
    )


def read_ended(m: Json, settings: Settings) -> Event:
    used = read(m, "used_up", int, 0)
    return AttemptEnded(
        query_id=read(m, "req", str),
        attempt=read(m, "attempt", int),
        engine=read(m, "node", str),
        outcome=word(m, "ending", OUTCOMES, int),
        elapsed_ms=read(m, "elapsed", NUMBER, 0.0),
        is_final=read(m, "last", bool, False),
        actual_work_ms=float(used >> 12),
        actual_memory_mb=float(used & 4095) * 4,
        load_report=read_report(m, settings),
    )


def read_note(m: Json, settings: Settings) -> Event:
    kinds = {k.value: k for k in ProgressKind}
    return ProgressNote(
        read(m, "req", str),
        read(m, "attempt", int),
        read(m, "node", str),
        word(m, "kind", kinds, int),
        read(m, "x", NUMBER, 0.0),
    )


def read_first(m: Json, settings: Settings) -> Event:
    return StreamStarted(read(m, "req", str), read(m, "attempt", int), read(m, "node", str))


def read_peer(m: Json, settings: Settings) -> Event:
    try:
        return PeerMessage(read(m, "src_peer", int), bytes.fromhex(read(m, "data", str)))
    except ValueError as error:
        raise WireError("field 'data' is not hex") from error


def read_probed(m: Json, settings: Settings) -> Event:
    ending = word(m, "ending", OUTCOMES, int)
    return HealthCheckCompleted(read(m, "node", str), ending, read_report(m, settings))


READERS: dict[str, Callable[[Json, Settings], Event]] = {
    "NEW_REQUEST": read_arrival,
    "DONE": read_ended,
    "HINT_UPDATE": read_note,
    "FIRST": read_first,
    "DATAGRAM": read_peer,
    "SAMPLED": read_probed,
    "LAPSED": lambda m, s: ClientDisconnected(read(m, "req", str)),
    "ELAPSED": lambda m, s: TimerExpired(read(m, "name", int)),
}


def write_action(action: Action) -> Json:
    """An action in the wire's words. Raises ValueError for one that the wire has no word for."""
    match action:
        case Send(query, engine, timeout):
            return {"event_type": "ISSUE", "req": query, "node": engine, "allow_for": timeout}
        case UpdateAttempt(query, memory, priority):
            return {"event_type": "PROVIDE", "req": query, "workspace_mb": memory, "lane": priority}
        case Cancel(query, attempt):
            return {"event_type": "ABANDON", "req": query, "attempt": attempt}
        case Reject(query, retry_after):
            return {"event_type": "SAY_NO", "req": query, "retry_after": retry_after}
        case Fail(query):
            return {"event_type": "RESPOND_ERROR", "req": query}
        case CheckHealth(engine):
            return {"event_type": "HEALTH_CHECK", "node": engine}
        case Subscribe(on):
            return {"event_type": "TAIL", "enable": on}
        case SendToPeer(data, peer):
            return {"event_type": "BROADCAST_TO", "neighbour_id": peer, "data": data.hex()}
        case SetTimer(after, token):
            return {"event_type": "WAKE_ME", "offset": after, "name": token}
        case LogLine(text):
            return {"event_type": "LOG", "reason_text": text}
        case DemandEstimate():
            raise ValueError("the wire has no word for what is offered")


class Adapter:
    """Collects a batch's events by instance and writes one reply a batch."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.instances: dict[int, Scheduler] = {}
        self.pending: dict[int, list[Event]] = {}
        self.lists: dict[int, tuple[Engine, ...]] = {}
        self.now = 0.0
        self.round = 0

    def take(self, message: Json) -> None:
        """One line of a batch."""
        name = read(message, "event_type", str)
        if name == "TICK":
            self.now, self.round = read(message, "sim_time", NUMBER), read(message, "round", int)
        elif name == "YOUR_TURN":
            self.reply()
        elif name == "REGISTER":
            self.lists[read(message, "sheet", int)] = tuple(
                read_engine(entry) for entry in read(message, "entries", list)
            )
        elif name == "HELLO":
            self.hello(message)
        else:
            self.event(name, message)

    def hello(self, message: Json) -> None:
        """A new instance, knowing nothing but its settings."""
        number, seed = read(message, "gateway_id", int), read(message, "init_seed", int)
        try:
            self.instances[number] = Scheduler(read_settings(read(message, "params", dict)), seed)
        except ValueError as error:
            raise WireError(f"field 'params': {error}") from error
        self.pending[number] = []

    def event(self, name: str, message: Json) -> None:
        """An event of one instance."""
        number = read(message, "gateway_id", int)
        if number not in self.instances:
            raise WireError(f"field 'gateway_id' names an unknown instance: {number}")
        if name == "HALT":
            del self.instances[number]
            self.pending.pop(number, None)
        elif name == "VIEW":
            self.pending.setdefault(number, []).append(self.view(message))
        elif name in READERS:
            event = READERS[name](message, self.instances[number].settings)
            self.pending.setdefault(number, []).append(event)
        else:
            raise WireError(f"field 'event_type' names an unknown event: {name}")

    def view(self, message: Json) -> Event:
        """A change of the engine list, resolved against the lists named so far."""
        form = read(message, "form", str)
        if form == "X":
            return EngineListFailed()
        sheet = read(message, "sheet", int)
        if sheet not in self.lists:
            raise WireError(f"field 'sheet' names an unknown list: {sheet}")
        return EngineList(self.lists[sheet], is_complete=form != "D")

    def reply(self) -> None:
        """Let every instance with events decide and write the reply."""
        lines = []
        for number, events in self.pending.items():
            try:
                actions = [write_action(a) for a in self.instances[number].step(self.now, events)]
            except Exception as error:
                actions = [{"event_type": "GIVE_IN", "reason_text": f"{type(error).__name__}: {error}"}]
                print(f"instance {number}: {type(error).__name__}: {error}", file=sys.stderr)
            for action in actions:
                action["gateway_id"] = number
                lines.append(json.dumps(action))
        lines.append(json.dumps({"event_type": "ACK", "round": self.round}))
        self.out.write("\n".join(lines) + "\n")
        self.out.flush()
        self.pending = {}


def run(source: TextIO, out: TextIO, errors: TextIO) -> int:
    """Serve the wire until input ends; 2 after a line that does not follow it."""
    adapter = Adapter(out)
    for number, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            message = json.loads(line)
            if not isinstance(message, dict):
                raise WireError("not an object")
            adapter.take(message)
        except json.JSONDecodeError as error:
            print(f"line {number}: not JSON: {error}", file=errors)
            return 2
        except WireError as error:
            print(f"line {number}: {error}", file=errors)
            return 2
    return 0


if __name__ == "__main__":
    sys.exit(run(sys.stdin, sys.stdout, sys.stderr))
