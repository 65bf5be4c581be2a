"""The HTTP server of the operator API in a control process."""

from __future__ import annotations

from typing import Protocol

from aiohttp import web

MAX_REQUEST_BYTES = 32 * 1024 * 1024  # limit of aiohttp; the API's own limit is lower


class OperatorRoutes(Protocol):
    """Handlers of the operator API."""

    def routes(self, app: web.Application) -> None:
        """Add the handlers to an application."""


class OperatorServer:
    """Listens at a control address (`ip:port`)."""

    def __init__(self, api: OperatorRoutes, address: str) -> None:
        self._api = api
        self._address = address
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Listen; raises OSError."""
        app = web.Application(client_max_size=MAX_REQUEST_BYTES)
        self._api.routes(app)
        runner = web.AppRunner(app, access_log=None, handle_signals=False)
        await runner.setup()
        host, _, port = self._address.rpartition(":")
        await web.TCPSite(runner, host, int(port), reuse_address=True).start()
        self._runner = runner

    async def stop(self) -> None:
        """Answer accepted requests, and stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()
