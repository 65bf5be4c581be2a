"""How fast a process starts beside another one of its node: both live within one CPU limit.

It owns the finder that rests between imports, which are nearly all the work of a start. It must never find
anything, import what is not loaded anyway, or stay in place once the start is over.
"""

from __future__ import annotations

import sys
import time

CPU_SLICE_S = 0.008  # of CPU, after which a start rests
PAUSE_RATIO = 2.0  # times as long as it has worked: the rest of the limit is the serving process's
MAX_TOTAL_PAUSE_S = 1.0  # that a start rests in all: where all is slow it must be ready in time, too


class PausingFinder:
    """Asked before all other finders, it has none of them asked sooner than it is time."""

    def __init__(self) -> None:
        self._slice_start_s = time.process_time()
        self._remaining_pause_s = MAX_TOTAL_PAUSE_S

    def find_spec(self, *_: object) -> None:
        """Nothing is found here."""
        used_cpu_s = time.process_time() - self._slice_start_s
        if used_cpu_s >= CPU_SLICE_S and self._remaining_pause_s > 0.0:
            pause_s = min(used_cpu_s * PAUSE_RATIO, self._remaining_pause_s)
            self._remaining_pause_s -= pause_s
            time.sleep(pause_s)
            self._slice_start_s = time.process_time()


def begin() -> None:
    """From here on each import has its time."""
    sys.meta_path.insert(0, PausingFinder())


def end() -> None:
    """The start is over."""
    sys.meta_path[:] = [x for x in sys.meta_path if not isinstance(x, PausingFinder)]
