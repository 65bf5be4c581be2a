"""The program with a planted defect: `python -m granitewell.lab.fleet.planted NAME`.

It owns how a defect is put in place of what is right, in its own process alone; everything else is the
program as it is. It must never be imported by anything that serves. The modules that it changes are of rooms
that the lab may not import: they are found by name.
"""

from __future__ import annotations

import importlib
import sys
import time
from collections.abc import Callable
from typing import Any

from granitewell.lab.cluster.counts_plants import PLANTS as COUNTS
from granitewell.lab.cluster.counts_plants import planted as planted_counts
from granitewell.lab.cluster.membership_plants import PLANTS as MACHINE
from granitewell.lab.cluster.membership_plants import planted

DISK_S = 2.0  # for a write, on a disk that is slow


def _cluster() -> Any:
    return importlib.import_module("granitewell.net.cluster")


def _peers() -> Any:
    return importlib.import_module("granitewell.net.peers")


def _leave_late() -> None:
    shell = _cluster()
    gone, leave = shell.Cluster.shut_down, shell.Cluster._leave

    async def late(self: Any) -> None:
        if self.state is shell.ProcessState.ACTIVE:
            leave(self)
        await gone(self)

    shell.Cluster._leave = lambda self: None
    shell.Cluster.shut_down = late


def _former(goes_on: bool) -> Callable[[], None]:
    def plant() -> None:
        shell = _cluster()
        right = shell.PreviousProcess
        shell.PreviousProcess = lambda gen, birth, inc, seq, _: right(gen, birth, inc, seq, goes_on)

    return plant


def _budget_up() -> None:
    census = importlib.import_module("granitewell.cluster.size_estimate")
    census.SizeEstimator._upper_bound = lambda self: max(self._count_in(census.Presence.UP), 1)


def _half_sent() -> None:
    peers = _peers()

    async def write(self: Any, queue: Any, sock: Any) -> None:
        try:
            while queue.frames and queue.conn is sock:
                frame = queue.frames.popleft()
                queue.bytes -= len(frame)
                self.counts["streamed"] += 1
                await self._loop.sock_sendall(sock, frame)
        except OSError:
            if queue.conn is sock:
                self._close_outbound(queue)
        finally:
            queue.writing = False

    peers.PeerTransport._write = write


def _one_lane() -> None:
    peers = _peers()
    asyncio = importlib.import_module("asyncio")
    right, lanes = peers.PeerTransport._write, dict[int, Any]()

    async def write(self: Any, queue: Any, sock: Any) -> None:
        async with lanes.setdefault(id(self), asyncio.Lock()):
            await right(self, queue, sock)

    peers.PeerTransport._write = write


def _slow_disk() -> None:
    kept = importlib.import_module("granitewell.durable_folder")
    right = kept.DurableFolder.write

    def write(self: Any, data: bytes) -> str:
        time.sleep(DISK_S)
        return str(right(self, data))

    kept.DurableFolder.write = write


def _disk_in_loop() -> None:
    _slow_disk()
    book = importlib.import_module("granitewell.net.disk_writer").DiskWriter

    def write(self: Any, data: bytes) -> None:
        self._durable_folder.write(data)

    book.write = write


SHELL: dict[str, Callable[[], None]] = {
    "leave-late": _leave_late, "former-life": _former(True), "budget-up": _budget_up,
    "upgrade-death": _former(False), "half-sent": _half_sent, "one-lane": _one_lane,
    "slow-disk": _slow_disk, "disk-in-loop": _disk_in_loop,
}  # fmt: skip


def main() -> int:
    """The program, with the defect that the first argument names."""
    name = sys.argv[1]
    program = importlib.import_module("granitewell.__main__")
    for plants, put in ((MACHINE, planted), (COUNTS, planted_counts)):
        if name in plants:
            with put(name):
                return int(program.main())
    SHELL[name]()
    return int(program.main())


if __name__ == "__main__":
    sys.exit(main())
