"""What has changed of each name, by whose word: for whoever has to explain a view.

It owns the notes and their bounds. It must never be asked by what decides.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from granitewell.membership.states import Standing

MAX_ENTRIES_PER_NAME = 12  # notes of a name, the newest,
MAX_NAMES = 2_000  # of so many names, those that changed last


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One change.

    Attributes:
        at_us: On the member's own time.
        teller: Who told it ("" for what this process has found itself), by which road.
        by: Who suspects it or calls it dead.
        standing: As it was from then on.
    """

    at_us: int
    source: str
    transport: str
    by: str
    standing: Standing


class History:
    """Notes by name."""

    __slots__ = ("_entries",)

    def __init__(self) -> None:
        self._entries: dict[str, deque[HistoryEntry]] = {}

    def add(self, name: str, entry: HistoryEntry) -> None:
        """One more; the oldest of many goes."""
        entries = self._entries.pop(name, None)
        if entries is None:
            entries = deque(maxlen=MAX_ENTRIES_PER_NAME)
            while len(self._entries) >= MAX_NAMES:
                del self._entries[next(iter(self._entries))]
        entries.append(entry)
        self._entries[name] = entries

    def entries(self, name: str) -> tuple[HistoryEntry, ...]:
        """Its notes, the newest last."""
        return tuple(self._entries.get(name, ()))
