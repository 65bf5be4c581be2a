"""Reads the bodies of changes, with limits on size, time, and the memory of all requests together.

A body that no node could accept, whatever its state, is rejected with a 4xx. A body that has not arrived
completely gets a 503, because the same change may have been accepted when it was sent before.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import web

from granitewell.controlplane.configuration.answers import Failure

MAX_BODY_BYTES = 16 * 1024 * 1024  # 10,000 routes take 4 MiB
MAX_BUFFERED_BYTES = 2 * MAX_BODY_BYTES  # of all requests that are being read
BODY_TIMEOUT_S = 10.0  # for the complete body

TOO_LARGE = Failure(413, f"the body is above {MAX_BODY_BYTES} bytes")
TOO_SLOW = Failure(503, f"the body was not there after {BODY_TIMEOUT_S:g} s")
TOO_MANY_BODIES = Failure(503, "too many bodies at once")
DISCONNECTED = Failure(503, "the connection broke off within the body")
UNDECODABLE = Failure(400, "the body can't be decoded")


class BodyReader:
    """Reads complete bodies.

    Args:
        sleep: Waits for a time in seconds.
    """

    def __init__(self, sleep: Callable[[float], Awaitable[None]]) -> None:
        self._sleep = sleep
        self._buffered_bytes = 0

    async def read(self, request: web.Request) -> bytes | Failure:
        """Return the body, or why there is none."""
        if (request.content_length or 0) > MAX_BODY_BYTES:
            return TOO_LARGE
        reading = asyncio.ensure_future(self._read_all(request))
        timing = asyncio.ensure_future(self._sleep(BODY_TIMEOUT_S))
        try:
            await asyncio.wait((reading, timing), return_when=asyncio.FIRST_COMPLETED)
            return reading.result() if reading.done() else TOO_SLOW
        finally:
            reading.cancel()
            timing.cancel()

    async def _read_all(self, request: web.Request) -> bytes | Failure:
        chunks: list[bytes] = []
        size = 0
        try:
            async for chunk in request.content.iter_any():
                size += len(chunk)
                self._buffered_bytes += len(chunk)
                chunks.append(chunk)
                if size > MAX_BODY_BYTES:
                    return TOO_LARGE
                if self._buffered_bytes > MAX_BUFFERED_BYTES:
                    return TOO_MANY_BODIES
        except (web.PayloadAccessError, OSError):
            return DISCONNECTED
        except web.RequestPayloadError:
            return UNDECODABLE
        finally:
            self._buffered_bytes -= size
        return b"".join(chunks)
