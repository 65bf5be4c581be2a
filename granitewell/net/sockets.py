"""Helpers for a single non-blocking socket; none of them waits."""

from __future__ import annotations

import contextlib
import select
import socket

READ_BUFFER_BYTES = 8 * 1024  # read at a time, except from streamed bodies


def listen_on(address: tuple[str, int], backlog: int) -> socket.socket:
    """Return a socket that listens at this address."""
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
    """Return an unconnected TCP socket of the address's family."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def is_readable(sock: socket.socket) -> bool:
    """Return whether the other side has sent data or closed the connection; consumes nothing."""
    try:
        sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return False
    except OSError:
        pass
    return True


def peer_closed(sock: socket.socket) -> bool:
    """Return whether the other side has closed or reset the connection, even behind unread data."""
    with contextlib.suppress(OSError, ValueError):
        look = select.poll()
        look.register(sock, select.POLLRDHUP)
        return bool(look.poll(0))
    return True  # the socket is closed already


def close_socket(sock: socket.socket) -> None:
    """Close a connection for good.

    A pending read of uvloop keeps the descriptor open after `close`, so `shutdown` tells the other side
    first.
    """
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
    sock.close()
