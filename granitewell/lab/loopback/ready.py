"""The look at a node's ready path.

It owns the asking, and must never conclude anything from an answer but that the node is ready or not.
"""

from __future__ import annotations

import asyncio
import contextlib

from granitewell.lab.loopback.plan import NodePlace
from granitewell.lab.loopback.platform_http import AnswerParser

POLL_S = 0.05  # between two looks
PATIENCE_S = 1.0  # for an answer


async def until_ready(place: NodePlace) -> None:
    """Ask until the node says 200; it may not listen yet."""
    while True:
        with contextlib.suppress(OSError, TimeoutError, ValueError):
            if await asyncio.wait_for(_status(place), PATIENCE_S) == 200:
                return
        await asyncio.sleep(POLL_S)


async def _status(place: NodePlace) -> int:
    reader, writer = await asyncio.open_connection(place.host, place.port)
    try:
        writer.write(f"GET /-/ready HTTP/1.1\r\nHost: {place.host}\r\nConnection: close\r\n\r\n".encode())
        parser = AnswerParser()
        while not parser.feed(data := await reader.read(4096)) and data:
            pass
        return parser.answer.status
    finally:
        writer.close()
