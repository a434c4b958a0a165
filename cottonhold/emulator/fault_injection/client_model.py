"""The clients of a scenario as values: classes of requests, how clients behave, and the load of a run. Pure.

The scenario's JSON and the settings of the clients' process hold them under the names given to `field`.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec
from msgspec import field

MAY_HAVE_RUN = "may have run"  # in an instance's answer to a load whose end it does not know
MAX_ATTEMPTS = 50  # of a client that repeats a load until it has its answer
MAX_RETRY_DELAY_MS = 1000.0


class RequestEnd(StrEnum):
    """How an attempt of a client ended, by the word that stands for it in the clients' log."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "nothing"
    BROKEN = "broken"
    UNREACHED = "unreached"


# Ends after which a client does not know whether its load has run, or knows that it has not.
WITHOUT_RESULT = (RequestEnd.BROKEN, RequestEnd.TIMED_OUT, RequestEnd.REFUSED, RequestEnd.UNREACHED)


class RequestClass(msgspec.Struct, frozen=True):
    """A class of requests. share: its part of all requests. work_ms: on an engine with the default traits."""

    name: str
    share: float
    patience_ms: float = field(name="patience")
    work_ms: float = field(name="effort")
    is_load: bool = field(name="load", default=False)


class ClientBehaviour(msgspec.Struct, frozen=True):
    """How clients behave.

    retry_after_share: the part of clients that stay away as long as they are advised. failure_detection_ms:
    until the load balancer sends no more clients to an instance that is down. retries_unfinished_loads: a
    load whose end the client did not receive is sent again, as often as its patience allows.
    retries_failed_loads: also one of which an instance said that it may have run. response_timeout_ms: how
    long such a client waits for one response; 0: for all of its patience.
    """

    max_attempts: int = field(name="tries", default=1)
    retry_delay_ms: float = field(name="wait", default=200.0)
    retry_after_share: float = field(name="honours", default=1.0)
    failure_detection_ms: float = field(name="notice", default=1000.0)
    retries_unfinished_loads: bool = field(name="asks_again", default=False)
    retries_failed_loads: bool = field(name="asks_failed", default=False)
    response_timeout_ms: float = field(name="hears", default=0.0)

    def retries_after(self, is_load: bool, end: RequestEnd, text: str, attempts: int) -> bool:
        """Return whether a client tries again when its attempt number `attempts`, from 1, has ended so."""
        if is_load and self.retries_unfinished_loads and attempts < MAX_ATTEMPTS:
            if end in WITHOUT_RESULT:
                return True
            return end is RequestEnd.FAILED and MAY_HAVE_RUN in text and self.retries_failed_loads
        return end in (RequestEnd.REFUSED, RequestEnd.UNREACHED) and attempts < self.max_attempts

    def retry_delay_after_ms(self, attempts: int) -> float:
        """Return the delay before the next attempt where none is advised: for clients that repeat loads, an
        exponential backoff."""
        if not self.retries_unfinished_loads:
            return self.retry_delay_ms
        backoff_ms = min(self.retry_delay_ms * 2.0 ** (attempts - 1), MAX_RETRY_DELAY_MS)
        return max(self.retry_delay_ms, backoff_ms)


class Load(msgspec.Struct, forbid_unknown_fields=True):
    """The load of a run. rate_steps: (seconds from the start, factor of the rate) that hold from then on.

    instance_zones: the zone of each instance; a client then belongs to a zone, reads data sets of its own
    there, and is sent to another zone only if no instance of its own is up. zone_distances_ms: one way.
    """

    instance_ports: list[int] = field(name="ports")
    requests_per_s: float = field(name="rate")
    duration_s: float = field(name="seconds")
    request_classes: list[RequestClass] = field(name="kinds")
    instance_weights: list[float] = field(name="weights")
    log_path: str = field(name="ledger")
    seed: int
    behaviour: ClientBehaviour = field(name="manner", default=ClientBehaviour())
    rate_steps: list[tuple[float, float]] = field(name="steps", default_factory=list)
    key_count: int = field(name="keys", default=50)
    instance_zones: list[str] = field(name="homes", default_factory=list)
    zone_distances_ms: dict[str, float] = field(name="distance", default_factory=dict)
