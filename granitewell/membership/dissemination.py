"""Queue of assertions that are piggybacked on other messages (SWIM, section 4.1).

Assertions that were sent least often go first, newest first among equals. Each is sent a number of times that
grows with the logarithm of the number of members. There is one assertion per name: a newer one replaces an
older one. If the queue is full, the one sent most often is dropped.
"""

from __future__ import annotations

from math import ceil, log10

MAX_ENTRIES_EXAMINED = 64  # per message, whether they fit or not
MIN_ROOM_BYTES = 24  # less room than this is not filled


class DisseminationQueue:
    """Encoded assertions by member name, ordered by how often they were sent."""

    __slots__ = ("_by_transmissions", "_retransmit_multiplier", "_max_length", "_transmissions")

    def __init__(self, retransmit_multiplier: int, max_length: int) -> None:
        """Create an empty queue.

        Args:
            retransmit_multiplier: SWIM's lambda.
            max_length: Most assertions that it holds.
        """
        self._retransmit_multiplier, self._max_length = retransmit_multiplier, max_length
        self._by_transmissions: list[dict[str, bytes]] = []  # [k]: those sent k times, oldest first
        self._transmissions: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._transmissions)

    def max_transmissions(self, members: int) -> int:
        """Return how often each assertion is sent."""
        return self._retransmit_multiplier * max(ceil(log10(members + 1)), 1)

    def add(self, name: str, encoded: bytes) -> None:
        """Add the assertion of a name, or replace it."""
        self.remove(name)
        if len(self._transmissions) >= self._max_length:
            self.remove(next(next(iter(entries)) for entries in reversed(self._by_transmissions) if entries))
        self._level(0)[name] = encoded
        self._transmissions[name] = 0

    def remove(self, name: str) -> None:
        """Remove the assertion of a name, if there is one."""
        transmissions = self._transmissions.pop(name, None)
        if transmissions is not None:
            del self._by_transmissions[transmissions][name]

    def take(self, room: int, members: int, excluded: str = "") -> list[bytes]:
        """Return assertions for one message and count them as sent.

        Args:
            room: Bytes available in the message.
            members: Number of members, which limits the transmissions.
            excluded: A name whose assertion is not taken.
        """
        selected = self._select(room, excluded)
        max_transmissions = self.max_transmissions(members)
        for transmissions, name, encoded in reversed(selected):  # in reverse, so that the newest stays last
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
