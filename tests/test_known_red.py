"""Tests of the list of known failing tests: expected failures, printed entries and errors in the list."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.known_red import KnownRed, KnownRedError, check_all_collected, parse_known_red

CONFTEST = (Path(__file__).parent / "conftest.py").read_text()
KNOWN_RED_MODULE = (Path(__file__).parent / "known_red.py").read_text()
TESTS = """
import pytest
def test_fails():
    assert False
def test_passes():
    pass
@pytest.mark.parametrize("way", ["a|b", "c"])
def test_each(way):
    assert way == "c"
"""
FAILING_ENTRY = "tests/test_some.py::test_fails | a planted fault | issue 7"
PARAMETRISED_ENTRY = "tests/test_some.py::test_each[a|b] | another one | issue 8"


@pytest.fixture
def project(pytester: pytest.Pytester) -> pytest.Pytester:
    """A separate project with the hooks of conftest.py and some failing tests."""
    pytester.makeini("[pytest]\ntestpaths = tests")
    folder = pytester.mkpydir("tests")
    for name, content in (("conftest", CONFTEST), ("known_red", KNOWN_RED_MODULE), ("test_some", TESTS)):
        (folder / f"{name}.py").write_text(content)
    return pytester


def write_known_red(project: pytest.Pytester, *lines: str) -> None:
    (project.path / "KNOWN-RED.txt").write_text("\n".join(lines))


def run_pytest(project: pytest.Pytester, *arguments: str) -> pytest.RunResult:
    return project.runpytest_subprocess("-q", "-p", "no:cacheprovider", *arguments)


def test_each_line_has_a_test_a_cause_and_an_issue() -> None:
    entries = parse_known_red(f"{FAILING_ENTRY}\n\n{PARAMETRISED_ENTRY}\n")
    assert list(entries.values()) == [
        KnownRed("tests/test_some.py::test_fails", "a planted fault", "issue 7"),
        KnownRed("tests/test_some.py::test_each[a|b]", "another one", "issue 8"),
    ]
    assert parse_known_red("") == parse_known_red("\n \n") == {}


@pytest.mark.parametrize(
    "text, reason",
    [
        ("tests/test_some.py::test_fails", "line 1: not"),
        (f"{FAILING_ENTRY}\ntests/test_some.py::test_passes | cause", "line 2: not"),
        ("tests/test_some.py::test_fails || issue 7", "line 1: not"),
        ("tests/test_some.py::test_fails | cause |", "line 1: not"),
        (f"{FAILING_ENTRY}\n{FAILING_ENTRY}", "line 2: tests/test_some.py::test_fails is listed twice"),
        ("\n".join(f"t::{n} | c | i" for n in range(4)), "4 tests, 3 at most"),
    ],
)
def test_the_error_for_an_unusable_list_gives_the_reason(text: str, reason: str) -> None:
    with pytest.raises(KnownRedError, match=reason) as caught:
        parse_known_red(text)
    assert "\n" not in str(caught.value)


def test_a_listed_test_must_exist() -> None:
    check_all_collected([], ["a"])
    check_all_collected(["a"], ["b", "a"])
    with pytest.raises(KnownRedError, match="no such test: c, d"):
        check_all_collected(["d", "a", "c"], ["a", "b"])


@pytest.mark.parametrize("content", [None, "", "\n"])
def test_without_entries_all_failures_count(project: pytest.Pytester, content: str | None) -> None:
    if content is not None:
        write_known_red(project, content)
    result = run_pytest(project)
    result.assert_outcomes(failed=2, passed=2)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.no_fnmatch_line("*known to fail*")


def test_only_listed_tests_may_fail_and_are_printed(project: pytest.Pytester) -> None:
    write_known_red(project, FAILING_ENTRY, PARAMETRISED_ENTRY)
    result = run_pytest(project)
    result.assert_outcomes(xfailed=2, passed=2)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(
        [
            "*known to fail*",
            "tests/test_some.py::test_fails: a planted fault (issue 7)",
            "tests/test_some.py::test_each?a|b?: another one (issue 8)",
        ]
    )


def test_an_unlisted_failure_fails_the_run(project: pytest.Pytester) -> None:
    write_known_red(project, FAILING_ENTRY)
    result = run_pytest(project)
    result.assert_outcomes(xfailed=1, failed=1, passed=2)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_a_listed_test_that_passes_fails_the_run(project: pytest.Pytester) -> None:
    write_known_red(
        project, FAILING_ENTRY, PARAMETRISED_ENTRY, "tests/test_some.py::test_passes | mended since | issue 9"
    )
    result = run_pytest(project)
    result.assert_outcomes(xfailed=2, failed=1, passed=1)
    result.stdout.fnmatch_lines(["*XPASS(strict)*mended since (issue 9)*"])


@pytest.mark.parametrize(
    "line, reason",
    [
        ("tests/test_some.py::test_fails", "line 2: not `test node id | cause | issue`"),
        (FAILING_ENTRY, "line 2: tests/test_some.py::test_fails is listed twice"),
        ("tests/test_some.py::test_gone | cause | issue 7", "no such test: tests/test_some.py::test_gone"),
    ],
)
@pytest.mark.parametrize("arguments", [(), ("tests",), ("-k", "passes")], ids=["bare", "folder", "chosen"])
def test_an_invalid_entry_ends_the_run(
    project: pytest.Pytester, line: str, reason: str, arguments: tuple[str, ...]
) -> None:
    write_known_red(project, FAILING_ENTRY, line)
    result = run_pytest(project, *arguments)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    messages = [line for line in result.outlines + result.errlines if "KNOWN-RED" in line]
    assert len(messages) == 1 and reason in messages[0]


def test_a_part_of_the_suite_need_not_contain_the_listed_tests(project: pytest.Pytester) -> None:
    write_known_red(project, FAILING_ENTRY)
    result = run_pytest(project, "tests/test_some.py::test_passes")
    result.assert_outcomes(passed=1)
