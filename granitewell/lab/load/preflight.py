"""What this machine and the targets give, asked before anything starts.

It owns the checks that end a run ahead of its first request. It must never send one. `PreflightError` becomes
exit code 3.
"""

from __future__ import annotations

import os
import resource
import socket
import time
from collections.abc import Sequence
from pathlib import Path

from granitewell.lab.load.plan import Target

SPARE = 32  # descriptors of one worker beside its connections
REACH_S = 2.0
LOOK_S = 0.1


class PreflightError(Exception):
    """One line: what is missing, and which option or limit it concerns."""


def resolved(targets: Sequence[Target]) -> tuple[Target, ...]:
    """The same with numeric addresses, each of which took a connection just now."""
    return tuple(_reach(target) for target in targets)


def _reach(target: Target) -> Target:
    try:
        with socket.create_connection((target.host, target.port), REACH_S) as sock:
            return Target(str(sock.getpeername()[0]), target.port)
    except OSError as error:
        raise PreflightError(f"--target: nobody at {target}: {error.strerror or error}") from None


def connections(asked: int | None, workers: int) -> int:
    """Open connections that each worker may have.

    Its part of `asked`, or as many as 4096 and the limit on descriptors allow. The workers raise their soft
    limit to the hard one.
    """
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    room = (1 << 20 if hard == resource.RLIM_INFINITY else hard) - SPARE
    share = (4096 if asked is None else asked) // workers
    if asked is None:
        share = min(share, room)
    if share > room or room < 1:
        raise PreflightError(
            f"--connections: {asked or 1} over {workers} processes needs {share + SPARE} descriptors each; "
            f"the limit is {hard} (ulimit -Hn)"
        )
    return share


def raise_limit() -> None:
    """All the descriptors that this process may have."""
    hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))


def folder(path: str | None) -> Path | None:
    """The directory for files, made and tried by writing to it."""
    if path is None:
        return None
    made = Path(path)
    try:
        made.mkdir(parents=True, exist_ok=True)
        probe = made / f".probe-{os.getpid()}"
        probe.write_bytes(b"x")
        probe.unlink()
    except OSError as error:
        raise PreflightError(f"--hdr: can't write in {path}: {error.strerror}") from None
    return made


def quiet_cpus() -> list[int]:
    """The CPUs that this process may use, those least busy in the last tenth of a second first."""
    allowed = sorted(os.sched_getaffinity(0))
    before = _idle_ticks()
    time.sleep(LOOK_S)
    after = _idle_ticks()
    return sorted(allowed, key=lambda cpu: (before.get(cpu, 0) - after.get(cpu, 0), cpu))


def _idle_ticks() -> dict[int, int]:
    """Idle time of each CPU, from proc(5)'s `stat`; empty where that can't be read."""
    try:
        lines = Path("/proc/stat").read_text().splitlines()
    except OSError:
        return {}
    cells = [line.split() for line in lines if line.startswith("cpu") and line[3:4].isdigit()]
    return {int(cell[0][3:]): int(cell[4]) + int(cell[5]) for cell in cells}
