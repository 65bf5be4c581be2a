"""Servers whose process is paused for 90 ms of every 100 ms: no suspicion and no retries."""

from __future__ import annotations

import asyncio
import math

import pytest

from tests.dataplane.simulated_network import play_simulated
from tests.dataplane.standin import ReceivedRequest, scene

PERIOD_S = 0.1
RUNS_S = 0.01  # per period
REQUESTS = 120


def answers_when_it_runs(seen: ReceivedRequest) -> None:
    """Answer in the next 10 ms in which the process runs."""
    loop = asyncio.get_running_loop()
    phase = loop.time() % PERIOD_S
    wait_s = 0.0 if phase < RUNS_S else PERIOD_S - phase
    loop.call_later(wait_s, seen.answer)


@pytest.mark.parametrize("target", ["/once/x", "/again/x"])
def test_process_pause_causes_no_suspicion(target: str) -> None:
    async def run() -> None:
        async with scene(*[answers_when_it_runs] * 3) as s:
            s.fill_retry_budget()
            for _ in range(REQUESTS):
                assert (await s.call(target)).status == 200
                await asyncio.sleep(0.037)
            now = asyncio.get_running_loop().time()
            records = s.plane._dispatcher._services["plain"].records.values()
            assert len(records) == len(s.stand_ins)
            for record in records:
                assert record.consecutive_failures == 0 and record.ejected_until == -math.inf
                assert not record.suspicion.is_suspected(now, 0.5)
            assert sum(len(one.seen) for one in s.stand_ins) == REQUESTS

    play_simulated(run())
