"""Conversions between the load results of the gateway, the load history and the state folder.

Also contains the constants that all load guards share.
"""

from __future__ import annotations

from collections.abc import Mapping

from cottonhold.fleet.recovery.local_loads import LoadKnowledge, LoadResult, RecordedLoad, load_identity
from cottonhold.node.client_request import ClientRequest
from cottonhold.node.load_guard import LoadOutcome
from cottonhold.scheduler import retry_policy
from cottonhold.scheduler.settings import Idempotency, Settings
from cottonhold.store.records import LoadRecord, LoadState, decode_loads

EXPIRE_INTERVAL_MS = 1000.0  # interval between removals of loads that can't be queried any more

# Outcomes that prove that an attempt never ran; None: it was never started.
NEVER_RAN = (None, *retry_policy.NEVER_RAN)

STATE_OF_RESULT = {
    LoadResult.SUCCEEDED: LoadState.COMPLETED,
    LoadResult.FAILED: LoadState.FAILED,
    LoadResult.NEVER_RAN: LoadState.NEVER_SENT,
}
RESULT_OF_STATE = {state: result for result, state in STATE_OF_RESULT.items()}
OUTCOME_OF_KNOWLEDGE = {
    LoadKnowledge.NEVER_SENT: LoadOutcome.NEVER_RAN,
    LoadKnowledge.MAY_HAVE_RUN: LoadOutcome.MAY_HAVE_RUN,
    LoadKnowledge.NOT_KNOWN_YET: LoadOutcome.NOT_KNOWN_YET,
}


def guarded_class_indices(settings: Settings) -> frozenset[int]:
    """Return the indexes of the classes whose requests are recorded: loads and non-idempotent requests."""
    classes = enumerate(settings.classes)
    return frozenset(i for i, c in classes if c.is_load or c.idempotency is Idempotency.NOT_IDEMPOTENT)


def recorded_loads(folder: Mapping[bytes, bytes]) -> tuple[list[RecordedLoad], dict[bytes, LoadRecord]]:
    """Decode a folder's loads for the load history and for the load guard, in this order.

    A load whose record can't be decoded has no result for the history: it may have run.
    """
    decoded = decode_loads(folder)
    readable = [
        RecordedLoad(load, RESULT_OF_STATE.get(record.state)) for load, record in decoded.by_identity.items()
    ]
    unreadable = [RecordedLoad(load) for load in decoded.unreadable]
    return readable + unreadable, dict(decoded.by_identity)


def identity_of(request: ClientRequest) -> bytes:
    """Return the identity of a request's load."""
    return load_identity(request.class_name, request.ordering_key or "", request.body)


def outcome_of(knowledge: LoadKnowledge, may_report_success: bool) -> LoadOutcome:
    """Convert the knowledge of a load to the gateway's outcome.

    `may_report_success` states whether its class allows a success to be reported without the result.
    """
    if knowledge is LoadKnowledge.SUCCEEDED:
        return LoadOutcome.SUCCEEDED if may_report_success else LoadOutcome.MAY_HAVE_RUN
    return OUTCOME_OF_KNOWLEDGE[knowledge]
