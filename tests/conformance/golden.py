"""The recorded outside: what other processes, disks, operators and clients see, as the code gave it once."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

RECORD: dict[str, Any] = json.loads((Path(__file__).parent / "golden.json").read_text(encoding="utf-8"))
