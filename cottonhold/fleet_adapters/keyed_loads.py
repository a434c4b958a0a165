"""The gateway's guard of loads with ordering keys: each starts at its key's owner, or is forwarded to it.

It stands before the guard of loads that may have run (load_records.py). It decides neither who owns a key
(fleet/session_affinity/service.py) nor what becomes of a forwarded request
(fleet/request_forwarding/forwarder.py).
"""

from __future__ import annotations

import itertools
import secrets
from bisect import bisect_left, insort
from collections.abc import Callable
from dataclasses import dataclass
from typing import NamedTuple, Protocol

from cottonhold.backend.attempt import Attempt
from cottonhold.fleet.message_format import MessageError
from cottonhold.fleet.request_forwarding.forwarder import ForwardingEnded, ForwardResult
from cottonhold.fleet.request_forwarding.interface import RESULT_NAMES
from cottonhold.fleet.request_forwarding.request_codec import affinity_key, decode_rows
from cottonhold.fleet.session_affinity.ownership import OwnedElsewhere, OwnedHere, RetryAfter
from cottonhold.fleet_adapters.load_conversions import NEVER_RAN
from cottonhold.node.client_request import ClientRequest
from cottonhold.node.gateway import Gateway
from cottonhold.node.load_guard import LoadGuard, LoadOutcome, LoadOutcomeCallback
from cottonhold.observe.counters import Counters
from cottonhold.scheduler.events import Outcome
from cottonhold.transport.clock import Clock

KNOWN_OUTCOMES = (*NEVER_RAN, Outcome.OK, Outcome.ERROR)  # after any other a load may still run
MAX_WAIT_MS = 2000.0  # for a key to have an owner; longer than a fence takes
MAX_FORWARDED_WAIT_MS = 400.0  # the same for a request that was forwarded to here
WAIT_STEPS_MS = (10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1000.0, MAX_WAIT_MS)
MAX_HOPS_WITHOUT_PAUSE = 3  # the home, the owner, and one move in between
MAX_HINTS = 20_000
RETRY_RESERVE_MS = 100.0  # of its time that remains when a client is told to retry
ANSWER_RESERVE_MS = 50.0  # of the client's time, for the answer to a forwarded request


class KeyRouter(Protocol):
    """What the guard needs of session affinity."""

    member: int
    retry_after_ms: float

    def route(self, key: bytes) -> OwnedHere | OwnedElsewhere | RetryAfter:
        """Return where a request of the key belongs."""

    def is_owner(self, key: bytes) -> bool:
        """Whether a request of the key may start here at this moment."""

    def is_member(self, member: int) -> bool:
        """Whether a member may own keys, as far as is known here."""

    def will_not_start(self, key: bytes) -> bool:
        """Whether a waiting request of the key will not start here any more."""

    def on_request_opened(self, key: bytes, load: int) -> None:
        """A request waits or runs here."""

    def on_request_ended(self, key: bytes, load: int, is_outcome_known: bool) -> None:
        """A request has ended."""

    def forward(
        self, client_request: ClientRequest, owner: int, key: bytes, deadline: float, round_number: int
    ) -> None:
        """Forward a request to a member, in a round of its key; KeyedLoadGuard.on_forwarding_ended gets the
        result.
        """

    def abandon(self, request_id: str) -> None:
        """No client waits any more for a forwarded request."""


class OriginRound(NamedTuple):
    """Which member forwarded a request to here, and in which round of its key."""

    origin: int
    number: int


@dataclass(slots=True, eq=False)
class ForwardingRound:
    """A key's requests that are with another owner: which one, how many, in which round."""

    owner: int
    number: int
    open_count: int = 0
    has_returned: bool = False


@dataclass(slots=True, eq=False, order=False)
class KeyedRequest:
    """A load with a key, from its arrival to the end of its last attempt.

    number: in the order of arrival. owner: the member to which it was forwarded; 0: it is here. origin_round:
    for a request that was forwarded to here, by whom and in which round of its key.
    """

    number: int
    client_request: ClientRequest
    key: bytes
    deadline: float
    wait_deadline: float
    on_outcome: LoadOutcomeCallback
    origin_round: OriginRound | None
    owner: int = 0
    retry_at: float = 0.0  # it is not placed before
    waiting_since: float = 0.0
    known_owner: int = 0  # of a request forwarded to here
    hop_count: int = 0  # how often a receiver was not the owner
    is_opened: bool = False
    is_in_flight: bool = False
    is_closed: bool = False
    is_outcome_known: bool = True

    def __lt__(self, other: KeyedRequest) -> bool:
        return self.number < other.number


class KeyedLoadGuard:
    """The gateway's guard where session affinity is on; see node/load_guard.py."""

    def __init__(
        self, loads: LoadGuard, router: KeyRouter, gateway: Gateway, clock: Clock, counters: Counters
    ) -> None:
        self.loads, self.router, self.gateway = loads, router, gateway
        self.clock, self.counters = clock, counters
        self.numbers = itertools.count(1)
        self.requests: dict[str, KeyedRequest] = {}
        self.queues: dict[bytes, list[KeyedRequest]] = {}  # waiting for an owner, in order of arrival
        self.forwarding_rounds: dict[bytes, ForwardingRound] = {}
        self.round_numbers = itertools.count(secrets.randbits(62))
        self.origin_rounds: dict[str, OriginRound] = {}  # by id of a request forwarded to here
        # By origin and key: the last round that was returned
        self.returned_rounds: dict[tuple[int, bytes], int] = {}
        self.owners_by_returned: dict[str, int] = {}  # by id of a returned request; 0: not known
        self.wait_histogram = [0] * (len(WAIT_STEPS_MS) + 1)  # of own requests
        self.owner_hints: dict[bytes, int] = {}  # by key: its owner, as its home reported

    def guards(self, query_class: int) -> bool:
        """Whether requests of a class are remembered."""
        return self.loads.guards(query_class)

    def on_load_arrived(
        self, client_request: ClientRequest, deadline: float, on_outcome: LoadOutcomeCallback
    ) -> None:
        """A load has arrived; one with a key begins only where that is owned."""
        if client_request.ordering_key is None:
            self.loads.on_load_arrived(client_request, deadline, on_outcome)
            return
        now = self.clock.now()
        origin_round = self.origin_rounds.get(client_request.request_id)
        wait_deadline = max(
            min(deadline - RETRY_RESERVE_MS, now + (MAX_FORWARDED_WAIT_MS if origin_round else MAX_WAIT_MS)),
            now,
        )
        request = KeyedRequest(
            next(self.numbers),
            client_request,
            affinity_key(client_request.ordering_key),
            deadline,
            wait_deadline,
            on_outcome,
            origin_round,
        )
        self.requests[client_request.request_id] = request
        # A request must not overtake others of its key that wait for an owner.
        if request.key in self.queues or not self._place(request):
            self._enqueue(request)

    def before_attempt_sent(
        self, attempt: Attempt, client_request: ClientRequest, on_recorded: Callable[[bool], None]
    ) -> None:
        """An attempt is sent only while its key is owned, also once its record is durable."""
        request = self.requests.get(attempt.request_id)
        if request is None:
            self.loads.before_attempt_sent(attempt, client_request, on_recorded)
            return
        request.is_in_flight = True
        if not self.router.is_owner(request.key):
            self._stop_attempt(request, on_recorded)
            return

        def on_written(durable: bool) -> None:
            # The lease may have ended while the record was written; the next owner may start its own request.
            if durable and not self.router.is_owner(request.key):
                self._stop_attempt(request, on_recorded)
            else:
                on_recorded(durable)

        self.loads.before_attempt_sent(attempt, request.client_request, on_written)

    def on_attempt_ended(self, attempt: Attempt, outcome: Outcome | None) -> None:
        """An attempt has ended."""
        self.loads.on_attempt_ended(attempt, outcome)
        request = self.requests.get(attempt.request_id)
        if request is not None:
            request.is_in_flight = False
            request.is_outcome_known = request.is_outcome_known and outcome in KNOWN_OUTCOMES
            if request.is_closed:
                self._end(request)

    def on_request_closed(self, request_id: str) -> None:
        """A request is over for its client."""
        self.loads.on_request_closed(request_id)
        request = self.requests.get(request_id)
        if request is None:
            return
        request.is_closed = True
        if request.owner:
            self.router.abandon(request_id)
            self._on_returned(request)
        if not request.is_in_flight:
            self._end(request)

    def on_forwarding_ended(self, ended: ForwardingEnded) -> None:
        """A forwarded request has ended; if nothing ran it is placed again."""
        request = self.requests.get(ended.request_id)
        if request is None or not request.owner:
            return
        self._on_returned(request, ended.result in (ForwardResult.NOT_OWNER, ForwardResult.NOT_ACCEPTED))
        self.counters.add(f"pins_handed_{RESULT_NAMES[ended.result]}")
        if ended.result is ForwardResult.ANSWERED:
            try:
                rows = decode_rows(ended.data)
            except MessageError:
                request.on_outcome(LoadOutcome.MAY_HAVE_RUN, 0.0)
                return
            self.gateway.finish_without_attempt(
                ended.request_id, "served", lambda client: client.complete(rows)
            )
        elif ended.result is ForwardResult.FAILED:
            request.on_outcome(LoadOutcome.MAY_HAVE_RUN, 0.0)
        elif ended.result is ForwardResult.NOT_OWNER and self.clock.now() < request.wait_deadline:
            self._on_not_owner(request, ended)
            self._enqueue(request)
        else:
            request.on_outcome(LoadOutcome.NOT_KNOWN_YET, ended.retry_after_ms or self.router.retry_after_ms)
        self.place_waiting(request.key)

    def _on_not_owner(self, request: KeyedRequest, ended: ForwardingEnded) -> None:
        """Another member owns the key: remember the owner that the receiver, its home, reported."""
        owner = int.from_bytes(ended.data, "big") if len(ended.data) == 8 else 0
        self.owner_hints.pop(request.key, None)
        if owner:
            self.owner_hints[request.key] = owner
            if len(self.owner_hints) > MAX_HINTS:
                del self.owner_hints[next(iter(self.owner_hints))]
        request.hop_count += 1
        # Two members that each take the other for the owner must not send it to and fro without a pause.
        if not owner or request.hop_count % MAX_HOPS_WITHOUT_PAUSE == 0:
            request.retry_at = self.clock.now() + self.router.retry_after_ms

    def step(self) -> None:
        """Place what waits, and return what cannot start here any more."""
        for key in list(self.queues):
            self.place_waiting(key)
        for request in list(self.requests.values()):
            if (
                request.is_opened
                and not request.is_in_flight
                and not request.is_closed
                and self.router.will_not_start(request.key)
            ):
                self._reject(request)

    def place_waiting(self, key: bytes) -> None:
        """Place the requests that wait for a key, in their order."""
        now = self.clock.now()
        while queue := self.queues.get(key):
            request = queue[0]
            if now >= request.wait_deadline:
                self._dequeue(request)
                self._retry_later(request)
            elif now >= request.retry_at and self._place(request):
                self._dequeue(request)
            elif request.known_owner:
                self._dequeue(request)
                self._retry_later(request)
            else:
                return

    def _enqueue(self, request: KeyedRequest) -> None:
        if request.known_owner:  # its origin finds the owner
            self._retry_later(request)
            return
        self.counters.add("pins_waited")
        request.waiting_since = request.waiting_since or self.clock.now()
        insort(self.queues.setdefault(request.key, []), request)

    def _count_wait(self, request: KeyedRequest) -> None:
        if request.waiting_since and not request.origin_round:
            waited_ms = self.clock.now() - request.waiting_since
            self.wait_histogram[bisect_left(WAIT_STEPS_MS, waited_ms)] += 1
            request.waiting_since = 0.0

    def _dequeue(self, request: KeyedRequest) -> None:
        self._count_wait(request)
        queue = self.queues.get(request.key, [])
        if request in queue:
            queue.remove(request)
        if not queue:
            self.queues.pop(request.key, None)

    def _place(self, request: KeyedRequest) -> bool:
        """Return whether the request has started here, or was forwarded to the owner."""
        route = self.router.route(request.key)
        target = self._target(request.key, route.owner) if isinstance(route, OwnedElsewhere) else 0
        request.known_owner = target if request.origin_round else 0
        if self._is_of_returned_round(request):
            request.known_owner = target or self.router.member
            return False
        earlier = self.forwarding_rounds.get(request.key)
        if earlier is not None and (earlier.owner != target or earlier.has_returned):
            return False  # earlier requests of the key are still with a previous owner
        if isinstance(route, OwnedHere):
            request.is_opened = True
            self.router.on_request_opened(request.key, request.number)
            self.loads.on_load_arrived(request.client_request, request.deadline, request.on_outcome)
            return True
        if not target or request.origin_round:
            return False
        self._forward(request, target)
        return True

    def _is_of_returned_round(self, request: KeyedRequest) -> bool:
        """Whether a request that was forwarded to here belongs to a round that was returned.

        All of that round go back, or a later request of the key could start before an earlier one.
        """
        if request.origin_round is None:
            return False
        origin, round_number = request.origin_round
        return self.returned_rounds.get((origin, request.key)) == round_number

    def _forward(self, request: KeyedRequest, target: int) -> None:
        forwarding_round = self.forwarding_rounds.get(request.key)
        if forwarding_round is None:
            forwarding_round = ForwardingRound(target, next(self.round_numbers))
            self.forwarding_rounds[request.key] = forwarding_round
        forwarding_round.open_count += 1
        request.owner = target
        client_request = request.client_request
        deadline = client_request.arrived_at + client_request.timeout_ms - ANSWER_RESERVE_MS
        self.router.forward(client_request, target, request.key, deadline, forwarding_round.number)

    def _target(self, key: bytes, owner: int) -> int:
        """Return to whom a request of the key is forwarded: the reported owner, else its home."""
        hint = self.owner_hints.get(key, 0)
        if hint in (0, self.router.member):
            return owner
        # A machine that was replaced is no member any more, and a hint may still name it.
        return hint if self.router.is_member(hint) else owner

    def _on_returned(self, request: KeyedRequest, did_not_run: bool = False) -> None:
        """The request is no longer with another member."""
        request.owner = 0
        forwarding_round = self.forwarding_rounds[request.key]
        forwarding_round.open_count -= 1
        forwarding_round.has_returned = forwarding_round.has_returned or did_not_run
        if not forwarding_round.open_count:
            del self.forwarding_rounds[request.key]

    def _return_round(self, request: KeyedRequest, owner: int) -> None:
        """Return a request that was forwarded to here, and with it all later ones of its round."""
        if request.origin_round is None:
            return
        self.owners_by_returned[request.client_request.request_id] = owner
        self.returned_rounds.pop((request.origin_round[0], request.key), None)
        self.returned_rounds[request.origin_round[0], request.key] = request.origin_round[1]
        if len(self.returned_rounds) > MAX_HINTS:
            del self.returned_rounds[next(iter(self.returned_rounds))]

    def _retry_later(self, request: KeyedRequest) -> None:
        self.counters.add("pins_later")
        self._return_round(request, request.known_owner)
        request.on_outcome(LoadOutcome.NOT_KNOWN_YET, self.router.retry_after_ms)

    def _stop_attempt(self, request: KeyedRequest, on_recorded: Callable[[bool], None]) -> None:
        """The attempt may not be sent from here any more."""
        on_recorded(False)
        self._reject(request)

    def _reject(self, request: KeyedRequest) -> None:
        """Another member owns the key of a request that is queued here: its client retries."""
        self.counters.add("pins_turned_back")
        self._return_round(request, 0)
        retry_after_ms = self.router.retry_after_ms
        self.gateway.finish_without_attempt(
            request.client_request.request_id, "refused", lambda client: client.reject(retry_after_ms)
        )

    def _end(self, request: KeyedRequest) -> None:
        self.requests.pop(request.client_request.request_id, None)
        self._dequeue(request)
        if request.is_opened:
            self.router.on_request_ended(request.key, request.number, request.is_outcome_known)
