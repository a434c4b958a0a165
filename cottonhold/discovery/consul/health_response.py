"""Decodes responses of the health and catalogue endpoints incrementally. Free of I/O.

Consul sends the complete list each time. The list is split into the bytes of its entries without decoding
them; entries are compared by a digest, and only those whose bytes are new are decoded. One change in a list
of ten thousand entries costs splitting the list, decoding one entry, and nothing in the later stages.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import xxhash

from cottonhold.discovery.consul.health_entry import Entry, EntryInterpretation, engine_id, observe
from cottonhold.discovery.model import ConfiguredNames, Observation
from cottonhold.message_validation import WireError

ReportMalformed = Callable[[str], None]


class CatalogEntry(msgspec.Struct, frozen=True):
    """The fields used of one element of the list that /v1/catalog/service returns."""

    node_name: str = msgspec.field(name="Node")
    service_id: str = msgspec.field(name="ServiceID")


class CatalogChanges(msgspec.Struct, frozen=True):
    """The differences between a response and the previous one.

    Attributes:
        observations: The entries that are new or changed.
        absent_ids: Ids of engines that are no longer listed.
        is_complete: Whether `observations` are all engines, since there was no response to compare with.
    """

    observations: tuple[Observation, ...]
    absent_ids: tuple[str, ...]
    is_complete: bool = False


class _DecodedList(msgspec.Struct, frozen=True):
    """A response whose new entries have been decoded."""

    engine_ids_by_digest: dict[bytes, str]
    observations: list[Observation]
    unreadable_count: int


_ENTRIES_DECODER: msgspec.json.Decoder[list[msgspec.Raw] | None] = msgspec.json.Decoder(
    list[msgspec.Raw] | None
)
_ENTRY_DECODER: msgspec.json.Decoder[Entry] = msgspec.json.Decoder(Entry)
_CATALOG_DECODER: msgspec.json.Decoder[list[CatalogEntry] | None] = msgspec.json.Decoder(
    list[CatalogEntry] | None
)


class HealthResponseDecoder:
    """Decodes health responses, each compared with the previous one, and catalogue responses.

    Args:
        names: The configured zones and machine types.
        interpretation: How entries are interpreted.
        report_malformed: Called with a description of each entry that can't be decoded.
    """

    def __init__(
        self, names: ConfiguredNames, interpretation: EntryInterpretation, report_malformed: ReportMalformed
    ) -> None:
        self.names, self.interpretation, self.report_malformed = names, interpretation, report_malformed
        # Ids of the engines in the last response, by the digests of their entries.
        self.engine_ids_by_digest: dict[bytes, str] = {}
        # Digest of the last response; empty if some of its entries couldn't be decoded.
        self.last_body_digest = b""
        # Whether a response has been decoded completely, so that engines missing in the next one are absent.
        self.has_complete_response = False
        self.decoded_count = 0

    def decode_health_response(self, body: bytes) -> CatalogChanges:
        """Return what a response changes. Raises WireError, without a change of state, if it is invalid."""
        # An unchanged index doesn't prove that nothing changed: a server that lost its data may send an empty
        # list with the index of the full one. Only equal bytes prove it.
        body_digest = xxhash.xxh3_128_digest(body)
        if body_digest == self.last_body_digest:
            return CatalogChanges((), ())
        if not self.has_complete_response:
            self.engine_ids_by_digest = {}
        decoded = self._decode_new_entries(self._split_entries(body))
        absent_ids = self._find_absent(decoded)
        if decoded.unreadable_count and absent_ids:
            # The unreadable entry may belong to any of the missing engines, so none of them is reported
            # absent.
            unlisted_ids = set(absent_ids)
            for digest, known_id in self.engine_ids_by_digest.items():
                if known_id in unlisted_ids:
                    decoded.engine_ids_by_digest[digest] = known_id
            absent_ids = ()
        self.engine_ids_by_digest = decoded.engine_ids_by_digest
        self.last_body_digest = b"" if decoded.unreadable_count else body_digest
        # The first complete response replaces the engines known from the configuration or by a previous
        # interpretation. A response with unreadable entries proves no absence.
        is_complete = not self.has_complete_response and not decoded.unreadable_count
        self.has_complete_response = self.has_complete_response or is_complete
        return CatalogChanges(tuple(_latest_registrations(decoded.observations)), absent_ids, is_complete)

    def _decode_new_entries(self, entries: list[msgspec.Raw]) -> _DecodedList:
        engine_ids_by_digest: dict[bytes, str] = {}
        observations: list[Observation] = []
        unreadable_count = 0
        for entry in entries:
            digest = xxhash.xxh3_128_digest(entry)
            known_id = self.engine_ids_by_digest.get(digest)
            if known_id is None:
                try:
                    observation = observe(_ENTRY_DECODER.decode(entry), self.names, self.interpretation)
                except (msgspec.MsgspecError, WireError, UnicodeDecodeError) as error:
                    unreadable_count += 1
                    self.report_malformed(f"an entry: {error}")
                    continue
                self.decoded_count += 1
                observations.append(observation)
                known_id = observation.id
            engine_ids_by_digest[digest] = known_id
        return _DecodedList(engine_ids_by_digest, observations, unreadable_count)

    def _find_absent(self, decoded: _DecodedList) -> tuple[str, ...]:
        """Return the ids that the previous response listed and this one doesn't."""
        has_same_entries = len(decoded.engine_ids_by_digest) == len(self.engine_ids_by_digest)
        if has_same_entries and not decoded.observations and not decoded.unreadable_count:
            return ()
        listed_ids = set(decoded.engine_ids_by_digest.values())
        return tuple(
            known_id for known_id in self.engine_ids_by_digest.values() if known_id not in listed_ids
        )

    def reset(self) -> None:
        """Discard the previous response, as after a change of the interpretation."""
        self.engine_ids_by_digest, self.last_body_digest, self.has_complete_response = {}, b"", False

    def _split_entries(self, body: bytes) -> list[msgspec.Raw]:
        try:
            return _ENTRIES_DECODER.decode(body) or []
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise WireError(f"the health response can't be decoded: {error}") from error

    def decode_catalog_response(self, body: bytes) -> frozenset[str]:
        """Return the engine ids that a catalogue response lists. Raises WireError if it is invalid."""
        try:
            entries = _CATALOG_DECODER.decode(body) or []
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise WireError(f"the catalogue response can't be decoded: {error}") from error
        return frozenset(engine_id(e.node_name, e.service_id, self.interpretation) for e in entries)


def _latest_registrations(observations: list[Observation]) -> list[Observation]:
    """Return one observation for each engine id; if two nodes list an engine, the later registration."""
    by_id: dict[str, Observation] = {}
    for observation in observations:
        other = by_id.get(observation.id)
        if other is None or observation.registration_index >= other.registration_index:
            by_id[observation.id] = observation
    return list(by_id.values())
