"""Messages that claim something about this replica's disk, held back until the disk has synced it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from granitewell.coordination.consensus.ready import Outgoing

MAX_PENDING_MESSAGES = 256
"""Maximum number of messages that wait for one write.

Beyond it the oldest are dropped, as the network might lose them: while a disk refuses writes, replies to a
peer's heartbeats would pile up.
"""


@dataclass(frozen=True, slots=True)
class _Pending:
    write: int
    batch: int
    messages: tuple[Outgoing, ...]


@dataclass(frozen=True, slots=True)
class Released:
    """Messages that a synced write releases.

    Attributes:
        batch: The newest of the replica's batches that the write covers, or 0.
        messages: The messages to send.
    """

    batch: int
    messages: tuple[Outgoing, ...]


class PendingMessages:
    """Pending messages, in the order of the writes that they wait for."""

    def __init__(self) -> None:
        self._pending: deque[_Pending] = deque()

    def add(self, write: int, batch: int, messages: tuple[Outgoing, ...]) -> None:
        """Hold back the messages of a batch until a write is synced."""
        if self._pending and self._pending[-1].write == write:
            messages = (self._pending.pop().messages + messages)[-MAX_PENDING_MESSAGES:]
        self._pending.append(_Pending(write, batch, messages))

    def release(self, write: int) -> Released:
        """Return the messages whose writes are synced, up to and including `write`."""
        batch = 0
        released: list[Outgoing] = []
        while self._pending and self._pending[0].write <= write:
            pending = self._pending.popleft()
            batch = pending.batch
            released += pending.messages
        return Released(batch, tuple(released))

    def clear(self) -> None:
        """Drop all messages, because their sender is no longer a replica of the group."""
        self._pending.clear()
