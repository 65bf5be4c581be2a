"""Which request goes out on which connection, and what became of it: one worker's state, without a socket.

It owns requests and connections as numbers. It must never read a clock or touch a descriptor: the shell tells
what happened and when, and runs the effects that come back. Arrivals never wait for answers; a request that
finds no connection free opens one, and at the cap it is kept back, which is counted against the tool. One
request at a time on a connection, and one request has exactly one end (`counts.End`).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from granitewell.lab.load.counts import End, Tally
from granitewell.lab.load.schedule import Arrival

NEVER = 1 << 62


class Request:
    """One arrival under way. `left_us` is -1 until it leaves; `over` once its end is counted."""

    __slots__ = ("cls", "conn", "due_us", "key", "left_us", "number", "over", "target", "tenant")

    def __init__(self, number: int, due_us: int, arrival: Arrival, target: int) -> None:
        self.number, self.due_us, self.target = number, due_us, target
        _, self.cls, self.tenant, self.key = arrival
        self.left_us = -1
        self.conn = 0
        self.over = False


class Write(NamedTuple):
    """Write this request on a standing connection."""

    conn: int
    request: Request


class Dial(NamedTuple):
    """Open a new connection to the request's target and write it there."""

    conn: int
    request: Request


class Close(NamedTuple):
    """Close this connection; nothing more is heard of it."""

    conn: int


Effect = Write | Dial | Close


class _Conn:
    __slots__ = ("request", "target", "up", "used")

    def __init__(self, target: int, request: Request) -> None:
        self.target = target
        self.request: Request | None = request
        self.up = False
        self.used = False  # an answer has come on it


class Flow:
    """One worker. `cap` is the most open connections, shared evenly by the targets."""

    def __init__(self, targets: int, cap: int, timeout_us: int) -> None:
        self._targets, self._timeout_us = targets, timeout_us
        self._cap = max(cap // targets, 1)
        self._conns: dict[int, _Conn] = {}
        # an ordered dict as a stack from whose middle can be taken: the last to become idle goes first
        self._idle: list[dict[int, None]] = [{} for _ in range(targets)]
        self._open = [0] * targets
        self._waiting: list[deque[Request]] = [deque() for _ in range(targets)]
        self._out: deque[Request] = deque()  # by due time; those that are over leave when they reach its head
        self._live = 0  # requests without an end
        self._last_conn = self._last_request = 0
        self._source: Iterator[Arrival] = iter(())
        self._coming: Arrival | None = None
        self._start_us = 0
        self.tally = Tally()
        self.next_us = NEVER  # when the next arrival is due
        self.expiry_us = NEVER  # when the oldest may have to be given up

    def begin(self, source: Iterator[Arrival], start_us: int) -> None:
        """A new step: its arrivals, and the time that their due times count from."""
        self.tally, self._source, self._start_us = Tally(), source, start_us
        self._out.clear()
        self.expiry_us = NEVER
        self._draw()

    def _draw(self) -> None:
        self._coming = next(self._source, None)
        self.next_us = NEVER if self._coming is None else self._start_us + self._coming.due_us

    @property
    def done(self) -> bool:
        """Nothing is due any more, and everything has its end."""
        return self._coming is None and not self._live

    def depart(self, now: int) -> list[Effect]:
        """The next arrival's time has come."""
        arrival = self._coming
        assert arrival is not None
        self._last_request += 1
        request = Request(self._last_request, self.next_us, arrival, self._last_request % self._targets)
        self._out.append(request)
        self._live += 1
        if self.expiry_us == NEVER:
            self.expiry_us = request.due_us + self._timeout_us
        self.tally.due += 1
        self._draw()
        return self._send(now, request)

    def _send(self, now: int, request: Request) -> list[Effect]:
        target = request.target
        if self._idle[target]:
            return [self._reuse(now, self._idle[target].popitem()[0], request)]
        if self._open[target] < self._cap:
            return [self._dial(now, request)]
        self.tally.waited += 1
        self._waiting[target].append(request)
        return []

    def _reuse(self, now: int, number: int, request: Request) -> Effect:
        self._conns[number].request = request
        request.conn = number
        self._left(now, request)
        return Write(number, request)

    def _dial(self, now: int, request: Request) -> Effect:
        self._last_conn += 1
        request.conn = self._last_conn
        self._conns[self._last_conn] = _Conn(request.target, request)
        self._open[request.target] += 1
        self.tally.dials += 1
        self._left(now, request)
        return Dial(self._last_conn, request)

    def _left(self, now: int, request: Request) -> None:
        if request.left_us < 0:  # what is sent once more left when it left first
            request.left_us = now
            self.tally.away.add(now - request.due_us)

    def connected(self, conn: int) -> None:
        """A dialled connection is up."""
        self._conns[conn].up = True

    def answered(self, now: int, conn: int, end: End, keep: bool) -> list[Effect]:
        """The request on this connection has its whole answer, or bytes that are none.

        `keep`: the connection can take another.
        """
        held = self._conns[conn]
        self._end(now, held.request, end)
        held.request, held.used = None, True
        while self._out and self._out[0].over:
            self._out.popleft()
        if not keep:
            self._drop(conn)
            return [Close(conn), *self._room(now, held.target)]
        waiting = self._next_waiting(held.target)
        if waiting is not None:
            return [self._reuse(now, conn, waiting)]
        self._idle[held.target][conn] = None
        return []

    def ended(self, now: int, conn: int, clean: bool, began: bool) -> list[Effect]:
        """The other side ended the connection: `clean` with an orderly end, else a reset.

        `began`: a part of an answer had come. The shell has closed its descriptor.
        """
        held = self._conns[conn]
        request = held.request
        self._drop(conn)
        if request is None:
            return self._room(now, held.target)
        # PROTOCOL: a node may close an idle connection; where that crosses a request, it is sent once more
        # (at most once: the new connection is not a used one)
        if clean and not began and held.used:
            self.tally.resent += 1
            return [self._dial(now, request)]
        self._end(now, request, End.RESET)
        return self._room(now, held.target)

    def undialled(self, now: int, conn: int, own: str = "") -> list[Effect]:
        """A connection did not come up; `own` names an error of this machine, not the target's."""
        held = self._conns[conn]
        self._drop(conn)
        if own:
            self.tally.own[own] = self.tally.own.get(own, 0) + 1
        self._end(now, held.request, End.NOT_CONNECTED)
        return self._room(now, held.target)

    def expire(self, now: int) -> list[Effect]:
        """Give up those whose time is over, all of them before any connection is dialled in their place."""
        effects: list[Effect] = []
        freed: list[int] = []
        out = self._out
        while out and (out[0].over or out[0].due_us + self._timeout_us <= now):
            request = out.popleft()
            if not request.over and self._give_up(now, request):
                effects.append(Close(request.conn))
                freed.append(request.target)
        self.expiry_us = out[0].due_us + self._timeout_us if out else NEVER
        for target in freed:
            effects += self._room(now, target)
        return effects

    def _give_up(self, now: int, request: Request) -> bool:
        """True where it had a connection, which goes with it."""
        held = self._conns.get(request.conn)
        if held is None:  # it waits for a connection and never left
            self.tally.away.add(now - request.due_us)
            self._end(now, request, End.TIMED_OUT)
            return False
        self._end(now, request, End.TIMED_OUT if held.up else End.NOT_CONNECTED, given_up=True)
        self._drop(request.conn)
        return True

    def stop(self, now: int) -> list[Effect]:
        """The run is interrupted: nothing more leaves, and what is out is cut."""
        self._source, self._coming, self.next_us = iter(()), None, NEVER
        effects: list[Effect] = []
        for request in self._out:
            if not request.over:
                self._end(now, request, End.CUT)
                if request.conn in self._conns:
                    self._drop(request.conn)
                    effects.append(Close(request.conn))
        self._out.clear()
        return effects

    def _end(self, now: int, request: Request | None, end: End, given_up: bool = False) -> None:
        assert request is not None and not request.over
        request.over = True
        self._live -= 1
        tally = self.tally
        tally.ends[end.value] += 1
        if end is End.SERVED or end is End.TIMED_OUT or given_up:
            tally.latency.add(now - request.due_us)
            if request.left_us >= 0:
                tally.service.add(now - request.left_us)

    def _drop(self, conn: int) -> None:
        held = self._conns.pop(conn)
        self._open[held.target] -= 1
        self._idle[held.target].pop(conn, None)

    def _next_waiting(self, target: int) -> Request | None:
        waiting = self._waiting[target]
        while waiting:
            request = waiting.popleft()
            if not request.over:
                return request
        return None

    def _room(self, now: int, target: int) -> list[Effect]:
        """A connection less is open: dial for one that was kept back."""
        request = self._next_waiting(target) if self._open[target] < self._cap else None
        return [] if request is None else [self._dial(now, request)]
