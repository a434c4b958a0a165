"""One source's claims on engines, after its guards: the floor, the damping, and who is a new process. Pure.

A source that is not trusted is guarded in three ways:

- *Floor*: symptoms and absences can't take more than a share of the engines out of service. What would pass
  that is held: the engine counts as before, until fewer are in trouble or a second reading confirms that it
  is absent. One observer that sees everything fail is more likely broken than everything is, and the decision
  module's own signs (refused connects, silence, errors) still tell which engines really are.
- *Damping*: 'nothing new' takes effect at once; coming back needs quiet (damping.py).
- *Cold*: an engine that comes back counts as a new process, which has nothing warm, unless the source proves
  that it is the old one.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from cottonhold.discovery.damping import Damping
from cottonhold.discovery.model import Address, Confirm, Guard, Lost, Observation, Remark, Report, Verdict
from cottonhold.discovery.start_times import Starts
from cottonhold.scheduler.events import EngineState

STATES = {
    Verdict.IN: EngineState.LIVE,
    Verdict.TROUBLED: EngineState.DRAINING,
    Verdict.DRAINED: EngineState.DRAINING,
    Verdict.ENDED: EngineState.REMOVED,
}
BAD = (Verdict.TROUBLED, Verdict.ENDED)  # what the floor weighs
MOST_ENDED = 1024  # engines that are gone, whose starts are remembered


@dataclass(slots=True)
class Claim:
    """What a source says of an engine and what is made of it.

    `seen` is the last word; `state` what it amounts to now. `back_at` is when a return counts (infinity: none
    is due); `held` that the floor keeps the last word from counting. `process`, `registered` and `address`
    are of the process that served last; `started_at` is its start on the own clock, made from `stamp`.
    """

    seen: Observation
    state: EngineState
    since: float
    heard_at: float
    index: int
    started_at: float
    stamp: float
    process: str
    registered: int
    address: Address | None
    back_at: float = math.inf
    held: bool = False


class View:
    """All claims of one source."""

    def __init__(self, name: str, precedence: int, guard: Guard, seed: int, unix_offset: float) -> None:
        self.name, self.precedence, self.guard = name, precedence, guard
        self.starts = Starts(unix_offset)
        self.damping = Damping(guard, random.Random(f"{seed}/{name}"))
        self.claims: dict[str, Claim] = {}
        self.waiting: dict[str, float] = {}  # engines that are due back, and when
        self.held: dict[str, Claim] = {}
        self.ended: dict[
            str, tuple[float, float]
        ] = {}  # engines that are gone: stamp, and where it was placed
        self.well, self.out = 0, 0  # engines in service by their last word; out of service by symptoms
        self.index, self.answers, self.heard_at = 0, 0, 0.0
        self.lost_since, self.lost_why = math.inf, ""
        self.touched: set[str] = set()
        self.remarks: list[Remark | Confirm] = []

    # --- what is told ---

    def tell(self, now: float, report: Report) -> None:
        """Take an answer in. The claims that may have changed are in `touched` afterwards."""
        if self.lost_since < math.inf:
            self._remark("source_back", after_ms=round(now - self.lost_since))
            self.lost_since, self.lost_why = math.inf, ""
        first, self.answers = self.answers == 0, self.answers + 1
        self.index, self.heard_at = report.index, now
        absent = list(report.absent)
        if report.whole:
            named = {o.id for o in report.observations}
            absent += [id for id in self.claims if id not in named]
        lost = [(id, self._ended(id)) for id in dict.fromkeys(absent) if id in self.claims]
        falls: list[tuple[str, Observation]] = []
        for o in report.observations:
            if self._take(now, o, report.index, first):
                falls.append((o.id, o))
        if report.confirmed:
            for id, o in lost:
                self._end(now, id, o, "a consistent reading agrees")
        else:
            falls += lost
        self._fall(now, falls, report.index, report.confirmed)
        if not self.guard.trusted:  # of the event bus many reports may make up one answer
            self.starts.current(now)

    def lose(self, now: float, event: Lost) -> None:
        """The source can't be reached: say so once, and again if the reason changes; keep everything."""
        if self.lost_since == math.inf:
            self.lost_since = now
            self._remark("source_lost", why=event.why, engines_kept=len(self.claims), index=self.index)
        elif event.why != self.lost_why:
            self._remark("source_still_lost", why=event.why, after_ms=round(now - self.lost_since))
        self.lost_why = event.why

    def tick(self, now: float) -> None:
        """Let in whoever has been quiet for long enough."""
        for id in [id for id, at in self.waiting.items() if at <= now]:
            claim = self.claims[id]
            del self.waiting[id]
            claim.back_at = math.inf
            self._enter(now, claim, claim.seen, "quiet for long enough")
        self._weigh(now)

    def next_at(self) -> float:
        """When `tick` has something to do; infinity if never."""
        return min(self.waiting.values(), default=math.inf)

    # --- one engine ---

    def _ended(self, id: str) -> Observation:
        return replace(self.claims[id].seen, verdict=Verdict.ENDED, reason="no longer listed")

    def _take(self, now: float, o: Observation, index: int, first: bool) -> bool:
        """Take in the word on one engine; true where it is a loss that the floor must weigh first."""
        claim = self.claims.get(o.id)
        if claim is None:
            return self._meet(now, o, index, first)
        claim.heard_at, claim.index = now, index
        # Danger: a symptom's engine that is in service only because the floor holds it must not pass for
        # well.
        if o.verdict in BAD:
            if self.guard.trusted or claim.state is not EngineState.LIVE:
                self._out(now, claim, o)
                return False
            return True
        self._set_seen(claim, o)
        if o.verdict is Verdict.DRAINED:
            self._leave(now, claim, o)
        elif claim.state is EngineState.LIVE:
            self._renew(now, claim, o)
        else:
            self._return(now, claim, o)
        return False

    def _meet(self, now: float, o: Observation, index: int, first: bool) -> bool:
        """An engine not claimed before. It counts as cold, unless it was there at this gateway's own start.

        One met with a symptom is out of service from the start: there is no last list that could stay in
        force.
        """
        if o.verdict is Verdict.ENDED:
            return False
        started = 0.0 if first and o.started_at <= 0 else self._start(now, o)
        stamp, placed = self.ended.pop(o.id, (0.0, 0.0))
        if self.guard.trusted and o.started_at == stamp > 0:
            # Danger: an engine that was off the list for a while, and never off, passed for one just begun.
            started = placed
        state = STATES[o.verdict]
        claim = Claim(o, state, now, now, index, started, o.started_at, o.process, o.registered, o.address)
        self.claims[o.id] = claim
        self.touched.add(o.id)
        self._count(o.verdict, 1)
        quiet = 0.0 if self.guard.trusted else self.damping.quiet(o.id, now)
        if o.verdict is Verdict.IN and quiet > 0:
            claim.state = EngineState.DRAINING
            self._wait(now, claim, quiet)
        return False

    def _renew(self, now: float, claim: Claim, o: Observation) -> None:
        """An engine in service is told of again: the same process, or another under its id."""
        if self.guard.trusted:
            started = self._told_start(now, claim, o)
        elif self._same(claim, o):
            started = claim.started_at
            if started <= 0 < o.started_at:
                # Danger: a list from before knows no starts. An engine that had begun anew while this gateway
                # was down, and of which the source tells so, passed for the one of then, and for warm.
                started = self._start(now, o)
        else:
            started = self._start(now, o)
            self._remark("engine_new_process", engine=o.id, address=str(o.address))
        self._serve(claim, o, started)

    def _serve(self, claim: Claim, o: Observation, started: float) -> None:
        claim.started_at, claim.process, claim.registered = started, o.process, o.registered
        claim.address, claim.stamp = o.address, o.started_at
        self.touched.add(o.id)

    def _same(self, claim: Claim, o: Observation) -> bool:
        """Whether it can still be the process that served last, though nothing else was heard between."""
        if claim.process and o.process:
            return claim.process == o.process and claim.address == o.address
        # A list from the configuration knows no registrations (0): the address has to do.
        return claim.registered in (0, o.registered) and claim.address == o.address

    def _start(self, now: float, o: Observation) -> float:
        """When a process not seen before began, on the own clock; without a stamp, a trusted source says that
        it is long past, and of others nobody knows.
        """
        if o.started_at > 0:
            return self.starts.place(now, o.started_at)
        return 0.0 if self.guard.trusted else now

    def _told_start(self, now: float, claim: Claim, o: Observation) -> float:
        """The start of an engine told of again: the same stamp is the same process, and stays where it was
        placed.
        """
        return claim.started_at if o.started_at == claim.stamp else self._start(now, o)

    def _return(self, now: float, claim: Claim, o: Observation) -> None:
        if self.guard.trusted:
            self._enter(now, claim, o, o.reason)
        elif claim.back_at == math.inf:
            quiet = self.damping.quiet(o.id, now)
            if quiet > 0:
                self._wait(now, claim, quiet)
            else:
                self._enter(now, claim, o, o.reason)

    def _wait(self, now: float, claim: Claim, quiet: float) -> None:
        claim.back_at = self.waiting[claim.seen.id] = now + quiet
        self._remark("engine_waits", engine=claim.seen.id, quiet_ms=round(quiet))

    def _enter(self, now: float, claim: Claim, o: Observation, why: str) -> None:
        proven = bool(o.process) and self._same(claim, o)
        if self.guard.trusted:
            started = self._told_start(now, claim, o)
        else:
            started = claim.started_at if proven else self._start(now, o)
        claim.state, claim.since = EngineState.LIVE, now
        self._serve(claim, o, started)
        self._remark("engine_in", engine=o.id, why=why, warm=proven)

    def _leave(self, now: float, claim: Claim, o: Observation) -> None:
        """Nothing new from now on; what runs there may end."""
        if claim.state is EngineState.LIVE or claim.back_at < math.inf:
            self._fell(o.id, now)
            self._remark("engine_out", engine=o.id, why=o.reason)
        if claim.state is EngineState.LIVE:
            claim.since = now
        claim.back_at = math.inf
        self.waiting.pop(o.id, None)
        claim.state = EngineState.DRAINING
        self.touched.add(o.id)

    def _end(self, now: float, id: str, o: Observation, why: str) -> None:
        claim = self.claims.pop(id)
        self._release(id, claim)
        self._count(claim.seen.verdict, -1)
        self.waiting.pop(id, None)
        if claim.stamp > 0:
            self.ended[id] = claim.stamp, claim.started_at
            if len(self.ended) > MOST_ENDED:
                del self.ended[next(iter(self.ended))]
        if claim.state is EngineState.LIVE:
            self._fell(id, now)
        self.touched.add(id)
        self._remark("engine_gone", engine=id, why=f"{o.reason}; {why}" if why else o.reason)

    def _fell(self, id: str, now: float) -> None:
        if not self.guard.trusted:  # else nothing would ever read the count
            self.damping.fell(id, now)

    def _out(self, now: float, claim: Claim, o: Observation) -> None:
        """A loss that counts."""
        if o.verdict is Verdict.ENDED:
            self._end(now, o.id, o, "")
        else:
            self._release(o.id, claim)
            self._set_seen(claim, o)
            self._leave(now, claim, o)

    # --- the floor ---

    def _fall(
        self, now: float, falls: Iterable[tuple[str, Observation]], index: int, confirmed: bool
    ) -> None:
        """Losses of one answer count together with those before: all of them, or none beyond the floor."""
        fresh = [(id, o) for id, o in falls if id in self.claims]
        for id, o in fresh:
            claim = self.claims[id]
            if claim.state is not EngineState.LIVE or self.guard.trusted:
                self._out(now, claim, o)
            elif claim.held:
                claim.seen = o
            else:
                self._hold(claim, o)
        if self._weigh(now) and fresh:
            self._remark("floor_holds", held=len(self.held), out=self.out, well=self.well, index=index)
        absent = tuple(sorted(id for id, c in self.held.items() if c.seen.verdict is Verdict.ENDED))
        if absent and not confirmed:
            self.remarks.append(Confirm(self.name, absent))

    def _weigh(self, now: float) -> bool:
        """Let what is held count if enough stay in service without it; whether something is still held.

        Danger: engines that are well but not quiet for long enough serve nothing yet. Counted as serving,
        they let the last ones that do serve be taken out.
        """
        listed = self.well + self.out + len(self.held)
        left = self.well - len(self.waiting)
        if left >= max(1, math.ceil(listed * self.guard.floor - 1e-9)):
            for id in list(self.held):
                self._out(now, self.claims[id], self.held[id].seen)
        return bool(self.held)

    def _hold(self, claim: Claim, o: Observation) -> None:
        self._count(claim.seen.verdict, -1)
        claim.held, claim.seen = True, o
        self.held[o.id] = claim

    def _release(self, id: str, claim: Claim) -> None:
        """No longer held. What was seen of it is not counted until `_set_seen` or the end."""
        if claim.held:
            del self.held[id]
            claim.held = False
            self._count(claim.seen.verdict, 1)

    def _set_seen(self, claim: Claim, o: Observation) -> None:
        self._release(o.id, claim)
        self._count(claim.seen.verdict, -1)
        claim.seen = o
        self._count(o.verdict, 1)

    def _count(self, verdict: Verdict, by: int) -> None:
        if verdict is Verdict.IN:
            self.well += by
        elif verdict in BAD:
            self.out += by

    def _remark(self, event: str, **fields: object) -> None:
        if not self.guard.trusted or event.startswith("source"):
            self.remarks.append(Remark(event, {"source": self.name, **fields}))
