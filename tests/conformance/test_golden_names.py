"""Compares the names that operators and other programs use with the recorded ones, such as counters."""

from __future__ import annotations

import ast
import json
import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
import typer
from typer.core import TyperGroup
from typer.testing import CliRunner

import cottonhold
from cottonhold.cli.main import app
from cottonhold.config import relay, schema
from cottonhold.discovery.consul.health_entry import Entry
from cottonhold.emulator.fault_injection import script
from cottonhold.fleet.recovery.survey_results import OutageVerdict
from cottonhold.fleet.request_forwarding.interface import RESULT_NAMES
from cottonhold.fleet.request_forwarding.messages import ForwardResult
from cottonhold.fleet.rolling_replacement.plan import ReplacementStep
from cottonhold.fleet.zone_failover.zone_state import ZonePhase
from cottonhold.fleet_adapters import membership as membership_adapter
from cottonhold.membership.codec import MemberStatus
from cottonhold.node.lifecycle import Phase
from cottonhold.node.load_guard import LoadOutcome
from cottonhold.observe.counters import Counters
from cottonhold.observe.metrics import Metrics, MetricsSnapshot, count_by_label, enum_labels
from cottonhold.scheduler.events import EngineState, Outcome
from cottonhold.store.health import DiskState
from tests.conformance.golden import RECORD
from tests.test_simulator_adapter import PARAMS

PACKAGE = Path(cottonhold.__file__).parent
NOT_SERVED = ("emulator", "cli")  # packages that a running dispatcher does not use


def sources() -> Iterator[ast.Module]:
    """Yield the syntax trees of all modules of a running dispatcher."""
    for path in sorted(PACKAGE.rglob("*.py")):
        if path.relative_to(PACKAGE).parts[0] not in NOT_SERVED:
            yield ast.parse(path.read_text(encoding="utf-8"))


def texts(node: ast.expr) -> list[str]:
    """Return the possible values of a string expression; `{}` stands for each formatted value."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return [node.value]
    if isinstance(node, ast.IfExp):
        return texts(node.body) + texts(node.orelse)
    if isinstance(node, ast.JoinedStr):
        parts = [str(p.value) if isinstance(p, ast.Constant) else "{}" for p in node.values]
        return ["".join(parts)]
    return []


def counted(tree: ast.Module) -> set[str]:
    """Return the names of the counters that a module increments by `counters.add(NAME)`."""
    found = list[str]()
    for node in ast.walk(tree):
        if not (
            isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.func.attr == "add"
        ):
            continue
        if ast.unparse(node.func.value).rpartition(".")[2] == "counters" and node.args:
            found += texts(node.args[0])
    return set(found)


def written(tree: ast.Module) -> set[str]:
    """Return all strings of a module."""
    return {text for node in ast.walk(tree) if isinstance(node, ast.expr) for text in texts(node)}


def test_counters_are_those_recorded() -> None:
    """Each counter in the code is recorded, and each recorded counter still exists in the code.

    The same holds for the words that counters' names are made of and for the counts of the local socket.
    """
    every, found = set[str](), set[str]()
    for tree in sources():
        found |= counted(tree)
        every |= written(tree)
    recorded = set(RECORD["counters"])
    assert sorted(found - recorded) == []
    assert sorted(recorded - every) == []
    assert sorted(set(RECORD["counter words"]) - every) == []
    assert sorted(set(RECORD["socket counts"]) - every) == []


def word_lists() -> dict[str, list[str]]:
    """Return the words used in counters' names, metrics' labels, the local socket and the log."""
    enums: dict[str, list[str]] = {
        "attempts, probes": [o.value for o in Outcome],
        "loads": [p.value for p in LoadOutcome],
        "disk": [s.value for s in DiskState],
        "census": [v.value for v in OutageVerdict],
        "members": [s.name.lower() for s in MemberStatus],
        "zones": [p.value for p in ZonePhase],
        "engines": [s.value for s in EngineState],
        "swap": [s.name.lower() for s in ReplacementStep],
        "life cycle": [p.value for p in Phase],
        "handed on": [RESULT_NAMES[result] for result in ForwardResult],
        "duties": [
            membership_adapter.HEALTH_CHECKS,
            membership_adapter.FLEET_REPORT,
            membership_adapter.FLEET_SUBJECT,
        ],
    }
    return {name: sorted(words) for name, words in enums.items()}


def test_words_in_names_are_those_recorded() -> None:
    assert word_lists() == RECORD["words"]


def metrics_text() -> str:
    """Return the metrics' exposition with one sample of each series."""
    readings = MetricsSnapshot(
        {"attempts_ok": 3, "members_alive": 2},
        4,
        count_by_label([state.value for state in EngineState], ["live"]),
        count_by_label(enum_labels(MemberStatus), ["alive"]),
        count_by_label(enum_labels(OutageVerdict), [next(iter(OutageVerdict)).value]),
        count_by_label(enum_labels(ReplacementStep), ["out"]),
    )
    return Metrics(lambda: readings).text()


def test_metrics_are_those_recorded() -> None:
    assert metrics_text() == RECORD["metrics"]


def test_the_counters_line_is_the_one_recorded() -> None:
    counters = Counters()
    counters.add("b", 2)
    counters.add("a")
    assert counters.format_line() == "counters a=1 b=2"


def commands(command: Any, path: tuple[str, ...] = ()) -> Iterator[tuple[str, ...]]:
    """Yield the paths of a command and all its subcommands."""
    yield path
    if isinstance(command, TyperGroup):
        for name, below in command.commands.items():
            yield from commands(below, (*path, name))


def help_of(path: tuple[str, ...]) -> str:
    """Return what `--help` of a command prints on a plain terminal of 100 columns."""
    plain = {"COLUMNS": "100", "TERM": "dumb", "NO_COLOR": "1", "TERMINAL_WIDTH": "100"}
    output = CliRunner().invoke(app, [*path, "--help"], env=plain, prog_name="cottonhold")
    assert output.exit_code == 0
    return "\n".join(line.rstrip() for line in output.output.splitlines())


COMMANDS = list(commands(typer.main.get_command(app)))


@pytest.mark.parametrize("path", COMMANDS, ids=lambda path: " ".join(path) or "cottonhold")
def test_help_of(path: tuple[str, ...]) -> None:
    assert help_of(path).splitlines() == RECORD["help"][" ".join(path)]


def test_no_recorded_command_is_gone() -> None:
    assert set(RECORD["help"]) == {" ".join(path) for path in COMMANDS}


def platform_help() -> list[str]:
    """Return the usage and arguments of the platform's own command line."""
    program = [sys.executable, "-m", "cottonhold", "--help"]
    plain = {**os.environ, "COLUMNS": "100", "NO_COLOR": "1"}
    output = subprocess.run(program, capture_output=True, text=True, check=True, env=plain).stdout
    return [output.splitlines()[0], *output[output.index("positional arguments:") :].splitlines()]


def test_help_of_the_platforms_program() -> None:
    assert platform_help() == RECORD["platform help"]


def resolved(part: Any, parts: dict[str, Any], above: tuple[str, ...] = ()) -> Any:
    """Return a JSON schema with references resolved, and without titles and descriptions of types."""
    if isinstance(part, list):
        return [resolved(inner, parts, above) for inner in part]
    if not isinstance(part, dict):
        return part
    if "$ref" in part:
        name = str(part["$ref"]).rpartition("/")[2]
        return "as above" if name in above else resolved(parts[name], parts, (*above, name))
    kept = {k: v for k, v in part.items() if k not in ("title", "description", "properties", "discriminator")}
    result = {k: resolved(v, parts, above) for k, v in kept.items()}
    if "properties" in part:
        result["properties"] = {k: resolved(v, parts, above) for k, v in part["properties"].items()}
    return result


def schema_of(kind: type) -> Any:
    """Return the resolved JSON schema of a type."""
    document = json.loads(msgspec.json.encode(msgspec.json.schema(kind)))
    return resolved({"$ref": document["$ref"]}, document["$defs"])


def test_keys_of_the_configuration() -> None:
    assert schema_of(schema.ConfigFile) == RECORD["configuration"]


def test_keys_of_a_script_of_faults() -> None:
    assert schema_of(script.Scenario) == RECORD["script"]


class Watched(dict[str, Any]):
    """A JSON object that records which of its keys are read."""

    def __init__(self, value: dict[str, Any], path: str, seen: set[str]) -> None:
        super().__init__({k: watched(v, f"{path}.{k}", seen) for k, v in value.items()})
        self.path, self.seen = path, seen

    def get(self, key: str, default: Any = None) -> Any:
        self.seen.add(f"{self.path}.{key}".lstrip("."))
        return super().get(key, default)

    def __getitem__(self, key: str) -> Any:
        self.seen.add(f"{self.path}.{key}".lstrip("."))
        return super().__getitem__(key)


def watched(value: Any, path: str, seen: set[str]) -> Any:
    """Return a copy of a value in which all objects record which of their keys are read."""
    if isinstance(value, dict):
        return Watched(value, path, seen)
    if isinstance(value, list):
        return [watched(inner, f"{path}[]", seen) for inner in value]
    return value


def relay_keys() -> list[str]:
    """Return the keys that are read from the platform's configuration and its engine list."""
    entry = {"instanceId": "e1", "lifecycle": "Ready", "hostPort": "10.0.0.1:1"}
    event = {"offset": 1, "topology": {"reset": True, "instances": [entry]}}
    tenants = [{"name": "t", "quota_per_s": 1.0}]
    source = {
        "listen": "127.0.0.1:1",
        "bus": "127.0.0.1:2",
        "known": {"offset": 1, "batch": [event]},
        "limits": {"sockets": 512},
        "settings": {**PARAMS, "tenants": tenants},
    }
    seen = set[str]()
    relay.decode_config(Watched(source, "", seen), {}, Counters())
    return sorted(key for key in seen if not key.startswith((".", "[")))


def test_keys_of_the_platforms_configuration() -> None:
    assert relay_keys() == RECORD["relay"]


def test_environment_of_the_platforms_program() -> None:
    """Environment variables may set the name and the addresses."""
    source = {"listen": None, "bus": "127.0.0.1:2", "known": {"offset": 0, "batch": []}, "settings": PARAMS}
    environment = {"RELAY_LISTEN": "127.0.0.1:9", "RELAY_NAME": "n9", "RELAY_OPS": "127.0.0.1:8"}
    read = relay.decode_config(source, environment, Counters())
    assert (read.name, str(read.listen), str(read.admin_listen)) == ("n9", "127.0.0.1:9", "127.0.0.1:8")
    with pytest.raises(relay.ConfigError, match="RELAY_CONFIG"):
        relay.load_config({}, Counters())


def test_keys_of_consuls_answers() -> None:
    assert schema_of(Entry) == RECORD["consul entry"]
