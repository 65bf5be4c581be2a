"""What can't be together in a scenario, though each key by itself is right.

It owns the checks that need more than one field: sums of shares, aims and deadlines, names that a fault uses,
spans within the day. It must never read a file; every problem is a line `field: found ...; allowed: ...`. A
range is held to its worst end, so that what passes here can be drawn from any seed.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterable, Iterator

from granitewell.lab.faults import CATALOGUE, Entry
from granitewell.lab.scenarios.types import FaultTable, Figure, GoalTable, LoadTable, ScenarioTable
from granitewell.lab.scenarios.values import allowed, fits, shown, unknown

NAME = re.compile(r"[^\s,>:]+")
OWN_NAME = re.compile(r"(.*-)?[dn]\d+.*")  # endpoints and nodes are called so
PART = re.compile(r"part:(\d*\.?\d+)(?:\.\.(\d*\.?\d+))?")
COUNT = re.compile(r"count:(\d+)")
LINK_ILLS = ("delay_ms", "loss", "silent", "refuse")
OTHERS = re.compile(r"(?:others|same):(\d+)")


def low(value: Figure) -> float:
    """The smallest value that may be drawn."""
    return float(value[0] if isinstance(value, tuple) else value)


def high(value: Figure) -> float:
    """The largest value that may be drawn."""
    return float(value[1] if isinstance(value, tuple) else value)


def combinations(table: ScenarioTable) -> list[str]:
    """One line for each thing that can't be together."""
    lines = [*_names(table), *_shares(table), *_times(table), *_load(table.load), *_goal(table.goal)]
    for k, fault in enumerate(table.faults):
        lines += [f"fault[{k}].{line}" for line in _Faults(table, k, fault).lines()]
    lines += [
        f"chaos.kinds: found {kind!r}; allowed: {', '.join(CATALOGUE)}"
        for kind in table.chaos.kinds if kind not in CATALOGUE
    ]  # fmt: skip
    return lines


def _names(table: ScenarioTable) -> Iterator[str]:
    lists: tuple[tuple[str, Iterable[str]], ...] = (
        ("zones", table.zones),
        ("class", [c.name for c in table.classes]),
        ("tenant", [t.name for t in table.tenants]),
        ("kind", [k.name for k in table.kinds]),
    )
    if not table.zones:
        yield "zones: found []; allowed: one name or more"
    for path, names in lists:
        seen: list[str] = []
        for k, name in enumerate(names):
            field = f"zones[{k}]" if path == "zones" else f"{path}[{k}].name"
            if name in seen:
                yield f"{field}: found {name!r} twice; allowed: a name of its own"
            if not NAME.fullmatch(name) or path == "zones" and OWN_NAME.fullmatch(name):
                yield f"{field}: found {name!r}; allowed: no spaces, commas, colons or >, and not d1 or n1"
            seen.append(name)


def _shares(table: ScenarioTable) -> Iterator[str]:
    for path, shares in (
        ("class", [c.share for c in table.classes]),
        ("tenant", [t.share for t in table.tenants]),
        ("kind", [k.share for k in table.kinds]),
    ):
        total = sum((low(s) + high(s)) / 2 for s in shares)
        if abs(total - 1.0) > 0.05:
            yield f"{path}[].share: found a sum of {total:.3g}; allowed: about 1 (ranges by their middle)"
        if sum(low(s) for s in shares) <= 0.0:
            yield f"{path}[].share: found shares that may all be 0; allowed: at least one above 0"
    if sum(low(t.usage) * low(t.share) for t in table.tenants) <= 0.0:
        yield "tenant[].usage: found co-operatives that may send nothing; allowed: at least one above 0"


def _times(table: ScenarioTable) -> Iterator[str]:
    for k, c in enumerate(table.classes):
        if high(c.aim_ms) > low(c.deadline_ms):
            yield (
                f"class[{k}].aim_ms: found up to {high(c.aim_ms):g}; "
                f"allowed: up to its deadline_ms, {low(c.deadline_ms):g}"
            )
    chaos = table.chaos
    if chaos.until_s is not None and low(chaos.until_s) <= high(chaos.from_s):
        yield f"chaos.until_s: found {low(chaos.until_s):g}; allowed: after from_s, {high(chaos.from_s):g}"


def _load(load: LoadTable) -> Iterator[str]:
    given = [n for n in ("rate_per_s", "utilisation") if getattr(load, n) is not None]
    given += ["trace"] if load.trace else []
    if len(given) != 1:
        yield f"load: found {' and '.join(given) or 'none'}; allowed: one of rate_per_s, utilisation, trace"
    shapes = load.shape if isinstance(load.shape, tuple) else (load.shape,)
    if "steps" in shapes and not any(f for _, f in load.steps):
        yield "load.steps: found no factor above 0; allowed: at least one, as shape is steps"
    if load.steps and "steps" not in shapes:
        yield "load.steps: found steps; allowed: none, as shape is not steps"


def _goal(goal: GoalTable) -> Iterator[str]:
    weights = goal.whole, goal.worst_window, goal.worst_class, goal.worst_tenant
    total = sum((low(w) + high(w)) / 2 for w in weights)
    if abs(total - 1.0) > 0.01:
        yield f"goal: found weights with a sum of {total:.3g}; allowed: 1"


class _Faults:
    """The checks of one fault."""

    def __init__(self, table: ScenarioTable, index: int, fault: FaultTable) -> None:
        self._table, self._index, self._fault = table, index, fault
        self._endpoints = int(low(table.endpoints.count))
        self._nodes = int(low(table.nodes.count))

    def lines(self) -> Iterator[str]:
        """One line for each problem; fields are named as within the fault."""
        entry = CATALOGUE.get(self._fault.kind)
        if entry is None:
            yield unknown("kind", f"found {self._fault.kind!r}", self._fault.kind, CATALOGUE)
            return
        yield from self._span(entry)
        yield from self._params(entry)
        yield from self._target(entry.targets, self._fault.target)

    def _span(self, entry: Entry) -> Iterator[str]:
        f = self._fault
        if low(f.at_s) >= low(self._table.length_s):
            yield f"at_s: found {low(f.at_s):g}; allowed: before length_s, {low(self._table.length_s):g}"
        if f.for_s is not None and f.until_s is not None:
            yield "until_s: found besides for_s; allowed: one of the two"
        spanned = f.for_s is not None or f.until_s is not None
        if entry.span == "needed" and not spanned:
            yield f"for_s: missing; allowed: for_s or until_s, as {f.kind} needs an end"
        if entry.span == "none" and spanned:
            field = "for_s" if f.for_s is not None else "until_s"
            yield f"{field}: found though {f.kind} has no span; allowed: neither for_s nor until_s"
        if f.until_s is not None and low(f.until_s) <= high(f.at_s):
            yield f"until_s: found {low(f.until_s):g}; allowed: after at_s, {high(f.at_s):g}"

    def _params(self, entry: Entry) -> Iterator[str]:
        given = self._fault.params
        known = {p.name: p for p in entry.params}
        for name, value in given.items():
            if name not in known:
                yield unknown(f"params.{name}", "unknown key", name, known)
            elif not fits(value, known[name].spec):
                yield f"params.{name}: found {shown(value)}; allowed: {allowed(value, known[name].spec)}"
        for param in entry.params:
            if param.default is None and param.name not in given:
                yield f"params.{param.name}: missing; allowed: {param.spec.allowed}"
        yield from self._named(entry)
        yield from self._idle()

    def _named(self, entry: Entry) -> Iterator[str]:
        nodes = [f"n{k + 1}" for k in range(self._nodes)]
        known: dict[str, list[str]] = {
            "classes": [c.name for c in self._table.classes],
            "tenants": [t.name for t in self._table.tenants],
            "tenant": [t.name for t in self._table.tenants],
            "nodes": nodes,
        }
        for name, fit in known.items():
            value = self._fault.params.get(name, ())
            for word in value if isinstance(value, tuple) else (value,):
                if entry.param(name) is not None and isinstance(word, str) and word not in fit:
                    yield f"params.{name}: found {word!r}; allowed: {', '.join(fit)}"

    def _idle(self) -> Iterator[str]:
        """What would do nothing is a slip."""
        params = self._fault.params
        if self._fault.kind == "link" and not any(params.get(x) for x in LINK_ILLS):
            yield f"params: found none of them above 0; allowed: at least one of {', '.join(LINK_ILLS)}"
        if params.get("effect") in ("slow", "speed") and params.get("factor", 1.0) == 1.0:
            yield f"params.factor: found 1; allowed: another factor, as effect is {params['effect']}"
        if params.get("effect") == "late" and not params.get("late_ms"):
            yield "params.late_ms: found 0; allowed: above 0, as effect is late"

    def _target(self, targets: str, target: str) -> Iterator[str]:
        if targets == "none":
            if target:
                yield f"target: found {target!r}; allowed: none, as {self._fault.kind} has no target"
        elif targets == "links":
            left, arrow, right = target.partition(">")
            if not arrow:
                yield f"target: found {target!r}; allowed: nodes>endpoints, such as n1>part:0.5"
                return
            yield from self._one("nodes", left)
            yield from self._one("endpoints", right)
        else:
            yield from self._one(targets, target or "all")

    def _one(self, targets: str, target: str) -> Iterator[str]:
        word, colon, name = target.partition(":")
        if target == "all":
            return
        if colon:
            checks: dict[str, Callable[[str, str], Iterator[str]]] = {
                "part": self._part, "count": self._count, "zone": self._zone, "kind": self._kind,
                "others": self._others, "same": self._others,
            }  # fmt: skip
            fit = ["part", "count", "zone", *(["kind", "others", "same"] if targets != "nodes" else [])]
            if word not in fit:
                yield f"target: found {target!r}; allowed: {', '.join(f'{w}:' for w in fit)}, all, or names"
            else:
                yield from checks[word](target, name)
            return
        for name in target.split(","):
            if not self._there(targets, name):
                yield f"target: found {name!r}; allowed: {self._whom(targets)}, as are there on every day"

    def _part(self, target: str, _: str) -> Iterator[str]:
        found = PART.fullmatch(target)
        ends = [float(x) for x in found.groups() if x] if found else []
        if not ends or ends[0] > ends[-1] or ends[-1] > 1:
            yield f"target: found {target!r}; allowed: part:0.4 or part:0.2..0.4, up to 1"

    def _count(self, target: str, _: str) -> Iterator[str]:
        if not COUNT.fullmatch(target):
            yield f"target: found {target!r}; allowed: count: and a whole number"

    def _zone(self, _: str, name: str) -> Iterator[str]:
        if name not in self._table.zones:
            yield unknown("target", f"found zone {name!r}", name, self._table.zones)

    def _kind(self, _: str, name: str) -> Iterator[str]:
        kinds = [k.name for k in self._table.kinds]
        if name not in kinds:
            yield unknown("target", f"found kind {name!r}", name, kinds)

    def _others(self, target: str, _: str) -> Iterator[str]:
        found = OTHERS.fullmatch(target)
        index = int(found[1]) if found else -1
        if not 0 <= index < len(self._table.faults) or index == self._index:
            yield f"target: found {target!r}; allowed: the place of another fault, from 0"
            return
        other = self._table.faults[index]
        entry = CATALOGUE.get(other.kind)
        if entry is None or entry.targets != "endpoints" or OTHERS.fullmatch(other.target):
            yield f"target: found {target!r}; allowed: another fault that befalls endpoints by itself"
        elif high(other.at_s) > low(self._fault.at_s) or index > self._index:
            yield f"target: found {target!r}; allowed: a fault above this one that does not begin later"

    def _there(self, targets: str, name: str) -> bool:
        found = re.fullmatch(r"([dn])([1-9]\d*)", name)
        if found is None:
            return False
        most = {"d": self._endpoints, "n": self._nodes}[found[1]]
        sort = {"endpoints": "d", "nodes": "n", "places": "dn"}[targets]
        return found[1] in sort and int(found[2]) <= most

    def _whom(self, targets: str) -> str:
        endpoints, nodes = f"d1 to d{self._endpoints}", f"n1 to n{self._nodes}"
        return {"endpoints": endpoints, "nodes": nodes, "places": f"{endpoints}, {nodes}"}[targets]
