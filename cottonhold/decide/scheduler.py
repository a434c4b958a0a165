"""The decisions of one query gateway in front of analytic query engines.

Interface: cottonhold/decide/interface.py (settings, events, actions). This file holds every decision.

The mechanism is the worth-density plan of O4A and DO4A ("Online Approximation Scheme for Scheduling
Heterogeneous Utility Jobs in Edge Computing"); docs/design/scheduler.md tells what is kept and changed.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from typing import Any

from cottonhold.decide import (
    admission,
    answers,
    capacity,
    engine_health,
    engine_list,
    failover,
    learning,
    ordering,
    peers,
    placement,
    pressure,
    release,
    retry,
    state,
)
from cottonhold.decide import interface as io
from cottonhold.decide.gateway_state import GatewayState
from cottonhold.decide.interface import Outcome
from cottonhold.decide.parameters import (
    HEARTBEAT_MS,
    LEFT_LEAST,
    REPLAN_MS,
    SUSPICION_MS,
    THREADS_PER_CORE,
    TRAFFIC_MEMORY_MS,
)
from cottonhold.decide.peers import PEER_PRICE
from cottonhold.decide.state import Query

PROBES_PER_QUERY = 0.3  # own probes for each own query, at most
PROBE_PRICE = 0.003  # of the result that probes may cost: where they are dear fewer are sent

__all__ = ["PEER_PRICE", "THREADS_PER_CORE", "Scheduler"]


class Scheduler(GatewayState):
    """Decides for one gateway: call step with the clock and what happened, carry out what it returns."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        super().__init__(settings, random.Random(seed), share=1.0 / settings.gateways)
        self.reach = self.share
        self.handlers: dict[type, Callable[[Any], None]] = {
            io.Arrival: lambda event: admission.on_arrival(self, event),
            io.AttemptEnded: self._on_ended,
            io.Note: self._on_note,
            io.EngineList: lambda event: engine_list.on_list(self, event),
            io.ClientGone: lambda event: admission.on_gone(self, event),
            io.Probed: lambda event: engine_health.on_probed(self, event),
            io.PeerMessage: lambda event: peers.on_message(self, event),
            io.StreamStarted: self._on_stream,
            io.ListFailed: lambda event: engine_list.on_list_failed(self, event),
            io.Timer: lambda _: None,
            io.Retune: lambda event: self._adopt(event.settings),
            io.Bounds: lambda event: engine_list.on_bounds(self, event),
            io.Price: lambda event: admission.on_threshold(self, event),
            io.Leaving: lambda event: self.deadlines.cut(event.until),
        }
        self._adopt(settings)

    def _adopt(self, settings: io.Settings) -> None:
        """The settings in force from now on; a query keeps its class and its attempts to its end."""
        # Danger: known by place, a class that moved or came back with another effect got what another taught.
        known = dict(zip(self.settings.classes, self.classes, strict=False))
        self.classes = [known.get(cls) or state.Learned.blank(SUSPICION_MS) for cls in settings.classes]
        self.tenants = [state.Traffic(TRAFFIC_MEMORY_MS) for _ in settings.tenants]
        self.settings, self.slack = settings, HEARTBEAT_MS + 2 * settings.tick
        self.probe_part = min(PROBES_PER_QUERY, PROBE_PRICE / max(settings.prices.probe, 1e-9))
        self.next_peer = 0.0 if settings.permits.peers and settings.gateways > 1 else math.inf

    def step(self, now: float, events: Iterable[io.Event]) -> list[io.Action]:
        """Take in what happened by now and decide; the one entry point."""
        self.now, self.actions, self.changed = now, [], False
        if now >= self.wake_at - self.settings.tick / 2:
            self.wake_at = math.inf
        for event in events:
            self.handlers[type(event)](event)
        for q in self.deadlines.take(now + self.slack):
            if not q.out:
                answers.answer(self, q)
        if now >= self.next_beat - self.settings.tick / 2:
            self._sweep()
        if now >= self.next_peer:
            peers.tell_work(self)
        if now >= self.next_ask:
            engine_list.ask(self)
        if self.changed:
            release.release(self)
        self._wake()
        return self.actions

    def _wake(self) -> None:
        """Ask to be woken for what is due next: a gateway with nothing held or out costs nothing."""
        beat = self.now + HEARTBEAT_MS if self.active or self.doubted or self.homeless else math.inf
        self.next_beat = min(self.next_beat, beat)
        due = min(self.next_beat, self.next_peer, self.next_ask, self.deadlines.first() - self.slack)
        if due < self.wake_at:
            self.wake_at = due
            self.actions.append(io.Wake(max(due - self.now, self.settings.tick), 0))

    def _on_note(self, event: io.Note) -> None:
        q, e = self.queries.get(event.query), self.engines.get(event.engine)
        if q is None or e is None or q.id not in e.out:
            return
        engine_health.heard_from(self, e, q.sent_at)
        if event.kind is io.NoteKind.PROGRESS:
            learning.learn_progress(self, q, e, event.value)
        elif event.kind is io.NoteKind.SPILL:
            learning.learn_spill(q, event.value)
        elif event.value == 1:
            q.waits, q.run_at, e.pressed_until = True, self.now, self.now + pressure.FULL_REST_MS
        elif q.tables not in e.locks or e.locks[q.tables] < self.now:
            e.locks[q.tables] = self.now + self.settings.note_period

    # --- outcomes ---

    def _on_ended(self, event: io.AttemptEnded) -> None:
        q, e = self.queries.get(event.query), self.engines.get(event.engine)
        if e is not None:
            engine_health.judge(self, e, q, event)
        if q is None or not q.out:
            return
        q.out, q.trickle, self.changed = False, False, True
        if e is not None:
            self.pool.drop_out(q, e, LEFT_LEAST)
            q.tried.add(e.id)
            release.rest_after_wide(self, q)
            if q.cls.loads and not e.loading.get(q.tables):
                e.locks.pop(q.tables, None)
        if event.outcome is Outcome.TIMEOUT and not self.settings.permits.cancel:
            self.unseen = [u for u in self.unseen if u[0] > self.now] + [(self.now + q.p * (1 - q.done), q)]
        retry.note_risk(q, e, event.outcome)
        ordering.rest_after(self, q, event.outcome)
        if q.over or event.final:
            answers.close(self, q, served=True)
            return
        self._again(q, event.outcome)

    def _again(self, q: Query, outcome: Outcome) -> None:
        """Try elsewhere if rules and time allow, else answer at once."""
        if (
            outcome is Outcome.MOOT
            or retry.repeat_barred(self, q)
            or self.now + max(q.p / 2, self.slack) > q.due
        ):
            answers.answer(self, q)
        else:
            placement.place(self, q)
            release.release(self)

    def _on_stream(self, event: io.StreamStarted) -> None:
        if q := self.queries.get(event.query):
            q.streaming = True

    def _sweep(self) -> None:
        """Silence, rescues and suspicions that end, every heartbeat."""
        now, self.next_beat, self.changed = self.now, math.inf, True
        learning.follow_best(self)
        for e in list(self.active.values()):
            engine_health.check_silence(self, e)
            if self.settings.permits.cancel:
                failover.cancel_stragglers(self, e)
            if not e.out and not e.plan:
                del self.active[e.id]
        engine_health.check_suspicions(self)
        if now >= self.next_replan:
            self.next_replan = now + REPLAN_MS
            capacity.count_room(self)
            placement.replan(self)
