"""The frame of one stand-in process: its loop, its channel to the director, its recording, its end.

It owns the process's start and exit. Orders come in as JSON lines on standard input, news go out the same way
on standard output; when standard input ends, the director is gone and so is the process. Whatever fails ends
the process with a line that says why: a stand-in that goes on after a fault of its own would be judged as the
node's. It must never know what the part that it frames does.
"""

from __future__ import annotations

import asyncio
import errno
import gc
import json
import os
import resource
import signal
import sys
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any, Protocol

import uvloop

from granitewell.lab.loopback.clock import Agenda, DayClock
from granitewell.lab.loopback.plan import Plan, load_plan

NO_MEANS = (errno.ENOSPC, errno.EMFILE, errno.ENFILE, errno.EADDRINUSE, errno.EADDRNOTAVAIL, errno.EDQUOT)
Words = dict[str, Any]


class Part(Protocol):
    """What a process plays."""

    def order(self, words: Words) -> None:
        """The director wants something."""

    def close(self) -> None:
        """The process ends: write what is still to be written."""


class DirectorChannel:
    """The channel to the director, and the process's agenda."""

    def __init__(self, plan: Plan, agenda: Agenda) -> None:
        self.plan, self.agenda = plan, agenda
        self.done = asyncio.Event()
        self.code = 0

    def say(self, **words: Any) -> None:
        """News for the director."""
        os.write(1, json.dumps(words).encode() + b"\n")

    def fail(self, error: BaseException) -> None:
        """End the process, and say why."""
        if self.code == 0:
            means = isinstance(error, OSError) and error.errno in NO_MEANS
            self.code = 3 if means else 70
            if not means:
                traceback.print_exception(error)
            self.say(trouble=f"{type(error).__name__}: {error}" if not means else str(error))
        self.done.set()


async def _play(make: Callable[[DirectorChannel], Part], plan: Plan) -> int:
    loop = asyncio.get_running_loop()
    channel = DirectorChannel(plan, Agenda(DayClock(), loop))
    loop.set_exception_handler(lambda _, c: channel.fail(c.get("exception") or RuntimeError(c["message"])))
    part: Part | None = None
    try:
        part = make(channel)
        _listen(loop, channel, part)
        gc.freeze()
        await channel.done.wait()
    except (OSError, ValueError) as error:
        channel.fail(error)
    try:
        if part is not None:
            part.close()
    except OSError as error:
        channel.fail(error)
    return channel.code


def _listen(loop: asyncio.AbstractEventLoop, channel: DirectorChannel, part: Part) -> None:
    """Have each line of standard input done as it comes."""
    os.set_blocking(0, False)
    held = bytearray()

    def read() -> None:
        data = os.read(0, 65536)
        if not data:
            loop.remove_reader(0)
            channel.done.set()
            return
        held.extend(data)
        while (end := held.find(b"\n")) >= 0:
            words = json.loads(bytes(held[:end]))
            del held[: end + 1]
            if "begin_ns" in words:
                channel.agenda.begin(int(words["begin_ns"]))
            elif words.get("do") == "end":
                channel.done.set()
            else:
                part.order(words)

    loop.add_reader(0, read)


def main(make: Callable[[DirectorChannel], Part]) -> int:
    """Run a part under the plan that the first argument names.

    The exit code: 0 in good order, 3 where the machine does not give what is needed, 70 for a fault of the
    lab's own.
    """
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the director ends what it began
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    gc.set_threshold(20_000, 20, 20)
    plan = load_plan(Path(sys.argv[1]))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(_play(make, plan))
