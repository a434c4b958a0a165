"""The full exchange of members' tables: its targets, and the rows of each datagram."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterator, Mapping, Sequence

from cottonhold.discovery.model import Address
from cottonhold.membership.codec import MemberStatus, Update, encode_update
from cottonhold.membership.member import Member


def sync_targets(
    members: Collection[Member], seeds: Sequence[Address], is_alone: bool, random_source: random.Random
) -> list[Address]:
    """One live member, one dead one, and a seed that is no member; all such seeds while alone.

    The dead are included so that the halves of a partition find each other again.
    """
    dead = [m.address for m in members if m.status is MemberStatus.DEAD]
    known = {m.address for m in members}
    unmet_seeds = [address for address in seeds if address not in known]
    live = [m.address for m in members if m.is_live]
    targets = [random_source.choice(group) for group in (live, dead) if group]
    return targets + (unmet_seeds if is_alone else unmet_seeds[:1])


class TableSender:
    """Divides the table into datagrams; a large one arrives in rotation, over several exchanges."""

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
        """Rows for the receiver at an address, at most `capacity` bytes in each part."""
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
        """Rows encoded as they are needed: most of a large table waits for the next exchange."""
        yield encode_update(self_update)
        # The receiver's own row comes first: if it counts as dead here, it learns so and can refute.
        for member in [m for m in members.values() if m.address == address][:2]:
            yield encode_update(member.as_update(self.self_id))
        others, start = sorted(members), self._cursor
        for i in range(len(others)):
            yield encode_update(members[others[(start + i) % len(others)]].as_update(self.self_id))
