"""Proposals of this node whose outcome is pending."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from granitewell.coordination.consensus.replica import Position
from granitewell.coordination.consensus.types import Entry
from granitewell.domain.errors import ProposalLostError


@dataclass(frozen=True, slots=True)
class _Waiter:
    term: int
    future: asyncio.Future[object]


class Proposals:
    """Pending proposals by log index.

    Each gets the state machine's result, or raises ProposalLostError.
    """

    def __init__(self) -> None:
        self._waiters: dict[int, _Waiter] = {}

    def wait(self, position: Position) -> asyncio.Future[object]:
        """Return a future for the outcome of a proposal; an older one at the same index is lost."""
        older = self._waiters.get(position.index)
        future: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        self._waiters[position.index] = _Waiter(position.term, future)
        if older is not None:
            _fail(older, ProposalLostError("another leader's entry took its place"))
        return future

    def applied(self, entry: Entry, result: object, failure: Exception | None) -> None:
        """Resolve the proposal of a committed entry with the state machine's result or failure."""
        waiter = self._waiters.pop(entry.index, None)
        if waiter is None:
            return
        if waiter.term != entry.term:
            failure = ProposalLostError("another leader's entry took its place")
        if failure is not None:
            _fail(waiter, failure)
        elif not waiter.future.done():
            waiter.future.set_result(result)

    def lose(self, up_to: float) -> None:
        """Fail all proposals up to an index, because their outcome will not be known on this node."""
        for index in [index for index in self._waiters if index <= up_to]:
            _fail(self._waiters.pop(index), ProposalLostError("its outcome is not known here"))


def _fail(waiter: _Waiter, error: Exception) -> None:
    if not waiter.future.done():
        waiter.future.set_exception(error)
