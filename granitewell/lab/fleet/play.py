"""One run of a fleet from its schedule to its figures: `play(schedule, out)`.

It owns the joining of the day, the rig and both judges, and the files that a run leaves: the schedule that it
played (`schedule.json`, which `--replay` takes), `fleet-run.json` with all figures, the page. It must never
judge by itself.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable
from dataclasses import asdict, replace
from pathlib import Path
from statistics import median
from typing import Any

from granitewell.lab import turns
from granitewell.lab.day import Day, Fault, LoadDay
from granitewell.lab.fleet.rig import Rig
from granitewell.lab.fleet.types import Schedule
from granitewell.lab.judge.counts import CountsJudge, CountsReport
from granitewell.lab.judge.view import ViewJudge, ViewReport
from granitewell.lab.loopback.director import Options
from granitewell.lab.loopback.node_hosts import PROGRAM
from granitewell.lab.loopback.plan import SocksError
from granitewell.lab.loopback.play import SEEN, play_on_sockets
from granitewell.lab.recording import merge
from granitewell.lab.scenario import draw, load

DAY = "fleet"
NOBODY = "-"  # the key of tries whose tenant has no allowance
PLANTED, COUNTED = "granitewell.lab.fleet.planted", "granitewell.lab.turns"
COUNTED_PART = 0.9  # of the run, after which each process tells of its loop


def day_of(schedule: Schedule) -> Day:
    """The load that goes on beside the troubles.

    Nodes that are to stand still are told of in the day's own words, as its judge has to know what no node
    could answer.
    """
    names = len(schedule.names)
    day = draw(load(DAY), schedule.seed, nodes=names, endpoints=schedule.endpoints,
               rate=schedule.rate or None, length_s=schedule.seconds)  # fmt: skip
    if not schedule.rate:
        day = replace(day, load=replace(day.load, rate=((0, 0.0),), trace=()))
    assert isinstance(day.load, LoadDay)
    stalls = [t for t in schedule.troubles if t.kind == "stall" and t.until_us > t.at_us]
    faults = tuple(Fault(t.at_us, t.until_us, "node_stall", name) for t in stalls for name in t.nodes)
    nodes = tuple(replace(n, name=schedule.names[k]) for k, n in enumerate(day.nodes))
    return replace(day, nodes=nodes, faults=faults)


def play(
    schedule: Schedule, out: Path, plant: str = "", watch: Callable[[int], None] | None = None,
    count: bool = False,
) -> dict[str, Any]:  # fmt: skip
    """Play it; the dict of all figures, plain JSON but for `looks` and `done`, which the page is made of.

    Args:
        count: The turns of each node's loop are counted. SocksError: the machine does not give what is
            needed.
    """
    day = day_of(schedule)
    judge = ViewJudge(schedule.names, int(schedule.bound_s * 1e6))
    rig = Rig(schedule, out, judge)
    out.mkdir(parents=True, exist_ok=True)
    try:
        (out / "schedule.json").write_text(schedule.text())
    except OSError as error:
        raise SocksError(f"{out}: {error.strerror}") from None
    program = (sys.executable, "-m", PLANTED, plant) if plant else PROGRAM
    if count:
        program = (sys.executable, "-m", COUNTED, str(out), str(schedule.seconds * COUNTED_PART))
    options = Options(program=program, watch=watch, beside=rig)
    played = play_on_sockets(day, out, options)
    counted = counts(schedule, day, out, rig)
    for text in counted.texts:
        judge.report_violation(0, "counts", text)
    found = figures(schedule, played, judge.report, rig) | {"counts": asdict(counted)}
    (out / "fleet-run.json").write_text(json.dumps(found, indent=1))
    return found | {"looks": rig.looks, "done": rig.done, "day": day, "played": played}


def counts(schedule: Schedule, day: Day, out: Path, rig: Rig) -> CountsReport:
    """What clients saw against what nodes counted; nothing where they don't."""
    judge = CountsJudge(int(schedule.window_s * 1e6))
    if schedule.window_s:
        names = [t.name if t.allowance_per_s else NOBODY for t in day.tenants]
        for line in merge(sorted(out.glob(SEEN))):
            if line.method == "asked":
                tenant = line.args[3]
                judge.asked(line.at, line.args[0], names[tenant] if tenant < len(names) else NOBODY)
            elif line.method == "answered":
                judge.answered(line.at, line.args[0])
        for told in rig.told:
            judge.add_reading(told)
    return judge.report()


def figures(schedule: Schedule, played: dict[str, Any], view: ViewReport, rig: Rig) -> dict[str, Any]:
    """What is told of a run."""
    report = played["report"]
    took = [s.took_us / 1e6 for s in view.settled if s.took_us >= 0]
    return {
        "scenario": schedule.name, "seed": schedule.seed, "nodes": len(schedule.names),
        "seconds": schedule.seconds, "cluster": schedule.cluster,
        "kept": view.kept and report["kept"], "busy": played["busy"],
        "view": {
            "broken": dict(sorted(view.broken.items())),
            "offences": [asdict(o) for o in view.offences[:20]],
            "looks": view.looks, "unanswered": view.unanswered, "false_deaths": view.false_deaths,
            "budget_most": round(view.budget_most, 4),
            "settled": [{"at_s": s.at_us / 1e6, "cause": s.cause,
                         "took_s": s.took_us / 1e6 if s.took_us >= 0 else None} for s in view.settled],
            "settled_s": {"median": median(took), "worst": max(took), "count": len(took)} if took else None,
        },
        "rules": report["offences"], "broken": report["broken"][:5], "totals": report["totals"],
        "requests": report["requests"], "in_time": in_time(report), "g": report["g"], "fell": report["fell"],
        "late_orders_ms": rig.late_us / 1e3, "cpu_s": rig.cpu_s, "switch": rig.seen.get("counts", {}),
        "turns": {n: told for n in schedule.names if (told := turns.told(rig.out / f"turns-{n}.json"))},
        "notes": played["notes"], "exits": played["exits"], "cores": played["cores"], "out": played["out"],
    }  # fmt: skip


def in_time(report: dict[str, Any]) -> float:
    """The part of the tries that was served in time."""
    served, tries = int(report["totals"].get("served", 0)), int(report["tries"])
    return served / max(tries, 1)
