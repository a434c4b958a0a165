"""Tests of the list of known failing tests: expected failures, printed entries and errors in the list."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.known_red import KnownRed, KnownRedError, check_all_collected, parse_known_red

CONFTEST = (Path(__file__).parent / "conftest.py").read_text()
READER = (Path(__file__).parent / "known_red.py").read_text()
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
FAILS = "tests/test_some.py::test_fails | a planted fault | issue 7"
EACH = "tests/test_some.py::test_each[a|b] | another one | issue 8"


@pytest.fixture
def project(pytester: pytest.Pytester) -> pytest.Pytester:
    """A separate project with the hooks of conftest.py and some failing tests."""
    pytester.makeini("[pytest]\ntestpaths = tests")
    folder = pytester.mkpydir("tests")
    for name, content in (("conftest", CONFTEST), ("known_red", READER), ("test_some", TESTS)):
        (folder / f"{name}.py").write_text(content)
    return pytester


def listed(project: pytest.Pytester, *lines: str) -> None:
    (project.path / "KNOWN-RED.txt").write_text("\n".join(lines))


def run(project: pytest.Pytester, *arguments: str) -> pytest.RunResult:
    return project.runpytest_subprocess("-q", "-p", "no:cacheprovider", *arguments)


def test_a_line_is_a_test_its_cause_and_its_issue() -> None:
    found = parse_known_red(f"{FAILS}\n\n{EACH}\n")
    assert list(found.values()) == [
        KnownRed("tests/test_some.py::test_fails", "a planted fault", "issue 7"),
        KnownRed("tests/test_some.py::test_each[a|b]", "another one", "issue 8"),
    ]
    assert parse_known_red("") == parse_known_red("\n \n") == {}


@pytest.mark.parametrize(
    "text, why",
    [
        ("tests/test_some.py::test_fails", "line 1: not"),
        (f"{FAILS}\ntests/test_some.py::test_passes | cause", "line 2: not"),
        ("tests/test_some.py::test_fails || issue 7", "line 1: not"),
        ("tests/test_some.py::test_fails | cause |", "line 1: not"),
        (f"{FAILS}\n{FAILS}", "line 2: tests/test_some.py::test_fails is there twice"),
        ("\n".join(f"t::{n} | c | i" for n in range(4)), "4 tests, 3 at most"),
    ],
)
def test_a_list_that_can_t_be_used_says_why(text: str, why: str) -> None:
    with pytest.raises(KnownRedError, match=why) as told:
        parse_known_red(text)
    assert "\n" not in str(told.value)


def test_a_listed_test_has_to_be_there() -> None:
    check_all_collected([], ["a"])
    check_all_collected(["a"], ["b", "a"])
    with pytest.raises(KnownRedError, match="no such test: c, d"):
        check_all_collected(["d", "a", "c"], ["a", "b"])


@pytest.mark.parametrize("content", [None, "", "\n"])
def test_without_lines_nothing_is_passed_over(project: pytest.Pytester, content: str | None) -> None:
    if content is not None:
        listed(project, content)
    result = run(project)
    result.assert_outcomes(failed=2, passed=2)
    assert result.ret == pytest.ExitCode.TESTS_FAILED
    result.stdout.no_fnmatch_line("*known to fail*")


def test_just_the_listed_ones_are_passed_over_and_printed(project: pytest.Pytester) -> None:
    listed(project, FAILS, EACH)
    result = run(project)
    result.assert_outcomes(xfailed=2, passed=2)
    assert result.ret == pytest.ExitCode.OK
    result.stdout.fnmatch_lines(
        [
            "*known to fail*",
            "tests/test_some.py::test_fails: a planted fault (issue 7)",
            "tests/test_some.py::test_each?a|b?: another one (issue 8)",
        ]
    )


def test_one_that_fails_beside_them_fails_the_run(project: pytest.Pytester) -> None:
    listed(project, FAILS)
    result = run(project)
    result.assert_outcomes(xfailed=1, failed=1, passed=2)
    assert result.ret == pytest.ExitCode.TESTS_FAILED


def test_a_listed_test_that_passes_fails_the_run(project: pytest.Pytester) -> None:
    listed(project, FAILS, EACH, "tests/test_some.py::test_passes | mended since | issue 9")
    result = run(project)
    result.assert_outcomes(xfailed=2, failed=1, passed=1)
    result.stdout.fnmatch_lines(["*XPASS(strict)*mended since (issue 9)*"])


@pytest.mark.parametrize(
    "line, why",
    [
        ("tests/test_some.py::test_fails", "line 2: not `test node id | cause | issue`"),
        (FAILS, "line 2: tests/test_some.py::test_fails is there twice"),
        ("tests/test_some.py::test_gone | cause | issue 7", "no such test: tests/test_some.py::test_gone"),
    ],
)
@pytest.mark.parametrize("arguments", [(), ("tests",), ("-k", "passes")], ids=["bare", "folder", "chosen"])
def test_a_bad_line_ends_the_run(
    project: pytest.Pytester, line: str, why: str, arguments: tuple[str, ...]
) -> None:
    listed(project, FAILS, line)
    result = run(project, *arguments)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    told = [line for line in result.outlines + result.errlines if "KNOWN-RED" in line]
    assert len(told) == 1 and why in told[0]


def test_a_part_of_the_suite_needs_not_have_the_listed_ones(project: pytest.Pytester) -> None:
    listed(project, FAILS)
    result = run(project, "tests/test_some.py::test_passes")
    result.assert_outcomes(passed=1)
