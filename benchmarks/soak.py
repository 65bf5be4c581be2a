"""Soak test on sockets: reports memory growth in the nodes, and warnings of asyncio.

    python benchmarks/soak.py [SECONDS] [--turns]

Two real nodes, nine emulated endpoints, a busy day of SECONDS (30) with unusual answers, misbehaving clients,
a drain, a restart, a reload and a vanished endpoint. Each node runs under `-X dev` with ResourceWarning as an
error, the loop in debug mode, and tracemalloc; two snapshots are taken, a third of the way in and near the
end. Prints, for each node: memory traced at both moments, the lines that grew most between them, tasks and
descriptors at both, and all warnings and errors in its log. Tracing slows a node down several times, so that
the day's figures and the rules on time are meaningless; the other rules are valid.

With --turns nothing is traced. Instead the durations of each node's event loop turns are printed, the longest
with their CPU time, as an operator's call or the next request waits for the current turn; see lab/turns.
"""

from __future__ import annotations

import asyncio
import gc
import os
import sys
import tempfile
import time
import tracemalloc
from pathlib import Path

ENV_VARIABLE = "GRANITEWELL_SOAK"
COMPLAINTS = ("Traceback", "Warning", "never awaited", "never retrieved", "fault:", "Exception ignored")
MAX_GROWTH_LINES = 8  # lines of growth that are printed


def node() -> int:
    """Run one node with tracing."""
    import uvloop

    from granitewell import __main__ as program
    from granitewell.lab.turns import counted
    from granitewell.net.loop import Node

    place, length_s, turns = os.environ[ENV_VARIABLE].split("|")
    if turns:
        counted(Path(place, f"turns-{os.environ['LB_NAME']}.json"), float(length_s) * 0.9)
        return program.main()
    marks, began = [float(length_s) / 3, float(length_s) * 0.9], time.monotonic()
    told: list[str] = []
    before: list[tracemalloc.Snapshot] = []
    sweep, make = Node._sweep, uvloop.new_event_loop

    def new_debug_loop() -> asyncio.AbstractEventLoop:
        loop = make()
        loop.set_debug(True)
        loop.slow_callback_duration = 3600.0  # callback durations are meaningless under tracing
        return loop

    def take_snapshot(node: Node) -> None:
        gc.collect()
        now = tracemalloc.take_snapshot().filter_traces([tracemalloc.Filter(False, tracemalloc.__file__)])
        size = tracemalloc.get_traced_memory()[0]
        counts = f"{len(asyncio.all_tasks(node._loop))} tasks, {len(os.listdir('/proc/self/fd'))} descriptors"
        told.append(f"{time.monotonic() - began:.0f} s: {size / 1e6:.2f} MB traced, {counts}, "
                    f"{node._core.stats['taken']} taken")  # fmt: skip
        for grown in now.compare_to(before[0], "lineno")[:MAX_GROWTH_LINES] if before else ():
            where = grown.traceback[0]
            told.append(f"    {grown.size_diff / 1e3:+8.1f} kB {grown.count_diff:+6d}  "
                        f"{'/'.join(Path(where.filename).parts[-3:])}:{where.lineno}")  # fmt: skip
        before.append(now)
        Path(place, f"grown-{node._config.name}.txt").write_text("\n".join(told) + "\n")

    def sweep_and_watch(node: Node) -> None:
        sweep(node)
        if marks and time.monotonic() - began >= marks[0]:
            marks.pop(0)
            take_snapshot(node)

    uvloop.new_event_loop = new_debug_loop
    Node._sweep = sweep_and_watch  # type: ignore[method-assign]
    tracemalloc.start(1)
    return program.main()


def main() -> int:
    """Run the day and print the results."""
    from dataclasses import replace

    from granitewell.lab import day as d
    from granitewell.lab.loopback.director import Options
    from granitewell.lab.loopback.play import play_on_sockets
    from granitewell.lab.scenario import draw, load
    from granitewell.lab.turns import LONG_S, told

    turns = "--turns" in sys.argv
    length_s = next((float(x) for x in sys.argv[1:] if x != "--turns"), 30.0)
    at = [int(length_s * 1e6 * k / 10) for k in range(11)]
    day = draw(load("busy"), 3, nodes=2, endpoints=9, length_s=length_s, rate=150.0)
    names = [e.id for e in day.endpoints]
    faults = (
        d.Fault(at[2], at[4], "condition", ",".join(names[:2]), (("effect", "spoilt"), ("share", 0.3))),
        d.Fault(at[3], at[5], "drain", names[2]), d.Fault(at[4], at[5], "restart", names[3]),
        d.Fault(at[5], at[6], "vanish", names[4]),
        d.Fault(at[6], -1, "node_hup", day.nodes[0].name),
    )  # fmt: skip
    place = Path(tempfile.mkdtemp(prefix="granitewell-soak-"))
    os.environ[ENV_VARIABLE] = f"{place}|{length_s}|{'turns' if turns else ''}"
    watch = () if turns else ("-X", "dev", "-W", "error::ResourceWarning")
    program = (sys.executable, *watch, str(Path(__file__).resolve()), "--node")
    options = Options(program=program, rough=0.1, rude=20)
    played = play_on_sockets(replace(day, faults=faults), place, options)
    print(f"rules: {played['report']['offences'] or 'none broken'}")
    for log in sorted(place.glob("node-*.log")):
        name = log.stem.removeprefix("node-")
        grown = place / f"grown-{name}.txt"
        print(f"== {name}\n{grown.read_text() if grown.exists() else ''}", end="")
        if found := told(place / f"turns-{name}.json"):
            long = f"{found['long']} turns of over {LONG_S * 1e3:.0f} ms"
            print(f"{found['looks']} looks, {long}; most own work:")
            for x in found["longest"]:
                print(f"    {x['ms']:6.1f} ms, {x['work_ms']:.1f} ms of own work, {x['at_s']:.1f} s")
        lines = log.read_text(errors="replace").splitlines()
        complaints = [line for line in lines if any(x in line for x in COMPLAINTS)]
        print(f"complaints: {len(complaints)}", *complaints[:10], sep="\n    ")
    return 0


if __name__ == "__main__":
    sys.exit(node() if "--node" in sys.argv else main())
