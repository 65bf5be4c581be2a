"""The watch on discovery: the whole list at first and again every few seconds, and what changes in between.

It owns the one connection to the agent and how long it waits between failed calls. It must never change the
list on a failure, give up, or know what an endpoint is for: news go to the node as they come.

What it promises: whatever has gone wrong with a watch (it hangs, its connection is silent, it answers with
nothing in it although there is news, its revisions run backwards), the whole list is there again before the
news count as told: 6 s after the watch fell silent; and where an agent has the lists pushed to it, before the
grace of 1 s is over that counts from the moment in which it answers again.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

from granitewell.balancing.interface import View
from granitewell.core import EndpointListUpdate
from granitewell.net import http1
from granitewell.net.clock import Clock
from granitewell.net.sockets import BUFFER, end, tcp


@dataclass(frozen=True, slots=True)
class Patience:
    """How long calls to discovery may take.

    Attributes:
        watch_ms: That it may hold a watch.
        spare_s: Beyond that.
        list_s: For the whole list.
        backoff_s: Least and most between two failed calls.
    """

    watch_ms: int
    spare_s: float
    list_s: float
    backoff_s: tuple[float, float]


# An agent beside the node answers at once and at no cost, and what it has counts as told, heard or not: from
# any silence on, a call must get through within the grace of a drain, of which 150 ms are kept back.
PUSHED = Patience(500, 0.35, 0.35, (0.02, 0.1))
# Where lists are asked for, calls wait in turn, and lines have a price.
ASKED = Patience(2_000, 1.0, 2.0, (0.05, 1.0))
MAX_S = 2.0  # beyond that for an answer that comes slowly, yet comes
RENEW_S = 3.5  # from one whole list to the next, and a watch's wait at most: under the 6 s
SWIFT_S = 0.01  # an answer that comes so soon was not waited for:
MAX_SWIFT = 20  # after so many in a row calls are held apart by
APART_S = 0.04  # so long: far under a drain's grace


class Discovery:
    """One node's watch; closed until `at` opens it at an address, or moves it there."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, reader: http1.FleetReader,
        hear: Callable[[EndpointListUpdate], None], say: Callable[[str, str], None],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
    ) -> None:  # fmt: skip
        self._loop, self._clock, self._reader = loop, clock, reader
        self._hear, self.say, self._spawn = hear, say, spawn
        self._task: asyncio.Task[None] | None = None
        self._whole, self._revision = b"", -1  # the last whole list, while nothing has changed since
        self.heard_us = self.news_us = -1  # when it last answered well, and last told anything
        self.failure = (-1, "")  # when a call to it last failed, and why
        self.tried = asyncio.Event()  # a call has come to an end, whichever

    def at(self, address: tuple[str, int], patience: Patience) -> None:
        """Ask there for the whole list, and watch from then on."""
        if self._task is not None:
            self._task.cancel()
        self._whole, self._revision = b"", -1
        self._task = self._spawn(self._run(address, patience))

    async def _run(self, address: tuple[str, int], patience: Patience) -> None:
        """Ask for the whole list, then watch; after any failure begin anew, keeping the list."""
        sock: socket.socket | None = None
        after: int | None = None
        backoff, swift, renew_us = patience.backoff_s[0], 0, 0
        try:
            while True:
                if swift > MAX_SWIFT:  # an agent that never waits would have the core to itself
                    await asyncio.sleep(APART_S)
                began_us = self._clock.fresh()
                if sock is not None and (after is None or began_us >= renew_us):
                    end(sock)  # whatever is wrong with this connection or its watch ends here
                    sock, after = None, None
                try:
                    wait_s = patience.list_s
                    if after is None:
                        renew_us = began_us + int(RENEW_S * 1e6)
                    else:
                        wait_s = patience.spare_s + patience.watch_ms / 1000
                    async with asyncio.timeout(wait_s + MAX_S):
                        if sock is None:
                            sock = tcp(address)
                            async with asyncio.timeout(patience.list_s):
                                await self._loop.sock_connect(sock, address)
                        call = http1.list_bytes(address, after, patience.watch_ms)
                        parser = await self._ask(sock, call, wait_s, patience.list_s)
                    if parser.status != 200:
                        raise ValueError(f"status {parser.status}")
                    after = self._told(parser.body, after)
                    backoff = patience.backoff_s[0]
                    swift = swift + 1 if self._clock.fresh() - began_us < SWIFT_S * 1e6 else 0
                    self.tried.set()
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
                    self.tried.set()
                if sock is not None:
                    end(sock)
                sock, after = None, None
                await asyncio.sleep(backoff)
                backoff = min(backoff * 2, patience.backoff_s[1])
        finally:
            if sock is not None:  # a reload ends this watch in favour of one at another address
                end(sock)

    def _told(self, body: bytes, after: int | None) -> int | None:
        """Pass on what an answer says, if it says anything.

        The revision to watch from, None where the whole list has to be asked for. A whole list that is the
        last one, byte for byte, costs nothing.
        """
        if after is None and body == self._whole and self._revision >= 0:
            self.heard_us = self._clock.now()
            return self._revision
        revision, news = self._reader.read(body)
        self.heard_us = self._clock.now()
        if news.members or news.view is View.FULL:
            self._whole, self._revision = body if after is None else b"", revision
            self.news_us = self.heard_us
            self._hear(news)
        # an agent that has begun anew counts from the start: what lies behind our revision is not its own
        return None if after is not None and revision < after else revision

    async def _ask(
        self, sock: socket.socket, call: bytes, first_s: float, gap_s: float
    ) -> http1.ResponseParser:
        """One call and its answer, which has to begin within first_s and may pause for gap_s at most."""
        await self._loop.sock_sendall(sock, call)
        parser, buffer = http1.ResponseParser(http1.MAX_LIST), bytearray(BUFFER)
        while True:
            async with asyncio.timeout(first_s):
                n = await self._loop.sock_recv_into(sock, buffer)
            if parser.feed(bytes(buffer[:n])) if n else parser.end():
                return parser
            if n == 0:
                raise ValueError("the connection ended inside an answer")
            first_s = gap_s
