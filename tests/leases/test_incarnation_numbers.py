"""The order of incarnation numbers."""

from __future__ import annotations

from granitewell.leases.incarnation_numbers import NUMBERS_PER_COUNT, accepts, merge


def test_the_order_of_incarnations() -> None:
    first, other, second = NUMBERS_PER_COUNT + 1, NUMBERS_PER_COUNT + 2, 2 * NUMBERS_PER_COUNT
    assert accepts(0, first) and accepts(first, first) and accepts(first, second)
    assert not accepts(first, other) and not accepts(second, first) and not accepts(second, second + 1)
    assert merge(first, other) == merge(other, first) == second and merge(0, first) == first
    assert merge(second, first) == second and merge(second + 5, second) == second + 5
