"""An upper bound on the age of a follower's state that holds whatever happens to messages in transit.

The arrival time of a heartbeat proves nothing: the message may have waited for seconds at a frozen process or
on a stalled link. But a heartbeat that returns the stamp of a reply of this process was sent after that
reply. The leader held its lease at that time, so everything committed by then is in the log up to the commit
index that the heartbeat names. Once this replica has committed that far, its state is no older than its
reply.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from granitewell.coordination.consensus.messages import Heartbeat
from granitewell.coordination.consensus.quorum import NEVER

MAX_REMEMBERED_REPLIES = 64
"""How many replies are remembered: about ten seconds of heartbeats."""

STAMPS_PER_S = 1_000_000
"""Resolution of stamps. They are taken from this process's clock, so that another process that ran under the
same replica id never used the same ones.
"""


@dataclass(frozen=True, slots=True)
class _Proof:
    """A replica that has committed up to `index` has everything that was committed at time `at`."""

    index: int
    at: float


class ReadStaleness:
    """What the leaders' heartbeats prove about this replica's state.

    Times are those of this process's own clock, in seconds.
    """

    def __init__(self) -> None:
        self._stamp = 0
        self._replied_at: dict[int, float] = {}  # by stamp
        self._proofs: deque[_Proof] = deque(maxlen=MAX_REMEMBERED_REPLIES)
        self._proven_at = NEVER

    def on_heartbeat(self, message: Heartbeat, now: float) -> int:
        """Handle a heartbeat of the current term; return the stamp of the reply to it."""
        replied_at = self._replied_at.get(message.acknowledged_stamp)
        if message.leased and replied_at is not None:
            self._proofs.append(_Proof(message.leader_commit_index, replied_at))
        self._stamp = max(self._stamp + 1, int(now * STAMPS_PER_S))
        self._replied_at[self._stamp] = now
        if len(self._replied_at) > MAX_REMEMBERED_REPLIES:
            del self._replied_at[next(iter(self._replied_at))]
        return self._stamp

    def proven_at(self, commit_index: int) -> float:
        """Return the latest time for which it is proven that the state contains everything committed by then.

        Args:
            commit_index: Commit index of this replica.
        """
        while self._proofs and self._proofs[0].index <= commit_index:
            self._proven_at = max(self._proven_at, self._proofs.popleft().at)
        return self._proven_at
