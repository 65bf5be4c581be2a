"""One day on loopback sockets, from a `Day` to the judge's report: `play_on_sockets(day, out)`.

It owns the loop that a director runs in, what a signal does to it, and the joining of all recordings. It must
never judge, and whatever happens it leaves no process behind; files that are finished stay.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import uvloop

from granitewell.lab.day import Day
from granitewell.lab.judge import Judge
from granitewell.lab.loopback.director import Director, Options
from granitewell.lab.loopback.plan import SocksError
from granitewell.lab.recording import merge, replay

SEEN, PLAYED = "seen-*.jsonl", "played.json"
Until = Callable[[Director], Awaitable[None]]


def run(day: Day, out: Path, options: Options, until: Until | None = None) -> Director:
    """Run a director until the day is over, or `until` is done.

    SocksError, in one line: the machine does not give what is needed, or a process has failed.
    KeyboardInterrupt: SIGINT or SIGTERM has come.
    """
    try:
        _clear(out)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(_run(day, out, options, until))
    except OSError as error:
        where = f"{error.filename}: " if error.filename else ""
        raise SocksError(f"{where}{error.strerror or error}") from None
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None  # SIGTERM ends a run as SIGINT does


def _clear(out: Path) -> None:
    """A place for a run: a finished one stays, of an unfinished one nothing may be taken for this one's."""
    out.mkdir(parents=True, exist_ok=True)
    if (out / PLAYED).exists():
        raise SocksError(f"{out}: holds a finished run, which stays; name another place")
    for path in out.glob(SEEN):
        path.unlink()


async def _run(day: Day, out: Path, options: Options, until: Until | None) -> Director:
    loop, task = asyncio.get_running_loop(), asyncio.current_task()
    assert task is not None
    with contextlib.suppress(ValueError, RuntimeError):  # not in the main thread: then the caller has signals
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    director = Director(day, out, options)
    loop.set_exception_handler(lambda _, c: director.fail(c.get("exception") or RuntimeError(c["message"])))
    await director.run(until)
    return director


def play_on_sockets(day: Day, out: Path, options: Options | None = None) -> dict[str, Any]:
    """Play the day with real node processes and judge it.

    The dict: `report` (the judge's, as a dict), `lines` (the same in words), `notes` (offences against the
    protocol that no rule of the judge knows, and other things worth a line, with how often), `late_us` (99th
    percentile and most, by stand-in), `cores` (how long each process waited for a core), `busy` (whether the
    figures say more of this machine than of the nodes: such a day is to be played again), `exits` (exit codes
    of nodes that ended unasked), `out`. It is also written to `played.json` there; `seen-*.jsonl`, `day.json`
    and all logs stay. Errors: as run's.
    """
    director = run(day, out, options or Options())
    judge = Judge(day)
    replay(merge(sorted(out.glob(SEEN))), judge)
    report = judge.report()
    played = {
        "report": report.as_dict(), "lines": list(report.lines()),
        "notes": dict(sorted(director.notes.items())),
        "late_us": director.late_us, "cores": director.pulse.as_dict(),
        "busy": director.pulse.busy(director.late_us),
        "exits": {s.name: s.exits for s in director.node_hosts.values() if s.exits}, "out": str(out),
    }  # fmt: skip
    try:
        (out / PLAYED).write_text(json.dumps(played, indent=1))
    except OSError as error:
        raise SocksError(f"{out / PLAYED}: {error.strerror}") from None
    return played
