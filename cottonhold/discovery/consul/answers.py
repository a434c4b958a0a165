"""Answers of the health and catalogue endpoints, read at a cost of what has changed in them. Free of I/O.

Consul answers with the whole list each time. Each entry's bytes are cut out without decoding them and known
again by a digest; only entries whose bytes are new are decoded and judged. So one change in a list of ten
thousand costs the cutting, one decoding, and nothing in the parts behind.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import xxhash

from cottonhold.discovery.consul.checks import Entry, Reading, engine_id, observe
from cottonhold.discovery.model import ConfiguredNames, Observation
from cottonhold.message_validation import WireError

Malformed = Callable[[str], None]


class CatalogEntry(msgspec.Struct, frozen=True):
    """What is needed of one line of /v1/catalog/service."""

    node: str = msgspec.field(name="Node")
    service_id: str = msgspec.field(name="ServiceID")


class Differences(msgspec.Struct, frozen=True):
    """What an answer changes: observations that are new, and ids that are no longer listed.

    `whole`: the observations are all there is, since there was no answer to compare with.
    """

    observations: tuple[Observation, ...]
    absent: tuple[str, ...]
    whole: bool = False


_CUT: msgspec.json.Decoder[list[msgspec.Raw] | None] = msgspec.json.Decoder(list[msgspec.Raw] | None)
_ENTRY: msgspec.json.Decoder[Entry] = msgspec.json.Decoder(Entry)
_CATALOG: msgspec.json.Decoder[list[CatalogEntry] | None] = msgspec.json.Decoder(list[CatalogEntry] | None)


class Answers:
    """Compares each answer with the one before."""

    def __init__(self, names: ConfiguredNames, reading: Reading, malformed: Malformed) -> None:
        self.names, self.reading, self.malformed = names, reading, malformed
        self.digests: dict[bytes, str] = {}  # of the last answer's entries, and whose they are
        self.last = b""  # the digest of the last answer that was read without fault
        self.compares = False  # a whole answer has been read, so that what is missing in the next is absent
        self.decoded = 0  # entries decoded so far: what the cost of a change is measured by

    def read(self, body: bytes) -> Differences:
        """Take a health answer in. Raises WireError for a body that can't be used; then nothing has
        changed.
        """
        # An index that hasn't moved doesn't prove that nothing changed: a server that lost its data may send
        # an empty list under the index of the full one. Only equal bytes prove it.
        last = xxhash.xxh3_128_digest(body)
        if last == self.last:
            return Differences((), ())
        if not self.compares:
            self.digests = {}
        digests: dict[bytes, str] = {}
        observations: list[Observation] = []
        unreadable = 0
        for raw in self._cut(body):
            digest = xxhash.xxh3_128_digest(raw)
            engine_id = self.digests.get(digest)
            if engine_id is None:
                try:
                    observation = observe(_ENTRY.decode(raw), self.names, self.reading)
                except (msgspec.MsgspecError, WireError, UnicodeDecodeError) as error:
                    unreadable += 1
                    self.malformed(f"an entry: {error}")
                    continue
                self.decoded += 1
                observations.append(observation)
                engine_id = observation.id
            digests[digest] = engine_id
        absent: tuple[str, ...] = ()
        if len(digests) != len(self.digests) or observations or unreadable:
            listed = set(digests.values())
            gone = tuple(engine_id for engine_id in self.digests.values() if engine_id not in listed)
            if unreadable and gone:
                # It is unknown which engine an unreadable entry belongs to, so none counts as absent.
                digests.update(
                    (digest, engine_id)
                    for digest, engine_id in self.digests.items()
                    if engine_id not in listed
                )
            else:
                absent = gone
        self.digests, self.last = digests, last if not unreadable else b""
        # The first complete answer also ends what was known before it, from the configuration or by another
        # reading. One with unreadable entries proves nothing of absence.
        whole = not self.compares and not unreadable
        self.compares = self.compares or whole
        return Differences(tuple(_newest(observations)), absent, whole)

    def forget(self) -> None:
        """The next answer is read whole, as after a change of what entries mean."""
        self.digests, self.last, self.compares = {}, b"", False

    def _cut(self, body: bytes) -> list[msgspec.Raw]:
        try:
            return _CUT.decode(body) or []
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise WireError(f"the health answer can't be read: {error}") from error

    def listed(self, body: bytes) -> frozenset[str]:
        """The ids that a catalogue answer names. Raises WireError."""
        try:
            entries = _CATALOG.decode(body) or []
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise WireError(f"the catalogue's answer can't be read: {error}") from error
        return frozenset(engine_id(e.node, e.service_id, self.reading) for e in entries)


def _newest(observations: list[Observation]) -> list[Observation]:
    """One observation an id: while an engine moves, both nodes may list it, and the later registration
    counts."""
    by_id: dict[str, Observation] = {}
    for observation in observations:
        other = by_id.get(observation.id)
        if other is None or observation.registration_index >= other.registration_index:
            by_id[observation.id] = observation
    return list(by_id.values())
