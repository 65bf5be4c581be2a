"""Clients that break the protocol, beside those of the model.

Silence, halves, floods, windows that never open.

It owns what such a client does to a node, over and over, and nothing that is judged: their requests carry
ids of their own (`speech.RUDE`), which no witness counts. What a node owes is only to live and to serve the
others. It must never read or write on the model's connections.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

from granitewell.lab.day import Day
from granitewell.lab.emulator.types import Ask
from granitewell.lab.engine import stream
from granitewell.lab.loopback.plan import NodePlace
from granitewell.lab.loopback.platform_http import RUDE, ask_bytes, filler

WINDOW = 2048  # bytes of a receive buffer that is never read
STAYS_S = 3.0  # for which one way of being rude is kept up, unless the node ends it
REST_S = 0.05  # between two
LARGE = 12_288  # bytes of an answer that a shut window does not let through
Manner = Callable[["Rude", socket.socket, bytes], Awaitable[None]]


class Rude:
    """One such client; `play` goes on until it is cancelled."""

    def __init__(self, day: Day, places: tuple[NodePlace, ...], number: int, notes: Counter[str]) -> None:
        self._day, self._places, self._notes = day, places, notes
        self._rng: Random = stream(day.seed, "rude", number)
        self._ids = (f"{RUDE}{number}-{k}" for k in itertools.count())
        self._cls = next((k for k, c in enumerate(day.classes) if not c.unsafe), 0)
        self.loop = asyncio.get_running_loop()

    async def play(self) -> None:
        """One way of being rude after the other, at any of the nodes."""
        while True:
            name = self._rng.choice(list(MANNERS))
            place = self._rng.choice(self._places)
            sock = socket.socket()
            sock.setblocking(False)
            shut = MANNERS[name] is _shut_window
            if shut:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
            try:
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(STAYS_S):
                        await self.loop.sock_connect(sock, (place.host, place.port))
                        self._notes[f"rude: {name}"] += 1
                        await MANNERS[name](self, sock, self.request(place, large=shut))
            finally:
                sock.close()
            await asyncio.sleep(REST_S)

    def request(self, place: NodePlace, large: bool) -> bytes:
        """A request in order, of a new id; large: one with a large answer."""
        rid = next(i for i in self._ids if not large or len(filler(i, "answer")) >= LARGE)
        ask = Ask(rid, "", self._cls, 0, 0, place.zone, 1_000_000, 1000.0, False)
        return ask_bytes(self._day, ask, place.host)

    async def until_closed(self, sock: socket.socket) -> None:
        """Read until the node closes."""
        while await self.loop.sock_recv(sock, 65536):
            pass


async def _silent(who: Rude, sock: socket.socket, good: bytes) -> None:
    await who.until_closed(sock)


async def _half(who: Rude, sock: socket.socket, good: bytes) -> None:
    await who.loop.sock_sendall(sock, good[: len(good) // 2])
    await who.until_closed(sock)


async def _trickle(who: Rude, sock: socket.socket, good: bytes) -> None:
    for k in range(len(good)):
        await who.loop.sock_sendall(sock, good[k : k + 1])
        await asyncio.sleep(0.05)
    await who.until_closed(sock)


async def _endless_head(who: Rude, sock: socket.socket, good: bytes) -> None:
    await who.loop.sock_sendall(sock, good.partition(b"\r\n")[0] + b"\r\nX: ")
    while True:
        await who.loop.sock_sendall(sock, b"x" * 4096)
        await asyncio.sleep(0.01)


async def _noise(who: Rude, sock: socket.socket, good: bytes) -> None:
    await who.loop.sock_sendall(sock, bytes(255 - x for x in good))
    await who.until_closed(sock)


async def _half_close(who: Rude, sock: socket.socket, good: bytes) -> None:
    await who.loop.sock_sendall(sock, good)
    sock.shutdown(socket.SHUT_WR)
    await who.until_closed(sock)


async def _shut_window(who: Rude, sock: socket.socket, good: bytes) -> None:
    """Ask and never read: the window closes and stays so."""
    while True:
        await who.loop.sock_sendall(sock, good)
        await asyncio.sleep(0.05)


async def _reset(who: Rude, sock: socket.socket, good: bytes) -> None:
    await who.loop.sock_sendall(sock, good[:-3])
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")


async def _leaves(who: Rude, sock: socket.socket, good: bytes) -> None:
    await who.loop.sock_sendall(sock, good)
    await asyncio.sleep(0.001)


async def _many_at_once(who: Rude, sock: socket.socket, good: bytes) -> None:
    await who.loop.sock_sendall(sock, good * 12)
    await who.until_closed(sock)


async def _large(who: Rude, sock: socket.socket, good: bytes) -> None:
    head = good.partition(b"\r\n\r\n")[0].replace(b"GET ", b"POST ")
    await who.loop.sock_sendall(sock, head + b"\r\nContent-Length: 99999999\r\n\r\n")
    while True:
        await who.loop.sock_sendall(sock, b"z" * 65536)


async def _two_lengths(who: Rude, sock: socket.socket, good: bytes) -> None:
    head = good.partition(b"\r\n\r\n")[0]
    both = b"\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"
    await who.loop.sock_sendall(sock, head + both)
    await who.until_closed(sock)


MANNERS: dict[str, Manner] = {
    "silent": _silent, "half": _half, "trickle": _trickle, "endless head": _endless_head, "noise": _noise,
    "half close": _half_close, "shut window": _shut_window, "reset": _reset, "leaves": _leaves,
    "many at once": _many_at_once, "large": _large, "two lengths": _two_lengths,
}  # fmt: skip


class HostileClients:
    """So many of them."""

    def __init__(self, day: Day, places: tuple[NodePlace, ...], count: int, notes: Counter[str]) -> None:
        loop = asyncio.get_running_loop()
        self._tasks = [loop.create_task(Rude(day, places, k, notes).play()) for k in range(count)]

    def close(self) -> None:
        """They go home."""
        for task in self._tasks:
            task.cancel()
