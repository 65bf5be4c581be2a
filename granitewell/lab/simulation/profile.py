"""A sampling profiler that attributes CPU time to parts of the project.

It samples the running function every millisecond of CPU time (ITIMER_PROF), so the shares match the time
spent; a profiler that hooks every call would make small functions look expensive. It works only in the main
thread of a process.
"""

from __future__ import annotations

import signal
from collections import Counter
from types import FrameType, TracebackType
from typing import Any

EVERY_S = 0.001
PARTS = (  # the first one contained in a file's path names its part
    ("granitewell/lab/simulation/", "shell"),
    ("granitewell/lab/engine", "engine"),
    ("granitewell/lab/emulator/", "model"),
    ("granitewell/lab/judge/", "judge"),
    ("granitewell/core", "core"),
    ("granitewell/balancing/", "module"),
)


class Sampler:
    """A context manager that samples what runs inside it."""

    def __init__(self) -> None:
        self.samples: Counter[tuple[str, str]] = Counter()  # (file, function)
        self._old: Any = None

    def __enter__(self) -> Sampler:
        self._old = signal.signal(signal.SIGPROF, self._take)
        signal.setitimer(signal.ITIMER_PROF, EVERY_S, EVERY_S)
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        signal.setitimer(signal.ITIMER_PROF, 0.0)
        signal.signal(signal.SIGPROF, self._old)

    def _take(self, _: int, frame: FrameType | None) -> None:
        """Count the innermost frame in the project; a dataclass's generated __init__ counts to its caller."""
        while frame is not None and _part(frame.f_code.co_filename) == "other":
            frame = frame.f_back
        code = frame.f_code if frame is not None else None
        self.samples[(code.co_filename, code.co_qualname) if code is not None else ("", "other")] += 1

    def parts(self) -> dict[str, float]:
        """Each part's share of the time, largest first."""
        total = max(sum(self.samples.values()), 1)
        by_part: Counter[str] = Counter()
        for (file, _), n in self.samples.items():
            by_part[_part(file)] += n
        return {part: n / total for part, n in by_part.most_common()}

    def functions(self, most: int = 20) -> list[tuple[str, str, float]]:
        """The functions with the largest own time: part, name, share."""
        total = max(sum(self.samples.values()), 1)
        return [(_part(file), name, n / total) for (file, name), n in self.samples.most_common(most)]


def _part(file: str) -> str:
    return next((part for piece, part in PARTS if piece in file), "other")
