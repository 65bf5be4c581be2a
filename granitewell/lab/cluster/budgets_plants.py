"""Defects planted in the budgets on purpose, to show that days or the search find them.

It owns the defects. It must never be imported by anything that serves. A defect is in place within `planted`
alone, for the whole process.
"""

from __future__ import annotations

from contextlib import AbstractContextManager
from typing import Any

from granitewell.lab.cluster.plants import patched
from granitewell.quotas import budget, quota_transfer, types

PLANTS = {
    "loan-from-answer": "a loan is good from when the answer is heard, not from when it was asked for",
    "lent-short": "a lender has its loan back before its borrower has lost it",
    "doubled-counts": "an answer that comes twice is borrowed twice",
    "begins-free": "a process that begins spends what the one before it may have lent",
    "back-forgotten": "the number of a loan that was given back is forgotten, and its letter may come again",
    "stall-spends": "a right is as it was when the process last looked, however long it stood still",
    "floor-lent": "a node lends what it needs not to starve",
}


def _borrow(
    self: Any, asked: int, now: int, lender: Any, amount: int, whole: Any = quota_transfer.Quota.borrow
) -> None:
    whole(self, now, now, lender, amount)


def _twice(
    self: Any, asked: int, now: int, lender: Any, amount: int, whole: Any = quota_transfer.Quota.borrow
) -> None:
    known = self.borrowed.get(lender)
    whole(self, asked, now, lender, amount)
    if known is not None and known.amount:
        known.amount += amount


def _init(
    self: Any, figures: Any, whole: int, most: int, free: int, real: Any = quota_transfer.Quota.__init__
) -> None:
    real(self, figures, whole, most, 0)


def _forgets(self: Any, now: int, lender: Any) -> None:
    self.borrowed.pop(lender, None)


def _advance(self: Any, now: int, real: Any = budget.Budget.advance) -> None:
    """The rate that was there at the last look is credited, and kept, whatever has ended since."""
    passed, rate = max(now - self.updated_us, 0), self._rate
    real(self, now)
    self.tokens = max(self.tokens, rate * passed / 1e6)


_PATCHES: dict[str, tuple[tuple[Any, str, Any], ...]] = {
    "loan-from-answer": ((quota_transfer.Quota, "borrow", _borrow),),
    "lent-short": ((types.QuotaSettings, "lender_loan_us", property(lambda self: self.loan_us // 2)),),
    "doubled-counts": ((quota_transfer.Quota, "borrow", _twice),),
    "begins-free": ((quota_transfer.Quota, "__init__", _init),),
    "back-forgotten": ((quota_transfer.Quota, "return_loan", _forgets),),
    "stall-spends": ((budget.Budget, "advance", _advance),),
    "floor-lent": ((quota_transfer.Quota, "reserve", property(lambda self: 0)),),
}


def planted(name: str) -> AbstractContextManager[None]:
    """Within it the defect of that name is in place; none for an empty name. Raises KeyError."""
    return patched(_PATCHES[name] if name else ())
