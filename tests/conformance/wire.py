"""Conformance rows of the WIRE page (section 2, obligations), checked at Scheduler.step."""

# ruff: noqa: E501

from __future__ import annotations

from dataclasses import replace

from cottonhold.scheduler.scheduler import Scheduler
from cottonhold.scheduler.settings import DeduplicationScope, Idempotency, MachineType
from tests.conformance.rows import LOOKUP, SITE, Assertion, Row, SchedulerScript, ScriptedScheduler

LOAD = replace(LOOKUP, name="load", idempotency=Idempotency.NOT_IDEMPOTENT)
WITH_KEY = replace(
    LOOKUP, name="keyed", idempotency=Idempotency.IDEMPOTENT_WITH_KEY, deduplication_window_ms=1000.0
)
IN_ZONE = replace(WITH_KEY, deduplication_scope=DeduplicationScope.ZONE, deduplication_window_ms=4000.0)
CELL = replace(WITH_KEY, deduplication_scope=DeduplicationScope.CELL, deduplication_window_ms=4000.0)
ORDERED = replace(LOAD, is_ordered_by_key=True)
TWO_ENGINES = "0 list e1 e2\n"
KEY_QUIET = {"key_quiet_ms": 300.0}
RETRY_BUDGET = {"retry_budget_free": 1, "retry_budget_share": 0.1, "retry_budget_window_ms": 1000.0}
TEN_QUERIES = "; ".join(f"ask q{i}" for i in range(10))
TEN_SENT = ", ".join(f"send q{i}" for i in range(10))
ALL_FAIL = "; ".join(f"end q{i} error" for i in range(10))


def cold_engine_stays_within_its_budget() -> None:
    """Offer a newly started engine far more work than it may receive; no window may exceed its budget."""
    scripted, sent = ScriptedScheduler(Scheduler(SITE, 1)), list[float]()
    scripted.run_line(1000.0, "list e1:started_at=990")
    for n in range(200):
        at = 1010.0 + 20 * n
        for action in scripted.run_line(at, f"ask q{n} estimated_work_ms=200"):
            if action.startswith("send"):
                sent.append(at)
                scripted.run_line(at, f"end {action.split()[1]} ok")
    rules = SITE.rules
    max_work_ms = rules.cold_capacity_share * 8 * rules.overload_factor * rules.overload_window_ms
    assert (
        sent
        and max(200 * sum(a <= t < a + rules.overload_window_ms for t in sent) for a in sent) < max_work_ms
    )


RULE = "2 Obligations, rule {}, sentence {}".format
ROWS = (
    Row(
        "wire-answer-held",
        RULE(1, 1),
        "A query that stays queued receives exactly one final answer by its deadline",
        SchedulerScript("0 list\n5 ask q allow=500\n520 -> reject q\n900 list e1\n1100 -> nothing"),
    ),
    Row(
        "wire-answer-timeout",
        RULE(1, 2),
        "A query whose attempt times out at its deadline is rejected in the same step",
        SchedulerScript("0 list e1\n5 ask q allow=400 -> send q\n405 end q timeout -> reject q"),
    ),
    Row(
        "wire-finished-not-sent",
        RULE(1, 3),
        "No attempt is sent for a query that was already answered or whose client has disconnected",
        SchedulerScript(
            "0 list\n5 ask q allow=300; ask r\n300 -> reject q\n310 gone r\n320 list e1 e2 -> nothing\n900 -> nothing"
        ),
    ),
    Row(
        "wire-due-counts",
        RULE(1, 6),
        "A query is answered by its own deadline, even where its class allows a longer one",
        SchedulerScript("0 list\n5 ask q allow=400\n280 -> nothing\n410 -> reject q"),
    ),
    Row(
        "wire-safe-repeat",
        RULE(2, 1),
        "An idempotent query is retried after any attempt outcome that is not a success",
        SchedulerScript(
            TWO_ENGINES + "5 ask q -> send q\n20 end q reset -> send q\n40 end q timeout -> send q"
        ),
    ),
    Row(
        "wire-safe-refused",
        RULE(2, 1),
        "An idempotent query may be rejected after attempts that may have run",
        SchedulerScript(
            TWO_ENGINES + "5 ask q -> send q\n20 end q reset -> reject q", features={"max_attempts": 1}
        ),
    ),
    *(
        Row(
            f"wire-unsafe-{how}",
            RULE(2, 2),
            f"A non-idempotent query whose attempt ends with the outcome {how} fails and is not retried",
            SchedulerScript(
                TWO_ENGINES + f"5 ask q -> send q\n20 end q {how} -> fail q\n900 -> nothing", (LOAD,)
            ),
        )
        for how in ("error", "timeout", "reset", "cancelled")
    ),
    *(
        Row(
            f"wire-unsafe-{how}",
            RULE(2, 2),
            f"A non-idempotent query whose attempt ends with the outcome {how} never ran, so it may be retried",
            SchedulerScript(TWO_ENGINES + f"5 ask q -> send q\n20 end q {how} -> send q", (LOAD,)),
        )
        for how in ("full", "connect_failed")
    ),
    Row(
        "wire-unsafe-refused",
        RULE(2, 2),
        "A non-idempotent query may be rejected when every attempt is proven not to have run",
        SchedulerScript(
            TWO_ENGINES + "5 ask q -> send q\n20 end q full -> reject q",
            (LOAD,),
            features={"max_attempts": 1},
        ),
    ),
    Row(
        "wire-unsafe-any-doubt",
        RULE(2, 2),
        "A non-idempotent query fails once any attempt may have run, whichever other attempts never ran",
        SchedulerScript(
            TWO_ENGINES + "5 ask q -> send q\n20 end q full -> send q\n30 end q reset -> fail q", (LOAD,)
        ),
    ),
    Row(
        "wire-keyed-window",
        RULE(2, 3),
        "A query with an idempotency key is retried within its deduplication window",
        SchedulerScript(TWO_ENGINES + "5 ask q -> send q\n900 end q reset -> send q", (WITH_KEY,)),
    ),
    Row(
        "wire-keyed-window-over",
        RULE(2, 3),
        "A query with an idempotency key is not retried after its deduplication window, which starts at the first send",
        SchedulerScript(
            TWO_ENGINES + "5 ask q -> send q\n1010 end q reset -> reject q\n1500 -> nothing", (WITH_KEY,)
        ),
    ),
    *(
        Row(
            f"wire-keyed-{name}",
            RULE(2, 3),
            f"A query with an idempotency key is retried only in the {name} that deduplicates it, and waits while that {name} has no engine",
            SchedulerScript(
                f"0 list e1:{name}=1\n5 ask q -> send q e1\n10 change e2:{name}=2 e1:{name}=1,state=gone"
                f"\n20 end q reset -> nothing\n40 change e3:{name}=1\n200 -> send q e3",
                (cls,),
            ),
        )
        for name, cls in (("zone", IN_ZONE), ("cell", CELL))
    ),
    Row(
        "wire-keyed-refusal",
        RULE(2, 3),
        "A query that only some engines deduplicate fails, instead of being rejected, after an attempt that may have run",
        SchedulerScript(
            TWO_ENGINES + "5 ask q -> send q\n20 end q reset -> fail q", (CELL,), features={"max_attempts": 1}
        ),
    ),
    Row(
        "wire-keyed-refusal-all",
        RULE(2, 3),
        "A query that all engines deduplicate is rejected after an attempt that may have run",
        SchedulerScript(
            TWO_ENGINES + "5 ask q -> send q\n20 end q reset -> reject q",
            (WITH_KEY,),
            features={"max_attempts": 1},
        ),
    ),
    Row(
        "wire-one-attempt",
        RULE(2, 4),
        "A query has at most one attempt in flight, however long that attempt takes",
        SchedulerScript(
            TWO_ENGINES + "5 ask q allow=20000 -> send q\n9000 -> nothing", features={"can_cancel": False}
        ),
    ),
    *(
        Row(
            f"wire-drain-{state}",
            RULE(3, 1),
            f"No new attempt is sent to an engine from the step in which it is listed as {state}",
            SchedulerScript(f"0 list e1\n5 change e1:state={state}; ask q -> nothing\n300 ask r -> nothing"),
        )
        for state in ("draining", "gone")
    ),
    Row(
        "wire-drain-repeat",
        RULE(3, 1),
        "A query whose attempt ran on a draining engine is not retried on that engine",
        SchedulerScript("0 list e1\n5 ask q -> send q\n10 change e1:state=draining; end q full -> nothing"),
    ),
    Row(
        "wire-drain-absent",
        "7 Discovery, VIEW, sentence 3",
        "An engine that a complete list leaves out is removed",
        SchedulerScript(TWO_ENGINES + "5 list e2; ask a; ask b; ask c -> send a e2, send b e2, send c e2"),
    ),
    Row(
        "wire-cold-budget",
        RULE(4, 5),
        "A newly started engine receives less work per window than the overload factor times its cold capacity",
        Assertion(cold_engine_stays_within_its_budget),
    ),
    Row(
        "wire-order-one",
        RULE(5, 1),
        "Queries of one ordering key run one at a time in order of arrival; other queries are not delayed",
        SchedulerScript(
            TWO_ENGINES
            + "5 ask a ordering_key=k; ask b ordering_key=k; ask c ordering_key=j; ask d -> send a, send c, send d\n"
            "50 end a ok -> send b",
            (ORDERED,),
        ),
    ),
    Row(
        "wire-order-engines-gone",
        RULE(5, 1),
        "A query waits for an earlier attempt with the same ordering key, even if that attempt's client has disconnected",
        SchedulerScript(
            TWO_ENGINES
            + "5 ask a ordering_key=k; ask b ordering_key=k -> send a\n20 gone a\n200 -> nothing\n210 end a ok -> send b",
            (ORDERED,),
            features={"can_cancel": False},
        ),
    ),
    *(
        Row(
            f"wire-order-quiet-{how}",
            RULE(5, 2),
            f"After an attempt ends with the outcome {how}, the next query of its ordering key waits for the configured quiet time",
            SchedulerScript(
                TWO_ENGINES
                + f"5 ask a ordering_key=k; ask b ordering_key=k -> send a\n100 end a {how} -> fail a\n"
                "390 -> nothing\n510 -> send b",
                (ORDERED,),
                rules=KEY_QUIET,
            ),
        )
        for how in ("timeout", "reset", "cancelled")
    ),
    Row(
        "wire-order-space",
        RULE(5, 3),
        "Classes that are ordered by key share one key space",
        SchedulerScript(
            TWO_ENGINES
            + "5 ask a kind=0 ordering_key=k; ask b kind=1 ordering_key=k -> send a\n50 end a ok -> send b",
            (ORDERED, replace(ORDERED, name="other")),
        ),
    ),
    Row(
        "wire-order-own",
        RULE(5, 6),
        "A retry of a query does not wait for the quiet time that its own attempt started",
        SchedulerScript(
            TWO_ENGINES + "5 ask a ordering_key=k -> send a\n50 end a reset -> send a",
            (replace(ORDERED, idempotency=Idempotency.IDEMPOTENT),),
            rules=KEY_QUIET,
        ),
    ),
    Row(
        "wire-where-zone",
        RULE(6, 1),
        "Queries of a class that names zones, and their retries, are sent only to engines in these zones",
        SchedulerScript(
            "0 list e1:zone=0 e2:zone=1\n5 ask q -> send q e2\n10 change e2:zone=1,state=gone\n"
            "20 end q connect_failed -> nothing\n600 -> nothing",
            (replace(LOOKUP, zones=(1,)),),
        ),
    ),
    Row(
        "wire-where-model",
        RULE(6, 2),
        "Queries of a class that names only machine types may be sent to any zone",
        SchedulerScript(
            "0 list e1:machine_type=0 e2:machine_type=1,zone=3\n5 ask q; ask r -> send q e2, send r e2",
            (replace(LOOKUP, machine_types=(1,)),),
            site={"machine_types": (MachineType(8, 16000.0), MachineType(8, 16000.0))},
        ),
    ),
    Row(
        "wire-budget",
        RULE(7, 2),
        "Retries within the window do not exceed the free retries plus the configured share of accepted queries",
        SchedulerScript(
            "0 list e1 e2 e3\n5 "
            + TEN_QUERIES
            + f" -> {TEN_SENT}\n20 "
            + ALL_FAIL
            + " -> send q0, send q1, "
            + ", ".join(f"reject q{i}" for i in range(2, 10)),
            rules=RETRY_BUDGET,
        ),
    ),
    Row(
        "wire-most-tries",
        "15 Parameters, caps.most_tries",
        "A query has no more attempts than the settings allow",
        SchedulerScript(
            TWO_ENGINES + "5 ask q -> send q\n20 end q full -> send q\n30 end q full -> reject q",
            features={"max_attempts": 2},
        ),
    ),
    Row(
        "wire-no-cancel",
        "17 Protocol errors, sentence 1",
        "No attempt is cancelled where the settings do not allow cancels",
        SchedulerScript(
            TWO_ENGINES + "5 ask q allow=20000 -> send q\n4000 -> nothing", features={"can_cancel": False}
        ),
    ),
    Row(
        "wire-list-asked",
        "7 Discovery, TAIL",
        "Where the engine list has to be polled, it is polled in the first step and again after a failure",
        SchedulerScript(
            "0 list e1 -> subscribe\n10 fails -> nothing\n900 -> subscribe",
            features={"polls_engine_list": True},
        ),
    ),
    Row(
        "wire-lapsed",
        "8 Traffic, LAPSED",
        "Events of a query that is unknown or has ended are ignored",
        SchedulerScript(TWO_ENGINES + "5 ask q -> send q\n10 end q ok\n20 gone q; gone never -> nothing"),
    ),
)
