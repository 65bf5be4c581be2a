"""Comparing whole tables with one member, over a stream: at joining, now and then, and when two meet again.

It owns who is asked when, the open conversations and what bounds them. It must never merge a claim: it says
of a letter whether its claims may be believed.

Theory of operation. HELLO asks and is believed in nothing, since it may be an old one that somebody kept. The
WELCOME echoes its number, which proves the one who answers, and brings a token and a digest of each part of
the table. The asker sends its claims of the parts that differ (PUSH) with the token, which proves the asker,
and gets the other's (PAGE). So nothing large is sent to whoever has proved nothing, two tables that agree
cost two small letters, and who differ in little send little (anti-entropy, Demers et al. 1987).
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from granitewell.membership.local_member import Opened, Seat
from granitewell.membership.states import Phase
from granitewell.protocols.peers.gossip import MAX_PAGE, Hello, Page, Push, Welcome, packed
from granitewell.protocols.peers.limits import Bucket, Window
from granitewell.state_machine import Transport

TALK_US = 10_000_000  # a conversation that takes longer is over
MAX_ASKED, MAX_GUESTS = 8, 64
JOIN_US = 500_000  # between hellos while we join
SOON_US = 1_000_000  # after we have become a member, and while we are alone
WAIT_US = 2_000_000  # while another has our name
APART = 2  # every so many-th hello goes to a seed that is no member, if there is one


@dataclass(slots=True)
class Asked:
    """A hello of ours.

    Attributes:
        name, birth: Of whoever has answered.
    """

    address: str
    end_us: int
    name: str = ""
    birth: int = 0


@dataclass(slots=True)
class Guest:
    """Whoever has said hello.

    Attributes:
        address: Where to answer.
    """

    name: str
    birth: int
    address: str
    end_us: int
    number: int
    window: Window


class Sync:
    """due_us: when to say hello next; -1 for never."""

    __slots__ = ("_asked", "_bucket", "_count", "_guests", "_pause_us", "_seat", "_soon", "_turn", "due_us")

    def __init__(self, seat: Seat) -> None:
        self._seat = seat
        self._asked: dict[int, Asked] = {}
        self._guests: dict[int, Guest] = {}
        self._turn = self._count = 0
        self._pause_us = SOON_US  # until the next; doubled up to the usual one
        self.due_us = -1
        self.begin()

    def begin(self) -> None:
        """The time is known for the first time."""
        seat = self._seat
        self._bucket, self._soon = Bucket(seat.figures.syncs, seat.now_us), Bucket(1, seat.now_us)

    def within(self, length_us: int) -> None:
        """Say hello in so long at the latest."""
        due = self._seat.now_us + length_us
        self.due_us = due if self.due_us < 0 else min(due, self.due_us)

    def entered(self) -> None:
        """We are a member, which nobody knows yet: compare at once, and again after ever longer pauses.

        Where many start together most letters come from members whom the hearer does not know yet, and are
        lost.
        """
        self._pause_us, self.due_us = SOON_US, self._seat.now_us

    def stirred(self) -> None:
        """Somebody is lost to us: it may be we who are, so compare soon, and again after ever longer
        pauses.
        """
        if self._pause_us > SOON_US:
            self._pause_us = SOON_US
            self.within(SOON_US)

    # --- Whom and when ----------------------------------------------------------------------------------
    def run(self, phase: Phase) -> None:
        """Say hello, if it is time."""
        seat = self._seat
        if not 0 <= self.due_us <= seat.now_us:
            return
        alone = seat.members <= 1
        lengths = {Phase.JOINING: JOIN_US, Phase.DISPUTED: WAIT_US, Phase.TAKEN: WAIT_US}
        pause = SOON_US if alone else self._pause_us * 3 // 4 + seat.some(self._pause_us // 2)
        self.due_us = seat.now_us + lengths.get(phase, pause)
        self._pause_us = min(2 * self._pause_us, seat.figures.sync_us)
        address = self._whom(alone or phase is Phase.JOINING)
        if address:
            self.hello(address)

    def _whom(self, seeds_first: bool) -> str:
        """A seed in turn while we know nobody.

        Else a random member, and now and then a seed that is none: it may belong to a part of the
        installation that has lost us, and forgotten that it did.
        """
        seat = self._seat
        seeds = [s for s in seat.config.seeds if s != seat.config.address]
        self._count += 1
        if not seeds_first and self._count % APART == 0:
            there = {m.about.address for m in map(seat.table.member, seat.table.up.names) if m is not None}
            seeds = [s for s in seeds if s not in there]
        if seeds and (seeds_first or self._count % APART == 0):
            if self._turn == 0:
                self._turn = seat.some(len(seeds))
            self._turn += 1
            return seeds[self._turn % len(seeds)]
        return next((member.about.address for member in seat.draw(1)), "")

    def hello(self, address: str) -> None:
        """Ask whoever is at that address."""
        seat, number = self._seat, self._seat.number()
        while len(self._asked) >= MAX_ASKED:
            del self._asked[next(iter(self._asked))]
        self._asked[number] = Asked(address, seat.now_us + TALK_US)
        seat.send(address, 0, Hello(number, seat.config.address), transport=Transport.STREAM)

    def soon(self, address: str) -> None:
        """Ask, but not too often: for those whom somebody else makes us ask."""
        if self._soon.take(self._seat.now_us):
            self.hello(address)

    # --- The one asked ----------------------------------------------------------------------------------
    def hello_heard(self, opened: Opened, said: Hello) -> None:
        """Give a token, and our digests."""
        seat = self._seat
        if not self._bucket.take(seat.now_us):
            seat.count("syncs")
            return
        while len(self._guests) >= MAX_GUESTS:
            del self._guests[next(iter(self._guests))]
        token = 1 + int(seat.rng.random() * (1 << 53))
        end = seat.now_us + TALK_US
        birth = opened.letter.birth
        self._guests[token] = Guest(opened.sender, birth, said.address, end, said.number, Window())
        seat.send(said.address, birth, Welcome(said.number, token, seat.table.digest_bytes()), opened.sender,
                  Transport.STREAM)  # fmt: skip

    def push_heard(self, opened: Opened, said: Push) -> bool:
        """Whether its claims may be believed; answers with ours."""
        seat, guest = self._seat, self._guests.get(said.token)
        if guest is None or (guest.name, guest.birth) != (opened.sender, opened.letter.birth):
            return False
        if seat.now_us >= guest.end_us or not guest.window.fresh(opened.letter.seq):
            return False
        if said.want and not said.more:
            for page, more in self._pages(said.want):
                seat.send_page(guest.address, guest.birth, Page(guest.number, more), page)
        return True

    # --- The asker --------------------------------------------------------------------------------------
    def welcome_heard(self, opened: Opened, said: Welcome) -> bool:
        """Push what differs; True where nothing does, and the conversation is over."""
        seat, asked = self._seat, self._asked.get(said.number)
        if asked is None or asked.birth or seat.now_us >= asked.end_us:
            return False
        asked.name, asked.birth = opened.sender, opened.letter.birth
        parts = seat.table.differing(said.digests)
        if not parts:
            del self._asked[said.number]
            return True
        for page, more in self._pages(parts):
            push = Push(said.number, said.token, 0 if more else parts, more)
            seat.send_page(asked.address, asked.birth, push, page)
        return False

    def page_heard(self, opened: Opened, said: Page) -> tuple[bool, bool]:
        """Whether its claims may be believed, and whether it was the last."""
        asked = self._asked.get(said.number)
        if asked is None or (asked.name, asked.birth) != (opened.sender, opened.letter.birth):
            return False, False
        if not said.more:
            del self._asked[said.number]
        return True, not said.more

    def _pages(self, parts: int) -> Iterator[tuple[list[bytes], bool]]:
        """Claims by the letter, and whether more letters follow; one empty letter where there are none."""
        page: list[bytes] = []
        size = 0
        for claim in self._seat.table.claims(parts, self._seat.now_us):
            one = packed(claim)
            if size + len(one) > MAX_PAGE:
                yield page, True
                page, size = [], 0
            page.append(one)
            size += len(one)
        yield page, False
