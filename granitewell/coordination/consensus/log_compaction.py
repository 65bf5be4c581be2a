"""When the log of a replica, and the file that holds it, are to be compacted."""

from __future__ import annotations

from dataclasses import dataclass

from granitewell.coordination.consensus.replica import Replica
from granitewell.coordination.consensus.settings import ReplicaSettings

CATCH_UP_GROWTH_FACTOR = 4
"""Factor by which the log may grow beyond its compaction limit while a peer catches up.

If the log were compacted at once, it would lose the entries that the peer needs after its snapshot, and the
transfer would start over.
"""


@dataclass(slots=True)
class LogFileSize:
    """Size of the file of a log, in bytes.

    Attributes:
        written: Size once all batches are written.
        rewritten: Size after its last rewrite.
    """

    written: int = 0
    rewritten: int = 0

    def grow(self, size: int) -> None:
        """Record that a batch was appended."""
        self.written += size

    def rewrite(self, size: int) -> None:
        """Record that the file was replaced."""
        self.written = self.rewritten = size


def is_compaction_due(
    replica: Replica, size: LogFileSize, applied_index: int, settings: ReplicaSettings, now: float
) -> bool:
    """Return whether the log or its file is long enough to be compacted."""
    max_bytes = settings.compact_bytes + 2 * replica.snapshot_bytes
    if size.written > 2 * max(max_bytes, size.rewritten):
        return True
    if applied_index <= replica.snapshot_index:
        return False
    length = max(replica.log_entries / settings.compact_entries, replica.log_bytes / max_bytes)
    return length > CATCH_UP_GROWTH_FACTOR or (length > 1 and not replica.has_peer_behind(now))
