"""A snapshot in words and tables, for a person on call.

It owns the verdict (is anything wrong?), the head line and the columns. It must never print, and passes on no
character that could steer a terminal: names come from discovery. A snapshot here is JSON that somebody sent.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple, cast

from granitewell.status.types import VERSION, PairRow, Snapshot

_SPANS = (10, 1, "{:.1f} s"), (120, 1, "{:.0f} s"), (7200, 60, "{:.0f} min"), (172_800, 3600, "{:.1f} h")
_KEYS = frozenset(Snapshot.__annotations__)


class Sheet(NamedTuple):
    """One table: all cells are text; `lit` holds the rows that should stand out."""

    title: str
    columns: Sequence[str]
    rows: Sequence[Sequence[str]]
    lit: frozenset[int] = frozenset()


def taken(data: Any) -> Snapshot:
    """The snapshot that JSON holds; ValueError where it is none, or one of another version."""
    if not isinstance(data, dict) or not data.keys() >= _KEYS:
        raise ValueError("not the status of a node")
    if data["version"] != VERSION:
        raise ValueError(f"a status of version {plain(data['version'])}, and this command knows {VERSION}")
    snapshot = cast(Snapshot, data)
    try:
        head(snapshot), sheets(snapshot), good(snapshot)
    except (LookupError, TypeError, AttributeError, ValueError):
        raise ValueError("not the status of a node: a field is missing or of another kind") from None
    return snapshot


def good(s: Snapshot) -> bool:
    """Is the node ready, and no class at any endpoint ill?"""
    return s["phase"] == "ready" and s["judged"]["ill"] == 0


def plain(value: object) -> str:
    """Text that can't steer a terminal."""
    return "".join(c if c.isprintable() else "?" for c in str(value))


def span(seconds: float | None) -> str:
    """A time in two or three figures: `0.3 s`, `12 s`, `5 min`, `3.1 h`."""
    if seconds is None:
        return "never"
    for below, part, form in _SPANS:
        if seconds < below:
            return form.format(seconds / part)
    return f"{seconds / 86_400:.1f} d"


def head(s: Snapshot) -> list[str]:
    """The lines on top: the node, its fleet, its decisions, what it holds, its discovery."""
    m, fleet, use = s["module"], s["fleet"], s["descriptors"]["together"]
    ill, pairs = s["judged"]["ill"], s["judged"]["pairs"]
    oldest = max((c["oldest_ms"] for c in s["held"]["classes"]), default=0.0)
    full = [plain(c["class"]) for c in s["classes"] if c["full"]]
    return [
        f"{plain(s['name'])} is {plain(s['phase'])}, up {span(s['uptime_s'])}; {ill} of {pairs} pairs ill; "
        f"endpoints {fleet['ready']} ready, {fleet['draining']} draining, {fleet['gone']} gone",
        f"prefix {m['prefix']} of {m['endpoints']}, c {m['c']:.2f}; late {m['late']:.0%}, "
        f"shedding {m['shedding']:.0%}, mean {m['mean_ms']:.0f} ms"
        + (f"; the fleet is full for {', '.join(full)}" if full else ""),
        f"held {s['held']['total']}, the oldest {oldest:.0f} ms; calls {s['calls']['total']}, "
        f"{s['calls']['dialing']} dialing, {s['calls']['idle']} idle connections; "
        f"descriptors {use['used']} of {use['allowed']}",
        _discovery(s),
    ]  # fmt: skip


def _discovery(s: Snapshot) -> str:
    d = s["discovery"]
    failed = f"; failed {_ago(d['failed_s'])}: {plain(d['failure'])}" if d["failed_s"] is not None else ""
    return f"discovery {plain(d['address'])}: heard {_ago(d['heard_s'])}, news {_ago(d['news_s'])}{failed}"


def _ago(seconds: float | None) -> str:
    return "never" if seconds is None else f"{span(seconds)} ago"


def sheets(s: Snapshot) -> list[Sheet]:
    """The tables, ill pairs first; none that has no rows."""
    ill = [p for p in s["pairs"] if p["state"] != "well"]
    made = [_ill(s, ill), _held(s), _fleet(s)]
    return [sheet for sheet in made if sheet.rows]


def _ill(s: Snapshot, ill: list[PairRow]) -> Sheet:
    all_ill = s["judged"]["ill"]
    title = "Ill" if all_ill <= len(ill) else f"Ill: the worst {len(ill)} of {all_ill}"
    columns = "endpoint", "class", "cause", "since", "failures", "own part", "in flight", "last tried"
    return Sheet(title, columns, [
        (plain(p["endpoint"]), plain(p["class"]), _why(p), span(p["since_s"]), f"{p['failures']:.0%}",
         f"{p['own_failures']:.0%}", str(p["in_flight"]), _ago(p["tried_s"]))
        for p in ill
    ], frozenset(range(len(ill))))  # fmt: skip


def _why(p: PairRow) -> str:
    return plain(p["cause"]) + (", but the fleet is full" if p["state"] == "full" else "")


def _held(s: Snapshot) -> Sheet:
    classes = s["held"]["classes"]
    ages = list(classes[0]["ages"]) if classes else []
    columns = "class", "held", *(plain(f"under {x} ms" if x.isdigit() else x) for x in ages), "oldest"
    return Sheet("Held requests", columns, [
        (plain(c["class"]), str(c["total"]), *map(str, c["ages"].values()), f"{c['oldest_ms']:.0f} ms")
        for c in classes if c["total"]
    ])  # fmt: skip


def _fleet(s: Snapshot) -> Sheet:
    shown, total = len(s["endpoints"]), sum(cast(dict[str, int], s["fleet"]).values())
    title = "Fleet" if shown == total else f"Fleet: {shown} of {total}"
    columns = ("endpoint", "address", "state", "since", "started", "zone", "prefix", "warm", "speed", "ill",
               "calls", "dialing", "idle", "oldest call")  # fmt: skip
    rows = [
        (plain(e["endpoint"]), plain(e["address"]), plain(e["state"]), _or_dash(e["since_s"]),
         _or_dash(e["started_s"]), plain(e["zone"]), "yes" if e["in_prefix"] else "no",
         "-" if e["warm"] is None else f"{e['warm']:.0%}", "-" if e["speed"] is None else f"{e['speed']:.2f}",
         str(e["ill"]), str(e["calls"]), str(e["dialing"]), str(e["idle"]),
         "-" if e["oldest_ms"] is None else f"{e['oldest_ms']:.0f} ms")
        for e in s["endpoints"]
    ]  # fmt: skip
    return Sheet(title, columns, rows, frozenset(k for k, e in enumerate(s["endpoints"]) if e["ill"]))


def _or_dash(seconds: float | None) -> str:
    return "-" if seconds is None else span(seconds)
