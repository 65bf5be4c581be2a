"""One HTML page on one day that was played on sockets: tables, plots, and how to play it again.

It owns the page's form. It must never compute more than rates, percentiles and shares of what the judge has
counted and the recordings say, and the page must never need another file: plots are SVG inside it.
"""

from __future__ import annotations

import io
import os
import platform
from collections.abc import Iterable, Sequence
from html import escape
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("svg")
from matplotlib import pyplot as plt
from matplotlib.axes import Axes

from granitewell.lab.day import Day
from granitewell.lab.judge import RULES, Histogram
from granitewell.lab.recording import read

COLUMNS = ("served", "late", "refused", "failed")
NONE = ("lost", "cut", "left", "unreached", "unanswered")  # tries that got no answer, as the judge calls them
COLOURS = ("#2a7f3f", "#c9a227", "#7a8fb5", "#b5403a", "#444444")  # of COLUMNS, and of no answer
WINDOW_US = 1_000_000
NODE_FAULTS = ("node_", "cut", "link", "discovery")
STYLE = """
body { font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 62em; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 0.6em 0 1.4em } td, th { padding: 0.25em 0.8em; text-align: right }
th { border-bottom: 1px solid #888 } td:first-child, th:first-child { text-align: left }
code, pre { background: #f2f2f2; padding: 0.1em 0.3em } pre { padding: 0.8em; overflow-x: auto }
.bad { color: #b5403a; font-weight: bold } .good { color: #2a7f3f } svg { max-width: 100%; height: auto }
"""


def write(day: Day, played: dict[str, Any], command: str, path: Path) -> None:
    """Make the page. `played` is play_on_sockets' dict, command: how it was called. OSError: no room."""
    path.write_text(page(day, played, command), encoding="utf-8")


def page(day: Day, played: dict[str, Any], command: str) -> str:
    """The page as text."""
    report = played["report"]
    size = f"{len(day.nodes)} nodes, {len(day.endpoints)} endpoints, {len(day.faults)} faults"
    title = f"{day.name}, seed {day.seed}"
    parts = [
        f"<h1>{escape(title)}</h1>",
        f"<p>{size}, {report['requests']} requests in {day.length_us / 1e6:g} s, on loopback sockets. "
        f"G {report['g']:.4f}.</p>",
        _verdict(report), _busy(played),
        "<h2>Goodput</h2>", _svg(lambda ax: _goodput(ax, day, report)),
        "<h2>Latency</h2>", _svg(lambda ax: _latency(ax, day, Path(played["out"]))),
        _svg(lambda ax: _spread(ax, day, report)),
        "<h2>Tries by class</h2>",
        _table(("class", *COLUMNS, "no answer", "p50 ms", "p99 ms"), _classes(report)),
        "<h2>Tries by co-operative</h2>",
        _table(("co-operative", *COLUMNS, "no answer", "worth served"), _tenants(report)),
        "<h2>Rules</h2>", _table(("rule", "broken"), [(r, report["offences"].get(r, 0)) for r in RULES]),
        _offence(played),
        "<h2>What happened</h2>", _table(("at s", "until s", "what", "to whom"), _faults(day)),
        "<h2>Notes</h2>", _table(("note", "times"), played["notes"].items()),
        f"<h2>Again</h2><pre>{escape(command)}</pre><p>{escape(_machine())}</p>",
    ]  # fmt: skip
    head = f'<meta charset="utf-8"><title>{escape(title)}</title><style>{STYLE}</style>'
    body = "\n".join(parts)
    return f'<!doctype html>\n<html lang="en"><head>{head}</head><body>\n{body}\n</body></html>\n'


# --- Tables -----------------------------------------------------------------------------------------------
def _table(columns: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    def cell(x: Any) -> str:
        return f"<td>{f'{x:.3f}' if isinstance(x, float) else escape(str(x))}</td>"

    body = "".join(f"<tr>{''.join(map(cell, row))}</tr>\n" for row in rows)
    if not body:
        return "<p>none</p>"
    return f"<table><tr>{''.join(f'<th>{escape(c)}</th>' for c in columns)}</tr>\n{body}</table>"


def counts(row: dict[str, int]) -> tuple[int, ...]:
    """Tries served in time, late, refused, failed, and without an answer."""
    return (*(row[c] for c in COLUMNS), sum(row[c] for c in NONE))


def _classes(report: dict[str, Any]) -> list[tuple[Any, ...]]:
    rows = []
    for name, row in report["by_class"].items():
        latency = report["latency"][name]
        rows.append((name, *counts(row), float(latency["p50"]), float(latency["p99"])))
    return rows


def _tenants(report: dict[str, Any]) -> list[tuple[Any, ...]]:
    worth = report["worth_by_tenant"]
    return [(n, *counts(r), float(worth.get(n, 0.0))) for n, r in report["by_tenant"].items()]


def _faults(day: Day) -> list[tuple[str, str, str, str]]:
    rows = []
    for f in day.faults:
        words = ", ".join(f"{k} {v}" for k, v in f.params if k != "source" and v not in ("", 0.0))
        until = f"{f.until_us / 1e6:.1f}" if f.until_us >= 0 else ""
        rows.append((f"{f.at_us / 1e6:.1f}", until, f"{f.kind} {words}".strip(), f.target))
    return rows


def _verdict(report: dict[str, Any]) -> str:
    if report["kept"]:
        return '<p class="good">All rules were kept.</p>'
    broken = ", ".join(f"{k} {n} times" for k, n in sorted(report["offences"].items()))
    return f'<p class="bad">Broken: {escape(broken)}.</p>'


def _offence(played: dict[str, Any]) -> str:
    return "" if played["report"]["kept"] else f"<pre>{escape(chr(10).join(played['lines']))}</pre>"


def _busy(played: dict[str, Any]) -> str:
    if not played["busy"]:
        return ""
    waits = ", ".join(f"{n} {x['waited_ms']:.0f} ms (at most {x['most_ms']:.0f} ms in a quarter of a second)"
                      for n, x in played["cores"].items())  # fmt: skip
    return (f'<p class="bad">This machine was too busy, and the figures are in part its own. Processes '
            f"waited for a core: {escape(waits)}.</p>")  # fmt: skip


def _machine() -> str:
    system = f"{platform.system()} {platform.release()}"
    return f"{system}, {os.cpu_count()} cores, Python {platform.python_version()}"


# --- Plots ------------------------------------------------------------------------------------------------
def _svg(draw: Any) -> str:
    figure, ax = plt.subplots(figsize=(10, 3.4))
    draw(ax)
    ax.spines[["top", "right"]].set_visible(False)
    text = io.StringIO()
    figure.savefig(text, format="svg", bbox_inches="tight", metadata={"Date": None, "Creator": None})
    plt.close(figure)
    return text.getvalue().partition("<svg")[1] + text.getvalue().partition("<svg")[2]


def _mark_faults(ax: Axes, day: Day) -> None:
    """Where something happened: endpoints' faults grey, all others blue."""
    for f in day.faults:
        end = f.until_us if f.until_us >= 0 else f.at_us
        colour = "#3465a4" if f.kind.startswith(NODE_FAULTS) else "#888888"
        ax.axvspan(f.at_us / 1e6, max(end / 1e6, f.at_us / 1e6 + 0.05), color=colour, alpha=0.08, linewidth=0)


def _goodput(ax: Axes, day: Day, report: dict[str, Any]) -> None:
    """Tries a second by how they ended, stacked, by seconds."""
    seconds: dict[int, dict[str, float]] = {}
    for row in report["series"]:
        into = seconds.setdefault(int(row["at_us"]) // WINDOW_US, dict.fromkeys((*COLUMNS, "none"), 0.0))
        for name in COLUMNS:
            into[name] += row.get(name, 0.0)
        into["none"] += sum(row.get(n, 0.0) for n in NONE)
    times = sorted(seconds)
    layers = [[seconds[t][n] for t in times] for n in (*COLUMNS, "none")]
    labels = ["in time", "late", "refused", "failed", "no answer"]
    ax.stackplot([t + 0.5 for t in times], layers, labels=labels, colors=COLOURS)
    _mark_faults(ax, day)
    ax.set(xlabel="s", ylabel="tries a second", xlim=(0, max(times, default=0) + 1))
    ax.legend(loc="lower right", ncols=5, fontsize="small")


def _latency(ax: Axes, day: Day, out: Path) -> None:
    """Of what was served, by the second in which it was asked: median and 99th percentile."""
    found = _latencies(day, out)
    for k, kind in enumerate(day.classes):
        times = sorted(t for c, t in found if c == k)
        for part, style in ((0.5, "-"), (0.99, ":")):
            values = [found[k, t].percentile(part) / 1000 for t in times]
            name = "median" if part == 0.5 else "99%"
            ax.plot([t + 0.5 for t in times], values, style, color=f"C{k}", label=f"{kind.name}, {name}")
        ax.axhline(kind.aim_us / 1000, color=f"C{k}", linewidth=0.6, alpha=0.6)
    _mark_faults(ax, day)
    ax.set(xlabel="s", ylabel="ms", yscale="log", xlim=(0, None))
    ax.legend(loc="upper left", ncols=2, fontsize="small")


def _latencies(day: Day, out: Path) -> dict[tuple[int, int], Histogram]:
    """By class and second, from what the clients have written."""
    asked: dict[str, tuple[int, int]] = {}
    found: dict[tuple[int, int], Histogram] = {}
    for line in read(out / "seen-clients.jsonl"):
        if line.method == "asked":
            asked[line.args[0]] = line.at, line.args[2]
        elif line.method == "answered" and line.args[2] == "served" and line.args[0] in asked:
            at, cls = asked.pop(line.args[0])
            found.setdefault((cls, at // WINDOW_US), Histogram()).add(line.at - at)
    return found


def _spread(ax: Axes, day: Day, report: dict[str, Any]) -> None:
    """The whole day's latencies: which part of the served came within."""
    for k, kind in enumerate(day.classes):
        histogram = Histogram.from_dict(report["latency"][kind.name])
        parts = [x / 200 for x in range(1, 200)] + [0.995, 0.999]
        ax.plot([histogram.percentile(p) / 1000 for p in parts], parts, color=f"C{k}", label=kind.name)
        ax.axvline(kind.aim_us / 1000, color=f"C{k}", linewidth=0.6, alpha=0.6)
    ax.set(xlabel="ms", ylabel="part of the served", xscale="log", ylim=(0, 1))
    ax.legend(loc="lower right", fontsize="small")
