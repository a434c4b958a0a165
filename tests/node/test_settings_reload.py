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
from cottonhold.config.relay import ConfigError, check_change, load_config
from cottonhold.config.settings import decode_rules
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


KEYED: dict[str, Any] = {
    **CONFIG["settings"]["classes"][0],
    "name": "keyed",
    "effect": "dedup",
    "group": "zone",
    "window": 2000.0,
    "stream": False,
    "by_arrival": True,
    "zones_open": [0],
    "aim_stretch": 2.0,
}
PLACE = f"settings.classes.{len(CONFIG['settings']['classes'])}"  # of the keyed class
VALID: dict[str, Any] = {
    **CONFIG,
    "listen": "127.0.0.1:80",
    "settings": {
        **CONFIG["settings"],
        "classes": [*({**entry, "stream": False} for entry in CONFIG["settings"]["classes"]), KEYED],
        "obligations": {
            **CONFIG["settings"]["obligations"],
            "spare_attempts": 3,
            "repeat_ratio": 0.1,
            "key_quiet": 100.0,
        },
        "tenants": [{"name": "t1", "quota_per_s": 5.0}],
    },
}


def without(entry: dict[str, Any], *keys: str) -> dict[str, Any]:
    return {key: value for key, value in entry.items() if key not in keys}


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
    "a keyed class without a group": {f"{PLACE}.group": None},
    "a keyed class without a window": {f"{PLACE}.window": None},
    "a class without its order": {f"{PLACE}.by_arrival": None},
    "a class without its zones": {f"{PLACE}.zones_open": None},
    "a class without a stretch": {f"{PLACE}.aim_stretch": None},
    "no limit on retries": {"settings.obligations.spare_attempts": None},
    "no share of retries": {"settings.obligations.repeat_ratio": None},
    "no quiet time of keys": {"settings.obligations.key_quiet": None},
    "no tenants": {"settings.tenants": None},
    "a tenant without a quota": {"settings.tenants.0.quota_per_s": None},
    "a new keyed class without a group": {PLACE: {**without(KEYED, "group"), "name": "new"}},
    "a new keyed class without a window": {PLACE: {**without(KEYED, "window"), "name": "new"}},
    "a new class without what all classes have": {PLACE: {**without(KEYED, "stream"), "name": "new"}},
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
        last: Any = int(keys[-1]) if keys[-1].isdigit() else keys[-1]
        if value is None:
            del at[last]
        else:
            at[last] = value
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


VALID_CHANGES: dict[str, Any] = {
    "a class is dropped": {"settings.classes": [KEYED]},
    "a new class lacks optional keys": {
        PLACE: {**without(KEYED, "by_arrival", "zones_open", "aim_stretch"), "name": "new"}
    },
    "a class has another group": {f"{PLACE}.group": "cell"},
    "a tenant is dropped": {"settings.tenants": []},
    "keys are added": {"settings.obligations.look_back": 9000.0, f"{PLACE}.models_open": [0]},
}


@pytest.mark.parametrize("change", VALID_CHANGES.values(), ids=VALID_CHANGES)
def test_a_complete_file_is_taken_over(change: Any, tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("RELAY_CONFIG", write(tmp_path, **VALID)["RELAY_CONFIG"])
    old = load_config({"RELAY_CONFIG": str(tmp_path / "config.json")}, Counters())
    (tmp_path / "config.json").write_bytes(invalid_content(change))
    check_change(old, load_config({"RELAY_CONFIG": str(tmp_path / "config.json")}, Counters()))


@pytest.mark.parametrize(("spare", "expected"), [(None, 0.0), (2, 2)])
def test_a_share_of_retries_limits_them_without_a_number_of_free_ones(spare: Any, expected: float) -> None:
    rules = {**VALID["settings"]["obligations"], "spare_attempts": spare}
    assert decode_rules(rules).retry_budget_free == expected
    assert decode_rules(without(rules, "repeat_ratio", "spare_attempts")).retry_budget_free is None


@pytest.mark.parametrize(
    ("change", "problem"),
    [
        ({f"{PLACE}.group": None}, r"field 'settings.classes\[\d\].group' is missing"),
        ({f"{PLACE}.window": None}, r"field 'settings.classes\[\d\].window' is missing"),
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
