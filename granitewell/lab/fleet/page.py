"""One page on one run: who saw whom over time, a strip a node, faults as bars over it, the load below.

It owns the page's form (HTML with its picture inside, and the picture as PNG). It must never compute more
than counts of what the judges have said.
"""

from __future__ import annotations

import base64
import io
import json
from html import escape
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("agg")
from matplotlib import pyplot as plt
from matplotlib.axes import Axes
from matplotlib.patches import Patch

from granitewell.lab.cluster.chaos import Trouble
from granitewell.lab.fleet.status_polling import Look
from granitewell.lab.fleet.types import Schedule

COLOURS = {"same": "#7fb98a", "few": "#d9822b", "many": "#b5403a", "none": "#c9c9c9"}
WORDS = {"same": "names exactly whom it can know to live", "few": "misses some",
         "many": "names some who are gone", "none": "no process, no member, or no answer"}  # fmt: skip
LOAD = (("served", "#2a7f3f"), ("late", "#c9a227"), ("refused", "#7a8fb5"), ("failed", "#b5403a"))
STYLE = """
body { font: 15px/1.45 sans-serif; margin: 2em auto; max-width: 75em; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 0.6em 0 1.4em } td, th { padding: 0.2em 0.8em; text-align: right }
th { border-bottom: 1px solid #888 } td:first-child, th:first-child { text-align: left }
pre { background: #f2f2f2; padding: 0.8em; overflow-x: auto } img { max-width: 100% }
.bad { color: #b5403a; font-weight: bold } .good { color: #2a7f3f; font-weight: bold }
"""


def write(schedule: Schedule, found: dict[str, Any], command: str, out: Path) -> Path:
    """Make `fleet.png` and `fleet.html` there; the page's path. OSError: no room."""
    png = picture(schedule, found["looks"], found["done"], found["played"]["report"])
    (out / "fleet.png").write_bytes(png)
    path = out / "fleet.html"
    path.write_text(page(schedule, found, command, png), encoding="utf-8")
    return path


def picture(
    schedule: Schedule, looks: list[tuple[Look, str]], done: list[tuple[Trouble, int, bool]],
    report: dict[str, Any],
) -> bytes:  # fmt: skip
    """The strips, the bars and the load."""
    names = schedule.names
    height = max(len(names) * 0.32, 1.6)
    bars = [t for t, _, on in done if on]
    figure, (top, middle, bottom) = plt.subplots(
        3, 1, sharex=True, figsize=(14, height + 0.22 * min(len(bars), 24) + 3.4), layout="constrained",
        height_ratios=(max(0.22 * min(len(bars), 24), 0.4), height, 2.2),
    )  # fmt: skip
    _bars(top, bars)
    _strips(middle, schedule, looks)
    _load(bottom, report)
    last = max((look.at_us for look, _ in looks), default=0) / 1e6
    first = min((look.at_us for look, _ in looks), default=0) / 1e6
    bottom.set_xlim(min(first, 0.0), max(last, schedule.seconds))
    figure.suptitle(f"{schedule.name}, {len(names)} nodes, seed {schedule.seed}", x=0.01, ha="left")
    raw = io.BytesIO()
    figure.savefig(raw, format="png", dpi=80, metadata={"Software": None})
    plt.close(figure)
    return raw.getvalue()


def _bars(ax: Axes, troubles: list[Trouble]) -> None:
    """What was done to whom, a line each; many are drawn in fewer lines."""
    lines = max(min(len(troubles), 24), 1)
    for k, t in enumerate(troubles):
        y, start, end = lines - 1 - k % lines, t.at_us / 1e6, max(t.until_us, t.at_us) / 1e6
        ax.barh(y, max(end - start, 0.15), left=start, height=0.7, color="#5a6f9a", alpha=0.75)
        if len(troubles) <= 40:
            ax.annotate(_what(t), (start, y), xytext=(3, 0), textcoords="offset points", va="center",
                        fontsize=8)  # fmt: skip
    ax.set(yticks=[], ylim=(-0.7, lines - 0.3))
    ax.set_title("what was done", loc="left", fontsize=9)
    for side in ("top", "right", "left"):
        ax.spines[side].set_visible(False)


def _what(t: Trouble) -> str:
    who = t.nodes
    if t.kind in ("cut", "oneway"):
        first = int(t.value)
        return f"{t.kind} {_few(who[:first])} | {_few(who[first:])}"
    value = f" {t.value:g}" if t.value else ""
    return f"{t.kind} {_few(who) or 'all'}{value} {t.how}".strip()


def _few(names: tuple[str, ...]) -> str:
    return " ".join(names[:6]) + (f" +{len(names) - 6}" if len(names) > 6 else "")


def _strips(ax: Axes, schedule: Schedule, looks: list[tuple[Look, str]]) -> None:
    """A strip a node: its colour says whether it names whom it should, the figure how many it names."""
    by_node: dict[str, list[tuple[Look, str]]] = {n: [] for n in schedule.names}
    for look, verdict in looks:
        by_node[look.node].append((look, verdict))
    ends = max((look.at_us for look, _ in looks), default=0) / 1e6
    for k, name in enumerate(schedule.names):
        y, rows = len(schedule.names) - 1 - k, by_node[name]
        spans: dict[str, list[tuple[float, float]]] = {v: [] for v in COLOURS}
        said = -1
        for n, (look, verdict) in enumerate(rows):
            start = look.at_us / 1e6
            end = rows[n + 1][0].at_us / 1e6 if n + 1 < len(rows) else ends
            spans[verdict].append((start, max(end - start, 0.0)))
            count = len(look.up) if look.whole else -1
            if count != said and count >= 0 and len(schedule.names) <= 12:
                ax.annotate(str(count), (start, y), xytext=(2, 0), textcoords="offset points", va="center",
                            fontsize=7)  # fmt: skip
            said = count
        for verdict, pieces in spans.items():
            ax.broken_barh(pieces, (y - 0.4, 0.8), color=COLOURS[verdict], linewidth=0)
    count = len(schedule.names)
    ax.set(yticks=range(count), yticklabels=schedule.names[::-1], ylim=(-0.6, count - 0.4))
    ax.tick_params(axis="y", labelsize=8 if len(schedule.names) <= 20 else 6)
    ax.legend(handles=[Patch(color=c, label=WORDS[v]) for v, c in COLOURS.items()], ncols=4, fontsize="small",
              loc="lower left", bbox_to_anchor=(0, 1.0), frameon=False)  # fmt: skip


def _load(ax: Axes, report: dict[str, Any]) -> None:
    """Tries a second by how they ended."""
    seconds: dict[int, dict[str, float]] = {}
    for row in report["series"]:
        into = seconds.setdefault(int(row["at_us"]) // 1_000_000, dict.fromkeys((n for n, _ in LOAD), 0.0))
        for name, _ in LOAD:
            into[name] += row.get(name, 0.0)
    times = sorted(seconds)
    layers = [[seconds[t][n] for t in times] for n, _ in LOAD]
    if times:
        names, colours = zip(*LOAD, strict=True)
        ax.stackplot([t + 0.5 for t in times], layers, labels=names, colors=colours)
        ax.legend(loc="lower right", ncols=4, fontsize="small")
    ax.set(xlabel="s", ylabel="tries a second", ylim=(0, None))


def page(schedule: Schedule, found: dict[str, Any], command: str, png: bytes) -> str:
    """The page as text."""
    view = found["view"]
    verdict = "all rules were kept" if found["kept"] else "rules were broken"
    if found["busy"]:
        verdict += "; this machine was too busy for that to be a verdict"
    broken = {**view["broken"], **found["rules"]}
    offences = [(f"{o['at_us'] / 1e6:.2f}", o["rule"], o["text"]) for o in view["offences"]]
    settled = [
        (f"{s['at_s']:.2f}", s["cause"], "-" if s["took_s"] is None else f"{s['took_s']:.2f}")
        for s in view["settled"][:200]
    ]
    image = base64.b64encode(png).decode()
    parts = [
        f"<h1>{escape(schedule.name)}, {len(schedule.names)} nodes, seed {schedule.seed}</h1>",
        f"<p>{escape(schedule.about)}</p>",
        f'<p class="{"good" if found["kept"] else "bad"}">{verdict}</p>',
        f'<p><img alt="members seen by each node over time" src="data:image/png;base64,{image}"></p>',
        "<h2>Rules broken</h2>",
        _table(("rule", "times"), sorted(broken.items())) if broken else "<p>none</p>",
        _table(("at s", "rule", "what"), offences) if offences else "",
        "<h2>Until all agreed</h2>", _table(("after s", "what had changed", "took s"), settled),
        "<p>A dash: not before the next change. Looks are a quarter of a second apart.</p>",
        "<h2>Load</h2>",
        _table(("requests", "in time", "G", "fell"), [(
            found["requests"], f"{found['in_time']:.4f}", f"{found['g']:.4f}", found["fell"])]),
        "<h2>Again</h2>", f"<pre>{escape(command)}</pre>",
        "<p>The same again: the schedule, the load, what the odds on the roads are. Not the same: when a "
        "process is given a core, and so the order of what happens within milliseconds.</p>",
        f"<h2>Notes</h2><pre>{escape(json.dumps(found['notes'], indent=1))}</pre>",
    ]  # fmt: skip
    head = f'<meta charset="utf-8"><title>{escape(schedule.name)}</title><style>{STYLE}</style>'
    return f"<!doctype html><html><head>{head}</head><body>{''.join(parts)}</body></html>"


def _table(columns: tuple[str, ...], rows: Any) -> str:
    head = "".join(f"<th>{escape(c)}</th>" for c in columns)
    body = "".join("<tr>" + "".join(f"<td>{escape(str(x))}</td>" for x in row) + "</tr>" for row in rows)
    return f"<table><tr>{head}</tr>{body}</table>"
