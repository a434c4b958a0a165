"""Engines that the own list named before the power went: what there is to begin with until a source answers.

Pure. A hint says where an engine was. Whether one is there now only its own answer tells: the ramp lets
nothing go to it before. The first answer of a source replaces all of it. Engines that were draining, or in
trouble, are not remembered: nothing new was to go to them.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from cottonhold.discovery.model import Address, ConfiguredNames, EngineListChange, Observation, ServiceStatus
from cottonhold.message_validation import WireError
from cottonhold.scheduler.events import Engine, EngineState
from cottonhold.store.records import MAX_RECORDS, Hint, Record, RecordError, RecordKind

REASON = "remembered from before the start"


class CachedEngine(msgspec.Struct, array_like=True, frozen=True):
    """What is kept of one engine. Zone and machine type by name: their numbers are of one configuration."""

    address: str
    zone: str
    machine_type: str
    cell: int
    size: float


class EngineCache:
    """Feed it changes of the list that a source has answered for; it says what is to be kept.

    kept: the folder's records of engines, by id. `malformed` counts those that can't be read.
    """

    def __init__(self, kept: Mapping[bytes, bytes], names: ConfiguredNames) -> None:
        self.names, self.malformed = names, 0
        self.engines: dict[str, CachedEngine] = {}
        for key, value in kept.items():
            try:
                place: CachedEngine = msgspec.msgpack.decode(Hint.decode(value).value, type=CachedEngine)
                Address.parse(place.address)
                self.engines[key.decode()] = place
            except (RecordError, WireError, msgspec.MsgspecError, UnicodeDecodeError):
                self.malformed += 1

    def observations(self, known: tuple[Observation, ...] = ()) -> tuple[Observation, ...]:
        """The list to begin with: engines that the configuration knows, and others that are remembered."""
        named = {o.id for o in known}
        # Danger: an address has one engine. What was remembered at one that the file gives to another is old.
        taken = {o.address for o in known}
        found = list(known)
        for id, place in sorted(self.engines.items()):
            address = Address.parse(place.address)
            # One in a zone that is no longer configured would pass for one of the first zone.
            if id in named or address in taken or place.zone not in self.names.zones:
                continue
            taken.add(address)
            zone, model = self.names.zone_index(place.zone), self.names.machine_type_index(place.machine_type)
            found.append(
                Observation(
                    id, ServiceStatus.IN_SERVICE, REASON, address, zone, model, place.cell, place.size
                )
            )
        return tuple(found)

    def apply(self, change: EngineListChange) -> list[Record]:
        """What has to be written for a change of the list."""
        records = []
        if change.is_complete:
            gone = self.engines.keys() - {engine.id for engine in change.engines}
            records += [self._forget(id) for id in sorted(gone)]
        for engine in change.engines:
            if engine.state is not EngineState.LIVE:
                records += [self._forget(engine.id)] if engine.id in self.engines else []
            elif (place := self._place(engine, change.addresses.get(engine.id))) is not None:
                if place != self.engines.get(engine.id):
                    self.engines[engine.id] = place
                    data = Hint(msgspec.msgpack.encode(place), 0.0).encode()
                    records.append(Record(RecordKind.ENGINE_ADDRESS, engine.id.encode(), data))
        return records

    def _forget(self, id: str) -> Record:
        del self.engines[id]
        return Record(RecordKind.ENGINE_ADDRESS, id.encode(), None)

    def _place(self, engine: Engine, address: Address | None) -> CachedEngine | None:
        """Where it is; None where that isn't told, or where too many are remembered already."""
        known = self.engines.get(engine.id)
        where = str(address) if address is not None else known.address if known is not None else ""
        if not where or known is None and len(self.engines) >= MAX_RECORDS[RecordKind.ENGINE_ADDRESS]:
            return None
        zones, models = self.names.zones, self.names.machine_types
        zone = zones[engine.zone] if engine.zone < len(zones) else ""
        model = models[engine.machine_type] if engine.machine_type < len(models) else ""
        return CachedEngine(where, zone, model, engine.cell, engine.size)
