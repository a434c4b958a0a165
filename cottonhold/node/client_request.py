"""A client's request as the gateway handles it, and its decoding from a statement."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace

from cottonhold.backend.attempt import Attempt
from cottonhold.frontend.query_comment import FieldError, Statement
from cottonhold.frontend.query_service import ResponseSink
from cottonhold.scheduler.settings import Idempotency, Settings


@dataclass(slots=True, frozen=True)
class ClientRequest:
    """A decoded request, with indexes into the settings in force at its arrival."""

    request_id: str
    query_class: int  # index in `Settings.classes`
    class_name: str
    arrived_at: float  # ms of the gateway's clock
    timeout_ms: float
    estimated_work_ms: float
    estimated_memory_mb: float
    table_group: int  # -1 where the statement names no group
    ordering_key: str | None
    is_retry: bool
    body: bytes
    tenant: int = 0  # index in `Settings.tenants`
    idempotency_key: str | None = None
    is_repeatable: bool = True  # whether running it more than once does no harm


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request without a final response, or with an attempt that has not ended yet."""

    client_request: ClientRequest
    deadline: float  # ms of the gateway's clock
    response_sink: ResponseSink | None  # None once the final response has been given
    attempts: int = 0  # number of attempts so far
    priority: int = 1
    attempt: Attempt | None = None  # the attempt in flight
    was_admitted: bool = False  # not rejected in the step in which it arrived
    is_recorded: bool = False  # among the sent requests
    may_have_run: bool = False  # an attempt ended without proof that it never ran

    def release_statement(self) -> None:
        """Drop the statement of a request that has its response: it is never sent again."""
        self.client_request = replace(self.client_request, body=b"")


class RequestDecoder:
    """Converts statements to requests, which refer to query classes and tenants by index."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.class_indexes = {cls.name: index for index, cls in enumerate(settings.classes)}
        self.tenant_indexes = {tenant.name: index for index, tenant in enumerate(settings.tenants)}

    def decode(self, statement: Statement, arrived_at: float) -> ClientRequest:
        """Convert a statement to a request.

        Raises:
            FieldError: The class or the tenant is unknown.
        """
        index = self.class_indexes.get(statement.class_name)
        if index is None:
            raise FieldError(f"field 'service' names no class: '{statement.class_name[:40]}'")
        query_class = self.settings.classes[index]
        return ClientRequest(
            statement.request_id,
            index,
            query_class.name,
            arrived_at,
            statement.timeout_ms,
            statement.estimated_work_ms,
            statement.estimated_memory_mb,
            statement.table_group,
            statement.ordering_key if query_class.is_ordered_by_key else None,
            statement.is_retry,
            statement.body,
            tenant_index(statement.tenant, self.tenant_indexes),
            statement.idempotency_key,
            query_class.idempotency is Idempotency.IDEMPOTENT,
        )


def tenant_index(name: str | None, tenant_indexes: Mapping[str, int]) -> int:
    """Return a tenant's index, or 0 if the client names no tenant or none are configured.

    Raises:
        FieldError: The tenant is unknown.
    """
    if name is None or not tenant_indexes:
        return 0
    if name not in tenant_indexes:
        raise FieldError(f"field 'project' names no tenant: '{name[:40]}'")
    return tenant_indexes[name]
