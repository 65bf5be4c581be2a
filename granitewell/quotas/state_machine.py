"""All budgets of one process: admits requests, and lends and borrows quota.

This module decides how much to request from which node, and how much to lend. It does no I/O, reads no
clock, and raises nothing on input from the network.

Demand is the recent rate of requests, admitted or not. A node whose demand is close to its quota asks the
others in turn; a node that is asked lends what it does not need itself. A loan that is still needed is
renewed before it expires; one that is not is returned at once, so that it can be lent elsewhere.
"""

from __future__ import annotations

from collections import Counter
from random import Random

from granitewell.protocols.peers.frames import Frame, Keys, Kind, open_, seal
from granitewell.protocols.peers.limits import TokenBucket
from granitewell.protocols.peers.rights import CODEC, MAX_LOANS, Back, Lend, Want
from granitewell.quotas.budget import Budget
from granitewell.quotas.quota_transfer import Quota
from granitewell.quotas.types import MILLI, ActiveNodes, BudgetTotals, KeysChanged, QuotaSettings
from granitewell.state_machine import MessageReceived, SendMessage, TimerFired

MAX_PEERS_PER_ROUND = 3
MAX_PENDING_REQUESTS_PER_BUDGET = 64
MIN_TRANSFER_MILLI = 1_000
"""Smallest amount that is worth a message, in thousandths of a request per second."""
LENDER_DEMAND_MARGIN = 1.1
"""Quota that a lender keeps for itself, as a multiple of its demand."""
MAX_MESSAGES_PER_SENDER_PER_S = 60
MAX_MESSAGES_PER_S = 4_000


class QuotaManager:
    """The budgets of one process.

    Attributes:
        name: Name of this node.
        process_id: Number of this process, unlike that of any other.
        settings: Settings of all budgets.
        counts: Messages sent, received and dropped, by type or cause.
        budgets: The budgets, by key.
    """

    def __init__(
        self,
        name: str,
        process_id: int,
        keys: Keys,
        settings: QuotaSettings,
        rng: Random,
        now_us: int,
        *,
        first: bool = False,
    ) -> None:
        """Start without budgets.

        Args:
            name: Name of this node.
            process_id: Number of this process, unlike that of any other.
            keys: Keys that seal messages.
            settings: Settings of all budgets.
            rng: Source of random numbers.
            now_us: Time now, in microseconds.
            first: Whether no process of this name has run before, so that none can have lent anything.
        """
        self.name = name
        self.process_id = process_id
        self.settings = settings
        self.counts: Counter[str] = Counter()
        self.budgets: dict[str, Budget] = {}
        self._keys = keys
        self._now_us = now_us
        self._recovery_end_us = now_us if first else now_us + settings.lender_loan_us
        self._max_nodes = 1
        self._peers: dict[str, str] = {}
        self._sender_limits: dict[str, TokenBucket] = {}
        self._total_limit = TokenBucket(MAX_MESSAGES_PER_S, now_us)
        self._pending: dict[int, tuple[int, str, str]] = {}  # by number: time sent, peer, key
        self._request_number = int(rng.random() * (1 << 30)) << 20
        self._round_us = now_us + int(rng.random() * settings.round_interval_us)
        self._effects: list[object] = []

    @property
    def wake_us(self) -> int:
        """When TimerFired is due, in microseconds; -1 for never."""
        return self._round_us if self.budgets else -1

    def try_acquire(self, now_us: int, key: str) -> int:
        """Admit one more request of a key if its budget allows it.

        Returns:
            -1 if it is admitted, as is any request of a key without a budget; else the wait before the next
            attempt, in microseconds.
        """
        budget = self.budgets.get(key)
        return budget.try_acquire(max(now_us, self._now_us)) if budget is not None else -1

    # --- Events -----------------------------------------------------------------------------------------
    def handle(self, now_us: int, event: object) -> list[object]:
        """Apply one event.

        Args:
            now_us: Time now, in microseconds.
            event: MessageReceived, TimerFired, ActiveNodes, BudgetTotals or KeysChanged.

        Returns:
            Messages to send, as SendMessage.

        Raises:
            TypeError: The event is of another type.
        """
        effects = self._effects = []
        self._now_us = max(now_us, self._now_us)
        if isinstance(event, MessageReceived):
            cause = self._handle_message(event)
            if cause:
                self.counts[f"dropped {cause}"] += 1
        elif isinstance(event, TimerFired):
            if self._now_us >= self._round_us:
                self._run_round()
        elif isinstance(event, ActiveNodes):
            self._handle_active_nodes(event)
        elif isinstance(event, BudgetTotals):
            self._handle_budget_totals(event)
        elif isinstance(event, KeysChanged):
            self._keys = event.keys
        else:
            raise TypeError(f"event: found {type(event).__name__}, allowed are those of budgets")
        return effects

    def _handle_active_nodes(self, event: ActiveNodes) -> None:
        self._max_nodes = max(event.max_nodes, 1)
        self._peers = dict(event.peers)
        self._sender_limits = {
            name: limit for name, limit in self._sender_limits.items() if name in self._peers
        }
        for budget in self.budgets.values():
            budget.quota.max_nodes = self._max_nodes

    def _handle_budget_totals(self, event: BudgetTotals) -> None:
        self.budgets = {key: budget for key, budget in self.budgets.items() if key in event.totals}
        for key, total in event.totals.items():
            if key in self.budgets:
                self.budgets[key].quota.total = total
            else:
                quota = Quota(self.settings, total, self._max_nodes, self._recovery_end_us)
                self.budgets[key] = Budget(self.settings, quota, self._now_us)

    # --- Borrowing --------------------------------------------------------------------------------------
    def _run_round(self) -> None:
        """Renew, return and request loans of all budgets."""
        self._round_us = self._now_us + self.settings.round_interval_us
        oldest_us = self._now_us - self.settings.borrower_loan_us
        self._pending = {number: sent for number, sent in self._pending.items() if sent[0] >= oldest_us}
        for key, budget in self.budgets.items():
            budget.advance(self._now_us)
            budget.quota.remove_expired(self._now_us)
            self._balance_loans(key, budget)

    def _balance_loans(self, key: str, budget: Budget) -> None:
        """Renew the loans that are needed, return the others, and request what is still missing."""
        quota = budget.quota
        demand = budget.demand * MILLI
        renewals, returns, missing = self._sort_loans(quota, demand)
        for (name, process_id), numbers in returns.items():
            if name in self._peers:
                self._send(name, Back(key, process_id, numbers[:MAX_LOANS]))
        for (name, process_id), numbers in renewals.items():
            if name in self._peers:
                number = self._next_request_number(name, key)
                self._send(name, Want(number, key, 0, process_id, numbers[:MAX_LOANS]))
        threshold = quota.available(self._now_us) * self.settings.borrow_threshold
        if missing >= MIN_TRANSFER_MILLI and demand > threshold and self._peers:
            self._request_loans(key, budget, missing)

    def _sort_loans(
        self, quota: Quota, demand: float
    ) -> tuple[dict[tuple[str, int], list[int]], dict[tuple[str, int], list[int]], int]:
        """Decide on each borrowed loan, the smallest first; loans to return are ended here.

        Args:
            quota: Quota of the budget.
            demand: Demand, in thousandths of a request per second.

        Returns:
            Numbers of the loans to renew and of those to return, each by name and process id of the lender,
            and the amount that is still missing, which may be negative.
        """
        now, settings = self._now_us, self.settings
        own = quota.available(now) - quota.borrowed_amount(now)
        missing = max(int(demand * settings.demand_margin) - own, 0)
        renewals: dict[tuple[str, int], list[int]] = {}
        returns: dict[tuple[str, int], list[int]] = {}
        for loan_id, loan in sorted(quota.borrowed.items(), key=lambda item: item[1].amount):
            if not loan.amount:
                continue
            name, process_id, number = loan_id
            if missing <= 0 and demand < own * settings.borrow_threshold:
                quota.return_loan(now, loan_id)
                returns.setdefault((name, process_id), []).append(number)
            elif loan.end_us - now < settings.borrower_loan_us // 2 and missing > 0:
                renewals.setdefault((name, process_id), []).append(number)
            missing -= loan.amount  # 0 for one that was returned
        return renewals, returns, missing

    def _request_loans(self, key: str, budget: Budget, missing: int) -> None:
        """Ask the next peers in turn."""
        names = sorted(self._peers)
        for _ in range(min(MAX_PEERS_PER_ROUND, len(names))):
            name = names[budget.next_peer % len(names)]
            budget.next_peer += 1
            self._send(name, Want(self._next_request_number(name, key), key, missing))

    def _next_request_number(self, name: str, key: str) -> int:
        self._request_number += 1
        while len(self._pending) >= MAX_PENDING_REQUESTS_PER_BUDGET * max(len(self.budgets), 1):
            del self._pending[next(iter(self._pending))]
        self._pending[self._request_number] = self._now_us, name, key
        return self._request_number

    def _send(self, name: str, body: Want | Lend | Back, address: str = "") -> None:
        """Send a message, to the address of a request if one is given."""
        data = seal(Kind.RIGHT, CODEC.encode(body), self._keys, self.name)
        self.counts[f"{type(body).__name__.lower()} sent"] += 1
        self._effects.append(SendMessage(address or self._peers[name], data))

    # --- Messages ---------------------------------------------------------------------------------------
    def _handle_message(self, heard: MessageReceived) -> str:
        """Handle a message; return why it was dropped, or ""."""
        if not self._total_limit.take(self._now_us):
            return "total_rate"
        frame = open_(heard.data, self._keys)
        if not isinstance(frame, Frame):
            return frame.why.value
        if frame.kind != Kind.RIGHT:
            return "kind"
        cause = self._check_sender(frame.sender)
        return cause or self._handle_body(frame.sender, frame.body, heard.sender)

    def _check_sender(self, name: str) -> str:
        if name not in self._peers or name == self.name:
            return "unknown_peer"
        limit = self._sender_limits.setdefault(name, TokenBucket(MAX_MESSAGES_PER_SENDER_PER_S, self._now_us))
        return "" if limit.take(self._now_us) else "sender_rate"

    def _handle_body(self, name: str, data: bytes, address: str) -> str:
        body = CODEC.decode(data)
        if body is None:
            return "malformed"
        self.counts[f"{type(body).__name__.lower()} received"] += 1
        budget = self.budgets.get(body.key)
        if budget is None:
            return "unknown_budget"
        if isinstance(body, Want):
            self._handle_loan_request(name, budget, body, address)
        elif isinstance(body, Lend):
            return self._handle_loan_grant(name, budget, body)
        elif body.birth == self.process_id:
            for number in body.loans:
                budget.quota.handle_return(number, name)
        return ""

    def _handle_loan_request(self, name: str, budget: Budget, want: Want, address: str) -> None:
        """Lend what this node does not need itself; its tokens are reduced accordingly."""
        now, quota = self._now_us, budget.quota
        budget.advance(now)
        loans: list[int] = []
        keep = int(budget.demand * MILLI * LENDER_DEMAND_MARGIN)
        # a lender that needs its quota itself renews nothing, so that its loans return as they expire
        has_enough = quota.available(now) - quota.borrowed_amount(now) >= min(keep, quota.base)
        if want.birth == self.process_id and has_enough:
            for number in want.again:
                amount = quota.renew(now, number, name)
                loans += [number, amount] if amount else []
        if want.amount:
            spare = quota.available(now) - quota.borrowed_amount(now) - max(keep, quota.reserve)
            amount = min(want.amount, spare)
            number, amount = quota.lend(now, name, amount) if amount >= MIN_TRANSFER_MILLI else (0, 0)
            loans += [number, amount] if amount else []
        budget.advance(now)  # applies the lower burst limit
        if loans:
            self._send(name, Lend(want.number, want.key, self.process_id, loans), address)

    def _handle_loan_grant(self, name: str, budget: Budget, lend: Lend) -> str:
        """Record granted loans; return why the message was dropped, or ""."""
        requested_us, peer, key = self._pending.get(lend.number, (-1, "", ""))
        if requested_us < 0 or peer != name or key != lend.key:
            return "unsolicited"
        budget.advance(self._now_us)  # accrues tokens at the previous rate first
        for number, amount in zip(lend.loans[::2], lend.loans[1::2], strict=False):
            budget.quota.borrow(requested_us, self._now_us, (name, lend.birth, number), amount)
        return ""
