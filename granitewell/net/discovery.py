"""Watches discovery: the full list at first and every few seconds, and changes in between.

There is one connection to the agent. A failure never changes the list, and the watch never gives up. Whatever
goes wrong (a watch hangs, its connection is silent, it answers without the changes that there are, or its
revisions run backwards), the full list is read again before changes count as known to the node: 6 s after the
watch fell silent. Where an agent has the lists pushed to it, that is before the end of the grace of 1 s that
starts when the agent answers again.
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
from granitewell.net.sockets import READ_BUFFER_BYTES, close_socket, new_tcp_socket


@dataclass(frozen=True, slots=True)
class WatchTimeouts:
    """How long requests to discovery may take.

    Attributes:
        watch_ms: How long the agent may hold a watch.
        watch_grace_s: How much later its answer may begin.
        list_timeout_s: For the full list.
        backoff_s: Shortest and longest pause after a failed request.
    """

    watch_ms: int
    watch_grace_s: float
    list_timeout_s: float
    backoff_s: tuple[float, float]


# An agent on the same machine answers at once and at no cost, and what it knows counts as known to the node:
# after any silence, a request must succeed within the grace of a drain, of which 150 ms are kept in reserve.
PUSHED_TIMEOUTS = WatchTimeouts(500, 0.35, 0.35, (0.02, 0.1))
# Where lists have to be requested, requests wait in line and have a price.
POLLED_TIMEOUTS = WatchTimeouts(2_000, 1.0, 2.0, (0.05, 1.0))
MAX_RESPONSE_S = 2.0  # added for a response that arrives slowly
FULL_LIST_INTERVAL_S = 3.5  # plus one watch at most: under the 6 s
FAST_ANSWER_S = 0.01  # an answer that arrives sooner was not held by the agent
MAX_FAST_ANSWERS = 20  # in a row, after which requests are spaced
FAST_ANSWER_PAUSE_S = 0.04  # far below the grace of a drain


class Discovery:
    """The watch of one node; closed until `watch` opens it at an address or moves it there."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock: Clock, reader: http1.EndpointListReader,
        on_update: Callable[[EndpointListUpdate], None], log_line: Callable[[str, str], None],
        spawn: Callable[[Coroutine[Any, Any, None]], asyncio.Task[None]],
    ) -> None:  # fmt: skip
        """Create a closed watch.

        Args:
            loop: The event loop.
            clock: The node's clock.
            reader: Converts lists.
            on_update: Called with each list and change.
            log_line: Writes a line of a topic to the node's log.
            spawn: Starts a task that the node keeps track of.
        """
        self._loop, self._clock, self._reader = loop, clock, reader
        self._on_update, self.log_line, self._spawn = on_update, log_line, spawn
        self._task: asyncio.Task[None] | None = None
        self._full_list, self._revision = b"", -1  # the last full list, unless there was a change since
        self.answered_us = self.updated_us = -1  # of the last valid answer, and the last with content
        self.failure = (-1, "")  # when a request last failed, and why
        self.attempted = asyncio.Event()  # set once a request has succeeded or failed

    def watch(self, address: tuple[str, int], timeouts: WatchTimeouts) -> None:
        """Request the full list at this address, and watch it from then on."""
        if self._task is not None:
            self._task.cancel()
        self._full_list, self._revision = b"", -1
        self._task = self._spawn(self._run(address, timeouts))

    async def _run(self, address: tuple[str, int], timeouts: WatchTimeouts) -> None:
        """Request the full list, then watch; after any failure start over, keeping the list."""
        sock: socket.socket | None = None
        after: int | None = None
        backoff, fast_answers, full_list_due_us = timeouts.backoff_s[0], 0, 0
        try:
            while True:
                if fast_answers > MAX_FAST_ANSWERS:  # an agent that never waits would keep the processor busy
                    await asyncio.sleep(FAST_ANSWER_PAUSE_S)
                began_us = self._clock.read_now()
                if sock is not None and (after is None or began_us >= full_list_due_us):
                    close_socket(sock)  # ends any undetected fault of the connection or its watch
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
                except Exception as error:  # defects, too: nothing would notice that the watch has ended
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
            if sock is not None:  # a reload has moved the watch to another address
                close_socket(sock)

    def _apply_answer(self, body: bytes, after: int | None) -> int | None:
        """Pass on the content of an answer, if there is any.

        Returns the revision to watch from, or None if the full list has to be requested. A full list that
        equals the last one byte for byte is not parsed.
        """
        if after is None and body == self._full_list and self._revision >= 0:
            self.answered_us = self._clock.now()
            return self._revision
        revision, update = self._reader.read(body)
        self.answered_us = self._clock.now()
        if update.members or update.view is View.FULL:
            self._full_list, self._revision = body if after is None else b"", revision
            self.updated_us = self.answered_us
            self._on_update(update)
        # a restarted agent counts from the start: revisions after the known one would not be its own
        return None if after is not None and revision < after else revision

    async def _request(
        self, sock: socket.socket, request: bytes, first_s: float, gap_s: float
    ) -> http1.ResponseParser:
        """Send a request and return its response.

        Args:
            sock: The connection.
            request: The bytes of the request.
            first_s: How long the response may take to begin.
            gap_s: How long it may pause.
        """
        await self._loop.sock_sendall(sock, request)
        parser, buffer = http1.ResponseParser(http1.MAX_LIST_BYTES), bytearray(READ_BUFFER_BYTES)
        while True:
            async with asyncio.timeout(first_s):
                n = await self._loop.sock_recv_into(sock, buffer)
            if parser.feed(bytes(buffer[:n])) if n else parser.end():
                return parser
            if n == 0:
                raise ValueError("the connection ended within a response")
            first_s = gap_s
