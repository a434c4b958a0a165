"""What this dispatcher believes of engines: the claims of all sources made into one list. Pure.

`Belief.step` is fed the clock and what sources told and returns what to publish, confirm and log. The rule
for sources that disagree:

1. *The cautious word wins.* An engine that any source lists as draining or in trouble gets nothing new.
2. *A told end drains at once*, also where other sources list the engine still. It serves again only once each
   of those has told of it anew, after the end; it is gone once none lists it.
3. *Address, zone, kind and size* come from the first source, in the order of the configuration, that lists
   it.
4. *One address, one engine.* Of two ids at one address the one registered later wins; between sources that
   can't be compared, the one of the earlier source. The other gets nothing new: it would be the same process.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from cottonhold.discovery.model import (
    Action,
    Address,
    Change,
    Event,
    Guard,
    Lost,
    Observation,
    Publish,
    Remark,
    Report,
)
from cottonhold.discovery.source_view import Claim, View
from cottonhold.scheduler.events import Engine, EngineState

Named = tuple[View, Claim]


@dataclass(slots=True, frozen=True)
class Known:
    """A row for operators: what is believed of one engine, why, since when, by whose word and how old it
    is.
    """

    id: str
    state: str
    address: str
    why: str
    source: str
    index: int
    since: float
    age_ms: float
    held: bool


@dataclass(slots=True)
class Standing:
    """What was published of an engine, and the ends told of it that others have not answered yet."""

    engine: Engine
    address: Address | None
    ended_at: float = -math.inf
    rivals: set[str] = field(default_factory=set)  # ids that lost this one's address


class Belief:
    """The one list, and the sources that it is made from, in the order of their precedence."""

    def __init__(self, sources: Sequence[tuple[str, Guard]], seed: int, unix_offset: float = 0.0) -> None:
        self.seed, self.unix_offset = seed, unix_offset
        self.views = {name: self._view(name, i, guard) for i, (name, guard) in enumerate(sources)}
        self.standing: dict[str, Standing] = {}
        self.owners: dict[Address, str] = {}
        self.doubtful: set[str] = set()  # judged in each step: an end that others have not answered yet

    def _view(self, name: str, precedence: int, guard: Guard) -> View:
        return View(name, precedence, guard, self.seed, self.unix_offset)

    # --- what happens ---

    def step(self, now: float, events: Iterable[Event] = ()) -> list[Action]:
        """Take in what sources told by now; returns what is to be done. An unknown source raises KeyError."""
        actions: list[Action] = []
        events = list(events)
        # Danger: placed one by one, all starts of a list told in many reports counted as now, the last one
        # only being as late as any; and a dispatcher that came back held the whole fleet for cold.
        for event in events:
            if isinstance(event, Report):
                self.views[event.source].starts.hear(now, (o.started_at for o in event.observations))
        for event in events:
            view = self.views[event.source]
            match event:
                case Report():
                    view.tell(now, event)
                case Lost():
                    view.lose(now, event)
        for view in self.views.values():
            if view.waiting or view.held:
                view.tick(now)
            actions += view.remarks
            view.remarks.clear()
        change, remarks = self._merge(now)
        if change is not None:
            actions.insert(0, Publish(change))
        return actions + remarks

    def seed_known(self, now: float, observations: Sequence[Observation]) -> list[Action]:
        """The list to begin with where no source has answered yet: every source is taken to have told it."""
        for view in self.views.values():
            view.tell(now, Report(view.name, 0, tuple(observations), whole=True))
            view.answers = 0  # the first real answer still tells of engines that were there before
            view.starts.current(-math.inf)
        return self.step(now)

    def current(self, now: float, source: str) -> None:
        """A trusted source's answer is taken in whole; it may have told nothing new."""
        if source in self.views:
            self.views[source].starts.current(now)

    def next_at(self) -> float:
        """When `step` is due even if nothing is told; infinity if never."""
        return min((view.next_at() for view in self.views.values()), default=math.inf)

    def reload(self, now: float, sources: Sequence[tuple[str, Guard]]) -> list[Action]:
        """Other sources or guards. What a source that stays has told is kept; one that is gone ends its
        claims.
        """
        old = self.views
        self.views = {}
        for precedence, (name, guard) in enumerate(sources):
            view = old.pop(name) if name in old else self._view(name, precedence, guard)
            self.views[name] = view
            view.precedence, view.guard, view.damping.guard = precedence, guard, guard
        for view in old.values():
            self.doubtful |= view.claims.keys()
        return self.step(now)

    # --- one list of many ---

    def _merge(self, now: float) -> tuple[Change | None, list[Action]]:
        touched: dict[str, list[View]] = {}
        for view in self.views.values():
            for id in view.touched:
                touched.setdefault(id, []).append(view)
            view.touched.clear()
        for id in self.doubtful:
            touched.setdefault(id, [])
        self.doubtful.clear()
        changed: dict[str, Engine] = {}
        remarks: list[Action] = []
        # Danger: what leaves an address must be judged before what comes there, whatever the order of names.
        order = sorted(touched, key=lambda id: (bool(self._claims(id)), id))
        while order:
            id = order.pop(0)
            self._judge(now, id, touched.get(id, []), changed, remarks, order)
        if not changed:
            return None, remarks
        addresses = {id: a for id in changed if (s := self.standing.get(id)) and (a := s.address) is not None}
        for id in [id for id, e in changed.items() if e.state is EngineState.REMOVED]:
            del self.standing[id]
        return Change(tuple(changed.values()), addresses, whole=False), remarks

    def _judge(
        self,
        now: float,
        id: str,
        told_by: list[View],
        changed: dict[str, Engine],
        remarks: list[Action],
        order: list[str],
    ) -> None:
        """What is believed of one engine now; appends to `order` the engines that this concerns as well."""
        claims, standing = self._claims(id), self.standing.get(id)
        if not claims:
            if standing is not None:
                self._vacate(id, standing, order)
                changed[id] = standing.engine = Engine(id, state=EngineState.REMOVED)
            return
        view, first = claims[0]
        address = first.seen.address
        if standing is None:
            standing = self.standing[id] = Standing(Engine(id, state=EngineState.REMOVED), None)
        if any(id not in v.claims for v in told_by):
            standing.ended_at = now
        state = self._state(claims, standing)
        if address != standing.address:
            self._vacate(id, standing, order)
        if address is not None and self._exclusive() and not self._owns(id, claims, address, order):
            if state is EngineState.LIVE:
                remarks.append(Remark("address_taken", {"engine": id, "by": self.owners[address]}))
                state = EngineState.DRAINING
        engine = Engine(
            id,
            zone=first.seen.zone,
            machine_type=first.seen.model,
            cell=first.seen.cell,
            state=state,
            size=first.seen.size,
            started_at=max(claim.started_at for _, claim in claims),
        )
        if engine != standing.engine or address != standing.address:
            standing.engine, standing.address = engine, address
            changed[id] = engine

    def _claims(self, id: str) -> list[Named]:
        """The claims on an engine, by precedence."""
        found = [(view, view.claims[id]) for view in self.views.values() if id in view.claims]
        return [named for named in found if named[1].state is not EngineState.REMOVED]

    def _state(self, claims: list[Named], standing: Standing) -> EngineState:
        if any(claim.state is not EngineState.LIVE for _, claim in claims):
            return EngineState.DRAINING
        # An end is answered by a word that came after it; one of the same moment may be older news.
        if any(view.heard_at <= standing.ended_at for view, _ in claims):
            self.doubtful.add(standing.engine.id)
            return EngineState.DRAINING
        return EngineState.LIVE

    # --- one address, one engine ---

    def _exclusive(self) -> bool:
        """Whether addresses are compared; one trusted source has compared its own."""
        return len(self.views) > 1 or not all(view.guard.trusted for view in self.views.values())

    def _owns(self, id: str, claims: list[Named], address: Address, order: list[str]) -> bool:
        """Whether the address is this engine's; if it takes it from another, that one is judged anew."""
        owner = self.owners.get(address)
        if owner is None or owner == id:
            self.owners[address] = id
            return True
        others = self._claims(owner)
        holder = self.standing.get(owner)
        if others and self._rank(claims) <= self._rank(others):
            if holder is not None:
                holder.rivals.add(id)
            return False
        self.owners[address] = id
        mine = self.standing[id]
        mine.rivals.add(owner)
        if holder is not None:
            mine.rivals |= holder.rivals - {id}
            holder.rivals.clear()
        if owner not in order:
            order.append(owner)
        return True

    def _rank(self, claims: list[Named]) -> tuple[int, int]:
        """Who keeps an address: the earlier source, and within one the later registration."""
        view, claim = claims[0]
        return (-view.precedence, claim.seen.registered)

    def _vacate(self, id: str, standing: Standing, order: list[str]) -> None:
        """The engine leaves its address: those that wanted it are judged anew."""
        if standing.address is not None and self.owners.get(standing.address) == id:
            del self.owners[standing.address]
            order += [rival for rival in sorted(standing.rivals) if rival not in order]
            standing.rivals.clear()

    # --- for operators ---

    def rows(self, now: float) -> list[Known]:
        """What is believed, by id."""
        rows = []
        for id, standing in sorted(self.standing.items()):
            claims = self._claims(id)
            if not claims:
                continue
            worst = next((n for n in claims if n[1].state is not EngineState.LIVE), claims[0])
            view, claim = worst
            rows.append(
                Known(
                    id=id,
                    state=standing.engine.state.value,
                    address=str(standing.address),
                    why=claim.seen.reason,
                    source=view.name,
                    index=claim.index,
                    since=claim.since,
                    age_ms=now - view.heard_at,
                    held=claim.held,
                )
            )
        return rows
