"""Anti-entropy: comparing the whole table with one other member over a stream (Demers et al. 1987).

It runs at joining, periodically, and when a connection to a lost member is restored.

1. Hello starts an exchange. Nothing in it is trusted, since it may be a replay.
2. Welcome echoes the number of the Hello, which shows that the answer is fresh. It carries a token and the
   digest of each table partition.
3. Push carries the initiator's assertions of the partitions that differ. It returns the token, which shows
   that the Hello was fresh.
4. Page carries the responder's assertions of those partitions.

So nothing large is sent to an unproved address, two equal tables cost two small messages, and small
differences cost little. This module merges nothing; it tells whether the assertions in a message are trusted.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from granitewell.membership.local_member import LocalMember, ReceivedMessage
from granitewell.membership.states import Phase
from granitewell.protocols.peers.gossip import MAX_PAGE_BYTES, Hello, Page, Push, Welcome, pack
from granitewell.protocols.peers.limits import ReplayWindow, TokenBucket
from granitewell.state_machine import Transport

EXCHANGE_TIMEOUT_US = 10_000_000  # an exchange that takes longer is dropped
MAX_OUTGOING, MAX_INCOMING = 8, 64
JOIN_INTERVAL_US = 500_000  # between hellos while joining
MIN_INTERVAL_US = 1_000_000  # first interval of a member, and the one while it is alone
NAME_WAIT_INTERVAL_US = 2_000_000  # while another process has our name
SEED_INTERVAL = 2  # every n-th hello goes to a seed that is not a member, if there is one


@dataclass(slots=True)
class OutgoingExchange:
    """An exchange that we started.

    Attributes:
        address: Address that the hello went to.
        end_us: When it is dropped.
        name: Name of the member that answered.
        birth: Birth id of its process; 0 before an answer.
    """

    address: str
    end_us: int
    name: str = ""
    birth: int = 0


@dataclass(slots=True)
class IncomingExchange:
    """An exchange that another process started.

    Attributes:
        name: Name of that process.
        birth: Its birth id.
        address: Address for answers.
        end_us: When it is dropped.
        number: Number of its hello.
        replay_window: Sequence numbers of its messages.
    """

    name: str
    birth: int
    address: str
    end_us: int
    number: int
    replay_window: ReplayWindow


class AntiEntropy:
    """Starts exchanges and answers those of others.

    Attributes:
        due_us: Time of the next hello; -1 for never.
    """

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
        self._interval_us = MIN_INTERVAL_US  # until the next hello; doubles up to sync_us
        self.due_us = -1
        self.start()

    def start(self) -> None:
        """Initialise the rate limits once the time is known."""
        local = self._local
        self._incoming_limit, self._requested_limit = (
            TokenBucket(local.parameters.syncs, local.now_us),
            TokenBucket(1, local.now_us),
        )

    def schedule_within(self, length_us: int) -> None:
        """Send a hello within this time at the latest."""
        due = self._local.now_us + length_us
        self.due_us = due if self.due_us < 0 else min(due, self.due_us)

    def joined(self) -> None:
        """Compare at once after becoming a member, and again after growing intervals.

        When many members start together, most messages come from senders that the receiver does not know yet,
        and their assertions are ignored.
        """
        self._interval_us, self.due_us = MIN_INTERVAL_US, self._local.now_us

    def member_died(self) -> None:
        """Compare soon after a member died, and again after growing intervals.

        The local process may be the partitioned one.
        """
        if self._interval_us > MIN_INTERVAL_US:
            self._interval_us = MIN_INTERVAL_US
            self.schedule_within(MIN_INTERVAL_US)

    # --- Scheduling -------------------------------------------------------------------------------------
    def run(self, phase: Phase) -> None:
        """Send a hello if one is due."""
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
            else self._interval_us * 3 // 4 + local.random_below(self._interval_us // 2)
        )
        self.due_us = local.now_us + intervals.get(phase, interval)
        self._interval_us = min(2 * self._interval_us, local.parameters.sync_us)
        address = self._pick_address(alone or phase is Phase.JOINING)
        if address:
            self.hello(address)

    def _pick_address(self, seeds_first: bool) -> str:
        """Choose the address for the next hello: a random member, or a seed.

        While no other member is known, seeds take turns. Later a seed that is not a member is chosen now and
        then: it may belong to a partition in which each side has forgotten the other.
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
                self._next_seed = local.random_below(len(seeds))
            self._next_seed += 1
            return seeds[self._next_seed % len(seeds)]
        return next((member.about.address for member in local.random_members(1)), "")

    def hello(self, address: str) -> None:
        """Start an exchange with the process at an address."""
        local, number = self._local, self._local.next_number()
        while len(self._outgoing) >= MAX_OUTGOING:
            del self._outgoing[next(iter(self._outgoing))]
        self._outgoing[number] = OutgoingExchange(address, local.now_us + EXCHANGE_TIMEOUT_US)
        local.send(address, 0, Hello(number, local.config.address), transport=Transport.STREAM)

    def hello_limited(self, address: str) -> None:
        """Start an exchange in response to a received message; limited to one per second."""
        if self._requested_limit.take(self._local.now_us):
            self.hello(address)

    # --- Responder --------------------------------------------------------------------------------------
    def receive_hello(self, received: ReceivedMessage, message: Hello) -> None:
        """Answer a hello with a token and our digests."""
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
        """Return whether the assertions of a push are trusted; answer the last one with ours."""
        local, exchange = self._local, self._incoming.get(message.token)
        if exchange is None or (exchange.name, exchange.birth) != (received.sender, received.envelope.birth):
            return False
        if local.now_us >= exchange.end_us or not exchange.replay_window.accept(received.envelope.seq):
            return False
        if message.want and not message.more:
            for page, more in self._pages(message.want):
                local.send_page(exchange.address, exchange.birth, Page(exchange.number, more), page)
        return True

    # --- Initiator --------------------------------------------------------------------------------------
    def receive_welcome(self, received: ReceivedMessage, message: Welcome) -> bool:
        """Push the partitions that differ; return True if none does and the exchange is complete."""
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
        """Return whether the assertions of a page are trusted and whether it was the last page."""
        exchange = self._outgoing.get(message.number)
        if exchange is None or (exchange.name, exchange.birth) != (received.sender, received.envelope.birth):
            return False, False
        if not message.more:
            del self._outgoing[message.number]
        return True, not message.more

    def _pages(self, partitions: int) -> Iterator[tuple[list[bytes], bool]]:
        """Yield the assertions of each page and whether more follow; one empty page if there are none."""
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
