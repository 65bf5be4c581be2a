"""Exhaustive search of small worlds: every state that any order of actions leads to, breadth first.

It owns the walk and the shortest trace to a state that is wrong. It must never know what a state is: a world
gives its steps, each with a state that is equal and hashes the same wherever it is the same state.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

S = TypeVar("S", bound=Hashable)
A = TypeVar("A")


@dataclass(frozen=True, slots=True)
class Seen(Generic[A]):
    """states, steps: how many different states were seen and how many steps taken between them.

    Attributes:
        depth: Of the furthest.
        whole: Whether all was seen, or the bound on states came first.
        broken: What is wrong with the first wrong state, if any is.
        trace: The fewest steps that lead there.
    """

    states: int
    steps: int
    depth: int
    whole: bool
    broken: str = ""
    trace: tuple[A, ...] = ()


def search(
    start: S, steps: Callable[[S], Iterable[tuple[A, S]]], broken: Callable[[S], str], most: int = 1_000_000
) -> Seen[A]:
    """Visit every state from the start until one is wrong, or there are more than `most`.

    Args:
        steps: What may happen in a state, and the state after it.
    """
    came: dict[S, tuple[S, A] | None] = {start: None}
    edge, taken, depth = [start], 0, 0
    while edge:
        following: list[S] = []
        for state in edge:
            wrong = broken(state)
            if wrong:
                return Seen(len(came), taken, depth, False, wrong, _trace(came, state))
            if len(came) > most:
                return Seen(len(came), taken, depth, False)
            for step, new in steps(state):
                taken += 1
                if new not in came:
                    came[new] = (state, step)
                    following.append(new)
        edge = following
        depth += bool(edge)
    return Seen(len(came), taken, depth, True)


def _trace(came: dict[S, tuple[S, A] | None], state: S) -> tuple[A, ...]:
    found: list[A] = []
    before = came[state]
    while before is not None:
        state, step = before
        found.append(step)
        before = came[state]
    return tuple(reversed(found))
