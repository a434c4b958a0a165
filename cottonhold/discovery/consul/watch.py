"""The blocking query that follows one service's health: which call comes next and what an answer means. Pure.

Follows Consul's page on blocking queries: an index that goes backwards starts anew from 0, one that is 0
counts as 1, the answer may take the wait and a sixteenth more. After any failure the next call doesn't block:
what was told meanwhile must be known at once, and an agent that was switched to may lie behind.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, field
from urllib.parse import quote, urlencode

from cottonhold.discovery.consul.answers import Answers
from cottonhold.discovery.consul.exchange import Answer, Call
from cottonhold.discovery.model import Address, Event, SourceLost, SourceReport
from cottonhold.message_validation import WireError

WAIT_JITTER = 1 / 16  # of the wait, which Consul adds so that not all watchers wake at once
FORBIDDEN = 403
BUSY = 429


@dataclass(slots=True, frozen=True)
class WatchSettings:
    """What is watched, and how. Times in ms.

    wait: how long an answer is held back while nothing changes; also how long a silently cut link goes
    unseen.
    first: how much later than that the first byte may come. rest: how long the rest may take.
    pause, pause_most: after a failure, doubled with each further one, with jitter of a half.
    gap: the least time between two answers: a list that changes all the time must not take the whole core.
    stale_most: an answer of a server that heard of its leader longer ago is asked for again, at the leader.
    """

    name: str
    addresses: tuple[Address, ...]
    service: str
    datacenter: str = ""
    filter: str = ""
    tag: str = ""
    consistency: str = "stale"
    token: str = field(default="", repr=False)
    wait: float = 10_000.0
    first: float = 1000.0
    rest: float = 5000.0
    pause: float = 50.0
    pause_most: float = 5000.0
    gap: float = 20.0
    stale_most: float = 2000.0
    most_bytes: int = 64 << 20


class Watch:
    """One service of one datacentre. `call`, then `answered` or `failed`, then a pause of `pause_ms`,
    again.
    """

    def __init__(self, settings: WatchSettings, answers: Answers, seed: int) -> None:
        self.settings, self.answers = settings, answers
        self.draw = random.Random(f"{seed}/{settings.name}/watch")
        self.index = self.told = 0  # to ask from; of the last answer taken in
        self.at = 0  # which agent is asked
        self.failures = 0
        self.pause_ms = 0.0
        self.at_leader = False  # the next call goes past followers that may lie behind
        self.confirming: tuple[str, ...] = ()  # what the next call asks the catalogue for

    @property
    def address(self) -> Address:
        """The agent that is asked."""
        return self.settings.addresses[self.at % len(self.settings.addresses)]

    def confirm(self, absent: tuple[str, ...]) -> None:
        """Before the next health call, ask the catalogue at the leader whether these are really absent."""
        self.confirming = absent

    def call(self) -> Call:
        """The next call."""
        s = self.settings
        query: dict[str, str] = {}
        if s.datacenter:
            query["dc"] = s.datacenter
        if self.confirming:
            target = f"/v1/catalog/service/{quote(s.service, safe='')}?{urlencode(query)}&consistent"
            return Call("GET", target.replace("?&", "?"), self._headers(), first_ms=s.rest, rest_ms=s.rest)
        if s.filter:
            query["filter"] = s.filter
        if s.tag:
            query["tag"] = s.tag
        held = 0.0
        if self.index:
            query["index"], query["wait"] = str(self.index), f"{round(s.wait)}ms"
            held = s.wait * (1 + WAIT_JITTER)
        flag = "" if self.at_leader or s.consistency == "default" else f"&{s.consistency}"
        target = f"/v1/health/service/{quote(s.service, safe='')}?{urlencode(query)}{flag}"
        return Call(
            "GET", target.replace("?&", "?"), self._headers(), first_ms=held + s.first, rest_ms=s.rest
        )

    def _headers(self) -> Mapping[str, str]:
        return {"X-Consul-Token": self.settings.token} if self.settings.token else {}

    def answered(self, answer: Answer) -> list[Event]:
        """A whole answer has come: what it tells."""
        if answer.status != 200:
            return self._refused(answer)
        try:
            events = self._confirmed(answer) if self.confirming else self._listed(answer)
        except WireError as error:
            return self.failed(str(error))
        self.failures = 0
        return events

    def _listed(self, answer: Answer) -> list[Event]:
        s = self.settings
        self.pause_ms = s.gap
        index = answer.number("x-consul-index")
        if index is None:
            raise WireError("the answer has no X-Consul-Index")
        behind = answer.number("x-consul-lastcontact") or 0
        if answer.headers.get("x-consul-knownleader", "true") == "false" or behind > s.stale_most:
            # A server cut off from its leader answers from the past: a later drain is missing in its answer.
            if self.at_leader:
                raise WireError(f"the server knows no leader, or heard of it {behind} ms ago")
            self.at_leader = True
            return []
        self.at_leader = False
        index = max(index, 1)
        differences = self.answers.read(answer.body)
        backwards = index < self.told
        self.told, self.index = index, 0 if backwards else index
        return [SourceReport(s.name, index, differences.observations, differences.absent, differences.whole)]

    def _confirmed(self, answer: Answer) -> list[Event]:
        asked, self.confirming, self.pause_ms = self.confirming, (), self.settings.gap
        listed = self.answers.listed(answer.body)
        gone = tuple(engine_id for engine_id in asked if engine_id not in listed)
        if not listed or not gone:
            # An empty catalogue is no proof: that is what one that has lost its data says.
            return []
        return [SourceReport(self.settings.name, self.told, absent=gone, is_confirmed=True)]

    def _refused(self, answer: Answer) -> list[Event]:
        text = " ".join(answer.body[:200].decode("utf-8", "replace").split())
        events = self.failed(f"status {answer.status}: {text}")
        if answer.status == FORBIDDEN:
            self.pause_ms = max(self.pause_ms, self.settings.pause_most / 5)
        elif answer.status == BUSY:
            asked = (answer.number("retry-after") or 0) * 1000.0
            self.pause_ms = min(max(self.pause_ms, asked), self.settings.pause_most)
        return events

    def failed(self, why: str) -> list[Event]:
        """The call brought nothing that can be used; the next goes to the next agent, after a pause."""
        s = self.settings
        where = str(self.address)
        self.failures += 1
        self.at = (self.at + 1) % len(s.addresses)
        self.index, self.confirming, self.at_leader = 0, (), False
        # All agents are tried once before any pause grows: one that is down must not delay news of the rest.
        rounds = (self.failures - 1) // len(s.addresses)
        most = min(s.pause * 2.0 ** min(rounds, 30), s.pause_most)
        self.pause_ms = most * (0.5 + 0.5 * self.draw.random())
        return [SourceLost(s.name, f"{where}: {why}")]
