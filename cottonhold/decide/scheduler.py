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
    answers,
    capacity,
    engine_health,
    engine_list,
    estimates,
    learning,
    ordering,
    peers,
    placement,
    pressure,
    retry,
    slow_start,
    state,
)
from cottonhold.decide import interface as io
from cottonhold.decide.gateway_state import GatewayState
from cottonhold.decide.interface import Effect, Outcome
from cottonhold.decide.parameters import (
    ALPHA,
    CANDIDATES,
    GOLDEN,
    HEARTBEAT_MS,
    LEFT_LEAST,
    PASSED,
    REPLAN_MS,
    REPORT_FRESH_MS,
    SUSPICION_MS,
    THREADS_PER_CORE,
    TRAFFIC_MEMORY_MS,
)
from cottonhold.decide.peers import PEER_PRICE
from cottonhold.decide.state import EngineView, Query

OVERFULL = 1.25  # times the room is too full also for what passes: work done falls steeply from there
RESCUE_FACTOR = 2.0  # plans run before a rescue, times run that are guessed to be left, times sooner than it
PROBES_PER_QUERY = 0.3  # own probes for each own query, at most
PROBE_PRICE = 0.003  # of the result that probes may cost: where they are dear fewer are sent
PATIENCE_ALIKE = 0.02  # of the time that most clients leave a first try: ticks and the way here scatter it
REPEATS_MOST = 1.5  # repeats for each query turned away: clients of other gateways come too
PATIENCE_VOTES = 40  # majority vote on it, at most: where clients differ too much, none counts as a repeat

__all__ = ["PEER_PRICE", "THREADS_PER_CORE", "Scheduler"]


class Scheduler(GatewayState):
    """Decides for one gateway: call step with the clock and what happened, carry out what it returns."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        super().__init__(settings, random.Random(seed), share=1.0 / settings.gateways)
        self.reach = self.share
        self.handlers: dict[type, Callable[[Any], None]] = {
            io.Arrival: self._on_arrival,
            io.AttemptEnded: self._on_ended,
            io.Note: self._on_note,
            io.EngineList: lambda event: engine_list.on_list(self, event),
            io.ClientGone: self._on_gone,
            io.Probed: lambda event: engine_health.on_probed(self, event),
            io.PeerMessage: lambda event: peers.on_message(self, event),
            io.StreamStarted: self._on_stream,
            io.ListFailed: lambda event: engine_list.on_list_failed(self, event),
            io.Timer: lambda _: None,
            io.Retune: lambda event: self._adopt(event.settings),
            io.Bounds: lambda event: engine_list.on_bounds(self, event),
            io.Price: lambda event: setattr(self, "threshold", event),
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
            self._release()
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

    # --- release ---

    def _has_room(self, q: Query, e: EngineView) -> bool:
        """Thread and memory room bind only under pressure; one query of this gateway may always be out."""
        # Memory binds also without pressure: paging shows only in the jam. Where grants are trimmed one query
        # pays, not all, so there it binds as far as the fleet is reported busy.
        pressed, short = pressure.pressed(self, e), self.settings.when_short
        binds = {io.WhenShort.WAIT: 0.0, io.WhenShort.SHRINK: self.util, io.WhenShort.PAGE: 1.0}[short]
        # Danger: a lookup waited for room until reports of seconds ended, and was refused as too late, though
        # the engine would have let it pass them. So what q passes holds it back in part only.
        density, o = q.density if self.settings.permits.priorities else 0.0, e.sum_told(self.now, self.alike)
        above, needed, _ = e.levels.held_by(density, ALPHA)
        wide = above + (e.threads_out - above) * PASSED + q.cls.threads
        needed += (e.memory_out - needed) * PASSED + q.memory
        part = pressure.not_passed(self, density)
        wide, needed = (wide + o.threads * part) / e.room, (needed + o.memory * part) / e.memory_room
        # Danger: each of forty saw its own few out and let more in, till memory ran over and all spilled.
        over = max((e.threads_out + o.threads) / e.room, (e.memory_out + o.memory) / e.memory_room) / OVERFULL
        limit = 1.0 if self.heard else self.share
        full = over > 1 or pressed and wide > limit or (pressed or self.heard) and needed > limit
        if full and (e.out or o.threads):
            return False
        # Danger: one query of each gateway on each engine floods the fleet; paging shows only in the jam. So
        # the share is of the whole fleet; any spare above it adds up. What q passes does not hold it back.
        # Rounded down, 1.8 queries were one, and clients that a fleet's one price had let in waited in vain.
        threads, memory, busy = self.pool.sound.held_by(density, ALPHA)
        # Danger: a timed-out attempt that nothing cancels runs on unseen; it counts for the time planned.
        unseen = [o for until, o in self.unseen if until > self.now]
        filled = (memory + sum(o.memory for o in unseen) + q.memory) / self.full_memory
        used = (threads + sum(o.cls.threads for o in unseen) + q.cls.threads) / self.full_room
        used = max(used, filled) if pressed else filled * math.sqrt(self.blind) * binds
        if not busy:
            return used <= self.share or self.now >= self.pool_rest
        turn = self.settings.me + self.now // max(REPLAN_MS, q.p)
        turn = self.threshold.told and turn * GOLDEN % 1
        return used <= self.share + turn * q.cls.threads / self.full_room

    def _release(self) -> None:
        """Send held queries in plan order while there is room; the densest plan goes first."""
        for e in sorted(filter(lambda e: e.plan, self.active.values()), key=lambda e: -e.plan[0].density):
            place, blocked = 0, 0.0
            while place < len(e.plan):
                q = e.plan[place]
                # Danger: one without room at the head held all back, also those that pass it on the engine.
                # A load behind another would only stand still there, and keep readers waiting the longer;
                # asked for room at each step, those that wait for their tables took most of the CPU.
                if blocked and q.density <= ALPHA * blocked or q.cls.loads and e.loading.get(q.tables):
                    place += 1
                    continue
                if (
                    not self._has_room(q, e)
                    or q.density <= 0
                    and pressure.fleet_fill(self, self.util) > pressure.IDLE_FILL
                ):
                    blocked = q.density  # above any before it, else it was passed over
                    if not blocked or not self.settings.permits.priorities:
                        break
                    place += 1
                    continue
                if self._barred(q, e):
                    place += 1
                    continue
                q.leave_plan()
                self._send(q, e)

    def _send(self, q: Query, e: EngineView) -> None:
        now = self.now
        grant = estimates.grant(self, q, e)
        if grant != q.grant or q.lane != q.lane_told:
            self.actions.append(io.Terms(q.id, grant, q.lane))
            q.grant, q.lane_told = grant, q.lane
        timeout = learning.TEACH_LIMIT * q.p + engine_health.SILENCE_MIN_MS if q.trickle else 0.0
        self.actions.append(io.Send(q.id, e.id, timeout))
        if q.attempts:
            retry.count_further_attempt(self)
        q.attempts += 1
        q.out, q.sent_at, q.seen_at, q.run_at, q.done, q.engine = True, now, now, now, 0.0, e
        q.cancelled = q.waits = False
        self.pool.add_out(q, e)
        slow_start.spend(q, e)
        if q.cls.loads:
            e.locks[q.tables] = max(e.locks.get(q.tables, 0.0), now + q.p)
            peers.tell_load(self, q, e)

    # --- outcomes ---

    def _on_arrival(self, event: io.Arrival) -> None:
        q = Query(event, self.settings, self.classes[event.query_class], self.now, next(self.serial))
        q.began = self._first_tried(q, event.retry)
        self.queries[q.id] = q
        retry.count_taken(self)
        self.traffic.add(self.now)
        self.probes = min(self.probes + self.probe_part, CANDIDATES)
        # Danger: where only probes tell load, or answers are rare, load is a guess. A probe fills in where
        # the report is oldest, within what is left over from doubts; may hurt where probes cost more.
        if self.settings.permits.probes and self.probes >= 2 and self.near:
            e = min(self.near, key=lambda e: (max(e.report_at, e.probed_at), e.rank))
            if self.now - e.report_at > REPORT_FRESH_MS:
                engine_health.probe(self, e)
        if q.tenant < len(self.tenants):
            self.tenants[q.tenant].add(self.now)
        ordering.join(self, q)
        self.deadlines.add(q)
        placement.place(self, q)
        self.actions += [io.Offered(q.id, q.top, q.work())] if event.draw is not None else []
        if q.engine is None:
            return
        # Danger: loads that came faster than their tables come free stood in line to the deadline, all late,
        # each with a client's connection. So one is held if it can be in time; may hurt in a short burst.
        late = q.cls.loads and q.finish > q.aim_at and q.engine.line.get(q.tables, 0.0) > q.p
        if late or self._underpriced(q, event.draw) or q.density <= 0 and q.began < q.arrived:
            answers.answer(self, q)

    def _underpriced(self, q: Query, draw: float | None) -> bool:
        # Danger: each shed by its own plan: cheap ones were served at one gateway and dear ones refused at
        # another. May hurt where the price is wrong; it holds for a second at most.
        p, worth = self.threshold, q.top / max(q.work(), 1e-3)
        return draw is not None and self.now < p.until and worth < (p.density if draw < p.share else p.above)

    def _first_tried(self, q: Query, marked: bool) -> float:
        # Danger: worth is judged from a client's first try; a repeat past its aim earns as little as any late
        # answer, yet looked as dense as a new query and filled engines. Unmarked, it is told by a time left
        # unlike that of most. Also covers clients' own time-outs; may hurt clients of unusual patience.
        c, left = q.learned, q.due - self.now
        alike = c.left_alike(self.now, left, PATIENCE_ALIKE, None if marked else PATIENCE_VOTES)
        # Danger: clients that leave themselves little time looked like repeats and were refused as too late.
        # Only what was turned away can come again: more than that are no repeats.
        came = c.unlike.per_s(self.now) <= REPEATS_MOST * c.turned.per_s(self.now)
        repeat = marked or not alike and came and c.votes > PATIENCE_VOTES / 4
        return min(self.now, q.due - q.cls.deadline) if repeat else self.now

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
            # Danger: one query may always be out, and one wider than the own room, from each of hundreds of
            # gateways, thrashes the fleet for good. So a rest follows such a one: the mean stays in room.
            wide = max(q.cls.threads / self.full_room, q.memory / self.full_memory) / self.share
            if wide > 1:
                self.pool_rest = max(self.pool_rest, self.now) + (self.now - q.sent_at) * (wide - 1)
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
            self._release()

    def _on_gone(self, event: io.ClientGone) -> None:
        if (q := self.queries.get(event.query)) and not q.over:
            q.leave_plan()
            # Danger: the attempt of a client that left runs on for nobody. A load still runs to its end.
            if self.settings.permits.cancel and q.cls.effect is not Effect.UNSAFE:
                self._cancel(q)
            answers.close(self, q)

    def _cancel(self, q: Query) -> None:
        if q.out and not q.cancelled:
            q.cancelled = True
            self.actions.append(io.Cancel(q.id, q.attempts - 1))

    def _on_stream(self, event: io.StreamStarted) -> None:
        if q := self.queries.get(event.query):
            q.streaming = True

    # --- guards ---

    def _barred(self, q: Query, e: EngineView) -> str:
        """Checks every rule before a send; names the rule that bars it, or nothing."""
        if q.out or q.over or not placement.fits(q, e):
            return "attempt out, drain or placement"
        if ordering.out_of_turn(self, q):
            return "order"
        if q.attempts and (why := retry.repeat_barred(self, q)):
            return why
        if slow_start.barred(self, q, e):
            return "cold engine"
        return ""

    def _sweep(self) -> None:
        """Silence, rescues and suspicions that end, every heartbeat."""
        now, self.next_beat, self.changed = self.now, math.inf, True
        learning.follow_best(self)
        for e in list(self.active.values()):
            engine_health.check_silence(self, e)
            if self.settings.permits.cancel:
                self._rescue(e)
            if not e.out and not e.plan:
                del self.active[e.id]
        engine_health.check_suspicions(self)
        if now >= self.next_replan:
            self.next_replan = now + REPLAN_MS
            capacity.count_room(self)
            placement.replan(self)

    def _rescue(self, e: EngineView) -> None:
        # Danger: bad plans, hung or slowed engines hold a query far past its plan; cancel where a fresh
        # attempt ends much sooner. On a full fleet most runs pass two plans, and those given up there were a
        # fifth of all work: where engines are rarely heard of, up to twice as many are waited for then.
        plans = RESCUE_FACTOR * (
            1 + self.blind * (pressure.fleet_fill(self, 0.0) > pressure.IDLE_FILL)
        )  # reports lag
        for q in list(e.out.values()):
            age = self.now - q.sent_at
            if q.cancelled or q.over or q.streaming or q.cls.effect is not Effect.SAFE:
                continue
            told = q.seen_at > q.run_at  # a note told its pace: a bad plan shows in the first one
            gone = e.suspect in engine_health.UNHEARD or not e.bound
            if not gone and age < plans * q.p and not told or retry.repeat_barred(self, q):
                continue
            left = math.inf if gone else RESCUE_FACTOR * age
            if self.settings.note_period and not gone:
                left = (self.now - q.run_at) / max(q.done, 0.05) * (1 - q.done)
            others = [o for o in placement.candidates(self, q) if o is not e and not o.suspect]
            fresh = min((placement.tentative(self, q, o)[0] for o in others), default=math.inf) - self.now
            if left > RESCUE_FACTOR * fresh and self.now + fresh < q.due:
                self._cancel(q)
