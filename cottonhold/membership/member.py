"""One other instance, as this one knows it."""

from __future__ import annotations

from dataclasses import dataclass

from cottonhold.discovery.model import Address
from cottonhold.membership.codec import MemberStatus, Update
from cottonhold.membership.suspicion import Suspicion


@dataclass(slots=True)
class Member:
    """One other instance, as this one knows it. status_since: in ms, on this instance's clock."""

    id: int
    name: str
    address: Address
    status: MemberStatus
    incarnation: int
    status_since: float
    suspicion: Suspicion | None = None

    @property
    def is_live(self) -> bool:
        """Whether it is alive, or only suspected."""
        return self.status in (MemberStatus.ALIVE, MemberStatus.SUSPECT)

    def as_update(self, source: int) -> Update:
        """Its row in a full exchange.

        A dead member is passed on as a suspect, which it can refute: otherwise, when a partition heals, one
        side's error would have the other declared dead.
        """
        if self.status is MemberStatus.ALIVE:
            return Update(MemberStatus.ALIVE, self.id, self.incarnation, 0, self.address, self.name)
        status = MemberStatus.LEFT if self.status is MemberStatus.LEFT else MemberStatus.SUSPECT
        return Update(status, self.id, self.incarnation, source)
