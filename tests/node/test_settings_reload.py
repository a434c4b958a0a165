"""Changes of the settings while requests are open, and invalid files, which must change nothing."""

from __future__ import annotations

import asyncio
import copy
import dataclasses
from pathlib import Path
from typing import Any

import orjson
import pytest

from cottonhold import Scheduler
from cottonhold.config.relay import ConfigError, load_config
from cottonhold.node.dispatcher import Dispatcher
from cottonhold.observe.counters import Counters
from cottonhold.scheduler import slow_start
from cottonhold.scheduler.events import Outcome, SettingsChanged
from cottonhold.scheduler.settings import Idempotency, QueryClass
from tests.node.test_small_parts import CONFIG, write
from tests.support.scenario import LOAD, PERMITS, READ, SETTINGS, World
from tests.support.scheduler_events import LOOKUP, arrival, ended, engines, sends, settings

SCENARIOS = {
    "a new class is served, and a removed one is a clear error": """
        settings are lookup bulk
        c1 query bulk r1
        any expect GET r1 kind=bulk,*
        c2 query load r2
        c2 expect error 1105 field 'service' names no class: 'load'
    """,
    "an open load stays non-idempotent though its class is removed": """
        c1 query load r1 allow=20000
        e1 expect GET *
        settings are lookup
        e1 close
        c1 expect error 1105 *may have run*
        e2 expect nothing
    """,
    "an open load stays non-idempotent though its class becomes idempotent": """
        c1 query load r1 allow=20000
        e1 expect GET *
        settings are load:safe lookup
        e1 close
        c1 expect error 1105 *may have run*
        c2 query load r2 allow=20000
        any expect GET r2 *
    """,
    "a new load of a class that has become idempotent may be retried": """
        settings are load:safe lookup
        c1 query load r1 allow=20000
        e1 expect GET r1 *
        e1 close
        e2 expect GET r1 *
    """,
    "an open lookup is retried though its class has become non-idempotent": """
        c1 query lookup r1
        e1 expect GET r1 *
        settings are lookup:unsafe
        e1 close
        e2 expect GET r1 kind=lookup,*
    """,
    "a lower limit of attempts holds for new requests only": """
        c1 query lookup r1
        e1 expect GET r1 *
        settings are lookup load attempts=1
        e1 close
        e2 expect GET r1 *
        e2 send r1 served count=1 a|b|c/
        c1 expect rows a|b|c
        c1 query lookup r2
        e2 expect GET r2 *
        e2 close
        c1 expect error 1226 *
    """,
    "an ordering key keeps its order over a reload": """
        c1 query load r1 allow=20000,lookup=k
        e1 expect GET r1 *
        settings are load lookup
        c2 query load r2 allow=20000,lookup=k
        e1 expect nothing
        e1 send r1 served count=1 a|b|c/
        any expect GET r2 *
    """,
    "a request and reloads in one turn apply in order of arrival": """
        c1 query load r1 allow=20000
        settings are lookup
        settings are load lookup
        settings are bulk
        e1 expect GET r1 kind=load,*
        e1 send r1 served count=1 a|b|c/
        c1 expect rows a|b|c
    """,
}


@pytest.mark.parametrize("script", SCENARIOS.values(), ids=SCENARIOS)
def test_classes_change_under_open_requests(script: str) -> None:
    World().run(script)


def test_a_request_in_flight_at_a_reload_is_answered_by_its_deadline() -> None:
    """Deadlines are checked earlier with a longer tick; the reload shortens the tick for an open request."""
    few = dataclasses.replace(PERMITS, can_cancel=False)
    long = dataclasses.replace(SETTINGS, features=few, tick_ms=50.0)
    world = World(long).run("c1 query load r1 allow=2000,effort=20.0\ne1 expect GET r1 *\ntime wait 1425")
    world.gateway.apply_settings(dataclasses.replace(long, tick_ms=5.0))
    world.run("list tell e1 draining\nlist tell e2 draining\ne1 send r1 overload -\nc1 expect nothing")
    world.run("time wait 175\nc1 expect error 1226 *")


def record_answers(scheduler: Scheduler, at: float, class_index: int, work_ms: float) -> None:
    for i in range(30):
        name = f"t{at}-{class_index}-{i}"
        ((_, engine),) = sends(
            scheduler.step(
                at, [arrival(name, deadline_at=at + 5000, estimated_work_ms=100.0, query_class=class_index)]
            )
        )
        at += 50
        scheduler.step(
            at,
            [
                ended(
                    name, Outcome.OK, engine=engine, is_final=True, actual_work_ms=work_ms, elapsed_ms=work_ms
                )
            ],
        )


@pytest.mark.parametrize(
    ("after", "expected"),
    [
        ((READ, LOOKUP), (None, 0)),  # the class moves behind a new one
        ((dataclasses.replace(LOOKUP, name="other"), READ), (None, None)),  # the class has another name
        ((dataclasses.replace(LOOKUP, idempotency=Idempotency.NOT_IDEMPOTENT),), (None,)),
        ((dataclasses.replace(LOOKUP, deadline_ms=LOOKUP.deadline_ms / 2),), (None,)),
    ],
)
def test_a_class_history_is_not_given_to_another_class(
    after: tuple[QueryClass, ...], expected: tuple[int | None, ...]
) -> None:
    setup = settings(classes=(LOOKUP, LOAD))
    scheduler = Scheduler(setup, 1)
    scheduler.step(0.0, [engines("e1", "e2")])
    record_answers(scheduler, 100.0, 0, 400.0)
    before = list(scheduler.class_histories)
    scheduler.step(5000.0, [SettingsChanged(dataclasses.replace(setup, classes=after))])
    indexes = [next((i for i, b in enumerate(before) if b is c), None) for c in scheduler.class_histories]
    assert indexes == list(expected)
    scheduler.step(5050.0, [SettingsChanged(setup)])
    assert scheduler.class_histories[0].answers_seen == (30 if 0 in expected else 0)


def test_an_attempt_of_a_removed_class_may_end() -> None:
    """An attempt of a removed class ends without an error, also while no class in force has a history."""
    setup = settings(classes=(LOOKUP, LOAD))
    scheduler = Scheduler(setup, 1)
    scheduler.step(0.0, [engines("e1")])
    ((name, engine),) = sends(
        scheduler.step(100.0, [arrival("q", deadline_at=5000.0, estimated_work_ms=100.0)])
    )
    scheduler.step(
        150.0,
        [SettingsChanged(dataclasses.replace(setup, classes=(dataclasses.replace(LOOKUP, name="new"),)))],
    )
    scheduler.step(200.0, [ended(name, Outcome.OK, engine=engine, is_final=True, elapsed_ms=100.0)])
    assert (
        not scheduler.queries
        and not scheduler.engines["e1"].in_flight
        and scheduler.class_histories[0].answers_seen == 0
    )


def test_repeated_reloads_leak_nothing() -> None:
    setup = settings(classes=(LOOKUP, LOAD))
    scheduler = Scheduler(setup, 1)
    scheduler.step(0.0, [engines("e1", "e2")])
    for i in range(50):
        classes = tuple(dataclasses.replace(LOOKUP, name=f"c{n}") for n in range(i % 3 + 1))
        changed = SettingsChanged(dataclasses.replace(setup, classes=classes))
        ((name, engine),) = sends(
            scheduler.step(100.0 * i, [changed, arrival(f"q{i}", deadline_at=100.0 * i + 5000)])
        )
        scheduler.step(
            100.0 * i + 50, [ended(name, Outcome.OK, engine=engine, is_final=True, actual_work_ms=50.0)]
        )
    assert (
        len(scheduler.class_histories) == len(scheduler.settings.classes)
        and not scheduler.queries
        and not scheduler.active_engines["e1"].in_flight
    )


def test_a_sibling_process_halves_the_budget_for_a_warming_engine() -> None:
    """Two processes run as one dispatcher, and share its budget for a cold engine."""
    scheduler = Scheduler(settings(), 1)
    scheduler.step(0.0, [engines("e1")])
    alone = slow_start.local_budget_rate(scheduler, scheduler.engines["e1"])
    scheduler.step(10.0, [SettingsChanged(dataclasses.replace(settings(), concurrent_processes=2))])
    assert slow_start.local_budget_rate(scheduler, scheduler.engines["e1"]) == alone / 2


VALID: dict[str, Any] = {**CONFIG, "listen": "127.0.0.1:80"}
INVALID: dict[str, Any] = {
    "empty": b"",
    "cut off": orjson.dumps(VALID)[:-200],
    "not an object": b"[]",
    "no settings": {"settings": None},
    "settings of the wrong type": {"settings": []},
    "no event bus": {"bus": None},
    "bad event bus": {"bus": "nowhere"},
    "no classes": {"settings.classes": []},
    "classes of the wrong type": {"settings.classes": {}},
    "a class that is none": {"settings.classes": ["lookup"]},
    "deadline 0": {"settings.classes.0.hard_limit": 0},
    "deadline below 0": {"settings.classes.0.hard_limit": -5.0},
    "deadline of the wrong type": {"settings.classes.0.hard_limit": "5000"},
    "aim 0": {"settings.classes.0.aim": 0},
    "effect unknown": {"settings.classes.0.effect": "maybe"},
    "no class name": {"settings.classes.0.name": None},
    "no effect": {"settings.classes.0.effect": None},
    "no deadline": {"settings.classes.0.hard_limit": None},
    "attempts 0": {"settings.caps.most_tries": 0},
    "attempts below 0": {"settings.caps.most_tries": -1},
    "attempts of the wrong type": {"settings.caps.most_tries": 2.5},
    "no attempts": {"settings.caps.most_tries": None},
    "no caps": {"settings.caps": None},
    "no rules": {"settings.obligations": None},
    "no threads": {"settings.domain.parallelism": None},
    "threads of the wrong type": {"settings.domain.parallelism": ["1"]},
    "cores of the wrong type": {"settings.domain.size_cores": ["8"]},
    "a class twice": {"settings.classes": [CONFIG["settings"]["classes"][0]] * 2},
    "another place": {"settings.me": 1, "settings.siblings": 2},
    "other machine kinds": {"settings.models": ["b", "a"]},
}


def invalid_content(change: Any) -> bytes:
    if isinstance(change, bytes):
        return change
    source = copy.deepcopy(VALID)
    for path, value in change.items():
        at: Any = source
        keys = path.split(".")
        for key in keys[:-1]:
            at = at[int(key) if key.isdigit() else key]
        if value is None:
            del at[keys[-1]]
        else:
            at[keys[-1]] = value
    return orjson.dumps(source)


class RecordedLog:
    def __init__(self) -> None:
        self.lines: list[str] = []

    def write_line(self, text: str) -> None:
        self.lines.append(text)

    def note(self, event: str, **fields: object) -> None:
        self.lines.append(" ".join([event, *(f"{key}={value}" for key, value in fields.items())]))


@pytest.mark.parametrize("change", INVALID.values(), ids=INVALID)
def test_an_invalid_file_changes_nothing(
    change: Any, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        monkeypatch.setenv("RELAY_CONFIG", write(tmp_path, **VALID)["RELAY_CONFIG"])
        lines, counters = RecordedLog(), Counters()
        config = load_config({"RELAY_CONFIG": str(tmp_path / "config.json")}, counters)
        node = Dispatcher(config, counters, asyncio.get_running_loop(), lines)
        before = (
            node.gateway.settings,
            node.gateway.decoder.class_indexes,
            node.event_stream.host,
            node.engines.settings,
            node.config,
        )
        (tmp_path / "config.json").write_bytes(invalid_content(change))
        node.reload()
        after = (
            node.gateway.settings,
            node.gateway.decoder.class_indexes,
            node.event_stream.host,
            node.engines.settings,
            node.config,
        )
        assert before == after and not node.gateway.events
        (line,) = lines.lines
        assert line.startswith("config_reload_failed problem=") and "\n" not in line
        assert counters.counts == {"reloads_failed": 1}
        (tmp_path / "config.json").write_bytes(orjson.dumps(VALID))
        node.reload()
        assert counters.counts["reloads"] == 1

    asyncio.run(scenario())


@pytest.mark.parametrize(
    ("change", "problem"),
    [
        ({"settings.caps.most_tries": 0}, "field 'settings.caps.most_tries' is not over 0"),
        ({"settings.classes.0.hard_limit": 0}, r"field 'settings.classes\[0\].hard_limit' is not over 0"),
        ({"settings.classes.0.name": None}, r"field 'settings.classes\[0\].name' is missing"),
        ({"settings.domain.parallelism": None}, "field 'settings.domain.parallelism' is missing"),
        ({"settings.domain.parallelism": ["1"]}, r"field 'parallelism\[0\]' has the wrong type: '1'"),
        ({"settings.classes": [CONFIG["settings"]["classes"][0]] * 2}, "class 'lookup' is there twice"),
    ],
)
def test_the_start_names_the_same_problems(tmp_path: Path, change: Any, problem: str) -> None:
    (tmp_path / "config.json").write_bytes(invalid_content(change))
    with pytest.raises(ConfigError, match=problem):
        load_config({"RELAY_CONFIG": str(tmp_path / "config.json")}, Counters())
