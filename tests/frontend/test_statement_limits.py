"""The cost of decoding a request is bounded, whatever its client sends."""

from __future__ import annotations

import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cottonhold.frontend.query_comment import (
    MAX_COMMENT_BYTES,
    MAX_FIELDS,
    MAX_KEY_CHARACTERS,
    SQL_TOKEN,
    TABLE_KEYWORDS,
    FieldError,
    parse,
    schema_group,
    table_group,
)

FIELDS = "service=lookup,ref=9b1f03aa5c7e2d41,allow=1500"
SIZE = 64_000
COSTLY = {
    "names": "a " * (SIZE // 2),
    "qualified names": "a.b," * (SIZE // 4),
    "after a comment": "/* a */ SELECT " + "a.b, " * (SIZE // 5),
    "quoted names": "`a`" * (SIZE // 3),
}


@pytest.mark.parametrize("number", [MAX_FIELDS, 8000])
def test_a_head_of_very_many_fields_is_refused(number: int) -> None:
    """Guards against heads of thousands of short fields, which took the time of sound clients."""
    more = ",".join(f"a{index}=1" for index in range(number))
    with pytest.raises(FieldError, match="fields"):
        parse(f"/* {FIELDS},{more} */ SELECT 1".encode())


def test_a_comment_that_does_not_end_soon_is_refused() -> None:
    with pytest.raises(FieldError, match="does not end"):
        parse(f"/* {FIELDS} {'x' * MAX_COMMENT_BYTES} */ SELECT 1".encode())


def test_the_longest_usual_head_is_accepted() -> None:
    more = ",".join(f"a{index}=1" for index in range(MAX_FIELDS - 4))
    key = "k" * MAX_KEY_CHARACTERS
    statement = parse(f"\n/* {FIELDS},lookup={key},{more} */\n SELECT 1".encode())
    assert statement.ordering_key == key and statement.body == b"SELECT 1"


def test_a_long_key_is_refused() -> None:
    with pytest.raises(FieldError, match="lookup"):
        parse(f"/* {FIELDS},lookup={'k' * (MAX_KEY_CHARACTERS + 1)} */ SELECT 1".encode())


@pytest.mark.parametrize("sql", COSTLY.values(), ids=COSTLY)
def test_the_memory_of_a_search_for_the_table_is_bounded(sql: str) -> None:
    """Guards against megabytes of tokens for one statement."""
    table_group(sql)
    tracemalloc.start()
    try:
        table_group(sql)
        assert tracemalloc.get_traced_memory()[1] < 4 * SIZE
    finally:
        tracemalloc.stop()


def every_token_group(sql: str) -> int:
    """Return the group as found in a list of all tokens."""
    tokens = [(m.lastgroup, m[0]) for m in SQL_TOKEN.finditer(sql) if m.lastgroup]
    fallback, is_table = -1, False
    for position, (kind, text) in enumerate(tokens):
        if kind != "name":
            is_table = is_table and kind != "other"
            continue
        if text.upper() in TABLE_KEYWORDS:
            is_table = True
            continue
        is_followed = position + 1 < len(tokens) and tokens[position + 1][0] == "dot"
        is_qualifier = is_followed and (position == 0 or tokens[position - 1][0] != "dot")
        group = schema_group(text) if is_qualifier else None
        if group is not None and is_table:
            return group
        if group is not None and fallback < 0:
            fallback = group
    return fallback


WORDS = st.sampled_from(
    ["FROM ", "JOIN ", "s_7", "o_1", "a", ".", ",", " ", "(", "'x_4.t'", "`s_3`", "/* c */", "staging", "="]
)


@given(st.lists(WORDS, max_size=30).map("".join))
def test_the_group_is_the_same_as_with_all_tokens(sql: str) -> None:
    assert table_group("''" + sql) == every_token_group("''" + sql)
