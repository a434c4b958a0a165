"""The deployment file lists every file of the scheduler as policy."""

from __future__ import annotations

import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]


def test_every_scheduler_file_is_listed_as_policy() -> None:
    listed = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
    existing = {
        path.relative_to(ROOT).as_posix() for path in (ROOT / "cottonhold" / "scheduler").rglob("*.py")
    }
    assert sorted(listed) == sorted(existing)
