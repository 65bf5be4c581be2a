"""The counter that a shell runs: asks the other nodes in turn, answers them, and tells figures.

It owns whom to ask when, what an answer holds, and how many bytes that may cost. It must never touch a socket
or read a clock, and raises nothing on what comes from outside.

A question has a number, and the answer to it repeats that: so it is known when it was asked. Answers that
come twice, late or out of order are taken as any other, since merging them changes nothing that is known
already; an answer to no question of ours is dropped, as nothing would be known of when it was written.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from random import Random
from typing import NamedTuple

from granitewell.protocols.peers.counts import CODEC, MAX_SLICES, Ask, Slice, Slot, Word
from granitewell.protocols.peers.frames import (
    MAX_DATAGRAM_BYTES,
    MAX_OVERHEAD_BYTES,
    Frame,
    Keys,
    Kind,
    open_,
    seal,
)
from granitewell.protocols.peers.limits import TokenBucket
from granitewell.shared_counters.local_counts import Own
from granitewell.shared_counters.remote_counts import Node
from granitewell.shared_counters.types import Figure, Figures, Part, Peer, Peers, Rekey, Took
from granitewell.state_machine import MessageReceived, SendMessage, TimerFired

ROOM = MAX_DATAGRAM_BYTES - MAX_OVERHEAD_BYTES
FIXED = 96  # bytes of a word without slots and slices, at the most
ASK_BYTES = 160  # of a whole question, about
WORDS = 4  # letters in one answer, where there is much to tell
PENDING = 32  # questions to one node that may still be answered
PER_SENDER = 40  # letters a second that are looked at, of each and
IN_ALL = 4_000  # of all
MAX_NODES = 10_000
TICK_US = 20_000  # between two looks at whom to ask, at least
SILENT = 3  # times every_us without a word, after which a node is asked of others


class _Asked:
    """How a node is asked.

    Attributes:
        sent: Our questions that are not answered, by number: when, and of whom.
    """

    __slots__ = ("bucket", "due_us", "sent")

    def __init__(self, due_us: int, now_us: int) -> None:
        self.due_us, self.bucket = due_us, TokenBucket(PER_SENDER, now_us)
        self.sent: dict[int, tuple[int, str]] = {}


class Tale(NamedTuple):
    """What is told of a process, be it ourselves or a copy: see `Word`.

    Attributes:
        version: Up to which its slots are known.
    """

    life: int
    birth: int
    width_us: int
    up_us: int
    ago_least_us: int
    ago_most_us: int
    first: int
    upto: int
    open: bool
    version: int
    cells: Mapping[int, Mapping[int, int]]
    slots_after: Callable[[int], list[Slot]]


class Counts:
    """Of one process.

    Attributes:
        name, life, birth: As the membership has them.
        counts: Letters by kind, and what was dropped, by reason.
        rng: Its own; spreads questions over time.
    """

    def __init__(
        self, name: str, life: int, birth: int, keys: Keys, figures: Figures, rng: Random, now_us: int
    ) -> None:
        self.name, self.life, self.birth, self.figures = name, life, birth, figures
        self.counts: Counter[str] = Counter()
        self.own = Own(figures, now_us)
        self.nodes: dict[str, Node] = {}
        self._keys, self._rng, self._now_us = keys, rng, now_us
        self._peers: dict[str, Peer] = {}
        self._asked: dict[str, _Asked] = {}
        self._unnamed = 0
        self._former = Node(figures)  # what processes of our name before this one have used
        self._former.gone_us = now_us
        self._around_us = now_us  # when another is next asked of a silent node
        self._number = int(rng.random() * (1 << 30)) << 20
        self._total = TokenBucket(IN_ALL, now_us)
        self._spare, self._spare_us = float(figures.bytes_per_s), now_us
        self._forgot_us = now_us  # when what has left the window last went
        self._turned_us = now_us  # when it was last looked at whom to ask: no request puts that off
        self._out: list[object] = []

    # --- What others see --------------------------------------------------------------------------------
    @property
    def wake_us(self) -> int:
        """When TimerFired is wanted; -1 for never."""
        due = min((self._asked[n].due_us for n, p in self._peers.items() if p.up), default=-1)
        return max(due, self._turned_us + TICK_US) if due >= 0 else -1

    def figure(self, now_us: int, key: str | None = None) -> Figure:
        """Between what the use of a key by all nodes lies, in the window that ends now; None: of all keys."""
        now_us = max(now_us, self._now_us)
        self.own.turn(now_us)
        mine = self._mine(now_us, key)
        parts = [mine, *(node.part(name, key, now_us) for name, node in sorted(self.nodes.items()))]
        window_s = self.figures.window_us / 1e6
        unnamed = int(self._unnamed * self.figures.ceiling_per_s * window_s)
        low, high = sum(p.low for p in parts), sum(p.high for p in parts) + unnamed
        return Figure(key if key is not None else "", low, high, tuple(parts), unnamed)

    def keys(self) -> list[str]:
        """All that have a slot at some node."""
        slots = [*self.own.slots.values()]
        slots += [s for n in self.nodes.values() for life in n.lives.values() for s in life.slots.values()]
        return sorted({s.key for s in slots})

    def _mine(self, now_us: int, key: str | None) -> Part:
        """Our own part: known to the microsecond, but for the edge of the window in a slice, and for keys
        that had no slot.
        """
        own, start = self.own, self.own.up_us(now_us) - self.figures.window_us
        numbers = [s for s in own.slots.values() if s.key == key]
        low = high = edge = others = 0
        for index, cell in own.cells.items():
            if (index + 1) * self.figures.width_us <= start:
                continue
            sure = may = sum(cell.values())
            if key is not None:
                sure = may = sum(cell.get(s.number, 0) for s in numbers)
                if not any(s.born < index and (s.ended < 0 or index < s.ended) for s in numbers):
                    may += cell.get(0, 0)
            high += may
            if index * self.figures.width_us > start:
                low += sure
                others += may - sure
            else:
                edge += may
        before = self._former.part(self.name, key, now_us)
        return Part(self.name, low + before.low, high + before.high, 0, before.unheard, edge + before.edge,
                    others + before.others)  # fmt: skip

    # --- Events -----------------------------------------------------------------------------------------
    def handle(self, now_us: int, event: object) -> list[object]:
        """Apply one event; letters to be sent."""
        out = self._out = []
        now_us = self._now_us = max(now_us, self._now_us)
        if isinstance(event, Took):
            self.own.took(now_us, event.key, event.count)
        elif isinstance(event, MessageReceived):
            self._heard(event)
        elif isinstance(event, TimerFired):
            self._turn()
        elif isinstance(event, Peers):
            self._take(event)
        elif isinstance(event, Rekey):
            self._keys = event.keys
        else:
            raise TypeError(f"event: found {type(event).__name__}, allowed are those of counts")
        return out

    def _take(self, event: Peers) -> None:
        """Others are there, or gone."""
        self._unnamed = event.unnamed
        self._peers = {n: p for n, p in event.peers.items() if n != self.name}
        for name, peer in self._peers.items():
            node = self.nodes.get(name)
            if node is None and len(self.nodes) < MAX_NODES:
                node = self.nodes[name] = Node(self.figures)
            if name not in self._asked:
                wait_us = int(self._rng.random() * self.figures.every_us)
                self._asked[name] = _Asked(self._now_us + wait_us, self._now_us)
            if node is not None:
                if not peer.gone:
                    node.gone_us = -1
                elif node.gone_us < 0:
                    node.gone_us = self._now_us
        start = self._now_us - self.figures.window_us
        for name, node in list(self.nodes.items()):
            # one that takes nothing is folded away once nothing of it can be in the window
            if name not in self._peers or node.gone_us >= 0:
                if node.gone_us < 0:
                    node.gone_us = self._now_us
                if node.gone_us < start:
                    del self.nodes[name]
        self._asked = {n: a for n, a in self._asked.items() if n in self._peers}

    # --- Asking -----------------------------------------------------------------------------------------
    def _turn(self) -> None:
        """Ask those whose turn it is, while there are bytes to spare."""
        self._turned_us = self._now_us
        self._save()
        self.own.turn(self._now_us)
        if self._now_us - self._forgot_us >= self.figures.width_us:
            self._forgot_us = self._now_us
            for node in (self._former, *self.nodes.values()):
                node.forget(self._now_us)
        due = [n for n, p in self._peers.items() if p.up and self._asked[n].due_us <= self._now_us]
        for name in sorted(due, key=lambda n: self._asked[n].due_us):
            if self._spare < ASK_BYTES:
                self.counts["slowed"] += 1
                return
            asked = self._asked[name]
            asked.due_us = self._now_us + self.figures.every_us
            self._ask(name, asked, name)
        if self._around_us <= self._now_us and self._spare >= ASK_BYTES:
            self._around_us = self._now_us + self.figures.every_us
            self._around()

    def _around(self) -> None:
        """Ask somebody of the one that has been silent for longest.

        Of our own former lives while the window holds some of them.
        """
        up = sorted(n for n, p in self._peers.items() if p.up)
        late_us = self._now_us - SILENT * self.figures.every_us
        silent = [(self._heard_us(n), n) for n in self.nodes if self._heard_us(n) < late_us]
        if self.own.up_us(self._now_us) < self.figures.window_us and self._rng.random() < 0.5:
            silent = [(0, self.name)]
        if silent and up:
            of = min(silent)[1]
            name = up[int(self._rng.random() * len(up))]
            if name != of:
                self._ask(name, self._asked[name], of)

    def _heard_us(self, name: str) -> int:
        """Up to when we know what it has used."""
        life = self.nodes[name].last
        return life.when(life.known_us, self._now_us)[0] if life is not None else 0

    def _held(self, name: str) -> Node | None:
        """What we hold of a name; of our own, of processes before this one."""
        return self._former if name == self.name else self.nodes.get(name)

    def _ask(self, name: str, asked: _Asked, of: str) -> None:
        self._number += 1
        node = self._held(of)
        life = node.last if node is not None else None
        while len(asked.sent) >= PENDING:
            del asked.sent[next(iter(asked.sent))]
        asked.sent[self._number] = self._now_us, of
        whom = of if of != name else ""
        but = self.birth if of == self.name else 0
        if life is None:
            ask = Ask(self._number, whom, but)
        else:
            ask = Ask(self._number, whom, but, life.birth, life.upto, life.slots_known)
        self._say(self._peers[name].address, ask)

    def _say(self, address: str, letter: Ask | Word) -> None:
        data = seal(Kind.COUNT, CODEC.encode(letter), self._keys, self.name)
        self._spare -= len(data)
        self.counts[f"{type(letter).__name__.lower()} said"] += 1
        self.counts["said_bytes"] += len(data)
        self._out.append(SendMessage(address, data))

    def _save(self) -> None:
        per_s, passed_us = self.figures.bytes_per_s, self._now_us - self._spare_us
        self._spare = min(self._spare + passed_us * per_s / 1e6, float(per_s))
        self._spare_us = self._now_us

    # --- Hearing ----------------------------------------------------------------------------------------
    def _heard(self, heard: MessageReceived) -> None:
        wrong = self._looked_at(heard)
        if wrong:
            self.counts[f"dropped {wrong}"] += 1

    def _looked_at(self, heard: MessageReceived) -> str:
        """Take a letter up; why not, or nothing."""
        if not self._total.take(self._now_us):
            return "in_all"
        frame = open_(heard.data, self._keys)
        if not isinstance(frame, Frame):
            return frame.why.value
        if frame.kind != Kind.COUNT:
            return "kind"
        asked = self._asked.get(frame.sender)
        if asked is None:
            return "stranger"
        if not asked.bucket.take(self._now_us):
            return "sender"
        letter = CODEC.decode(frame.body)
        if letter is None:
            return "malformed"
        self.counts[f"{type(letter).__name__.lower()} heard"] += 1
        if isinstance(letter, Word):
            return self._word(frame.sender, asked, letter)
        self._answer(heard.sender, letter)
        return ""

    def _word(self, name: str, asked: _Asked, word: Word) -> str:
        """An answer has come: not asked for, or of figures that can't be."""
        asked_us, of = asked.sent.get(word.number, (-1, ""))
        node = self._held(of)
        if asked_us < 0 or node is None or (word.of or name) != of:
            return "unasked"
        whole = word.width_us > 0 and word.first <= word.upto <= word.up_us // word.width_us
        near = all(word.first <= s.index <= word.upto for s in word.slices)
        known = node.lives.get(word.birth)
        if not whole or not near or word.ago_least_us > word.ago_most_us:
            return "figures"
        if (known is not None and known.width_us != word.width_us) or word.birth == self.birth:
            return "birth"
        node.heard(asked_us, self._now_us, word)
        if not word.open and not word.of and word.upto < word.up_us // word.width_us - 1:
            asked.due_us = min(asked.due_us, self._now_us + TICK_US)  # there is more: ask soon
        return ""

    def _answer(self, address: str, ask: Ask) -> None:
        """What is new to whoever asks, as much as a few letters hold."""
        self._save()
        index = self.own.turn(self._now_us)
        tale = self._own_tale(index) if ask.of in ("", self.name) else self._copy(ask.of, ask.but)
        if tale is None:
            return  # we know nothing of it either
        ours = ask.birth == tale.birth
        at = min(max(ask.slices, tale.first), tale.upto) if ours else tale.first
        known = min(ask.slots, tale.version) if ours else 0
        for _ in range(WORDS):
            if self._spare < 0:
                self.counts["slowed"] += 1
                return
            word = self._form(ask, tale, at, known)
            self._say(address, word)
            at, known = word.upto, word.slots
            if word.open or at >= tale.upto:
                return

    def _own_tale(self, index: int) -> Tale:
        own = self.own
        return Tale(self.life, self.birth, self.figures.width_us, own.up_us(self._now_us), 0, 0, own.oldest,
                    index, True, own.version, own.cells, own.slots_after)  # fmt: skip

    def _copy(self, name: str, but: int) -> Tale | None:
        node = self.nodes.get(name)
        life = node.newest(but) if node is not None else None
        if life is None or life.first < 0:
            return None
        known_us = life.known_us
        earliest, latest = life.when(known_us, self._now_us)
        now_us, whole = self._now_us, life.open_us >= life.upto * life.width_us
        return Tale(
            life.life, life.birth, life.width_us, known_us, max(now_us - latest, 0), now_us - earliest,
            life.first, life.upto, whole, life.slots_known, life.cells, life.slots_after,
        )  # fmt: skip

    def _form(self, ask: Ask, tale: Tale, first: int, known: int) -> Word:
        """One letter: slots first, since slices without them say little; then whole slices."""
        room, since = ROOM - FIXED, known
        new: list[Slot] = []
        left = [s for s in tale.slots_after(known) if s.version <= tale.version]
        for slot in left:
            room -= len(slot.key.encode()) + 24
            if room < 0:
                break
            new.append(slot)
            known = slot.version
        slices: list[Slice] = []
        upto, whole = first, False
        while len(new) == len(left) and room > 0:
            cell = tale.cells.get(upto)
            if cell:
                one = Slice(upto, [x for pair in sorted(cell.items()) for x in pair])
                room -= 12 + sum(_size(x) for x in one.used)
                if room < 0:
                    break
                slices.append(one)
            if upto >= tale.upto or len(slices) >= MAX_SLICES:
                whole = upto >= tale.upto and tale.open
                break
            upto += 1
        if len(new) == len(left):
            known = max(known, tale.version)
        return Word(
            ask.number, tale.life, tale.birth, tale.up_us, tale.width_us, first, upto, ask.of,
            tale.ago_least_us, tale.ago_most_us, since, known, whole, new, slices,
        )  # fmt: skip


def _size(number: int) -> int:
    """Bytes of a number as msgpack writes it."""
    bounds = ((128, 1), (256, 2), (65_536, 3), (1 << 32, 5))
    return next((size for most, size in bounds if number < most), 9)
