"""The clients' listening socket, and how long a new process delays being ready.

Accepting connections is the job of `downstream`, which knows the budget of descriptors.
"""

from __future__ import annotations

import os
import socket
import time

from granitewell.config import Config, ConfigError
from granitewell.net.sockets import listen_on

BACKLOG = 1024
MIN_AGE_S = 0.6  # before a process with a CPU limit below one core is ready
MAX_STARTUP_DELAY_S = 2.0  # upper bound, whatever the CPU limit


def open_listener(config: Config) -> socket.socket:
    """Return the clients' listener: bound here, or inherited from the platform.

    Raises:
        ConfigError: The inherited descriptor is not a socket that listens at the configured address.
        OSError: The address can't be bound.
    """
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


def startup_delay_s(cpu_s: float, age_s: float, cores: float) -> float:
    """Return the seconds until the CPU time spent on starting fits a CPU limit below one core.

    Such a limit is enforced over short periods. A node that is ready too early is throttled while its first
    requests wait, longer than the slack of their deadlines; this happens to a young process even if its mean
    use is within the limit. Zero or less means no delay.
    """
    return min(max(cpu_s / cores, MIN_AGE_S) - age_s, MAX_STARTUP_DELAY_S) if cores < 1.0 else 0.0


def process_age_s() -> float:
    """Return the seconds since this process was started."""
    with open("/proc/self/stat", "rb") as stat:
        ticks = int(stat.read().rpartition(b")")[2].split()[19])
    return time.clock_gettime(time.CLOCK_BOOTTIME) - ticks / os.sysconf("SC_CLK_TCK")
