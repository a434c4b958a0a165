"""The engine list, merged from the claims of all sources; does no I/O.

`EngineCatalog.step` takes the time and the sources' events, and returns what to publish, confirm and log.
Conflicts between sources are resolved by these rules:

1. *The most cautious claim wins.* An engine that any source lists as draining or unhealthy receives no new
   queries.
2. *A reported end drains the engine immediately*, even if other sources still list it. It returns to service
   only after each of these sources has listed it in an answer received after the end; it is removed when no
   source lists it.
3. *Address, zone, machine type and size* are taken from the first source in the order of the configuration
   that lists the engine.
4. *One address belongs to one engine.* If two ids have the same address, that of the source with precedence
   wins, and within one source the later registration or start. The other receives no new queries, since they
   would reach the same process: a source may tell a new engine before the end of the one at its address.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from cottonhold.discovery.claim import Claim
from cottonhold.discovery.model import (
    Action,
    Address,
    EngineListChange,
    Event,
    LogEvent,
    Observation,
    PublishChange,
    SourceGuard,
    SourceReport,
    SourceUnavailable,
)
from cottonhold.discovery.source_view import SourceView
from cottonhold.scheduler.events import UNKNOWN_PLACE, Engine, EngineState

SourceClaim = tuple[SourceView, Claim]


@dataclass(slots=True, frozen=True)
class CatalogRow:
    """The state of one engine and the claim that decides it, as shown to operators.

    Attributes:
        id: The engine's id.
        state: The published state.
        address: The published address.
        reason: The deciding source's reason for the state.
        source: The name of the deciding source.
        index: The index of that source's answer.
        since: When the claim's state last changed, in ms on the local clock.
        age_ms: Time since the source's last answer, in ms.
        is_loss_deferred: Whether `min_in_service` defers a loss of the engine.
    """

    id: str
    state: str
    address: str
    reason: str
    source: str
    index: int
    since: float
    age_ms: float
    is_loss_deferred: bool


class AddressRank(NamedTuple):
    """Which of two engines owns an address that both claim: the one whose rank is greater.

    Attributes:
        precedence: Precedence of the source.
        registration_index: The engine's registration at the source; 0 if the source has none.
        started_at: When its process started, in ms on the local clock.
        is_live: Whether it is in service.
    """

    precedence: int
    registration_index: int
    started_at: float
    is_live: bool


@dataclass(slots=True)
class PublishedEngine:
    """The published state of an engine.

    Attributes:
        engine: The engine as published.
        address: Its published address.
        ended_at: When a source last reported its end, in ms on the local clock.
        address_rivals: Ids of engines that also claim the address, which this engine owns.
    """

    engine: Engine
    address: Address | None
    ended_at: float = -math.inf
    address_rivals: set[str] = field(default_factory=set)


class EngineCatalog:
    """The engine list and the views of its sources, in the order of their precedence."""

    def __init__(
        self, sources: Sequence[tuple[str, SourceGuard]], seed: int, unix_offset: float = 0.0
    ) -> None:
        self.seed, self.unix_offset = seed, unix_offset
        self.views = {name: self._view(name, i, guard) for i, (name, guard) in enumerate(sources)}
        self.published: dict[str, PublishedEngine] = {}
        self.owner_by_address: dict[Address, str] = {}
        # Engines that one source reported as ended, while an older answer of another source still lists
        # them; they are evaluated again in each step.
        self.unresolved: set[str] = set()

    def _view(self, name: str, precedence: int, guard: SourceGuard) -> SourceView:
        return SourceView(name, precedence, guard, self.seed, self.unix_offset)

    def step(self, now: float, events: Iterable[Event] = ()) -> list[Action]:
        """Apply the sources' events.

        Args:
            now: The time on the local clock, in ms.
            events: Reports and failures of the sources, in the order in which they were received.

        Returns:
            The change to publish, if any, followed by absences to confirm and events to log.

        Raises:
            KeyError: An event names a source that isn't configured.
        """
        actions: list[Action] = []
        events = list(events)
        # All start stamps are learned before any of them is converted: a list may be divided into many
        # reports, and the clock offset follows from the latest stamp.
        for event in events:
            if isinstance(event, SourceReport):
                self.views[event.source].start_times.learn(now, (o.started_at for o in event.observations))
        for event in events:
            view = self.views[event.source]
            match event:
                case SourceReport():
                    view.on_report(now, event)
                case SourceUnavailable():
                    view.on_source_unavailable(now, event)
        for view in self.views.values():
            if view.return_times or view.deferred_losses:
                view.step(now)
            actions += view.actions
            view.actions.clear()
        change, log_events = self._publish_changes(now)
        if change is not None:
            actions.insert(0, PublishChange(change))
        return actions + log_events

    def set_initial(self, now: float, observations: Sequence[Observation]) -> list[Action]:
        """Apply an initial engine list before any source has answered, as if every source had reported it."""
        for view in self.views.values():
            view.on_report(now, SourceReport(view.name, 0, tuple(observations), is_complete=True))
            view.answer_count = 0  # the source's own first answer is still treated as its first
            view.start_times.on_complete_answer(-math.inf)
        return self.step(now)

    def on_complete_answer(self, now: float, source: str) -> None:
        """Record that a complete answer of a trusted source was applied, even if it changed nothing."""
        if source in self.views:
            self.views[source].start_times.on_complete_answer(now)

    def next_at(self) -> float:
        """Return the time at which `step` is due even without events; infinity if there is none."""
        return min((view.next_at() for view in self.views.values()), default=math.inf)

    def reload(self, now: float, sources: Sequence[tuple[str, SourceGuard]]) -> list[Action]:
        """Apply changed settings: a source that remains keeps its claims, those of a removed one end."""
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
        # Engines without claims come first: they release their addresses before others claim these.
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
        """Determine the state of one engine, and append the engines that this affects to `queue`."""
        claims, entry = self._claims(engine_id), self.published.get(engine_id)
        if not claims:
            if entry is not None:
                self._release_address(engine_id, entry, queue)
                # Its place is kept: attempts that may still run there are repeated by it.
                changed[engine_id] = entry.engine = replace(
                    entry.engine, state=EngineState.REMOVED, started_at=0.0
                )
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
        """Return the claims on an engine, in the order of precedence."""
        return [
            (view, claim)
            for view in self.views.values()
            if (claim := view.claims.get(engine_id)) is not None and claim.state is not EngineState.REMOVED
        ]

    def _state(self, claims: list[SourceClaim], entry: PublishedEngine) -> EngineState:
        if any(claim.state is not EngineState.LIVE for _, claim in claims):
            return EngineState.DRAINING
        # Only an answer received after the reported end proves that the engine is in service again; one
        # received at the same time may be older.
        if any(view.last_answer_at <= entry.ended_at for view, _ in claims):
            self.unresolved.add(entry.engine.id)
            return EngineState.DRAINING
        return EngineState.LIVE

    def _may_use_address(
        self, engine_id: str, claims: list[SourceClaim], address: Address | None, queue: list[str]
    ) -> bool:
        """Claim the address for the engine; return false if another engine owns it."""
        return address is None or self._claim_address(engine_id, claims, address, queue)

    def _claim_address(
        self, engine_id: str, claims: list[SourceClaim], address: Address, queue: list[str]
    ) -> bool:
        """Claim the address, and queue a former owner for evaluation; return false if the owner keeps it."""
        owner = self.owner_by_address.get(address)
        if owner is None or owner == engine_id:
            self.owner_by_address[address] = engine_id
            return True
        others = self._claims(owner)
        owner_entry = self.published.get(owner)
        if others and self._address_rank(claims) <= self._address_rank(others):
            if owner_entry is not None:
                owner_entry.address_rivals.add(engine_id)
            return False
        self.owner_by_address[address] = engine_id
        entry = self.published[engine_id]
        entry.address_rivals.add(owner)
        if owner_entry is not None:
            entry.address_rivals |= owner_entry.address_rivals - {engine_id}
            owner_entry.address_rivals.clear()
        if owner not in queue:
            queue.append(owner)
        return True

    def _address_rank(self, claims: list[SourceClaim]) -> AddressRank:
        """Return the rank of a claim on an address."""
        view, claim = claims[0]
        return AddressRank(
            -view.precedence,
            claim.observation.registration_index,
            claim.started_at,
            claim.state is EngineState.LIVE,
        )

    def _release_address(self, engine_id: str, entry: PublishedEngine, queue: list[str]) -> None:
        """Release the engine's address, and queue the other engines that claim it for evaluation."""
        if entry.address is not None and self.owner_by_address.get(entry.address) == engine_id:
            del self.owner_by_address[entry.address]
            queue += [rival for rival in sorted(entry.address_rivals) if rival not in queue]
            entry.address_rivals.clear()

    def status_rows(self, now: float) -> list[CatalogRow]:
        """Return a row for each engine that a source lists, sorted by id."""
        rows = []
        for engine_id, entry in sorted(self.published.items()):
            claims = self._claims(engine_id)
            if not claims:
                continue
            deciding_claim = next((n for n in claims if n[1].state is not EngineState.LIVE), claims[0])
            view, claim = deciding_claim
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
                    is_loss_deferred=claim.is_loss_deferred,
                )
            )
        return rows


def _merge(engine_id: str, claims: list[SourceClaim], state: EngineState) -> Engine:
    """Return the engine as the first claim describes it, with the latest start of all claims."""
    observation = claims[0][1].observation
    return Engine(
        engine_id,
        zone=UNKNOWN_PLACE if observation.zone is None else observation.zone,
        machine_type=observation.machine_type or 0,
        cell=UNKNOWN_PLACE if observation.cell is None else observation.cell,
        state=state,
        size=observation.size,
        started_at=max(claim.started_at for _, claim in claims),
    )
