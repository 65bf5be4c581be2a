"""Describes a snapshot in lines and tables for a person on call.

This module decides whether the node counts as healthy, and defines the summary lines and the columns; the
caller prints them. Snapshots are JSON received over a socket and names in them come from discovery, so all
text is stripped of characters that could control a terminal.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, NamedTuple, cast

from granitewell.status.types import VERSION, PairRow, Snapshot

_DURATION_UNITS = (
    (10, 1, "{:.1f} s"),
    (120, 1, "{:.0f} s"),
    (7200, 60, "{:.0f} min"),
    (172_800, 3600, "{:.1f} h"),
)
_REQUIRED_KEYS = frozenset(Snapshot.__annotations__)


class TextTable(NamedTuple):
    """A table of text cells; `highlighted` holds the indices of the rows to emphasize."""

    title: str
    columns: Sequence[str]
    rows: Sequence[Sequence[str]]
    highlighted: frozenset[int] = frozenset()


def parse_snapshot(data: Any) -> Snapshot:
    """Validate decoded JSON as a snapshot.

    Raises:
        ValueError: It is no snapshot, or one of another version.
    """
    if not isinstance(data, dict) or not data.keys() >= _REQUIRED_KEYS:
        raise ValueError("not the status of a node")
    if data["version"] != VERSION:
        raise ValueError(
            f"a status of version {printable(data['version'])}, and this command knows {VERSION}"
        )
    snapshot = cast(Snapshot, data)
    try:
        summary_lines(snapshot), tables(snapshot), is_healthy(snapshot)
    except (LookupError, TypeError, AttributeError, ValueError):
        raise ValueError("not the status of a node: a field is missing or has the wrong type") from None
    return snapshot


def is_healthy(s: Snapshot) -> bool:
    """Return whether the node is ready and no (endpoint, class) pair is unhealthy."""
    return s["phase"] == "ready" and s["judged"]["ill"] == 0


def printable(value: object) -> str:
    """Return the value as text with every unprintable character replaced, so it can't control a terminal."""
    return "".join(c if c.isprintable() else "?" for c in str(value))


def format_duration(seconds: float | None) -> str:
    """Format a duration in two or three digits: `0.3 s`, `12 s`, `5 min`, `3.1 h`."""
    if seconds is None:
        return "never"
    for limit_s, unit_s, template in _DURATION_UNITS:
        if seconds < limit_s:
            return template.format(seconds / unit_s)
    return f"{seconds / 86_400:.1f} d"


def summary_lines(s: Snapshot) -> list[str]:
    """Return the lines above the tables: node, endpoints, balancer, requests and calls, discovery."""
    m, fleet, total = s["module"], s["fleet"], s["descriptors"]["together"]
    unhealthy, pairs = s["judged"]["ill"], s["judged"]["pairs"]
    oldest = max((c["oldest_ms"] for c in s["held"]["classes"]), default=0.0)
    overloaded_classes = [printable(c["class"]) for c in s["classes"] if c["full"]]
    return [
        f"{printable(s['name'])} is {printable(s['phase'])}, up {format_duration(s['uptime_s'])}; "
        f"{unhealthy} of {pairs} pairs ill; "
        f"endpoints {fleet['ready']} ready, {fleet['draining']} draining, {fleet['gone']} gone",
        f"prefix {m['prefix']} of {m['endpoints']}, c {m['c']:.2f}; late {m['late']:.0%}, "
        f"shedding {m['shedding']:.0%}, mean {m['mean_ms']:.0f} ms"
        + (f"; the fleet is full for {', '.join(overloaded_classes)}" if overloaded_classes else ""),
        f"held {s['held']['total']}, the oldest {oldest:.0f} ms; calls {s['calls']['total']}, "
        f"{s['calls']['dialing']} dialing, {s['calls']['idle']} idle connections; "
        f"descriptors {total['used']} of {total['allowed']}",
        _discovery_line(s),
    ]


def _discovery_line(s: Snapshot) -> str:
    d = s["discovery"]
    failed = f"; failed {_ago(d['failed_s'])}: {printable(d['failure'])}" if d["failed_s"] is not None else ""
    return (
        f"discovery {printable(d['address'])}: heard {_ago(d['heard_s'])}, news {_ago(d['news_s'])}{failed}"
    )


def _ago(seconds: float | None) -> str:
    return "never" if seconds is None else f"{format_duration(seconds)} ago"


def tables(s: Snapshot) -> list[TextTable]:
    """Return the tables that have rows, the one of unhealthy pairs first."""
    unhealthy = [p for p in s["pairs"] if p["state"] != "well"]
    candidates = [_unhealthy_table(s, unhealthy), _held_table(s), _endpoints_table(s)]
    return [table for table in candidates if table.rows]


def _unhealthy_table(s: Snapshot, unhealthy: list[PairRow]) -> TextTable:
    unhealthy_count = s["judged"]["ill"]
    title = (
        "Ill"
        if unhealthy_count <= len(unhealthy)
        else f"Ill: the worst {len(unhealthy)} of {unhealthy_count}"
    )
    columns = "endpoint", "class", "cause", "since", "failures", "own part", "in flight", "last tried"
    return TextTable(
        title,
        columns,
        [
            (
                printable(p["endpoint"]),
                printable(p["class"]),
                _cause_text(p),
                format_duration(p["since_s"]),
                f"{p['failures']:.0%}",
                f"{p['own_failures']:.0%}",
                str(p["in_flight"]),
                _ago(p["tried_s"]),
            )
            for p in unhealthy
        ],
        frozenset(range(len(unhealthy))),
    )


def _cause_text(p: PairRow) -> str:
    return printable(p["cause"]) + (", but the fleet is full" if p["state"] == "full" else "")


def _held_table(s: Snapshot) -> TextTable:
    classes = s["held"]["classes"]
    ages = list(classes[0]["ages"]) if classes else []
    columns = "class", "held", *(printable(f"under {x} ms" if x.isdigit() else x) for x in ages), "oldest"
    return TextTable("Held requests", columns, [
        (printable(c["class"]), str(c["total"]), *map(str, c["ages"].values()), f"{c['oldest_ms']:.0f} ms")
        for c in classes if c["total"]
    ])  # fmt: skip


def _endpoints_table(s: Snapshot) -> TextTable:
    shown, total = len(s["endpoints"]), sum(cast(dict[str, int], s["fleet"]).values())
    title = "Fleet" if shown == total else f"Fleet: {shown} of {total}"
    columns = ("endpoint", "address", "state", "since", "started", "zone", "prefix", "warm", "speed", "ill",
               "calls", "dialing", "idle", "oldest call")  # fmt: skip
    rows = [
        (
            printable(e["endpoint"]),
            printable(e["address"]),
            printable(e["state"]),
            _duration_or_dash(e["since_s"]),
            _duration_or_dash(e["started_s"]),
            printable(e["zone"]),
            "yes" if e["in_prefix"] else "no",
            "-" if e["warm"] is None else f"{e['warm']:.0%}",
            "-" if e["speed"] is None else f"{e['speed']:.2f}",
            str(e["ill"]),
            str(e["calls"]),
            str(e["dialing"]),
            str(e["idle"]),
            "-" if e["oldest_ms"] is None else f"{e['oldest_ms']:.0f} ms",
        )
        for e in s["endpoints"]
    ]
    return TextTable(title, columns, rows, frozenset(k for k, e in enumerate(s["endpoints"]) if e["ill"]))


def _duration_or_dash(seconds: float | None) -> str:
    return "-" if seconds is None else format_duration(seconds)
