"""How fast a process starts beside another one of its node: both live within one CPU limit.

It owns the finder that rests between imports, which are nearly all the work of a start. It must never find
anything, import what is not loaded anyway, or stay in place once the start is over.
"""

from __future__ import annotations

import sys
import time

WORK_S = 0.008  # of CPU, after which a start rests
REST = 2.0  # times as long as it has worked: the rest of the limit is the serving process's
MAX_S = 1.0  # that a start rests in all: where all is slow it must be ready in time, too


class Pace:
    """Asked before all other finders, it has none of them asked sooner than it is time."""

    def __init__(self) -> None:
        self._since_s = time.process_time()
        self._left_s = MAX_S

    def find_spec(self, *_: object) -> None:
        """Nothing is found here."""
        worked_s = time.process_time() - self._since_s
        if worked_s >= WORK_S and self._left_s > 0.0:
            rest_s = min(worked_s * REST, self._left_s)
            self._left_s -= rest_s
            time.sleep(rest_s)
            self._since_s = time.process_time()


def begin() -> None:
    """From here on each import has its time."""
    sys.meta_path.insert(0, Pace())


def end() -> None:
    """The start is over."""
    sys.meta_path[:] = [x for x in sys.meta_path if not isinstance(x, Pace)]
