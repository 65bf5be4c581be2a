"""Numbers of disks. Each disk that a planner's name has had has a life: a count and 40 random bits.

It owns their order. Of two lives of one name the larger number is the later disk, and what any planner knows
of another's disk never goes back. Life 1 is special: with it alone a planner may come to its vote without an
oath, so whoever has heard of two different first lives of a name holds on to neither but goes to count 2, and
never confirms a first life of that name again.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

A_COUNT = 1 << 40


def life(count: int, bits: float) -> int:
    """The number of a name's count-th disk.

    Args:
        bits: A random number from 0 up to 1.
    """
    return count * A_COUNT + int(bits * A_COUNT)


def count_of(number: int) -> int:
    """Which disk of its name it is, from 1; 0 for none known."""
    return number // A_COUNT


def takes(known: int, number: int) -> bool:
    """Whether a planner that knows one life of a name writes down another at an oath: only a later count."""
    return number == known or count_of(number) > count_of(known)


def join(a: int, b: int) -> int:
    """What follows from knowing both of one name."""
    return 2 * A_COUNT if a != b and count_of(a) == count_of(b) == 1 else max(a, b)


def joined(a: Sequence[int], b: Iterable[int]) -> tuple[int, ...]:
    """What follows from knowing both, name by name."""
    return tuple(map(join, a, b))
