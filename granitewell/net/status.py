"""The socket on which a running node reports its state: GET /status and GET /metrics.

Connections use descriptors that are kept in reserve. Reporting must not delay requests: a snapshot is built
in short steps with turns of the loop between them, one at a time. After each, the server rests for a multiple
of its duration and answers from the last snapshot. A connection is closed when its time is up, whether or not
it has read its answer. The module is imported only if an operator file asks for a status.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import stat
from collections.abc import Generator
from typing import TypeVar

from granitewell.net.logs import CLOCK_ORIGIN_US
from granitewell.net.loop import RESERVED_DESCRIPTORS, Node
from granitewell.status import fleet, shared_counts, wire
from granitewell.status.snapshot import take_snapshot
from granitewell.status.types import (
    MAX_TABLE_ROWS,
    NodeInfo,
    Snapshot,
    SocketUsage,
    StatusAddress,
    StatusSettings,
    parse_status_address,
)

REST_RATIO = 19  # rest after a snapshot, as a multiple of its duration: at most a twentieth of the processor
MAX_REST_US = 500_000  # a longer snapshot is followed by no more rest than this
MAX_CACHED_RESPONSES = 8  # per snapshot: two paths, and the values of `worst`
MAX_CONNECTIONS_PER_S = 200  # also if the answers are cached
BIND_RETRY_S = 0.25
BACKLOG = 16  # a unix socket rejects further connections at once
READ_BYTES = 2048
MAX_DRAIN_BYTES = 64 * 1024  # read after a request: a close with unread bytes would reset the connection

T = TypeVar("T")


class StatusServer:
    """The status socket of one node; closed until `apply_settings` opens it."""

    def __init__(self, node: Node) -> None:
        """Create a closed server for a node."""
        self._node, self._loop, self._clock = node, node._loop, node.clock
        self._settings = StatusSettings()
        self._listener: socket.socket | None = None
        self._accept_task: asyncio.Task[None] | None = None
        self._retry_timer: asyncio.TimerHandle | None = None  # for another attempt to bind
        self._bound: tuple[str, int, int] | None = None  # path, device and inode of the socket
        self._connections = 0
        self._slot_freed = asyncio.Event()
        self._snapshot_lock = asyncio.Lock()  # one snapshot at a time
        self._snapshot: Snapshot | None = None  # the last one; in use while the server rests
        self._responses: dict[wire.StatusRequest, bytes] = {}  # built from the last snapshot
        self._cost_us = self._snapshot_done_us = self._rest_until_us = 0  # of the last snapshot
        self.cluster: wire.ClusterView | None = None  # answers for the cluster; None for no cluster

    # --- Opening and closing ----------------------------------------------------------------------------
    def apply_settings(self, settings: StatusSettings) -> None:
        """Serve by these settings from now on. An address that can't be bound is logged and tried again."""
        was, self._settings = self._settings, settings
        was_open = self._listener is not None
        if was_open and settings.at == was.at:
            self._slot_freed.set()  # more connections may be allowed now
            return
        self.close()
        if settings.at:
            try:
                where = parse_status_address(settings.at, temporary_folder())
                self._open(where)
                line = f"the status is at {where}"
            except (OSError, ValueError) as error:
                line = f"no status at {settings.at}: {getattr(error, 'strerror', None) or error}"
                self._retry_timer = self._loop.call_later(BIND_RETRY_S, self._retry)
        else:
            line = "the status is served no longer"
        if settings.at or was_open:
            self._node.log.write(self._clock.now(), "reload", line, always=True)

    def _retry(self) -> None:
        """Try again to bind: the previous process of an upgrade may have released the address."""
        if self._listener is not None or not self._settings.at:
            return
        try:
            where = parse_status_address(self._settings.at, temporary_folder())
            self._open(where)
            self._node.log.write(self._clock.now(), "reload", f"the status is at {where}", always=True)
        except (OSError, ValueError):
            self._retry_timer = self._loop.call_later(BIND_RETRY_S, self._retry)

    def _open(self, where: StatusAddress) -> None:
        """Bind the address and start to accept."""
        sock = socket.socket(socket.AF_UNIX if where.path else socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setblocking(False)
            if where.path:
                bind_path(sock, where.path)
                info = os.lstat(where.path)
                self._bound = where.path, info.st_dev, info.st_ino
            else:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                sock.bind(("127.0.0.1", where.port))
            sock.listen(BACKLOG)
        except BaseException:
            sock.close()
            raise
        self._listener = sock
        self._accept_task = self._node._spawn(self._accept(sock))

    def close(self) -> None:
        """Accept no more connections, and remove the socket's path if it is still this node's own.

        Open connections end by themselves.
        """
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        if self._accept_task is not None:
            self._accept_task.cancel()
        if self._listener is not None:
            self._listener.close()
        if self._bound is not None:
            path, *identity = self._bound
            with contextlib.suppress(OSError):
                info = os.lstat(path)
                if [info.st_dev, info.st_ino] == identity:
                    os.unlink(path)
        self._accept_task = self._listener = self._bound = None

    # --- Connections ------------------------------------------------------------------------------------
    async def _accept(self, listener: socket.socket) -> None:
        """Accept connections up to the configured number."""
        while True:
            # further connections wait in the backlog, where they cost no descriptor
            while self._connections >= self._settings.connections:
                self._slot_freed.clear()
                await self._slot_freed.wait()
            try:
                sock, _ = await self._loop.sock_accept(listener)
                sock.setblocking(False)
                self._node._spawn(self._serve(sock, self._settings))
                self._connections += 1
            except Exception as error:  # any error: the server must go on
                self._node.log_line("accept", f"could not accept for the status: {error}")
                await asyncio.sleep(0.1)

    async def _serve(self, sock: socket.socket, settings: StatusSettings) -> None:
        """Serve one connection within its time."""
        try:
            async with asyncio.timeout(settings.seconds):
                try:
                    query = wire.parse_request(
                        await self._read_head(sock), settings.worst, sock.family == socket.AF_INET
                    )
                    raw = await self._answer(query)
                except wire.RejectedQueryError as error:
                    raw = error.response
                except OSError:
                    raise
                except Exception as error:  # a defect must not look like a dead node
                    self._node.log_line("fault", f"the status failed: {type(error).__name__}: {error}")
                    raw = wire.text_response("the snapshot failed: see the node's log", 500)
                await self._loop.sock_sendall(sock, raw)
                sock.shutdown(socket.SHUT_WR)
                await self._drain(sock)
        except (OSError, TimeoutError):
            pass
        finally:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)
            sock.close()
            self._loop.call_later(settings.connections / MAX_CONNECTIONS_PER_S, self._free)

    def _free(self) -> None:
        """Make room for another connection."""
        self._connections -= 1
        self._slot_freed.set()

    async def _read_head(self, sock: socket.socket) -> bytes:
        """Read the head of a request."""
        head = b""
        while b"\r\n\r\n" not in head and len(head) <= wire.MAX_HEAD_BYTES:
            more = await self._loop.sock_recv(sock, READ_BYTES)
            if not more:
                raise ConnectionError("closed before the request was complete")
            head += more
        return head

    async def _drain(self, sock: socket.socket) -> None:
        """Read until the other side closes: a close with unread bytes would reset the connection."""
        left = MAX_DRAIN_BYTES
        while left > 0 and (more := await self._loop.sock_recv(sock, READ_BYTES)):
            left -= len(more)

    # --- Answers ----------------------------------------------------------------------------------------
    async def _answer(self, query: wire.StatusRequest) -> bytes:
        """Return a complete answer: a cached one, or one from the last or a new snapshot."""
        if query.path in wire.CLUSTER_PATHS:
            return wire.cluster_response(query, self.cluster, self._bound is not None)
        async with self._snapshot_lock:
            resting = self._snapshot is not None and self._clock.read_now() < self._rest_until_us
            if resting and query in self._responses:
                return self._responses[query]
            if not resting or len(self._responses) >= MAX_CACHED_RESPONSES:
                await self._take_snapshot()
            assert self._snapshot is not None
            try:
                body = await self._run_in_steps(wire.response_body(query, self._snapshot))
                if query.path == wire.METRICS_PATH and self.cluster is not None:
                    body += fleet.metrics_text(self.cluster.view()).encode()
                    if (counted := self.cluster.counted("")) is not None:
                        body += shared_counts.metrics_text(counted).encode()
            finally:
                self._schedule_rest()
            self._responses[query] = wire.response(body, wire.CONTENT_TYPES[query.path])
            return self._responses[query]

    async def _take_snapshot(self) -> None:
        """Build a new snapshot, once the rest is over."""
        await asyncio.sleep(max(self._rest_until_us - self._clock.read_now(), 0) / 1e6)
        self._snapshot, self._cost_us = None, 0
        self._responses.clear()
        node, began_us = self._node, self._clock.now()
        try:
            snapshot = await self._run_in_steps(
                take_snapshot(node._core, socket_counts(node), node_info(node), began_us, MAX_TABLE_ROWS)
            )
        finally:  # a cancelled snapshot counts, too
            self._snapshot_done_us = self._clock.read_now()
            self._schedule_rest()
        snapshot["took_ms"] = round((self._snapshot_done_us - began_us) / 1000, 3)
        self._snapshot = snapshot

    def _schedule_rest(self) -> None:
        """Set the end of the rest: a multiple of what the last snapshot and its answers have cost.

        It is short enough that a request that has to wait for it keeps half of its time.
        """
        max_rest_us = min(MAX_REST_US, self._settings.seconds * 500_000)
        self._rest_until_us = self._snapshot_done_us + int(min(self._cost_us * REST_RATIO, max_rest_us))

    async def _run_in_steps(self, steps: Generator[None, None, T]) -> T:
        """Run a generator to its end with a turn of the loop between steps; return its result."""
        while True:
            began_us = self._clock.read_now()
            try:
                next(steps)
            except StopIteration as done:
                result: T = done.value
                return result
            finally:
                self._cost_us += self._clock.read_now() - began_us
            await asyncio.sleep(0)


def serve_status(node: Node, settings: StatusSettings) -> None:
    """Open, move or close the status socket of a node."""
    if node.status_server is None:
        node.status_server = StatusServer(node)
    node.status_server.apply_settings(settings)


def temporary_folder() -> str:
    """Return the private temporary directory that the platform names."""
    return os.environ.get("TMPDIR") or "/tmp"


def node_info(node: Node) -> NodeInfo:
    """Return what does not change while the node runs."""
    config = node._config
    return NodeInfo(config.name, config.class_names, config.zone_names, config.kind_names, CLOCK_ORIGIN_US,
                 node.clock.unix_offset_us)  # fmt: skip


def socket_counts(node: Node) -> SocketUsage:
    """Return the numbers of connections and descriptors, and the state of discovery."""
    failed_us, failure = node.discovery.failure
    return SocketUsage(
        node.pool.idle, len(node.clients.connections), node.pool.open_count, node.limits.max_inbound,
        node.limits.max_outbound, node.limits.max_total, RESERVED_DESCRIPTORS, node._config.discovery,
        node.discovery.answered_us, node.discovery.updated_us, failed_us, failure,
    )  # fmt: skip


def bind_path(sock: socket.socket, path: str) -> None:
    """Bind to a path that only this user may connect to.

    A socket of this user on which nobody listens is replaced.

    Raises:
        OSError: Something else is there; the error says what.
    """
    try:
        _bind(sock, path)
    except OSError:
        if not _is_stale_socket(path):
            raise
        os.unlink(path)
        _bind(sock, path)


def _bind(sock: socket.socket, path: str) -> None:
    """Bind with permissions for this user only."""
    mask = os.umask(0o177)  # not chmod afterwards: others must not have access at any moment
    try:
        sock.bind(path)
    finally:
        os.umask(mask)


def _is_stale_socket(path: str) -> bool:
    """Return whether this is a socket that an earlier process of this user has left.

    False if nothing is there.

    Raises:
        OSError: Something else is there, or somebody listens.
    """
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
        except OSError:  # the backlog is full, or it is another kind of socket
            pass
    raise OSError("somebody listens there already")
