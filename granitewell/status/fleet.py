"""A node's view of the cluster's membership, as metrics and as text for the console.

This module defines the names and help texts of these metrics, decides whether the view counts as healthy, and
defines the columns; the caller prints them. A view is JSON received over a socket and its contents come from
other nodes, so all text is stripped of characters that could control a terminal.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from granitewell.status.descriptions import TextTable, format_duration, printable
from granitewell.status.metrics import METRIC_PREFIX, Labels, format_labels, format_number

VERSION = 1
MEMBER_STATES = ("alive", "suspect", "dead", "left")
_REQUIRED_KEYS = frozenset(
    {
        "name",
        "phase",
        "turn",
        "members",
        "most",
        "up",
        "configured",
        "unseen",
        "silent",
        "changed_s",
        "health",
        "letters",
        "dropped",
        "roads",
        "streams",
    }
)
_HELP = {
    "cluster_members": ("gauge", "Members by state, this node included once it is one."),
    "cluster_acting_most": ("gauge", "Nodes that may act: shared budgets are divided by it."),
    "cluster_acting_up": ("gauge", "Nodes that share the traffic, smoothed: the forecast counts with it."),
    "cluster_unseen": ("gauge", "Nodes that the settings count and that nobody has named."),
    "cluster_changed_seconds": ("gauge", "Seconds since anything changed of a member."),
    "cluster_health": ("gauge", "How ill this node takes itself to be, 0 to 8."),
    "cluster_twins": ("counter", "Other processes met under this node's name."),
    "cluster_letters_total": ("counter", "Letters by kind and way."),
    "cluster_dropped_total": ("counter", "Letters and claims that were dropped, by reason."),
    "cluster_roads_total": ("counter", "Frames and bytes said and heard, and what was lost on the way."),
    "cluster_streams": ("gauge", "Streams that stand, ours and others'."),
}


def metrics_text(view: Mapping[str, Any]) -> str:
    """Return the view as metrics in Prometheus' text format (see the metrics module)."""
    parts = []
    for name, samples in _samples(view):
        kind, help_text = _HELP[name]
        found = [(labels, value) for labels, value in samples if value is not None]
        if found:
            parts.append(f"# HELP {METRIC_PREFIX}{name} {help_text}\n# TYPE {METRIC_PREFIX}{name} {kind}\n")
            parts += (
                f"{METRIC_PREFIX}{name}{format_labels(labels)} {format_number(value)}\n"
                for labels, value in found
            )
    return "".join(parts)


def _samples(view: Mapping[str, Any]) -> Iterator[tuple[str, list[tuple[Labels, float | None]]]]:
    states = [m["state"] for m in view["members"]]
    yield "cluster_members", [({"state": s}, states.count(s)) for s in MEMBER_STATES]
    singles = {"acting_most": "most", "acting_up": "up", "unseen": "unseen", "changed_seconds": "changed_s",
               "health": "health", "twins": "twins"}  # fmt: skip
    for name, key in singles.items():
        yield f"cluster_{name}", [({}, view[key])]
    yield "cluster_letters_total", [(_kind_and_way(k), n) for k, n in view["letters"].items()]
    for name, key, label in (("dropped_total", "dropped", "reason"), ("roads_total", "roads", "what"),
                             ("streams", "streams", "whose")):  # fmt: skip
        yield f"cluster_{name}", [({label: k}, n) for k, n in (view[key] or {}).items()]


def _kind_and_way(key: str) -> Labels:
    kind, _, way = key.partition(" ")
    return {"kind": kind, "way": way}


# --- Text for the console -------------------------------------------------------------------------------
def parse_view(data: Any) -> dict[str, Any]:
    """Validate decoded JSON as a view.

    Raises:
        ValueError: It is no view, or one of another version.
    """
    if not isinstance(data, dict) or not data.keys() >= _REQUIRED_KEYS:
        raise ValueError("not a node's view of the cluster")
    if data.get("version") != VERSION:
        raise ValueError(
            f"a view of version {printable(data.get('version'))}, and this command knows {VERSION}"
        )
    try:
        summary_lines(data), members_table(data), is_healthy(data)
    except (LookupError, TypeError, AttributeError, ValueError):
        raise ValueError(
            "not a node's view of the cluster: a field is missing or has the wrong type"
        ) from None
    return data


def is_healthy(view: Mapping[str, Any]) -> bool:
    """Return whether this node is a member and no node that it counts is missing.

    A process whose turn is `waiting` or `aside` is healthy without being a member.
    """
    is_waiting = view["turn"] in ("waiting", "aside")
    return bool(is_waiting or (view["phase"] == "in" and not view["silent"] and not view["unseen"]))


def summary_lines(view: Mapping[str, Any]) -> list[str]:
    """Return the lines above the table of members."""
    if view["phase"] is None:
        return [f"{printable(view['name'])} is no member in this process: {printable(view['turn'])}"]
    states = [m["state"] for m in view["members"]]
    count = ", ".join(f"{states.count(s)} {s}" for s in MEMBER_STATES if s in states)
    silent = [printable(x) for x in view["silent"][:5]]
    more = f" and {len(view['silent']) - 5} more" if len(view["silent"]) > 5 else ""
    missing = f"; silent and counted: {', '.join(silent)}{more}" if silent else ""
    never = f"; {view['unseen']} of the {view['configured']} in the settings never named"
    unseen = never if view["unseen"] else ""
    changed = (
        f"changed {format_duration(view['changed_s'])} ago"
        if view["changed_s"] is not None
        else "never changed"
    )
    return [
        f"{printable(view['name'])} is {printable(view['phase'])} at {printable(view['address'])}, "
        f"life {view['life']}; "
        f"{count or 'no members'}; {changed}; own health {view['health']} of 8",
        f"budgets divided by {view['most']}, forecast counts {view['up']:.1f}, the settings say "
        f"{view['configured']}{missing}{unseen}",
    ]


def members_table(view: Mapping[str, Any]) -> TextTable:
    """Return the table of members, those that are dead or suspected first."""
    order = {"dead": 0, "suspect": 1, "alive": 2, "left": 3}
    rows = sorted(view["members"], key=lambda m: (order[m["state"]], m["name"]))
    columns = "member", "state", "since", "role", "zone", "address", "life", "incarnation", "said by"
    return TextTable(
        "Members",
        columns,
        [
            (
                printable(m["name"]),
                printable(m["state"]),
                "-" if m["gone_s"] is None else format_duration(m["gone_s"]),
                printable(m["role"] or "-"),
                printable(m["zone"] or "-"),
                printable(m["address"] or "-"),
                str(m["life"]),
                str(m["incarnation"]),
                printable(m["by"] or "-"),
            )
            for m in rows
        ],
        frozenset(k for k, m in enumerate(rows) if m["state"] in ("dead", "suspect")),
    )


def describe_explanation(data: Any) -> tuple[list[str], TextTable]:
    """Describe how one member's state came about: lines, and a table of the updates received about it.

    Raises:
        ValueError: The data is no such explanation.
    """
    try:
        m = data["member"]
        name, counted = printable(data["name"]), data["counted"]
        heading = f"{printable(data['asked'])} knows nobody called {name}"
        if m is not None:
            by = f", said first by {printable(m['by'])}" if m["by"] else ""
            heading = (
                f"{printable(data['asked'])} has {name} as {printable(m['state'])} in life {m['life']}{by}"
            )
        count = {
            "up": "counts as up",
            "silent": "is silent, and counts in budgets",
            "out": "counts no more",
            "away": "has left, may come back, and counts in budgets for some minutes",
        }
        lines = [heading, f"{name} {count.get(counted, 'does not count here: another role, or never named')}"]
        rows = [
            (
                format_duration(r["ago_s"]),
                printable(r["state"]),
                str(r["life"]),
                str(r["incarnation"]),
                printable(r["told_by"]),
                printable(r["road"]),
                printable(r["by"] or "-"),
            )
            for r in reversed(data["history"])
        ]
    except (LookupError, TypeError, AttributeError, ValueError):
        raise ValueError("not a node's explanation of a member") from None
    columns = "ago", "state", "life", "incarnation", "told by", "road", "first said by"
    return lines, TextTable("What was said, the newest first", columns, rows)
