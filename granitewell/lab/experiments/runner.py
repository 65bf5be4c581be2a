"""Plays the runs that are missing, side by side, each in a process of its own.

It owns the processes and what becomes of one that crashes, hangs or runs out of time: that run has failed,
says why, and costs no other. It must never write results itself or share state with a run: each starts
afresh, so that a variant's constants stay its own.
"""

from __future__ import annotations

import importlib
import json
import multiprocessing
import tempfile
import time
import traceback
from collections.abc import Callable, Iterator, Sequence
from multiprocessing.connection import Connection, wait
from multiprocessing.process import BaseProcess
from pathlib import Path
from typing import Any

from granitewell.lab.experiments.plan import Plan, Run, day
from granitewell.lab.experiments.store import Kept

Play = Callable[[Run, str], dict[str, Any]]


def outcome(run: Run, shell: str) -> dict[str, Any]:
    """Play one day here: `report`, `digest` (in virtual time) and `notes`."""
    for dotted, value in run.variant.constants:
        module, _, name = dotted.rpartition(".")
        made = importlib.import_module(module)
        setattr(made, name, type(getattr(made, name))(value))
    return _on_sockets(run) if shell == "sockets" else _in_virtual_time(run)


def _in_virtual_time(run: Run) -> dict[str, Any]:
    from granitewell.lab.judge import Judge
    from granitewell.lab.simulation.play import play

    drawn = day(run)
    played = play(drawn, run.variant.policy, Judge(drawn))
    notes = dict(played.notes)
    return {"report": played.report, "digest": played.digest, "cpu_s": played.seconds, "notes": notes}


def _on_sockets(run: Run) -> dict[str, Any]:
    from granitewell.lab.loopback.play import play_on_sockets

    with tempfile.TemporaryDirectory(prefix="granitewell-run-") as folder:
        played = play_on_sockets(day(run), Path(folder) / "run")
    return {"report": played["report"], "digest": "", "notes": played["notes"], "busy": played["busy"]}


def _child(run: Run, shell: str, pipe: Connection, play: Play) -> None:
    """The whole life of a run's process: one message, JSON, whatever happens."""
    try:
        told: dict[str, Any] = {"result": play(run, shell)}
    except BaseException:
        told = {"failed": " | ".join(traceback.format_exc().strip().splitlines()[-4:])}
    pipe.send_bytes(json.dumps(told).encode())
    pipe.close()


class _Slot:
    """A run's process while it is at work."""

    def __init__(self, run: Run, plan: Plan, play: Play) -> None:
        context = multiprocessing.get_context("spawn")
        self.run, self.begun = run, time.monotonic()
        self.until = self.begun + plan.timeout_s
        self.pipe, theirs = context.Pipe(duplex=False)
        self.process: BaseProcess = context.Process(target=_child, args=(run, plan.shell, theirs, play))
        self.process.start()
        theirs.close()

    def end(self) -> None:
        """The process must not outlive its run."""
        if self.process.is_alive():
            self.process.terminate()
            self.process.join(2.0)
            if self.process.is_alive():
                self.process.kill()
        self.process.join()
        self.pipe.close()

    def kept(self) -> Kept:
        """What came of it."""
        told: dict[str, Any] = {}
        if self.pipe.poll():
            try:
                told = json.loads(self.pipe.recv_bytes())
            except (EOFError, OSError, ValueError):
                told = {}
        seconds = time.monotonic() - self.begun
        late = time.monotonic() >= self.until
        self.end()
        why = told.get("failed", "")
        if not told:
            why = "ran out of time" if late else f"its process ended with code {self.process.exitcode}"
        result = told.get("result", {})
        variant, setting, seed = self.run.key
        return Kept(
            variant, setting, seed, why, seconds, result.get("digest", ""), self.run.command(), result
        )


def play(runs: Sequence[Run], plan: Plan, jobs: int, how: Play = outcome) -> Iterator[Kept]:
    """The runs as they end, `jobs` at a time. Closing the iterator ends what is at work."""
    left, slots = list(reversed(runs)), list[_Slot]()
    try:
        while left or slots:
            while left and len(slots) < max(jobs, 1):
                slots.append(_Slot(left.pop(), plan, how))
            rest = min(s.until for s in slots) - time.monotonic()
            wait([s.pipe for s in slots], max(rest, 0.0))
            now = time.monotonic()
            ended = [s for s in slots if s.pipe.poll() or now >= s.until or not s.process.is_alive()]
            slots = [s for s in slots if s not in ended]
            for slot in ended:
                yield slot.kept()
    finally:
        for slot in slots:
            slot.end()
