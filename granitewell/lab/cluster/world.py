"""The virtual cluster: nodes that run pure machines in virtual time, and all that can befall them.

It owns when a machine is called and with what, and carries out the shared effects
(granitewell.state_machine). It must never know a subject: effects of a machine's own go to the node's
`other`, which joins subjects as a shell would. The same seed and the same calls give the same digest.

Each node has a clock of its own, and only that is shown to its machines. A node is a process with a disk: it
may be stalled (messages queue, `TimerFired` comes late), killed and started again with what its disk has
kept, and two processes may sit at one address, where each message reaches one of them.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

from granitewell.lab.cluster.clock import Clock
from granitewell.lab.cluster.disk import Disk, Fate
from granitewell.lab.cluster.links import GIVE_UP_US, MAX_QUEUED, Links, Quality, Stream
from granitewell.lab.engine import Engine, stream
from granitewell.state_machine import (
    LogLine,
    MessageReceived,
    SendMessage,
    StateMachine,
    Store,
    Stored,
    TimerFired,
    Transport,
)

MAX_DATAGRAM_BYTES = 1_200
MAX_WAITING = 512  # datagrams that a stalled process's socket holds; more are dropped


@dataclass(frozen=True, slots=True)
class Boot:
    """What a process starts with.

    Attributes:
        now_us: On its own clock.
        disk: What it has kept, by key.
        count: How often this node has been started before.
        rng: A stream of this process alone.
    """

    id: str
    address: str
    now_us: int
    disk: Mapping[str, bytes]
    count: int
    rng: Random


Make = Callable[[Boot], Sequence[StateMachine]]
Other = Callable[["Cluster", "Node", object], None]
Watch = Callable[["Cluster", "Node", object, list[object]], str | None]


@dataclass(frozen=True, slots=True)
class Spec:
    """A node.

    Attributes:
        id: Unique.
        address: Where messages reach it.
        make: Its machines at each start.
        pick: Which of them a message is for.
        other: Told of effects that are not the shared ones.
    """

    id: str
    address: str
    make: Make
    pick: Callable[[bytes], int] | None = None
    other: Other | None = None
    offset_us: int = 0
    ppm: int = 0
    disk_us: int = 2_000


@dataclass(slots=True)
class Count:
    """What a node has sent and handled since the beginning."""

    said: int = 0
    said_bytes: int = 0
    heard: int = 0
    handled: int = 0


@dataclass(eq=False, slots=True)
class Node:
    """A process and what it sits on."""

    spec: Spec
    clock: Clock
    disk: Disk
    machines: list[StateMachine] = field(default_factory=list)
    wakes: list[int] = field(default_factory=list)  # by machine: the real time for which it is on the agenda
    up: bool = False
    stalled: bool = False
    boots: int = 0
    waiting: list[tuple[int, object]] = field(default_factory=list)  # what came while it was stalled
    count: Count = field(default_factory=Count)

    @property
    def id(self) -> str:
        """Its unique name in the world; two may share an address."""
        return self.spec.id


@dataclass(frozen=True, slots=True)
class Broken:
    """An invariant does not hold.

    Attributes:
        node: Whose event it was.
    """

    at_us: int
    node: str
    text: str


class _StopError(Exception):
    pass


class Cluster:
    """The world. Add nodes, `start` them, `run`; afterwards look at `broken`, `digest`, `lines`."""

    def __init__(self, seed: int, quality: Quality | None = None) -> None:
        self.seed = seed
        self.engine = Engine()
        self.links = Links(stream(seed, "links"), quality)
        self.nodes: dict[str, Node] = {}
        self.at: dict[str, list[Node]] = {}
        self.watches: list[Watch] = []
        self.broken: Broken | None = None
        self.lines: list[tuple[int, str, LogLine]] = []
        self.most_lines = 10_000
        self._rng = stream(seed, "world")

    @property
    def now_us(self) -> int:
        """Real time."""
        return self.engine.now_us

    @property
    def digest(self) -> str:
        """Of all that was handled, in order."""
        return self.engine.digest

    # --- Processes --------------------------------------------------------------------------------------
    def add(self, spec: Spec, disk: Mapping[str, bytes] | None = None) -> Node:
        """A node that is not started yet. Raises ValueError where its id is taken."""
        if spec.id in self.nodes:
            raise ValueError(f"node: found a second {spec.id!r}, allowed is one of each id")
        clock = Clock(spec.offset_us, spec.ppm)
        node = Node(spec, clock, Disk(spec.disk_us))
        node.disk.kept.update(disk or {})
        self.nodes[spec.id] = node
        self.at.setdefault(spec.address, []).append(node)
        return node

    def start(self, node: Node) -> None:
        """Start its process, if it is not up."""
        if node.up:
            return
        node.up, node.stalled = True, False
        rng = stream(self.seed, "node", node.id, node.boots)
        now = node.clock.local(self.now_us)
        boot = Boot(node.id, node.spec.address, now, dict(node.disk.kept), node.boots, rng)
        node.boots += 1
        node.machines = list(node.spec.make(boot))
        node.wakes = [-1] * len(node.machines)
        self.engine.mark(node.id, "start")
        for index in range(len(node.machines)):
            self._agenda(node, index)

    def kill(self, node: Node, fate: Fate = Fate.KEPT) -> None:
        """End its process without a word; its streams break."""
        if not node.up:
            if fate is Fate.LOST:
                node.disk.kept = {}
            return
        node.up = node.stalled = False
        node.disk.kill(fate, self._rng)
        node.machines, node.wakes, node.waiting = [], [], []
        self.snap(node.spec.address)
        self.engine.mark(node.id, "kill", fate.value)

    def stall(self, node: Node) -> None:
        """Stop its process as SIGSTOP does."""
        node.stalled = node.up

    def go_on(self, node: Node) -> None:
        """What waited comes now: timers first or messages first, as a loop may have it."""
        if not (node.up and node.stalled):
            return
        node.stalled = False
        waiting, node.waiting = node.waiting, []
        timers = [(k, TimerFired()) for k in range(len(node.machines)) if 0 <= node.wakes[k] <= self.now_us]
        first = self._rng.random() < 0.5
        for index, event in (*timers, *waiting) if first else (*waiting, *timers):
            if isinstance(event, TimerFired):
                node.wakes[index] = -1
            self.tell(node, event, index)

    def snap(self, address: str) -> None:
        """All streams from and to an address break."""
        for (source, to), one in self.links.streams.items():
            if address in (source, to):
                one.snap()

    # --- Events -----------------------------------------------------------------------------------------
    def tell(self, node: Node, event: object, index: int = 0) -> None:
        """Give an event to a machine of a node, and carry out what comes of it.

        A stalled one gets it later, a dead one never.
        """
        if not node.up:
            return
        if node.stalled:
            node.waiting.append((index, event))
            return
        node.count.handled += 1
        effects = node.machines[index].handle(node.clock.local(self.engine.now_us), event)
        self.engine.mark(node.id, type(event).__name__, len(effects))
        for effect in effects:
            kind = type(effect)
            if kind is SendMessage:
                self._say(node, effect)  # type: ignore[arg-type]
            elif kind is Store:
                self._store(node, index, effect)  # type: ignore[arg-type]
            elif kind is LogLine:
                self._line(node, effect)  # type: ignore[arg-type]
            elif node.spec.other is not None:
                node.spec.other(self, node, effect)
        if node.up:
            self._agenda(node, index)
        for watch in self.watches:
            text = watch(self, node, event, effects)
            if text is not None:
                self.broken = Broken(self.now_us, node.id, text)
                raise _StopError

    def run(self, until_us: int) -> Broken | None:
        """Let time pass until then, or until an invariant does not hold."""
        if self.broken is None:
            with suppress(_StopError):
                self.engine.run(until_us)
        return self.broken

    def _agenda(self, node: Node, index: int) -> None:
        """Schedule the machine's next waking.

        Nothing is scheduled if an earlier waking is pending: that one checks again.
        """
        wake = node.machines[index].wake_us
        if wake < 0:
            return
        due = max(node.clock.real(wake), self.now_us)
        if not 0 <= node.wakes[index] <= due:
            node.wakes[index] = due
            self.engine.at(due, self._wake, node, index, node.boots, due)

    def _wake(self, node: Node, index: int, boot: int, due: int) -> None:
        if node.boots != boot or not node.up or node.stalled or node.wakes[index] != due:
            return
        node.wakes[index] = -1
        wake = node.machines[index].wake_us
        if 0 <= wake <= node.clock.local(self.now_us):
            self.tell(node, TimerFired(), index)
        else:
            self._agenda(node, index)

    # --- Effects ----------------------------------------------------------------------------------------
    def _line(self, node: Node, line: LogLine) -> None:
        if len(self.lines) < self.most_lines:
            self.lines.append((self.now_us, node.id, line))

    def _store(self, node: Node, index: int, store: Store) -> None:
        due = node.disk.ask(self.now_us, store)
        self.engine.at(due, self._stored, node, index, node.boots)

    def _stored(self, node: Node, index: int, boot: int) -> None:
        if node.boots == boot and node.up:
            store, ok = node.disk.done()
            self.tell(node, Stored(store.token, ok), index)

    def _say(self, node: Node, say: SendMessage) -> None:
        count, size = node.count, len(say.data)
        count.said += 1
        count.said_bytes += size
        source = node.spec.address
        if say.transport is Transport.STREAM:
            self._stream(source, say)
            return
        if size > MAX_DATAGRAM_BYTES:
            raise ValueError(f"datagram: found {size} bytes, allowed are {MAX_DATAGRAM_BYTES}")
        now = self.engine.now_us
        for takes in self.links.datagram(source, say.to):
            self.engine.at(now + takes, self._arrive, source, say.to, say.data)

    def _arrive(self, source: str, to: str, data: bytes, transport: Transport = Transport.DATAGRAM) -> None:
        there = self.at.get(to)
        if there is None:
            return
        node = there[0]
        if len(there) > 1:
            up = [n for n in there if n.up]
            if not up:
                return
            node = up[int(self._rng.random() * len(up))]
        full = node.stalled and transport is Transport.DATAGRAM and len(node.waiting) >= MAX_WAITING
        if full or not node.up:
            return
        node.count.heard += 1
        pick = node.spec.pick
        self.tell(node, MessageReceived(source, data, transport), pick(data) if pick is not None else 0)

    # --- Streams ----------------------------------------------------------------------------------------
    def _stream(self, source: str, say: SendMessage) -> None:
        one = self.links.streams.get((source, say.to))
        if one is None:
            one = self.links.streams[source, say.to] = Stream()
        if self.links.stopped(source, say.to) or self.links.stopped(say.to, source):
            self._held(one, source, say)
            return
        if one.last_us == 0:  # a connection is made first: a round trip
            one.last_us = self.now_us + 2 * self.links.stream(source, say.to)
        one.last_us = max(one.last_us, self.now_us + self.links.stream(source, say.to))
        self.engine.at(one.last_us, self._passes, one, one.turn, source, say)

    def _held(self, one: Stream, source: str, say: SendMessage) -> None:
        """A cut is in the way: wait for its end, for a while."""
        if one.stopped_us < 0:
            one.stopped_us = self.now_us
        elif self.now_us - one.stopped_us > GIVE_UP_US:
            one.snap()
            one.stopped_us = self.now_us
        if len(one.queued) < MAX_QUEUED:
            one.queued.append(say.data)
            if len(one.queued) == 1:
                self.engine.at(self.now_us + 200_000, self._again, one, one.turn, source, say.to)

    def _again(self, one: Stream, turn: int, source: str, to: str) -> None:
        """Look whether the cut is over."""
        if one.turn != turn:
            return
        if self.links.stopped(source, to) or self.links.stopped(to, source):
            if self.now_us - one.stopped_us > GIVE_UP_US:
                one.snap()
            else:
                self.engine.at(self.now_us + 200_000, self._again, one, turn, source, to)
            return
        one.stopped_us, queued, one.queued = -1, one.queued, []
        for data in queued:
            self._stream(source, SendMessage(to, data, Transport.STREAM))

    def _passes(self, one: Stream, turn: int, source: str, say: SendMessage) -> None:
        if one.turn == turn:
            self._arrive(source, say.to, say.data, Transport.STREAM)
