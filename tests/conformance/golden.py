"""The recorded bytes, names and texts that other processes, disks, operators and clients depend on."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

RECORD: dict[str, Any] = json.loads((Path(__file__).parent / "golden.json").read_text(encoding="utf-8"))
