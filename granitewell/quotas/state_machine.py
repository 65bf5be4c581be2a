"""The holder of rights that a shell runs: verdicts on requests, and trading with other nodes.

It owns how need is told, whom to ask for how much, and what is lent to whom. It must never touch a socket or
read a clock, and raises nothing on what comes from outside.

Need is what was asked for lately, whether it could be had or not. Who needs more than most of its right asks
others in turn; who is asked lends what it does not need itself. A loan that is needed is asked for again
before it ends; one that is not goes back at once, so that it can be lent elsewhere.
"""

from __future__ import annotations

from collections import Counter
from math import exp
from random import Random

from granitewell.protocols.peers.frames import Frame, Keys, Kind, open_, seal
from granitewell.protocols.peers.limits import Bucket
from granitewell.protocols.peers.rights import LETTERS, MAX_LOANS, Back, Lend, Want
from granitewell.quotas.quota_transfer import Rights
from granitewell.quotas.types import MILLI, Acting, Figures, Rekey, Wholes
from granitewell.state_machine import Heard, Say, Woken

NEED_US = 1_000_000  # over which need is smoothed
ASKED_AT_ONCE = 3  # nodes in one round
PENDING = 64  # questions that may still be answered, of all
LEAST = 1_000  # thousandths that are worth a letter
KEEP = 1.1  # of its own need that a lender keeps
PER_SENDER, IN_ALL = 60, 4_000  # letters a second that are looked at


class Budget:
    """One budget at one process: its rights, its tokens and its need."""

    __slots__ = ("_figures", "_right", "at_us", "need", "refused", "rights", "spent", "tokens", "turn")

    def __init__(self, figures: Figures, rights: Rights, now_us: int) -> None:
        self._figures, self.rights = figures, rights
        self.tokens, self.at_us = 0.0, now_us  # requests, and as of when
        self._right = rights.right(now_us) / MILLI  # requests a second, then
        self.need = 0.0  # requests a second
        self.spent = self.refused = self.turn = 0

    def pass_(self, now_us: int) -> None:
        """Time goes on: tokens come at the lower of the rights of then and now, and no more are kept than the
        right now allows at once.
        """
        passed_us = max(now_us - self.at_us, 0)
        right = self.rights.right(now_us) / MILLI
        most = right * self._figures.burst_us / 1e6
        self.tokens = min(self.tokens + min(right, self._right) * passed_us / 1e6, most)
        self._right = right
        self.need *= exp(-passed_us / NEED_US)
        self.at_us = max(now_us, self.at_us)

    def ask(self, now_us: int) -> int:
        """May one more be taken? -1 for yes, else when one might be, in microseconds."""
        self.pass_(now_us)
        self.need += 1e6 / NEED_US
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            self.spent += 1
            return -1
        self.refused += 1
        right = self.rights.right(now_us) / MILLI
        return int((1.0 - self.tokens) / right * 1e6) if right > 0 else self._figures.every_us


class Budgets:
    """Of one process.

    Attributes:
        birth: Unlike any other's. free_us: until when a process before this one may have lent; where there
            was none, now.
    """

    def __init__(
        self,
        name: str,
        birth: int,
        keys: Keys,
        figures: Figures,
        rng: Random,
        now_us: int,
        first: bool = False,
    ) -> None:
        """first: no process of this name has run before."""
        self.name, self.birth, self.figures = name, birth, figures
        self.counts: Counter[str] = Counter()
        self.budgets: dict[str, Budget] = {}
        self._keys, self._rng, self._now_us = keys, rng, now_us
        self._free_us = now_us if first else now_us + figures.lent_us
        self._most, self._peers = 1, dict[str, str]()
        self._buckets: dict[str, Bucket] = {}
        self._total = Bucket(IN_ALL, now_us)
        self._sent: dict[int, tuple[int, str, str]] = {}  # by number: when, whom, of which key
        self._number = int(rng.random() * (1 << 30)) << 20
        self._due_us = now_us + int(rng.random() * figures.every_us)
        self._out: list[object] = []

    @property
    def wake_us(self) -> int:
        """When Woken is wanted; -1 for never."""
        return self._due_us if self.budgets else -1

    def verdict(self, now_us: int, key: str) -> int:
        """May one more request of that key be taken? -1 for yes, as of a key without a budget.

        Else when to ask again, in microseconds.
        """
        budget = self.budgets.get(key)
        return budget.ask(max(now_us, self._now_us)) if budget is not None else -1

    # --- Events -----------------------------------------------------------------------------------------
    def handle(self, now_us: int, event: object) -> list[object]:
        """Apply one event; letters to be sent."""
        out = self._out = []
        self._now_us = max(now_us, self._now_us)
        if isinstance(event, Heard):
            wrong = self._heard(event)
            if wrong:
                self.counts[f"dropped {wrong}"] += 1
        elif isinstance(event, Woken):
            if self._now_us >= self._due_us:
                self._turn()
        elif isinstance(event, Acting):
            self._most, self._peers = max(event.most, 1), dict(event.peers)
            self._buckets = {n: b for n, b in self._buckets.items() if n in self._peers}
            for budget in self.budgets.values():
                budget.rights.most = self._most
        elif isinstance(event, Wholes):
            self._take(event)
        elif isinstance(event, Rekey):
            self._keys = event.keys
        else:
            raise TypeError(f"event: found {type(event).__name__}, allowed are those of budgets")
        return out

    def _take(self, event: Wholes) -> None:
        self.budgets = {k: b for k, b in self.budgets.items() if k in event.wholes}
        for key, whole in event.wholes.items():
            if key in self.budgets:
                self.budgets[key].rights.whole = whole
            else:
                rights = Rights(self.figures, whole, self._most, self._free_us)
                self.budgets[key] = Budget(self.figures, rights, self._now_us)

    # --- Asking -----------------------------------------------------------------------------------------
    def _turn(self) -> None:
        self._due_us = self._now_us + self.figures.every_us
        late = [n for n, (at, *_) in self._sent.items() if self._now_us - at > self.figures.held_us]
        for number in late:
            del self._sent[number]
        for key, budget in self.budgets.items():
            budget.pass_(self._now_us)
            budget.rights.forget(self._now_us)
            self._trade(key, budget)

    def _trade(self, key: str, budget: Budget) -> None:
        """Ask again for what is needed of what ends soon, give back what is not, and ask for more."""
        now, rights, figures = self._now_us, budget.rights, self.figures
        need = budget.need * MILLI
        own = rights.right(now) - rights.into(now)
        short = max(int(need * figures.more) - own, 0)  # that has to be borrowed
        again: dict[tuple[str, int], list[int]] = {}
        back: dict[tuple[str, int], list[int]] = {}
        for (name, birth, number), loan in sorted(rights.borrowed.items(), key=lambda x: x[1].amount):
            if not loan.amount:
                continue
            if short <= 0 and need < own * figures.ask_at:
                rights.give_back(now, (name, birth, number))
                back.setdefault((name, birth), []).append(number)
            elif loan.end_us - now < figures.held_us // 2 and short > 0:
                again.setdefault((name, birth), []).append(number)
            short -= loan.amount
        for (name, birth), numbers in back.items():
            if name in self._peers:
                self._say(name, Back(key, birth, numbers[:MAX_LOANS]))
        for (name, birth), numbers in again.items():
            if name in self._peers:
                self._say(name, Want(self._next(name, key), key, 0, birth, numbers[:MAX_LOANS]))
        if short >= LEAST and need > rights.right(now) * figures.ask_at and self._peers:
            self._more(key, budget, short)

    def _more(self, key: str, budget: Budget, short: int) -> None:
        names = sorted(self._peers)
        for _ in range(min(ASKED_AT_ONCE, len(names))):
            name = names[budget.turn % len(names)]
            budget.turn += 1
            self._say(name, Want(self._next(name, key), key, short))

    def _next(self, name: str, key: str) -> int:
        self._number += 1
        while len(self._sent) >= PENDING * max(len(self.budgets), 1):
            del self._sent[next(iter(self._sent))]
        self._sent[self._number] = self._now_us, name, key
        return self._number

    def _say(self, name: str, letter: Want | Lend | Back, address: str = "") -> None:
        data = seal(Kind.RIGHT, LETTERS.write(letter), self._keys, self.name)
        self.counts[f"{type(letter).__name__.lower()} said"] += 1
        self._out.append(Say(address or self._peers[name], data))

    # --- Hearing ----------------------------------------------------------------------------------------
    def _heard(self, heard: Heard) -> str:
        """Take a letter up; why not, or nothing."""
        if not self._total.take(self._now_us):
            return "in_all"
        frame = open_(heard.data, self._keys)
        if not isinstance(frame, Frame):
            return frame.why.value
        if frame.kind != Kind.RIGHT:
            return "kind"
        name = frame.sender
        if name not in self._peers or name == self.name:
            return "stranger"
        bucket = self._buckets.setdefault(name, Bucket(PER_SENDER, self._now_us))
        if not bucket.take(self._now_us):
            return "sender"
        letter = LETTERS.read(frame.body)
        if letter is None:
            return "malformed"
        self.counts[f"{type(letter).__name__.lower()} heard"] += 1
        budget = self.budgets.get(letter.key)
        if budget is None:
            return "budget"
        if isinstance(letter, Want):
            self._lend(name, budget, letter, heard.sender)
        elif isinstance(letter, Lend):
            return self._borrow(name, budget, letter)
        elif letter.birth == self.birth:
            for number in letter.loans:
                budget.rights.returned(number, name)
        return ""

    def _lend(self, name: str, budget: Budget, want: Want, address: str) -> None:
        """Lend what we do not need ourselves; tokens of what is lent are ours no more."""
        now, rights = self._now_us, budget.rights
        budget.pass_(now)
        loans: list[int] = []
        keep = int(budget.need * MILLI * KEEP)
        # what is lent comes back, loan by loan, to a lender that needs it itself
        enough = rights.right(now) - rights.into(now) >= min(keep, rights.home)
        if want.birth == self.birth and enough:
            for number in want.again:
                amount = rights.again(now, number, name)
                loans += [number, amount] if amount else []
        if want.amount:
            amount = min(want.amount, rights.right(now) - rights.into(now) - max(keep, rights.floor))
            number, amount = rights.lend(now, name, amount) if amount >= LEAST else (0, 0)
            loans += [number, amount] if amount else []
        budget.pass_(now)  # the cap on what may be spent at once is lower now
        if loans:
            self._say(name, Lend(want.number, want.key, self.birth, loans), address)

    def _borrow(self, name: str, budget: Budget, lend: Lend) -> str:
        asked_us, whom, key = self._sent.get(lend.number, (-1, "", ""))
        if asked_us < 0 or whom != name or key != lend.key:
            return "unasked"
        budget.pass_(self._now_us)  # up to here at the right of before
        for number, amount in zip(lend.loans[::2], lend.loans[1::2], strict=False):
            budget.rights.borrow(asked_us, self._now_us, (name, lend.birth, number), amount)
        return ""
