"""Observations as JSON lines: written as they are seen, read back, merged by time, and played to a Witness.

It owns the form of a recording (one `[method, at_us, args...]` a line, methods and arguments as in
lab.witness) and its checks. It must never judge, or make up what a file does not say. Each line goes out in
one write, so that a killed process leaves at most its last line cut; a file that is taken up again loses such
a rest first. A line that is cut at the end of a file is left out; anything else that is not an observation is
an error that names file and line.
"""

from __future__ import annotations

import heapq
import inspect
import json
import os
from collections.abc import Iterable, Iterator, Sequence
from heapq import heappop, heappush
from pathlib import Path
from typing import Any, NamedTuple

from granitewell.lab.witness import Witness

WINDOW_US = 1_000_000  # by which lines of one file may stand out of order
MAX_LINE = 64 * 1024  # bytes of a line


class RecordingError(ValueError):
    """A file that is no recording; one line of text that begins with file:line."""


class Line(NamedTuple):
    """One observation as it was read. Sorted by time, then by file and line."""

    at: int
    file: int
    number: int
    method: str
    args: tuple[Any, ...]


_KINDS: dict[str, tuple[type, ...]] = {"int": (int,), "str": (str,), "float": (int, float), "bool": (bool,)}


class _Shape:
    """What a method takes."""

    def __init__(self, name: str) -> None:
        found = list(inspect.signature(getattr(Witness, name)).parameters.values())[1:]
        self.names = [p.name for p in found]
        self.types = [str(p.annotation) for p in found]
        self.least = sum(p.default is inspect.Parameter.empty for p in found)

    def problem(self, args: Sequence[Any]) -> str:
        """What is wrong with these arguments; "" if nothing."""
        if not self.least <= len(args) <= len(self.names):
            return f"found {len(args)} arguments, wanted {', '.join(self.names)}"
        for name, kind, value in zip(self.names, self.types, args, strict=False):
            if not isinstance(value, _KINDS[kind]) or (isinstance(value, bool) and kind != "bool"):
                return f"{name}: found {json.dumps(value)[:60]}, wanted {kind}"
        return "" if args[0] >= 0 else f"at: found {args[0]}, wanted 0 or more"


METHODS = {n: _Shape(n) for n, f in vars(Witness).items() if not n.startswith("_") and inspect.isfunction(f)}


class Recorder:
    """A Witness that writes what it sees to a file, a line each, unbuffered. OSError where that fails."""

    def __init__(self, path: str | Path) -> None:
        """The file is made, or taken up behind its last whole line."""
        self._fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o644)
        size = os.fstat(self._fd).st_size
        while size and os.pread(self._fd, 1, size - 1) != b"\n":
            size -= 1
        os.ftruncate(self._fd, size)
        os.lseek(self._fd, size, os.SEEK_SET)

    def close(self) -> None:
        """Nothing more is recorded."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1

    def _write(self, *line: object) -> None:
        data = json.dumps(line, separators=(",", ":")).encode() + b"\n"
        while data:  # a disk that is nearly full takes a part
            data = data[os.write(self._fd, data) :]

    def asked(self, at: int, rid: str, first: str, cls: int, tenant: int, key: int, zone: int,
              timeout_us: int, rebooks: str = "") -> None:  # fmt: skip
        """See Witness, as for all that follows."""
        more = (rebooks,) if rebooks else ()
        self._write("asked", at, rid, first, cls, tenant, key, zone, timeout_us, *more)

    def taken(self, at: int, rid: str, node: str) -> None:
        """A node's machine has the try."""
        self._write("taken", at, rid, node)

    def answered(self, at: int, rid: str, node: str, verdict: str, retry_after_us: int,
                 right_body: bool) -> None:  # fmt: skip
        """The client has its answer."""
        self._write("answered", at, rid, node, verdict, retry_after_us, right_body)

    def left(self, at: int, rid: str) -> None:
        """The client has closed."""
        self._write("left", at, rid)

    def lost(self, at: int, rid: str, node: str, why: str) -> None:
        """The node ended the connection of a try that it had taken."""
        self._write("lost", at, rid, node, why)

    def told(self, at: int, node: str, endpoint: str, state: str) -> None:
        """Discovery has written to a node."""
        self._write("told", at, node, endpoint, state)

    def dialed(self, at: int, node: str, endpoint: str) -> None:
        """A connection has come up at an endpoint."""
        self._write("dialed", at, node, endpoint)

    def sent(self, at: int, rid: str, node: str, endpoint: str, first_byte_at: int) -> None:
        """An attempt has arrived."""
        self._write("sent", at, rid, node, endpoint, first_byte_at)

    def ran(self, at: int, rid: str, endpoint: str, work_us: float) -> None:
        """Work on an attempt has begun."""
        self._write("ran", at, rid, endpoint, work_us)

    def ended(self, at: int, rid: str, endpoint: str, outcome: str) -> None:
        """An endpoint is done with an attempt."""
        self._write("ended", at, rid, endpoint, outcome)

    def probed(self, at: int, node: str, endpoint: str) -> None:
        """A probe has arrived."""
        self._write("probed", at, node, endpoint)

    def endpoint_up(self, at: int, endpoint: str, inc: int, zone: int, capacity: float, cold_from: float,
                    cold_us: int) -> None:  # fmt: skip
        """An endpoint's process has started."""
        self._write("endpoint_up", at, endpoint, inc, zone, capacity, cold_from, cold_us)

    def endpoint_down(self, at: int, endpoint: str, why: str) -> None:
        """An endpoint's process is gone."""
        self._write("endpoint_down", at, endpoint, why)

    def node_up(self, at: int, node: str, zone: int) -> None:
        """A node's process has started."""
        self._write("node_up", at, node, zone)

    def node_ready(self, at: int, node: str) -> None:
        """A node's ready path says 200."""
        self._write("node_ready", at, node)

    def node_stopping(self, at: int, node: str) -> None:
        """SIGTERM has gone to a node."""
        self._write("node_stopping", at, node)

    def node_down(self, at: int, node: str, planned: bool, code: int) -> None:
        """A node's process is gone."""
        self._write("node_down", at, node, planned, code)

    def fault(self, at: int, index: int, begins: bool) -> None:
        """A fault begins or ends."""
        self._write("fault", at, index, begins)


def read(path: str | Path, file: int = 0) -> Iterator[Line]:
    """The lines of one recording as they stand. RecordingError: garbage; OSError: no such file."""
    with Path(path).open("rb") as lines:
        number = 0
        while raw := lines.readline(MAX_LINE + 1):
            number += 1
            whole = raw.endswith(b"\n")
            problem, line = _parse(raw, file, number)
            if line is not None:
                yield line
            elif whole or len(raw) > MAX_LINE:
                raise RecordingError(f"{path}:{number}: {problem}")
            # else it was cut off with the process that wrote it


def _parse(raw: bytes, file: int, number: int) -> tuple[str, Line | None]:
    """What is wrong, or the line."""
    if len(raw) > MAX_LINE:
        return f"a line of over {MAX_LINE} bytes", None
    try:
        data = json.loads(raw)
    except (ValueError, RecursionError):
        return f"not JSON: {raw[:60].decode(errors='replace').strip()!r}", None
    if not isinstance(data, list) or not data or not isinstance(data[0], str):
        return "found no list that begins with a method's name", None
    shape = METHODS.get(data[0])
    if shape is None:
        return f"found method {data[0][:60]!r}, allowed: {', '.join(METHODS)}", None
    problem = shape.problem(data[1:])
    if problem:
        return f"{data[0]}: {problem}", None
    return "", Line(data[1], file, number, data[0], tuple(data[2:]))


def _in_order(path: str | Path, file: int, window_us: int) -> Iterator[Line]:
    """The lines of one file by time; held back until nothing earlier can come."""
    held: list[Line] = []
    newest = released = -1
    for line in read(path, file):
        if line.at < released:
            late = (newest - line.at) / 1e6
            window = f"{window_us / 1e6:g} s are allowed"
            raise RecordingError(f"{path}:{line.number}: stands {late:.3f} s behind later ones, {window}")
        heappush(held, line)
        newest = max(newest, line.at)
        while held and held[0].at < newest - window_us:
            released = held[0].at
            yield heappop(held)
    while held:
        yield heappop(held)


def merge(paths: Sequence[str | Path], window_us: int = WINDOW_US) -> Iterator[Line]:
    """All lines of some recordings by time; those of one time by file, as given, then by line.

    Within a file a line may stand up to window_us behind later ones. Memory: one window of each file.
    """
    return iter(heapq.merge(*(_in_order(path, k, window_us) for k, path in enumerate(paths))))


def replay(lines: Iterable[Line], witness: Witness) -> int:
    """Play a recording to a witness; how many observations it held."""
    count = 0
    for line in lines:
        getattr(witness, line.method)(line.at, *line.args)
        count += 1
    return count
