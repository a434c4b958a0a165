"""Configures Hypothesis and the tests that are known to fail.

Hypothesis generates the same examples in each run, so that a result depends only on the program.
`pytest --hypothesis-profile=draw` generates new ones; a failure found so is added as a test of its own.

Tests listed in KNOWN-RED.txt at the root must fail, and are printed with what was seen. Scripts listed
there are only printed.
"""

from __future__ import annotations

import pytest
from hypothesis import settings

from tests.known_red import (
    FILE_NAME,
    KnownRed,
    KnownRedError,
    check_all_collected,
    check_scripts_exist,
    parse_known_red,
)

settings.register_profile("same", derandomize=True, deadline=None, database=None)
settings.register_profile("draw", derandomize=False, deadline=None, database=None, print_blob=True)
settings.load_profile("same")

pytest_plugins = ["pytester"]

KNOWN_RED = pytest.StashKey[dict[str, KnownRed]]()


def pytest_configure(config: pytest.Config) -> None:
    """Read the list of known failing tests; a list that can't be used ends the run."""
    path = config.rootpath / FILE_NAME
    try:
        entries = parse_known_red(path.read_text(encoding="utf-8")) if path.exists() else {}
        check_scripts_exist(entries.values(), config.rootpath)
        config.stash[KNOWN_RED] = entries
    except (KnownRedError, UnicodeDecodeError) as error:
        raise pytest.UsageError(str(error)) from None


@pytest.hookimpl(tryfirst=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark listed tests as strictly expected to fail; one that passes fails the run until it is unlisted."""
    known = config.stash[KNOWN_RED]
    if _collects_all_tests(config):
        try:
            tests = [entry.test for entry in known.values() if not entry.is_script()]
            check_all_collected(tests, [item.nodeid for item in items])
        except KnownRedError as error:
            raise pytest.UsageError(str(error)) from None
    for item in items:
        if (entry := known.get(item.nodeid)) is not None:
            item.add_marker(pytest.mark.xfail(reason=f"{entry.seen} ({entry.issue})", strict=True))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter, config: pytest.Config) -> None:
    """Print the tests and scripts that are known to fail, including those that were not run."""
    if known := config.stash[KNOWN_RED]:
        terminalreporter.section("known to fail")
        for entry in known.values():
            terminalreporter.write_line(str(entry))


def _collects_all_tests(config: pytest.Config) -> bool:
    """Whether the whole suite is collected; the selection by -k or -m happens after the collection."""
    default_paths = config.getini("testpaths")
    given_paths = [arg.rstrip("/") for arg in config.args]
    return config.args_source is not pytest.Config.ArgsSource.ARGS or given_paths == default_paths
