"""Evaluates Jsonnet templates with the official bindings; a template can import only from its own folder."""

from __future__ import annotations

import json
import re
from collections.abc import Callable
from pathlib import Path
from typing import Any

import _jsonnet

from cottonhold.config.problems import Problem

MAX_STACK_FRAMES = 200  # stops templates with endless recursion


def evaluate_template(path: Path) -> tuple[Any, list[Problem]]:
    """Return the values of a template and no problem, or None and the problem that prevents evaluation."""
    try:
        source = path.read_text(encoding="utf-8")
        text = _jsonnet.evaluate_snippet(
            str(path), source, import_callback=_importer(path.resolve().parent), max_stack=MAX_STACK_FRAMES
        )
        return json.loads(text), []
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return None, [Problem(str(path), "", f"can't be read: {reason}")]
    except RuntimeError as error:
        return None, [_evaluation_problem(path, str(error))]


def _importer(folder: Path) -> Callable[[str, str], tuple[str, bytes]]:
    """Return an import callback that allows only files in a folder.

    Otherwise the content of any file, such as /etc/passwd, could appear in an error message or in the output
    of `show`.
    """

    def load(importing_folder: str, name: str) -> tuple[str, bytes]:
        target = (Path(importing_folder or folder) / name).resolve()
        if not target.is_relative_to(folder):
            raise RuntimeError(f"import '{name}' lies outside the folder of the configuration file")
        return str(target), target.read_bytes()

    return load


def _evaluation_problem(path: Path, text: str) -> Problem:
    """Convert an error of the library to a problem.

    Only the first line of the text is used, since a stack trace follows it; the line number is taken from the
    text.
    """
    line_match = re.search(re.escape(str(path)) + r":\(?(\d+)", text)
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    reason = lines[0] if lines else "no reason given"
    reason = re.sub(r"^(STATIC|RUNTIME) ERROR: ", "", reason)
    reason = re.sub(re.escape(str(path)) + r":\S+ ?", "", reason).strip(" :")
    return Problem(
        str(path), "", reason or "the template is not valid", int(line_match.group(1)) if line_match else 0
    )
