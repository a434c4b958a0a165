"""Engines of the list before a power loss, used until a source of the list responds; does no I/O.

A record is only a possibly outdated hint of where an engine is, so slow start sends nothing to the engine
before it has answered. The first response of a source replaces all records. Engines that were draining or
failing are not cached, since no new requests were to be sent to them.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from cottonhold.discovery.model import Address, ConfiguredNames, EngineListChange, Observation, ServiceStatus
from cottonhold.message_validation import WireError
from cottonhold.scheduler.events import Engine, EngineState
from cottonhold.store.records import MAX_RECORDS, Hint, Record, RecordError, RecordKind

CACHED_REASON = "remembered from before the start"  # shown to operators


class CachedEngine(msgspec.Struct, array_like=True, frozen=True):
    """The cached data of one engine. Zone and machine type are names, since their numbers depend on the
    configuration."""

    address: str
    zone: str
    machine_type: str
    cell: int
    size: float


class EngineCache:
    """The cached engines, and the records to write when the list changes.

    Args:
        recorded: Records of engines in the state folder, by engine id. `malformed` counts the unreadable
            ones.
        names: Configured names of zones and machine types.
    """

    def __init__(self, recorded: Mapping[bytes, bytes], names: ConfiguredNames) -> None:
        self.names, self.malformed = names, 0
        self.engines: dict[str, CachedEngine] = {}
        for key, value in recorded.items():
            try:
                cached: CachedEngine = msgspec.msgpack.decode(Hint.decode(value).value, type=CachedEngine)
                Address.parse(cached.address)
                self.engines[key.decode()] = cached
            except (RecordError, WireError, msgspec.MsgspecError, UnicodeDecodeError):
                self.malformed += 1

    def observations(self, known: tuple[Observation, ...] = ()) -> tuple[Observation, ...]:
        """Return the list to start with: the configured engines in `known`, then the cached ones.

        An address belongs to one engine, so a cached engine whose address the configuration assigns to
        another is outdated. A cached engine of a zone that is no longer configured is dropped, because it
        would be assigned to the first zone.
        """
        known_ids = {observation.id for observation in known}
        addresses = {observation.address for observation in known}
        observations = list(known)
        for engine_id, cached in sorted(self.engines.items()):
            address = Address.parse(cached.address)
            if engine_id in known_ids or address in addresses or cached.zone not in self.names.zones:
                continue
            addresses.add(address)
            zone, machine_type = (
                self.names.zone_index(cached.zone),
                self.names.machine_type_index(cached.machine_type),
            )
            observations.append(
                Observation(
                    engine_id,
                    ServiceStatus.IN_SERVICE,
                    CACHED_REASON,
                    address,
                    zone,
                    machine_type,
                    cached.cell,
                    cached.size,
                )
            )
        return tuple(observations)

    def apply(self, change: EngineListChange) -> list[Record]:
        """Apply a change of the list, and return the records to write."""
        records = []
        if change.is_complete:
            removed = self.engines.keys() - {engine.id for engine in change.engines}
            records += [self._remove(engine_id) for engine_id in sorted(removed)]
        for engine in change.engines:
            if engine.state is not EngineState.LIVE:
                records += [self._remove(engine.id)] if engine.id in self.engines else []
                continue
            cached = self._to_cached(engine, change.addresses.get(engine.id))
            if cached is not None and cached != self.engines.get(engine.id):
                self.engines[engine.id] = cached
                data = Hint(msgspec.msgpack.encode(cached), 0.0).encode()
                records.append(Record(RecordKind.ENGINE_ADDRESS, engine.id.encode(), data))
        return records

    def _remove(self, engine_id: str) -> Record:
        del self.engines[engine_id]
        return Record(RecordKind.ENGINE_ADDRESS, engine_id.encode(), None)

    def _to_cached(self, engine: Engine, address: Address | None) -> CachedEngine | None:
        """Return the data to cache of an engine; None if its address is unknown or too many are cached."""
        known = self.engines.get(engine.id)
        known_address = known.address if known is not None else ""
        current_address = str(address) if address is not None else known_address
        if (
            not current_address
            or known is None
            and len(self.engines) >= MAX_RECORDS[RecordKind.ENGINE_ADDRESS]
        ):
            return None
        machine_types, zone = self.names.machine_types, self.names.zone_name(engine.zone)
        machine_type = ""
        if engine.machine_type < len(machine_types):
            machine_type = machine_types[engine.machine_type]
        return CachedEngine(current_address, zone, machine_type, engine.cell, engine.size)
