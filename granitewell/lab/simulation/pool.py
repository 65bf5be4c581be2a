"""Virtual connections from a node to endpoints, and the pool of those that are idle.

It owns the node's side of each connection and when an idle one ends. It must never start a call or know what
is carried. The rules are those of `granitewell.net.loop`: the most recently used first, closed after a part
of the time at which the endpoint would.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from granitewell.lab.simulation.outbound import Call, Outbound
    from granitewell.lab.simulation.site import Site


class Conn:
    """One connection. `near` and `far`: whether the node and the endpoint hold it for open."""

    __slots__ = ("breaks", "call", "closed", "far", "id", "idle_us", "in_at_us", "near", "out", "out_at_us",
                 "silent", "site")  # fmt: skip

    def __init__(self, number: int, out: Outbound, site: Site) -> None:
        self.id, self.out, self.site = number, out, site
        self.near, self.far = True, False  # far: not before it is accepted
        self.closed = False  # the far side has closed, and the node's machine has heard of it
        self.breaks = False  # the link resets it in place of the answer that it carries next
        self.silent = False  # something on it was lost for good: TCP delivers nothing behind that
        self.call: Call | None = None
        self.idle_us = -1  # since when it lies in the pool; -1: it does not
        self.out_at_us = self.in_at_us = 0  # when the last message arrives: the next one does not overtake

    @property
    def dialing(self) -> bool:
        """Whether a call waits for it to come up."""
        return self.near and self.call is not None and self.call.dialing


class Pool:
    """One node's idle connections by endpoint. Every method gives back what the caller has to close."""

    def __init__(self, idle_us: int) -> None:
        self._idle_us = idle_us
        self._by_endpoint: dict[bytes, list[Conn]] = {}  # the most recently used last
        self._put: deque[tuple[int, Conn]] = deque()  # all puts in order of time; outdated ones among them

    def put(self, endpoint: bytes, conn: Conn, now_us: int) -> None:
        """An idle connection that is fit for use."""
        conn.idle_us = now_us
        conns = self._by_endpoint.get(endpoint)
        if conns is None:
            conns = self._by_endpoint[endpoint] = []
        conns.append(conn)
        self._put.append((now_us, conn))

    def take(self, endpoint: bytes, now_us: int) -> tuple[Conn | None, list[Conn]]:
        """The most recently idle connection that is fit for use, and those found on the way that are not."""
        conns = self._by_endpoint.get(endpoint)
        unfit: list[Conn] = []
        while conns:
            conn = conns.pop()
            fit = not conn.closed and now_us - conn.idle_us < self._idle_us
            conn.idle_us = -1
            if fit:
                return conn, unfit
            unfit.append(conn)
        return None, unfit

    def drop(self, endpoint: bytes) -> list[Conn]:
        """All that lie idle to an endpoint."""
        conns = self._by_endpoint.pop(endpoint, [])
        for conn in conns:
            conn.idle_us = -1
        return conns

    def remove(self, endpoint: bytes, conn: Conn) -> bool:
        """Take this one out; False where it does not lie here."""
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
        """When expire has something to do at the earliest; -1: never, as things are."""
        put = self._put
        while put and put[0][0] != put[0][1].idle_us:
            put.popleft()
        return put[0][0] + self._idle_us if put else -1

    def expire(self, now_us: int) -> list[Conn]:
        """Those that have lain idle for too long."""
        old = []
        while 0 <= self.due_us <= now_us:
            old.append(self._oldest())
        return old

    def shed(self) -> Conn | None:
        """The one that has been idle longest, to make room."""
        return self._oldest() if self.due_us >= 0 else None

    def _oldest(self) -> Conn:
        _, conn = self._put.popleft()
        self.remove(conn.site.key, conn)
        return conn
