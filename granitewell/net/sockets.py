"""Small helpers of one socket, which several modules of this room need.

It owns how a connection is made, looked at and ended. It must never wait, or know whose socket it is.
"""

from __future__ import annotations

import contextlib
import select
import socket

READ_BUFFER_BYTES = 8 * 1024  # bytes read at a time, but for bodies that flow


def listen_on(address: tuple[str, int], backlog: int) -> socket.socket:
    """A socket that listens at this address."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind(address)
        sock.listen(backlog)
    except BaseException:
        sock.close()
        raise
    return sock


def new_tcp_socket(address: tuple[str, int]) -> socket.socket:
    """A socket for a connection to this address."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def is_readable(sock: socket.socket) -> bool:
    """Has the other side sent something, or closed? Looks without taking."""
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        pass
    return True


def peer_closed(sock: socket.socket) -> bool:
    """Has the other side closed, or reset the connection? Seen behind bytes that nobody has read, too."""
    with contextlib.suppress(OSError, ValueError):
        look = select.poll()
        look.register(sock, select.POLLRDHUP)
        return bool(look.poll(0))
    return True  # its descriptor is none any more


def close_socket(sock: socket.socket) -> None:
    """Close for good. A pending read of uvloop keeps the descriptor open, so the far side is told first."""
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
