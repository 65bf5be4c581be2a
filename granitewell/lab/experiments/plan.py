"""The experiment file: what is compared with what, and the runs that follow from it.

It owns the form of the file and its checks; every problem is a PlanError of one line that names the field,
what was found and what is allowed, before anything starts. It must never run anything.

    name = "patience"
    question = "Does suspicion after fewer means pay?"
    scenarios = ["grey-class-hang", { name = "wide", nodes = 4, length_s = 20 }]
    seeds = "1..8"
    base = "today"                       # the variant that the others are held against; default: the first
    [[variant]]
    name = "today"
    [[variant]]
    name = "hasty"
    constants = { "granitewell.balancing.outlier_detection.PATIENCE_LATENCY_RATIO" = 3.0 }
    [[variant]]
    name = "plain"
    policy = "least-inflight"
"""

from __future__ import annotations

import difflib
import importlib
import re
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NoReturn

from granitewell.files import MAX_USER_FILE_BYTES, read_regular_file
from granitewell.lab import scenario as scenarios
from granitewell.lab.day import Day
from granitewell.lab.experiments.phases import Trouble, trouble
from granitewell.lab.simulation.play import POLICIES

SHELLS = ("sim", "sockets")
MAX_RUNS = 100_000
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._+-]{0,63}\Z")
_SPAN = re.compile(r"(\d+)\.\.(\d+)\Z")
_TOP = ("name", "question", "scenarios", "seeds", "variant", "base", "shell", "timeout_s")
_VARIANT = ("name", "policy", "constants", "nodes", "endpoints", "rate", "length_s")
_SCENARIO = ("name", "nodes", "endpoints", "rate", "length_s")


class PlanError(ValueError):
    """The file can't be used; one line that names the file and the field."""


@dataclass(frozen=True, slots=True)
class Sizes:
    """What of a scenario is changed; None leaves it as it is."""

    nodes: int | None = None
    endpoints: int | None = None
    rate: float | None = None
    length_s: float | None = None

    def over(self, other: Sizes) -> Sizes:
        """These figures, and the other's where these say nothing."""
        return Sizes(*(a if a is not None else b for a, b in zip(self.values(), other.values(), strict=True)))

    def values(self) -> tuple[Any, ...]:
        """The figures in their order."""
        return self.nodes, self.endpoints, self.rate, self.length_s


@dataclass(frozen=True, slots=True)
class Setting:
    """A scenario as played: its name or file, and its sizes; label tells two of one name apart."""

    name: str
    label: str
    sizes: Sizes


@dataclass(frozen=True, slots=True)
class Variant:
    """One way of deciding: a policy, and constants of modules that differ (dotted name, figure)."""

    name: str
    policy: str = "module"
    constants: tuple[tuple[str, float], ...] = ()
    sizes: Sizes = field(default_factory=Sizes)


@dataclass(frozen=True, slots=True)
class Run:
    """One day to play."""

    variant: Variant
    setting: Setting
    seed: int

    @property
    def key(self) -> tuple[str, str, int]:
        """What tells it from the experiment's other runs."""
        return self.variant.name, self.setting.label, self.seed

    @property
    def sizes(self) -> Sizes:
        """The variant's sizes where it has any, else the scenario's."""
        return self.variant.sizes.over(self.setting.sizes)

    def command(self) -> str:
        """The one command that plays this day again by hand; constants are named behind it."""
        words = [f"granitewell lab sim {self.setting.name} --seed {self.seed}"]
        names = ("nodes", "endpoints", "rate", "length")
        words += [f"--{n} {v:g}" for n, v in zip(names, self.sizes.values(), strict=True) if v is not None]
        words += [f"--policy {self.variant.policy}"] if self.variant.policy != "module" else []
        words += [f"# {k} = {v:g}" for k, v in self.variant.constants]
        return " ".join(words)


@dataclass(frozen=True, slots=True)
class Plan:
    """A whole experiment."""

    name: str
    question: str
    shell: str
    settings: tuple[Setting, ...]
    variants: tuple[Variant, ...]
    seeds: tuple[int, ...]
    base: str
    timeout_s: float
    text: str  # of the file, as read: it is kept with the results

    def troubles(self) -> dict[tuple[str, str, int], Trouble]:
        """By a run's key: the span of its day's trouble.

        Days without any are left out. Each day is drawn anew, once for all variants that share it.
        """
        spans: dict[tuple[str, Sizes, int], Trouble | None] = {}
        found = {}
        for run in self.runs():
            key = (run.setting.label, run.sizes, run.seed)
            if key not in spans:
                spans[key] = trouble(day(run))
            span = spans[key]
            if span is not None:
                found[run.key] = span
        return found

    @property
    def oracle(self) -> str:
        """The variant that plays the oracle as it is; empty where none does."""
        return next((v.name for v in self.variants if v.policy == "oracle" and not v.constants), "")

    def runs(self) -> list[Run]:
        """All days, by seed first: an experiment cut short has whole pairs of the first seeds."""
        return [Run(v, s, seed) for seed in self.seeds for s in self.settings for v in self.variants]


class _Reader:
    """One table of the file, with its place for messages."""

    def __init__(self, file: str, place: str, table: Any, known: tuple[str, ...]) -> None:
        self.file, self.place = file, place
        if not isinstance(table, dict):
            self.fail("", f"found {table!r}, allowed is a table")
        self.table: Mapping[str, Any] = table
        for key in self.table:
            if key not in known:
                near = difflib.get_close_matches(key, known, 1)
                meant = f"; did you mean {near[0]}?" if near else ""
                self.fail(key, f"unknown key; allowed are {', '.join(known)}{meant}")

    def fail(self, key: str, why: str) -> NoReturn:
        """Raise what is wrong at a key."""
        place = ".".join(x for x in (self.place, key) if x)
        raise PlanError(f"{self.file}: {place or 'the file'}: {why}")

    def word(self, key: str, default: str | None = None) -> str:
        """A text that may be a name."""
        value = self.table.get(key, default)
        if not isinstance(value, str) or not _NAME.match(value):
            self.fail(key, f"found {value!r}, allowed is a name of letters, digits and . _ + - (64 at most)")
        return str(value)

    def figure(self, key: str, low: float, high: float, whole: bool) -> Any:
        """A number in a range, or None where the key is absent."""
        value = self.table.get(key)
        if value is None:
            return None
        fits = isinstance(value, int) or (not whole and isinstance(value, float))
        if isinstance(value, bool) or not fits or not low <= value <= high:
            kind = "a whole number" if whole else "a number"
            self.fail(key, f"found {value!r}, allowed is {kind} from {low:g} to {high:g}")
        return value

    def sizes(self) -> Sizes:
        """The four figures that scenarios and variants share."""
        return Sizes(
            self.figure("nodes", 1, 10_000, True), self.figure("endpoints", 1, 100_000, True),
            self.figure("rate", 0.01, 1e6, False), self.figure("length_s", 0.1, 86_400, False),
        )  # fmt: skip


def load(path: Path) -> Plan:
    """The plan of a file. PlanError."""
    try:
        text = read_regular_file(path, MAX_USER_FILE_BYTES).decode()
    except (OSError, ValueError) as error:
        raise PlanError(f"{path}: {getattr(error, 'strerror', None) or error}") from None
    return parse(text, str(path), path.parent)


def parse(text: str, file: str = "experiment", folder: Path | None = None) -> Plan:
    """The plan of such a text; scenario files are looked for beside it."""
    try:
        raw = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise PlanError(f"{file}: not TOML: {' '.join(str(error).split())}") from None
    top = _Reader(file, "", raw, _TOP)
    shell = top.table.get("shell", "sim")
    if shell not in SHELLS:
        top.fail("shell", f"found {shell!r}, allowed are {', '.join(SHELLS)}")
    variants = _variants(top, shell)
    names = [v.name for v in variants]
    base = top.word("base", names[0])
    if base not in names:
        top.fail("base", f"found {base!r}, allowed are the variants {', '.join(names)}")
    plan = Plan(
        top.word("name"), str(top.table.get("question", "")), shell, _settings(top, folder), variants,
        _seeds(top), base, top.figure("timeout_s", 1, 86_400, False) or 600.0, text,
    )  # fmt: skip
    count = len(plan.variants) * len(plan.settings) * len(plan.seeds)
    if count > MAX_RUNS:
        top.fail("seeds", f"found {count} runs in all, allowed are {MAX_RUNS} at most")
    _draws(plan, top)
    return plan


def _seeds(top: _Reader) -> tuple[int, ...]:
    value = top.table.get("seeds", "1..8")
    span = _SPAN.match(value) if isinstance(value, str) else None
    if span and int(span[1]) <= int(span[2]) < int(span[1]) + MAX_RUNS:
        return tuple(range(int(span[1]), int(span[2]) + 1))
    listed = isinstance(value, list) and value and all(type(x) is int and x >= 0 for x in value)
    if not listed or len(set(value)) != len(value):
        top.fail("seeds", f'found {value!r}, allowed are "1..8" or a list of different whole numbers')
    return tuple(value)


def _settings(top: _Reader, folder: Path | None) -> tuple[Setting, ...]:
    value = top.table.get("scenarios")
    if not isinstance(value, list) or not value:
        top.fail("scenarios", f"found {value!r}, allowed is a list of scenarios")
    found: list[Setting] = []
    for k, item in enumerate(value):
        table = {"name": item} if isinstance(item, str) else item
        one = _Reader(top.file, f"scenarios[{k}]", table, _SCENARIO)
        name = one.table.get("name")
        if not isinstance(name, str) or not name:
            one.fail("name", f"found {name!r}, allowed is a built-in scenario or a file")
        beside = (folder or Path()) / str(name)
        sizes = one.sizes()
        told = "-".join(f"{n}{v:g}" for n, v in zip("nerl", sizes.values(), strict=True) if v is not None)
        label = f"{Path(str(name)).stem}{':' + told if told else ''}"
        if any(s.label == label for s in found):
            one.fail("name", f"found {label!r} twice, allowed is each scenario and size once")
        found.append(Setting(str(beside) if beside.is_file() else str(name), label, sizes))
    return tuple(found)


def _variants(top: _Reader, shell: str) -> tuple[Variant, ...]:
    value = top.table.get("variant")
    if not isinstance(value, list) or not value:
        top.fail("variant", f"found {value!r}, allowed are [[variant]] tables")
    found: list[Variant] = []
    for k, item in enumerate(value):
        one = _Reader(top.file, f"variant[{k}]", item, _VARIANT)
        name, policy = one.word("name"), one.table.get("policy", "module")
        if any(v.name == name for v in found):
            one.fail("name", f"found {name!r} twice")
        if policy not in POLICIES:
            one.fail("policy", f"found {policy!r}, allowed are {', '.join(POLICIES)}")
        constants = one.table.get("constants", {})
        if shell == "sockets" and (policy != "module" or constants):
            one.fail("policy", "on sockets the nodes run the module as it is; allowed are sizes alone")
        found.append(Variant(name, policy, _constants(one, constants), one.sizes()))
    return tuple(found)


def _constants(one: _Reader, value: Any) -> tuple[tuple[str, float], ...]:
    if not isinstance(value, dict):
        one.fail("constants", f"found {value!r}, allowed is a table of dotted names and numbers")
    for dotted, figure in value.items():
        module, _, name = dotted.rpartition(".")
        if not module.startswith("granitewell."):
            one.fail(f"constants.{dotted}", "allowed are names in granitewell")
        try:
            now = getattr(importlib.import_module(module), name)
        except (ImportError, AttributeError):
            one.fail(f"constants.{dotted}", "there is no such name")
        if isinstance(now, bool) or not isinstance(now, int | float) or not name.isupper():
            one.fail(f"constants.{dotted}", f"it holds {now!r}, allowed are constants that are numbers")
        if isinstance(figure, bool) or not isinstance(figure, int | float):
            one.fail(f"constants.{dotted}", f"found {figure!r}, allowed is a number")
    return tuple(sorted((k, float(v)) for k, v in value.items()))


def _draws(plan: Plan, top: _Reader) -> None:
    """Each scenario at each size draws its first seed: what is impossible shows before anything starts."""
    for run in plan.runs()[: len(plan.settings) * len(plan.variants)]:
        try:
            day(run)
        except (scenarios.ScenarioError, OSError) as error:
            raise PlanError(f"{top.file}: scenarios {run.setting.label!r}: {error}") from None


def day(run: Run) -> Day:
    """The day of a run. Raises scenarios.ScenarioError."""
    nodes, endpoints, rate, length_s = run.sizes.values()
    made = scenarios.load(run.setting.name)
    return scenarios.draw(made, run.seed, nodes=nodes, endpoints=endpoints, rate=rate, length_s=length_s)
