"""The clients of a scenario as values: request classes, client behaviour, and the load of a run; does no I/O.

The scenario's JSON and the settings of the clients' process use the names given to `field`.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec
from msgspec import field

MAY_HAVE_RUN = "may have run"  # text of an instance's answer to a load whose end is unknown
MAX_ATTEMPTS = 50  # limit for a client that retries a load until it receives its result
MAX_RETRY_DELAY_MS = 1000.0


class RequestEnd(StrEnum):
    """How an attempt of a client ended; the values are events of the clients' log."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    TIMED_OUT = "nothing"
    BROKEN = "broken"
    UNREACHED = "unreached"


# Ends after which it is unknown whether a load ran, or known that it did not.
WITHOUT_RESULT = (RequestEnd.BROKEN, RequestEnd.TIMED_OUT, RequestEnd.REFUSED, RequestEnd.UNREACHED)


class RequestClass(msgspec.Struct, frozen=True):
    """A class of requests.

    Attributes:
        name: Name of the query class.
        share: Relative share of all requests.
        patience_ms: How long clients wait for the result, including retries, in ms.
        work_ms: Work on an engine with the default traits, in ms.
        is_load: Whether the requests are loads.
    """

    name: str
    share: float
    patience_ms: float = field(name="patience")
    work_ms: float = field(name="effort")
    is_load: bool = field(name="load", default=False)


class ClientBehaviour(msgspec.Struct, frozen=True):
    """How clients behave.

    Attributes:
        max_attempts: Largest number of attempts for requests that are not retried as unfinished loads.
        retry_delay_ms: Delay before a retry if the response advises none, in ms.
        retry_after_share: Share of the clients that obey the retry delay in the response.
        failure_detection_ms: Time until the load balancer stops using a failed instance, in ms.
        retries_unfinished_loads: Clients retry a load until they receive its result or their patience ends.
        retries_failed_loads: They also retry a load after a response that it may have run.
        response_timeout_ms: How long a client that retries unfinished loads waits for one response, in ms; 0
            for the rest of its patience.
    """

    max_attempts: int = field(name="tries", default=1)
    retry_delay_ms: float = field(name="wait", default=200.0)
    retry_after_share: float = field(name="honours", default=1.0)
    failure_detection_ms: float = field(name="notice", default=1000.0)
    retries_unfinished_loads: bool = field(name="asks_again", default=False)
    retries_failed_loads: bool = field(name="asks_failed", default=False)
    response_timeout_ms: float = field(name="hears", default=0.0)

    def retries_after(self, is_load: bool, end: RequestEnd, text: str, attempts: int) -> bool:
        """Return whether a client retries after an attempt.

        Args:
            is_load: Whether the request is a load.
            end: How the attempt ended.
            text: Text of the response.
            attempts: Number of the attempt, from 1.
        """
        if is_load and self.retries_unfinished_loads and attempts < MAX_ATTEMPTS:
            if end in WITHOUT_RESULT:
                return True
            return end is RequestEnd.FAILED and MAY_HAVE_RUN in text and self.retries_failed_loads
        return end in (RequestEnd.REFUSED, RequestEnd.UNREACHED) and attempts < self.max_attempts

    def retry_delay_after_ms(self, attempts: int) -> float:
        """Return the delay before the next attempt if the response advises none, in ms.

        Clients that retry unfinished loads use exponential backoff.
        """
        if not self.retries_unfinished_loads:
            return self.retry_delay_ms
        backoff_ms = min(self.retry_delay_ms * 2.0 ** (attempts - 1), MAX_RETRY_DELAY_MS)
        return max(self.retry_delay_ms, backoff_ms)


class Load(msgspec.Struct, forbid_unknown_fields=True):
    """The load of a run.

    Attributes:
        instance_ports: Client port of each instance.
        requests_per_s: Request rate over all instances.
        duration_s: Duration of the load, in s.
        request_classes: Classes of requests, with their shares.
        instance_weights: Relative share of the clients that each instance receives.
        log_path: Path of the clients' log.
        seed: Seed of all random choices.
        behaviour: How clients retry and detect failures.
        rate_steps: Pairs of a time, in s from the start, and the factor that the rate has from then on.
        key_count: Number of ordering keys that loads use.
        instance_zones: Zone of each instance; empty if clients belong to no zone. A client with a zone reads
            that zone's data sets, and uses instances in other zones only if none in its own is up.
        zone_distances_ms: One-way delay between zones, by pairs such as "a-b".
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
