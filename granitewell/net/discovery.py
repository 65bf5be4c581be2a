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
from granitewell.core import FleetNews
from granitewell.net import http1
from granitewell.net.clock import Clock
from granitewell.net.sockets import READ_BUFFER_BYTES, close_socket, new_tcp_socket


@dataclass(frozen=True, slots=True)
class WatchTimeouts:
    """How long calls to discovery may take.

    Attributes:
        watch_ms: That it may hold a watch.
        spare_s: Beyond that.
        list_s: For the whole list.
        backoff_s: Least and most between two failed calls.
    """

    watch_ms: int
    watch_grace_s: float
    list_timeout_s: float
    backoff_s: tuple[float, float]


# An agent beside the node answers at once and at no cost, and what it has counts as told, heard or not: from
# any silence on, a call must get through within the grace of a drain, of which 150 ms are kept back.
PUSHED_TIMEOUTS = WatchTimeouts(500, 0.35, 0.35, (0.02, 0.1))
# Where lists are asked for, calls wait in turn, and lines have a price.
POLLED_TIMEOUTS = WatchTimeouts(2_000, 1.0, 2.0, (0.05, 1.0))
MAX_RESPONSE_S = 2.0  # beyond that for an answer that comes slowly, yet comes
FULL_LIST_INTERVAL_S = 3.5  # from one whole list to the next, and a watch's wait at most: under the 6 s
FAST_ANSWER_S = 0.01  # an answer that comes so soon was not waited for:
MAX_FAST_ANSWERS = 20  # after so many in a row calls are held apart by
FAST_ANSWER_PAUSE_S = 0.04  # so long: far under a drain's grace


class Discovery:
    """One node's watch; closed until `at` opens it at an address, or moves it there."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, reader: http1.EndpointListReader,
        on_update: Callable[[FleetNews], None], log_line: Callable[[str, str], None],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
    ) -> None:  # fmt: skip
        self._loop, self._clock, self._reader = loop, clock, reader
        self._on_update, self.log_line, self._spawn = on_update, log_line, spawn
        self._task: asyncio.Task[None] | None = None
        self._full_list, self._revision = b"", -1  # the last whole list, while nothing has changed since
        self.answered_us = self.updated_us = -1  # when it last answered well, and last told anything
        self.failure = (-1, "")  # when a call to it last failed, and why
        self.attempted = asyncio.Event()  # a call has come to an end, whichever

    def watch(self, address: tuple[str, int], timeouts: WatchTimeouts) -> None:
        """Ask there for the whole list, and watch from then on."""
        if self._task is not None:
            self._task.cancel()
        self._full_list, self._revision = b"", -1
        self._task = self._spawn(self._run(address, timeouts))

    async def _run(self, address: tuple[str, int], timeouts: WatchTimeouts) -> None:
        """Ask for the whole list, then watch; after any failure begin anew, keeping the list."""
        sock: socket.socket | None = None
        after: int | None = None
        backoff, fast_answers, full_list_due_us = timeouts.backoff_s[0], 0, 0
        try:
            while True:
                if fast_answers > MAX_FAST_ANSWERS:  # an agent that never waits would have the core to itself
                    await asyncio.sleep(FAST_ANSWER_PAUSE_S)
                began_us = self._clock.read_now()
                if sock is not None and (after is None or began_us >= full_list_due_us):
                    close_socket(sock)  # whatever is wrong with this connection or its watch ends here
                    sock, after = None, None
                try:
                    wait_s = timeouts.list_timeout_s
                    if after is None:
                        full_list_due_us = began_us + int(FULL_LIST_INTERVAL_S * 1e6)
                    else:
                        wait_s = timeouts.watch_grace_s + timeouts.watch_ms / 1000
                    async with asyncio.timeout(wait_s + MAX_RESPONSE_S):
                        if sock is None:
                            sock = new_tcp_socket(address)
                            async with asyncio.timeout(timeouts.list_timeout_s):
                                await self._loop.sock_connect(sock, address)
                        request = http1.list_request_bytes(address, after, timeouts.watch_ms)
                        parser = await self._request(sock, request, wait_s, timeouts.list_timeout_s)
                    if parser.status != 200:
                        raise ValueError(f"status {parser.status}")
                    after = self._apply_answer(parser.body, after)
                    backoff = timeouts.backoff_s[0]
                    fast_answers = (
                        fast_answers + 1 if self._clock.read_now() - began_us < FAST_ANSWER_S * 1e6 else 0
                    )
                    self.attempted.set()
                    if not parser.reusable:
                        close_socket(sock)
                        sock = None
                    continue
                except Exception as error:  # what nobody thought of, too: a watch that ends is never missed
                    expected = isinstance(error, OSError | ValueError | TimeoutError)
                    why = str(error) or "no answer in time"
                    why = why if expected else f"{type(error).__name__}: {why}"
                    self.failure = self._clock.now(), why
                    self.log_line("discovery", f"call failed, the list stays as it is: {why}")
                    self.attempted.set()
                if sock is not None:
                    close_socket(sock)
                sock, after = None, None
                await asyncio.sleep(backoff)
                backoff = min(backoff * 2, timeouts.backoff_s[1])
        finally:
            if sock is not None:  # a reload ends this watch in favour of one at another address
                close_socket(sock)

    def _apply_answer(self, body: bytes, after: int | None) -> int | None:
        """Pass on what an answer says, if it says anything.

        The revision to watch from, None where the whole list has to be asked for. A whole list that is the
        last one, byte for byte, costs nothing.
        """
        if after is None and body == self._full_list and self._revision >= 0:
            self.answered_us = self._clock.now()
            return self._revision
        revision, news = self._reader.read(body)
        self.answered_us = self._clock.now()
        if news.members or news.view is View.FULL:
            self._full_list, self._revision = body if after is None else b"", revision
            self.updated_us = self.answered_us
            self._on_update(news)
        # an agent that has begun anew counts from the start: what lies behind our revision is not its own
        return None if after is not None and revision < after else revision

    async def _request(
        self, sock: socket.socket, request: bytes, first_s: float, gap_s: float
    ) -> http1.ResponseParser:
        """One call and its answer, which has to begin within first_s and may pause for gap_s at most."""
        await self._loop.sock_sendall(sock, request)
        parser, buffer = http1.ResponseParser(http1.MAX_LIST_BYTES), bytearray(READ_BUFFER_BYTES)
        while True:
            async with asyncio.timeout(first_s):
                n = await self._loop.sock_recv_into(sock, buffer)
            if parser.feed(bytes(buffer[:n])) if n else parser.end():
                return parser
            if n == 0:
                raise ValueError("the connection ended inside an answer")
            first_s = gap_s
