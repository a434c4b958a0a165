"""The dispatcher's own entry in Consul: registered with a TTL check, kept passing while it serves. Pure.

The check is the dispatcher's own word on itself: passing while its loop keeps up, critical while it lags, so
that fronts which read Consul send less to it. An agent that restarted without its data has forgotten the
entry; it says so at the next beat, and the entry is made anew.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from urllib.parse import quote

import msgspec

from cottonhold.discovery.consul.exchange import Answer, Call
from cottonhold.discovery.model import Address

BEATS = 3.0  # a TTL: two beats may be lost before Consul calls the dispatcher critical
TIMEOUT = 0.25  # of a TTL: a call that takes longer is given up, so that another fits in
CALM_BEATS = 2  # without lag before it is passing again, so that the front doesn't see it flap
UNKNOWN = (404, 500)  # what agents answer for a check they don't know, by version


class Phase(Enum):
    """Where the entry stands."""

    ABSENT = "absent"
    THERE = "there"
    LEAVING = "leaving"
    LEFT = "left"


@dataclass(slots=True, frozen=True)
class RegistrationSettings:
    """The entry. Times in ms. `lag`: a loop later than this is critical. `forget`: after so long critical,
    Consul removes the entry of a dispatcher that died without a word."""

    agent: Address
    id: str
    service: str
    address: Address
    tags: tuple[str, ...] = ()
    meta: Mapping[str, str] = field(default_factory=dict)
    token: str = field(default="", repr=False)
    ttl: float = 6000.0
    lag: float = 500.0
    forget: float = 600_000.0


class Registration:
    """Keeps the entry. `call`, then `answered` or `failed`, then a pause of `pause_ms`, until `phase` is
    LEFT.
    """

    def __init__(self, settings: RegistrationSettings) -> None:
        self.settings, self.phase = settings, Phase.ABSENT
        self.failures = self.registered = self.beats = 0
        self.pause_ms = 0.0
        self.calm = CALM_BEATS
        self.critical = False
        self.why = ""  # the last call's failure; empty where it was taken

    def leave(self) -> None:
        """The dispatcher goes: the next call removes the entry."""
        if self.phase is not Phase.LEFT:
            self.phase, self.failures = Phase.LEAVING, 0

    def over(self) -> bool:
        """Whether nothing more is to be done."""
        return self.phase is Phase.LEFT

    def call(self, lag_ms: float, open_requests: int) -> Call:
        """The next call, with how late the loop ran at worst since the last one."""
        s = self.settings
        if self.phase is Phase.LEAVING:
            return self._put(f"/v1/agent/service/deregister/{quote(s.id, safe='')}", None)
        self._judge(lag_ms)
        if self.phase is Phase.ABSENT:
            return self._put("/v1/agent/service/register?replace-existing-checks=true", self._entry())
        state = {
            "Status": "critical" if self.critical else "passing",
            "Output": f"loop at most {lag_ms:.0f} ms late; {open_requests} requests open",
        }
        return self._put(f"/v1/agent/check/update/{quote(f'service:{s.id}', safe='')}", state)

    def _judge(self, lag_ms: float) -> None:
        late = lag_ms > self.settings.lag
        self.calm = 0 if late else self.calm + 1
        self.critical = late or (self.critical and self.calm < CALM_BEATS)

    def _entry(self) -> dict[str, object]:
        s = self.settings
        return {
            "ID": s.id,
            "Name": s.service,
            "Address": s.address.host,
            "Port": s.address.port,
            "Tags": list(s.tags),
            "Meta": dict(s.meta),
            "Check": {
                "CheckID": f"service:{s.id}",
                "Name": "the dispatcher's own word",
                "TTL": f"{round(s.ttl)}ms",
                # Registered as passing: it serves already, and a first beat is a third of the TTL away.
                "Status": "critical" if self.critical else "passing",
                "DeregisterCriticalServiceAfter": f"{round(s.forget)}ms",
            },
        }

    def _put(self, target: str, body: object | None) -> Call:
        data = b"" if body is None else msgspec.json.encode(body)
        headers = {"X-Consul-Token": self.settings.token} if self.settings.token else {}
        limit = self.settings.ttl * TIMEOUT
        return Call("PUT", target, headers, data, first_ms=limit, rest_ms=limit)

    def answered(self, answer: Answer) -> None:
        """The agent has answered."""
        if answer.status == 200:
            self.failures, self.why = 0, ""
            self.pause_ms = self.settings.ttl / BEATS
            if self.phase is Phase.LEAVING:
                self.phase = Phase.LEFT
            elif self.phase is Phase.ABSENT:
                self.phase, self.registered = Phase.THERE, self.registered + 1
            else:
                self.beats += 1
            return
        text = " ".join(answer.body[:200].decode("utf-8", "replace").split())
        if self.phase is Phase.THERE and answer.status in UNKNOWN:
            self.phase = Phase.ABSENT
            self.failed(f"the agent has forgotten the entry: status {answer.status}: {text}")
            self.pause_ms = 0.0 if self.failures == 1 else self.pause_ms
        elif self.phase is Phase.LEAVING and answer.status == 404:
            self.phase, self.pause_ms = Phase.LEFT, 0.0
        else:
            self.failed(f"status {answer.status}: {text}")

    def failed(self, why: str) -> None:
        """The call brought nothing: again soon, ever less often up to the beat; a leave is tried three
        times.
        """
        self.failures, self.why = self.failures + 1, why
        self.pause_ms = min(100.0 * 2.0 ** min(self.failures - 1, 20), self.settings.ttl / BEATS)
        if self.phase is Phase.LEAVING and self.failures >= 3:
            self.phase = Phase.LEFT
