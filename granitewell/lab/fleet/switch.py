"""One process that carries every datagram and stream between the nodes of a run.

`python -m granitewell.lab.fleet.switch PLAN FLEET`.

It owns what becomes of a message on its way: lost, late, doubled, overtaken, held, torn, or not let through
at all, by ordered pair of nodes. The odds are those of `lab/cluster/links`, so that a trouble is the same
here and in virtual time. It must never make up a letter, know what one says (that is `seen`'s), or decide
when a trouble begins.

Theory of operation. For each place of a node there is an address here, which the node advertises. What a node
sends to another's address comes in at that one, from the sender's own bound address, by which the sender is
known; it goes on to the other's bound address from the address that the *sender* has here. So each node sees
the others at the addresses that they advertise, as behind address translation, and knows of nothing else.

A stream is two sockets with a pump each way. A loss on it costs time, as TCP repeats what was lost; under a
cut nothing passes, and where that lasts for longer than `GIVE_UP_US` both ends are reset, as a kernel gives
up. What differs from a network: a connection is taken at once and then stands, since the kernel of this
machine answers a SYN whatever lies between.

Orders: `trouble` (`on`, `trouble`), `tell`. News: `bound`, `seen`, and at the end `notes` and `late_us`.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
import time
from collections import Counter, deque
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

from granitewell.lab.cluster.chaos import Trouble
from granitewell.lab.cluster.links import GIVE_UP_US, Cut, Links, Quality
from granitewell.lab.engine import stream
from granitewell.lab.fleet.observations import Seen
from granitewell.lab.fleet.plan import Door, FleetPlan, load
from granitewell.lab.loopback.standin import DirectorChannel, Words, main
from granitewell.protocols.peers.frames import FrameSplitter
from granitewell.state_machine import Transport

PIECE = 64 * 1024
BATCH = 64  # datagrams of one socket in one turn of the loop
LOOK_S = 0.02  # between two looks whether a cut is over
MAX_HELD = 200_000  # datagrams held back in all
KEPT = 2_000  # frames of each node, for replays
NOISE_S = 0.005  # between two handfuls of noise
STAMPS, STAMP, ANCILLARY = 35, struct.Struct("qq"), 64  # SO_TIMESTAMPNS, socket(7)
SOON_US = 800  # what takes less goes at once: the loop counts in milliseconds


def _address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def node_of(door: str) -> str:
    """Whose place it is."""
    return door.rstrip("+")


class Pipe:
    """One stream between two nodes."""

    def __init__(self, source: str, to: str, near: socket.socket) -> None:
        self.source, self.to = source, to  # who dialed, and whom
        self.near: socket.socket | None = near
        self.far: socket.socket | None = None
        self.torn = self.dead = False
        self.tasks: list[asyncio.Task[None]] = []

    def reset(self) -> None:
        """Both ends hear that it is over."""
        self.near, near = None, self.near
        self.far, far = None, self.far
        for sock in (near, far):
            if sock is not None:
                _reset(sock)
        for task in self.tasks:
            task.cancel()


def _reset(sock: socket.socket) -> None:
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.shutdown(socket.SHUT_RD)  # a read that is pending ends, and with it its hold on the descriptor
    except OSError:
        pass
    sock.close()


class Switch:
    """All roads of a run."""

    def __init__(self, channel: DirectorChannel, plan: FleetPlan) -> None:
        self._channel, self._loop = channel, asyncio.get_running_loop()
        base = {k: int(v) if k.endswith("_us") else v for k, v in plan.link.items()}
        self._base = Quality(**({"delay_us": 0, "jitter_us": 0} | base))  # type: ignore[arg-type]
        self._links = Links(stream(plan.seed, "switch"), replace(self._base))
        self._rng = stream(plan.seed, "noise")
        self._seen = Seen(plan.keys)
        self._by_bind = {_address(d.bind): d for d in plan.doors}
        self._by_host = {_address(d.bind)[0]: d for d in plan.doors}
        self._sockets: dict[str, socket.socket] = {}  # datagrams, by place
        self._bind = {d.id: _address(d.bind) for d in plan.doors}
        self._listeners: list[socket.socket] = []
        self._pipes: set[Pipe] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._mute: Counter[str] = Counter()
        self._deaf: Counter[str] = Counter()
        self._hold: Counter[str] = Counter()
        self._band: dict[str, float] = {}
        self._worse: list[Trouble] = []
        self._cuts: dict[tuple[Any, ...], Cut] = {}
        self._held: list[tuple[str, str, bytes]] = []
        self._kept: dict[str, deque[bytes]] = {}
        self._noise: dict[str, tuple[float, str]] = {}
        self._noises: dict[str, asyncio.Task[None]] = {}
        self._acts: dict[str, Callable[[Trouble, bool], None]] = {
            "cut": self._cut, "oneway": lambda t, on: self._cut(t, on, oneway=True), "alone": self._alone,
            "mute": lambda t, on: self._count(self._mute, t, on), "link": self._link, "snap": self._snap,
            "deaf": lambda t, on: self._count(self._deaf, t, on), "torn": self._torn, "half": self._half,
            "band": self._banded, "hold": self._holding, "noise": self._noisy,
        }  # fmt: skip
        for door in plan.doors:
            self._open(door)
        channel.say(bound=len(plan.doors))

    def _open(self, door: Door) -> None:
        at = _address(door.at)
        datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        datagrams.setsockopt(socket.SOL_SOCKET, STAMPS, 1)  # when it came, however late the switch looks
        datagrams.setblocking(False)
        datagrams.bind(at)
        self._sockets[door.id] = datagrams
        self._loop.add_reader(datagrams.fileno(), self._readable, door.id, datagrams)
        listener = socket.create_server(at, backlog=256)
        listener.setblocking(False)
        self._listeners.append(listener)
        self._spawn(self._accept(door.id, listener))

    def _spawn(self, job: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self._loop.create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._channel.fail(task.exception() or RuntimeError())

    def close(self) -> None:
        """The run is over."""
        for task in list(self._tasks):
            task.cancel()
        self._channel.say(notes={}, late_us=self._channel.agenda.lateness())

    # --- Orders -----------------------------------------------------------------------------------------
    def order(self, words: Words) -> None:
        """See the module's paragraph."""
        if words["do"] == "tell":
            seen = self._seen
            counts = dict(sorted(seen.counts.items()))
            self._channel.say(seen={"counts": counts, "offences": seen.offences, "left_us": seen.left_us})
            return
        raw = words["trouble"]
        trouble = Trouble(**{**raw, "nodes": tuple(raw["nodes"])})
        self._acts[trouble.kind](trouble, bool(words["on"]))

    def _cut(self, t: Trouble, on: bool, oneway: bool = False) -> None:
        first = int(t.value)
        self._cutting(t, on, Cut((t.nodes[:first], t.nodes[first:]), oneway))

    def _alone(self, t: Trouble, on: bool) -> None:
        rest = tuple(sorted({node_of(d) for d in self._bind} - {*t.nodes}))
        self._cutting(t, on, Cut((rest, *((n,) for n in t.nodes))))

    def _cutting(self, t: Trouble, on: bool, cut: Cut) -> None:
        key = (t.kind, t.at_us, t.nodes)
        if on:
            self._cuts[key] = cut
            self._links.cut(cut)
        elif key in self._cuts:
            self._links.heal(self._cuts.pop(key))

    def _count(self, what: Counter[str], t: Trouble, on: bool) -> None:
        for n in t.nodes:
            what[n] += 1 if on else -1

    def _link(self, t: Trouble, on: bool) -> None:
        """As in virtual time: the worst of each counts."""
        (self._worse.append if on else self._worse.remove)(t)
        links = self._links
        links.quality, links.worse = replace(self._base), {}
        for one in self._worse:
            ends = [links.worse.setdefault(n, Quality(0, 0)) for n in one.nodes] or [links.quality]
            for end in ends:
                name = "jitter_us" if one.how == "delay" else one.how
                value = int(one.value) if one.how == "delay" else one.value
                setattr(end, name, max(getattr(end, name), value))

    def _snap(self, t: Trouble, on: bool) -> None:
        if on:
            for pipe in self._of(t):
                pipe.reset()

    def _torn(self, t: Trouble, on: bool) -> None:
        """Those that stand; the next piece on each goes half of its way."""
        if on:
            for pipe in self._of(t):
                pipe.torn = True

    def _half(self, t: Trouble, on: bool) -> None:
        """The far end is gone, the near one is not told: what it writes goes nowhere."""
        if on:
            for pipe in self._of(t):
                pipe.dead = True
                far, pipe.far = pipe.far, None
                if far is not None:
                    _reset(far)

    def _of(self, t: Trouble) -> list[Pipe]:
        return [p for p in self._pipes if {node_of(p.source), node_of(p.to)} & {*t.nodes}]

    def _banded(self, t: Trouble, on: bool) -> None:
        for n in t.nodes:
            if on:
                self._band[n] = max(t.value, 1.0)
            else:
                self._band.pop(n, None)

    def _holding(self, t: Trouble, on: bool) -> None:
        self._count(self._hold, t, on)
        if on:
            return
        kept, self._held = self._held, []
        order = sorted((self._rng.random(), k) for k in range(len(kept)))
        for _, k in order:
            source, to, data = kept[k]
            if self._hold[node_of(source)] > 0 or self._hold[node_of(to)] > 0:
                self._held.append((source, to, data))
            else:
                self._deliver(source, to, data)

    def _noisy(self, t: Trouble, on: bool) -> None:
        for n in t.nodes:
            old = self._noises.pop(n, None)
            if old is not None:
                old.cancel()
            if on:
                self._noises[n] = self._spawn(self._make_noise(n, t.value, t.how))

    # --- Datagrams --------------------------------------------------------------------------------------
    def _readable(self, to: str, sock: socket.socket) -> None:
        for _ in range(BATCH):
            try:
                data, told, _, sender = sock.recvmsg(PIECE, ANCILLARY)
            except BlockingIOError:
                return
            except OSError:  # what became of a datagram of ours, where nobody listens
                continue
            door = self._by_bind.get(sender)
            if door is None:
                self._seen.counts["strangers"] += 1
                continue
            self._datagram(door.id, to, data, self._channel.agenda.clock.now() - _waited_us(told))

    def _datagram(self, source: str, to: str, data: bytes, came_us: int) -> None:
        seen, node, other = self._seen, node_of(source), node_of(to)
        seen.counts[f"{node} bytes"] += len(data)
        seen.frame(came_us, node, data, Transport.DATAGRAM)
        self._kept.setdefault(other, deque(maxlen=KEPT)).append(data)
        if self._mute[node] > 0 or self._deaf[other] > 0:
            return
        if self._hold[node] > 0 or self._hold[other] > 0:
            if len(self._held) < MAX_HELD:
                self._held.append((source, to, data))
            return
        for takes in self._links.datagram(node, other):
            if takes < SOON_US:
                self._deliver(source, to, data)
            else:
                self._loop.call_later(takes / 1e6, self._deliver, source, to, data)

    def _deliver(self, source: str, to: str, data: bytes) -> None:
        try:
            self._sockets[source].sendto(data, self._bind[to])
        except OSError:  # the kernel has no room: as on any network
            self._seen.counts["overrun"] += 1

    async def _make_noise(self, node: str, per_s: float, how: str) -> None:
        """From an address that is nobody's."""
        bind = self._bind[node]
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        owed, last = 0.0, self._loop.time()
        try:
            while True:
                await asyncio.sleep(NOISE_S)
                now = self._loop.time()
                owed, last = min(owed + (now - last) * per_s, per_s), now
                while owed >= 1.0:
                    owed -= 1.0
                    try:
                        sock.sendto(self._one_noise(node, how), bind)
                    except OSError:
                        break
                    self._seen.counts[f"{node} noise"] += 1
        finally:
            sock.close()

    def _one_noise(self, node: str, how: str) -> bytes:
        kept = self._kept.get(node)
        if how == "bytes" or not kept:
            return self._rng.randbytes(40 + int(self._rng.random() * 400))
        data = kept[int(self._rng.random() * len(kept))]
        if how == "replay":
            return data
        return data[:8] + self._rng.randbytes(4) + data[12:]  # of another key

    # --- Streams ----------------------------------------------------------------------------------------
    async def _accept(self, to: str, listener: socket.socket) -> None:
        while True:
            near, (host, *_) = await self._loop.sock_accept(listener)
            near.setblocking(False)
            door = self._by_host.get(host)
            if door is None:
                self._seen.counts["strangers"] += 1
                near.close()
                continue
            pipe = Pipe(door.id, to, near)
            self._pipes.add(pipe)
            self._spawn(self._carry(pipe))

    async def _carry(self, pipe: Pipe) -> None:
        """Both ways, until either end is gone."""
        self._seen.counts[f"{node_of(pipe.source)} dials"] += 1
        try:
            if not await self._passes(pipe):
                return
            far = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            far.setblocking(False)
            far.bind((_address_of(self._sockets[pipe.source]), 0))
            pipe.far = far
            await self._loop.sock_connect(far, self._bind[pipe.to])
            if pipe.near is None:
                return
            there = self._spawn(self._pump(pipe, pipe.near, pipe.source, pipe.to))
            back = self._spawn(self._pump(pipe, far, pipe.to, pipe.source))
            pipe.tasks = [there, back]
            await asyncio.wait(pipe.tasks, return_when=asyncio.FIRST_COMPLETED)
            await asyncio.sleep(0)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            pipe.reset()
            self._pipes.discard(pipe)

    async def _pump(self, pipe: Pipe, sock: socket.socket, source: str, to: str) -> None:
        splitter, node = FrameSplitter(), node_of(source)
        own = sock is pipe.near
        try:
            while True:
                data = await self._loop.sock_recv(sock, PIECE)
                if not data:
                    return
                self._seen.counts[f"{node} bytes"] += len(data)
                for frame in splitter.feed(data):
                    self._seen.frame(self._channel.agenda.clock.now(), node, frame, Transport.STREAM)
                if splitter.error is not None:
                    self._seen.spoilt(node, splitter.error.text)
                    return
                if pipe.dead:
                    continue  # it goes nowhere
                if pipe.torn:
                    data = data[: len(data) // 2]
                if not await self._passes(pipe, node_of(to), node, len(data)):
                    return
                end = pipe.far if own else pipe.near
                if end is None:
                    continue
                await self._loop.sock_sendall(end, data)
                if pipe.torn:
                    self._seen.counts["torn"] += 1
                    return
        except OSError:
            return

    async def _passes(self, pipe: Pipe, to: str = "", source: str = "", size: int = 0) -> bool:
        """Wait for as long as the road takes; False where the kernel would have given it up."""
        source, to = source or node_of(pipe.source), to or node_of(pipe.to)
        waited = 0.0
        while self._stopped(source, to) or self._stopped(to, source):
            if waited * 1e6 > GIVE_UP_US:
                return False
            await asyncio.sleep(LOOK_S)
            waited += LOOK_S
        takes = self._links.stream(source, to) if size else 0
        per_s = min(self._band.get(source, 0.0) or 1e12, self._band.get(to, 0.0) or 1e12)
        wait_s = takes / 1e6 + size / per_s
        if wait_s * 1e6 >= SOON_US:
            await asyncio.sleep(wait_s)
        return True

    def _stopped(self, source: str, to: str) -> bool:
        if self._mute[source] > 0 or self._deaf[to] > 0:
            return True
        return self._links.stopped(source, to)


def _waited_us(told: list[tuple[int, int, bytes]]) -> int:
    """For how long a datagram had lain in the socket, by the kernel's stamp; 0 where there is none."""
    for level, kind, raw in told:
        if (level, kind) == (socket.SOL_SOCKET, STAMPS) and len(raw) == STAMP.size:
            seconds, nanoseconds = STAMP.unpack(raw)
            return int(max(time.time_ns() - seconds * 1_000_000_000 - nanoseconds, 0)) // 1000
    return 0


def _address_of(sock: socket.socket) -> str:
    host: str = sock.getsockname()[0]
    return host


if __name__ == "__main__":
    sys.exit(main(lambda channel: Switch(channel, load(Path(sys.argv[2])))))
