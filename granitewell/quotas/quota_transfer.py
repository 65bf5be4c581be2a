"""The quota of one process for one budget: its base quota, what it has lent and what it has borrowed.

This module computes the quota. It sends nothing and does not decide which nodes to ask. Every amount is as of
a time that is passed in, so that an expired loan never counts, however late the process runs. Amounts are in
thousandths of a request per second.
"""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.quotas.types import QuotaSettings


@dataclass(slots=True)
class Loan:
    """A loan, at its lender or at its borrower.

    Attributes:
        peer: Name of the other node.
        amount: Amount lent; 0 for a loan that was returned, which a late message must not restore.
        end_us: When it expires at this node, in microseconds.
    """

    peer: str
    amount: int
    end_us: int


class Quota:
    """What one process may spend of one budget.

    Attributes:
        total: Budget of the whole fleet.
        max_nodes: Maximum number of nodes that can be alive, at least 1.
        recovery_end_us: Time until which only the reserve may be spent, as a predecessor may have
            lent the rest.
        lent: Loans to others, by number.
        borrowed: Loans from others, by name of the lender, id of its process, and number.
    """

    __slots__ = ("_last_number", "_settings", "borrowed", "lent", "max_nodes", "recovery_end_us", "total")

    def __init__(self, settings: QuotaSettings, total: int, max_nodes: int, recovery_end_us: int) -> None:
        self._settings = settings
        self.total = total
        self.max_nodes = max(max_nodes, 1)
        self.recovery_end_us = recovery_end_us
        self.lent: dict[int, Loan] = {}
        self.borrowed: dict[tuple[str, int, int], Loan] = {}
        self._last_number = 0

    @property
    def base(self) -> int:
        """Base quota of this node: its equal part of the budget."""
        return self.total // self.max_nodes

    @property
    def reserve(self) -> int:
        """Part of the base quota that is never lent."""
        return int(self.base * self._settings.reserve_fraction)

    def lent_amount(self, now_us: int) -> int:
        """Return the amount lent that is neither returned nor expired."""
        return sum(loan.amount for loan in self.lent.values() if now_us < loan.end_us)

    def borrowed_amount(self, now_us: int) -> int:
        """Return the amount borrowed that has not expired."""
        return sum(loan.amount for loan in self.borrowed.values() if now_us < loan.end_us)

    def available(self, now_us: int) -> int:
        """Return the rate that may be spent now."""
        own = self.base - self.lent_amount(now_us) if now_us >= self.recovery_end_us else self.reserve
        return max(own, 0) + self.borrowed_amount(now_us)

    def lendable(self, now_us: int) -> int:
        """Return the amount that could be lent now."""
        if now_us < self.recovery_end_us:
            return 0
        return max(self.base - self.reserve - self.lent_amount(now_us), 0)

    # --- As a lender ------------------------------------------------------------------------------------
    def lend(self, now_us: int, borrower: str, amount: int) -> tuple[int, int]:
        """Lend up to an amount.

        Returns:
            Number and amount of the loan; 0 and 0 if nothing can be lent.
        """
        amount = min(amount, self.lendable(now_us))
        if amount <= 0:
            return 0, 0
        self._last_number += 1
        self.lent[self._last_number] = Loan(borrower, amount, now_us + self._settings.lender_loan_us)
        return self._last_number, amount

    def renew(self, now_us: int, number: int, borrower: str) -> int:
        """Extend a loan by its full duration.

        Returns:
            Its amount; 0 if the loan has expired or the base quota has shrunk below what is lent.
        """
        loan = self.lent.get(number)
        if loan is None or loan.peer != borrower or now_us >= loan.end_us or now_us < self.recovery_end_us:
            return 0
        if self.lent_amount(now_us) > self.base - self.reserve:
            return 0
        loan.end_us = now_us + self._settings.lender_loan_us
        return loan.amount

    def handle_return(self, number: int, borrower: str) -> None:
        """End a loan that its borrower has returned."""
        loan = self.lent.get(number)
        if loan is not None and loan.peer == borrower:
            del self.lent[number]

    # --- As a borrower ----------------------------------------------------------------------------------
    def borrow(self, requested_us: int, now_us: int, loan_id: tuple[str, int, int], amount: int) -> None:
        """Record a loan, or its renewal; its duration counts from when the request was sent.

        Args:
            requested_us: When the request was sent, in microseconds.
            now_us: Time now, in microseconds.
            loan_id: Name of the lender, id of its process, and number of the loan.
            amount: Amount of the loan.
        """
        end_us = requested_us + self._settings.borrower_loan_us
        known = self.borrowed.get(loan_id)
        if known is None:
            if now_us < end_us:
                self.borrowed[loan_id] = Loan(loan_id[0], amount, end_us)
        elif known.amount:
            known.end_us = max(known.end_us, end_us)

    def return_loan(self, now_us: int, loan_id: tuple[str, int, int]) -> None:
        """Stop using a loan.

        Its number is remembered as long as a late reply to a request sent until now could renew it.
        """
        loan = self.borrowed.get(loan_id)
        if loan is not None:
            loan.amount = 0
            loan.end_us = max(loan.end_us, now_us + self._settings.borrower_loan_us)

    def remove_expired(self, now_us: int) -> None:
        """Remove expired loans. Returned ones are kept while a late message could renew them."""
        self.lent = {number: loan for number, loan in self.lent.items() if now_us < loan.end_us}
        self.borrowed = {loan_id: loan for loan_id, loan in self.borrowed.items() if now_us < loan.end_us}
