"""The watch on discovery: the whole list at first, then what changes in it.

It owns the one connection to the agent and how long it waits between failed calls. It must never change the
list on a failure, give up, or know what an endpoint is for: news go to the node as they come.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import Any

from granitewell.core import FleetNews
from granitewell.net import http1
from granitewell.net.clock import Clock
from granitewell.net.sockets import BUFFER, end, tcp
from tiderelay.interface import View

WATCH_MS = 2_000  # how long discovery may hold a watch; short, so that a dead connection is found out
SPARE_S = 1.0  # beyond that wait, or for an answer that needs none: the agent can stay silent
BACKOFF_S = (0.05, 1.0)  # least and most between two failed calls to discovery
SWIFT_S = 0.01  # an answer that comes so soon was not waited for:
MOST_SWIFT = 20  # after so many in a row calls are held apart by
APART_S = 0.04  # so long: far under the margin that is kept back from a drain's grace


class Discovery:
    """One node's watch; closed until `at` opens it at an address, or moves it there."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, reader: http1.FleetReader,
        hear: Callable[[FleetNews], None], say: Callable[[str, str], None],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
    ) -> None:  # fmt: skip
        self._loop, self._clock, self._reader = loop, clock, reader
        self._hear, self.say, self._spawn = hear, say, spawn
        self._task: asyncio.Task[None] | None = None
        self.heard_us = self.news_us = -1  # when it last answered well, and last told anything
        self.failure = (-1, "")  # when a call to it last failed, and why

    def at(self, address: tuple[str, int]) -> None:
        """Ask there for the whole list, and watch from then on."""
        if self._task is not None:
            self._task.cancel()
        self._task = self._spawn(self._run(address))

    async def _run(self, address: tuple[str, int]) -> None:
        """Ask for the whole list, then watch; after any failure begin anew, keeping the list."""
        sock: socket.socket | None = None
        after: int | None = None
        backoff, swift = BACKOFF_S[0], 0
        try:
            while True:
                if swift > MOST_SWIFT:  # an agent that never waits would have the core to itself
                    await asyncio.sleep(APART_S)
                began_us = self._clock.fresh()
                try:
                    async with asyncio.timeout(SPARE_S + (0.0 if after is None else WATCH_MS / 1000)):
                        if sock is None:
                            sock = tcp(address)
                            await self._loop.sock_connect(sock, address)
                        parser = await self._ask(sock, http1.list_bytes(address, after, WATCH_MS))
                    if parser.status != 200:
                        raise ValueError(f"status {parser.status}")
                    after, news = self._reader.read(parser.body)
                    self.heard_us = self._clock.now()
                    if news.members or news.view is View.FULL:
                        self.news_us = self.heard_us
                        self._hear(news)
                    backoff = BACKOFF_S[0]
                    swift = swift + 1 if self._clock.fresh() - began_us < SWIFT_S * 1e6 else 0
                    if not parser.reusable:
                        end(sock)
                        sock = None
                    continue
                except Exception as error:  # what nobody thought of, too: a watch that ends is never missed
                    foreseen = isinstance(error, OSError | ValueError | TimeoutError)
                    why = str(error) or "no answer in time"
                    why = why if foreseen else f"{type(error).__name__}: {why}"
                    self.failure = self._clock.now(), why
                    self.say("discovery", f"call failed, the list stays as it is: {why}")
                if sock is not None:
                    end(sock)
                sock, after = None, None
                await asyncio.sleep(backoff)
                backoff = min(backoff * 2, BACKOFF_S[1])
        finally:
            if sock is not None:  # a reload ends this watch in favour of one at another address
                end(sock)

    async def _ask(self, sock: socket.socket, call: bytes) -> http1.ResponseParser:
        await self._loop.sock_sendall(sock, call)
        parser, buffer = http1.ResponseParser(http1.MOST_LIST), bytearray(BUFFER)
        while True:
            n = await self._loop.sock_recv_into(sock, buffer)
            if parser.feed(bytes(buffer[:n])) if n else parser.end():
                return parser
            if n == 0:
                raise ValueError("the connection ended inside an answer")
