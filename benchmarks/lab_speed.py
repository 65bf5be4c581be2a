"""How fast virtual time is, and where the time goes: `python benchmarks/lab_speed.py [today|growth|large]`.

It owns the sizes that are measured and the table. It must never change what is played. Each size runs in a
process of its own, so that its memory is its own. The cost of a try is taken over the later part of the day,
so that starting hundreds of nodes does not count. Time is CPU time of one core. `loops` is that cost in turns
of a fixed loop of plain Python, timed before and after: on a machine that others use, or a slower one,
compare figures by that; `growth` is counted in it. `--instructions` counts with valgrind in place of a clock,
which takes fifty times as long and gives the same figure whatever else runs.
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
LOOP = 2_000_000
# nodes, endpoints, first tries a second, seconds of arrivals, and from which second on they are counted
Size = tuple[int, int, float, float, float]
SIZES: dict[str, list[Size]] = {
    "today": [(3, 12, 390.0, 30.0, 1.0)],
    "growth": [
        (3, 12, 390.0, 20.0, 2.0), (12, 120, 3900.0, 4.0, 2.0), (30, 1200, 39000.0, 1.0, 0.5),
        (120, 1200, 39000.0, 1.0, 0.5),
    ],
    "large": [(100, 1000, 12000.0, 20.0, 2.0)],
}  # fmt: skip


class Watch(Judge):
    """A judge that notes the CPU time and the tries so far at the begin and end of the counted part."""

    def __init__(self, day: Day, from_us: int) -> None:
        super().__init__(day)
        self.from_us, self.tries = from_us, 0
        self.begun: tuple[float, int] | None = None
        self.last = (0.0, 0)

    def asked(self, at: int, *what: Any) -> None:
        """See Judge."""
        super().asked(at, *what)
        self.tries += 1
        if at >= self.from_us:
            self.last = (time.process_time(), self.tries)
            self.begun = self.begun or self.last

    @property
    def cost_us(self) -> float:
        """Of one try in the counted part."""
        assert self.begun is not None
        return (self.last[0] - self.begun[0]) / max(self.last[1] - self.begun[1], 1) * 1e6


def loop_s() -> float:
    """CPU seconds of the fixed loop."""
    begun, x = time.process_time(), 0
    for k in range(LOOP):
        x = (x * 31 + k) & 0xFFFF
    return time.process_time() - begun


def drawn(size: Size) -> Day:
    """The day of a size."""
    nodes, endpoints, rate, length_s, _ = size
    return scenario.draw(
        scenario.load("today"), SEED, nodes=nodes, endpoints=endpoints, rate=rate, length_s=length_s
    )


def measure(size: Size, policy: str) -> dict[str, Any]:
    """One day: its cost and where that went."""
    day, (nodes, endpoints, rate, length_s, from_s) = drawn(size), size
    watch = Watch(day, round(from_s * 1e6))
    before = loop_s()
    with Sampler() as sampler:
        played = play(day, policy, watch)
    loop_us = (before + loop_s()) / 2 / LOOP * 1e6
    return {
        "nodes": nodes, "endpoints": endpoints, "rate": rate, "length_s": length_s,
        "cost_us": watch.cost_us, "loop_us": loop_us, "loops": watch.cost_us / loop_us,
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


def apart(size: Size, policy: str) -> dict[str, Any]:
    """The same in a process of its own."""
    found: dict[str, Any] = json.loads(
        _run([sys.executable, __file__, "--one", *map(str, size), policy]).stdout
    )
    return found


def counted(size: Size, policy: str) -> float:
    """Instructions for each try of the counted part: a day with it less one without, under valgrind."""
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
    """A table for a person."""
    print(f"\n{name}")
    heads = ("nodes", "ends", "tries/s", "length", "cpu s", "x real", "us/try", "loops", "growth", "MB",
             "ev/try", "dial/try", "G")  # fmt: skip
    print("".join(f"{head:>9}" for head in heads))
    for r in rows:
        growth = r["loops"] / rows[0]["loops"]
        whole = (r["nodes"], r["endpoints"], r["rate"], r["length_s"])
        print("".join(f"{x:9g}" for x in whole), end="")
        tries = r["requests"]
        cost = (r["seconds"], r["speed"], r["cost_us"], r["loops"], growth, r["memory_mb"],
                r["events"] / tries, r["dials"] / tries, r["g"])  # fmt: skip
        print("".join(f"{x:9.2f}" for x in cost))
    for r in rows:
        parts = ", ".join(f"{k} {v:.0%}" for k, v in r["parts"].items())
        print(f"{r['endpoints']:6} endpoints: {parts}")
        for part, function, share in r["functions"]:
            print(f"{'':10}{share:6.1%}  {part:8}{function}")


def _bare(size: Size, policy: str) -> int:
    """The tries of a day that ends with its arrivals: what goes on behind them is of no fixed length."""
    day = drawn(size)
    world = World(day, maker(policy), Judge(day))
    gc.disable()
    world.begin()
    world.engine.run(day.length_us)
    return world.client_traffic.asked


def main() -> None:
    """The sizes named, or today and growth."""
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
        print(json.dumps(measure(size, policy)) if args.one else _bare(size, policy))
        return
    wrong = [name for name in args.what if name not in SIZES]
    if wrong:
        parser.error(f"found {wrong[0]!r}, allowed are {', '.join(SIZES)}")
    what = args.what or ("today", "growth")
    if args.instructions:
        for name in what:
            for size in SIZES[name]:
                print(f"{name}: {size[1]} endpoints: {counted(size, args.policy):.0f} instructions a try")
        return
    found = {name: [apart(size, args.policy) for size in SIZES[name]] for name in what}
    if args.as_json:
        print(json.dumps(found, sort_keys=True))
        return
    for name, rows in found.items():
        show(name, rows)


if __name__ == "__main__":
    main()
