"""What nodes share, as words and as metrics.

It owns the columns, the names and help of these metrics, and the check of an answer's form. It must never
print, and passes on no character that could steer a terminal. An answer here is JSON that somebody sent.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from granitewell.status.descriptions import Sheet, plain
from granitewell.status.metrics import PREFIX, Labels, labelled, number

VERSION = 1
_HELP = {
    "shared_count_low": ("gauge", "Requests that all nodes have taken in the window at least, by tenant."),
    "shared_count_high": ("gauge", "The same at most."),
    "shared_letters_total": ("counter", "Letters on counts, and what was dropped, by reason."),
}


def text(view: Mapping[str, Any]) -> str:
    """Lines in Prometheus' format (see metrics)."""
    parts = []
    for name, samples in _samples(view):
        kind, said = _HELP[name]
        parts.append(f"# HELP {PREFIX}{name} {said}\n# TYPE {PREFIX}{name} {kind}\n")
        parts += (f"{PREFIX}{name}{labelled(labels)} {number(value)}\n" for labels, value in samples)
    return "".join(parts)


def _samples(view: Mapping[str, Any]) -> Iterator[tuple[str, list[tuple[Labels, float]]]]:
    for end in ("low", "high"):
        rows: list[tuple[Labels, float]] = [({"tenant": r["key"] or "all"}, r[end]) for r in view["keys"]]
        yield f"shared_count_{end}", rows
    yield "shared_letters_total", [({"what": what}, n) for what, n in view["letters"].items()]


def counted(data: Any) -> tuple[list[str], list[Sheet]]:
    """The answer of a node in words: lines, then tables. ValueError: it is no such answer."""
    try:
        if data["version"] != VERSION:
            raise ValueError(f"speaks version {plain(data['version'])}, this one {VERSION}")
        lines = [f"{plain(data['name'])}: in the last {data['window_s']:g} s"]
        if not data["speaks"]:
            lines.append("this process is no member now: what others use is not asked for")
        if data["cut"]:
            lines.append("there are more tenants than are shown")
        rows = [_row(row) for row in data["keys"]]
        sheets = [Sheet("what all nodes have taken", ("tenant", "at least", "at most", "width"), rows)]
        for row in data["keys"]:
            if row.get("parts"):
                sheets.append(_parts(row))
    except (LookupError, TypeError, AttributeError) as error:
        raise ValueError(f"no answer of a node: {type(error).__name__}") from None
    return lines, sheets


def _row(row: Mapping[str, Any]) -> tuple[str, ...]:
    low, high = row["low"], row["high"]
    width = f"{(high - low) / ((high + low) / 2):.1%}" if high else "-"
    return plain(row["key"] or "all"), str(int(low)), str(int(high)), width


def _parts(row: Mapping[str, Any]) -> Sheet:
    columns = "node", "at least", "at most", "heard up to", "unheard", "edge", "others"
    rows, lit = [], []
    for k, part in enumerate(row["parts"]):
        age = "never" if part["age_s"] is None else f"{part['age_s']:.2f} s ago"
        rows.append((plain(part["name"]), *(str(int(part[x])) for x in ("low", "high")), age,
                     *(str(int(part[x])) for x in ("unheard", "edge", "others"))))  # fmt: skip
        if part["unheard"] > part["low"]:
            lit.append(k)
    if row["unnamed"]:
        most = str(int(row["unnamed"]))
        rows.append(("nobody has named", "0", most, "never", most, "0", "0"))
    return Sheet(f"{plain(row['key'] or 'all')}: by node", columns, rows, frozenset(lit))
