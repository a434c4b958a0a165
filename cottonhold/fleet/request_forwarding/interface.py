"""Settings of handing on, and what it asks of the rim. Pure."""

from __future__ import annotations

from dataclasses import dataclass

from cottonhold.fleet.consensus.actions import SendMessage
from cottonhold.fleet.request_forwarding.messages import End


@dataclass(slots=True, frozen=True)
class HandSettings:
    """Times in ms. window: parts on their way to one neighbour. retry, retry_most: a part without an answer
    is sent again. fresh: a stamp is used no longer than this. poll: an owner that says nothing is asked so
    often whether it still lives. reserve: so long before its time is over a request that nobody took is
    withdrawn. last: so long before that its client is told. longest: a request's time is cut to this. drift:
    part by which clocks may run unevenly. margin: an owner takes the time left to be this much less. least:
    with less time left it takes none. back: a client whose request can't be handed on comes again after this.

    Bounds. open: requests of this origin. callers: neighbours. Each of the others is for one neighbour, whose
    words are its own, so one that lies fills no more than its own part: gathering, answering (bytes of what
    is not whole yet, of answers not yet fetched), remembered (requests whose end must not be forgotten),
    lives (of an origin, at once)."""

    window: int = 64
    retry: float = 40.0
    retry_most: float = 320.0
    fresh: float = 5000.0
    poll: float = 250.0
    reserve: float = 120.0
    last: float = 20.0
    longest: float = 600_000.0
    drift: float = 0.001
    margin: float = 5.0
    least: float = 1.0
    back: float = 100.0
    open: int = 2000
    gathering: int = 512 * 1024
    answering: int = 2 * 1024 * 1024
    remembered: int = 16_000
    lives: int = 8
    callers: int = 64


@dataclass(slots=True, frozen=True)
class Take:
    """At the owner: this request is its gateway's now. left_ms: no more than what is left at the origin."""

    origin: int
    number: int
    body: bytes
    left_ms: float


@dataclass(slots=True, frozen=True)
class Gone:
    """At the owner: nobody waits any more for the answer of one that was taken."""

    origin: int
    number: int


@dataclass(slots=True, frozen=True)
class Ended:
    """At the origin: what its client is told. ms: for REFUSED, how long to stay away."""

    ref: str
    end: End
    ms: float = 0.0
    data: bytes = b""


Action = SendMessage | Take | Gone | Ended
