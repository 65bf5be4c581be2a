"""What the switch learns of the letters that pass it: it has the fleet's key, as any node does.

It owns the count of bytes and letters by node and kind, when a node first said that it leaves, and the
offences that only the wire shows: a number used twice for two letters, a stream that is no row of frames. It
must never change, hold back or lose what passes.
"""

from __future__ import annotations

from collections import Counter
from hashlib import blake2b

from granitewell.protocols.peers.frames import (
    MAX_DATAGRAM_BYTES,
    MAX_STREAM_FRAME_BYTES,
    Frame,
    Key,
    Keys,
    Kind,
    open_,
)
from granitewell.protocols.peers.gossip import CODEC, Envelope
from granitewell.state_machine import Transport

KEPT = 8_192  # numbers of a process that are told apart
MAX_BIRTHS = 2_000
MAX_OFFENCES = 100
LEFT = 3  # the state, as claims give it


class Seen:
    """Of one run.

    Attributes:
        counts: By node and what.
        left_us: By node, when it first said so in this life.
    """

    def __init__(self, keys: tuple[str, ...]) -> None:
        self._keys = [Keys(Key(bytes.fromhex(k))) for k in keys]
        self.counts: Counter[str] = Counter()
        self.offences: list[str] = []
        self.left_us: dict[str, list[int]] = {}
        self._numbers: dict[int, dict[int, bytes]] = {}
        self._gone: set[int] = set()

    def frame(self, now_us: int, node: str, data: bytes, transport: Transport) -> None:
        """A whole frame that a node has sent."""
        self.counts[f"{node} {transport.value}s"] += 1
        letter = self._opened(
            data, MAX_DATAGRAM_BYTES if transport is Transport.DATAGRAM else MAX_STREAM_FRAME_BYTES
        )
        if letter is None:
            self.counts[f"{node} unread"] += 1
            return
        self.counts[f"{node} {type(letter.message).__name__.lower()}"] += 1
        self._number(node, letter, data)
        for claim in letter.assertions:
            own = claim.birth == letter.birth and claim.state == LEFT
            if own and letter.birth not in self._gone:
                self._gone.add(letter.birth)
                self.left_us.setdefault(node, []).append(now_us)

    def spoilt(self, node: str, why: str) -> None:
        """A node has written what is no frame on a stream."""
        self.offend(f"frames: {node} has written a stream that is no row of frames: {why}")

    def offend(self, text: str) -> None:
        """Something that must not be."""
        if len(self.offences) < MAX_OFFENCES:
            self.offences.append(text)

    def _opened(self, data: bytes, limit: int) -> Envelope | None:
        for keys in self._keys:
            frame = open_(data, keys, limit=limit)
            if isinstance(frame, Frame):
                return CODEC.decode(frame.body) if frame.kind == Kind.GOSSIP else None
        return None

    def _number(self, node: str, letter: Envelope, data: bytes) -> None:
        numbers = self._numbers.pop(letter.birth, None)
        if numbers is None:
            numbers = {}
            while len(self._numbers) >= MAX_BIRTHS:
                del self._numbers[next(iter(self._numbers))]
        self._numbers[letter.birth] = numbers
        digest = blake2b(data, digest_size=8).digest()
        known = numbers.get(letter.seq)
        if known is not None and known != digest:
            self.offend(f"number: {node} has used number {letter.seq} of one life for two letters")
        elif known is None:
            while len(numbers) >= KEPT:
                del numbers[next(iter(numbers))]
            numbers[letter.seq] = digest
