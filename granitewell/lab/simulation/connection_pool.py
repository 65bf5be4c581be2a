"""Virtual connections from a node to endpoints, and the pool of idle ones.

It holds the node's side of each connection and decides when an idle one is closed. The rules are those of
`granitewell.net.loop`: the most recently used is taken first, and an idle connection is closed after a share
of the endpoint's own idle timeout.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from granitewell.lab.simulation.endpoint_host import EndpointHost
    from granitewell.lab.simulation.outbound import Call, Outbound


class NodeConnection:
    """One connection; the node and the endpoint may differ on whether it is open."""

    __slots__ = (
        "resets_reply", "call", "closed", "open_at_endpoint", "id", "idle_us", "reply_arrives_us",
        "open_at_node", "outbound", "request_arrives_us", "silent", "endpoint_host",
    )  # fmt: skip

    def __init__(self, number: int, outbound: Outbound, endpoint_host: EndpointHost) -> None:
        self.id, self.outbound, self.endpoint_host = number, outbound, endpoint_host
        self.open_at_node, self.open_at_endpoint = True, False  # the endpoint: once accepted
        self.closed = False  # the endpoint closed it, and the node's machine knows
        self.resets_reply = False  # the link resets it instead of the next reply
        self.silent = False  # data on it was lost for good: TCP delivers nothing after that
        self.call: Call | None = None
        self.idle_us = -1  # since when it is in the pool; -1: it is not
        self.request_arrives_us = self.reply_arrives_us = (
            0  # when the last message arrives; later ones do not overtake it
        )

    @property
    def dialing(self) -> bool:
        """Whether a call is waiting for it to connect."""
        return self.open_at_node and self.call is not None and self.call.dialing


class ConnectionPool:
    """One node's idle connections by endpoint. Methods return the connections that the caller must close."""

    def __init__(self, idle_us: int) -> None:
        self._idle_us = idle_us
        self._by_endpoint: dict[bytes, list[NodeConnection]] = {}  # the most recently used last
        self._put: deque[tuple[int, NodeConnection]] = (
            deque()
        )  # all puts in order of time, including stale ones

    def put(self, endpoint: bytes, conn: NodeConnection, now_us: int) -> None:
        """Add an idle connection that can be reused."""
        conn.idle_us = now_us
        conns = self._by_endpoint.get(endpoint)
        if conns is None:
            conns = self._by_endpoint[endpoint] = []
        conns.append(conn)
        self._put.append((now_us, conn))

    def take(self, endpoint: bytes, now_us: int) -> tuple[NodeConnection | None, list[NodeConnection]]:
        """Take the most recently idle usable connection; also returns the unusable ones found."""
        conns = self._by_endpoint.get(endpoint)
        unfit: list[NodeConnection] = []
        while conns:
            conn = conns.pop()
            fit = not conn.closed and now_us - conn.idle_us < self._idle_us
            conn.idle_us = -1
            if fit:
                return conn, unfit
            unfit.append(conn)
        return None, unfit

    def drop(self, endpoint: bytes) -> list[NodeConnection]:
        """Remove all idle connections to an endpoint."""
        conns = self._by_endpoint.pop(endpoint, [])
        for conn in conns:
            conn.idle_us = -1
        return conns

    def remove(self, endpoint: bytes, conn: NodeConnection) -> bool:
        """Remove this connection; False if it is not in the pool."""
        if conn.idle_us < 0:
            return False
        conn.idle_us = -1
        conns = self._by_endpoint[endpoint]
        conns.remove(conn)
        if not conns:
            del self._by_endpoint[endpoint]
        return True

    @property
    def due_us(self) -> int:
        """When the next connection expires; -1: none will."""
        put = self._put
        while put and put[0][0] != put[0][1].idle_us:
            put.popleft()
        return put[0][0] + self._idle_us if put else -1

    def expire(self, now_us: int) -> list[NodeConnection]:
        """Remove the connections that have been idle too long."""
        old = []
        while 0 <= self.due_us <= now_us:
            old.append(self._oldest())
        return old

    def evict_oldest(self) -> NodeConnection | None:
        """Remove the connection that has been idle longest, to make room."""
        return self._oldest() if self.due_us >= 0 else None

    def _oldest(self) -> NodeConnection:
        _, conn = self._put.popleft()
        self.remove(conn.endpoint_host.key, conn)
        return conn
