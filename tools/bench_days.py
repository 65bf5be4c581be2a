"""Days of the operators' bench: the events that a site allows, days as files, and results of their runs."""

from __future__ import annotations

import json
import re
import subprocess
import tomllib
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeVar

Entry = Mapping[str, Any]
T = TypeVar("T")
R = TypeVar("R")

PLANNED = frozenset(
    {
        "release", "roll_term", "scale_in", "scale_out", "seed_turnover", "config_change", "config_race",
        "bad_config", "big_config", "model_shift", "hup", "config_storm", "add_nodes",
    }
)  # fmt: skip
KIND_LINE = re.compile(r"^(?P<kind>[a-z][a-z_]+): (?P<meaning>.*)$")
WORD = re.compile(r"[a-z_]+")
MAX_ACCOUNTS = 3  # descriptions of broken rules that are kept of a report


@dataclass(frozen=True, slots=True)
class Day:
    """A day to run on the bench.

    Attributes:
        closing: The final fault, if there is one.
    """

    name: str
    plan: tuple[Entry, ...]
    faults: tuple[Entry, ...]
    closing: Entry | None = None

    @classmethod
    def of(cls, name: str, entries: Iterable[Entry], closing: Entry | None = None) -> Day:
        """Build a day from entries in any order; splits planned work from faults and sorts both by time."""
        ordered = sorted(entries, key=lambda entry: float(entry["at"]))
        plan = tuple(entry for entry in ordered if entry["kind"] in PLANNED)
        faults = tuple(entry for entry in ordered if entry["kind"] not in PLANNED)
        return cls(name, plan, faults, closing)

    def entries(self) -> Iterator[Entry]:
        """Yield all events of the day except for the final fault."""
        yield from self.plan
        yield from self.faults


@dataclass(frozen=True, slots=True, eq=False)
class Site:
    """A deployment.

    Attributes:
        day: The standard day from which written days copy their traffic and bounds.
    """

    name: str
    path: Path
    troubles: tuple[Entry, ...]
    day: Entry
    losses: int
    catch_up_s: float
    routes: int

    @classmethod
    def read(cls, path: Path, slot: str = "trouble") -> Site:
        """Read a site from its file, with its first standard day of this slot."""
        fields = tomllib.loads(path.read_text())
        day = next(day for day in fields["day"] if day["slot"] == slot)
        return cls(
            name=fields["name"],
            path=path.resolve(),
            troubles=tuple(fields["troubles"]),
            day=day,
            losses=fields["tolerate"]["machines"],
            catch_up_s=fields["timing"]["catch_up_s"],
            routes=max((e["count"] for e in fields["troubles"] if e["kind"] == "big_config"), default=350),
        )


@dataclass(frozen=True, slots=True)
class Listing:
    """The events that `fleetbench kinds SITE` lists for a site.

    Attributes:
        variants: The words that `how` may hold, by kind.
    """

    variants: Mapping[str, frozenset[str]]
    common: frozenset[str]

    @classmethod
    def parse(cls, text: str) -> Listing:
        """Parse the listing of a site; the text above the first empty line applies to all kinds."""
        head, _, body = text.partition("\n\n")
        lines = [found for found in map(KIND_LINE.match, body.splitlines()) if found]
        variants = {line["kind"]: frozenset(WORD.findall(line["meaning"])) for line in lines}
        return cls(variants, frozenset(WORD.findall(head)))

    def allows(self, entry: Entry) -> bool:
        """Whether the listing has this kind and every variant in `how`."""
        if entry["kind"] not in self.variants:
            return False
        return set(str(entry.get("how", "")).split()) <= self.variants[entry["kind"]] | self.common


def toml_value(value: object) -> str:
    """Format a value as TOML."""
    if isinstance(value, Mapping):
        return "{ " + ", ".join(f"{key} = {toml_value(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(toml_value(item) for item in value) + "]"
    return json.dumps(value)


def toml_of(day: Day, template: Entry) -> str:
    """Format the day as a file for the bench; traffic, bounds and lengths are copied from the template."""
    fields = dict(template) | {"name": day.name, "plan": day.plan, "faults": day.faults}
    fields.pop("closing", None)
    if day.closing is not None:
        fields["closing"] = day.closing
    return "".join(f"{key} = {toml_value(value)}\n" for key, value in fields.items())


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a run of a day.

    Attributes:
        score: None if the day has none, because a rule was broken or the run failed.
        broken: What the bench counts for each broken rule.
        short: The bounds of the bench's gate that were missed.
        first: The bench's descriptions of the first broken rules.
    """

    worth: float
    score: float | None
    broken: Mapping[str, str]
    fault: str
    short: tuple[str, ...]
    unexpected_exits: int
    wall_s: float
    weakest: str
    first: tuple[str, ...] = ()

    @property
    def sound(self) -> bool:
        """Whether no rule was broken and nothing failed."""
        return not self.broken and not self.fault


def result_of(report: Mapping[str, Any], output: str, day: str) -> Result:
    """Read a result from the bench's report (`run --report`) and its output."""
    return Result(
        worth=report["G"],
        score=_score_in(output, day),
        broken={rule: json.dumps(said, ensure_ascii=False) for rule, said in report["breaks"].items()},
        fault=str(report["fault"] or ""),
        short=tuple(str(part) for part in report["short"]),
        unexpected_exits=report["exits_n"],
        wall_s=report["wall_s"],
        weakest=_weakest(report),
        first=tuple(str(said) for said in report.get("first", ())[:MAX_ACCOUNTS]),
    )


def failed_play(reason: str) -> Result:
    """Return the result of a run without a report."""
    return Result(0.0, None, {}, f"no report: {reason}", (), 0, 0.0, "")


def _score_in(output: str, day: str) -> float | None:
    """Read the score from the table's line: name (which may be truncated), machines/servers, score."""
    for line in output.splitlines():
        words = line.split()
        if len(words) > 2 and day.startswith(words[0]) and re.fullmatch(r"\d+/\d+", words[1]):
            return float(words[2]) if re.fullmatch(r"[\d.]+", words[2]) else None
    return None


def _weakest(report: Mapping[str, Any]) -> str:
    """Return the weakest part of the worth and the largest price."""
    part = min(report["parts"], key=lambda item: item[2], default=None)
    price = max(report["prices"], key=lambda item: item[2], default=None)
    words = [f"{part[0]} {part[2]:.2f}"] if part else []
    return "; ".join(words + ([f"{price[0]} {price[2]:.3f}"] if price else []))


@dataclass(frozen=True, slots=True)
class Play:
    """One day on one site with one seed."""

    site: Site
    day: Day
    seed: int | None = None

    @property
    def stem(self) -> str:
        """The stem of the names of the day's file, its report and its output."""
        return f"{self.site.name}.{self.day.name}" + ("" if self.seed is None else f".seed-{self.seed}")


@dataclass(frozen=True, slots=True)
class Bench:
    """The bench's program, and the folder for days, reports and outputs."""

    program: Path
    out: Path
    why: str = ""

    def listing(self, site: Site) -> Listing:
        """Return the events that the site allows."""
        command = [str(self.program), "kinds", str(site.path)]
        done = subprocess.run(command, capture_output=True, text=True, check=True)
        return Listing.parse(done.stdout)

    def write(self, play: Play) -> Path:
        """Write the day's file."""
        path = self.out / f"{play.stem}.toml"
        path.write_text(toml_of(play.day, play.site.day))
        return path

    def play(self, play: Play) -> Result:
        """Run the day, unless its files exist and the day has not changed."""
        report = self.out / f"{play.stem}.json"
        printed = self.out / f"{play.stem}.log"
        if not (report.exists() and printed.exists() and self._is_written(play)):
            report.unlink(missing_ok=True)
            command = self._command(play, self.write(play), report)
            done = subprocess.run(command, capture_output=True, text=True, check=False)
            printed.write_text(done.stdout + done.stderr)
        return self.result(play)

    def result(self, play: Play) -> Result:
        """Read the result of a run from its files."""
        report = self.out / f"{play.stem}.json"
        printed = (self.out / f"{play.stem}.log").read_text()
        if not report.exists():
            return failed_play(" | ".join(printed.split("\n")[-4:]))
        return result_of(json.loads(report.read_text()), printed, play.day.name)

    def _is_written(self, play: Play) -> bool:
        path = self.out / f"{play.stem}.toml"
        return path.exists() and path.read_text() == toml_of(play.day, play.site.day)

    def _command(self, play: Play, day: Path, report: Path) -> list[str]:
        options = ["--jobs", "1", "--report", str(report)]
        if play.seed is not None:
            options += ["--seed", str(play.seed)]
        if self.why:
            options += ["--why", self.why]
        return [str(self.program), "run", str(play.site.path), str(day), *options]


def each_done(run: Callable[[T], R], items: Sequence[T], jobs: int) -> Iterator[tuple[T, R]]:
    """Run all items, several at once; yield each with its result as soon as it is done."""
    with ThreadPoolExecutor(jobs) as pool:
        running = {pool.submit(run, item): item for item in items}
        for done in as_completed(running):
            yield running[done], done.result()
