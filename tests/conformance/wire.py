"""WIRE: the rules of its second section, at the module."""

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


def warming_engine_keeps_its_budget() -> None:
    """Asked for far more than it may get, from its start on: no span holds more than the rule allows."""
    scripted, sent = ScriptedScheduler(Scheduler(SITE, 1)), list[float]()
    scripted.play_line(1000.0, "list e1:started_at=990")
    for n in range(200):
        at = 1010.0 + 20 * n
        for word in scripted.play_line(at, f"ask q{n} estimated_work_ms=200"):
            if word.startswith("send"):
                sent.append(at)
                scripted.play_line(at, f"end {word.split()[1]} ok")
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
        "A query that was held to its end gets one final answer by its deadline, and no other",
        SchedulerScript("0 list\n5 ask q allow=500\n520 -> reject q\n900 list e1\n1100 -> nothing"),
    ),
    Row(
        "wire-answer-timeout",
        RULE(1, 2),
        "An attempt that timed out at the deadline is answered in the same step",
        SchedulerScript("0 list e1\n5 ask q allow=400 -> send q\n405 end q timeout -> reject q"),
    ),
    Row(
        "wire-finished-not-sent",
        RULE(1, 3),
        "Nothing is sent for a query that was answered, or whose client has left",
        SchedulerScript(
            "0 list\n5 ask q allow=300; ask r\n300 -> reject q\n310 gone r\n320 list e1 e2 -> nothing\n900 -> nothing"
        ),
    ),
    Row(
        "wire-due-counts",
        RULE(1, 6),
        "The query's own deadline counts, though its class allows longer",
        SchedulerScript("0 list\n5 ask q allow=400\n280 -> nothing\n410 -> reject q"),
    ),
    Row(
        "wire-safe-repeat",
        RULE(2, 1),
        "A query without effects goes out again, whatever became of it before",
        SchedulerScript(
            TWO_ENGINES + "5 ask q -> send q\n20 end q reset -> send q\n40 end q timeout -> send q"
        ),
    ),
    Row(
        "wire-safe-refused",
        RULE(2, 1),
        "and is refused after attempts that may have run",
        SchedulerScript(
            TWO_ENGINES + "5 ask q -> send q\n20 end q reset -> reject q", features={"max_attempts": 1}
        ),
    ),
    *(
        Row(
            f"wire-unsafe-{how}",
            RULE(2, 2),
            f"A query with effects whose attempt ended as {how} fails, and goes nowhere else",
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
            f"A query with effects whose attempt ended as {how} never ran, so it may go out again",
            SchedulerScript(TWO_ENGINES + f"5 ask q -> send q\n20 end q {how} -> send q", (LOAD,)),
        )
        for how in ("full", "connect_failed")
    ),
    Row(
        "wire-unsafe-refused",
        RULE(2, 2),
        "and may be refused when each attempt is proven not to have run",
        SchedulerScript(
            TWO_ENGINES + "5 ask q -> send q\n20 end q full -> reject q",
            (LOAD,),
            features={"max_attempts": 1},
        ),
    ),
    Row(
        "wire-unsafe-any-doubt",
        RULE(2, 2),
        "One attempt in doubt is enough: a later one that never ran does not make it safe",
        SchedulerScript(
            TWO_ENGINES + "5 ask q -> send q\n20 end q full -> send q\n30 end q reset -> fail q", (LOAD,)
        ),
    ),
    Row(
        "wire-keyed-window",
        RULE(2, 3),
        "A keyed query goes out again within its window",
        SchedulerScript(TWO_ENGINES + "5 ask q -> send q\n900 end q reset -> send q", (WITH_KEY,)),
    ),
    Row(
        "wire-keyed-window-over",
        RULE(2, 3),
        "and not past it, counted from the send",
        SchedulerScript(
            TWO_ENGINES + "5 ask q -> send q\n1010 end q reset -> reject q\n1500 -> nothing", (WITH_KEY,)
        ),
    ),
    *(
        Row(
            f"wire-keyed-{name}",
            RULE(2, 3),
            f"A keyed query stays in the {name} whose engines know it, and waits where none is left there",
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
        "A keyed query of a group is not refused after an attempt that may have run: it fails",
        SchedulerScript(
            TWO_ENGINES + "5 ask q -> send q\n20 end q reset -> fail q", (CELL,), features={"max_attempts": 1}
        ),
    ),
    Row(
        "wire-keyed-refusal-all",
        RULE(2, 3),
        "and is refused where all engines know it",
        SchedulerScript(
            TWO_ENGINES + "5 ask q -> send q\n20 end q reset -> reject q",
            (WITH_KEY,),
            features={"max_attempts": 1},
        ),
    ),
    Row(
        "wire-one-attempt",
        RULE(2, 4),
        "A query has one attempt out at a time, however long it takes",
        SchedulerScript(
            TWO_ENGINES + "5 ask q allow=20000 -> send q\n9000 -> nothing", features={"can_cancel": False}
        ),
    ),
    *(
        Row(
            f"wire-drain-{state}",
            RULE(3, 1),
            f"Nothing new goes to an engine that is listed as {state}, from that step on",
            SchedulerScript(f"0 list e1\n5 change e1:state={state}; ask q -> nothing\n300 ask r -> nothing"),
        )
        for state in ("draining", "gone")
    ),
    Row(
        "wire-drain-repeat",
        RULE(3, 1),
        "not even a further attempt of what ran there",
        SchedulerScript("0 list e1\n5 ask q -> send q\n10 change e1:state=draining; end q full -> nothing"),
    ),
    Row(
        "wire-drain-absent",
        "7 Discovery, VIEW, sentence 3",
        "An engine that a whole list leaves out is gone",
        SchedulerScript(TWO_ENGINES + "5 list e2; ask a; ask b; ask c -> send a e2, send b e2, send c e2"),
    ),
    Row(
        "wire-cold-budget",
        RULE(4, 5),
        "A just started engine is sent less than its multiple of its least capacity times the span",
        Assertion(warming_engine_keeps_its_budget),
    ),
    Row(
        "wire-order-one",
        RULE(5, 1),
        "Of one key one query runs, in the order in which they came; other keys and none go on",
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
        "A query of a key waits also for the attempt of one whose client has left",
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
            f"After {how} its key is quiet for the set time before the next one goes out",
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
        "Classes in order share their keys",
        SchedulerScript(
            TWO_ENGINES
            + "5 ask a kind=0 ordering_key=k; ask b kind=1 ordering_key=k -> send a\n50 end a ok -> send b",
            (ORDERED, replace(ORDERED, name="other")),
        ),
    ),
    Row(
        "wire-order-own",
        RULE(5, 6),
        "A query's own next attempt does not wait for its key's quiet time",
        SchedulerScript(
            TWO_ENGINES + "5 ask a ordering_key=k -> send a\n50 end a reset -> send a",
            (replace(ORDERED, idempotency=Idempotency.IDEMPOTENT),),
            rules=KEY_QUIET,
        ),
    ),
    Row(
        "wire-where-zone",
        RULE(6, 1),
        "A class that names zones goes nowhere else, nor on a further attempt",
        SchedulerScript(
            "0 list e1:zone=0 e2:zone=1\n5 ask q -> send q e2\n10 change e2:zone=1,state=gone\n"
            "20 end q connect_failed -> nothing\n600 -> nothing",
            (replace(LOOKUP, zones=(1,)),),
        ),
    ),
    Row(
        "wire-where-model",
        RULE(6, 2),
        "One that names kinds only may be in any zone",
        SchedulerScript(
            "0 list e1:machine_type=0 e2:machine_type=1,zone=3\n5 ask q; ask r -> send q e2, send r e2",
            (replace(LOOKUP, machine_types=(1,)),),
            site={"machine_types": (MachineType(8, 16000.0), MachineType(8, 16000.0))},
        ),
    ),
    Row(
        "wire-budget",
        RULE(7, 2),
        "Further attempts within the span stay under the free ones and the part of what was taken",
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
        "No more attempts than the site allows",
        SchedulerScript(
            TWO_ENGINES + "5 ask q -> send q\n20 end q full -> send q\n30 end q full -> reject q",
            features={"max_attempts": 2},
        ),
    ),
    Row(
        "wire-no-cancel",
        "17 Protocol errors, sentence 1",
        "Nothing is cancelled where the settings do not allow it",
        SchedulerScript(
            TWO_ENGINES + "5 ask q allow=20000 -> send q\n4000 -> nothing", features={"can_cancel": False}
        ),
    ),
    Row(
        "wire-list-asked",
        "7 Discovery, TAIL",
        "Where the list has to be asked for it is asked for at once, and again after a failure",
        SchedulerScript(
            "0 list e1 -> subscribe\n10 fails -> nothing\n900 -> subscribe",
            features={"polls_engine_list": True},
        ),
    ),
    Row(
        "wire-lapsed",
        "8 Traffic, LAPSED",
        "Word of a query that is not known, or is over, is passed over",
        SchedulerScript(TWO_ENGINES + "5 ask q -> send q\n10 end q ok\n20 gone q; gone never -> nothing"),
    ),
)
