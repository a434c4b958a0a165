"""The full sync of member tables: the members to sync with, and the rows of each datagram."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterator, Mapping, Sequence

from cottonhold.discovery.model import Address
from cottonhold.membership.codec import MemberStatus, Update, encode_update
from cottonhold.membership.member import Member


def sync_targets(
    members: Collection[Member], seeds: Sequence[Address], is_alone: bool, random_source: random.Random
) -> list[Address]:
    """Return the addresses to sync with: a live member, a dead one, and a seed that is no known member.

    While `is_alone`, all such seeds are included. A dead member is included so that the parts of a partition
    find each other again.
    """
    dead = [m.address for m in members if m.status is MemberStatus.DEAD]
    known = {m.address for m in members}
    unknown_seeds = [address for address in seeds if address not in known]
    live = [m.address for m in members if m.is_live]
    targets = [random_source.choice(group) for group in (live, dead) if group]
    return targets + (unknown_seeds if is_alone else unknown_seeds[:1])


class TableSender:
    """Divides the member table into datagrams; of a large table each sync sends the next part."""

    def __init__(self, self_id: int) -> None:
        self.self_id = self_id
        self._cursor = 0

    def parts(
        self,
        self_update: Update,
        members: Mapping[int, Member],
        address: Address,
        capacity: int,
        max_parts: int,
    ) -> Iterator[bytes]:
        """Yield the encoded rows for one receiver, divided into datagrams.

        Args:
            self_update: This instance's own row.
            members: The other members by id.
            address: The receiver's address.
            capacity: The largest size of a part, in bytes.
            max_parts: The largest number of parts.
        """
        parts, rows, used_bytes = 0, list[bytes](), 0
        for row in self._rows(self_update, members, address):
            if used_bytes + len(row) > capacity:
                yield b"".join(rows)
                parts, rows, used_bytes = parts + 1, [], 0
                if parts >= max_parts:
                    break
            rows.append(row)
            used_bytes += len(row)
            self._cursor += 1
        if rows:
            yield b"".join(rows)

    def _rows(self, self_update: Update, members: Mapping[int, Member], address: Address) -> Iterator[bytes]:
        """Yield encoded rows lazily, since most of a large table is sent only in later syncs."""
        yield encode_update(self_update)
        # The receiver's own row comes early, so that it can refute if it is regarded as dead here.
        for member in [m for m in members.values() if m.address == address][:2]:
            yield encode_update(member.as_update(self.self_id))
        others, start = sorted(members), self._cursor
        for i in range(len(others)):
            yield encode_update(members[others[(start + i) % len(others)]].as_update(self.self_id))
