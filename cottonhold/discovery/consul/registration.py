"""Registers the dispatcher itself in Consul, with a TTL check that it updates while it serves; does no I/O.

The dispatcher sets the check's status: passing normally, and critical while its event loop lags, so that
proxies which read Consul send it fewer requests. An agent that restarted without its data rejects the next
heartbeat, as the check is unknown to it; the dispatcher is then registered again.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from urllib.parse import quote

import msgspec

from cottonhold.discovery.consul.http_exchange import HttpRequest, HttpResponse
from cottonhold.discovery.model import Address

HEARTBEATS_PER_TTL = 3.0  # Consul sets the check to critical only after three lost heartbeats in a row
CALL_TIMEOUT_TTLS = 0.25  # timeout of a call as a fraction of the TTL, which leaves time for another call
# Number of consecutive heartbeats without lag before the check is set to passing again, to avoid flapping.
MIN_HEARTBEATS_WITHOUT_LAG = 2
UNKNOWN_CHECK_STATUSES = (404, 500)  # the agent's responses for an unknown check, depending on its version
FIRST_RETRY_MS = 100.0
MAX_DEREGISTRATION_ATTEMPTS = 3


class RegistrationPhase(Enum):
    """The state of the registration. The values are written to the log."""

    ABSENT = "absent"
    REGISTERED = "there"
    DEREGISTERING = "leaving"
    DEREGISTERED = "left"


@dataclass(slots=True, frozen=True)
class RegistrationSettings:
    """Settings of the registration.

    Attributes:
        agent: The address of the Consul agent.
        id: The service id.
        service: The service name.
        address: The address under which clients reach the dispatcher.
        tags: The tags of the service instance.
        meta: The meta fields of the service instance.
        token: The ACL token; empty if none is needed.
        ttl_ms: Time after the last heartbeat after which Consul sets the check to critical, in ms.
        max_loop_lag_ms: Lag of the event loop above which the check is set to critical, in ms.
        deregister_after_ms: Time for which the check is critical before Consul removes the registration, as
            after a crash, in ms.
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
    """Keeps the dispatcher registered.

    The caller sends `next_request`, passes the result to `on_response` or `on_failure`, waits for
    `next_call_in_ms`, and repeats this until `is_finished`.
    """

    def __init__(self, settings: RegistrationSettings) -> None:
        self.settings, self.phase = settings, RegistrationPhase.ABSENT
        self.failure_count = self.registration_count = self.heartbeat_count = 0
        self.next_call_in_ms = 0.0
        self.heartbeats_without_lag = MIN_HEARTBEATS_WITHOUT_LAG
        self.is_critical = False
        self.last_error = ""  # the error of the last call; empty after a success

    def begin_deregistration(self) -> None:
        """Make the next request a deregistration."""
        if self.phase is not RegistrationPhase.DEREGISTERED:
            self.phase, self.failure_count = RegistrationPhase.DEREGISTERING, 0

    def is_finished(self) -> bool:
        """Return whether the dispatcher has been deregistered, or the attempts to do so were given up."""
        return self.phase is RegistrationPhase.DEREGISTERED

    def next_request(self, lag_ms: float, open_requests: int) -> HttpRequest:
        """Return the next request.

        Args:
            lag_ms: The largest lag of the event loop since the last request, in ms.
            open_requests: The number of requests in progress, shown in the check's output.
        """
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
                # The dispatcher already serves, and its first heartbeat is sent a third of the TTL later.
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
            self.on_failure(f"the agent no longer has the registration: status {response.status}: {text}")
            self.next_call_in_ms = 0.0 if self.failure_count == 1 else self.next_call_in_ms
        elif self.phase is RegistrationPhase.DEREGISTERING and response.status == 404:
            self.phase, self.next_call_in_ms = RegistrationPhase.DEREGISTERED, 0.0
        else:
            self.on_failure(f"status {response.status}: {text}")

    def on_failure(self, reason: str) -> None:
        """Record a failed call and back off, for a heartbeat interval at most.

        Deregistration is given up after `MAX_DEREGISTRATION_ATTEMPTS`.
        """
        self.failure_count, self.last_error = self.failure_count + 1, reason
        self.next_call_in_ms = min(
            FIRST_RETRY_MS * 2.0 ** min(self.failure_count - 1, 20), self.settings.ttl_ms / HEARTBEATS_PER_TTL
        )
        if (
            self.phase is RegistrationPhase.DEREGISTERING
            and self.failure_count >= MAX_DEREGISTRATION_ATTEMPTS
        ):
            self.phase = RegistrationPhase.DEREGISTERED
