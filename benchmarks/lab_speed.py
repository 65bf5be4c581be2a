"""How fast virtual time is, and where the time goes: `python benchmarks/lab_speed.py [today|growth|large]`.

Each size runs in its own process, so that memory is measured separately. The cost of a try is measured over
the later part of the day, so that the start of hundreds of nodes does not count. Time is CPU time of one
core. `loops` is that cost in iterations of a fixed loop of plain Python, timed before and after; use it to
compare figures of a shared or a slower machine. `growth` is the ratio of `loops` to that of the first size.
`--instructions` counts instructions with valgrind, which takes fifty times as long and does not depend on
other load.
"""

from __future__ import annotations

import argparse
import gc
import json
import re
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from granitewell.lab import scenario
from granitewell.lab.day import Day
from granitewell.lab.judge import Judge
from granitewell.lab.simulation.play import maker, play
from granitewell.lab.simulation.profile import Sampler
from granitewell.lab.simulation.world import World

ROOT = Path(__file__).resolve().parent.parent
SEED = 1
LOOP_TURNS = 2_000_000
# nodes, endpoints, first tries a second, seconds of arrivals, start of the counted part in seconds
Size = tuple[int, int, float, float, float]
SIZES: dict[str, list[Size]] = {
    "today": [(3, 12, 390.0, 30.0, 1.0)],
    "growth": [
        (3, 12, 390.0, 20.0, 2.0), (12, 120, 3900.0, 4.0, 2.0), (30, 1200, 39000.0, 1.0, 0.5),
        (120, 1200, 39000.0, 1.0, 0.5),
    ],
    "large": [(100, 1000, 12000.0, 20.0, 2.0)],
}  # fmt: skip


class CostJudge(Judge):
    """A judge that records CPU time and number of tries at the start and the end of the counted part."""

    def __init__(self, day: Day, from_us: int) -> None:
        super().__init__(day)
        self.from_us, self.tries = from_us, 0
        self.started: tuple[float, int] | None = None
        self.last = (0.0, 0)

    def asked(self, at: int, *what: Any) -> None:
        """See Judge."""
        super().asked(at, *what)
        self.tries += 1
        if at >= self.from_us:
            self.last = (time.process_time(), self.tries)
            self.started = self.started or self.last

    @property
    def cost_us(self) -> float:
        """CPU time of one try in the counted part."""
        assert self.started is not None
        return (self.last[0] - self.started[0]) / max(self.last[1] - self.started[1], 1) * 1e6


def loop_s() -> float:
    """Return the CPU time of the fixed loop."""
    started, x = time.process_time(), 0
    for k in range(LOOP_TURNS):
        x = (x * 31 + k) & 0xFFFF
    return time.process_time() - started


def draw_day(size: Size) -> Day:
    """Draw the day of a size."""
    nodes, endpoints, rate, length_s, _ = size
    return scenario.draw(
        scenario.load("today"), SEED, nodes=nodes, endpoints=endpoints, rate=rate, length_s=length_s
    )


def measure(size: Size, policy: str) -> dict[str, Any]:
    """Run one day; return its cost and a profile."""
    day, (nodes, endpoints, rate, length_s, from_s) = draw_day(size), size
    cost_judge = CostJudge(day, round(from_s * 1e6))
    before = loop_s()
    with Sampler() as sampler:
        played = play(day, policy, cost_judge)
    loop_us = (before + loop_s()) / 2 / LOOP_TURNS * 1e6
    return {
        "nodes": nodes, "endpoints": endpoints, "rate": rate, "length_s": length_s,
        "cost_us": cost_judge.cost_us, "loop_us": loop_us, "loops": cost_judge.cost_us / loop_us,
        "seconds": played.seconds, "speed": played.speed, "requests": played.requests,
        "events": played.events, "memory_mb": played.memory_mb, "g": played.report["g"],
        "dials": played.report["dials"], "offences": played.report["offences"],
        "parts": sampler.parts(), "functions": sampler.functions(12), "digest": played.digest,
    }  # fmt: skip


def _run(command: list[str]) -> subprocess.CompletedProcess[str]:
    done = subprocess.run(command, capture_output=True, text=True, check=False)
    if done.returncode:
        raise SystemExit(done.stderr)
    return done


def measure_in_process(size: Size, policy: str) -> dict[str, Any]:
    """Run `measure` in a separate process."""
    found: dict[str, Any] = json.loads(
        _run([sys.executable, __file__, "--one", *map(str, size), policy]).stdout
    )
    return found


def instructions_per_try(size: Size, policy: str) -> float:
    """Return instructions per try of the counted part: a day with it minus one without, under valgrind."""
    nodes, endpoints, rate, length_s, from_s = size
    totals = []
    for length in (from_s, length_s):
        figures = map(str, (nodes, endpoints, rate, length, from_s))
        done = _run(["valgrind", "--tool=cachegrind", "--cache-sim=no", "--cachegrind-out-file=/dev/null",
                     sys.executable, __file__, "--bare", *figures, policy])  # fmt: skip
        found = re.search(r"I\s+refs:\s+([\d,]+)", done.stderr)
        assert found is not None, done.stderr
        totals.append((int(found[1].replace(",", "")), int(done.stdout)))
    return (totals[1][0] - totals[0][0]) / (totals[1][1] - totals[0][1])


def show(name: str, rows: list[dict[str, Any]]) -> None:
    """Print a table."""
    print(f"\n{name}")
    heads = ("nodes", "ends", "tries/s", "length", "cpu s", "x real", "us/try", "loops", "growth", "MB",
             "ev/try", "dial/try", "G")  # fmt: skip
    print("".join(f"{head:>9}" for head in heads))
    for r in rows:
        growth = r["loops"] / rows[0]["loops"]
        sizes = (r["nodes"], r["endpoints"], r["rate"], r["length_s"])
        print("".join(f"{x:9g}" for x in sizes), end="")
        tries = r["requests"]
        cost = (r["seconds"], r["speed"], r["cost_us"], r["loops"], growth, r["memory_mb"],
                r["events"] / tries, r["dials"] / tries, r["g"])  # fmt: skip
        print("".join(f"{x:9.2f}" for x in cost))
    for r in rows:
        parts = ", ".join(f"{k} {v:.0%}" for k, v in r["parts"].items())
        print(f"{r['endpoints']:6} endpoints: {parts}")
        for part, function, share in r["functions"]:
            print(f"{'':10}{share:6.1%}  {part:8}{function}")


def _count_tries(size: Size, policy: str) -> int:
    """Return the number of tries of a day cut off at its last arrival, as what follows varies in length."""
    day = draw_day(size)
    world = World(day, maker(policy), Judge(day))
    gc.disable()
    world.begin()
    world.engine.run(day.length_us)
    return world.client_traffic.asked


def main() -> None:
    """Measure the given sizes, or today and growth."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0] if __doc__ else "")
    parser.add_argument("what", nargs="*", help=f"of {', '.join(SIZES)}; default: today growth")
    parser.add_argument("--policy", default="module")
    parser.add_argument("--json", action="store_true", dest="as_json")
    parser.add_argument("--instructions", action="store_true", help="count instructions: slow, and exact")
    for hidden in ("--one", "--bare"):
        parser.add_argument(hidden, nargs=6, metavar="X", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.one or args.bare:
        nodes, endpoints, rate, length, begin, policy = args.one or args.bare
        size = int(nodes), int(endpoints), float(rate), float(length), float(begin)
        print(json.dumps(measure(size, policy)) if args.one else _count_tries(size, policy))
        return
    unknown = [name for name in args.what if name not in SIZES]
    if unknown:
        parser.error(f"found {unknown[0]!r}, allowed are {', '.join(SIZES)}")
    what = args.what or ("today", "growth")
    if args.instructions:
        for name in what:
            for size in SIZES[name]:
                print(
                    f"{name}: {size[1]} endpoints: "
                    f"{instructions_per_try(size, args.policy):.0f} instructions a try"
                )
        return
    found = {name: [measure_in_process(size, args.policy) for size in SIZES[name]] for name in what}
    if args.as_json:
        print(json.dumps(found, sort_keys=True))
        return
    for name, rows in found.items():
        show(name, rows)


if __name__ == "__main__":
    main()
