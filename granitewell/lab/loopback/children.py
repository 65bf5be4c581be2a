"""Processes that a run has started, and their certain end.

It owns every process of a run: each is the leader of a group of its own, is killed by the kernel should the
director die, and is ended by its id when the run is over, whatever happened. It must never know what a
process does, or end one that it did not start.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import signal
import subprocess
import time
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from typing import Any

from granitewell.lab.loopback.plan import SocksError

END_S = 5.0  # for a stand-in to write what it has seen, after which it is killed
LAST_LINES = 3  # of a process's log, told where it failed
_LIBC = ctypes.CDLL(None, use_errno=True)
_PDEATHSIG = 1
Exit = Callable[[int], None]
News = Callable[[dict[str, Any]], None]


def _die_with_parent() -> None:
    """In the new process, before its program begins: SIGKILL when the director's process ends."""
    _LIBC.prctl(_PDEATHSIG, signal.SIGKILL)


class Child:
    """One process. `code` is its exit code once it has ended (negative: by that signal), else None."""

    def __init__(self, name: str, command: Sequence[str], env: Mapping[str, str], log: Path, on_exit: Exit,
                 on_news: News | None = None, pass_fds: Sequence[int] = ()) -> None:  # fmt: skip
        """Start it; with on_news it is a stand-in that is told and tells JSON lines.

        Args:
            pass_fds: Descriptors that it gets under the same numbers. SocksError: it can't be started.
        """
        self.name, self.log, self._on_exit, self._on_news = name, log, on_exit, on_news
        self.code: int | None = None
        self._held = bytearray()
        pipe = subprocess.PIPE if on_news else subprocess.DEVNULL
        try:
            with log.open("ab") as errors:
                self._process = subprocess.Popen(
                    command, env=dict(env), stdin=pipe, stdout=pipe if on_news else errors, stderr=errors,
                    process_group=0, preexec_fn=_die_with_parent, pass_fds=pass_fds,
                )  # fmt: skip
        except OSError as error:
            raise SocksError(f"{name}: could not be started: {error}") from None
        self.pid = self._process.pid
        self._loop = asyncio.get_running_loop()
        self._watch = os.pidfd_open(self.pid)
        self._loop.add_reader(self._watch, self._ended)
        if self._process.stdout is not None:
            os.set_blocking(self._process.stdout.fileno(), False)
            self._loop.add_reader(self._process.stdout.fileno(), self._read)

    def tell(self, **words: Any) -> None:
        """An order to a stand-in; one that has ended hears nothing."""
        if self.code is None and self._process.stdin is not None:
            with contextlib.suppress(BrokenPipeError):
                os.write(self._process.stdin.fileno(), json.dumps(words).encode() + b"\n")

    def signal(self, number: int) -> None:
        """Send a signal to it, and to what it has started where that ends it."""
        if self.code is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            if number == signal.SIGKILL:
                os.killpg(self.pid, number)
            else:
                os.kill(self.pid, number)

    def last_lines(self) -> str:
        """The end of its log, in one line."""
        with contextlib.suppress(OSError):
            lines = [x.strip() for x in self.log.read_text(errors="replace").splitlines() if x.strip()]
            return " | ".join(lines[-LAST_LINES:])
        return ""

    def reap(self) -> None:
        """Kill it and what is left of its group, and wait until it is gone. Works without a loop."""
        # the group outlives its leader where that has started others; its id stays taken until all are gone
        with contextlib.suppress(ProcessLookupError, PermissionError):
            os.killpg(self.pid, signal.SIGKILL)
        self._process.wait()
        self.code = self._process.returncode

    def let_go(self) -> None:
        """The loop watches it no more."""
        stdout = self._process.stdout
        for fd in (self._watch, stdout.fileno() if stdout is not None and not stdout.closed else -1):
            with contextlib.suppress(OSError, ValueError):
                self._loop.remove_reader(fd)
        with contextlib.suppress(OSError):
            os.close(self._watch)
        for stream in (self._process.stdin, self._process.stdout):
            if stream is not None:
                with contextlib.suppress(OSError):
                    stream.close()

    def _ended(self) -> None:
        self._loop.remove_reader(self._watch)
        self._read()
        self.code = self._process.wait()
        self._on_exit(self.code)

    def _read(self) -> None:
        stdout = self._process.stdout
        if stdout is None or stdout.closed or self._on_news is None:
            return
        try:
            while data := os.read(stdout.fileno(), 65536):
                self._held += data
        except BlockingIOError:
            pass
        else:
            self._loop.remove_reader(stdout.fileno())
        while (end := self._held.find(b"\n")) >= 0:
            line, self._held = bytes(self._held[:end]), self._held[end + 1 :]
            self._on_news(json.loads(line))


class Children:
    """All processes of a run."""

    def __init__(self) -> None:
        self._all: list[Child] = []

    def start(self, *args: Any, **words: Any) -> Child:
        """As Child's."""
        child = Child(*args, **words)
        self._all.append(child)
        return child

    async def end(self, *some: Child) -> None:
        """Ask these stand-ins to end, and wait until they have, or kill them."""
        for child in some:
            child.tell(do="end")
        until = time.monotonic() + END_S
        while any(c.code is None for c in some) and time.monotonic() < until:
            await asyncio.sleep(0.01)

    def reap(self) -> None:
        """End whatever is still there."""
        for child in self._all:
            child.reap()
            child.let_go()
        self._all = []
