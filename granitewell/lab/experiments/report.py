"""The report of an experiment: one HTML page that needs nothing else, and its plots as PNG files beside it.

It owns the page's form and the plots. It must never play a day or compute what figures.py does not. Plots are
drawn by matplotlib without a display; the page holds them as data.
"""

from __future__ import annotations

import base64
import html
import io
import math
from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot
from matplotlib.figure import Figure

from granitewell.lab.experiments.figures import (
    BETTER_LOW,
    FIGURES,
    Compared,
    Troubles,
    compare,
    goodput,
    latencies,
    span,
    together,
)
from granitewell.lab.experiments.plan import Plan
from granitewell.lab.experiments.store import Kept

PHASES = ("before", "during", "after_2s", "back_s")
_STYLE = """
body{font:15px/1.45 system-ui,sans-serif;max-width:76rem;margin:2rem auto;padding:0 1rem;color:#1d2330}
table{border-collapse:collapse;margin:.6rem 0 1.4rem}
td,th{padding:.2rem .7rem;border-bottom:1px solid #d8dce4;
text-align:right}td:first-child,th:first-child{text-align:left}.up{color:#0a6b3d}.down{color:#a32020}
code,pre{background:#f3f5f8;padding:.1rem .3rem}img{max-width:100%}.dim{color:#6b7385}
"""


def write(folder: Path, plan: Plan, kept: Sequence[Kept], about: dict[str, str]) -> Path:
    """Write report.html and the plots into the folder; the page's path. OSError where it can't be written."""
    troubles = plan.troubles()
    rows = compare(kept, plan.base, troubles, plan.oracle)
    parts = [f"<h1>{html.escape(plan.name)}</h1><p>{html.escape(plan.question)}</p>"]
    parts.append(_facts(plan, kept, about))
    parts.append(_overview(folder, plan, rows) + _phases(plan, kept, rows, troubles))
    for setting in plan.settings:
        label, name = setting.label, _plain(setting.label)
        parts.append(f"<h2>{html.escape(label)}</h2>{_table(plan, rows, label)}")
        parts.append(_picture(folder, f"goodput-{name}", _goodput(plan, kept, label, span(troubles, label))))
        parts.append(_picture(folder, f"latency-{name}", _latency(plan, kept, label)))
    parts.append(_failures(kept) + _commands(kept))
    page = folder / "report.html"
    title = html.escape(plan.name)
    head = f"<!doctype html><meta charset=utf-8><title>{title}</title><style>{_STYLE}</style>"
    page.write_text(head + "\n".join(parts))
    return page


def _plain(label: str) -> str:
    return "".join(c if c.isalnum() or c in "-._" else "-" for c in label)


def _facts(plan: Plan, kept: Sequence[Kept], about: dict[str, str]) -> str:
    wanted, done = len(plan.runs()), sum(not k.failed for k in kept)
    spent = sum(k.seconds for k in kept)
    facts = {
        "runs": f"{done} of {wanted} done", "seeds": ", ".join(map(str, plan.seeds)), "shell": plan.shell,
        "base": plan.base, "time of all runs": f"{spent:.0f} s", **about,
    }  # fmt: skip
    rows = "".join(f"<tr><td>{html.escape(k)}<td>{html.escape(v)}" for k, v in facts.items())
    text = html.escape(plan.text)
    return f"<table>{rows}</table><details><summary>The experiment</summary><pre>{text}</pre></details>"


def _cell(row: Compared, base: bool) -> str:
    if base or not row.pairs:
        return f"<td>{row.mean:.4g}<td>{row.worst:.4g}<td class=dim>"
    text = f"{row.difference:+.4f}"
    if not math.isnan(row.low):
        text += f" [{row.low:+.4f}, {row.high:+.4f}]"
    good = (row.difference > 0) == (row.figure not in BETTER_LOW)
    kind = ("up" if good else "down") if row.told_apart else "dim"
    return f"<td>{row.mean:.4g}<td>{row.worst:.4g}<td class={kind}>{text}"


def _table(plan: Plan, rows: Sequence[Compared], setting: str) -> str:
    made = ["<table><tr><th>figure<th>variant<th>mean<th>worst seed<th>against the base, paired, 95%"]
    found = {(r.figure, r.variant): r for r in rows if r.setting == setting}
    for figure in FIGURES:
        for variant in plan.variants:
            row = found.get((figure, variant.name))
            if row is not None:
                first = variant is plan.variants[0]
                name = f'<span title="{html.escape(FIGURES[figure])}">{figure}</span>' if first else ""
                made.append(
                    f"<tr><td>{name}<td>{html.escape(variant.name)}{_cell(row, variant.name == plan.base)}"
                )
    return "".join(made) + "</table>"


def _overview(folder: Path, plan: Plan, rows: Sequence[Compared]) -> str:
    """G of every variant on every scenario, with the interval of its difference to the base."""
    figure, axes = pyplot.subplots(figsize=(10, 1.2 + 0.32 * len(plan.settings) * len(plan.variants)))
    at = 0.0
    ticks: list[tuple[float, str]] = []
    for setting in plan.settings:
        for k, variant in enumerate(plan.variants):
            row = next((r for r in rows if (r.setting, r.variant, r.figure)
                        == (setting.label, variant.name, "g")), None)  # fmt: skip
            if row is not None:
                axes.barh(at, row.mean, 0.8, color=f"C{k}")
                axes.plot([row.worst], [at], "k|", markersize=9)
            ticks.append((at, f"{setting.label}  {variant.name}"))
            at += 1.0
        at += 0.6
    axes.set_yticks([t for t, _ in ticks], [n for _, n in ticks], fontsize=8)
    axes.invert_yaxis()
    lowest = min((r.worst for r in rows if r.figure == "g"), default=0.0)
    axes.set_xlim(max(min(lowest - 0.05, 0.9), 0.0) if lowest > 0 else min(lowest, 0.0), 1.0)
    axes.set_xlabel("G: mean over the seeds (bar) and worst seed (mark)")
    return "<h2>All scenarios</h2>" + _picture(folder, "overview", figure)


def _phases(plan: Plan, kept: Sequence[Kept], rows: Sequence[Compared], troubles: Troubles) -> str:
    """Before, during and after the trouble, of all seeds together; nothing where no day has any."""
    shares = {(r.setting, r.variant): r.mean for r in rows if r.figure == "of_oracle"}
    waste = {(r.setting, r.variant): r.mean for r in rows if r.figure == "waste"}
    made = []
    for setting in plan.settings:
        for variant in plan.variants:
            key = setting.label, variant.name
            told = together(kept, *key, troubles)
            if told:
                figures = [told.get(name, math.nan) for name in PHASES]
                figures += [shares.get(key, math.nan), waste.get(key, math.nan)]
                cells = "".join(f"<td>{'' if math.isnan(x) else f'{x:.4g}'}" for x in figures)
                made.append(f"<tr><td>{html.escape(f'{setting.label}  {variant.name}')}{cells}")
    if not made:
        return ""
    head = "".join(f'<th title="{html.escape(FIGURES[f])}">{f}' for f in (*PHASES, "of_oracle", "waste"))
    return f"<h2>Before, during and after</h2><table><tr><th>scenario, variant{head}{''.join(made)}</table>"


def _goodput(plan: Plan, kept: Sequence[Kept], setting: str, trouble: tuple[float, float] | None) -> Figure:
    figure, axes = pyplot.subplots(figsize=(10, 3.4))
    for at in trouble or ():
        axes.axvline(at, color="#999", linewidth=0.8, linestyle="--")  # it begins, and ends
    for k, variant in enumerate(plan.variants):
        times, shares = goodput(kept, setting, variant.name)
        if times:
            axes.plot(times, shares, color=f"C{k}", linewidth=1.2, label=variant.name)
    axes.set_xlabel("seconds")
    axes.set_ylabel("worth earned of worth asked")
    axes.set_ylim(0.0, 1.05)
    if axes.get_legend_handles_labels()[0]:
        axes.legend(loc="lower right", fontsize=8)
    axes.set_title("Goodput in each 250 ms, all seeds", fontsize=10)
    return figure


def _latency(plan: Plan, kept: Sequence[Kept], setting: str) -> Figure:
    figure, axes = pyplot.subplots(figsize=(10, 3.4))
    parts = [1 - 10 ** (-k / 20) for k in range(2, 61)]  # to 99.9%
    styles = ("-", "--", ":", "-.")
    for k, variant in enumerate(plan.variants):
        for c, (name, held) in enumerate(sorted(latencies(kept, setting, variant.name).items())):
            if held.n:
                axes.plot([1 / (1 - p) for p in parts], [held.percentile(p) / 1000 for p in parts],
                          color=f"C{k}", linestyle=styles[c % 4], label=f"{variant.name} {name}")  # fmt: skip
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xticks([2, 10, 100, 1000], ["50%", "90%", "99%", "99.9%"])
    axes.set_ylabel("ms")
    if axes.lines:
        axes.legend(loc="upper left", fontsize=7, ncols=2)
    axes.set_title("Latency of what was served, all seeds", fontsize=10)
    return figure


def _picture(folder: Path, name: str, figure: Figure) -> str:
    figure.tight_layout()
    held = io.BytesIO()
    figure.savefig(held, format="png", dpi=110)
    pyplot.close(figure)
    (folder / f"{name}.png").write_bytes(held.getvalue())
    data = base64.b64encode(held.getvalue()).decode()
    return f'<p><img alt="{name}" src="data:image/png;base64,{data}"></p>'


def _failures(kept: Sequence[Kept]) -> str:
    failed = [k for k in kept if k.failed]
    if not failed:
        return ""
    names = [html.escape(f"{k.variant}, {k.setting}, seed {k.seed}") for k in failed]
    rows = "".join(f"<tr><td>{n}<td>{html.escape(k.failed)}" for n, k in zip(names, failed, strict=True))
    return f"<h2>Runs that failed</h2><table>{rows}</table>"


def _commands(kept: Sequence[Kept]) -> str:
    """Each run's own command, with its digest: the same command must give the same one."""
    lines = html.escape("\n".join(f"{k.command}   # {k.variant}, digest {k.digest or '-'}" for k in kept))
    return f"<h2>Every run by hand</h2><details><summary>Commands</summary><pre>{lines}</pre></details>"
