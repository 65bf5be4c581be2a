"""The looks at what each node believes: its status door is asked, several times a second.

It owns the asking and the form of a look. It must never conclude anything: an answer that does not come is a
look with nothing in it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

PATIENCE_S = 2.0  # for an answer: the door gives a connection 5 s here
MOST = 4 * 1024 * 1024
ASK = b"GET /cluster HTTP/1.1\r\nHost: localhost\r\n\r\n"
ASK_COUNTS = b"GET /cluster/counts HTTP/1.1\r\nHost: localhost\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Look:
    """What one node believed at a time of the day (microseconds; negative before it has begun).

    Attributes:
        phase: None where the process is no member, or said nothing.
        up: Births by name.
        gone: States by name.
    """

    at_us: int
    node: str
    phase: str | None = None
    turn: str = ""
    life: int = 0
    most: int = 0
    acting: float = 0.0
    up: dict[str, str] = field(default_factory=dict)
    gone: dict[str, str] = field(default_factory=dict)
    suspects: int = 0
    health: int = 0
    twins: int = 0

    @property
    def whole(self) -> bool:
        """Whether the process is a member and has answered."""
        return self.phase == "in"


def look_of(at_us: int, node: str, view: dict[str, Any]) -> Look:
    """From a node's answer."""
    members = view["members"]
    return Look(
        at_us, node, view["phase"], view["turn"], view["life"] or 0, view["most"] or 0, view["up"] or 0.0,
        {m["name"]: m["birth"] for m in members if m["state"] in ("alive", "suspect")},
        {m["name"]: m["state"] for m in members if m["state"] not in ("alive", "suspect")},
        sum(m["state"] == "suspect" for m in members), view["health"] or 0, view["twins"],
    )  # fmt: skip


async def ask(path: str, asked: bytes = ASK) -> dict[str, Any] | None:
    """One answer of a status door, None where none comes."""
    loop = asyncio.get_running_loop()
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.setblocking(False)
    try:
        async with asyncio.timeout(PATIENCE_S):
            await loop.sock_connect(sock, path)
            await loop.sock_sendall(sock, asked)
            raw = bytearray()
            while len(raw) < MOST and (more := await loop.sock_recv(sock, 256 * 1024)):
                raw += more
        head, _, body = bytes(raw).partition(b"\r\n\r\n")
        if head.startswith(b"HTTP/1.1 200"):
            made: dict[str, Any] = json.loads(body)
            return made
    except (OSError, TimeoutError, ValueError):
        pass
    finally:
        sock.close()
    return None


class StatusPoller:
    """All doors of a run, asked the same in turn, each so often.

    Attributes:
        saw: Takes node, time and answer, None where none came; an answer of another form is passed over.
    """

    def __init__(
        self, paths: dict[str, str], every_s: float, now: Callable[[], int],
        saw: Callable[[str, int, dict[str, Any] | None], None], asked: bytes = ASK,
    ) -> None:  # fmt: skip
        self._paths, self._every_s, self._now, self._saw, self._asked = paths, every_s, now, saw, asked
        self._tasks: list[asyncio.Task[None]] = []

    def begin(self) -> None:
        """Ask from now on; the nodes' turns are spread over the time."""
        for k, (node, path) in enumerate(self._paths.items()):
            first_s = self._every_s * k / len(self._paths)
            self._tasks.append(asyncio.get_running_loop().create_task(self._ask(node, path, first_s)))

    async def _ask(self, node: str, path: str, first_s: float) -> None:
        await asyncio.sleep(first_s)
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            view = await ask(path, self._asked)
            with contextlib.suppress(LookupError, TypeError, AttributeError):  # an answer that is none
                self._saw(node, self._now(), view)
            due = max(due + self._every_s, loop.time())
            await asyncio.sleep(due - loop.time())

    def end(self) -> None:
        """Ask no more."""
        for task in self._tasks:
            task.cancel()
        self._tasks = []
