"""What has changed of each name, by whose word: for whoever has to explain a view.

It owns the notes and their bounds. It must never be asked by what decides.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from granitewell.membership.states import Standing

EACH = 12  # notes of a name, the newest,
NAMES = 2_000  # of so many names, those that changed last


@dataclass(frozen=True, slots=True)
class Told:
    """One change.

    Attributes:
        at_us: On the member's own time.
        teller: Who told it ("" for what this process has found itself), by which road.
        by: Who suspects it or calls it dead.
        standing: As it was from then on.
    """

    at_us: int
    teller: str
    transport: str
    by: str
    standing: Standing


class History:
    """Notes by name."""

    __slots__ = ("_notes",)

    def __init__(self) -> None:
        self._notes: dict[str, deque[Told]] = {}

    def put(self, name: str, told: Told) -> None:
        """One more; the oldest of many goes."""
        notes = self._notes.pop(name, None)
        if notes is None:
            notes = deque(maxlen=EACH)
            while len(self._notes) >= NAMES:
                del self._notes[next(iter(self._notes))]
        notes.append(told)
        self._notes[name] = notes

    def of(self, name: str) -> tuple[Told, ...]:
        """Its notes, the newest last."""
        return tuple(self._notes.get(name, ()))
