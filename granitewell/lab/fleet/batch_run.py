"""Many seeds of a scenario on processes, several runs at a time, beside the same schedules in virtual time.

It owns the spread over runs, what of each is kept, and the joining of figures (by `hunt`, which it calls).
It must never judge, or let a run that the machine was too busy for count as a verdict: what such a run found
stands apart. Of a run whose rules were kept only its schedule and figures stay; a night fills no disk.
"""

from __future__ import annotations

import json
import multiprocessing
import shutil
from collections.abc import Iterator
from dataclasses import dataclass, field
from multiprocessing.connection import Connection, wait
from multiprocessing.context import SpawnProcess
from pathlib import Path
from statistics import median
from typing import Any

from granitewell.lab.fleet import virtual
from granitewell.lab.fleet.hunt import Hunt, take
from granitewell.lab.fleet.play import play
from granitewell.lab.fleet.types import Schedule

JOINED = "night.json"


@dataclass(frozen=True, slots=True)
class Shift:
    """One run of a night.

    Attributes:
        beside: The same schedule is played in virtual time, too.
    """

    schedule: Schedule
    out: Path
    plant: str = ""
    beside: bool = True


@dataclass(slots=True)
class BatchResult:
    """What came of it.

    Attributes:
        processes: Of the runs that count.
        busy: Of those for which the machine was too busy.
        virtual: Of all of these schedules.
        in_time: Parts of the tries, by seed.
        rules: Offences against the rules on requests, by seed.
        failed: Seeds that did not run, and why.
    """

    processes: Hunt = field(default_factory=Hunt)
    busy: Hunt = field(default_factory=Hunt)
    virtual: Hunt = field(default_factory=Hunt)
    in_time: dict[int, float] = field(default_factory=dict)
    rules: dict[int, dict[str, int]] = field(default_factory=dict)
    failed: dict[int, str] = field(default_factory=dict)

    @property
    def broken(self) -> list[int]:
        """Seeds of runs that count in which a rule was broken."""
        return sorted({*self.processes.broken, *self.rules})

    def take(self, seed: int, made: dict[str, Any], beside: dict[str, Any] | None) -> None:
        """Add one run's figures."""
        if beside is not None:
            take(self.virtual, seed, beside)
        if "error" in made:
            self.failed[seed] = made["error"]
            return
        take(self.busy if made["busy"] else self.processes, seed, made)
        self.in_time[seed] = made["in_time"]
        if made["rules"] and not made["busy"]:
            self.rules[seed] = made["rules"]

    def as_dict(self) -> dict[str, Any]:
        """Plain JSON."""
        parts = sorted(self.in_time.values())
        spread = {"median": median(parts), "worst": parts[0], "count": len(parts)} if parts else None
        return {
            "processes": self.processes.as_dict(), "busy": self.busy.as_dict(),
            "virtual": self.virtual.as_dict(), "in_time": spread, "broken": self.broken,
            "rules": {str(k): v for k, v in self.rules.items()},
            "failed": {str(k): v for k, v in self.failed.items()},
        }  # fmt: skip


def one(shift: Shift) -> tuple[int, dict[str, Any], dict[str, Any] | None]:
    """Play one: its seed, its figures, and those of virtual time."""
    seed = shift.schedule.seed
    beside = virtual.play(shift.schedule) if shift.beside else None
    try:
        made = play(shift.schedule, shift.out, shift.plant)
    except Exception as error:  # the others go on, and this one is named
        return seed, {"error": f"{type(error).__name__}: {error}"}, beside
    kept = {k: v for k, v in made.items() if k not in ("looks", "done", "day", "played")}
    if made["kept"]:
        _lighten(shift.out)
    return seed, kept, beside


def _lighten(place: Path) -> None:
    """Let go of all but the schedule and the figures."""
    for path in place.iterdir():
        if path.is_dir():
            shutil.rmtree(path, ignore_errors=True)
        elif path.name not in ("schedule.json", "fleet-run.json"):
            path.unlink(missing_ok=True)


def _work(shift: Shift, told: Connection) -> None:
    """In a process of its own, which ends with its run; SIGTERM ends the run and all of its processes."""
    with told:
        told.send(one(shift))


def night(shifts: list[Shift], out: Path, jobs: int) -> Iterator[BatchResult]:
    """The joined figures after each run, the last ones whole.

    They are also in `night.json` there each time, so that a night which is cut short has not been for
    nothing. OSError: that can't be written.
    """
    found, left = BatchResult(), list(shifts)
    out.mkdir(parents=True, exist_ok=True)
    context = multiprocessing.get_context("spawn")
    works: dict[Connection, tuple[SpawnProcess, int]] = {}
    try:
        while left or works:
            while left and len(works) < jobs:
                ours, theirs = context.Pipe(duplex=False)
                process = context.Process(target=_work, args=(left[0], theirs))
                process.start()
                theirs.close()
                works[ours] = process, left.pop(0).schedule.seed
            for told in wait(list(works)):
                assert isinstance(told, Connection)
                process, seed = works.pop(told)
                try:
                    found.take(*told.recv())
                except EOFError:
                    found.failed[seed] = "its process has ended without a word"
                told.close()
                process.join()
                (out / JOINED).write_text(json.dumps(found.as_dict(), indent=1))
                yield found
    finally:  # whatever ends the night, no run goes on without it
        for process, _ in works.values():
            process.terminate()
        for process, _ in works.values():
            process.join()
