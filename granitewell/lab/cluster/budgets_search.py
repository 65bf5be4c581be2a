"""Exhaustive search of a small world of rights.

Three nodes, two units to lend of each, every order of events.

It owns the world's steps and its one invariant: what all may spend is never more than the whole. The rights
are the program's own, made anew in each state. Letters are lost, doubled and late at will: whatever was once
said may be delivered at any later time, and again; a process may end at any step and begin anew. Time is in
ticks.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from granitewell.lab.cluster.search import Seen, search
from granitewell.quotas.quota_transfer import Loan, Quota
from granitewell.quotas.types import QuotaSettings

NOW = 1_000  # every state is looked at as of this tick
SETTINGS = QuotaSettings(reserve_fraction=0.0, loan_us=3, drift_ppm=0)
NAMES = ("a", "b", "c")
WHOLE = 6
LOANS = 2  # that a process grants at the most: a question that comes again and again would have no end
DEAD = -(SETTINGS.lender_loan_us + 1)  # a time so long ago that it is all the same how long


class Process(NamedTuple):
    """lent: number, to, amount, ticks left; borrowed: lender, its birth, number, amount, ticks left."""

    birth: int
    free: int
    last: int
    lent: frozenset[tuple[int, str, int, int]]
    borrowed: frozenset[tuple[str, int, int, int, int]]


class Envelope(NamedTuple):
    """kind: want, again, lend, back.

    Attributes:
        asked: Ticks since the asking, negative.
        birth: Of the lender.
    """

    kind: str
    source: str
    to: str
    asker: int  # its birth, by which an answer to a process of before is told
    asked: int
    birth: int = 0
    number: int = 0
    amount: int = 0


class State(NamedTuple):
    """processes by NAMES.

    Attributes:
        wants, ends: What may still be asked, and how often a process may still end.
    """

    processes: tuple[Process, ...]
    letters: frozenset[Envelope]
    wants: int
    ends: int


def rights_of(p: Process) -> Quota:
    """The program's own, as of NOW."""
    made = Quota(SETTINGS, WHOLE, len(NAMES), NOW + p.free)
    made._last_number = p.last
    made.lent = {n: Loan(to, amount, NOW + left) for n, to, amount, left in p.lent}
    made.borrowed = {(w, b, n): Loan(w, amount, NOW + left) for w, b, n, amount, left in p.borrowed}
    return made


def process_of(rights: Quota, birth: int) -> Process:
    """Back again; what has ended is left out."""
    rights.remove_expired(NOW)
    lent = frozenset((n, x.peer, x.amount, x.end_us - NOW) for n, x in rights.lent.items())
    borrowed = frozenset((w, b, n, x.amount, x.end_us - NOW) for (w, b, n), x in rights.borrowed.items())
    return Process(birth, max(rights.recovery_end_us - NOW, 0), rights._last_number, lent, borrowed)


def start(wants: int, ends: int) -> State:
    """Three that have run for long."""
    return State((Process(0, 0, 0, frozenset(), frozenset()),) * len(NAMES), frozenset(), wants, ends)


def total(state: State) -> int:
    """What all may spend."""
    return sum(rights_of(p).available(NOW) for p in state.processes)


def broken(state: State) -> str:
    """The invariant."""
    found = total(state)
    return f"all may spend {found} of {WHOLE}" if found > WHOLE else ""


def steps(state: State) -> Iterator[tuple[str, State]]:
    """All that may happen."""
    yield "tick", _tick(state)
    for k, name in enumerate(NAMES):
        one = state.processes[k]
        if state.wants:
            for to in NAMES:
                if to != name:
                    letter = Envelope("want", name, to, one.birth, 0)
                    yield f"{name} asks {to}", _said(state, letter)._replace(wants=state.wants - 1)
        for lender, birth, number, amount, _ in sorted(one.borrowed):
            if not amount:
                continue
            rights = rights_of(one)
            rights.return_loan(NOW, (lender, birth, number))
            back = Envelope("back", name, lender, one.birth, DEAD, birth, number)
            put = _put(state, k, process_of(rights, one.birth))
            yield f"{name} gives {number} back to {lender}", _said(put, back)
            if state.wants:
                again = Envelope("again", name, lender, one.birth, 0, birth, number)
                yield (
                    f"{name} asks {lender} for {number} again",
                    _said(state, again)._replace(wants=state.wants - 1),
                )
        if state.ends:
            anew = Process(one.birth + 1, SETTINGS.lender_loan_us, 0, frozenset(), frozenset())
            yield f"{name} begins anew", _put(state, k, anew)._replace(ends=state.ends - 1)
    for letter in sorted(state.letters):
        yield f"{letter.to} hears {letter.kind} of {letter.source}", _heard(state, letter)


def _tick(state: State) -> State:
    """A tick passes: all that is as of NOW moves back by one."""
    made = []
    for p in state.processes:
        lent = frozenset((n, to, x, left - 1) for n, to, x, left in p.lent if left > 1)
        borrowed = frozenset((w, b, n, x, left - 1) for w, b, n, x, left in p.borrowed if left > 1)
        made.append(Process(p.birth, max(p.free - 1, 0), p.last, lent, borrowed))
    letters = frozenset(x._replace(asked=max(x.asked - 1, DEAD)) for x in state.letters)
    # a letter that can change nothing any more is let go of, whoever it is for
    return state._replace(processes=tuple(made), letters=frozenset(x for x in letters if not _spent(x, made)))


def _spent(letter: Envelope, processes: list[Process]) -> bool:
    if letter.kind in ("lend", "want"):  # an answer to what was asked so long ago is no answer
        return letter.asked == DEAD
    if letter.kind in ("back", "again"):
        lender = processes[NAMES.index(letter.to)]
        return letter.birth != lender.birth or all(n != letter.number for n, *_ in lender.lent)
    return False


def _heard(state: State, letter: Envelope) -> State:
    k = NAMES.index(letter.to)
    one = state.processes[k]
    rights = rights_of(one)
    if letter.kind == "want":
        if one.last >= LOANS:
            return state
        number, amount = rights.lend(NOW, letter.source, 2)
        if not number:
            return state
        answer = Envelope(
            "lend", letter.to, letter.source, letter.asker, letter.asked, one.birth, number, amount
        )
        return _said(_put(state, k, process_of(rights, one.birth)), answer)
    if letter.kind == "again":
        amount = rights.renew(NOW, letter.number, letter.source) if letter.birth == one.birth else 0
        if not amount:
            return state
        return _lent(state, k, rights, letter, letter.number, amount)
    if letter.kind == "back":
        if letter.birth == one.birth:
            rights.handle_return(letter.number, letter.source)
    elif letter.asker == one.birth and letter.asked > DEAD:
        lender = letter.source, letter.birth, letter.number
        rights.borrow(NOW + letter.asked, NOW, lender, letter.amount)
    return _put(state, k, process_of(rights, one.birth))


def _lent(state: State, k: int, rights: Quota, asked: Envelope, number: int, amount: int) -> State:
    """The lender writes it down, and answers."""
    birth = state.processes[k].birth
    answer = Envelope("lend", asked.to, asked.source, asked.asker, asked.asked, birth, number, amount)
    return _said(_put(state, k, process_of(rights, birth)), answer)


def _put(state: State, k: int, one: Process) -> State:
    return state._replace(processes=(*state.processes[:k], one, *state.processes[k + 1 :]))


def _said(state: State, letter: Envelope) -> State:
    return state._replace(letters=state.letters | {letter})


def look(wants: int, ends: int, most: int = 1_000_000) -> Seen[str]:
    """Every state in which so much may be asked, and processes may end so often."""
    return search(start(wants, ends), steps, broken, most)
