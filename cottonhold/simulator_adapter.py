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
from cottonhold.scheduler import interface as io
from cottonhold.scheduler.scheduler import Scheduler

__all__ = ["read_probed", "read_settings", "run"]

OUTCOMES = {
    200: io.Outcome.OK,
    502: io.Outcome.ERROR,
    429: io.Outcome.FULL,
    408: io.Outcome.TIMEOUT,
    521: io.Outcome.CONNECT_FAILED,
    520: io.Outcome.RESET,
    444: io.Outcome.CANCELLED,
    409: io.Outcome.MOOT,
}
STATES = {
    "live": io.EngineState.LIVE,
    "quiescing": io.EngineState.DRAINING,
    "dead": io.EngineState.GONE,
}


def read_engine(source: Json) -> io.Engine:
    """One line of an engine list."""
    return io.Engine(
        id=read(source, "node", str),
        zone=read(source, "campus", int, 0),
        model=read(source, "type", int, 0),
        cell=read(source, "pod", int, 0),
        state=word(source, "stage_state", STATES),
        size=read(source, "heft", NUMBER, 1.0),
        started_at=read(source, "ready_at", NUMBER, 0.0),
    )


def read_report(source: Json, settings: io.Settings) -> dict[str, float]:
    """A load report under the field's names."""
    values = read(source, "gauge", list, [])
    return {name: v for name, v in zip(settings.report_fields, values, strict=False) if isinstance(v, NUMBER)}


def read_arrival(m: Json, settings: io.Settings) -> io.Event:
    kind, tenant = read(m, "kind", int), read(m, "party", int, 0)
    if not 0 <= kind < len(settings.classes):
        raise WireError(f"field 'kind' names no class: {kind}")
    return io.Arrival(
        query=read(m, "req", str),
        query_class=kind,
        due=read(m, "due", NUMBER),
        cost=read(m, "est_cost", NUMBER, 0.0),
        memory=read(m, "footprint_mb", NUMBER, 0.0),
        tables=read(m, "source_set", NUMBER, -1),
        tenant=tenant,
        order_key=read(m, "order_key", str, None),
        retry=read(m, "retry", bool, False),
    )


def read_ended(m: Json, settings: io.Settings) -> io.Event:
    used = read(m, "used_up", int, 0)
    return io.AttemptEnded(
        query=read(m, "req", str),
        attempt=read(m, "attempt", int),
        engine=read(m, "node", str),
        outcome=word(m, "ending", OUTCOMES, int),
        elapsed=read(m, "elapsed", NUMBER, 0.0),
        final=read(m, "last", bool, False),
        cost=float(used >> 12),
        memory=float(used & 4095) * 4,
        report=read_report(m, settings),
    )


def read_note(m: Json, settings: io.Settings) -> io.Event:
    kinds = {k.value: k for k in io.NoteKind}
    return io.Note(
        read(m, "req", str),
        read(m, "attempt", int),
        read(m, "node", str),
        word(m, "kind", kinds, int),
        read(m, "x", NUMBER, 0.0),
    )


def read_first(m: Json, settings: io.Settings) -> io.Event:
    return io.StreamStarted(read(m, "req", str), read(m, "attempt", int), read(m, "node", str))


def read_peer(m: Json, settings: io.Settings) -> io.Event:
    try:
        return io.PeerMessage(read(m, "src_peer", int), bytes.fromhex(read(m, "data", str)))
    except ValueError as error:
        raise WireError("field 'data' is not hex") from error


def read_probed(m: Json, settings: io.Settings) -> io.Event:
    ending = word(m, "ending", OUTCOMES, int)
    return io.Probed(read(m, "node", str), ending, read_report(m, settings))


READERS: dict[str, Callable[[Json, io.Settings], io.Event]] = {
    "NEW_REQUEST": read_arrival,
    "DONE": read_ended,
    "HINT_UPDATE": read_note,
    "FIRST": read_first,
    "DATAGRAM": read_peer,
    "SAMPLED": read_probed,
    "LAPSED": lambda m, s: io.ClientGone(read(m, "req", str)),
    "ELAPSED": lambda m, s: io.Timer(read(m, "name", int)),
}


def write_action(action: io.Action) -> Json:
    """An action in the wire's words. Raises ValueError for one that the wire has no word for."""
    match action:
        case io.Send(query, engine, timeout):
            return {"event_type": "ISSUE", "req": query, "node": engine, "allow_for": timeout}
        case io.Terms(query, memory, priority):
            return {"event_type": "PROVIDE", "req": query, "workspace_mb": memory, "lane": priority}
        case io.Cancel(query, attempt):
            return {"event_type": "ABANDON", "req": query, "attempt": attempt}
        case io.Refuse(query, retry_after):
            return {"event_type": "SAY_NO", "req": query, "retry_after": retry_after}
        case io.Fail(query):
            return {"event_type": "RESPOND_ERROR", "req": query}
        case io.Probe(engine):
            return {"event_type": "HEALTH_CHECK", "node": engine}
        case io.Subscribe(on):
            return {"event_type": "TAIL", "enable": on}
        case io.Tell(data, peer):
            return {"event_type": "BROADCAST_TO", "neighbour_id": peer, "data": data.hex()}
        case io.Wake(after, token):
            return {"event_type": "WAKE_ME", "offset": after, "name": token}
        case io.LogLine(text):
            return {"event_type": "LOG", "reason_text": text}
        case io.Offered():
            raise ValueError("the wire has no word for what is offered")


class Adapter:
    """Collects a batch's events by instance and writes one reply a batch."""

    def __init__(self, out: TextIO) -> None:
        self.out = out
        self.instances: dict[int, Scheduler] = {}
        self.pending: dict[int, list[io.Event]] = {}
        self.lists: dict[int, tuple[io.Engine, ...]] = {}
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

    def view(self, message: Json) -> io.Event:
        """A change of the engine list, resolved against the lists named so far."""
        form = read(message, "form", str)
        if form == "X":
            return io.ListFailed()
        sheet = read(message, "sheet", int)
        if sheet not in self.lists:
            raise WireError(f"field 'sheet' names an unknown list: {sheet}")
        return io.EngineList(self.lists[sheet], whole=form != "D")

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
