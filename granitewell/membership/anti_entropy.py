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

from granitewell.membership.local_member import LocalMember, ReceivedMessage
from granitewell.membership.states import Phase
from granitewell.protocols.peers.gossip import MAX_PAGE_BYTES, Hello, Page, Push, Welcome, pack
from granitewell.protocols.peers.limits import ReplayWindow, TokenBucket
from granitewell.state_machine import Transport

EXCHANGE_TIMEOUT_US = 10_000_000  # a conversation that takes longer is over
MAX_OUTGOING, MAX_INCOMING = 8, 64
JOIN_INTERVAL_US = 500_000  # between hellos while we join
MIN_INTERVAL_US = 1_000_000  # after we have become a member, and while we are alone
NAME_WAIT_INTERVAL_US = 2_000_000  # while another has our name
SEED_INTERVAL = 2  # every so many-th hello goes to a seed that is no member, if there is one


@dataclass(slots=True)
class OutgoingExchange:
    """A hello of ours.

    Attributes:
        name, birth: Of whoever has answered.
    """

    address: str
    end_us: int
    name: str = ""
    birth: int = 0


@dataclass(slots=True)
class IncomingExchange:
    """Whoever has said hello.

    Attributes:
        address: Where to answer.
    """

    name: str
    birth: int
    address: str
    end_us: int
    number: int
    replay_window: ReplayWindow


class AntiEntropy:
    """due_us: when to say hello next; -1 for never."""

    __slots__ = (
        "_outgoing",
        "_incoming_limit",
        "_hello_count",
        "_incoming",
        "_interval_us",
        "_local",
        "_requested_limit",
        "_next_seed",
        "due_us",
    )

    def __init__(self, local: LocalMember) -> None:
        self._local = local
        self._outgoing: dict[int, OutgoingExchange] = {}
        self._incoming: dict[int, IncomingExchange] = {}
        self._next_seed = self._hello_count = 0
        self._interval_us = MIN_INTERVAL_US  # until the next; doubled up to the usual one
        self.due_us = -1
        self.start()

    def start(self) -> None:
        """The time is known for the first time."""
        local = self._local
        self._incoming_limit, self._requested_limit = (
            TokenBucket(local.parameters.syncs, local.now_us),
            TokenBucket(1, local.now_us),
        )

    def schedule_within(self, length_us: int) -> None:
        """Say hello in so long at the latest."""
        due = self._local.now_us + length_us
        self.due_us = due if self.due_us < 0 else min(due, self.due_us)

    def joined(self) -> None:
        """We are a member, which nobody knows yet: compare at once, and again after ever longer pauses.

        Where many start together most letters come from members whom the hearer does not know yet, and are
        lost.
        """
        self._interval_us, self.due_us = MIN_INTERVAL_US, self._local.now_us

    def member_died(self) -> None:
        """Somebody is lost to us: it may be we who are, so compare soon, and again after ever longer
        pauses.
        """
        if self._interval_us > MIN_INTERVAL_US:
            self._interval_us = MIN_INTERVAL_US
            self.schedule_within(MIN_INTERVAL_US)

    # --- Whom and when ----------------------------------------------------------------------------------
    def run(self, phase: Phase) -> None:
        """Say hello, if it is time."""
        local = self._local
        if not 0 <= self.due_us <= local.now_us:
            return
        alone = local.member_count <= 1
        intervals = {
            Phase.JOINING: JOIN_INTERVAL_US,
            Phase.NAME_DISPUTED: NAME_WAIT_INTERVAL_US,
            Phase.NAME_TAKEN: NAME_WAIT_INTERVAL_US,
        }
        interval = (
            MIN_INTERVAL_US
            if alone
            else self._interval_us * 3 // 4 + local.random_part(self._interval_us // 2)
        )
        self.due_us = local.now_us + intervals.get(phase, interval)
        self._interval_us = min(2 * self._interval_us, local.parameters.sync_us)
        address = self._pick_address(alone or phase is Phase.JOINING)
        if address:
            self.hello(address)

    def _pick_address(self, seeds_first: bool) -> str:
        """A seed in turn while we know nobody.

        Else a random member, and now and then a seed that is none: it may belong to a part of the
        installation that has lost us, and forgotten that it did.
        """
        local = self._local
        seeds = [s for s in local.config.seeds if s != local.config.address]
        self._hello_count += 1
        if not seeds_first and self._hello_count % SEED_INTERVAL == 0:
            member_addresses = {
                m.about.address for m in map(local.table.member, local.table.up.names) if m is not None
            }
            seeds = [s for s in seeds if s not in member_addresses]
        if seeds and (seeds_first or self._hello_count % SEED_INTERVAL == 0):
            if self._next_seed == 0:
                self._next_seed = local.random_part(len(seeds))
            self._next_seed += 1
            return seeds[self._next_seed % len(seeds)]
        return next((member.about.address for member in local.random_members(1)), "")

    def hello(self, address: str) -> None:
        """Ask whoever is at that address."""
        local, number = self._local, self._local.next_number()
        while len(self._outgoing) >= MAX_OUTGOING:
            del self._outgoing[next(iter(self._outgoing))]
        self._outgoing[number] = OutgoingExchange(address, local.now_us + EXCHANGE_TIMEOUT_US)
        local.send(address, 0, Hello(number, local.config.address), transport=Transport.STREAM)

    def hello_limited(self, address: str) -> None:
        """Ask, but not too often: for those whom somebody else makes us ask."""
        if self._requested_limit.take(self._local.now_us):
            self.hello(address)

    # --- The one asked ----------------------------------------------------------------------------------
    def receive_hello(self, received: ReceivedMessage, message: Hello) -> None:
        """Give a token, and our digests."""
        local = self._local
        if not self._incoming_limit.take(local.now_us):
            local.count_drop("syncs")
            return
        while len(self._incoming) >= MAX_INCOMING:
            del self._incoming[next(iter(self._incoming))]
        token = 1 + int(local.rng.random() * (1 << 53))
        end = local.now_us + EXCHANGE_TIMEOUT_US
        birth = received.envelope.birth
        self._incoming[token] = IncomingExchange(
            received.sender, birth, message.address, end, message.number, ReplayWindow()
        )
        local.send(
            message.address,
            birth,
            Welcome(message.number, token, local.table.digest_bytes()),
            received.sender,
            Transport.STREAM,
        )

    def receive_push(self, received: ReceivedMessage, message: Push) -> bool:
        """Whether its claims may be believed; answers with ours."""
        local, exchange = self._local, self._incoming.get(message.token)
        if exchange is None or (exchange.name, exchange.birth) != (received.sender, received.envelope.birth):
            return False
        if local.now_us >= exchange.end_us or not exchange.replay_window.accept(received.envelope.seq):
            return False
        if message.want and not message.more:
            for page, more in self._pages(message.want):
                local.send_page(exchange.address, exchange.birth, Page(exchange.number, more), page)
        return True

    # --- The asker --------------------------------------------------------------------------------------
    def receive_welcome(self, received: ReceivedMessage, message: Welcome) -> bool:
        """Push what differs; True where nothing does, and the conversation is over."""
        local, exchange = self._local, self._outgoing.get(message.number)
        if exchange is None or exchange.birth or local.now_us >= exchange.end_us:
            return False
        exchange.name, exchange.birth = received.sender, received.envelope.birth
        partitions = local.table.differing_partitions(message.digests)
        if not partitions:
            del self._outgoing[message.number]
            return True
        for page, more in self._pages(partitions):
            push = Push(message.number, message.token, 0 if more else partitions, more)
            local.send_page(exchange.address, exchange.birth, push, page)
        return False

    def receive_page(self, received: ReceivedMessage, message: Page) -> tuple[bool, bool]:
        """Whether its claims may be believed, and whether it was the last."""
        exchange = self._outgoing.get(message.number)
        if exchange is None or (exchange.name, exchange.birth) != (received.sender, received.envelope.birth):
            return False, False
        if not message.more:
            del self._outgoing[message.number]
        return True, not message.more

    def _pages(self, partitions: int) -> Iterator[tuple[list[bytes], bool]]:
        """Claims by the letter, and whether more letters follow; one empty letter where there are none."""
        page: list[bytes] = []
        size = 0
        for assertion in self._local.table.assertions(partitions, self._local.now_us):
            encoded = pack(assertion)
            if size + len(encoded) > MAX_PAGE_BYTES:
                yield page, True
                page, size = [], 0
            page.append(encoded)
            size += len(encoded)
        yield page, False
