"""Stand-ins round a Node that hold an event back until another has happened.

An endpoint that answers when it is told, and clients of whose leaving the kernel knows before the node can.

It owns the sockets of the far sides. It must never sleep to make two events meet, or assert a time.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import re
import socket
from typing import Any

from granitewell import core as c
from granitewell.balancing.interface import State, View
from granitewell.net.loop import Node
from tests.shell import turns

GET = b"GET /taxi-lookup/1 HTTP/1.1\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: 5000\r\n\r\n"
POST = (b"POST /ride-assign/1 HTTP/1.1\r\nRequest-Id: %s\r\nRequest-Timeout-Ms: 5000\r\n"
        b"Content-Length: 2\r\n\r\nhi")  # fmt: skip
OK = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"


class Desk:
    """One endpoint; it says nothing by itself.

    Attributes:
        asked: The ids of the requests that have reached it whole, and on which of its connections.
    """

    def __init__(self, name: bytes = b"s-0") -> None:
        self.name = name
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.listener.setblocking(False)
        self.asked: list[tuple[bytes, socket.socket]] = []
        self.conns: list[socket.socket] = []
        self._tasks = [asyncio.create_task(self._accept())]

    @property
    def ids(self) -> list[bytes]:
        return [rid for rid, _ in self.asked]

    def member(self, state: State = State.READY) -> c.DiscoveredEndpoint:
        return c.DiscoveredEndpoint(self.name, self.listener.getsockname(), 0, 0, 0, state, 1.0, 0)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            conn, _ = await loop.sock_accept(self.listener)
            self.conns.append(conn)
            self._tasks.append(asyncio.create_task(self._read(conn)))

    async def _read(self, conn: socket.socket) -> None:
        loop, data = asyncio.get_running_loop(), b""
        try:
            while more := await loop.sock_recv(conn, 65536):
                data += more
                head, end, body = data.partition(b"\r\n\r\n")
                size = 2 if b"Content-Length: 2" in head else 0
                if end and len(body) >= size:
                    data = body[size:]
                    self.asked.append((head.partition(b"Request-Id: ")[2].split()[0], conn))
        except OSError:
            pass

    async def say(self, conn: socket.socket, data: bytes) -> None:
        """Write to the node on this connection."""
        await asyncio.get_running_loop().sock_sendall(conn, data)

    async def answer(self, body: bytes = b"ok", which: int = -1) -> None:
        """A whole 200 to a request that has come: the last one, or the so-many-th."""
        await self.say(self.asked[which][1], OK % (len(body), body))

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in (self.listener, *self.conns):
            sock.close()


def serves(node: Node, *desks: Desk) -> None:
    """The node knows of these endpoints, and is ready."""
    node.dispatch(c.EndpointListUpdate(View.FULL, tuple(d.member() for d in desks)))
    node.dispatch(c.Listening())


async def sent(client: socket.socket, data: bytes) -> None:
    await asyncio.get_running_loop().sock_sendall(client, data)


async def ends_well(client: socket.socket) -> bool:
    """The connection ends with nothing further on it, and is not reset."""
    async with asyncio.timeout(20.0):
        try:
            over = await asyncio.get_running_loop().sock_recv(client, 4096) == b""
        except ConnectionError:
            return False
    await turns()
    # behind an end a reset shows in the socket's error alone
    return over and client.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0


async def heard(client: socket.socket, end: bytes = b"\r\n\r\n") -> bytes:
    """What comes up to and with these bytes, or up to the end of the connection."""
    loop, data = asyncio.get_running_loop(), b""
    async with asyncio.timeout(20.0):
        while end not in data:
            try:
                more = await loop.sock_recv(client, 65536)
            except ConnectionError:
                break
            if not more:
                break
            data += more
    return data


class Bureau:
    """Discovery's agent, whose list changes by `lists`.

    Attributes:
        mute: It takes calls and says nothing.
        empty: Each watch is answered with nothing in it, at once.
        piecemeal: A whole list comes in so many pieces, with a pause between each two.
        hold: What answers wait for.
        wholes: Calls for the whole list.
        watches: The revisions that have been watched from.
    """

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.listener.setblocking(False)
        self.address: tuple[str, int] = self.listener.getsockname()
        self.members: list[dict[str, Any]] = []
        self.revision = 1
        self.mute = self.empty = False
        self.piecemeal = 1
        self.wholes = 0
        self.watches: list[int] = []
        self.hold: asyncio.Event | None = None
        self._news = asyncio.Event()
        self._tasks = [asyncio.create_task(self._accept())]

    def lists(self, *desks: tuple[Desk, str], revision: int = -1) -> None:
        """The whole list from now on: each endpoint with its phase."""
        self.members = [row(d, phase) for d, phase in desks]
        self.revision = self.revision + 1 if revision < 0 else revision
        self._news.set()
        self._news = asyncio.Event()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            conn, _ = await loop.sock_accept(self.listener)
            self._tasks.append(asyncio.create_task(self._serve(conn)))

    async def _serve(self, conn: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with conn, contextlib.suppress(OSError):
            while (head := await heard(conn)).endswith(b"\r\n\r\n"):
                watch = re.search(rb"after=(\d+)&wait_ms=(\d+)", head)
                self.watches += [int(watch[1])] if watch else []
                self.wholes += not watch
                body = self._body(not watch)
                if watch and not self.empty and int(watch[1]) >= self.revision:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(int(watch[2]) / 1000):
                            await self._news.wait()
                            body = self._body(True)
                if self.mute:
                    await asyncio.Event().wait()
                if self.hold is not None:
                    await self.hold.wait()
                text = OK % (len(body), body)
                size = -(-len(text) // self.piecemeal)
                for at in range(0, len(text), size):
                    await loop.sock_sendall(conn, text[at : at + size])
                    if self.piecemeal > 1:
                        await asyncio.sleep(0.1)

    def _body(self, whole: bool) -> bytes:
        members = self.members if whole else []
        return json.dumps(
            {"revision": self.revision, "complete": whole, "members": members}, indent=1
        ).encode()

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.listener.close()


def row(desk: Desk, phase: str) -> dict[str, Any]:
    """An endpoint as discovery writes it."""
    return {"id": desk.name.decode(), "host_port": "%s:%d" % desk.listener.getsockname(), "cell": 0,
            "locality": "ankara-1", "flavor": "standard", "phase": phase, "size": 1.0,
            "up_since_ms": 0}  # fmt: skip
