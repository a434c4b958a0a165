"""One budget in parts that never add up to more than the whole, whatever anyone believes. Pure.

Each configured dispatcher owns a fixed part. What one does not need it lends for a time.

    usable(i) = own(i) - what i has lent and not yet run out + what i has borrowed and not yet run out

Invariant: at each moment the usable parts of all add up to at most 1. Sketch of the proof: the owned parts
add up to 1. A loan is taken from the lender at the moment of the grant, and counts there for `last` ms and
the drift margin after the ask came in. The borrower counts it from when it *asked*, which was earlier, for
`last` ms. With clocks whose rates differ by less than the margin the borrower's time is over first. A
grant that is lost, late, repeated or out of order makes the borrower use less, or the same once (terms never
come back). A lender back from nothing has forgotten its loans: it uses and lends nothing until all that it
may have granted has run out. A borrower back from nothing has none. Two processes of one dispatcher use half
each, and lend nothing; the second one waits as one back from nothing, and by then the first knows of it.

A part may be `kept`: never lent, by any life of its owner. So one that is known to be its dispatcher's only
process uses it from the first moment: what earlier lives lent came from the rest. The part of an owner that
is missing lies idle. Lent by others, it would be used twice as soon as the owner is back, whom nobody can
tell in time.

Times are ms of each one's own monotonic clock.
"""

from __future__ import annotations

import math
import struct
from dataclasses import dataclass, field

from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.zone_failover.messages import QUOTA_GRANT, QUOTA_REQUEST

LOAN = struct.Struct("!BHIH")  # kind, zone, term, amount in steps
QUOTA_STEPS = 0xFFFF  # of the whole


@dataclass(slots=True, frozen=True)
class QuotaSettings:
    """Times in ms. last: how long a loan counts. renew: part of it after which the borrower asks again.
    drift: margin for clocks' rates. wait: so many times `last` one back from nothing waits: its earlier life
    lent until it ended, or until it knew of its successor. kept: share of the own part that is never lent."""

    loan_ms: float = 1000.0
    renew_after_share: float = 0.35
    clock_drift: float = 0.1
    restart_wait_loans: float = 1.5
    unlent_share: float = 0.0


@dataclass(slots=True, frozen=True)
class QuotaRequest:
    """Asks a member for part of a zone's budget."""

    zone: int
    term: int
    amount: int


@dataclass(slots=True, frozen=True)
class QuotaGrant:
    """The answer: so much of it, maybe nothing."""

    zone: int
    term: int
    amount: int


@dataclass(slots=True, frozen=True)
class QuotaMessage:
    """A message for a member."""

    member: int
    message: QuotaRequest | QuotaGrant


def encode_quota_message(what: QuotaRequest | QuotaGrant) -> bytes:
    """A message's bytes."""
    return LOAN.pack(
        QUOTA_REQUEST if isinstance(what, QuotaRequest) else QUOTA_GRANT, what.zone, what.term, what.amount
    )


def decode_quota_message(data: bytes) -> QuotaRequest | QuotaGrant:
    """A message's meaning. Raises MessageError."""
    if len(data) != LOAN.size or data[0] not in (QUOTA_REQUEST, QUOTA_GRANT):
        raise MessageError("loan")
    kind, zone, term, amount = LOAN.unpack(data)
    return QuotaRequest(zone, term, amount) if kind == QUOTA_REQUEST else QuotaGrant(zone, term, amount)


@dataclass(slots=True)
class BorrowedQuota:
    """What we hold of a lender, and what we have asked it for."""

    expires_at: float = -math.inf
    amount: int = 0
    term: int = 0
    requested_at: float = -math.inf
    requested_amount: int = 0


@dataclass(slots=True)
class ZoneLoans:
    """One zone's budget at this instance."""

    lent: dict[int, list[tuple[float, int]]] = field(default_factory=dict)  # ends and amounts by borrower

    def reserved(self, now: float, member: int) -> int:
        """The most that a borrower may hold of ours.

        Danger: counted by its newest loan, a smaller one would set free what the borrower still holds where
        the answer was lost; it has one of those that still run.
        """
        loans = self.lent[member] = [loan for loan in self.lent.get(member, []) if loan[0] > now]
        return max((amount for _, amount in loans), default=0)

    borrowed: dict[int, BorrowedQuota] = field(default_factory=dict)


class QuotaAccount:
    """This instance's part of each zone's budget. `own`: its fixed part, 0 to 1 over all; `first_term` is
    drawn at the start, so that a late grant to an earlier life is void. only: it is its dispatcher's one
    process, and no successor beside an older one."""

    def __init__(
        self,
        now: float,
        own: float,
        first_term: int,
        settings: QuotaSettings | None = None,
        only: bool = False,
    ) -> None:
        self.settings = settings or QuotaSettings()
        self.own = int(own * QUOTA_STEPS)
        self.unlent = math.ceil(self.own * self.settings.unlent_share)
        self.usable_from = now + self.settings.restart_wait_loans * self.settings.loan_ms
        self.unlent_usable_from = now if only else self.usable_from
        self.last_term = first_term & 0x7FFFFFFF
        self.process_count = 1  # processes that stand for this dispatcher
        self.loans: dict[int, ZoneLoans] = {}

    def usable(self, now: float, zone: int) -> tuple[float, float]:
        """The part that may be used now, 0 to 1, and until when it holds unless asked again."""
        own, ends = self._available(now, zone), math.inf
        purse = self.loans.get(zone)
        for loan in purse.borrowed.values() if purse is not None else ():
            if loan.expires_at > now and loan.amount:
                own, ends = own + loan.amount, min(ends, loan.expires_at)
        return max(own, 0) / QUOTA_STEPS, ends

    def request(self, now: float, zone: int, demand: dict[int, float], me: int) -> list[QuotaMessage]:
        """Ask those with less demand than their part for what this one lacks; `demand` adds up to about 1."""
        purse = self.loans.setdefault(zone, ZoneLoans())
        # Danger: the two processes of an upgrade are one borrower to the lenders, and each would use all of
        # it.
        if self.process_count > 1 or now < self.usable_from or len(demand) < 2:
            return []
        fair = self.own / QUOTA_STEPS
        lack = {member: share - fair for member, share in demand.items() if share > fair}
        spare = {member: fair - share for member, share in demand.items() if share < fair}
        mine, all_lack, all_spare = lack.get(me, 0.0), sum(lack.values()), sum(spare.values())
        if mine <= 0.01 or all_spare <= 0.01:
            return []
        asks = []
        for member, left in spare.items():
            amount = int(QUOTA_STEPS * min(mine / all_lack * left, mine * left / all_spare))
            loan = purse.borrowed.setdefault(member, BorrowedQuota())
            if (
                amount > 0
                and now - loan.requested_at >= self.settings.renew_after_share * self.settings.loan_ms
            ):
                self.last_term = (self.last_term + 1) & 0xFFFFFFFF
                loan.term, loan.requested_at, loan.requested_amount = self.last_term, now, amount
                asks.append(QuotaMessage(member, QuotaRequest(zone, self.last_term, amount)))
        return asks

    def on_message(self, now: float, sender: int, what: QuotaRequest | QuotaGrant) -> list[QuotaMessage]:
        """A message from a member."""
        purse = self.loans.setdefault(what.zone, ZoneLoans())
        if isinstance(what, QuotaRequest):
            return [
                QuotaMessage(sender, QuotaGrant(what.zone, what.term, self._grant(now, purse, sender, what)))
            ]
        loan = purse.borrowed.get(sender)
        # Danger: an answer to an ask of long ago, or one that came twice, would count from the newest ask.
        if loan is None or loan.term != what.term or what.amount > loan.requested_amount:
            return []
        loan.amount, loan.expires_at = what.amount, loan.requested_at + self.settings.loan_ms
        return []

    def forget(self, members: list[int]) -> None:
        """Members that are gone for good; what they hold of ours runs out by itself."""
        for purse in self.loans.values():
            for member in members:
                purse.borrowed.pop(member, None)

    def _available(self, now: float, zone: int) -> int:
        """What is left of the own part."""
        if now < self.usable_from:
            # Danger: not the whole part, of which an earlier life may have lent what is not kept.
            return self.unlent // self.process_count if now >= self.unlent_usable_from else 0
        purse = self.loans.get(zone)
        lent = sum(purse.reserved(now, member) for member in list(purse.lent)) if purse else 0
        return self.own // self.process_count - lent

    def _grant(self, now: float, purse: ZoneLoans, member: int, ask: QuotaRequest) -> int:
        if self.process_count > 1 or now < self.usable_from:
            return 0
        left = self._available(now, ask.zone) - self.unlent
        amount = min(ask.amount, max(left + purse.reserved(now, member), 0))
        if amount:
            until = now + self.settings.loan_ms * (1 + self.settings.clock_drift)
            purse.lent.setdefault(member, []).append((until, amount))
        return amount
