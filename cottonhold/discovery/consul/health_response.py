"""Decodes responses of the health and catalogue endpoints at a cost of what has changed. Free of I/O.

Consul sends the whole list each time. It is split into the bytes of each entry without decoding them; entries
are recognized by a digest, and only those with new bytes are decoded. So one change in a list of ten thousand
costs the splitting, one decoding, and nothing in the parts behind.
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
    """What is needed of one line of /v1/catalog/service."""

    node_name: str = msgspec.field(name="Node")
    service_id: str = msgspec.field(name="ServiceID")


class CatalogChanges(msgspec.Struct, frozen=True):
    """What a response changes: observations that are new, and ids that are no longer listed.

    is_complete: the observations are all engines there are, since there was no response to compare with.
    """

    observations: tuple[Observation, ...]
    absent_ids: tuple[str, ...]
    is_complete: bool = False


class _DecodedList(msgspec.Struct, frozen=True):
    """A list whose new entries have been decoded."""

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
    """Compares each response with the one before."""

    def __init__(
        self, names: ConfiguredNames, interpretation: EntryInterpretation, report_malformed: ReportMalformed
    ) -> None:
        self.names, self.interpretation, self.report_malformed = names, interpretation, report_malformed
        self.engine_ids_by_digest: dict[bytes, str] = {}  # of the last response's entries
        self.last_body_digest = b""  # of the last response without unreadable entries
        # Whether a complete response has been read, so that what the next one lacks is absent.
        self.has_complete_response = False
        self.decoded_count = 0

    def decode_health_response(self, body: bytes) -> CatalogChanges:
        """What a response changes. Raises WireError, and keeps its state, for a body that can't be used."""
        # An index that hasn't moved doesn't prove that nothing changed: a server that lost its data may send
        # an empty list under the index of the full one. Only equal bytes prove it.
        body_digest = xxhash.xxh3_128_digest(body)
        if body_digest == self.last_body_digest:
            return CatalogChanges((), ())
        if not self.has_complete_response:
            self.engine_ids_by_digest = {}
        decoded = self._decode_new_entries(self._split_entries(body))
        absent_ids = self._find_absent(decoded)
        if decoded.unreadable_count and absent_ids:
            # It is unknown which engine an unreadable entry belongs to, so none counts as absent.
            unlisted_ids = set(absent_ids)
            for digest, known_id in self.engine_ids_by_digest.items():
                if known_id in unlisted_ids:
                    decoded.engine_ids_by_digest[digest] = known_id
            absent_ids = ()
        self.engine_ids_by_digest = decoded.engine_ids_by_digest
        self.last_body_digest = b"" if decoded.unreadable_count else body_digest
        # The first complete response also ends what was known before it, from the configuration or by another
        # interpretation. One with unreadable entries proves no absence.
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
        """The ids of the last response that this one doesn't list."""
        has_same_entries = len(decoded.engine_ids_by_digest) == len(self.engine_ids_by_digest)
        if has_same_entries and not decoded.observations and not decoded.unreadable_count:
            return ()
        listed_ids = set(decoded.engine_ids_by_digest.values())
        return tuple(
            known_id for known_id in self.engine_ids_by_digest.values() if known_id not in listed_ids
        )

    def reset(self) -> None:
        """Compare the next response with none, as after a change of the interpretation."""
        self.engine_ids_by_digest, self.last_body_digest, self.has_complete_response = {}, b"", False

    def _split_entries(self, body: bytes) -> list[msgspec.Raw]:
        try:
            return _ENTRIES_DECODER.decode(body) or []
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise WireError(f"the health answer can't be read: {error}") from error

    def decode_catalog_response(self, body: bytes) -> frozenset[str]:
        """The ids that a catalogue response lists. Raises WireError."""
        try:
            entries = _CATALOG_DECODER.decode(body) or []
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise WireError(f"the catalogue's answer can't be read: {error}") from error
        return frozenset(engine_id(e.node_name, e.service_id, self.interpretation) for e in entries)


def _latest_registrations(observations: list[Observation]) -> list[Observation]:
    """One observation an id: while an engine moves, two nodes may list it; the later registration counts."""
    by_id: dict[str, Observation] = {}
    for observation in observations:
        other = by_id.get(observation.id)
        if other is None or observation.registration_index >= other.registration_index:
            by_id[observation.id] = observation
    return list(by_id.values())
