"""Where the time of a run goes: samples of the running function, by part of the project.

It owns the sampling and the naming of the parts. It must never change what runs. A sample is taken every
millisecond of CPU that the process uses (ITIMER_PROF), so the shares are true to the time spent; a profiler
that hooks every call would make small functions look dear. Only for the main thread of a process.
"""

from __future__ import annotations

import signal
from collections import Counter
from types import FrameType, TracebackType
from typing import Any

EVERY_S = 0.001
PARTS = (  # the first that a file's path holds names its part
    ("granitewell/lab/simulation/", "shell"),
    ("granitewell/lab/engine", "engine"),
    ("granitewell/lab/emulator/", "model"),
    ("granitewell/lab/judge/", "judge"),
    ("granitewell/core", "core"),
    ("granitewell/balancing/", "module"),
)


class Sampler:
    """Use as a context: what runs inside is sampled."""

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
        """The innermost frame of the project's own: a dataclass's generated __init__ counts to its caller."""
        while frame is not None and _part(frame.f_code.co_filename) == "other":
            frame = frame.f_back
        code = frame.f_code if frame is not None else None
        self.samples[(code.co_filename, code.co_qualname) if code is not None else ("", "other")] += 1

    def parts(self) -> dict[str, float]:
        """Each part's share of the time, the largest first."""
        total = max(sum(self.samples.values()), 1)
        by_part: Counter[str] = Counter()
        for (file, _), n in self.samples.items():
            by_part[_part(file)] += n
        return {part: n / total for part, n in by_part.most_common()}

    def functions(self, most: int = 20) -> list[tuple[str, str, float]]:
        """The functions with the most time of their own: part, name, share."""
        total = max(sum(self.samples.values()), 1)
        return [(_part(file), name, n / total) for (file, name), n in self.samples.most_common(most)]


def _part(file: str) -> str:
    return next((part for piece, part in PARTS if piece in file), "other")
