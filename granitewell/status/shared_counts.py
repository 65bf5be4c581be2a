"""The counts that nodes share, as text for the console and as metrics.

This module defines the columns, the names and help texts of these metrics, and validates a node's response;
the caller prints. A response is JSON received over a socket, so all text is stripped of characters that could
control a terminal.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from granitewell.status.descriptions import TextTable, printable
from granitewell.status.metrics import METRIC_PREFIX, Labels, format_labels, format_number

VERSION = 1
_HELP = {
    "shared_count_low": ("gauge", "Requests that all nodes have taken in the window at least, by tenant."),
    "shared_count_high": ("gauge", "The same at most."),
    "shared_letters_total": ("counter", "Letters on counts, and what was dropped, by reason."),
}


def metrics_text(view: Mapping[str, Any]) -> str:
    """Return the counts as metrics in Prometheus' text format (see the metrics module)."""
    parts = []
    for name, samples in _samples(view):
        kind, help_text = _HELP[name]
        parts.append(f"# HELP {METRIC_PREFIX}{name} {help_text}\n# TYPE {METRIC_PREFIX}{name} {kind}\n")
        parts += (
            f"{METRIC_PREFIX}{name}{format_labels(labels)} {format_number(value)}\n"
            for labels, value in samples
        )
    return "".join(parts)


def _samples(view: Mapping[str, Any]) -> Iterator[tuple[str, list[tuple[Labels, float]]]]:
    for end in ("low", "high"):
        rows: list[tuple[Labels, float]] = [({"tenant": r["key"] or "all"}, r[end]) for r in view["keys"]]
        yield f"shared_count_{end}", rows
    yield "shared_letters_total", [({"what": what}, n) for what, n in view["letters"].items()]


def describe_counts(data: Any) -> tuple[list[str], list[TextTable]]:
    """Describe a node's response: lines, then tables.

    Raises:
        ValueError: The data is no such response.
    """
    try:
        if data["version"] != VERSION:
            raise ValueError(f"version {printable(data['version'])}, and this command knows {VERSION}")
        lines = [f"{printable(data['name'])}: in the last {data['window_s']:g} s"]
        if not data["speaks"]:
            lines.append("this process is no member now: what others use is not asked for")
        if data["cut"]:
            lines.append("there are more tenants than are shown")
        rows = [_tenant_row(row) for row in data["keys"]]
        tables = [TextTable("what all nodes have taken", ("tenant", "at least", "at most", "width"), rows)]
        for row in data["keys"]:
            if row.get("parts"):
                tables.append(_node_table(row))
    except (LookupError, TypeError, AttributeError) as error:
        raise ValueError(f"no answer of a node: {type(error).__name__}") from None
    return lines, tables


def _tenant_row(row: Mapping[str, Any]) -> tuple[str, ...]:
    low, high = row["low"], row["high"]
    width = f"{(high - low) / ((high + low) / 2):.1%}" if high else "-"
    return printable(row["key"] or "all"), str(int(low)), str(int(high)), width


def _node_table(row: Mapping[str, Any]) -> TextTable:
    columns = "node", "at least", "at most", "heard up to", "unheard", "edge", "others"
    rows, highlighted = [], []
    for k, part in enumerate(row["parts"]):
        age = "never" if part["age_s"] is None else f"{part['age_s']:.2f} s ago"
        rows.append((printable(part["name"]), *(str(int(part[x])) for x in ("low", "high")), age,
                     *(str(int(part[x])) for x in ("unheard", "edge", "others"))))  # fmt: skip
        if part["unheard"] > part["low"]:
            highlighted.append(k)
    if row["unnamed"]:
        most = str(int(row["unnamed"]))
        rows.append(("nobody has named", "0", most, "never", most, "0", "0"))
    return TextTable(f"{printable(row['key'] or 'all')}: by node", columns, rows, frozenset(highlighted))
