"""How long the turns of a node's loop are: the program as it is, with a count of its turns.

    python -m granitewell.lab.turns FOLDER SECONDS    told in FOLDER/turns-NAME.json after SECONDS

It owns the count and the form of the file (JSON). It must never be imported by anything that serves, nor
change what the program does. A timer is due each millisecond; by how much it comes late is how long a request
that came then would have waited for the turn that was under way, and the thread's own CPU time over it tells
work from a machine that gave it no core.
"""

from __future__ import annotations

import asyncio
import importlib
import json
import os
import sys
import time
from pathlib import Path
from typing import Any

EVERY_S = 0.001  # between two looks
LONG_S = 0.005  # of a turn that is counted
MOST = 8  # longest turns that are told
START_S = 1.0  # of a process, whose turns do not count


class Turns:
    """Of one loop.

    Attributes:
        longest: Seconds, of them own work, and when, since the process began.
    """

    def __init__(self) -> None:
        self.looks = self.long = 0
        self.longest: list[tuple[float, float, float]] = []
        self._began = time.monotonic()

    def watch(self, loop: asyncio.AbstractEventLoop) -> None:
        """Count from a second on, once the process has started."""
        loop.call_later(START_S, lambda: self._turn(loop, time.perf_counter(), time.thread_time()))

    def _turn(self, loop: asyncio.AbstractEventLoop, was: float, work: float) -> None:
        now, done = time.perf_counter(), time.thread_time()
        self.looks += 1
        if now - was >= LONG_S:
            self.long += 1
            self.longest.append((now - was, done - work, time.monotonic() - self._began))
            # by own work: a turn that the machine stood still in says nothing of the program
            self.longest.sort(key=lambda x: x[1], reverse=True)
            del self.longest[MOST:]
        loop.call_later(EVERY_S, self._turn, loop, now, done)

    def as_dict(self) -> dict[str, Any]:
        """Plain JSON; milliseconds, and seconds since the start."""
        rows = [{"ms": x * 1e3, "work_ms": y * 1e3, "at_s": z} for x, y, z in self.longest]
        return {"looks": self.looks, "long": self.long, "longest": rows}


def told(path: Path) -> dict[str, Any] | None:
    """What a process has told; None: nothing, or nothing whole."""
    try:
        made = json.loads(path.read_text())
    except (OSError, ValueError):
        return None
    return made if isinstance(made, dict) else None


def counted(path: Path, length_s: float) -> None:
    """From now on this process's loop is counted, and the file tells of it after so long."""
    import uvloop

    make = uvloop.new_event_loop

    def made() -> Any:
        loop, turns = make(), Turns()
        turns.watch(loop)
        loop.call_later(length_s, lambda: path.write_text(json.dumps(turns.as_dict())))
        return loop

    uvloop.new_event_loop = made


def main() -> int:
    """The program, counted."""
    place, length_s = Path(sys.argv[1]), float(sys.argv[2])
    counted(place / f"turns-{os.environ['LB_NAME']}.json", length_s)
    return int(importlib.import_module("granitewell.__main__").main())


if __name__ == "__main__":
    sys.exit(main())
