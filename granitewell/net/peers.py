"""Transport between nodes: one datagram socket, one listener, and TCP streams to and from other nodes.

A node that has something to send to an address dials it. Replies may come back on the same connection: a node
whose address is not known yet is answered on the connection it used. Frames are opaque here; streams are only
split into frames. A frame is written completely, or again from its first byte on the next connection if the
connection breaks in the middle; it counts as sent when its last byte is with the kernel. The queue of each
address is bounded in frames and bytes, and drops its oldest frames when it is full. A failed dial is repeated
with exponential backoff and jitter while there is something to send. The number of streams each way is
limited: if one more is needed, the one that has been idle for longest is closed, and if none is idle the new
one waits.

Client requests have priority: messages of other nodes are read in short turns with pauses between them, and
datagrams that the kernel can't hold meanwhile are lost. Input from outside never raises an exception here.

Datagrams are the only traffic that does not go through the loop's `sock_*` methods, as it has none for them.
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
from granitewell.net.sockets import close_socket, listen_on, new_tcp_socket
from granitewell.protocols.peers.frames import MAX_DATAGRAM_BYTES, FrameSplitter
from granitewell.state_machine import MessageReceived, SendMessage, Transport

MAX_BATCH_US = 1_000  # of one turn of the loop, for datagrams of other nodes
REST_RATIO = 3  # pause after a batch, as a multiple of its duration: a quarter of the time at most
READ_BYTES = 16 * 1024  # from a stream at a time
BACKLOG = 64
SEND_BUFFER_BYTES = 128 * 1024  # of a stream; bounds what a stuck one costs the kernel
RECEIVE_BUFFER_BYTES = 512 * 1024  # of the datagram socket
# for one address: enough for a full membership table, in pages
MAX_QUEUED_FRAMES, MAX_QUEUED_BYTES = 128, 2 * 1024 * 1024
MAX_QUEUES = 1_024  # addresses with queued frames
MAX_TOTAL_QUEUED_BYTES = 16 * 1024 * 1024  # for all addresses together
DIAL_TIMEOUT_S, WRITE_TIMEOUT_S = 2.0, 5.0  # to connect, and to write one frame
MAX_QUEUED_US = 15_000_000  # frames without a connection are dropped: what they report is out of date
IDLE_TIMEOUT_US = 10_000_000  # of an outbound stream without frames
INBOUND_IDLE_TIMEOUT_S = 60.0  # of an inbound stream without frames
FRAME_TIMEOUT_S = 10.0  # for the rest of a frame that has begun
MIN_BACKOFF_US, MAX_BACKOFF_US = 100_000, 5_000_000  # between dials
SWEEP_INTERVAL_S = 0.5
INBOUND_PREFIX = "~"  # of the names of inbound connections; no address starts with it

MessageHandler = Callable[[MessageReceived], None]
LogLine = Callable[[str, str], None]
Spawn = Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]]


class PeerQueue:
    """Frames to be written to one address.

    Attributes:
        conn: None while there is no connection.
        waiting_since_us: When the oldest frame began to wait.
        last_used_us: When a frame was last written.
        next_dial_us: No dial before that; -1 for none.
    """

    __slots__ = ("address", "backoff_us", "bytes", "conn", "dialing", "frames", "next_dial_us",
                 "last_used_us", "waiting_since_us", "writing")  # fmt: skip

    def __init__(self, address: tuple[str, int], now_us: int) -> None:
        self.address, self.last_used_us, self.waiting_since_us = address, now_us, now_us
        self.frames: deque[bytes] = deque()
        self.bytes = 0
        self.conn: socket.socket | None = None
        self.dialing = self.writing = False
        self.backoff_us, self.next_dial_us = 0, -1

    def put(self, frame: bytes, now_us: int) -> int:
        """Queue a frame; return how many older ones were dropped for it."""
        dropped = 0
        if not self.frames:
            self.waiting_since_us = now_us
        while self.frames and (
            len(self.frames) >= MAX_QUEUED_FRAMES or self.bytes + len(frame) > MAX_QUEUED_BYTES
        ):
            self.bytes -= len(self.frames.popleft())
            dropped += 1
        self.frames.append(frame)
        self.bytes += len(frame)
        return dropped

    def clear(self) -> int:
        """Drop all queued frames; return how many there were."""
        dropped = len(self.frames)
        self.frames.clear()
        self.bytes = 0
        return dropped

    def back_off(self, now_us: int, rng: Random) -> None:
        """Postpone the next dial after a failure, with up to 50 % jitter."""
        self.backoff_us = min(max(2 * self.backoff_us, MIN_BACKOFF_US), MAX_BACKOFF_US)
        self.next_dial_us = now_us + self.backoff_us + int(rng.random() * self.backoff_us / 2)


class PeerTransport:
    """The connections of this node with all others.

    Attributes:
        counts: Messages and bytes that were sent, received and dropped, by kind.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, on_message: MessageHandler, log: LogLine,
        spawn: Spawn, max_streams: int, rng: Random,
    ) -> None:  # fmt: skip
        """Create a transport; `open` binds its sockets.

        Args:
            loop: The event loop.
            clock: The node's clock.
            on_message: Called with each message.
            log: Writes a line of a topic to the node's log.
            spawn: Starts a task that the node keeps track of.
            max_streams: Limit in each direction.
            rng: Draws the jitter.
        """
        self._loop, self._clock, self._on_message, self._log, self._spawn = (
            loop,
            clock,
            on_message,
            log,
            spawn,
        )
        self._max_streams, self._rng = max_streams, rng
        self.counts: Counter[str] = Counter()
        self._datagrams: socket.socket | None = None
        self._listener: socket.socket | None = None
        self._accept_task: asyncio.Task[None] | None = None
        self._host = ""
        self._queues: dict[tuple[str, int], PeerQueue] = {}
        self._outbound_count = 0  # outbound streams, connected or being dialed
        self._inbound: dict[str, socket.socket] = {}
        self._inbound_queues: dict[str, PeerQueue] = {}  # replies on inbound streams
        self._last_inbound_number = 0
        self._sweep_timer: asyncio.TimerHandle | None = None
        self._rest_timer: asyncio.TimerHandle | None = None

    @property
    def is_open(self) -> bool:
        """Return whether the sockets are bound."""
        return self._datagrams is not None

    @property
    def streams(self) -> tuple[int, int]:
        """Return the number of outbound and inbound streams."""
        return self._outbound_count, len(self._inbound)

    # --- Opening and closing ----------------------------------------------------------------------------
    def open(self, address: tuple[str, int]) -> None:
        """Bind both sockets.

        Raises:
            OSError: The address can't be bound; no socket is left open.
        """
        family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
        listener = listen_on(address, BACKLOG)
        datagrams = socket.socket(family, socket.SOCK_DGRAM)
        try:
            datagrams.setblocking(False)
            datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            datagrams.bind(address)
        except BaseException:
            listener.close()
            datagrams.close()
            raise
        self._host, self._listener, self._datagrams = address[0], listener, datagrams
        self._accept_task = self._spawn(self._accept(listener))
        self._loop.add_reader(datagrams.fileno(), self._on_readable)
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def close(self) -> None:
        """Close all sockets; the address is free again."""
        for timer in (self._sweep_timer, self._rest_timer):
            if timer is not None:
                timer.cancel()
        self._sweep_timer = self._rest_timer = None
        if self._accept_task is not None:
            self._accept_task.cancel()
        if self._datagrams is not None:
            self._loop.remove_reader(self._datagrams.fileno())
            self._datagrams.close()
        if self._listener is not None:
            close_socket(self._listener)
        for sock in (*self._inbound.values(), *(q.conn for q in self._queues.values())):
            if sock is not None:
                close_socket(sock)
        self._datagrams = self._listener = self._accept_task = None
        self._queues.clear()
        self._inbound.clear()
        self._inbound_queues.clear()

    # --- Sending ----------------------------------------------------------------------------------------
    def send(self, message: SendMessage) -> None:
        """Send a message, now or once there is a connection; what can't be sent is counted and lost."""
        if self._datagrams is None:
            self.counts["closed"] += 1
        elif message.transport is Transport.DATAGRAM:
            self._send_datagram(message)
        elif message.to.startswith(INBOUND_PREFIX):
            queue = self._inbound_queues.get(message.to)
            if queue is None:
                self.counts["gone"] += 1  # the other side has closed that connection
            else:
                self._enqueue(queue, message.data)
        else:
            self._send_stream(message)

    def _send_datagram(self, message: SendMessage) -> None:
        """Send one datagram; lost if the kernel does not take it."""
        address = try_parse_address(message.to)
        if address is None:
            self.counts["address"] += 1
            return
        assert self._datagrams is not None
        try:
            self._datagrams.sendto(message.data, address)
        except OSError:  # no buffer space or no route: datagrams may be lost
            self.counts["unsent"] += 1
            return
        self.counts["said"] += 1
        self.counts["said_bytes"] += len(message.data)

    def _send_stream(self, message: SendMessage) -> None:
        """Queue a frame for an address."""
        address = try_parse_address(message.to)
        if address is None:
            self.counts["address"] += 1
            return
        queue = self._queues.get(address)
        if queue is None:
            if len(self._queues) >= MAX_QUEUES and not self._drop_idle_queue():
                self.counts["queues"] += 1
                return
            queue = self._queues[address] = PeerQueue(address, self._clock.now())
        self._enqueue(queue, message.data)

    def _enqueue(self, queue: PeerQueue, frame: bytes) -> None:
        """Queue a frame within the total limit and start to write."""
        if sum(q.bytes for q in self._queues.values()) + len(frame) > MAX_TOTAL_QUEUED_BYTES:
            self.counts["full"] += 1
            return
        self.counts["pushed_out"] += queue.put(frame, self._clock.now())
        self._start_sending(queue)

    def _drop_idle_queue(self) -> bool:
        """Drop the queue of an address without a connection; return whether there was one."""
        for address, queue in self._queues.items():
            if queue.conn is None and not queue.dialing:
                self.counts["pushed_out"] += queue.clear()
                del self._queues[address]
                return True
        return False

    def _start_sending(self, queue: PeerQueue) -> None:
        """Write what is queued; connect first if there is no connection."""
        if not queue.frames or queue.writing or queue.dialing:
            return
        if queue.conn is not None:
            queue.writing = True
            self._spawn(self._write(queue, queue.conn))
        elif queue.next_dial_us <= self._clock.now() and (
            self._outbound_count < self._max_streams or self._close_idle()
        ):
            queue.dialing = True
            self._outbound_count += 1
            self._spawn(self._dial(queue))

    def _close_idle(self) -> bool:
        """Close the outbound stream that has been idle for longest; return whether there was one."""
        idle = [q for q in self._queues.values() if q.conn is not None and not q.writing]
        if idle:
            self._close_outbound(min(idle, key=lambda q: q.last_used_us))
        return bool(idle)

    async def _dial(self, queue: PeerQueue) -> None:
        """Connect to the address of a queue."""
        sock: socket.socket | None = None
        up = False
        try:
            sock = new_tcp_socket(queue.address)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            if self._host not in ("0.0.0.0", "::") and (":" in self._host) == (":" in queue.address[0]):
                # from this node's own address, by which the other side and the network identify it
                sock.setsockopt(socket.IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, 1)
                sock.bind((self._host, 0))
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                await self._loop.sock_connect(sock, queue.address)
            up = self._queues.get(queue.address) is queue  # otherwise the transport was closed meanwhile
        except (OSError, TimeoutError):
            self.counts["undialed"] += 1
            queue.back_off(self._clock.read_now(), self._rng)
        finally:
            queue.dialing = False
            if not up:
                self._outbound_count -= 1
                if sock is not None:
                    close_socket(sock)
        if up and sock is not None:
            queue.conn, queue.backoff_us = sock, 0
            self._spawn(self._read_replies(queue, sock))
            self._start_sending(queue)

    async def _read_replies(self, queue: PeerQueue, sock: socket.socket) -> None:
        """Read from an outbound stream until it ends."""
        try:
            await self._read_frames(format_address(*queue.address), sock, lambda: queue.conn is sock, None)
        except (OSError, TimeoutError):
            pass
        finally:
            if queue.conn is sock:
                self._close_outbound(queue)

    async def _write(self, queue: PeerQueue, sock: socket.socket) -> None:
        """Write until the queue is empty. A frame that is cut off is the first on the next connection."""
        frame = b""
        try:
            while queue.frames and queue.conn is sock:
                frame = queue.frames.popleft()
                queue.bytes -= len(frame)
                async with asyncio.timeout(WRITE_TIMEOUT_S):
                    await self._loop.sock_sendall(sock, frame)
                self.counts["streamed"] += 1
                self.counts["streamed_bytes"] += len(frame)
                frame = b""
                queue.last_used_us = queue.waiting_since_us = self._clock.now()
        except (OSError, TimeoutError):
            self.counts["broken"] += 1
            queue.back_off(self._clock.read_now(), self._rng)
            if frame:
                queue.frames.appendleft(frame)
                queue.bytes += len(frame)
            if queue.conn is sock:
                self._close_outbound(queue)
        finally:
            queue.writing = False

    def _close_outbound(self, queue: PeerQueue) -> None:
        """Close the connection of a queue."""
        sock, queue.conn = queue.conn, None
        if sock is None:
            return
        if self._queues.get(queue.address) is queue:
            self._outbound_count -= 1
        close_socket(sock)

    def _sweep(self) -> None:
        """Dial again for waiting frames, drop those that have waited too long, close idle streams."""
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self._clock.now()
        for address, queue in list(self._queues.items()):
            if queue.frames and now - queue.waiting_since_us >= MAX_QUEUED_US and not queue.writing:
                self.counts["waited_out"] += queue.clear()
            if queue.frames:
                self._start_sending(queue)
            elif not queue.dialing and not queue.writing and now - queue.last_used_us >= IDLE_TIMEOUT_US:
                self._close_outbound(queue)
                del self._queues[address]

    # --- Receiving datagrams ----------------------------------------------------------------------------
    def _on_readable(self) -> None:
        """Receive datagrams for a limited time; pause if there may be more."""
        assert self._datagrams is not None
        began_us = self._clock.read_now()
        more = True
        while more and self._clock.read_now() - began_us < MAX_BATCH_US:
            more = self._receive_datagram()
            if self._datagrams is None:  # a handler has closed the transport
                return
        if more:
            took_us = self._clock.read_now() - began_us
            self._loop.remove_reader(self._datagrams.fileno())
            self._rest_timer = self._loop.call_later(
                max(took_us * REST_RATIO, 1_000) / 1e6, self._resume_reading
            )
            self.counts["rests"] += 1

    def _resume_reading(self) -> None:
        """End the pause."""
        self._rest_timer = None
        if self._datagrams is not None:
            self._loop.add_reader(self._datagrams.fileno(), self._on_readable)

    def _receive_datagram(self) -> bool:
        """Receive one datagram; return whether there may be more."""
        assert self._datagrams is not None
        try:
            data, sender = self._datagrams.recvfrom(MAX_DATAGRAM_BYTES + 1)
        except BlockingIOError:
            return False
        except OSError:  # an ICMP error of an earlier send (ECONNREFUSED) is reported here
            return True
        if len(data) > MAX_DATAGRAM_BYTES:
            self.counts["oversized"] += 1
        else:
            self._deliver(format_address(sender[0], sender[1]), data, Transport.DATAGRAM)
        return True

    def _deliver(self, sender: str, data: bytes, transport: Transport) -> None:
        """Pass a message on; an exception of its handler is logged."""
        self.counts["heard"] += 1
        self.counts["heard_bytes"] += len(data)
        try:
            self._on_message(MessageReceived(sender, data, transport))
        except Exception as error:  # a defect costs only its own message
            self._log("fault", f"a message failed: {type(error).__name__}: {error}")

    # --- Receiving streams ------------------------------------------------------------------------------
    async def _accept(self, listener: socket.socket) -> None:
        """Accept streams from other nodes; close the oldest one where there are too many."""
        while listener.fileno() >= 0:
            try:
                sock, _ = await self._loop.sock_accept(listener)
                sock.setblocking(False)
                sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                while len(self._inbound) >= self._max_streams:  # the oldest one is closed
                    self._close_inbound(next(iter(self._inbound)))
                    self.counts["turned_out"] += 1
                self._last_inbound_number += 1
                name = f"{INBOUND_PREFIX}{self._last_inbound_number}"
                self._inbound[name] = sock
                queue = self._inbound_queues[name] = PeerQueue(("", 0), self._clock.now())
                queue.conn = sock
                self._spawn(self._serve_inbound(name, sock))
            except Exception as error:  # no descriptor, or a defect: keep accepting
                self._log("cluster", f"could not accept another node's connection: {error}")
                await asyncio.sleep(0.1)

    async def _serve_inbound(self, name: str, sock: socket.socket) -> None:
        """Read from an inbound stream until it ends."""
        try:
            await self._read_frames(name, sock, lambda: name in self._inbound, INBOUND_IDLE_TIMEOUT_S)
        except (OSError, TimeoutError):
            pass
        finally:
            self._close_inbound(name)

    async def _read_frames(
        self, sender: str, sock: socket.socket, is_current: Callable[[], bool], idle_timeout_s: float | None
    ) -> None:
        """Deliver the frames of a stream until it ends, is malformed, or is idle for too long.

        Args:
            sender: Names the sender of the messages.
            sock: The stream.
            is_current: Returns whether the connection is still in use.
            idle_timeout_s: Between frames; None for no limit.
        """
        splitter = FrameSplitter()
        buffer = bytearray(READ_BYTES)
        while is_current():
            async with asyncio.timeout(FRAME_TIMEOUT_S if splitter.buffered_bytes else idle_timeout_s):
                n = await self._loop.sock_recv_into(sock, buffer)
            if not n:
                return
            began_us = self._clock.read_now()
            for frame in splitter.feed(bytes(buffer[:n])):
                if is_current():  # a frame's handler may have closed the transport
                    self._deliver(sender, frame, Transport.STREAM)
            if splitter.error is not None:
                self.counts["unframed"] += 1
                return
            took_us = self._clock.read_now() - began_us
            if took_us >= MAX_BATCH_US:
                await asyncio.sleep(min(took_us * REST_RATIO / 1e6, 0.1))

    def _close_inbound(self, name: str) -> None:
        """Close an inbound stream and drop its replies."""
        queue = self._inbound_queues.pop(name, None)
        sock = self._inbound.pop(name, None)
        if queue is not None:
            queue.conn = None
        if sock is not None:
            close_socket(sock)


IP_BIND_ADDRESS_NO_PORT = 24  # from Linux ip(7); the socket module has it from 3.12 on


def try_parse_address(text: str) -> tuple[str, int] | None:
    """Return host and port of an address that a node has announced; None if it is malformed."""
    try:
        return parse_address(text)
    except ValueError:
        return None
