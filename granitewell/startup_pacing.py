"""Throttles the start of a process while another process of the same node is serving.

Both share one CPU limit. Nearly all the work of a start is importing modules, so an import finder pauses
between imports and leaves CPU time to the serving process. It finds no modules itself and is removed once the
start is over.
"""

from __future__ import annotations

import sys
import time

CPU_SLICE_S = 0.008  # CPU time that is used between two pauses
PAUSE_RATIO = 2.0  # length of a pause relative to the CPU time used before it
MAX_TOTAL_PAUSE_S = 1.0  # bounds the delay, so that the process is ready in time on a slow machine too


class PausingFinder:
    """Import finder that pauses the import when the process has used up its slice of CPU time.

    It has to be the first finder, so that the pause comes before the others search.
    """

    def __init__(self) -> None:
        self._slice_start_s = time.process_time()
        self._remaining_pause_s = MAX_TOTAL_PAUSE_S

    def find_spec(self, *_: object) -> None:
        """Pause if a pause is due; never find a module."""
        used_cpu_s = time.process_time() - self._slice_start_s
        if used_cpu_s >= CPU_SLICE_S and self._remaining_pause_s > 0.0:
            pause_s = min(used_cpu_s * PAUSE_RATIO, self._remaining_pause_s)
            self._remaining_pause_s -= pause_s
            time.sleep(pause_s)
            self._slice_start_s = time.process_time()


def begin() -> None:
    """Start to throttle imports."""
    sys.meta_path.insert(0, PausingFinder())


def end() -> None:
    """Stop throttling imports."""
    sys.meta_path[:] = [x for x in sys.meta_path if not isinstance(x, PausingFinder)]
