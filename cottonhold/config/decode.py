"""Decodes plain values to a typed section and reports all problems together.

msgspec stops at the first error. Therefore sections and lists are traversed here, and msgspec checks only
scalar values and the lengths of lists.
"""

from __future__ import annotations

import difflib
import types
import typing
from typing import Annotated, Any, Literal, Union, get_args, get_origin

import msgspec

from cottonhold.config.problems import FieldPath, ReportProblem

PLAIN_TYPE_NAMES = {"object": "a section", "array": "a list", "str": "a text", "bool": "true or false"}


def decode_section(value: Any, section_type: type[Any], report: ReportProblem) -> Any:
    """Decode a section.

    Args:
        value: Plain values: dicts, lists and scalars.
        section_type: Type of the section, a msgspec Struct.
        report: Called for each problem.

    Returns:
        The typed section, or None if a problem was reported.
    """
    problems: list[FieldPath] = []

    def count_and_report(path: FieldPath, reason: str) -> None:
        problems.append(path)
        report(path, reason)

    _check(value, section_type, (), count_and_report)
    return None if problems else msgspec.convert(value, section_type)


def _check(value: Any, expected: Any, path: FieldPath, report: ReportProblem) -> None:
    """Report each reason why a value does not have the expected type."""
    bare_type = get_args(expected)[0] if get_origin(expected) is Annotated else expected
    if get_origin(bare_type) in (Union, types.UnionType):
        _check_union(value, bare_type, path, report)
    elif isinstance(bare_type, type) and issubclass(bare_type, msgspec.Struct):
        _check_section(value, bare_type, path, report)
    elif get_origin(bare_type) is tuple and isinstance(value, list):
        _check_scalar([None] * len(value), _length_bounds(expected), path, report)
        for i, element in enumerate(value):
            _check(element, get_args(bare_type)[0], (*path, i), report)
    else:
        _check_scalar(value, expected, path, report)


def _length_bounds(expected: Any) -> Any:
    """Return a list type with the same bounds on its length, but elements of any type."""
    if get_origin(expected) is Annotated:
        return Annotated[tuple[Any, ...], *get_args(expected)[1:]]
    return tuple[Any, ...]


def _check_scalar(value: Any, expected: Any, path: FieldPath, report: ReportProblem) -> None:
    try:
        msgspec.convert(value, expected, strict=True)
    except msgspec.ValidationError as error:
        reason = str(error).split(" - at `")[0]
        if get_origin(expected) is Literal:
            reason = f"must be one of {', '.join(repr(a) for a in get_args(expected))}, is {value!r}"
        report(path, _replace_type_names(reason))


def _replace_type_names(reason: str) -> str:
    """Replace the type names in a message of msgspec by those of configuration files."""
    for name, plain_name in PLAIN_TYPE_NAMES.items():
        reason = reason.replace(f"`{name}`", plain_name)
    return reason.replace("`", "'")


def _check_union(value: Any, expected: Any, path: FieldPath, report: ReportProblem) -> None:
    """Report problems of a value that may be None, or one of several sections that a tag distinguishes."""
    options = [option for option in get_args(expected) if option is not types.NoneType]
    if value is None and len(options) < len(get_args(expected)):
        return
    if len(options) == 1:
        _check(value, options[0], path, report)
        return
    by_tag = {option.__struct_config__.tag: option for option in options}
    tag_field = options[0].__struct_config__.tag_field
    if not isinstance(value, dict):
        report(path, f"Expected a section, got {type(value).__name__}")
    elif value.get(tag_field) not in by_tag:
        problem = f"is {value[tag_field]!r}" if tag_field in value else "is missing"
        report((*path, tag_field), f"must be one of {', '.join(map(repr, sorted(by_tag)))}, {problem}")
    else:
        _check(value, by_tag[value[tag_field]], path, report)


def _check_section(
    value: Any, section_type: type[msgspec.Struct], path: FieldPath, report: ReportProblem
) -> None:
    if not isinstance(value, dict):
        report(path, f"Expected a section, got {type(value).__name__}")
        return
    fields = {field.encode_name: field for field in msgspec.structs.fields(section_type)}
    tag_field = section_type.__struct_config__.tag_field
    for key in value:
        if key not in fields and key != tag_field:
            similar = difflib.get_close_matches(key, fields, 1)
            report((*path, key), "unknown field" + (f"; is it '{similar[0]}'?" if similar else ""))
    for key, field in fields.items():
        if key in value:
            _check(value[key], typing.cast(Any, field.type), (*path, key), report)
        elif field.required:
            report((*path, key), "is missing")
