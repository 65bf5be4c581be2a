"""Plays every kind of trouble by itself and in pairs on a deployment of the system, and prints a table.

    python -m tools.system_days BENCH SITE OUT [--pairs] [--jobs N] [--only KIND] [--moments S ...]

Days are written to OUT as TOML files, one a kind and moment, with the traffic of the site's own first day of
trouble; each is played once, and its rules and score are printed.
"""

from __future__ import annotations

import argparse
import itertools
from collections.abc import Iterator, Mapping, Sequence
from pathlib import Path
from typing import Any

from tools.bench_days import Bench, Day, Entry, Play, Result, Site, each_done

START_TIMES_S = (3.0, 11.5, 21.0)
PAIR_START_S = 12.0
PAIR_GAP_S = 0.8
EXTRA_EVENTS: tuple[Mapping[str, Any], ...] = (  # events that may occur even if a site does not list them
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


def entry_name(entry: Entry) -> str:
    """Return a short name for an entry."""
    words = [str(entry["kind"]), str(entry.get("how", "")), str(entry.get("on", ""))]
    return "-".join(word.replace(" ", "_") for word in words if word)


def all_entries(site: Site) -> list[dict[str, Any]]:
    """Return every possible event once."""
    return [dict(entry) for entry in (*site.troubles, *EXTRA_EVENTS)]


def single_days(site: Site, moments: Sequence[float]) -> Iterator[Day]:
    """Yield a day for each event at each start time."""
    for number, entry in enumerate(all_entries(site)):
        for at in moments:
            yield Day.of(f"{number:02}-{entry_name(entry)}-{at:g}", [entry | {"at": at}])


def pair_days(site: Site) -> Iterator[Day]:
    """Yield a day for each pair of events, close to each other."""
    for (n, first), (m, second) in itertools.combinations(enumerate(all_entries(site)), 2):
        entries = [first | {"at": PAIR_START_S}, second | {"at": PAIR_START_S + PAIR_GAP_S}]
        yield Day.of(f"{n:02}x{m:02}-{entry_name(first)}-{entry_name(second)}", entries)


def verdict(result: Result) -> str:
    """Format the result of a day in one line."""
    score = "-" if result.score is None else f"{result.score:.2f}"
    broken = [f"{rule} {said}" for rule, said in result.broken.items()]
    return " | ".join([f"score {score} worth {result.worth:.3f}", *broken, *filter(None, [result.fault])])


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", type=Path)
    parser.add_argument("site", type=Path)
    parser.add_argument("out", type=Path)
    parser.add_argument("--pairs", action="store_true")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--only", default="")
    parser.add_argument("--moments", type=float, nargs="*")
    arguments = parser.parse_args()
    arguments.out.mkdir(parents=True, exist_ok=True)
    site = Site.read(arguments.site)
    bench = Bench(arguments.bench.resolve(), arguments.out.resolve())
    every = pair_days(site) if arguments.pairs else single_days(site, arguments.moments or START_TIMES_S)
    plays = [Play(site, day) for day in every if arguments.only in day.name]
    for play, result in each_done(bench.play, plays, arguments.jobs):
        print(f"{play.day.name:50} {verdict(result)}", flush=True)


if __name__ == "__main__":
    main()
