"""Jsonnet templates: evaluated by the official bindings, with imports kept inside the file's own folder."""

from __future__ import annotations

import json
import re
from pathlib import Path
from typing import Any

import _jsonnet

from cottonhold.config.problems import Problem

MOST_STACK = 200  # calls deep: a template that recurses without end is an error, not a hang


def evaluate(path: Path) -> tuple[Any, list[Problem]]:
    """The template's values, or why there are none."""
    folder = path.resolve().parent

    def load(base: str, name: str) -> tuple[str, bytes]:
        # Danger: an import of /etc/passwd or of ../../secret would show in an error text or in `show`.
        target = (Path(base or folder) / name).resolve()
        if not target.is_relative_to(folder):
            raise RuntimeError(f"import '{name}' lies outside the folder of the configuration file")
        return str(target), target.read_bytes()

    try:
        source = path.read_text(encoding="utf-8")
        text = _jsonnet.evaluate_snippet(str(path), source, import_callback=load, max_stack=MOST_STACK)
        return json.loads(text), []
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        return None, [Problem(str(path), "", f"can't be read: {reason}")]
    except RuntimeError as error:
        return None, [_of_jsonnet(path, str(error))]


def _of_jsonnet(path: Path, text: str) -> Problem:
    """The library's text, several lines with a stack, as one problem with the line it names first."""
    place = re.search(re.escape(str(path)) + r":\(?(\d+)", text)
    lines = [line.strip() for line in text.splitlines() if line.strip()]
    first = lines[0] if lines else "no reason given"
    first = re.sub(r"^(STATIC|RUNTIME) ERROR: ", "", first)
    first = re.sub(re.escape(str(path)) + r":\S+ ?", "", first).strip(" :")
    return Problem(str(path), "", first or "the template is not valid", int(place.group(1)) if place else 0)
