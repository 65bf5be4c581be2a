"""A bounded history of the changes of each name and who reported them, for diagnosis only.

No decision depends on it.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from granitewell.membership.states import Standing

MAX_ENTRIES_PER_NAME = 12  # the newest are kept
MAX_NAMES = 2_000  # names that changed last


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One change of a name.

    Attributes:
        at_us: Time of the change on the local process clock.
        source: Member that reported it; "" for what this process found itself.
        transport: Transport by which the report came.
        by: Member that suspects the name or declared it dead.
        standing: Standing after the change.
    """

    at_us: int
    source: str
    transport: str
    by: str
    standing: Standing


class History:
    """Changes by name, bounded in names and in entries per name."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: dict[str, deque[HistoryEntry]] = {}

    def add(self, name: str, entry: HistoryEntry) -> None:
        """Append an entry; drops the oldest entry of the name, or the name that changed longest ago."""
        entries = self._entries.pop(name, None)
        if entries is None:
            entries = deque(maxlen=MAX_ENTRIES_PER_NAME)
            while len(self._entries) >= MAX_NAMES:
                del self._entries[next(iter(self._entries))]
        entries.append(entry)
        self._entries[name] = entries

    def entries(self, name: str) -> tuple[HistoryEntry, ...]:
        """Return the entries of a name, newest last."""
        return tuple(self._entries.get(name, ()))
