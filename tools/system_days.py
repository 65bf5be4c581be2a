"""Plays every kind of trouble by itself and in pairs on a deployment of the system, and prints a table.

It needs the operators' bench: `python tools/system_days.py BENCH SITE OUT
[--pairs] [--jobs N] [--only KIND]`. Days are written to OUT as TOML files, one a kind and moment, with the
traffic of the site's own first day of trouble; each is played once, and its rules and score are printed.
"""

from __future__ import annotations

import argparse
import itertools
import json
import re
import subprocess
import tomllib
from collections.abc import Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Any

MOMENTS_S = (3.0, 11.5, 21.0)
RULES = re.compile(
    r"\b(MIXED|UNASKED|TWICE|REFUSED|DENIED|BUDGET|ROUTE|DRAIN|LOST|CONFIG|ORDER|RECOVER|ONE|LIMIT|CEILING)\b"
)
PAIR_AT_S = 12.0
PAIR_GAP_S = 0.8
PLANNED = frozenset(
    {
        "release", "roll_term", "scale_in", "scale_out", "seed_turnover", "config_change", "config_race",
        "bad_config", "big_config", "model_shift", "hup", "config_storm",
    }
)  # fmt: skip
MORE_KINDS: tuple[Mapping[str, Any], ...] = (  # those that may come though a site does not list them
    {"kind": "retry_abuse", "x": 3.0, "share": 0.2, "for_s": 5.0},
    {"kind": "srv_slow", "for_s": 5.0},
    {"kind": "srv_grey", "how": "errors", "for_s": 5.0},
    {"kind": "srv_grey", "how": "hang", "for_s": 5.0},
    {"kind": "srv_grey", "how": "reset", "for_s": 5.0},
    {"kind": "srv_grey", "how": "mute", "for_s": 5.0},
    {"kind": "replace_with_reuse", "how": "drain"},
    {"kind": "replace_with_reuse", "how": "dark"},
    {"kind": "scale_out"},
    {"kind": "node_slow", "for_s": 5.0},
    {"kind": "disk_full", "for_s": 5.0},
    {"kind": "disk_stall", "for_s": 4.0},
    {"kind": "hup"},
    {"kind": "reset_conns"},
    {"kind": "node_cut", "for_s": 4.0},
    {"kind": "node_cut", "how": "servers", "share": 0.3, "for_s": 4.0},
    {"kind": "herd_kill", "on": "core"},
    {"kind": "core_cut", "how": "both", "for_s": 4.0},
    {"kind": "core_cut", "how": "one_way", "for_s": 4.0},
    {"kind": "core_cut", "how": "seeds", "for_s": 4.0},
    {"kind": "replace_core", "how": "planned"},
    {"kind": "after_ack_wipe", "count": 1},
    {"kind": "disk_slow", "count": 2, "x": 60.0, "for_s": 6.0},
)


@dataclass(frozen=True)
class Day:
    """A day to play: its name and the entries of its plan and faults."""

    name: str
    plan: tuple[Mapping[str, Any], ...]
    faults: tuple[Mapping[str, Any], ...]


@dataclass(frozen=True)
class Result:
    """What the bench said of a day."""

    day: Day
    verdict: str


def entry_name(entry: Mapping[str, Any]) -> str:
    """A short name for an entry."""
    words = [str(entry["kind"]), str(entry.get("how", "")), str(entry.get("on", ""))]
    return "-".join(word.replace(" ", "_") for word in words if word)


def day_of(name: str, entries: Sequence[Mapping[str, Any]]) -> Day:
    """A day of these entries, each where it belongs."""
    plan = tuple(entry for entry in entries if entry["kind"] in PLANNED)
    faults = tuple(entry for entry in entries if entry["kind"] not in PLANNED)
    return Day(name, plan, faults)


def all_entries(site: Mapping[str, Any]) -> list[dict[str, Any]]:
    """Every trouble that may come, once."""
    return [dict(entry) for entry in (*site["troubles"], *MORE_KINDS)]


def single_days(site: Mapping[str, Any], moments: Sequence[float]) -> Iterator[Day]:
    """Each kind at each moment."""
    for number, entry in enumerate(all_entries(site)):
        for at in moments:
            yield day_of(f"{number:02}-{entry_name(entry)}-{at:g}", [entry | {"at": at}])


def pair_days(site: Mapping[str, Any]) -> Iterator[Day]:
    """Each pair of kinds, close to each other."""
    for (n, first), (m, second) in itertools.combinations(enumerate(all_entries(site)), 2):
        entries = [first | {"at": PAIR_AT_S}, second | {"at": PAIR_AT_S + PAIR_GAP_S}]
        yield day_of(f"{n:02}x{m:02}-{entry_name(first)}-{entry_name(second)}", entries)


def toml_value(value: object) -> str:
    """A value as TOML."""
    if isinstance(value, Mapping):
        return "{ " + ", ".join(f"{key} = {toml_value(item)}" for key, item in value.items()) + " }"
    if isinstance(value, list | tuple):
        return "[" + ", ".join(toml_value(item) for item in value) + "]"
    return json.dumps(value)


def toml_of(day: Day, template: Mapping[str, Any]) -> str:
    """The day as a file that the bench plays."""
    fields = dict(template) | {"name": day.name, "plan": day.plan, "faults": day.faults}
    fields.pop("closing", None)
    return "".join(f"{key} = {toml_value(value)}\n" for key, value in fields.items())


def play(bench: Path, site: Path, out: Path, day: Day, template: Mapping[str, Any]) -> Result:
    """Play one day; its last lines."""
    file = out / f"{day.name}.toml"
    file.write_text(toml_of(day, template))
    command = [str(bench), "run", str(site), str(file), "--jobs", "1"]
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    (out / f"{day.name}.log").write_text(done.stdout + done.stderr)
    lines = [line for line in (done.stdout + done.stderr).splitlines() if line.strip()]
    broken = [line for line in lines if RULES.search(line)]
    scored = [line for line in lines if line.startswith(day.name[:20])]
    return Result(day, " | ".join([*scored[:1], *broken[:3]]) or lines[-1])


def main() -> None:
    """The command."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", type=Path)
    parser.add_argument("site", type=Path)
    parser.add_argument("out", type=Path)
    parser.add_argument("--pairs", action="store_true")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--only", default="")
    parser.add_argument("--moments", type=float, nargs="*")
    arguments = parser.parse_args()
    site = tomllib.loads(arguments.site.read_text())
    template = next(day for day in site["day"] if day["slot"] == "trouble")
    arguments.out.mkdir(parents=True, exist_ok=True)
    every = pair_days(site) if arguments.pairs else single_days(site, arguments.moments or MOMENTS_S)
    days = [day for day in every if arguments.only in day.name]
    with ThreadPoolExecutor(arguments.jobs) as pool:
        played = pool.map(lambda d: play(arguments.bench, arguments.site, arguments.out, d, template), days)
        for result in played:
            print(f"{result.day.name:50} {result.verdict}", flush=True)


if __name__ == "__main__":
    main()
