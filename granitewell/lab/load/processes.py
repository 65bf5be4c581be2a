"""The processes of a run: workers and stand-ins, started, told, heard and ended.

It owns every process that the tool starts, and ends them all by their own ids. It must never look into a
figure. A child ends by itself when its standard input does, so none outlives this process, however that ends.
"""

from __future__ import annotations

import json
import os
import selectors
import subprocess
import sys
import time
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import asdict
from typing import Any

from granitewell.lab.load.counts import Tally, unpacked
from granitewell.lab.load.plan import Plan, Step, Target
from granitewell.lab.load.preflight import PreflightError

START_S = 30.0
LEAD_US = 50_000  # from the word to the step's first moment
GRACE_S = 5.0
LOOK_S = 0.1


def start(module: str, cpu: int | None, nice: int = 0) -> subprocess.Popen[bytes]:
    """`python -m` that module, in a process group of its own: a terminal's Ctrl-C reaches only us."""
    child = subprocess.Popen(
        [sys.executable, "-m", module], stdin=subprocess.PIPE, stdout=subprocess.PIPE, process_group=0
    )
    if cpu is not None:
        os.sched_setaffinity(child.pid, {cpu})
    try:
        os.setpriority(os.PRIO_PROCESS, child.pid, nice)
    except PermissionError:
        end([child])
        raise PreflightError(
            f"--nice: {nice} is not allowed here (a value below 0 needs the privilege)"
        ) from None
    return child


def end(children: Sequence[subprocess.Popen[bytes]]) -> None:
    """Close their inputs, wait, and kill by id whoever is still there."""
    for child in children:
        assert child.stdin is not None and child.stdout is not None
        with suppress(OSError):  # it had died with something unread in its pipe
            child.stdin.close()
    for child in children:
        try:
            child.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            child.kill()
            child.wait()
        assert child.stdout is not None
        child.stdout.close()


def how_ended(code: int) -> str:
    """A process's return code in words."""
    return f"signal {-code}" if code < 0 else f"exit code {code}"


class Stands:
    """Bare stand-ins, one process each."""

    def __init__(self, count: int, cpus: Sequence[int | None]) -> None:
        self._children = [start("granitewell.lab.load.baseline_server", cpus[k]) for k in range(count)]
        try:
            self.targets = tuple(self._target(child) for child in self._children)
        except BaseException:
            self.close()
            raise

    def _target(self, child: subprocess.Popen[bytes]) -> Target:
        assert child.stdout is not None
        line = child.stdout.readline().strip()
        if not line.isdigit():
            raise PreflightError(
                f"--against-bare: a stand-in did not start ({how_ended(child.wait(GRACE_S))})"
            )
        return Target("127.0.0.1", int(line))

    def close(self) -> None:
        """End them."""
        end(self._children)


class _Member:
    """One worker and what it has said."""

    def __init__(self, plan: Plan, number: int, cpu: int | None, nice: int) -> None:
        self.child = start("granitewell.lab.load.worker", cpu, nice)
        self.heard: list[Any] = []
        self.over = False  # its output has ended
        self._rest = b""
        self.tell({"plan": asdict(plan), "number": number})

    def tell(self, command: dict[str, object]) -> None:
        """One command; a worker that is gone is noticed by its output."""
        assert self.child.stdin is not None
        with suppress(OSError):
            self.child.stdin.write(json.dumps(command).encode() + b"\n")
            self.child.stdin.flush()

    def read(self) -> None:
        """What its output brings now."""
        assert self.child.stdout is not None
        data = os.read(self.child.stdout.fileno(), 1 << 16)
        self.over = not data
        *lines, self._rest = (self._rest + data).split(b"\n")
        self.heard += [json.loads(line) for line in lines]


class Played:
    """One step as the workers played it.

    A tally for each that reported, why others did not, and whether an interruption ended it early.
    """

    def __init__(self) -> None:
        self.tallies: list[Tally] = []
        self.dead: list[str] = []
        self.stopped = False


class Crew:
    """The workers of one run. `stop` may be called at any time, from a signal's handler too."""

    def __init__(self, plan: Plan, cpus: Sequence[int | None], nice: int = 0) -> None:
        self._members: list[_Member] = []
        self.stopped = False
        try:
            for number in range(plan.workers):
                self._members.append(_Member(plan, number, cpus[number], nice))
            gone = self._hear(lambda: None, time.monotonic() + START_S)
        except BaseException:
            self.close()
            raise
        if gone:
            self.close()
            raise PreflightError(f"--processes: {'; '.join(gone)}")
        for member in self._members:
            member.heard.clear()

    @property
    def pids(self) -> list[int]:
        """Of the workers, in order."""
        return [member.child.pid for member in self._members]

    def play(self, step: Step, timeout_us: int, tick: Callable[[], None]) -> Played:
        """Play one step on all workers; `tick` is called some ten times a second meanwhile."""
        start_us = time.monotonic_ns() // 1000 + LEAD_US
        for member in self._members:
            member.tell({"step": asdict(step), "start_us": start_us})
        limit = time.monotonic() + (step.length_us + timeout_us) / 1e6 + START_S
        played = Played()
        played.dead = self._hear(tick, limit)
        for member in self._members:
            for told in member.heard:
                played.tallies.append(unpacked(told["tally"]))
                played.stopped = played.stopped or told["stopped"]
            member.heard.clear()
        return played

    def _hear(self, tick: Callable[[], None], limit: float) -> list[str]:
        """Read until every worker has said something, or one is gone and the others have been stopped.

        Who is gone, and how.
        """
        with selectors.DefaultSelector() as selector:
            for member in self._members:
                assert member.child.stdout is not None
                selector.register(member.child.stdout, selectors.EVENT_READ, member)
            told = False
            while any(not m.heard and not m.over for m in self._members) and time.monotonic() < limit:
                for key, _ in selector.select(LOOK_S):
                    key.data.read()
                    if key.data.over:
                        selector.unregister(key.fileobj)
                        self.stop()
                tick()
                if self.stopped and not told:
                    told, limit = True, min(limit, time.monotonic() + GRACE_S)
                    for member in self._members:
                        member.tell({"stop": True})
        return [self._why(k, member) for k, member in enumerate(self._members, 1) if not member.heard]

    def _why(self, number: int, member: _Member) -> str:
        who = f"worker {number} (process {member.child.pid})"
        if not member.over:
            return f"{who} did not report in time"
        return f"{who} died: {how_ended(member.child.wait())}"

    def stop(self) -> None:
        """Nothing more is to leave; the workers report what there is."""
        self.stopped = True  # told by `_hear`: a signal's handler must not write amid another write

    def close(self) -> None:
        """End them."""
        end([member.child for member in self._members])
