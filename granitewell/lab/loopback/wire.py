"""Connections and listeners that can misbehave: stand still, reset, refuse, end one way, stay silent.

It owns descriptors of the stand-ins and what is still to be written on them. It must never know what the
bytes mean, or when anything is to happen. Everything is non-blocking and belongs to one asyncio loop.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import struct
from collections.abc import Callable

BUFFER = 64 * 1024  # bytes read at a time
BACKLOG = 1024
FILLERS = 4  # at most so many connections of our own until a backlog of 0 is full; one or two do
_RESET = struct.pack("ii", 1, 0)  # SO_LINGER on, for 0 s: closing resets


class Wire:
    """One TCP connection.

    `on_bytes(data)` gets what comes in; `on_end(reset)` is called once, when the other side has ended its
    sending (False) or broken the connection (True).
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> None:
        self._loop, self.sock = loop, sock
        self.on_bytes: Callable[[bytes], None] = lambda data: None
        self.on_end: Callable[[bool], None] = lambda reset: None
        self.on_written: Callable[[], None] | None = None  # once, when all that was to be written is out
        self.open = True
        self.ended = False  # the other side sends no more
        self._out = bytearray()
        self._last: str = ""  # what follows the last byte: "" nothing, `close`, `half`
        self._reads = self._writes = False  # whether the loop watches for it
        self._deaf = self._mute = False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def start(self) -> None:
        """Begin to read."""
        self._want()

    def write(self, data: bytes) -> None:
        """Write as much as goes, and the rest as room comes."""
        if self.open and not self._last:
            self._out += data
            if not self._mute:
                self._push()

    def end(self, reset: bool = False, half: bool = False) -> None:
        """Close behind what is still to be written; with a reset at once; `half`: end only our sending."""
        if not self.open:
            return
        if reset:
            with contextlib.suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            self._close()
        else:
            self._last = "half" if half else "close"
            if not self._mute:
                self._push()

    @property
    def hushed(self) -> bool:
        """Whether it stands still, one way or both."""
        return self._deaf or self._mute

    @property
    def end_is_in(self) -> bool:
        """Whether the other side's end has come in and waits to be read; one that stands still can't tell."""
        if self._deaf:
            return False
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

    @property
    def waiting(self) -> bool:
        """Whether something is still to be written."""
        return bool(self._out or self._last)

    def hush(self, reads: bool, writes: bool) -> None:
        """Stand still: nothing is read, or written, until it is lifted. The kernel goes on to acknowledge."""
        self._deaf, self._mute = reads, writes
        self._want()
        if self.open and not writes and self.waiting:
            self._push()

    def _want(self) -> None:
        reads = self.open and not self._deaf and not self.ended
        writes = self.open and not self._mute and bool(self._out)
        if reads != self._reads:
            self._reads = reads
            (self._loop.add_reader(self.sock, self._pull) if reads else self._loop.remove_reader(self.sock))
        if writes != self._writes:
            self._writes = writes
            (self._loop.add_writer(self.sock, self._push) if writes else self._loop.remove_writer(self.sock))

    def _pull(self) -> None:
        try:
            data = self.sock.recv(BUFFER)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._broken()
            return
        if data:
            self.on_bytes(data)
        else:
            self.ended = True
            self._want()
            self.on_end(False)

    def _push(self) -> None:
        try:
            while self._out:
                del self._out[: self.sock.send(self._out)]
        except (BlockingIOError, InterruptedError):
            pass
        except OSError:
            self._broken()
            return
        self._want()
        if self._out:
            return
        if self._last == "close":
            self._close()
        elif self._last == "half":
            with contextlib.suppress(OSError):
                self.sock.shutdown(socket.SHUT_WR)
        if self.on_written is not None:
            written, self.on_written = self.on_written, None
            written()

    def _broken(self) -> None:
        self._close()
        self._loop.call_soon(self.on_end, True)  # later: whoever writes does not expect to be called back

    def _close(self) -> None:
        if self.open:
            self.open = False
            self._want()
            self.sock.close()


class Listener:
    """A listening address that can be open, refuse, or stay silent so that connections never come up.

    Its port stays bound through all of them, so nobody else can take it: a socket that is bound but does not
    listen refuses, and one whose backlog of 0 is full lets the kernel drop every further SYN.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, host: str, port: int, on_conn: Callable[[socket.socket], None]
    ) -> None:
        """Bound, and refusing. OSError: the address can't be had."""
        self._loop, self.on_conn = loop, on_conn
        self._sock = _bound(host, port)
        self.address: tuple[str, int] = self._sock.getsockname()
        self._fillers: list[socket.socket] = []
        self.state = "refuses"

    def set(self, state: str) -> None:
        """`open`, `refuses` or `mute`. What waits in the backlog is taken before muting, and reset after."""
        if state == self.state:
            return
        was, self.state = self.state, state
        if was == "mute":
            self._unmute()
        if state == "open":
            self._sock.listen(BACKLOG)
            self._loop.add_reader(self._sock, self._accept)
        elif was == "open":
            self._accept()
            self._loop.remove_reader(self._sock)
        if state == "refuses" and was != "refuses":
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RD)
        elif state == "mute":
            self._mute()

    def close(self) -> None:
        """Give the address back."""
        self.set("refuses")
        self._sock.close()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._sock.accept()
            except OSError as error:
                if error.errno in (errno.EMFILE, errno.ENFILE):
                    raise
                return
            self.on_conn(sock)

    def _mute(self) -> None:
        self._sock.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)  # over loopback it is up when this returns, or the queue is full
            self._fillers.append(filler)
            if filler.connect_ex(self.address) != errno.EISCONN:
                return

    def _unmute(self) -> None:
        for filler in self._fillers:
            filler.close()
        self._fillers = []
        self._sock.setblocking(False)
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self._sock.accept()
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
                sock.close()


def _bound(host: str, port: int) -> socket.socket:
    """A socket bound to this address, or to a free port there.

    The port is asked for by its number in any case: one that the kernel chose would be given back when the
    socket stops listening. The probe stays open until then, or somebody else might be given the port in
    between.
    """
    sock, probe = socket.socket(), socket.socket()
    try:
        for each in (probe, sock):
            each.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        if port == 0:
            probe.bind((host, 0))
            port = probe.getsockname()[1]
        sock.bind((host, port))
    except OSError as error:
        sock.close()
        raise OSError(error.errno, f"{host}:{port}: {error.strerror}") from None
    finally:
        probe.close()
    return sock
