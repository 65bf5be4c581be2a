"""How old a follower's state may be, as a bound that holds whatever happens to messages on their way.

When a heartbeat arrives says nothing: it may have waited for seconds, at a process that was frozen or on a
link that held bytes up. But one that brings the stamp of a reply of this process back was sent after that
reply. The leader held its lease then, so all that was committed by then stands in the log up to the commit
index that it names. Once this replica has committed that far, its state is no older than its reply.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from granitewell.coordination.consensus.messages import Heartbeat
from granitewell.coordination.consensus.quorum import NEVER

REPLIES_KEPT = 64
"""Replies whose times are kept: some ten seconds of heartbeats."""

STAMPS_PER_S = 1_000_000
"""Stamps are times of this process's clock, so that none is another's that ran under the same replica id."""


@dataclass(frozen=True, slots=True)
class _Proof:
    """Who has committed up to the index has all that was committed at a time."""

    index: int
    at: float


class ReadStaleness:
    """What the heartbeats of leaders prove of this replica's state. Times are those of its own clock."""

    def __init__(self) -> None:
        self._stamp = 0
        self._replied_at: dict[int, float] = {}  # by stamp
        self._proofs: deque[_Proof] = deque(maxlen=REPLIES_KEPT)
        self._proven_at = NEVER

    def on_heartbeat(self, message: Heartbeat, now: float) -> int:
        """A heartbeat of the current term has come; the stamp of the reply to it."""
        replied_at = self._replied_at.get(message.acknowledged_stamp)
        if message.leased and replied_at is not None:
            self._proofs.append(_Proof(message.leader_commit_index, replied_at))
        self._stamp = max(self._stamp + 1, int(now * STAMPS_PER_S))
        self._replied_at[self._stamp] = now
        if len(self._replied_at) > REPLIES_KEPT:
            del self._replied_at[next(iter(self._replied_at))]
        return self._stamp

    def proven_at(self, commit_index: int) -> float:
        """The latest time of which it is proven that a replica that has committed so far has all that was
        committed by then.
        """
        while self._proofs and self._proofs[0].index <= commit_index:
            self._proven_at = max(self._proven_at, self._proofs.popleft().at)
        return self._proven_at
