"""Numbers of disks. Each disk that a planner's name has had is an incarnation: a count and 40 random bits.

This module owns their order. Of two incarnations of one name the larger number is the later disk, and what a
planner knows about another's disk never goes back. Incarnation 1 is special: it alone lets a planner get its
vote as a founder. A planner that has heard of two different first incarnations of a name therefore keeps
neither, goes to count 2, and never confirms a first incarnation of that name again.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

NUMBERS_PER_COUNT = 1 << 40


def incarnation(count: int, bits: float) -> int:
    """Return the number of a name's count-th disk.

    Args:
        count: Which disk it is, from 1.
        bits: Random number from 0 up to 1.
    """
    return count * NUMBERS_PER_COUNT + int(bits * NUMBERS_PER_COUNT)


def count_of(number: int) -> int:
    """Return which disk of its name a number stands for, from 1; 0 if none is known."""
    return number // NUMBERS_PER_COUNT


def accepts(known: int, number: int) -> bool:
    """Return whether a planner that knows one incarnation of a name records another.

    Only if the count of the other one is higher.
    """
    return number == known or count_of(number) > count_of(known)


def merge(a: int, b: int) -> int:
    """Return what follows from knowing two incarnations of one name."""
    return 2 * NUMBERS_PER_COUNT if a != b and count_of(a) == count_of(b) == 1 else max(a, b)


def merged(a: Sequence[int], b: Iterable[int]) -> tuple[int, ...]:
    """Return what follows from knowing two lists of incarnations, name by name."""
    return tuple(map(merge, a, b))
