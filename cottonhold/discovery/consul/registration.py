"""The dispatcher's own entry in Consul: registered with a TTL check, passing while it serves. Pure.

The dispatcher sets the check itself: passing while its event loop keeps up, critical while it lags, so that
proxies which read Consul send it less. An agent that restarted without its data reports the entry as unknown
at the next heartbeat; the entry is then registered anew.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from urllib.parse import quote

import msgspec

from cottonhold.discovery.consul.http_exchange import HttpRequest, HttpResponse
from cottonhold.discovery.model import Address

HEARTBEATS_PER_TTL = 3.0  # two may be lost before Consul sets the check to critical
CALL_TIMEOUT_TTLS = 0.25  # of a TTL, so that another call fits in
MIN_HEARTBEATS_WITHOUT_LAG = 2  # before it is passing again, so that it doesn't flap
UNKNOWN_CHECK_STATUSES = (404, 500)  # agents' responses for an unknown check, by version
FIRST_RETRY_MS = 100.0
MAX_DEREGISTRATION_ATTEMPTS = 3


class RegistrationPhase(Enum):
    """The state of the entry; the values stand in the log."""

    ABSENT = "absent"
    REGISTERED = "there"
    DEREGISTERING = "leaving"
    DEREGISTERED = "left"


@dataclass(slots=True, frozen=True)
class RegistrationSettings:
    """The entry.

    max_loop_lag_ms: with a larger lag of the event loop the check is critical.
    deregister_after_ms: how long the check is critical before Consul removes the entry, as after a crash.
    """

    agent: Address
    id: str
    service: str
    address: Address
    tags: tuple[str, ...] = ()
    meta: Mapping[str, str] = field(default_factory=dict)
    token: str = field(default="", repr=False)
    ttl_ms: float = 6000.0
    max_loop_lag_ms: float = 500.0
    deregister_after_ms: float = 600_000.0


class Registration:
    """Keeps the entry registered.

    Each `next_request` is followed by `on_response` or `on_failure` and a pause of `next_call_in_ms`, until
    `is_finished`.
    """

    def __init__(self, settings: RegistrationSettings) -> None:
        self.settings, self.phase = settings, RegistrationPhase.ABSENT
        self.failure_count = self.registration_count = self.heartbeat_count = 0
        self.next_call_in_ms = 0.0
        self.heartbeats_without_lag = MIN_HEARTBEATS_WITHOUT_LAG
        self.is_critical = False
        self.last_error = ""  # of the last call; empty after a success

    def begin_deregistration(self) -> None:
        """Have the next call remove the entry."""
        if self.phase is not RegistrationPhase.DEREGISTERED:
            self.phase, self.failure_count = RegistrationPhase.DEREGISTERING, 0

    def is_finished(self) -> bool:
        """Whether the entry has been removed, or its removal given up."""
        return self.phase is RegistrationPhase.DEREGISTERED

    def next_request(self, lag_ms: float, open_requests: int) -> HttpRequest:
        """The next call. lag_ms: the largest lag of the event loop since the last one."""
        s = self.settings
        if self.phase is RegistrationPhase.DEREGISTERING:
            return self._put_request(f"/v1/agent/service/deregister/{quote(s.id, safe='')}", None)
        self._update_health(lag_ms)
        if self.phase is RegistrationPhase.ABSENT:
            return self._put_request(
                "/v1/agent/service/register?replace-existing-checks=true", self._registration_body()
            )
        state = {
            "Status": "critical" if self.is_critical else "passing",
            "Output": f"loop at most {lag_ms:.0f} ms late; {open_requests} requests open",
        }
        return self._put_request(f"/v1/agent/check/update/{quote(f'service:{s.id}', safe='')}", state)

    def _update_health(self, lag_ms: float) -> None:
        is_late = lag_ms > self.settings.max_loop_lag_ms
        self.heartbeats_without_lag = 0 if is_late else self.heartbeats_without_lag + 1
        self.is_critical = is_late or (
            self.is_critical and self.heartbeats_without_lag < MIN_HEARTBEATS_WITHOUT_LAG
        )

    def _registration_body(self) -> dict[str, object]:
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
                "TTL": f"{round(s.ttl_ms)}ms",
                # It serves already, and the first heartbeat is a third of the TTL away.
                "Status": "critical" if self.is_critical else "passing",
                "DeregisterCriticalServiceAfter": f"{round(s.deregister_after_ms)}ms",
            },
        }

    def _put_request(self, target: str, body: object | None) -> HttpRequest:
        data = b"" if body is None else msgspec.json.encode(body)
        headers = {"X-Consul-Token": self.settings.token} if self.settings.token else {}
        limit = self.settings.ttl_ms * CALL_TIMEOUT_TTLS
        return HttpRequest("PUT", target, headers, data, first_byte_timeout_ms=limit, body_timeout_ms=limit)

    def on_response(self, response: HttpResponse) -> None:
        """Apply the agent's response."""
        if response.status == 200:
            self.failure_count, self.last_error = 0, ""
            self.next_call_in_ms = self.settings.ttl_ms / HEARTBEATS_PER_TTL
            if self.phase is RegistrationPhase.DEREGISTERING:
                self.phase = RegistrationPhase.DEREGISTERED
            elif self.phase is RegistrationPhase.ABSENT:
                self.phase, self.registration_count = (
                    RegistrationPhase.REGISTERED,
                    self.registration_count + 1,
                )
            else:
                self.heartbeat_count += 1
            return
        text = " ".join(response.body[:200].decode("utf-8", "replace").split())
        if self.phase is RegistrationPhase.REGISTERED and response.status in UNKNOWN_CHECK_STATUSES:
            self.phase = RegistrationPhase.ABSENT
            self.on_failure(f"the agent has forgotten the entry: status {response.status}: {text}")
            self.next_call_in_ms = 0.0 if self.failure_count == 1 else self.next_call_in_ms
        elif self.phase is RegistrationPhase.DEREGISTERING and response.status == 404:
            self.phase, self.next_call_in_ms = RegistrationPhase.DEREGISTERED, 0.0
        else:
            self.on_failure(f"status {response.status}: {text}")

    def on_failure(self, reason: str) -> None:
        """Back off up to the heartbeat's interval; deregistration is given up after some attempts."""
        self.failure_count, self.last_error = self.failure_count + 1, reason
        self.next_call_in_ms = min(
            FIRST_RETRY_MS * 2.0 ** min(self.failure_count - 1, 20), self.settings.ttl_ms / HEARTBEATS_PER_TTL
        )
        if (
            self.phase is RegistrationPhase.DEREGISTERING
            and self.failure_count >= MAX_DEREGISTRATION_ATTEMPTS
        ):
            self.phase = RegistrationPhase.DEREGISTERED
