"""Claims that wait to be passed on, riding on other messages (SWIM, section 4.1).

It owns which of them goes next: those sent least, of those the newest, each so often as the logarithm of the
members asks for and no more. It must never look into a claim. There is one claim a name: a newer one takes
the place of the older, and where there are too many the one sent most makes room.
"""

from __future__ import annotations

from math import ceil, log10

MAX_ENTRIES_EXAMINED = 64  # entries looked at for one message, whether they fit or not
MIN_ROOM_BYTES = 24  # bytes; less room than that is not filled


class DisseminationQueue:
    """The queue.

    Attributes:
        factor: Lambda.
        longest: Claims that it holds.
    """

    __slots__ = ("_by_transmissions", "_retransmit_multiplier", "_max_length", "_transmissions")

    def __init__(self, retransmit_multiplier: int, max_length: int) -> None:
        self._retransmit_multiplier, self._max_length = retransmit_multiplier, max_length
        self._by_transmissions: list[dict[str, bytes]] = []  # at place k what was sent k times, oldest first
        self._transmissions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._transmissions)

    def max_transmissions(self, members: int) -> int:
        """How often a claim is sent."""
        return self._retransmit_multiplier * max(ceil(log10(members + 1)), 1)

    def add(self, name: str, encoded: bytes) -> None:
        """A new claim."""
        self.remove(name)
        if len(self._transmissions) >= self._max_length:
            self.remove(next(next(iter(entries)) for entries in reversed(self._by_transmissions) if entries))
        self._level(0)[name] = encoded
        self._transmissions[name] = 0

    def remove(self, name: str) -> None:
        """What waits of that name waits no more."""
        transmissions = self._transmissions.pop(name, None)
        if transmissions is not None:
            del self._by_transmissions[transmissions][name]

    def take(self, room: int, members: int, excluded: str = "") -> list[bytes]:
        """Claims for one message of that room, which count as sent.

        Args:
            but: A name that is not picked.
        """
        selected = self._select(room, excluded)
        max_transmissions = self.max_transmissions(members)
        for transmissions, name, encoded in reversed(selected):  # the newest last, as it was
            del self._by_transmissions[transmissions][name]
            if transmissions + 1 < max_transmissions:
                self._level(transmissions + 1)[name] = encoded
                self._transmissions[name] = transmissions + 1
            else:
                del self._transmissions[name]
        return [encoded for _, _, encoded in selected]

    def _select(self, room: int, excluded: str) -> list[tuple[int, str, bytes]]:
        selected: list[tuple[int, str, bytes]] = []
        examined = 0
        for transmissions, entries in enumerate(self._by_transmissions):
            for name, encoded in reversed(entries.items()):
                examined += 1
                if room < MIN_ROOM_BYTES or examined > MAX_ENTRIES_EXAMINED:
                    return selected
                if len(encoded) <= room and name != excluded:
                    selected.append((transmissions, name, encoded))
                    room -= len(encoded)
        return selected

    def _level(self, transmissions: int) -> dict[str, bytes]:
        while len(self._by_transmissions) <= transmissions:
            self._by_transmissions.append({})
        return self._by_transmissions[transmissions]
