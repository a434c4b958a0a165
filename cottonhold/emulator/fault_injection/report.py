"""Renders a self-contained HTML page about a run: its faults, findings, figures and charts."""

from __future__ import annotations

import html
import io
import json
import math
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import matplotlib

from cottonhold.emulator.fault_injection.event_log import BIN_S
from cottonhold.emulator.fault_injection.run_folder import RESULT_FILE, SCENARIO_FILE
from cottonhold.emulator.fault_injection.script import Scenario, decode_scenario

matplotlib.use("Agg")
from matplotlib import pyplot  # noqa: E402

STYLE = """body{font:15px/1.5 sans-serif;max-width:60em;margin:2em auto;color:#222}
table{border-collapse:collapse}td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:left}
pre{background:#f4f4f4;padding:.8em;overflow:auto}.bad{color:#b00020;font-weight:bold}.good{color:#1a7f37}"""
MAX_FINDINGS = 50
COLOURS = ("#0072b2", "#d55e00", "#009e73", "#cc79a7", "#e69f00", "#56b4e9")


def charts(scenario: Scenario, series: dict[str, list[float]]) -> str:
    """Return an SVG with sends by zone and utility served over time; vertical lines mark the faults."""
    times = [i * BIN_S for i in range(len(next(iter(series.values()), [])))]
    figure, (upper, lower) = pyplot.subplots(2, 1, figsize=(9, 6), sharex=True)
    for colour, zone in zip(COLOURS, scenario.zones, strict=False):
        row = [n / BIN_S for n in series[f"sends {zone}"]]
        upper.step(times, row, where="post", label=f"zone {zone}", color=colour)
    upper.set_ylabel("sends a second")
    lower.step(times, series["worth most"], where="post", label="most possible", color="#999999")
    lower.step(times, series["worth served"], where="post", label="served", color="#0072b2")
    lower.set_ylabel("worth each half second")
    lower.set_xlabel("seconds")
    for axes in (upper, lower):
        for at in sorted({fault.at_s for fault in scenario.faults}):
            axes.axvline(at, color="#b00020", linewidth=0.8, linestyle=":")
        axes.set_ylim(bottom=0)
        axes.legend(loc="upper right", frameon=False)
        axes.spines[["top", "right"]].set_visible(False)
    figure.tight_layout()
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", metadata={"Date": None})
    pyplot.close(figure)
    return buffer.getvalue()[buffer.getvalue().index("<svg") :]


def page(folder: Path) -> str:
    """Return the HTML page of a run.

    Args:
        folder: Folder of the run.

    Raises:
        OSError: A file of the run cannot be read.
        ScriptError: The scenario in the folder is invalid.
    """
    scenario = decode_scenario((folder / SCENARIO_FILE).read_bytes())
    result: dict[str, Any] = json.loads((folder / RESULT_FILE).read_bytes())
    verdict = result["verdict"]
    figures = "".join(
        f"<tr><td>{html.escape(name)}</td><td>{_format_figure(value)}</td></tr>"
        for name, value in sorted(verdict["figures"].items())
    )
    zone_head = "<tr><th>instance<th>zone<th>phase<th>why</tr>"
    parts = [
        "<!doctype html><html lang=en><meta charset=utf-8>",
        f"<title>{html.escape(scenario.name)}</title><style>{STYLE}</style>",
        f"<h1>{html.escape(scenario.name)}</h1><p>{html.escape(scenario.description)}. "
        f"{scenario.instances} instances, {len(scenario.engine_names())} engines, "
        f"{scenario.requests_per_s:g} requests a second, seed {scenario.seed}, "
        f"fleet {'on' if scenario.has_fleet else 'off'}.</p>",
        _findings(verdict["findings"]),
        charts(scenario, verdict["series"]),
        f"<h2>What happened</h2><pre>{html.escape(chr(10).join(result['timeline'])) or 'nothing'}</pre>",
        f"<h2>Figures</h2><table>{figures}</table>",
        f"<h2>Zones at the end</h2><table>{zone_head}{_zones(result['views'])}</table>",
    ]
    return "\n".join(parts)


def _findings(findings: Sequence[str]) -> str:
    if not findings:
        return '<p class="good">No rule was broken.</p>'
    rows = "".join(f"<li>{html.escape(finding)}</li>" for finding in findings[:MAX_FINDINGS])
    return f'<p class="bad">{len(findings)} findings</p><ul>{rows}</ul>'


def _zones(views: Mapping[str, Any]) -> str:
    """Return table rows with the zones that each instance reports."""
    rows = ((name, row) for name, view in sorted(views.items()) for row in view.get("zones", []))
    return "".join(
        f"<tr><td>{html.escape(name)}</td><td>{html.escape(row['zone'])}</td>"
        f"<td>{html.escape(row['phase'])}</td><td>{html.escape(row['why'])}</td></tr>"
        for name, row in rows
    )


def _format_figure(value: float | None) -> str:
    if value is None or math.isnan(value):
        return "never"
    return f"{value:.3f}" if abs(value) < 100 else f"{value:.0f}"
