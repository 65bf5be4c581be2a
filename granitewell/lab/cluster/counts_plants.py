"""Defects planted in the counts on purpose, to show that what watches them finds them.

It owns the defects. It must never be imported by anything that serves. A defect is in place within `planted`
alone, for the whole process.
"""

from __future__ import annotations

from contextlib import AbstractContextManager
from typing import Any

from granitewell.lab.cluster.plants import patched
from granitewell.shared_counters import remote_counts, state_machine
from granitewell.shared_counters.types import OVERFLOW_SLOT

PLANTS = {
    "merge-adds": "what is heard again is added to what is known",
    "silent-forgotten": "a node that is silent is held to take nothing",
    "life-kept": "a process goes by the birth of the one before it",
    "dated-heard": "a word is dated when it is heard, not between question and answer",
    "edge-in": "a slice that only may lie in the window counts as in it",
    "copy-now": "a copy is held to be right now",
    "slot-trusted": "a slot of which nothing is known yet is held to be another key's",
    "gap-skipped": "what was lost between two words counts as whole",
    "before-empty": "before a life's first word nothing was used",
    "others-dropped": "a key's use of before it had a slot is left out",
}


def _merge(
    self: remote_counts.RemoteProcess, word: Any, whole: Any = remote_counts.RemoteProcess.merge
) -> None:
    before = {i: dict(cell) for i, cell in self.counts_by_slice.items()}
    whole(self, word)
    for one in word.slices:
        for number, count in zip(one.used[::2], one.used[1::2], strict=False):
            if number in before.get(one.index, {}):
                self.counts_by_slice[one.index][number] = before[one.index][number] + count


def _inside(
    from_us: int, to_us: int, start_us: int, end_us: int, whole: Any = remote_counts._overlap_us
) -> int:
    return 0 if to_us >= end_us else int(whole(from_us, to_us, start_us, end_us))


def _init(
    self: state_machine.SharedCounters,
    name: str,
    life: int,
    birth: int,
    *rest: Any,
    whole: Any = state_machine.SharedCounters.__init__,
) -> None:
    whole(self, name, life, 1 + sum(name.encode()), *rest)


def _heard(
    self: remote_counts.RemoteNode,
    asked_us: int,
    now_us: int,
    word: Any,
    whole: Any = remote_counts.RemoteNode.receive,
) -> None:
    whole(self, now_us, now_us, word)


def _when(self: remote_counts.RemoteProcess, up_us: int, now_us: int) -> tuple[int, int]:
    return self.latest_start_us + up_us, self.latest_start_us + up_us


def _copied(
    self: remote_counts.RemoteNode,
    asked_us: int,
    now_us: int,
    word: Any,
    whole: Any = remote_counts.RemoteNode.receive,
) -> None:
    whole(self, asked_us + word.ago_most_us, now_us + word.ago_least_us, word)


def _cell(
    self: remote_counts.RemoteProcess,
    index: int,
    key: str | None,
    numbers: Any,
    whole: Any = remote_counts.RemoteProcess.slice_bounds,
) -> tuple[int, int]:
    low, high = whole(self, index, key, numbers)
    cell = self.counts_by_slice.get(index, {})
    unknown: int = sum(n for s, n in cell.items() if s != OVERFLOW_SLOT and s not in self.slots)
    return low, high - unknown if key is not None and high > low else high


def _others(
    self: remote_counts.RemoteProcess,
    index: int,
    key: str | None,
    numbers: Any,
    whole: Any = remote_counts.RemoteProcess.slice_bounds,
) -> tuple[int, int]:
    low, high = whole(self, index, key, numbers)
    return low, low


def _gap(
    self: remote_counts.RemoteProcess, word: Any, whole: Any = remote_counts.RemoteProcess.merge
) -> None:
    whole(self, word)
    self.upto = max(self.upto, word.upto)


def _since(
    from_us: int, to_us: int, start_us: int, end_us: int, whole: Any = remote_counts._overlap_us
) -> int:
    return int(whole(from_us, to_us, start_us, end_us)) if to_us >= end_us else 0


_PATCHES: dict[str, tuple[tuple[Any, str, Any], ...]] = {
    "merge-adds": ((remote_counts.RemoteProcess, "merge", _merge),),
    "silent-forgotten": ((remote_counts, "_overlap_us", _inside),),
    "life-kept": ((state_machine.SharedCounters, "__init__", _init),),
    "dated-heard": ((remote_counts.RemoteNode, "receive", _heard),),
    "edge-in": ((remote_counts.RemoteProcess, "time_bounds", _when),),
    "copy-now": ((remote_counts.RemoteNode, "receive", _copied),),
    "slot-trusted": ((remote_counts.RemoteProcess, "slice_bounds", _cell),),
    "gap-skipped": ((remote_counts.RemoteProcess, "merge", _gap),),
    "before-empty": ((remote_counts, "_overlap_us", _since),),
    "others-dropped": ((remote_counts.RemoteProcess, "slice_bounds", _others),),
}


def planted(name: str) -> AbstractContextManager[None]:
    """Within it the defect of that name is in place; none for an empty name. Raises KeyError."""
    return patched(_PATCHES[name] if name else ())
