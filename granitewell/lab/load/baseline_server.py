"""The least that answers: a stand-in for measuring the load tool itself.

It owns a listener on loopback that answers every HTTP/1.1 request with the same 200, on uvloop's Protocols.
It must never be taken for a node: it reads no header. Run as a program it prints its port, and ends when its
standard input does, so it can't outlive who started it.
"""

from __future__ import annotations

import asyncio
import sys
from contextlib import suppress
from typing import cast

import httptools
import uvloop

BODY = b"ok"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(BODY), BODY)


class Bare(asyncio.Protocol):
    """One connection."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Asyncio's call."""
        self._transport = cast(asyncio.Transport, transport)  # uvloop's own are no subclass of it
        self._parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        """Asyncio's call."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._transport.abort()

    def on_message_complete(self) -> None:
        """Httptools' call: a whole request has come."""
        self._transport.write(ANSWER)


async def serve() -> None:
    """Listen on a free port of 127.0.0.1, print it, and serve until standard input ends."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Bare, "127.0.0.1", 0, backlog=4096)
    print(server.sockets[0].getsockname()[1], flush=True)
    over = loop.create_future()
    loop.add_reader(sys.stdin.fileno(), over.cancel)
    with suppress(asyncio.CancelledError):
        await over


if __name__ == "__main__":
    uvloop.run(serve())
