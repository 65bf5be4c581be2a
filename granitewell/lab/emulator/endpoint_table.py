"""Records of a process: its tasks, and the table of connections with their idle times.

It tells which connection has been idle too long. No operation scans all open connections, except at the end
of the process.
"""

from __future__ import annotations

from collections import deque
from enum import Enum

from granitewell.lab.emulator.types import Asked, Condition


class TaskKind(Enum):
    """What a task is. The first two wait and take a slot, the others run beside the slots."""

    REQUEST = "request"
    DEEP = "deep"  # probe that waits and is served like a request
    SHALLOW = "shallow"  # probe answered outside the queue
    HANDSHAKE = "handshake"


class Stage(Enum):
    """Where a task stands."""

    READ = "read"  # its connection's handshake is not done yet
    WAITING = "waiting"
    WORKING = "working"
    KEPT = "kept"  # done, its answer delayed
    HUNG = "hung"  # started, never answered; takes no slot and no queue place
    OVER = "over"


class Task:
    """One piece of work.

    `finish` is where on the process's clock of work it will be done; -1: not running. `began_us` -1: it never
    began.
    """

    __slots__ = ("asked", "began_us", "conn", "end", "finish", "matched", "kind", "seq", "stage")

    def __init__(self, seq: int, kind: TaskKind, conn: Conn, asked: Asked) -> None:
        self.seq, self.kind, self.conn, self.asked = seq, kind, conn, asked
        self.stage = Stage.READ
        self.finish = -1.0
        self.began_us = -1
        self.end = ""  # the kind of its answer, once its work is done
        self.matched: tuple[Condition, ...] = ()


class Conn:
    """One open connection. `task`: what it is busy with; `idle_us`: since when it stands idle, or -1."""

    __slots__ = ("id", "idle_us", "node", "open", "opened_us", "handshake", "task")

    def __init__(self, id: int, node: str, opened_us: int) -> None:
        self.id, self.node, self.opened_us = id, node, opened_us
        self.open = True
        self.idle_us = -1
        self.handshake: Task | None = None
        self.task: Task | None = None


class Table:
    """The open connections of a process, with the idle ones in the order in which they will be closed.

    An entry of the idle queue is valid while the connection has been idle since then; stale ones are dropped
    at the front, so a request costs one entry and no search.
    """

    __slots__ = ("_idle", "_idle_us", "open")

    def __init__(self, idle_us: int) -> None:
        """Create an empty table; `idle_us` 0: idle connections are never closed."""
        self.open: dict[int, Conn] = {}
        self._idle_us = idle_us
        self._idle: deque[tuple[int, Conn]] = deque()

    def idles(self, now_us: int, conn: Conn) -> None:
        """Mark the connection as idle from now on."""
        conn.idle_us = now_us
        if self._idle_us > 0:
            self._idle.append((now_us, conn))

    def remove(self, conn: Conn) -> None:
        """Remove a closed connection."""
        conn.open = False
        del self.open[conn.id]

    def due_us(self) -> int:
        """When the next connection exceeds the idle timeout; -1: none will."""
        idle = self._idle
        while idle:
            since, conn = idle[0]
            if conn.open and conn.idle_us == since:
                return since + self._idle_us
            idle.popleft()
        return -1

    def overdue(self, now_us: int) -> Conn | None:
        """Take a connection that exceeded the idle timeout, or None; the caller closes it."""
        due = self.due_us()
        return self._idle.popleft()[1] if -1 < due <= now_us else None
