"""The roads between nodes: one socket for datagrams, one listener, and streams to and from other nodes.

It owns these descriptors and the bytes on them: what is queued for whom, what is dropped, and how much of the
loop's time the work for others may take. It must never look into a frame (it only cuts a stream into frames),
send one twice that was written whole, hold anybody up, or raise on what comes from outside. Requests go
first: what others send is read in short turns with rests between them, and what the kernel can't hold
meanwhile is lost as any datagram may be.

Theory of operation. Who has something to say to an address dials it; what comes back on that connection is
heard too, since whoever is not known yet is answered on the one that it came by. A frame is written whole or,
where the connection breaks in the middle of it, again from its first byte on the next one; it counts as sent
only when its last byte is with the kernel. The queue to each address is bounded in frames and bytes, and its
oldest go first where it is full: they are the oldest news. A dial that fails is tried again after ever longer
pauses with jitter, while there is something to say. There are at most so many streams each way; where one
more is wanted, the one that has been idle for longest goes, and where none is idle it waits.

Datagrams are the one traffic here that does not go through the loop's sock_* calls, which have none for them.
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter, deque
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from granitewell.cluster.types import format_address, parse_address
from granitewell.net.clock import Clock
from granitewell.net.sockets import bound, end, tcp
from granitewell.protocols.peers.frames import MAX_DATAGRAM_BYTES, FrameSplitter
from granitewell.state_machine import MessageReceived, SendMessage, Transport

BATCH_US = 1_000  # of one turn of the loop, that datagrams of others may take,
REST = 3  # and so many times what they took until they may again: a quarter of the time at most
PIECE = 16 * 1024  # bytes of a stream read at a time, after which others have their turn
BACKLOG = 64
SEND = 128 * 1024  # bytes of a stream that the kernel is asked to hold, so that a stuck one costs no more,
RECEIVE = 512 * 1024  # bytes of datagrams that the kernel is asked to hold
MAX_FRAMES, MAX_BYTES = 128, 2 * 1024 * 1024  # queued for one address: a whole table, in pages
MAX_QUEUES = 1_024  # addresses that something is queued for,
MAX_ALL = 16 * 1024 * 1024  # and bytes for all of them together
DIAL_S, WRITE_S = 2.0, 5.0  # for a connection to come up, and for a frame to be taken
GIVE_UP_US = 15_000_000  # for which frames wait for a road; what they say is no news any more
IDLE_US = 10_000_000  # for which a stream of ours stands without a frame
SILENT_S = 60.0  # the same for one of another's,
PART_S = 10.0  # and for the rest of a frame that has begun
BACK_US, MAX_BACK_US = 100_000, 5_000_000  # pauses between dials
SWEEP_S = 0.5
MARK = "~"  # begins the name of a connection of another's, at which no address does

Hear = Callable[[MessageReceived], None]
Say_ = Callable[[str, str], None]
Spawn = Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]


class Queue:
    """What is to be written to one address.

    Attributes:
        conn: None while there is none.
    """

    __slots__ = ("address", "back_us", "bytes", "conn", "dialing", "frames", "not_before_us", "used_us",
                 "waits_us", "writing")  # fmt: skip

    def __init__(self, address: tuple[str, int], now_us: int) -> None:
        self.address, self.used_us, self.waits_us = address, now_us, now_us
        self.frames: deque[bytes] = deque()
        self.bytes = 0
        self.conn: socket.socket | None = None
        self.dialing = self.writing = False
        self.back_us, self.not_before_us = 0, -1

    def put(self, frame: bytes, now_us: int) -> int:
        """Queue a frame; how many older ones had to go for it."""
        gone = 0
        if not self.frames:
            self.waits_us = now_us
        while self.frames and (len(self.frames) >= MAX_FRAMES or self.bytes + len(frame) > MAX_BYTES):
            self.bytes -= len(self.frames.popleft())
            gone += 1
        self.frames.append(frame)
        self.bytes += len(frame)
        return gone

    def drop(self) -> int:
        """Nothing is queued any more; how many frames were."""
        gone = len(self.frames)
        self.frames.clear()
        self.bytes = 0
        return gone

    def failed(self, now_us: int, rng: Random) -> None:
        """A dial came to nothing: a longer pause, up to half of it more."""
        self.back_us = min(max(2 * self.back_us, BACK_US), MAX_BACK_US)
        self.not_before_us = now_us + self.back_us + int(rng.random() * self.back_us / 2)


class Roads:
    """All roads of one node.

    Attributes:
        counts: What was said, heard and dropped, by kind.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, hear: Hear, say: Say_, spawn: Spawn, most: int,
        rng: Random,
    ) -> None:  # fmt: skip
        """most: streams each way."""
        self._loop, self._clock, self._hear, self._say, self._spawn = loop, clock, hear, say, spawn
        self._most, self._rng = most, rng
        self.counts: Counter[str] = Counter()
        self._datagrams: socket.socket | None = None
        self._listener: socket.socket | None = None
        self._accepting: asyncio.Task[None] | None = None
        self._host = ""
        self._queues: dict[tuple[str, int], Queue] = {}
        self._ours = 0  # streams of ours that are up or being dialed
        self._theirs: dict[str, socket.socket] = {}
        self._answers: dict[str, Queue] = {}  # to connections of others
        self._last = 0
        self._sweeping: asyncio.TimerHandle | None = None
        self._resting: asyncio.TimerHandle | None = None

    @property
    def is_open(self) -> bool:
        """Is anything bound?"""
        return self._datagrams is not None

    @property
    def streams(self) -> tuple[int, int]:
        """Ours and others'."""
        return self._ours, len(self._theirs)

    # --- Opening and closing ----------------------------------------------------------------------------
    def open(self, address: tuple[str, int]) -> None:
        """Bind both sockets. OSError: the address can't be had, and nothing is held."""
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listener = bound(address, BACKLOG)
        datagrams = socket.socket(family, socket.SOCK_DGRAM)
        try:
            datagrams.setblocking(False)
            datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE)
            datagrams.bind(address)
        except BaseException:
            listener.close()
            datagrams.close()
            raise
        self._host, self._listener, self._datagrams = address[0], listener, datagrams
        self._accepting = self._spawn(self._accept(listener))
        self._loop.add_reader(datagrams.fileno(), self._readable)
        self._sweeping = self._loop.call_later(SWEEP_S, self._sweep)

    def close(self) -> None:
        """Nothing is said or heard any more; the address is free."""
        for timer in (self._sweeping, self._resting):
            if timer is not None:
                timer.cancel()
        self._sweeping = self._resting = None
        if self._accepting is not None:
            self._accepting.cancel()
        if self._datagrams is not None:
            self._loop.remove_reader(self._datagrams.fileno())
            self._datagrams.close()
        if self._listener is not None:
            end(self._listener)
        for sock in (*self._theirs.values(), *(q.conn for q in self._queues.values())):
            if sock is not None:
                end(sock)
        self._datagrams = self._listener = self._accepting = None
        self._queues.clear()
        self._theirs.clear()
        self._answers.clear()

    # --- Saying -----------------------------------------------------------------------------------------
    def say(self, say: SendMessage) -> None:
        """Send a message, now or when its road is there; what can't be sent is counted, and lost."""
        if self._datagrams is None:
            self.counts["closed"] += 1
        elif say.transport is Transport.DATAGRAM:
            self._throw(say)
        elif say.to.startswith(MARK):
            queue = self._answers.get(say.to)
            if queue is None:
                self.counts["gone"] += 1  # whoever asked has left
            else:
                self._queue(queue, say.data)
        else:
            self._stream(say)

    def _throw(self, say: SendMessage) -> None:
        address = parsed(say.to)
        if address is None:
            self.counts["address"] += 1
            return
        assert self._datagrams is not None
        try:
            self._datagrams.sendto(say.data, address)
        except OSError:  # no room with the kernel, no road there: a datagram may be lost
            self.counts["unsent"] += 1
            return
        self.counts["said"] += 1
        self.counts["said_bytes"] += len(say.data)

    def _stream(self, say: SendMessage) -> None:
        address = parsed(say.to)
        if address is None:
            self.counts["address"] += 1
            return
        queue = self._queues.get(address)
        if queue is None:
            if len(self._queues) >= MAX_QUEUES and not self._forget():
                self.counts["queues"] += 1
                return
            queue = self._queues[address] = Queue(address, self._clock.now())
        self._queue(queue, say.data)

    def _queue(self, queue: Queue, frame: bytes) -> None:
        if sum(q.bytes for q in self._queues.values()) + len(frame) > MAX_ALL:
            self.counts["full"] += 1
            return
        self.counts["pushed_out"] += queue.put(frame, self._clock.now())
        self._go(queue)

    def _forget(self) -> bool:
        """Let go of an address that nothing is under way to; whether there was one."""
        for address, queue in self._queues.items():
            if queue.conn is None and not queue.dialing:
                self.counts["pushed_out"] += queue.drop()
                del self._queues[address]
                return True
        return False

    def _go(self, queue: Queue) -> None:
        """Write what is queued, over a connection that is there or has to be made first."""
        if not queue.frames or queue.writing or queue.dialing:
            return
        if queue.conn is not None:
            queue.writing = True
            self._spawn(self._write(queue, queue.conn))
        elif queue.not_before_us <= self._clock.now() and (self._ours < self._most or self._close_idle()):
            queue.dialing = True
            self._ours += 1
            self._spawn(self._dial(queue))

    def _close_idle(self) -> bool:
        """Make room for a stream: end the one of ours that has been idle for longest."""
        idle = [q for q in self._queues.values() if q.conn is not None and not q.writing]
        if idle:
            self._end(min(idle, key=lambda q: q.used_us))
        return bool(idle)

    async def _dial(self, queue: Queue) -> None:
        sock: socket.socket | None = None
        up = False
        try:
            sock = tcp(queue.address)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND)
            if self._host not in ("0.0.0.0", "::") and (":" in self._host) == (":" in queue.address[0]):
                # from the address that we go by: the other side, and what lies between, can tell whose it is
                sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
                sock.bind((self._host, 0))
            async with asyncio.timeout(DIAL_S):
                await self._loop.sock_connect(sock, queue.address)
            up = self._queues.get(queue.address) is queue  # else all has been closed meanwhile
        except (OSError, TimeoutError):
            self.counts["undialed"] += 1
            queue.failed(self._clock.fresh(), self._rng)
        finally:
            queue.dialing = False
            if not up:
                self._ours -= 1
                if sock is not None:
                    end(sock)
        if up and sock is not None:
            queue.conn, queue.back_us = sock, 0
            self._spawn(self._heard_back(queue, sock))
            self._go(queue)

    async def _heard_back(self, queue: Queue, sock: socket.socket) -> None:
        """What comes back on a stream of ours, and its end."""
        try:
            await self._read(format_address(*queue.address), sock, lambda: queue.conn is sock, None)
        except (OSError, TimeoutError):
            pass
        finally:
            if queue.conn is sock:
                self._end(queue)

    async def _write(self, queue: Queue, sock: socket.socket) -> None:
        """Write until nothing is queued. A frame that breaks off comes first on the next connection."""
        frame = b""
        try:
            while queue.frames and queue.conn is sock:
                frame = queue.frames.popleft()
                queue.bytes -= len(frame)
                async with asyncio.timeout(WRITE_S):
                    await self._loop.sock_sendall(sock, frame)
                self.counts["streamed"] += 1
                self.counts["streamed_bytes"] += len(frame)
                frame = b""
                queue.used_us = queue.waits_us = self._clock.now()
        except (OSError, TimeoutError):
            self.counts["broken"] += 1
            queue.failed(self._clock.fresh(), self._rng)
            if frame:
                queue.frames.appendleft(frame)
                queue.bytes += len(frame)
            if queue.conn is sock:
                self._end(queue)
        finally:
            queue.writing = False

    def _end(self, queue: Queue) -> None:
        sock, queue.conn = queue.conn, None
        if sock is None:
            return
        if self._queues.get(queue.address) is queue:
            self._ours -= 1
        end(sock)

    def _sweep(self) -> None:
        """Dial again what waits, let go of what has waited for too long, close what is idle."""
        self._sweeping = self._loop.call_later(SWEEP_S, self._sweep)
        now = self._clock.now()
        for address, queue in list(self._queues.items()):
            if queue.frames and now - queue.waits_us >= GIVE_UP_US and not queue.writing:
                self.counts["waited_out"] += queue.drop()
            if queue.frames:
                self._go(queue)
            elif not queue.dialing and not queue.writing and now - queue.used_us >= IDLE_US:
                self._end(queue)
                del self._queues[address]

    # --- Hearing: datagrams -----------------------------------------------------------------------------
    def _readable(self) -> None:
        """Take datagrams for a while; then rest, if there may be more."""
        assert self._datagrams is not None
        began_us = self._clock.fresh()
        more = True
        while more and self._clock.fresh() - began_us < BATCH_US:
            more = self._take()
            if self._datagrams is None:  # a defect of whoever heard it, or the end
                return
        if more:
            took_us = self._clock.fresh() - began_us
            self._loop.remove_reader(self._datagrams.fileno())
            self._resting = self._loop.call_later(max(took_us * REST, 1_000) / 1e6, self._rested)
            self.counts["rests"] += 1

    def _rested(self) -> None:
        self._resting = None
        if self._datagrams is not None:
            self._loop.add_reader(self._datagrams.fileno(), self._readable)

    def _take(self) -> bool:
        assert self._datagrams is not None
        try:
            data, sender = self._datagrams.recvfrom(MAX_DATAGRAM_BYTES + 1)
        except BlockingIOError:
            return False
        except OSError:  # what a datagram of ours met on its way (ECONNREFUSED) is told here
            return True
        if len(data) > MAX_DATAGRAM_BYTES:
            self.counts["oversized"] += 1
        else:
            self._heard(format_address(sender[0], sender[1]), data, Transport.DATAGRAM)
        return True

    def _heard(self, sender: str, data: bytes, transport: Transport) -> None:
        self.counts["heard"] += 1
        self.counts["heard_bytes"] += len(data)
        try:
            self._hear(MessageReceived(sender, data, transport))
        except Exception as error:  # a defect costs its own message
            self._say("fault", f"a message failed: {type(error).__name__}: {error}")

    # --- Hearing: streams -------------------------------------------------------------------------------
    async def _accept(self, listener: socket.socket) -> None:
        while listener.fileno() >= 0:
            try:
                sock, _ = await self._loop.sock_accept(listener)
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                while len(self._theirs) >= self._most:  # whoever has been there longest goes
                    self._leave(next(iter(self._theirs)))
                    self.counts["turned_out"] += 1
                self._last += 1
                name = f"{MARK}{self._last}"
                self._theirs[name] = sock
                queue = self._answers[name] = Queue(("", 0), self._clock.now())
                queue.conn = sock
                self._spawn(self._listen(name, sock))
            except Exception as error:  # no descriptor left, or what nobody thought of: others go on
                self._say("cluster", f"could not accept another node's connection: {error}")
                await asyncio.sleep(0.1)

    async def _listen(self, name: str, sock: socket.socket) -> None:
        try:
            await self._read(name, sock, lambda: name in self._theirs, SILENT_S)
        except (OSError, TimeoutError):
            pass
        finally:
            self._leave(name)

    async def _read(
        self, sender: str, sock: socket.socket, stands: Callable[[], bool], patience_s: float | None
    ) -> None:
        """Hear the frames of a stream until it ends, is spoilt, or says nothing for too long."""
        splitter = FrameSplitter()
        buffer = bytearray(PIECE)
        while stands():
            async with asyncio.timeout(PART_S if splitter.buffered_bytes else patience_s):
                n = await self._loop.sock_recv_into(sock, buffer)
            if not n:
                return
            began_us = self._clock.fresh()
            for frame in splitter.feed(bytes(buffer[:n])):
                if stands():  # one of them may have been the end of all
                    self._heard(sender, frame, Transport.STREAM)
            if splitter.error is not None:
                self.counts["unframed"] += 1
                return
            took_us = self._clock.fresh() - began_us
            if took_us >= BATCH_US:
                await asyncio.sleep(min(took_us * REST / 1e6, 0.1))

    def _leave(self, name: str) -> None:
        queue = self._answers.pop(name, None)
        sock = self._theirs.pop(name, None)
        if queue is not None:
            queue.conn = None
        if sock is not None:
            end(sock)


IP_BIND_ADDRESS_NO_PORT = 24  # of Linux' ip(7); Python has no name for it before 3.12


def parsed(text: str) -> tuple[str, int] | None:
    """Host and port of an address that a node has announced, None where it is none.

    What comes here was said by others.
    """
    try:
        return parse_address(text)
    except ValueError:
        return None
