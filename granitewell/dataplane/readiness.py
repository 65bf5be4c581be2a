"""The readiness check, `GET /readyz`. Only the status of the response matters."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web
from aiohttp.web_request import BaseRequest

from granitewell.dataplane.addresses import host_and_port
from granitewell.dataplane.server_log import QUIET_LOGGER

PATH = "/readyz"


class ReadinessServer:
    """HTTP server for the platform's readiness check."""

    def __init__(self, ready: Callable[[], bool]) -> None:
        self._ready = ready
        self._listener: asyncio.Server | None = None
        self.port = 0  # actual port, once it listens

    async def start(self, address: str) -> None:
        """Listen on `ip:port`."""
        host, port = host_and_port(address)
        server = web.Server(self._answer, access_log=None, logger=QUIET_LOGGER)
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(server, host, port, reuse_address=True)
        self.port = int(self._listener.sockets[0].getsockname()[1])

    async def _answer(self, request: BaseRequest) -> web.StreamResponse:
        if request.path != PATH:
            return web.Response(status=404)
        return web.Response(status=200 if self._ready() else 503)

    def close(self) -> None:
        """Stop listening."""
        if self._listener is not None:
            self._listener.close()
