"""Messages that claim something of this replica's disk, until the disk has synced it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from granitewell.coordination.consensus.ready import Outgoing

MAX_PENDING_MESSAGES = 256
"""Messages that wait for one write.

Beyond it the oldest go, as the network might lose them: while a disk refuses, a peer's heartbeats would have
replies pile up.
"""


@dataclass(frozen=True, slots=True)
class _Pending:
    write: int
    batch: int
    messages: tuple[Outgoing, ...]


@dataclass(frozen=True, slots=True)
class Released:
    """What a synced write sets free.

    Attributes:
        batch: The newest of the replica's batches that it covers, or 0.
    """

    batch: int
    messages: tuple[Outgoing, ...]


class PendingMessages:
    """In the order of the writes that they wait for."""

    def __init__(self) -> None:
        self._pending: deque[_Pending] = deque()

    def add(self, write: int, batch: int, messages: tuple[Outgoing, ...]) -> None:
        """Keep messages of a batch until a write is synced."""
        if self._pending and self._pending[-1].write == write:
            messages = (self._pending.pop().messages + messages)[-MAX_PENDING_MESSAGES:]
        self._pending.append(_Pending(write, batch, messages))

    def release(self, write: int) -> Released:
        """All writes up to one are synced."""
        batch = 0
        released: list[Outgoing] = []
        while self._pending and self._pending[0].write <= write:
            pending = self._pending.popleft()
            batch = pending.batch
            released += pending.messages
        return Released(batch, tuple(released))

    def clear(self) -> None:
        """Forget them: their sender is no replica any more."""
        self._pending.clear()
