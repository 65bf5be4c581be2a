"""The socket on which a running node says what it judges and holds: GET /status and GET /metrics.

It owns the listener, its path, and the connections to it, which come out of the descriptors kept in reserve.
It must never change the node or hold it up: a look is made in short steps with the loop between them, one at
a time, and after each it rests for a multiple of what that took, giving answers from it meanwhile. A
connection is closed when its time is up, whether or not it has read its answer. It is imported only where an
operator file asks for it.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import stat
from collections.abc import Generator
from typing import TypeVar

from granitewell.net.logs import HEAD_START_US
from granitewell.net.loop import RESERVE, Node
from granitewell.status import fleet, shared, wire
from granitewell.status.snapshot import look
from granitewell.status.types import MAX_WORST, About, Place, Snapshot, Sockets, StatusSettings, place

REST = 19  # times what a look took, before the next one: at most a twentieth of the core,
MAX_REST_US = 500_000  # unless it took more than a part of this
MAX_FORMS = 8  # made of one look: two paths, and what `worst` asks for
MAX_PER_S = 200  # connections taken a second, also where answers are there already
AGAIN_S = 0.25  # between two tries to have the place
BACKLOG = 16  # that wait for a seat; a unix socket turns further ones away at once
CHUNK = 2048  # bytes of a request read at a time
MAX_REST_BYTES = 64 * 1024  # read behind a request, so that closing does not reset its answer away

T = TypeVar("T")


class Door:
    """The status socket of one node; closed until `take` opens it."""

    def __init__(self, node: Node) -> None:
        self._node, self._loop, self._clock = node, node._loop, node.clock
        self._settings = StatusSettings()
        self._listener: socket.socket | None = None
        self._accepting: asyncio.Task[None] | None = None
        self._again: asyncio.TimerHandle | None = None  # until the place can be had
        self._bound: tuple[str, int, int] | None = None  # the path of its socket, and that file's identity
        self._held = 0  # connections
        self._freed = asyncio.Event()
        self._lane = asyncio.Lock()  # one look at a time
        self._kept: Snapshot | None = None  # of the last look, good for as long as the rest,
        self._forms: dict[wire.Asked, bytes] = {}  # and the answers made of it
        self._cost_us = self._done_us = self._rest_us = 0  # what it took, its end, and until when to rest
        self.cluster: wire.Fleet | None = None  # whom to ask of the other nodes; None where there are none

    # --- Opening and closing ----------------------------------------------------------------------------
    def take(self, settings: StatusSettings) -> None:
        """Serve as these settings say from now on. A place that can't be had costs a line, not the node."""
        was, self._settings = self._settings, settings
        was_open = self._listener is not None
        if was_open and settings.at == was.at:
            self._freed.set()  # there may be more seats now
            return
        self.close()
        if settings.at:
            try:
                where = place(settings.at, folder())
                self._open(where)
                line = f"the status is at {where}"
            except (OSError, ValueError) as error:
                line = f"no status at {settings.at}: {getattr(error, 'strerror', None) or error}"
                self._again = self._loop.call_later(AGAIN_S, self._retry)
        else:
            line = "the status is served no longer"
        if settings.at or was_open:
            self._node.log.write(self._clock.now(), "reload", line, always=True)

    def _retry(self) -> None:
        """The process before this one, of an upgrade, may be gone from there by now."""
        if self._listener is not None or not self._settings.at:
            return
        try:
            where = place(self._settings.at, folder())
            self._open(where)
            self._node.log.write(self._clock.now(), "reload", f"the status is at {where}", always=True)
        except (OSError, ValueError):
            self._again = self._loop.call_later(AGAIN_S, self._retry)

    def _open(self, where: Place) -> None:
        sock = socket.socket(socket.AF_UNIX if where.path else socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            if where.path:
                bind_path(sock, where.path)
                about = os.lstat(where.path)
                self._bound = where.path, about.st_dev, about.st_ino
            else:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind(("127.0.0.1", where.port))
            sock.listen(BACKLOG)
        except BaseException:
            sock.close()
            raise
        self._listener = sock
        self._accepting = self._node._spawn(self._accept(sock))

    def close(self) -> None:
        """Take no more connections, and take the path away if it is still this node's own.

        Those that are held end by themselves.
        """
        if self._again is not None:
            self._again.cancel()
            self._again = None
        if self._accepting is not None:
            self._accepting.cancel()
        if self._listener is not None:
            self._listener.close()
        if self._bound is not None:
            path, *identity = self._bound
            with contextlib.suppress(OSError):
                about = os.lstat(path)
                if [about.st_dev, about.st_ino] == identity:
                    os.unlink(path)
        self._accepting = self._listener = self._bound = None

    # --- Connections ------------------------------------------------------------------------------------
    async def _accept(self, listener: socket.socket) -> None:
        while True:
            while self._held >= self._settings.connections:  # further ones wait in the backlog, and cost
                self._freed.clear()  # no descriptor
                await self._freed.wait()
            try:
                sock, _ = await self._loop.sock_accept(listener)
                sock.setblocking(False)
                self._node._spawn(self._serve(sock, self._settings))
                self._held += 1
            except Exception as error:  # whatever it is, whoever looks next gets an answer
                self._node.say("accept", f"could not accept for the status: {error}")
                await asyncio.sleep(0.1)

    async def _serve(self, sock: socket.socket, settings: StatusSettings) -> None:
        """One connection, within its time."""
        try:
            async with asyncio.timeout(settings.seconds):
                try:
                    asked = wire.asked(await self._head(sock), settings.worst, sock.family == socket.AF_INET)
                    raw = await self._answer(asked)
                except wire.RejectedQueryError as error:
                    raw = error.raw
                except OSError:
                    raise
                except Exception as error:  # whoever is on call must not take a defect for a dead node
                    self._node.say("fault", f"the status failed: {type(error).__name__}: {error}")
                    raw = wire.plainly("the look failed: see the node's log", 500)
                await self._loop.sock_sendall(sock, raw)
                sock.shutdown(socket.SHUT_WR)
                await self._drain(sock)
        except (OSError, TimeoutError):
            pass
        finally:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()
            self._loop.call_later(settings.connections / MAX_PER_S, self._free)

    def _free(self) -> None:
        self._held -= 1
        self._freed.set()

    async def _head(self, sock: socket.socket) -> bytes:
        head = b""
        while b"\r\n\r\n" not in head and len(head) <= wire.MAX_HEAD:
            more = await self._loop.sock_recv(sock, CHUNK)
            if not more:
                raise ConnectionError("left before it had asked")
            head += more
        return head

    async def _drain(self, sock: socket.socket) -> None:
        """Until the other side has closed: bytes that are left unread would reset the answer away."""
        left = MAX_REST_BYTES
        while left > 0 and (more := await self._loop.sock_recv(sock, CHUNK)):
            left -= len(more)

    # --- Answers ----------------------------------------------------------------------------------------
    async def _answer(self, asked: wire.Asked) -> bytes:
        """A whole answer: of the look that the node rests of, in a form that there is or can still be made,
        or of a new one.
        """
        if asked.path in wire.CLUSTER:
            return wire.of_cluster(asked, self.cluster, self._bound is not None)
        async with self._lane:
            resting = self._kept is not None and self._clock.fresh() < self._rest_us
            if resting and asked in self._forms:
                return self._forms[asked]
            if not resting or len(self._forms) >= MAX_FORMS:
                await self._look()
            assert self._kept is not None
            try:
                made = await self._driven(wire.body(asked, self._kept))
                if asked.path == wire.METRICS and self.cluster is not None:
                    made += fleet.text(self.cluster.view()).encode()
                    if (counted := self.cluster.counted("")) is not None:
                        made += shared.text(counted).encode()
            finally:
                self._rest()
            self._forms[asked] = wire.answer(made, wire.KINDS[asked.path])
            return self._forms[asked]

    async def _look(self) -> None:
        """Look anew, once the rest is over."""
        await asyncio.sleep(max(self._rest_us - self._clock.fresh(), 0) / 1e6)
        self._kept, self._cost_us = None, 0
        self._forms.clear()
        node, began_us = self._node, self._clock.now()
        try:
            kept = await self._driven(look(node._core, sockets(node), about(node), began_us, MAX_WORST))
        finally:  # what was begun and not waited for has cost as much
            self._done_us = self._clock.fresh()
            self._rest()
        kept["took_ms"] = round((self._done_us - began_us) / 1000, 3)
        self._kept = kept

    def _rest(self) -> None:
        """For a multiple of what the last look and its forms have taken, and so short that who has to wait
        for it has half of its time left.
        """
        most_us = min(MAX_REST_US, self._settings.seconds * 500_000)
        self._rest_us = self._done_us + int(min(self._cost_us * REST, most_us))

    async def _driven(self, steps: Generator[None, None, T]) -> T:
        """Run to the end, with a turn of the loop between two steps."""
        while True:
            began_us = self._clock.fresh()
            try:
                next(steps)
            except StopIteration as done:
                result: T = done.value
                return result
            finally:
                self._cost_us += self._clock.fresh() - began_us
            await asyncio.sleep(0)


def serve(node: Node, settings: StatusSettings) -> None:
    """Open, move or close the status of a node."""
    if node.door is None:
        node.door = Door(node)
    node.door.take(settings)


def folder() -> str:
    """The private temporary directory, which the platform names."""
    return os.environ.get("TMPDIR") or "/tmp"


def about(node: Node) -> About:
    """What stays as it is."""
    config = node._config
    return About(config.name, config.class_names, config.zone_names, config.kind_names, HEAD_START_US,
                 node.clock.unix_offset_us)  # fmt: skip


def sockets(node: Node) -> Sockets:
    """What the node holds now."""
    failed_us, failure = node.discovery.failure
    return Sockets(
        node.pool.idle, len(node.clients.held), node.pool.held, node.limits.inbound, node.limits.outbound,
        node.limits.most, RESERVE, node._config.discovery, node.discovery.heard_us, node.discovery.news_us,
        failed_us, failure,
    )  # fmt: skip


def bind_path(sock: socket.socket, path: str) -> None:
    """Bind to a path that only this user may connect to.

    What stands there goes if it is a socket of this user's at which nobody listens; OSError says what it is
    otherwise.
    """
    try:
        _bind(sock, path)
    except OSError:
        if not _stale(path):
            raise
        os.unlink(path)
        _bind(sock, path)


def _bind(sock: socket.socket, path: str) -> None:
    mask = os.umask(0o177)  # rather than chmod afterwards: there must be no moment at which others may
    try:
        sock.bind(path)
    finally:
        os.umask(mask)


def _stale(path: str) -> bool:
    """Is this a socket of our own that an earlier process left behind? False where nothing stands there."""
    try:
        found = os.lstat(path)
    except FileNotFoundError:
        return False
    if not stat.S_ISSOCK(found.st_mode):
        raise OSError("something that is no socket stands there")
    if found.st_uid != os.geteuid():
        raise OSError("a socket of another user's stands there")
    with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
        probe.setblocking(False)
        try:
            probe.connect(path)
        except ConnectionRefusedError:
            return True
        except OSError:  # its backlog is full, or it is another kind of socket
            pass
    raise OSError("somebody listens there already")
