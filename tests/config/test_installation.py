"""Tests of configuration files: settings, problems with their lines, imports and hidden secrets."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner

from cottonhold.cli.main import app
from cottonhold.config.installation import UnusableConfigError, read_installation
from cottonhold.config.source_lines import find_field_lines
from cottonhold.discovery.model import Address, ServiceStatus

VALID_CONFIG = """
local base = { aim_ms: 1000, deadline_ms: 5000 };
{
  name: 'n1',
  listen: '127.0.0.1:3306',
  seed: 7,
  zones: ['z1', 'z2'],
  machine_types: [{ name: 'std', cores: 8, memory_mb: 100 }],
  classes: [
    base { name: 'lookup', effect: 'safe' },
    base { name: 'load', loads: true, in_order: true },
  ],
  sources: [
    { kind: 'consul', name: 'dc1', addresses: ['127.0.0.1:1', '[::1]:8500'], service: 'engine', zone: 'z1' },
  ],
}
"""


def write_config(folder: Path, text: str, name: str = "c.jsonnet") -> Path:
    path = folder / name
    path.write_text(text)
    return path


def read_problems(path: Path) -> list[str]:
    with pytest.raises(UnusableConfigError) as caught:
        read_installation(path)
    return [str(p).replace(str(path), "F") for p in caught.value.problems]


def test_a_valid_file_becomes_the_settings_of_all_components(tmp_path: Path) -> None:
    got = read_installation(write_config(tmp_path, VALID_CONFIG))
    assert got.config.listen == Address("127.0.0.1", 3306) and got.config.seed == 7
    assert [c.name for c in got.config.settings.classes] == ["lookup", "load"]
    assert got.consul_sources[0].watch_settings.addresses[1] == Address("::1", 8500)
    assert got.sources[0][0] == "dc1" and not got.sources[0][1].is_trusted
    assert (
        got.consul_sources[0].interpretation.zone == "z1"
        and got.consul_sources[0].interpretation.status_if_warning is ServiceStatus.IN_SERVICE
    )


# Text in the valid file, its replacement, and the beginnings of the expected problems.
INVALID_CHANGES: list[tuple[str, str, list[str]]] = [
    (
        "seed: 7",
        "seed: 7, dispatchers: 13, fleet: { pins: true }",
        [
            "F:6: fleet: needs membership",
            "F:6: fleet.pins: needs state_dir",
            "F:6: fleet.pins: needs membership.voters",
            "F:6: fleet.pins: has room for 12 dispatchers, not 13",
        ],
    ),
    ("name: 'n1'", "name: ''", ["F:4: name: Expected a text matching regex"]),
    ("name: 'n1',", "", ["F: name: is missing"]),
    ("listen: '127.0.0.1:3306'", "listen: '127.0.0.1'", ["F:5: listen: Expected a text matching regex"]),
    ("listen: '127.0.0.1:3306'", "listen: '127.0.0.1:0'", ["F:5: listen: '127.0.0.1:0' names no port"]),
    ("seed: 7", "seed: 'x'", ["F:6: seed: Expected 'int"]),
    ("seed: 7", "sead: 7", ["F:6: sead: unknown field; is it 'seed'?"]),
    ("zones: ['z1', 'z2']", "zones: ['z1', 'z1']", ["F:7: zones[1]: 'z1' is there already, as zones[0]"]),
    ("zones: ['z1', 'z2']", "zones: ['z2']", ["F:14: sources[0].zone: 'z1' isn't in zones"]),
    ("cores: 8", "cores: -1", ["F:8: machine_types[0].cores: Expected 'int' >= 0"]),
    (
        "effect: 'safe'",
        "effect: 'maybe'",
        ["F:10: classes[0].effect: must be one of 'safe', 'keyed', 'unsafe'"],
    ),
    ("effect: 'safe'", "effect: 'keyed'", ["F:10: classes[0].window_ms: is missing: a keyed class repeats"]),
    (
        "effect: 'safe'",
        "window_ms: 5",
        ["F:10: classes[0].window_ms: has no meaning where effect is 'unsafe'"],
    ),
    ("loads: true", "loads: true, effect: 'safe'", ["F:11: classes[1].effect: a load must not be 'safe'"]),
    ("name: 'load'", "name: 'lookup'", ["F:11: classes[1]: 'lookup' is there already"]),
    ("effect: 'safe'", "zones: ['z9']", ["F:10: classes[0].zones: 'z9' isn't in zones"]),
    (
        "effect: 'safe'",
        "machine_types: ['x']",
        ["F:10: classes[0].machine_types: 'x' isn't in machine_types"],
    ),
    ("effect: 'safe'", "deadline_ms: 10", ["F:10: classes[0].deadline_ms: 10 is shorter than aim_ms"]),
    ("loads: true", "loads: true, again: 'served'", ["F:11: classes[1].again: needs state_dir"]),
    ("seed: 7", "dispatchers: 2, state_dir: 's'", ["F:6: state_dir: needs membership: the others have"]),
    (
        "seed: 7",
        "peers: { listen: '127.0.0.1:1', all: ['127.0.0.1:1'], zones: ['z1', 'z3'] }",
        ["F:6: peers.zones: names 2 zones for 1", "F:6: peers.zones[1]: 'z3' isn't in zones"],
    ),
    ("kind: 'consul'", "kind: 'etcd'", ["F:14: sources[0].kind: must be one of 'bus', 'consul', is 'etcd'"]),
    ("kind: 'consul',", "", ["F:14: sources[0].kind: must be one of 'bus', 'consul', is missing"]),
    ("service: 'engine'", "service: ''", ["F:14: sources[0].service: Expected a text of length >= 1"]),
    ("service: 'engine'", "service: 'e', token: 'a b'", ["F:14: sources[0].token: holds a blank"]),
    (
        "service: 'engine'",
        "service: 'e', token_file: 'none'",
        ["F:14: sources[0].token_file: can't be read: No"],
    ),
    (
        "service: 'engine'",
        "service: 'e', token: 'a', token_file: 'good.token'",
        ["F:14: sources[0].token_file: is given beside token"],
    ),
    (
        "service: 'engine'",
        "service: 'e', wait_ms: 1e9",
        ["F:14: sources[0].wait_ms: Expected 'float' <= 600000"],
    ),
    (
        "service: 'engine'",
        "service: 'e', guard: { floor: 1 }",
        ["F:14: sources[0].guard.floor: Expected 'float' <"],
    ),
    (
        "service: 'engine'",
        "service: 'e', guard: { quiet_ms: 9, quiet_most_ms: 8 }",
        ["F:14: sources[0].guard.quiet_most_ms: is shorter than quiet_ms"],
    ),
    (
        "service: 'engine'",
        "service: 'e', tls: { ca_file: 'x' }",
        ["F:14: sources[0].tls.ca_file: there is no file"],
    ),
    (
        "service: 'engine'",
        "service: 'e', tls: { key_file: 'good.token' }",
        ["F:14: sources[0].tls.cert_file: is missing, though there is a key_file"],
    ),
    ("sources: [", "sources: [], unused:: [", ["F:13: sources: no source and no known engine"]),
    (
        "sources: [",
        "sources: [{ kind: 'bus', address: 'h:1' }, { kind: 'bus', name: 'b', address: 'h:2' },",
        ["F:13: sources[1]: only one event bus"],
    ),
    (
        "sources: [",
        "rules: { drain_grace_ms: 501 }, sources: [",
        ["F:13: rules.drain_grace_ms: Expected 'float' <= 500"],
    ),
    ("sources: [", "number: 1, sources: [", ["F:13: number: is 1, but numbers count from 0 and there are 1"]),
    (
        "sources: [",
        "known: [{ id: 'e', address: '127.0.0.1:3306' }], sources: [",
        ["F:13: known[0].address: '127.0.0.1:3306' is where this dispatcher itself listens"],
    ),
    (
        "sources: [",
        "register: { agent: 'h:1', lag_ms: 7000 }, sources: [",
        ["F:13: register.lag_ms: isn't shorter"],
    ),
    (
        "sources: [",
        "peers: { listen: 'h:1', all: ['h:2'] }, sources: [",
        ["F:13: peers.listen: isn't peers.all[0]"],
    ),
    (
        "sources: [",
        "log: { format: 'xml' }, sources: [",
        ["F:13: log.format: must be one of 'logfmt', 'json'"],
    ),
    ("sources: [", "membership: {}, sources: [", ["F:13: membership: needs peers"]),
    (
        "sources: [",
        "membership: { timeout_ms: 101 }, peers: { listen: 'h:1', all: ['h:1'] }, sources: [",
        [
            "F:13: membership.timeout_ms: must be half of period_ms",
            "F:13: peers.listen: must be an IPv4 address",
        ],
    ),
    (
        "sources: [",
        "membership: { keys: [{ number: 1 }], send_key: 2 }, "
        "peers: { listen: '10.0.0.1:1', all: ['10.0.0.1:1'] }, sources: [",
        [
            "F:13: membership.keys[0]: needs either secret or secret_file",
            "F:13: membership.keys[0]: has a secret of fewer than 8",
            "F:13: membership.send_key: 2 is none of the keys",
        ],
    ),
    ("sources: [", "fleet: {}, sources: [", ["F:13: fleet: needs membership"]),
    (
        "zones: ['z1', 'z2']",
        "fleet: { hold_ms: 50000, slow: 1 }, zones: ['z1']",
        ["F:7: fleet.slow: Expected 'float' >= 1.5"],
    ),
    (
        "zones: ['z1', 'z2']",
        "fleet: { hold_ms: 50000 }, membership: {}, "
        "peers: { listen: '10.0.0.1:1', all: ['10.0.0.1:1'] }, zones: ['z1']",
        ["F:7: fleet.hold_ms: is longer than hold_most_ms", "F:7: zones: names fewer than two"],
    ),
    (
        "sources: [",
        "membership: {}, peers: { listen: '10.0.0.1:1', announce: 'here', all: ['10.0.0.2:1'] }, sources: [",
        ["F:13: peers.announce: Expected a text"],
    ),
    (
        "sources: [",
        "peers: { listen: 'h:1', announce: '10.0.0.1:70000', all: ['10.0.0.2:1'] }, sources: [",
        ["F:13: peers.announce: '10.0.0.1:70000' names no port", "F:13: peers.announce: isn't peers.all[0]"],
    ),
    ("name: 'n1'", "name: n1", ["F:4: Unknown variable: n1"]),
    ("name: 'n1'", "name: error 'stop'", ["F:4: stop"]),
    ("name: 'n1'", "name: import 'none.libsonnet'", ['F:4: couldn\'t open import "none.libsonnet"']),
]


@pytest.mark.parametrize(
    "old, new, expected",
    INVALID_CHANGES,
    ids=[f"{i}-{new[:24]}" for i, (_, new, _) in enumerate(INVALID_CHANGES)],
)
def test_an_invalid_file_is_refused_with_the_line_of_each_problem(
    tmp_path: Path, old: str, new: str, expected: list[str]
) -> None:
    (tmp_path / "good.token").write_text("t")
    assert old in VALID_CONFIG
    got = read_problems(write_config(tmp_path, VALID_CONFIG.replace(old, new, 1)))
    assert len(got) == len(expected), got
    for line, beginning in zip(got, expected, strict=True):
        assert line.startswith(beginning)


def test_all_problems_are_reported_at_once_in_the_order_of_lines(tmp_path: Path) -> None:
    text = (
        VALID_CONFIG.replace("seed: 7", "seed: -1").replace("cores: 8", "coers: 8").replace("'safe'", "'no'")
    )
    got = read_problems(write_config(tmp_path, text))
    assert [line.split(": ")[0] for line in got] == ["F:6", "F:8", "F:10"]


def test_imports_from_outside_the_folder_are_refused(tmp_path: Path) -> None:
    (tmp_path / "secret.libsonnet").write_text("{ hidden: 'treasure' }")
    inside = tmp_path / "site"
    inside.mkdir()
    (inside / "part.libsonnet").write_text("{ seed: 9 }")
    assert (
        read_installation(
            write_config(
                inside, VALID_CONFIG.replace("{\n  name", "(import 'part.libsonnet') + {\n  name", 1)
            )
        ).config.seed
        == 7
    )
    for target in ("../secret.libsonnet", str(tmp_path / "secret.libsonnet")):
        for verb in ("import", "importstr"):
            (line,) = read_problems(write_config(inside, VALID_CONFIG.replace("'n1'", f"{verb} '{target}'")))
            assert "lies outside the folder" in line and "treasure" not in line


def test_a_template_that_recurses_without_end_is_an_error(tmp_path: Path) -> None:
    (line,) = read_problems(write_config(tmp_path, "local f(x) = f(x + 1) + 1; f(0)"))
    assert "max stack frames exceeded" in line.lower()


def test_a_missing_file_is_named(tmp_path: Path) -> None:
    assert read_problems(tmp_path / "none") == ["F: can't be read: No such file or directory"]


@pytest.mark.parametrize(
    "text, path, line",
    [
        ("{\n a: 1,\n 'b': {\n  c: [1,\n   { d: 2 }] } }", ("b", "c", 1, "d"), 5),
        ("local x = { a: 1 };\n// { a: 2 }\n/* {\n*/ x {\n a+: 3 }", ("a",), 5),
        ("{ a: |||\n  text: { b: 1 }\n|||,\n b: 2 }", ("b",), 4),
        ("{ a: [x for x in [\n{ b: 1 }]] }", ("a", 0, "b"), 0),
        ("f({ a: 1 })", ("a",), 0),
    ],
)
def test_the_line_of_a_field_is_where_it_is_written_literally(
    text: str, path: tuple[str | int, ...], line: int
) -> None:
    assert find_field_lines(text).get(path, 0) == line


def test_check_and_show_hide_tokens_and_exit_with_their_codes(tmp_path: Path) -> None:
    path = write_config(
        tmp_path, VALID_CONFIG.replace("service: 'engine'", "service: 'engine', token: 'hush-hush'")
    )
    run = CliRunner().invoke
    valid = run(app, ["check", str(path)])
    assert valid.exit_code == 0 and "good: n1, sources dc1, classes lookup, load" in valid.output
    for options in ([], ["--defaults"]):
        result = run(app, ["show", str(path), *options])
        assert result.exit_code == 0 and "hush" not in result.output
        assert json.loads(result.output)["sources"][0]["token"] == "(hidden)"
    invalid = run(app, ["check", str(write_config(tmp_path, "{", "bad.jsonnet"))])
    assert invalid.exit_code == 2 and invalid.output.count("\n") == 1 and "bad.jsonnet:1" in invalid.output
    assert run(app, ["serve", "--config", str(tmp_path / "none")]).exit_code == 2
