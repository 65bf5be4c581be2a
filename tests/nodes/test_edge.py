"""The edge role as a process: signals, and requests in flight during them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from typing import Any

import pytest

from granitewell.dataplane.edge import DataPlane
from granitewell.domain.settings import Settings
from granitewell.nodes import edge
from granitewell.nodes.process import Signals
from tests.dataplane.standin import ReceivedRequest, Scene, StandIn, configuration, read_message, settings

MAX_S = 10.0


@dataclass
class File:
    """Fake settings file that changes on demand."""

    settings: Settings
    changed: Settings | None = None

    def reload(self, force: bool = False) -> Settings | None:
        """Return the new settings once."""
        if not force or self.changed is None:
            return None
        self.settings, self.changed = self.changed, None
        return self.settings


async def readiness(port: int) -> int:
    """Return the readiness status; 0 if the connection is refused."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except ConnectionError:
        return 0
    writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
    answer = await read_message(reader)
    writer.close()
    return answer.status if answer is not None else 0


def test_signals_end_no_request_and_sigterm_ends_readiness_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    planes: list[DataPlane] = []

    def made(*given: Any, **named: Any) -> DataPlane:
        planes.append(DataPlane(*given, **named))
        return planes[0]

    monkeypatch.setattr(edge, "DataPlane", made)
    monkeypatch.setattr("granitewell.dataplane.edge.LISTEN_AFTER_DRAIN_S", 0.05)

    async def run() -> None:
        release = asyncio.Event()

        async def behaviour(seen: ReceivedRequest) -> None:
            await release.wait()
            seen.answer()

        server = StandIn("s0", behaviour)
        await server.start()
        file, signals = File(settings()), Signals()
        role = asyncio.create_task(edge._serve(file, signals))  # type: ignore[arg-type]
        while not planes or not planes[0].ready_port:
            await asyncio.sleep(0)
        plane = planes[0]
        assert await readiness(plane.ready_port) == 503  # no configuration yet
        s = Scene(plane, [server])
        plane.apply_configuration(configuration())
        s.register_servers()
        assert await readiness(plane.ready_port) == 200
        call = asyncio.create_task(s.call("/once/x"))
        while not server.seen:
            await asyncio.sleep(0)
        file.changed = replace(file.settings, seeds=("127.0.0.1:2",))
        signals.reload.set()
        while file.changed is not None:
            await asyncio.sleep(0)
        assert not call.done() and await readiness(plane.ready_port) == 200
        signals.stop.set()
        await asyncio.sleep(0)
        assert not plane.ready and await readiness(plane.ready_port) == 503
        release.set()
        assert (await call).status == 200
        await role
        assert await readiness(plane.ready_port) == 0
        server.close()

    asyncio.run(asyncio.wait_for(run(), MAX_S))
