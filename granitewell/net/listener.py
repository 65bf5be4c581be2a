"""The clients' listening socket, and when a young process may say that it is ready.

It owns the check of a socket that the platform holds for all processes of the node. It must never accept:
that is the loop's, which knows the budget of descriptors.
"""

from __future__ import annotations

import os
import socket
import time

from granitewell.config import Config, ConfigError
from granitewell.net.sockets import listen_on

BACKLOG = 1024
MIN_AGE_S = 0.6  # of a process under a CPU limit below one core before it is ready
MAX_STARTUP_DELAY_S = 2.0  # that a node puts off being ready, whatever its limit says


def open_listener(config: Config) -> socket.socket:
    """The clients' listener: bound here, or the platform's own. ConfigError: the descriptor is none."""
    if config.inherited < 0:
        return listen_on(config.listen, BACKLOG)
    field = f"LB_INHERITED_FD: descriptor {config.inherited}"
    try:
        listener = socket.socket(fileno=config.inherited)
    except OSError as error:
        raise ConfigError(f"{field} is no socket: {error.strerror}") from None
    if listener.type != socket.SOCK_STREAM or listener.family not in (socket.AF_INET, socket.AF_INET6):
        raise ConfigError(f"{field} is no TCP socket")
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise ConfigError(f"{field} does not listen")
    if listener.getsockname()[:2] != config.listen:
        host, port = listener.getsockname()[:2]
        raise ConfigError(f"{field} listens at {host}:{port}, not at {config.listen[0]}:{config.listen[1]}")
    listener.setblocking(False)
    return listener


def startup_delay_s(cpu_s: float, process_age_s: float, cores: float) -> float:
    """Seconds until the CPU that starting took is within what a limit under one core gives.

    A node that is ready before is stopped by that limit while its first requests wait, past the slack of
    their answers. The limit is kept over stretches of time, so a young process is stopped although its mean
    is within it.
    """
    return (
        min(max(cpu_s / cores, MIN_AGE_S) - process_age_s, MAX_STARTUP_DELAY_S) if cores < 1.0 else 0.0
    )  # under 0: none


def process_age_s() -> float:
    """Seconds since this process began."""
    with open("/proc/self/stat", "rb") as stat:
        ticks = int(stat.read().rpartition(b")")[2].split()[19])
    return time.clock_gettime(time.CLOCK_BOOTTIME) - ticks / os.sysconf("SC_CLK_TCK")
