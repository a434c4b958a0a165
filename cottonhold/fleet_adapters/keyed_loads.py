"""The guard of loads with keys: each begins where its key is owned, or is handed on to there.

Stands before the guard of loads that may have run (loads.py). Decides nothing: who owns a key is
fleet/swap/service.py's, what becomes of a request that was handed on is fleet/swap/handon.py's.
"""

from __future__ import annotations

import itertools
import secrets
from bisect import bisect_left, insort
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from cottonhold.backend.attempt import Attempt
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.request_forwarding.forwarder import End, Ended
from cottonhold.fleet.request_forwarding.request_codec import pin_key, read_rows
from cottonhold.fleet.session_affinity.ownership import OwnedElsewhere, OwnedHere, RetryAfter
from cottonhold.fleet_adapters.load_records import NEVER_RAN
from cottonhold.node.client_request import ClientRequest
from cottonhold.node.gateway import Gateway
from cottonhold.node.load_guard import LoadGuard, LoadOutcome
from cottonhold.node.load_guard import LoadOutcomeCallback as Tell
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import Outcome
from cottonhold.transport.clock import Clock

KNOWN_ENDS = (*NEVER_RAN, Outcome.OK, Outcome.ERROR)  # after any other end a load may run on
WAIT_MS = 2000.0  # so long a request waits here for its key to have an owner: longer than a fence takes
GUEST_MS = 400.0  # so long one that was handed on to here waits, before its origin looks further
WAITS_MS = (10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0, WAIT_MS)  # steps of the histogram of waits
MOST_HOPS = 3  # from one owner to the next without a pause: home, owner, and one move in between
MOST_HINTS = 20_000
SPARE_MS = 100.0  # of its own time that is left when it is told to come back
ANSWER_MS = 50.0  # of the client's time that is kept for the answer of one that was handed on


class Owners(Protocol):
    """Whom the guard asks: the rim of pins."""

    me: int
    back: float

    def take(self, key: bytes) -> OwnedHere | OwnedElsewhere | RetryAfter:
        """Where a load of the key belongs."""

    def owns(self, key: bytes) -> bool:
        """Whether a load of the key may start here at this moment."""

    def inside(self, member: int) -> bool:
        """Whether a member may own anything, as far as is known here."""

    def lost(self, key: bytes) -> bool:
        """Whether what waits here for the key won't start here any more."""

    def opened(self, key: bytes, load: int) -> None:
        """A load waits in line or runs here."""

    def ended(self, key: bytes, load: int, known: bool) -> None:
        """It has ended."""

    def hand(self, taken: ClientRequest, owner: int, key: bytes, until: float, number: int) -> None:
        """Hand a request on to a member, in a round of its key; `Pinned.handed` hears how it ended, unless it
        was `left` before."""

    def left(self, ref: str) -> None:
        """Nobody waits any more for one that was handed on."""


@dataclass(slots=True, eq=False)
class Away:
    """A key's loads that were handed on: to whom, how many are there now, in which round. back: one of them
    came back without having run."""

    owner: int
    number: int
    count: int = 0
    back: bool = False


@dataclass(slots=True, eq=False, order=False)
class Held:
    """A load with a key, from when it came to the end of its last attempt. number: in the order in which they
    came. owner: to whom it was handed on; 0: it is here. remote: it was handed on to here, by whom and in
    which round of its key."""

    number: int
    taken: ClientRequest
    key: bytes
    until: float
    patience: float
    settled: Tell
    remote: tuple[int, int] | None
    owner: int = 0
    pause: float = 0.0  # not placed again before
    since: float = 0.0  # when it began to wait for an owner
    toward: int = 0  # of a remote one: who owns its key, as far as is known here
    hops: int = 0  # how often an owner said that another is it
    opened: bool = False
    out: bool = False
    closed: bool = False
    known: bool = True

    def __lt__(self, other: Held) -> bool:
        return self.number < other.number


class Pinned:
    """The gateway's guard where pins are in service: see gateway.LoadGuard."""

    def __init__(
        self, loads: LoadGuard, owners: Owners, gateway: Gateway, clock: Clock, counters: Counters
    ) -> None:
        self.loads, self.owners, self.gateway = loads, owners, gateway
        self.clock, self.counters = clock, counters
        self.numbers = itertools.count(1)
        self.held: dict[str, Held] = {}
        self.lines: dict[bytes, list[Held]] = {}  # those that wait for an owner, in the order they came
        self.away: dict[bytes, Away] = {}
        self.rounds = itertools.count(secrets.randbits(62))
        self.remote: dict[str, tuple[int, int]] = {}  # refs that others have handed on to here, see Held
        self.bounced: dict[tuple[int, bytes], int] = {}  # by origin and key: the last round sent back
        self.moved: dict[str, int] = {}  # of these: what doesn't belong here, and who owns it; 0: not known
        self.waits = [0] * (len(WAITS_MS) + 1)  # of requests that came here: how many waited up to how long
        self.hints: dict[bytes, int] = {}  # by key: its owner, as its home has told

    # --- the gateway's calls ---

    def guards(self, query_class: int) -> bool:
        """Whether requests of a class are remembered."""
        return self.loads.guards(query_class)

    def on_load_arrived(self, taken: ClientRequest, until: float, settled: Tell) -> None:
        """A load has come; one with a key begins only where that is owned."""
        if taken.ordering_key is None:
            self.loads.on_load_arrived(taken, until, settled)
            return
        now = self.clock.now()
        remote = self.remote.get(taken.request_id)
        patience = max(min(until - SPARE_MS, now + (GUEST_MS if remote else WAIT_MS)), now)
        held = Held(next(self.numbers), taken, pin_key(taken.ordering_key), until, patience, settled, remote)
        self.held[taken.request_id] = held
        # Danger: one that came while others of its key waited for an owner would overtake them.
        if held.key in self.lines or not self._place(held):
            self._wait(held)

    def before_attempt_sent(
        self, attempt: Attempt, taken: ClientRequest, kept: Callable[[bool], None]
    ) -> None:
        """An attempt goes out only while its key is owned, also once the disk has taken it."""
        held = self.held.get(attempt.request_id)
        if held is None:
            self.loads.before_attempt_sent(attempt, taken, kept)
            return
        held.out = True
        if not self.owners.owns(held.key):
            self._not_here(held, kept)
            return

        def remembered(durable: bool) -> None:
            # Danger: a lease may end while the disk takes its time; sent then, it ran beside the next one's.
            if durable and not self.owners.owns(held.key):
                self._not_here(held, kept)
            else:
                kept(durable)

        self.loads.before_attempt_sent(attempt, held.taken, remembered)

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome | None) -> None:
        """An attempt has ended."""
        self.loads.on_attempt_ended(attempt, outcome)
        held = self.held.get(attempt.request_id)
        if held is not None:
            held.out = False
            held.known = held.known and outcome in KNOWN_ENDS
            if held.closed:
                self._end(held)

    def on_request_closed(self, ref: str) -> None:
        """A request is over for its client."""
        self.loads.on_request_closed(ref)
        held = self.held.get(ref)
        if held is None:
            return
        held.closed = True
        if held.owner:
            self.owners.left(ref)
            self._back_from(held)
        if not held.out:
            self._end(held)

    # --- handed on ---

    def handed(self, ended: Ended) -> None:
        """How a request that was handed on has ended. Where nothing ran it is placed anew."""
        held = self.held.get(ended.ref)
        if held is None or not held.owner:
            return
        self._back_from(held, ended.end in (End.MOVED, End.NOBODY))
        self.counters.add(f"pins_handed_{ended.end.name.lower()}")
        if ended.end is End.SERVED:
            try:
                rows = read_rows(ended.data)
            except MessageError:
                held.settled(LoadOutcome.MAY_HAVE_RUN, 0.0)
                return
            self.gateway.finish_without_attempt(ended.ref, "served", lambda client: client.complete(rows))
        elif ended.end is End.FAILED:
            held.settled(LoadOutcome.MAY_HAVE_RUN, 0.0)
        elif ended.end is End.MOVED and self.clock.now() < held.patience:
            self._moved(held, ended)
            self._wait(held)
        else:
            held.settled(LoadOutcome.UNKNOWN_YET, ended.ms or self.owners.back)
        self.go_on(held.key)

    def _moved(self, held: Held, ended: Ended) -> None:
        """Another owns it, maybe the one that is told."""
        # Danger: only its home knows where a key has moved to. Asked again and again, it could but say that
        # it isn't the owner, and no third instance ever reached a moved key.
        owner = int.from_bytes(ended.data, "big") if len(ended.data) == 8 else 0
        self.hints.pop(held.key, None)
        if owner:
            self.hints[held.key] = owner
            if len(self.hints) > MOST_HINTS:
                del self.hints[next(iter(self.hints))]
        held.hops += 1
        # Danger: two that each take the other for the owner sent it to and fro as fast as the net goes.
        if not owner or held.hops % MOST_HOPS == 0:
            held.pause = self.clock.now() + self.owners.back

    def step(self) -> None:
        """Time has passed, or somebody's part has changed: place what waits, send back what can't start."""
        for key in list(self.lines):
            self.go_on(key)
        for held in list(self.held.values()):
            if held.opened and not held.out and not held.closed and self.owners.lost(held.key):
                self._turn_back(held)

    def go_on(self, key: bytes) -> None:
        """Place those that wait for a key, in their order."""
        now = self.clock.now()
        while line := self.lines.get(key):
            held = line[0]
            if now >= held.patience:
                self._leave_line(held)
                self._later(held)
            elif now >= held.pause and self._place(held):
                self._leave_line(held)
            elif held.toward:
                self._leave_line(held)
                self._later(held)
            else:
                return

    # --- inside ---

    def _wait(self, held: Held) -> None:
        if held.toward:  # whoever handed it on finds the owner
            self._later(held)
            return
        self.counters.add("pins_waited")
        held.since = held.since or self.clock.now()
        insort(self.lines.setdefault(held.key, []), held)

    def _waited(self, held: Held) -> None:
        if held.since and not held.remote:
            ms = self.clock.now() - held.since
            self.waits[bisect_left(WAITS_MS, ms)] += 1
            held.since = 0.0

    def _leave_line(self, held: Held) -> None:
        self._waited(held)
        line = self.lines.get(held.key, [])
        if held in line:
            line.remove(held)
        if not line:
            self.lines.pop(held.key, None)

    def _place(self, held: Held) -> bool:
        """Whether it has begun here, or is on its way to where it belongs."""
        found, away = self.owners.take(held.key), self.away.get(held.key)
        target = self._target(held.key, found.owner) if isinstance(found, OwnedElsewhere) else 0
        held.toward = target if held.remote else 0
        if held.remote and self.bounced.get((held.remote[0], held.key)) == held.remote[1]:
            # Danger: sent back, one met the next of its key on the way, which began before it.
            held.toward = target or self.owners.me
            return False
        if away is not None and (away.owner != target or away.back):
            return False  # what came before it is still with an owner of before
        if isinstance(found, OwnedHere):
            held.opened = True
            self.owners.opened(held.key, held.number)
            self.loads.on_load_arrived(held.taken, held.until, held.settled)
            return True
        if not target or held.remote:
            return False
        if away is None:
            away = self.away[held.key] = Away(target, next(self.rounds))
        away.count, held.owner, taken = away.count + 1, target, held.taken
        until = taken.arrived_at + taken.timeout_ms - ANSWER_MS
        self.owners.hand(taken, target, held.key, until, away.number)
        return True

    def _target(self, key: bytes, owner: int) -> int:
        """To whom a load of the key goes: where its home has said that it is, else its home."""
        hint = self.hints.get(key, 0)
        if hint in (0, self.owners.me):
            return owner
        # Danger: a machine that was swapped takes no more, and what went there by an old hint was lost.
        return hint if self.owners.inside(hint) else owner

    def _back_from(self, held: Held, back: bool = False) -> None:
        """It is no longer with another; `back`: without having run."""
        held.owner, away = 0, self.away[held.key]
        away.count, away.back = away.count - 1, away.back or back
        if not away.count:
            del self.away[held.key]

    def _bounce(self, held: Held, owner: int) -> None:
        """One that was handed on to here goes back, and with it all of its round that come later."""
        if held.remote is None:
            return
        self.moved[held.taken.request_id] = owner
        self.bounced.pop((held.remote[0], held.key), None)
        self.bounced[held.remote[0], held.key] = held.remote[1]
        if len(self.bounced) > MOST_HINTS:
            del self.bounced[next(iter(self.bounced))]

    def _later(self, held: Held) -> None:
        self.counters.add("pins_later")
        self._bounce(held, held.toward)
        held.settled(LoadOutcome.UNKNOWN_YET, self.owners.back)

    def _not_here(self, held: Held, kept: Callable[[bool], None]) -> None:
        """An attempt that may not go out from here any more."""
        kept(False)
        self._turn_back(held)

    def _turn_back(self, held: Held) -> None:
        """One that stands in line here, and whose key is another's now: its client comes again."""
        self.counters.add("pins_turned_back")
        self._bounce(held, 0)
        back = self.owners.back
        self.gateway.finish_without_attempt(
            held.taken.request_id, "refused", lambda client: client.reject(back)
        )

    def _end(self, held: Held) -> None:
        self.held.pop(held.taken.request_id, None)
        self._leave_line(held)
        if held.opened:
            self.owners.ended(held.key, held.number, held.known)
