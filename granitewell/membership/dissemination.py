"""Claims that wait to be passed on, riding on other messages (SWIM, section 4.1).

It owns which of them goes next: those sent least, of those the newest, each so often as the logarithm of the
members asks for and no more. It must never look into a claim. There is one claim a name: a newer one takes
the place of the older, and where there are too many the one sent most makes room.
"""

from __future__ import annotations

from math import ceil, log10

LOOKS = 64  # entries looked at for one message, whether they fit or not
LEAST = 24  # bytes; less room than that is not filled


class Spread:
    """The queue.

    Attributes:
        factor: Lambda.
        longest: Claims that it holds.
    """

    __slots__ = ("_by_sent", "_factor", "_longest", "_where")

    def __init__(self, factor: int, longest: int) -> None:
        self._factor, self._longest = factor, longest
        self._by_sent: list[dict[str, bytes]] = []  # at place k what was sent k times, oldest first
        self._where: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._where)

    def most(self, members: int) -> int:
        """How often a claim is sent."""
        return self._factor * max(ceil(log10(members + 1)), 1)

    def put(self, name: str, packed: bytes) -> None:
        """A new claim."""
        self.drop(name)
        if len(self._where) >= self._longest:
            self.drop(next(next(iter(those)) for those in reversed(self._by_sent) if those))
        self._place(0)[name] = packed
        self._where[name] = 0

    def drop(self, name: str) -> None:
        """What waits of that name waits no more."""
        sent = self._where.pop(name, None)
        if sent is not None:
            del self._by_sent[sent][name]

    def pick(self, room: int, members: int, but: str = "") -> list[bytes]:
        """Claims for one message of that room, which count as sent.

        Args:
            but: A name that is not picked.
        """
        chosen = self._choose(room, but)
        most = self.most(members)
        for sent, name, packed in reversed(chosen):  # the newest last, as it was
            del self._by_sent[sent][name]
            if sent + 1 < most:
                self._place(sent + 1)[name] = packed
                self._where[name] = sent + 1
            else:
                del self._where[name]
        return [packed for _, _, packed in chosen]

    def _choose(self, room: int, but: str) -> list[tuple[int, str, bytes]]:
        chosen: list[tuple[int, str, bytes]] = []
        looks = 0
        for sent, those in enumerate(self._by_sent):
            for name, packed in reversed(those.items()):
                looks += 1
                if room < LEAST or looks > LOOKS:
                    return chosen
                if len(packed) <= room and name != but:
                    chosen.append((sent, name, packed))
                    room -= len(packed)
        return chosen

    def _place(self, sent: int) -> dict[str, bytes]:
        while len(self._by_sent) <= sent:
            self._by_sent.append({})
        return self._by_sent[sent]
