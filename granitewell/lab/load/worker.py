"""One process of the load tool: sockets, one epoll loop, the clock.

It owns descriptors and departures on time. It must never decide which request goes where (`flow` does) or
wait for anything but its next departure. Commands come as JSON lines on standard input, results go out as
JSON lines on standard output; when its input ends, so does it.

Departures: with nothing to do the loop sleeps until 150 microseconds before the next departure, by select(2)
on the epoll descriptor, since epoll's own time-outs are whole milliseconds in Python; the rest of the time it
looks without waiting. It sleeps at all because a loop that never does uses up its share of a busy machine's
CPU and is then put aside for milliseconds at a time. Between any two events of one look it sees whether a
departure is due, so that is late by at most one event's handling, or by what the machine takes away.
"""

from __future__ import annotations

import errno
import gc
import json
import os
import select
import signal
import socket
import sys
import time
from typing import Any

import msgspec

from granitewell.lab.load.counts import End, packed
from granitewell.lab.load.flow import Close, Dial, Effect, Flow, Request, Write
from granitewell.lab.load.plan import Plan, Step
from granitewell.lab.load.preflight import raise_limit
from granitewell.lab.load.schedule import arrivals
from granitewell.lab.load.verdict import LATE_US
from granitewell.lab.load.wire import Answer, Heads, end_of

SPIN_US = 150  # the kernel may wake a sleeper of up to 50 ms by 50 microseconds late, and waking takes time
MAX_SLEEP_US = 50_000
MAX_IN_A_ROW = 32  # departures between two looks at the sockets, however many are due
_IN, _OUT = select.EPOLLIN, select.EPOLLOUT
# these say that this machine has no more to give, not that the target refused
_OWN = (errno.EMFILE, errno.ENFILE, errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.ENOBUFS, errno.ENOMEM)


def now_us() -> int:
    """The machine's monotonic clock, the same in all processes."""
    return time.monotonic_ns() // 1000


class Lines:
    """JSON lines from a descriptor; None stands for its end."""

    def __init__(self, fd: int) -> None:
        self._fd, self._rest = fd, b""
        self._ready: list[Any] = []

    def read(self) -> list[Any]:
        """What one read brings; it waits where nothing is there."""
        data = os.read(self._fd, 1 << 16)
        *lines, self._rest = (self._rest + data).split(b"\n")
        return [json.loads(line) for line in lines] + ([] if data else [None])

    def wait(self) -> Any:
        """The next one."""
        while not self._ready:
            self._ready = self.read()
        return self._ready.pop(0)


class _Conn:
    __slots__ = ("answer", "dialling", "number", "rest", "sock")

    def __init__(self, number: int, sock: socket.socket) -> None:
        self.number, self.sock = number, sock
        self.answer = Answer()
        self.rest = b""  # of the request, not yet written
        self.dialling = True


class Worker:
    """Runs one step after the other."""

    def __init__(self, plan: Plan, number: int, commands: Lines) -> None:
        self._plan, self._number = plan, number
        self._flow = Flow(len(plan.targets), plan.connections, plan.timeout_us)
        self._heads = Heads(plan, number)
        self._epoll = select.epoll()
        self._ready = [self._epoll]
        self._conns: dict[int, _Conn] = {}
        self._by_fd: dict[int, _Conn] = {}
        self._closing: list[socket.socket] = []
        self._commands = commands
        self._epoll.register(0, _IN)
        self._looked_us = 0
        self._stopped = False

    # --- Commands ---
    def serve(self) -> None:
        """Play the steps that are asked for, until standard input ends."""
        while (command := self._commands.wait()) is not None:
            if "step" in command and not self._stopped:
                self._play(msgspec.convert(command["step"], Step), command["start_us"])
            self._stopped = self._stopped or "stop" in command

    def _play(self, step: Step, start_us: int) -> None:
        flow = self._flow
        flow.begin(arrivals(self._plan, step, self._number), start_us)
        self._looked_us = now_us()
        while not flow.done:
            self._turn()
        flow.tally.span_us = max(now_us() - start_us, 1)
        told = {"done": step.number, "stopped": self._stopped, "tally": packed(flow.tally)}
        print(json.dumps(told), flush=True)

    def _commanded(self) -> None:
        """Bytes on standard input during a step: it is to stop, or nobody is left to hear of it."""
        for command in self._commands.read():
            if command is None:
                sys.exit(0)
            self._stopped = self._stopped or "stop" in command
        if self._stopped:
            self._run(self._flow.stop(now_us()))

    # --- The loop ---
    def _turn(self) -> None:
        flow = self._flow
        before = now_us()
        wait_us = min(flow.next_us, flow.expiry_us) - before
        sleeps = wait_us > SPIN_US
        if sleeps:
            select.select(self._ready, (), (), min(wait_us - SPIN_US, MAX_SLEEP_US) / 1e6)
        events = self._epoll.poll(0)
        woke = now_us()
        self._count_reads(len(events), (before if sleeps else woke) - self._looked_us)
        self._looked_us = woke
        due = flow.tally.due
        for fd, mask in events:
            self._event(fd, mask)
            if flow.next_us <= (now := now_us()):
                self._run(flow.depart(now))
        self._depart()
        if events or flow.tally.due > due:
            # a look that found something took part in the work; a sleep did not
            flow.tally.busy_us += now_us() - (woke if sleeps else before)

    def _count_reads(self, events: int, blind_us: int) -> None:
        """blind_us: since the last look at the sockets; what was found now may have lain there so long."""
        tally = self._flow.tally
        tally.reads += events
        if blind_us > LATE_US:
            tally.late_reads += events

    def _depart(self) -> None:
        flow = self._flow
        now = now_us()
        for _ in range(MAX_IN_A_ROW):
            if flow.next_us > now:
                break
            self._run(flow.depart(now))
            now = now_us()
        if flow.expiry_us <= now:
            self._run(flow.expire(now))
        for sock in self._closing:
            sock.close()
        self._closing.clear()

    def _event(self, fd: int, mask: int) -> None:
        conn = self._by_fd.get(fd)
        if conn is None:
            if fd == 0:
                self._commanded()
        elif conn.dialling:
            self._came_up(conn)
        elif mask & ~_OUT:
            self._read(conn)
        else:
            self._write(conn, conn.rest)

    # --- Effects ---
    def _run(self, effects: list[Effect]) -> None:
        for effect in effects:
            if type(effect) is Write:
                conn = self._conns[effect.conn]
                conn.answer.next()
                self._write(conn, self._bytes(effect.request), first=True)
            elif type(effect) is Dial:
                self._dial(effect.conn, effect.request)
            elif type(effect) is Close:
                self._forget(self._conns[effect.conn])

    def _bytes(self, request: Request) -> bytes:
        return self._heads.bytes_of(request, request.due_us + self._plan.timeout_us - now_us())

    def _dial(self, number: int, request: Request) -> None:
        target = self._plan.targets[request.target]
        try:
            sock = socket.socket(socket.AF_INET6 if ":" in target.host else socket.AF_INET)
        except OSError as error:
            self._run(self._flow.undialled(now_us(), number, errno.errorcode.get(error.errno or 0, "")))
            return
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn = self._conns[number] = self._by_fd[sock.fileno()] = _Conn(number, sock)
        conn.rest = self._bytes(request)
        self._epoll.register(sock.fileno(), _OUT)
        failed = sock.connect_ex((target.host, target.port))
        if failed not in (0, errno.EINPROGRESS):
            self._undialled(conn, failed)

    def _came_up(self, conn: _Conn) -> None:
        failed = conn.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failed:
            self._undialled(conn, failed)
            return
        conn.dialling = False
        self._flow.connected(conn.number)
        self._epoll.modify(conn.sock.fileno(), _IN)
        self._write(conn, conn.rest)

    def _undialled(self, conn: _Conn, failed: int) -> None:
        self._forget(conn)
        own = errno.errorcode[failed] if failed in _OWN else ""
        self._run(self._flow.undialled(now_us(), conn.number, own))

    def _write(self, conn: _Conn, data: bytes, first: bool = False) -> None:
        try:
            sent = conn.sock.send(data)
        except BlockingIOError:
            sent = 0
        except OSError:
            # on a connection that stood idle, nothing of the request has gone out
            self._ended(conn, clean=first)
            return
        if sent < len(data) or conn.rest:
            conn.rest = data[sent:]
            self._epoll.modify(conn.sock.fileno(), _IN | _OUT if conn.rest else _IN)

    def _read(self, conn: _Conn) -> None:
        try:
            data = conn.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            self._ended(conn, clean=False)
            return
        flow, answer = self._flow, conn.answer
        if not data:
            if answer.began and not answer.whole and answer.end():
                self._run(flow.answered(now_us(), conn.number, end_of(answer.status), False))
            else:
                self._ended(conn, clean=True)
            return
        if answer.whole:  # nobody asked for this
            self._ended(conn, clean=False)
            return
        try:
            whole = answer.feed(data)
        except ValueError:
            flow.tally.garbage += 1
            self._run(flow.answered(now_us(), conn.number, End.FAILED, False))
            return
        if whole:
            # an answer ahead of the whole request leaves the connection out of step
            keep = answer.keep and not conn.rest
            self._run(flow.answered(now_us(), conn.number, end_of(answer.status), keep))

    def _ended(self, conn: _Conn, clean: bool) -> None:
        self._forget(conn)
        self._run(self._flow.ended(now_us(), conn.number, clean, conn.answer.began and not conn.answer.whole))

    def _forget(self, conn: _Conn) -> None:
        """Closed at the turn's end: a new socket must not get a number that this look's events still name."""
        del self._conns[conn.number], self._by_fd[conn.sock.fileno()]
        self._epoll.unregister(conn.sock.fileno())
        conn.answer.release()
        self._closing.append(conn.sock)


def main() -> None:
    """`python -m granitewell.lab.load.worker`, started by `crew`: plan and number come first."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)  # the parent tells when to stop
    commands = Lines(0)
    first = commands.wait()
    raise_limit()
    worker = Worker(msgspec.convert(first["plan"], Plan), first["number"], commands)
    # no collection in the middle of a step: the only cycle, of an answer and its parser, is cut by hand
    gc.collect()
    gc.freeze()
    gc.disable()
    print(json.dumps({"ready": os.getpid()}), flush=True)
    worker.serve()


if __name__ == "__main__":
    main()
