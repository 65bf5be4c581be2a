"""Whether this machine gave a run what it needed: how long its processes were ready to run and were not let.

It owns the samples, from the kernel's own count of each thread's waiting for a core. It must never look at
what a process does: a process that stands still by order does not wait.
"""

from __future__ import annotations

import contextlib
from pathlib import Path

WINDOW_S = 0.25  # between two samples
MAX_S = 0.05  # waited in one window: the slack of an answer, gone before anybody has done anything
SHARE = 0.05  # of the whole run
LATE_US = 5_000  # 99th percentile of a stand-in's lateness


class Pulse:
    """Samples of the processes of a run, by name."""

    def __init__(self) -> None:
        self._last: dict[int, float] = {}
        self.waited_s: dict[str, float] = {}
        self.most_s: dict[str, float] = {}  # in one window
        self.seconds = 0.0

    def sample(self, pids: dict[str, int], passed_s: float) -> None:
        """Look at these processes, so long after the last look."""
        self.seconds += passed_s
        for name, pid in pids.items():
            waited = waited_s(pid)
            step = waited - self._last.get(pid, waited)
            self._last[pid] = waited
            self.waited_s[name] = self.waited_s.get(name, 0.0) + step
            self.most_s[name] = max(self.most_s.get(name, 0.0), step)

    def busy(self, late_us: dict[str, tuple[int, int]]) -> bool:
        """Whether the run's figures say more of this machine than of the nodes."""
        waited = any(x > SHARE * self.seconds for x in self.waited_s.values())
        stuck = any(x > MAX_S for x in self.most_s.values())
        return waited or stuck or any(p99 > LATE_US for p99, _ in late_us.values())

    def as_dict(self) -> dict[str, dict[str, float]]:
        """By process: milliseconds waited for a core in the whole run, and the most in a window."""
        return {
            n: {"waited_ms": round(1000 * x, 1), "most_ms": round(1000 * self.most_s[n], 1)}
            for n, x in sorted(self.waited_s.items())
        }


def waited_s(pid: int) -> float:
    """Seconds that a process's threads have stood in a core's queue (the second figure of schedstat)."""
    total = 0
    with contextlib.suppress(OSError, ValueError, IndexError):
        for thread in Path(f"/proc/{pid}/task").iterdir():
            total += int((thread / "schedstat").read_text().split()[1])
    return total / 1e9
