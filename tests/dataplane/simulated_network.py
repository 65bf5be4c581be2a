"""Simulated network on virtual time: the data plane, its clients and servers in one event loop.

`create_connection` and `create_server` of the loop give transports without sockets, so scenes of standin.py
run unchanged, exact to the millisecond and without real waiting. Data arrives at the other end after the
link's delay, in order. An end that does not read stops the sender, as a full TCP window does.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine, Iterable
from functools import partial
from typing import Any, TypeVar

from tests.coordination.virtual_loop import VirtualLoop

DELAY_S = 0.001  # one way
MAX_SCENE_S = 120.0  # in virtual time
WINDOW_BYTES = 64 * 1024  # in flight to an end that does not read
HIGH_WATER_BYTES = 64 * 1024  # unsent, above which the writer is paused

T = TypeVar("T")
Address = tuple[str, int]


class SimulatedTransport(asyncio.Transport):
    """One end of a simulated connection."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: Address) -> None:
        super().__init__(extra={"sockname": address, "peername": address})
        self._loop, self._address = loop, address
        self._protocol: Any = None
        self.peer: SimulatedTransport | None = None
        self._unsent: deque[bytes] = deque()
        # Segments and events in flight to this end, in order.
        self._incoming: deque[Callable[[], None]] = deque()
        self._unread: deque[bytes] = deque()  # received, but not yet read by the protocol
        self._on_the_way = 0
        self._reading = True
        self._paused_writing = False
        self._closing = self._lost = self._ends_writing = False
        self._peer_ended = self._told_end = False

    def attach(self, protocol: Any) -> None:
        """Connect the protocol."""
        self._protocol = protocol
        protocol.connection_made(self)

    # --- Interface for the protocol ---------------------------------------------------------------------
    def get_protocol(self) -> Any:
        return self._protocol

    def set_protocol(self, protocol: Any) -> None:
        self._protocol = protocol

    def is_closing(self) -> bool:
        return self._closing

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self._closing or self._ends_writing or not data:
            return
        self._unsent.append(bytes(data))
        self._send()
        if self.get_write_buffer_size() > HIGH_WATER_BYTES and not self._paused_writing:
            self._paused_writing = True
            self._protocol.pause_writing()

    def writelines(self, list_of_data: Iterable[bytes | bytearray | memoryview]) -> None:
        self.write(b"".join(list_of_data))

    def get_write_buffer_size(self) -> int:
        return sum(map(len, self._unsent))

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        pass

    def can_write_eof(self) -> bool:
        return True

    def write_eof(self) -> None:
        self._ends_writing = True
        self._send()

    def close(self) -> None:
        """Close the connection after sending all written data."""
        self._closing = self._ends_writing = True
        self._reading = False
        self._send()

    def abort(self) -> None:
        """Close the connection and drop unsent data.

        As with sockets, the other end sees a close, or a reset if data that it sent is unread.
        """
        if self._unread:
            self.reset()
            return
        self._unsent.clear()
        self.close()

    def reset(self) -> None:
        """Reset the connection and drop unsent data."""
        if self._lost:
            return
        self._closing = True
        self._unsent.clear()
        self._loop.call_soon(self._lose, None)
        if self.peer is not None:
            self.peer._comes(partial(self.peer._lose, ConnectionResetError("reset by the other end")))

    def pause_reading(self) -> None:
        self._reading = False

    def resume_reading(self) -> None:
        if not self._closing:
            self._reading = True
            self._loop.call_soon(self._deliver)

    def is_reading(self) -> bool:
        return self._reading

    # --- The link ---------------------------------------------------------------------------------------
    def _send(self) -> None:
        peer = self.peer
        assert peer is not None
        while self._unsent and self._on_the_way < WINDOW_BYTES:
            data = self._unsent.popleft()
            room = WINDOW_BYTES - self._on_the_way
            if len(data) > room:
                self._unsent.appendleft(data[room:])
                data = data[:room]
            self._on_the_way += len(data)
            peer._comes(partial(peer._arrived, data))
        if self._paused_writing and not self._unsent and not self._closing:
            self._paused_writing = False
            self._protocol.resume_writing()
        if self._ends_writing and not self._unsent and not self._told_end:
            self._told_end = True
            peer._comes(peer._ended)
            if self._closing:
                self._loop.call_soon(self._lose, None)

    def _comes(self, news: Callable[[], None]) -> None:
        """Schedule an event from the other end. A queue keeps the order, as simultaneous timers don't."""
        self._incoming.append(news)
        self._loop.call_later(DELAY_S, lambda: self._incoming.popleft()())

    def _arrived(self, data: bytes) -> None:
        if self._closing:  # like a closed socket: the sender sees a reset
            if self.peer is not None:
                self.peer._comes(partial(self.peer._lose, ConnectionResetError("closed")))
            return
        self._unread.append(data)
        self._deliver()

    def _deliver(self) -> None:
        while self._unread and self._reading and not self._closing:
            data = self._unread.popleft()
            if self.peer is not None:
                self.peer._on_the_way -= len(data)
                self._loop.call_soon(self.peer._send_more)
            self._protocol.data_received(data)
        if self._peer_ended and not self._unread and not self._closing and self._reading:
            self._peer_ended = False
            if not self._protocol.eof_received():
                self.close()

    def _send_more(self) -> None:
        if not self._lost:
            self._send()

    def _ended(self) -> None:
        self._peer_ended = True
        self._deliver()

    def _lose(self, error: Exception | None) -> None:
        if not self._lost:
            self._closing = self._lost = True
            self._unsent.clear()
            self._protocol.connection_lost(error)


class _Listener:
    """Stand-in for a listening socket and its server."""

    def __init__(self, loop: SimulatedLoop, address: Address) -> None:
        self._loop, self._address = loop, address
        self.sockets = [self]

    def getsockname(self) -> Address:
        return self._address

    def close(self) -> None:
        self._loop.listeners.pop(self._address, None)


class SimulatedLoop(VirtualLoop):
    """Event loop with virtual time and simulated connections."""

    def __init__(self) -> None:
        super().__init__()
        self.listeners: dict[Address, Callable[[], Any]] = {}
        self._last_port = 20_000

    async def create_server(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int, **_: Any
    ) -> Any:
        if not port:
            self._last_port += 1
            port = self._last_port
        self.listeners[(host, port)] = protocol_factory
        return _Listener(self, (host, port))

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], Any], host: str, port: int, **_: Any
    ) -> tuple[SimulatedTransport, Any]:
        await asyncio.sleep(2 * DELAY_S)
        factory = self.listeners.get((host, port))
        if factory is None:
            raise ConnectionRefusedError(f"no listener on {host}:{port}")
        here, there = SimulatedTransport(self, (host, port)), SimulatedTransport(self, (host, port))
        here.peer, there.peer = there, here
        there.attach(factory())
        protocol = protocol_factory()
        here.attach(protocol)
        return here, protocol


def play_simulated(scene: Coroutine[Any, Any, T]) -> T:
    """Run a scene in virtual time."""
    loop = SimulatedLoop()
    try:
        result = loop.run_until_complete(asyncio.wait_for(scene, MAX_SCENE_S))
        left = asyncio.all_tasks(loop)
        for task in left:
            task.cancel()
        if left:
            loop.run_until_complete(asyncio.wait(left))
        return result
    finally:
        loop.close()
