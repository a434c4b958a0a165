"""Runs the check of each row of the conformance tables, and checks the tables themselves."""

from __future__ import annotations

import math
from typing import Any

import pytest

from cottonhold.backend.connection_pool import EngineConnections
from cottonhold.node import lifecycle, peer_datagrams
from cottonhold.node.gateway import Gateway
from cottonhold.scheduler import retry_policy, slow_start
from cottonhold.scheduler.query import Query
from cottonhold.transport import io_context
from tests.conformance import protocol, sockets, wire
from tests.conformance.rows import Row

TABLES: dict[str, tuple[Row, ...]] = {"PROTOCOL": protocol.ROWS + sockets.ROWS, "WIRE": wire.ROWS}
ROWS = {row.id: row for table in TABLES.values() for row in table}


def row_case(row: Row) -> Any:
    """Return a row as a test case.

    A row with `unmet` is marked as a strict expected failure: the test fails as soon as the requirement is
    fulfilled, so that the mark is then removed.
    """
    marks = [pytest.mark.xfail(reason=row.unmet, strict=True, raises=AssertionError)] if row.unmet else []
    return pytest.param(row, id=row.id, marks=marks)


@pytest.mark.parametrize("row", map(row_case, ROWS.values()))
def test_row(row: Row) -> None:
    row.check.run()


def test_tables_are_complete() -> None:
    rows = [row for table in TABLES.values() for row in table]
    assert len(ROWS) == len(rows), "two rows have the same id"
    assert not [r.id for r in rows if not (r.place and r.requirement and r.check.expects())]


DEFECTS: list[tuple[type | object, str, Any, str]] = [
    (
        EngineConnections,
        "_available_endpoint",
        lambda self, engine: self.endpoints.get(engine),
        "pro-bus-told-connect",
    ),
    (
        retry_policy,
        "retry_barrier",
        lambda gateway, query: None,
        "wire-unsafe-reset wire-keyed-window-over wire-budget",
    ),
    (slow_start, "exceeds_budget", lambda gateway, query, engine: False, "wire-cold-budget"),
    (Gateway, "is_wanted", lambda self, attempt: True, "pro-kill-connect pro-kill-connect-kept"),
    (Query, "deduplication_window_end", lambda self: math.inf, "pro-window-connect wire-keyed-window-over"),
    (peer_datagrams, "MAX_BYTES", 300, "pro-peer-most"),
    (io_context, "RESOURCE_ERRORS", frozenset(), "pro-sock-whole"),
    (lifecycle, "KILL_MARGIN_MS", -3000.0, "pro-term-short"),
]


@pytest.mark.parametrize(("owner", "name", "broken", "rows"), DEFECTS, ids=[d[1] for d in DEFECTS])
def test_rows_fail_when_their_guard_is_broken(
    owner: object, name: str, broken: Any, rows: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(owner, name, broken)
    for row in rows.split():
        with pytest.raises(AssertionError):
            ROWS[row].check.run()
