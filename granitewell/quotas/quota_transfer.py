"""The rights of one process to one budget: home, lent, borrowed.

It owns the sum. It must never speak, or decide whom to ask. Every figure is as of a time that is passed in: a
right that has ended is none, however late its process looks.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.quotas.types import Figures


@dataclass(slots=True)
class Loan:
    """amount: 0 for one that was given back, which must not come again.

    Attributes:
        end_us: When it ends here.
    """

    who: str
    amount: int
    end_us: int


class Rights:
    """whole: of the budget; most: nodes that can be alive.

    Attributes:
        free_us: Until when only the floor is ours, as a process before this one may have lent the rest.
    """

    __slots__ = ("_figures", "_last", "borrowed", "free_us", "lent", "most", "whole")

    def __init__(self, figures: Figures, whole: int, most: int, free_us: int) -> None:
        self._figures = figures
        self.whole, self.most, self.free_us = whole, max(most, 1), free_us
        self.lent: dict[int, Loan] = {}
        self.borrowed: dict[tuple[str, int, int], Loan] = {}  # by lender, its birth and number
        self._last = 0

    @property
    def home(self) -> int:
        """What is this node's by itself."""
        return self.whole // self.most

    @property
    def floor(self) -> int:
        """What of it is never lent."""
        return int(self.home * self._figures.floor)

    def out(self, now_us: int) -> int:
        """Lent, and not back yet."""
        return sum(x.amount for x in self.lent.values() if now_us < x.end_us)

    def into(self, now_us: int) -> int:
        """Borrowed, and good still."""
        return sum(x.amount for x in self.borrowed.values() if now_us < x.end_us)

    def right(self, now_us: int) -> int:
        """What may be spent, a second, now."""
        own = self.home - self.out(now_us) if now_us >= self.free_us else self.floor
        return max(own, 0) + self.into(now_us)

    def spare(self, now_us: int) -> int:
        """What could be lent."""
        if now_us < self.free_us:
            return 0
        return max(self.home - self.floor - self.out(now_us), 0)

    # --- As a lender ------------------------------------------------------------------------------------
    def lend(self, now_us: int, to: str, amount: int) -> tuple[int, int]:
        """Lend up to so much: the loan's number and amount; 0 and 0 where there is nothing."""
        amount = min(amount, self.spare(now_us))
        if amount <= 0:
            return 0, 0
        self._last += 1
        self.lent[self._last] = Loan(to, amount, now_us + self._figures.lent_us)
        return self._last, amount

    def again(self, now_us: int, number: int, to: str) -> int:
        """Lend what is lent for as long again: the amount; 0 where it has ended, or home has shrunk since."""
        loan = self.lent.get(number)
        if loan is None or loan.who != to or now_us >= loan.end_us or now_us < self.free_us:
            return 0
        if self.out(now_us) > self.home - self.floor:
            return 0
        loan.end_us = now_us + self._figures.lent_us
        return loan.amount

    def returned(self, number: int, who: str) -> None:
        """Its borrower has given it back."""
        loan = self.lent.get(number)
        if loan is not None and loan.who == who:
            del self.lent[number]

    # --- As a borrower ----------------------------------------------------------------------------------
    def borrow(self, asked_us: int, now_us: int, lender: tuple[str, int, int], amount: int) -> None:
        """The answer to what was asked then has come: so much is ours for a while from the asking on."""
        end_us = asked_us + self._figures.held_us
        known = self.borrowed.get(lender)
        if known is None:
            if now_us < end_us:
                self.borrowed[lender] = Loan(lender[0], amount, end_us)
        elif known.amount:
            known.end_us = max(known.end_us, end_us)

    def give_back(self, now_us: int, lender: tuple[str, int, int]) -> None:
        """Use it no more.

        Its number is remembered for as long as an answer to anything that was asked until now could count.
        """
        loan = self.borrowed.get(lender)
        if loan is not None:
            loan.amount, loan.end_us = 0, max(loan.end_us, now_us + self._figures.held_us)

    def forget(self, now_us: int) -> None:
        """What has ended is gone; numbers given back stay as long as their letters could count."""
        self.lent = {n: x for n, x in self.lent.items() if now_us < x.end_us}
        self.borrowed = {n: x for n, x in self.borrowed.items() if now_us < x.end_us}
