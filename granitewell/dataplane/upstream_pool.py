"""Pool of connections to servers: reuses idle connections and opens new ones."""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable

from aiohttp.http_parser import RawResponseMessage

from granitewell.dataplane.upstream import RequestNotWrittenError, UpstreamConnection
from granitewell.domain.servers import Server

CONNECT_TIMEOUT_S = 0.4  # a lost SYN is resent only after seconds, and another server is faster
MAX_IDLE_PER_SERVER = 32


class UpstreamPool:
    """Idle connections by server, and the connections in use."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._idle: dict[str, deque[UpstreamConnection]] = {}
        self._busy: set[UpstreamConnection] = set()

    async def connection(self, server: Server, request_id: str) -> UpstreamConnection:
        """Return an idle connection that its server still keeps open, or a new one.

        An idle connection that has carried an attempt of the same request is not used.

        Raises:
            RequestNotWrittenError: No connection can be opened.
        """
        connection = self._take_idle(server.id, request_id)
        if connection is None:
            connection = await self._connect(server)
        self._busy.add(connection)
        return connection

    def _take_idle(self, server_id: str, request_id: str) -> UpstreamConnection | None:
        idle = self._idle.get(server_id, deque())
        now = self._clock()
        for connection in reversed(tuple(idle)):
            if connection.has_carried(request_id):
                continue
            idle.remove(connection)
            is_usable = connection.usable and now - connection.idle_since < connection.max_idle_s
            if is_usable and connection.has_nothing_unread():
                return connection
            connection.close()
        return None

    async def _connect(self, server: Server) -> UpstreamConnection:
        loop = asyncio.get_running_loop()
        host, _, port = server.address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(loop, self._connection_lost), host, int(port)
                )
        except (OSError, ValueError) as error:  # a TimeoutError is an OSError
            raise RequestNotWrittenError(f"{server.address}: {error!r}") from error
        connection.server_id = server.id
        return connection

    def release(self, connection: UpstreamConnection, message: RawResponseMessage | None) -> None:
        """Return a connection after a request.

        Args:
            connection: The connection.
            message: Head of the response if it arrived completely, else None.
        """
        self._busy.discard(connection)
        if message is None or not connection.all_written:
            connection.abort()
            return
        connection.mark_idle(message, self._clock())
        idle = self._idle.setdefault(connection.server_id, deque())
        if not connection.usable or len(idle) >= MAX_IDLE_PER_SERVER:
            connection.close()
            if not idle:
                self._idle.pop(connection.server_id, None)
            return
        idle.append(connection)

    def _connection_lost(self, connection: UpstreamConnection) -> None:
        idle = self._idle.get(connection.server_id)
        if idle is None:
            return
        with contextlib.suppress(ValueError):
            idle.remove(connection)
        if not idle:
            self._idle.pop(connection.server_id, None)

    def close_server(self, server_id: str) -> None:
        """Close a removed server's idle connections."""
        for connection in list(self._idle.pop(server_id, ())):
            connection.close()

    def close(self) -> None:
        """Close all connections."""
        for server_id in list(self._idle):
            self.close_server(server_id)
        for connection in list(self._busy):
            connection.abort()
