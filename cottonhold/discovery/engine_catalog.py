"""The one list of engines, merged from the claims of all sources. Pure.

`EngineCatalog.step` takes the time and the sources' events, and returns what to publish, confirm and log.
Where sources disagree:

1. *The most cautious claim wins.* An engine that any source lists as draining or unhealthy gets nothing new.
2. *A reported end drains at once*, also where other sources still list the engine. It serves again only once
   each of those has reported it anew, after the end; it is removed once none lists it.
3. *Address, zone, machine type and size* come from the first source, in the order of the configuration, that
   lists it.
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
    EngineListChange,
    Event,
    LogEvent,
    Observation,
    PublishChange,
    SourceGuard,
    SourceLost,
    SourceReport,
)
from cottonhold.discovery.source_view import Claim, SourceView
from cottonhold.scheduler.events import Engine, EngineState

SourceClaim = tuple[SourceView, Claim]


@dataclass(slots=True, frozen=True)
class CatalogRow:
    """A row for operators: the state of one engine, the reason, since when, and the deciding claim with
    its age.
    """

    id: str
    state: str
    address: str
    reason: str
    source: str
    index: int
    since: float
    age_ms: float
    is_held: bool


@dataclass(slots=True)
class PublishedEngine:
    """What was published of an engine, and when a source last reported its end."""

    engine: Engine
    address: Address | None
    ended_at: float = -math.inf
    address_rivals: set[str] = field(default_factory=set)  # ids that claim its address in vain


class EngineCatalog:
    """The one list, and the sources that it is merged from, in the order of their precedence."""

    def __init__(
        self, sources: Sequence[tuple[str, SourceGuard]], seed: int, unix_offset: float = 0.0
    ) -> None:
        self.seed, self.unix_offset = seed, unix_offset
        self.views = {name: self._view(name, i, guard) for i, (name, guard) in enumerate(sources)}
        self.published: dict[str, PublishedEngine] = {}
        self.owner_by_address: dict[Address, str] = {}
        # Engines with a reported end that other sources have not answered yet; evaluated in each step.
        self.unresolved: set[str] = set()

    def _view(self, name: str, precedence: int, guard: SourceGuard) -> SourceView:
        return SourceView(name, precedence, guard, self.seed, self.unix_offset)

    def step(self, now: float, events: Iterable[Event] = ()) -> list[Action]:
        """Apply the sources' events; returns what is to be done. Raises KeyError for an unknown source."""
        actions: list[Action] = []
        events = list(events)
        # All start stamps are learned before any is converted: a list may come in many reports, and its
        # latest stamp decides.
        for event in events:
            if isinstance(event, SourceReport):
                self.views[event.source].start_times.learn(now, (o.started_at for o in event.observations))
        for event in events:
            view = self.views[event.source]
            match event:
                case SourceReport():
                    view.on_report(now, event)
                case SourceLost():
                    view.on_lost(now, event)
        for view in self.views.values():
            if view.return_times or view.held_losses:
                view.step(now)
            actions += view.actions
            view.actions.clear()
        change, log_events = self._publish_changes(now)
        if change is not None:
            actions.insert(0, PublishChange(change))
        return actions + log_events

    def set_initial(self, now: float, observations: Sequence[Observation]) -> list[Action]:
        """Begin with a list before any source has answered, as if every source had reported it."""
        for view in self.views.values():
            view.on_report(now, SourceReport(view.name, 0, tuple(observations), is_complete=True))
            view.answer_count = 0  # the first real answer still lists engines that were there before
            view.start_times.on_complete_answer(-math.inf)
        return self.step(now)

    def on_complete_answer(self, now: float, source: str) -> None:
        """A complete answer of a trusted source was applied; it may have brought nothing new."""
        if source in self.views:
            self.views[source].start_times.on_complete_answer(now)

    def next_at(self) -> float:
        """When `step` is due even if nothing is reported; infinity if never."""
        return min((view.next_at() for view in self.views.values()), default=math.inf)

    def reload(self, now: float, sources: Sequence[tuple[str, SourceGuard]]) -> list[Action]:
        """Change sources or guards. A source that stays retains its claims; those of a removed one end."""
        old = self.views
        self.views = {}
        for precedence, (name, guard) in enumerate(sources):
            view = old.pop(name) if name in old else self._view(name, precedence, guard)
            self.views[name] = view
            view.precedence, view.guard, view.damping.guard = precedence, guard, guard
        for view in old.values():
            self.unresolved |= view.claims.keys()
        return self.step(now)

    def _publish_changes(self, now: float) -> tuple[EngineListChange | None, list[Action]]:
        changed_by: dict[str, list[SourceView]] = {}
        for view in self.views.values():
            for engine_id in view.changed_engines:
                changed_by.setdefault(engine_id, []).append(view)
            view.changed_engines.clear()
        for engine_id in self.unresolved:
            changed_by.setdefault(engine_id, [])
        self.unresolved.clear()
        changed: dict[str, Engine] = {}
        log_events: list[Action] = []
        # An engine that leaves an address is evaluated before one that arrives there, whatever their names.
        queue = sorted(changed_by, key=lambda engine_id: (bool(self._claims(engine_id)), engine_id))
        while queue:
            engine_id = queue.pop(0)
            self._evaluate(now, engine_id, changed_by.get(engine_id, []), changed, log_events, queue)
        if not changed:
            return None, log_events
        addresses = {
            engine_id: entry.address
            for engine_id in changed
            if (entry := self.published.get(engine_id)) and entry.address is not None
        }
        for engine_id in [engine_id for engine_id, e in changed.items() if e.state is EngineState.REMOVED]:
            del self.published[engine_id]
        return EngineListChange(tuple(changed.values()), addresses, is_complete=False), log_events

    def _evaluate(
        self,
        now: float,
        engine_id: str,
        changed_views: list[SourceView],
        changed: dict[str, Engine],
        log_events: list[Action],
        queue: list[str],
    ) -> None:
        """Determine one engine's state; appends to `queue` the engines that this concerns as well."""
        claims, entry = self._claims(engine_id), self.published.get(engine_id)
        if not claims:
            if entry is not None:
                self._release_address(engine_id, entry, queue)
                changed[engine_id] = entry.engine = Engine(engine_id, state=EngineState.REMOVED)
            return
        if entry is None:
            entry = PublishedEngine(Engine(engine_id, state=EngineState.REMOVED), None)
            self.published[engine_id] = entry
        if any(engine_id not in view.claims for view in changed_views):
            entry.ended_at = now
        state = self._state(claims, entry)
        address = claims[0][1].observation.address
        if address != entry.address:
            self._release_address(engine_id, entry, queue)
        if not self._may_use_address(engine_id, claims, address, queue) and state is EngineState.LIVE:
            assert address is not None
            owner = self.owner_by_address[address]
            fields = {"engine": engine_id, "owner": owner}
            log_events.append(LogEvent("address_conflict", fields, counted_as="address_taken"))
            state = EngineState.DRAINING
        engine = _merge(engine_id, claims, state)
        if engine != entry.engine or address != entry.address:
            entry.engine, entry.address = engine, address
            changed[engine_id] = engine

    def _claims(self, engine_id: str) -> list[SourceClaim]:
        """The claims on an engine, by precedence."""
        return [
            (view, claim)
            for view in self.views.values()
            if (claim := view.claims.get(engine_id)) is not None and claim.state is not EngineState.REMOVED
        ]

    def _state(self, claims: list[SourceClaim], entry: PublishedEngine) -> EngineState:
        if any(claim.state is not EngineState.LIVE for _, claim in claims):
            return EngineState.DRAINING
        # An end is answered by a report that came after it; one of the same moment may be older.
        if any(view.last_answer_at <= entry.ended_at for view, _ in claims):
            self.unresolved.add(entry.engine.id)
            return EngineState.DRAINING
        return EngineState.LIVE

    def _addresses_are_exclusive(self) -> bool:
        """Whether addresses are compared; a single trusted source has compared its own."""
        return len(self.views) > 1 or not all(view.guard.is_trusted for view in self.views.values())

    def _may_use_address(
        self, engine_id: str, claims: list[SourceClaim], address: Address | None, queue: list[str]
    ) -> bool:
        """Whether no other engine keeps the address; claims it for this one."""
        if address is None or not self._addresses_are_exclusive():
            return True
        return self._claim_address(engine_id, claims, address, queue)

    def _claim_address(
        self, engine_id: str, claims: list[SourceClaim], address: Address, queue: list[str]
    ) -> bool:
        """Whether the address is this engine's now; one that loses it is evaluated anew."""
        owner = self.owner_by_address.get(address)
        if owner is None or owner == engine_id:
            self.owner_by_address[address] = engine_id
            return True
        others = self._claims(owner)
        holder = self.published.get(owner)
        if others and self._address_rank(claims) <= self._address_rank(others):
            if holder is not None:
                holder.address_rivals.add(engine_id)
            return False
        self.owner_by_address[address] = engine_id
        entry = self.published[engine_id]
        entry.address_rivals.add(owner)
        if holder is not None:
            entry.address_rivals |= holder.address_rivals - {engine_id}
            holder.address_rivals.clear()
        if owner not in queue:
            queue.append(owner)
        return True

    def _address_rank(self, claims: list[SourceClaim]) -> tuple[int, int]:
        """Which claim keeps an address: the earlier source's, and within one the later registration."""
        view, claim = claims[0]
        return (-view.precedence, claim.observation.registration_index)

    def _release_address(self, engine_id: str, entry: PublishedEngine, queue: list[str]) -> None:
        """The engine leaves its address: those that claim it are evaluated anew."""
        if entry.address is not None and self.owner_by_address.get(entry.address) == engine_id:
            del self.owner_by_address[entry.address]
            queue += [rival for rival in sorted(entry.address_rivals) if rival not in queue]
            entry.address_rivals.clear()

    def status_rows(self, now: float) -> list[CatalogRow]:
        """All engines that a source lists, by id."""
        rows = []
        for engine_id, entry in sorted(self.published.items()):
            claims = self._claims(engine_id)
            if not claims:
                continue
            worst = next((n for n in claims if n[1].state is not EngineState.LIVE), claims[0])
            view, claim = worst
            rows.append(
                CatalogRow(
                    id=engine_id,
                    state=entry.engine.state.value,
                    address=str(entry.address),
                    reason=claim.observation.reason,
                    source=view.name,
                    index=claim.index,
                    since=claim.since,
                    age_ms=now - view.last_answer_at,
                    is_held=claim.is_held,
                )
            )
        return rows


def _merge(engine_id: str, claims: list[SourceClaim], state: EngineState) -> Engine:
    """The engine as the first claim describes it, with the latest start of all."""
    observation = claims[0][1].observation
    return Engine(
        engine_id,
        zone=observation.zone,
        machine_type=observation.machine_type,
        cell=observation.cell,
        state=state,
        size=observation.size,
        started_at=max(claim.started_at for _, claim in claims),
    )
