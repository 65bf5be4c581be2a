"""Announcement interval of a control node with replicas; edges wait for it after a power loss."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from granitewell.controlplane.ownership.processes import ANNOUNCEMENT_INTERVAL_S
from granitewell.nodes import control_messages
from granitewell.nodes.control_messages import (
    STARTUP_ANNOUNCEMENT_INTERVAL_S,
    STARTUP_PERIOD_S,
    ControlMessages,
)
from granitewell.rpc.messages import EdgeCount, decode
from granitewell.rpc.transport import Method
from tests.coordination import virtual_loop

OWN, GATEWAY = "10.0.0.1:7660", "10.0.0.9:7660"
JOINED_AFTER_S = 1.05
SECONDS = STARTUP_PERIOD_S + 5 * ANNOUNCEMENT_INTERVAL_S


def announced_at(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Return the times of announcements to a gateway, in seconds since the start."""
    told: list[float] = []

    async def play() -> None:
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(control_messages, "time", SimpleNamespace(monotonic=loop.time))
        began_at = loop.time()

        def send(method: Method, payload: bytes) -> None:
            count = decode(EdgeCount, payload)
            assert method is Method.EDGES and count.address == OWN
            assert count.has_members is joined()
            told.append(loop.time() - began_at)

        def joined() -> bool:
            return loop.time() - began_at >= JOINED_AFTER_S

        claimant: Any = SimpleNamespace(node_name="core-1", incarnation="i", address=OWN)
        edges: Any = SimpleNamespace(local_count=lambda _: 0)
        peers: Any = {GATEWAY: SimpleNamespace(send=send)}
        made = ControlMessages(claimant, peers, {}, SimpleNamespace(), edges, {})  # type: ignore[arg-type]
        task = asyncio.create_task(made.announce(lambda: [OWN, GATEWAY], joined))
        await asyncio.sleep(SECONDS)
        task.cancel()

    virtual_loop.run(play())
    return told


def test_a_started_node_announces_itself_often_and_then_each_second(monkeypatch: pytest.MonkeyPatch) -> None:
    times = announced_at(monkeypatch)
    pauses = [later - earlier for earlier, later in zip([0.0, *times], times, strict=False)]
    fast = [pause for at, pause in zip(times, pauses, strict=True) if at <= STARTUP_PERIOD_S]
    assert max(fast) <= STARTUP_ANNOUNCEMENT_INTERVAL_S + 0.01
    assert len(fast) >= 0.9 * STARTUP_PERIOD_S / STARTUP_ANNOUNCEMENT_INTERVAL_S
    slow = [
        pause
        for at, pause in zip(times, pauses, strict=True)
        if at > STARTUP_PERIOD_S + ANNOUNCEMENT_INTERVAL_S
    ]
    assert slow and min(slow) >= ANNOUNCEMENT_INTERVAL_S - 0.01
