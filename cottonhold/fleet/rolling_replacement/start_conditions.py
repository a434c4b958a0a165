"""Whether a machine may start its swap now, by what registers and members show. Pure."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from cottonhold.fleet.rolling_replacement.plan import BEFORE, Flag, Machine, Reason, Record, Whole, ident
from cottonhold.fleet.rolling_replacement.schedule import STUCK, Job, Limits, Order, Schedule
from cottonhold.fleet.zone_failover.evacuation import majority
from cottonhold.fleet.zone_failover.messages import zone_number

Bearable = Callable[[Mapping[str, float]], list[str]]
ASKED_AGAIN = 500.0  # ms: so old may the outlook's answers be


def up(whole: Whole, chain: Mapping[str, Record], there: Mapping[str, Machine]) -> int:
    """Voters that are up and stay so: neither out, nor in an out one's place."""
    out = set(whole.out)
    away = {r.new for name, r in chain.items() if ident(name) in out}
    return sum(m.voter and m.votes and m.id not in out and m.name not in away for m in there.values())


class Starts:
    """`voters`: configured ones; `lasts`: ms of a swap where none was seen yet; `bearable`: the outlook's
    word on cores out by zone, reasons against."""

    def __init__(self, voters: int, lasts: float, bearable: Bearable | None) -> None:
        self.voters, self.lasts = voters, lasts
        self.bearable = bearable or (lambda out: [])
        self.asked_at, self.key = 0.0, tuple[object, ...]()
        self.order = Order(Limits(), lambda out: [])
        self.schedule: Schedule | None = None

    def against(
        self,
        now: float,
        name: str,
        whole: Whole,
        chain: Mapping[str, Record],
        there: Mapping[str, Machine],
    ) -> list[str]:
        """Why it may not start now."""
        jobs = self._jobs(whole, chain, there)
        out = [jobs[n] for n in jobs if ident(n) in whole.out]
        waiting = [jobs[n] for n, r in chain.items() if r.step in BEFORE and jobs[n] not in out]
        limits, zones = (
            self._limits(whole, chain, there),
            {zone_number(m.zone): m.zone for m in there.values()},
        )
        key = (
            tuple(out),
            tuple(waiting),
            limits.most_out,
            limits.zones,
            limits.spare,
            tuple(limits.lacking.items()),
        )
        if key != self.key or now - self.asked_at > ASKED_AGAIN:
            self.key, self.asked_at, self.schedule = key, now, None
            self.order = Order(limits, lambda lost: self._bears(lost, zones))
        # The schedule is weighed only for one that could start: it costs much more than the answer.
        why = self.order.waits(jobs[name], out, 0.0)
        if why:
            return why
        if self.schedule is None:
            self.schedule = self.order.settle(waiting, out)
        return self.order.waits(jobs[name], out, self.schedule.starts[name])

    def _bears(self, lost: Mapping[int, float], zones: Mapping[int, str]) -> list[str]:
        return self.bearable({zones.get(zone, str(zone)): cores for zone, cores in lost.items()})

    def _limits(self, whole: Whole, chain: Mapping[str, Record], there: Mapping[str, Machine]) -> Limits:
        out = [n for n in chain if ident(n) in whole.out]
        voters_out = sum(chain[n].has(Flag.VOTER) for n in out)
        down = max(self.voters - up(whole, chain, there) - voters_out, 0)
        lacking = dict[int, float]()
        for name, record in chain.items():
            # A smaller engine in place is in the list with the cores that it has, so the outlook knows it.
            known = record.has(Flag.ENGINE) and record.new in there
            if name not in out and record.lacks() and not known:
                lacking[record.zone] = lacking.get(record.zone, 0.0) + record.lacks() / 10
        spare = self.voters - majority(self.voters) - down
        return Limits(whole.most_out, whole.zones, spare, lacking)

    def _jobs(
        self, whole: Whole, chain: Mapping[str, Record], there: Mapping[str, Machine]
    ) -> dict[str, Job]:
        learnt: dict[bool, list[int]] = {True: [], False: []}
        for r in chain.values():
            if r.took:
                learnt[r.has(Flag.ENGINE)].append(r.took)
        jobs = {}
        for name, r in chain.items():
            took = learnt[r.has(Flag.ENGINE)]
            lasts = 100.0 * sum(took) / len(took) if took else self.lasts
            lasts = STUCK if r.reason in (Reason.HARDWARE, Reason.GONE) else lasts
            jobs[name] = Job(name, r.zone, self._cores(name, r, whole, there), r.has(Flag.VOTER), lasts)
        return jobs

    def _cores(self, name: str, record: Record, whole: Whole, there: Mapping[str, Machine]) -> float:
        """Cores that the outlook loses, beside those that it counts no longer."""
        machine = there.get(name)
        # Danger: an engine that is out is not in the outlook's picture any more. Counted as lost once more,
        # it took its zone's cores twice, and of three engines no second one could ever start.
        gone = record.has(Flag.ENGINE) and (machine is None or not machine.counted)
        return 0.0 if gone and ident(name) in whole.out else record.cores / 10
