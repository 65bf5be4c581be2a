"""The edge role: the data plane, updated by long-polls to the control plane."""

from __future__ import annotations

import asyncio
from random import Random

import aiohttp

from granitewell.dataplane.edge import DataPlane
from granitewell.domain.settings import Settings
from granitewell.nodes.control_watch import ControlWatch, FallbackListReader
from granitewell.nodes.process import SettingsFile, Signals, follow_settings, run_process
from granitewell.rpc.messages import DemandReport, encode
from granitewell.rpc.translation import demand_to_message
from granitewell.rpc.transport import Method

DEMAND_INTERVAL_S = 1.0
MIN_DEMAND_INTERVAL_S = 0.05


class DemandReporter:
    """Reports demand to the control plane: immediately if a request waits, otherwise periodically."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        self._urgent = asyncio.Event()

    def urgent(self) -> None:
        """Trigger a report, because a request waits for a model."""
        self._urgent.set()

    async def run(self, plane: DataPlane, watch: ControlWatch) -> None:
        """Send reports until cancelled."""
        while True:
            try:
                async with asyncio.timeout(DEMAND_INTERVAL_S):
                    await self._urgent.wait()
            except TimeoutError:
                pass
            self._urgent.clear()
            demands = plane.take_demand()
            node = watch.nodes.current
            if demands and node is not None:
                report = DemandReport(
                    node=self._settings.node_name,
                    zone=self._settings.zone,
                    demands=[demand_to_message(demand) for demand in demands],
                    forwarded=False,
                )
                watch.peers[node].send(Method.DEMAND, encode(report))
            await asyncio.sleep(MIN_DEMAND_INTERVAL_S)


async def _serve(file: SettingsFile, signals: Signals) -> None:
    settings = file.settings
    reporter = DemandReporter(settings)
    plane = DataPlane(settings, Random(), on_demand=reporter.urgent)
    watch = ControlWatch(settings, plane)
    await plane.start()
    session = aiohttp.ClientSession(auto_decompress=False)
    fallback_reader = FallbackListReader(settings, watch, plane, Random())
    tasks = [
        asyncio.create_task(watch.run()),
        asyncio.create_task(reporter.run(plane, watch)),
        asyncio.create_task(fallback_reader.run(session)),
        asyncio.create_task(follow_settings(file, signals, watch.apply_settings)),
    ]
    await signals.stop.wait()
    plane.begin_drain()
    await plane.finish(file.settings.bounds.grace_s)
    for task in tasks:
        task.cancel()
    watch.peers.close()
    await session.close()


def main() -> int:
    """Run the process of the edge role; return its exit code."""
    return run_process(_serve)
