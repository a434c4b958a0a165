"""From plain values to a typed section, with every problem at once.

msgspec stops at the first error. An operator who has renamed five fields wants five lines, so this walks
sections and lists itself and leaves only the leaves to msgspec.
"""

from __future__ import annotations

import difflib
import types
import typing
from collections.abc import Callable
from typing import Annotated, Any, Literal, Union, get_args, get_origin

import msgspec

Path = tuple[str | int, ...]
Report = Callable[[Path, str], None]
WORDS = {"object": "a section", "array": "a list", "str": "a text", "bool": "true or false"}


def decode(value: Any, kind: type[Any], report: Report) -> Any:
    """The typed value; None where `report` has been told of problems."""
    problems: list[Path] = []

    def note(path: Path, why: str) -> None:
        problems.append(path)
        report(path, why)

    _check(value, kind, (), note)
    return None if problems else msgspec.convert(value, kind)


def _check(value: Any, kind: Any, path: Path, report: Report) -> None:
    base = get_args(kind)[0] if get_origin(kind) is Annotated else kind
    if get_origin(base) in (Union, types.UnionType):
        _check_union(value, base, path, report)
    elif isinstance(base, type) and issubclass(base, msgspec.Struct):
        _check_section(value, base, path, report)
    elif get_origin(base) is tuple and isinstance(value, list):
        before = len(value)
        _check_leaf([None] * before, _bounds(kind), path, report)
        for i, element in enumerate(value):
            _check(element, get_args(base)[0], (*path, i), report)
    else:
        _check_leaf(value, kind, path, report)


def _bounds(kind: Any) -> Any:
    """A list's own bounds, whatever its elements."""
    if get_origin(kind) is Annotated:
        return Annotated[tuple[Any, ...], *get_args(kind)[1:]]
    return tuple[Any, ...]


def _check_leaf(value: Any, kind: Any, path: Path, report: Report) -> None:
    try:
        msgspec.convert(value, kind, strict=True)
    except msgspec.ValidationError as error:
        text = str(error).split(" - at `")[0]
        if get_origin(kind) is Literal:
            text = f"must be one of {', '.join(repr(a) for a in get_args(kind))}, is {value!r}"
        report(path, _plain(text))


def _plain(text: str) -> str:
    for word, plain in WORDS.items():
        text = text.replace(f"`{word}`", plain)
    return text.replace("`", "'")


def _check_union(value: Any, kind: Any, path: Path, report: Report) -> None:
    options = [option for option in get_args(kind) if option is not types.NoneType]
    if value is None and len(options) < len(get_args(kind)):
        return
    if len(options) == 1:
        _check(value, options[0], path, report)
        return
    tags = {option.__struct_config__.tag: option for option in options}
    field = options[0].__struct_config__.tag_field
    if not isinstance(value, dict):
        report(path, f"Expected a section, got {type(value).__name__}")
    elif value.get(field) not in tags:
        what = f"is {value[field]!r}" if field in value else "is missing"
        report((*path, field), f"must be one of {', '.join(map(repr, sorted(tags)))}, {what}")
    else:
        _check(value, tags[value[field]], path, report)


def _check_section(value: Any, kind: type[msgspec.Struct], path: Path, report: Report) -> None:
    if not isinstance(value, dict):
        report(path, f"Expected a section, got {type(value).__name__}")
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    tag = kind.__struct_config__.tag_field
    for name in value:
        if name not in fields and name != tag:
            near = difflib.get_close_matches(name, fields, 1)
            report((*path, name), "unknown field" + (f"; is it '{near[0]}'?" if near else ""))
    for name, field in fields.items():
        if name in value:
            _check(value[name], typing.cast(Any, field.type), (*path, name), report)
        elif field.required:
            report((*path, name), "is missing")
