"""What a node's status costs: how long a look holds up the loop, and how much of the core it takes.

    python benchmarks/status_cost.py [TIMES]

A real core and module hold fleets of 12 to 12,000 endpoints and three classes, with one endpoint in fifty ill
for one class, 20,000 requests held and a call out for each (a node's descriptors allow some 700), and a Door
answers on a unix socket. `look`: CPU of one look and its bytes, over TIMES of them (20), JSON and metrics in
turn. `step`: the pieces of work between two turns of the loop, CPU and, with what else the machine does, by
the clock. `turn`: the longest time between two turns, without and with a client that asks for the status as
fast as it gets it; by the clock it holds what the machine does besides. `share`: of the core, what looks take
where somebody asks all the time, by the rest after each. Prints a Markdown table with the load average.
"""

from __future__ import annotations

import asyncio
import gc
import os
import sys
import tempfile
import time
from dataclasses import dataclass

import uvloop

from granitewell import core as c
from granitewell.balancing.balancer import Balancer
from granitewell.balancing.interface import Effect, RequestClass, Settings, State, View
from granitewell.config import Config
from granitewell.net import status
from granitewell.net.logs import CLOCK_ORIGIN_US, Log
from granitewell.net.loop import Node
from granitewell.status import snapshot, wire
from granitewell.status.types import MAX_TABLE_ROWS, StatusSettings

FLEETS = 12, 300, 3000, 12_000
WORST = 50, MAX_TABLE_ROWS
HELD = 20_000
ASKING_S = 3.0


def config(sockets: int = 1024) -> Config:
    """The settings of a site with three classes."""
    effects = Effect.SAFE, Effect.UNSAFE, Effect.SAFE
    classes = tuple(RequestClass(500.0, 60_000.0, effect) for effect in effects)
    settings = Settings(classes, 3, 5, 1000.0, 0.12, 23_000.0, 3.0, 1000.0, parallel_tries=True)
    names = "taxi-lookup", "ride-assign", "ride-quote"
    return Config("n0", ("127.0.0.1", 0), ("127.0.0.1", 1), 7, 1.0, sockets, {}, settings, names, effects, (),
                  ("ankara-1", "izmir-1"), ("standard",), (), 250_000, 10_000_000, HELD)  # fmt: skip


def filled(fleet: int) -> tuple[c.Core, Config]:
    """A core with such a fleet, one endpoint in fifty ill for the first class."""
    made = config()
    core = c.Core(made.settings, Balancer(made.settings, 7), HELD)
    now = CLOCK_ORIGIN_US
    members = tuple(
        c.DiscoveredEndpoint(b"10.%d.%d.%d:9000" % (k >> 16, k >> 8 & 255, k & 255), ("10.0.0.1", 9000),
                             k % 2, 0, 0, State.READY, 1.0, 0)
        for k in range(fleet)
    )  # fmt: skip
    core.handle(now, c.Listening())
    core.handle(now, c.EndpointListUpdate(View.FULL, members))
    balancer = core._balancer
    assert isinstance(balancer, Balancer)
    for server in balancer._ready_hosts[::50]:
        (
            server.class_health[0].failure_ratio,
            server.class_health[0].failure_ratio_at_ms,
            server.class_health[0].unhealthy_since_ms,
        ) = 0.9, now / 1000, now / 1000
    for k in range(HELD):  # each with a call out, more than a node's descriptors would allow
        core.handle(now + k * 50, c.RequestReceived(k, k % 3, 0, 0, 60_000_000, None))
    return core, made


def steps(node: Node, worst: int, times: int) -> list[tuple[float, float]]:
    """How long each step takes in ms, CPU and by the clock: looks without a loop."""
    took: list[tuple[float, float]] = []
    for n in range(times):
        now = node.clock.read_now()
        seen = snapshot.take_snapshot(
            node._core, status.socket_counts(node), status.node_info(node), now, MAX_TABLE_ROWS
        )
        asked = wire.StatusRequest((wire.STATUS_PATH, wire.METRICS_PATH)[n % 2], worst)
        driven(wire.response_body(asked, driven(seen, took)), took)
    return took


def driven(steps: snapshot.Steps[snapshot.T], took: list[tuple[float, float]]) -> snapshot.T:
    """To the end, noting each step's time."""
    while True:
        began = time.thread_time_ns(), time.perf_counter_ns()
        try:
            next(steps)
        except StopIteration as done:
            result: snapshot.T = done.value
            return result
        finally:
            cpu, clock = time.thread_time_ns() - began[0], time.perf_counter_ns() - began[1]
            took.append((cpu / 1e6, clock / 1e6))


@dataclass
class Turns:
    """The longest time between two turns of the loop in ms, by the clock and in CPU of the thread."""

    clock: float = 0.0
    cpu: float = 0.0
    over: bool = False

    async def watch(self) -> None:
        """Be called each turn."""
        clock, cpu = time.perf_counter_ns(), time.thread_time_ns()
        while not self.over:
            await asyncio.sleep(0)
            now, spent = time.perf_counter_ns(), time.thread_time_ns()
            self.clock, clock = max(self.clock, (now - clock) / 1e6), now
            self.cpu, cpu = max(self.cpu, (spent - cpu) / 1e6), spent


async def asking(node: Node, worst: int) -> tuple[Turns, Turns, float]:
    """The turns without and with a client that asks without a pause; answers a second."""
    quiet, busy = Turns(), Turns()
    with tempfile.TemporaryDirectory() as folder:
        status.serve_status(node, StatusSettings(at=f"{folder}/s", worst=worst))
        for turns, job in (quiet, asyncio.sleep(1.0)), (busy, fetching(f"{folder}/s")):
            watching = asyncio.create_task(turns.watch())
            answers = await job or 0
            turns.over = True
            await watching
        status.serve_status(node, StatusSettings())
    return quiet, busy, answers / ASKING_S


async def fetching(path: str) -> int:
    """Ask until the time is up; how many answers came."""
    end, answers = time.monotonic() + ASKING_S, 0
    while time.monotonic() < end:
        reader, writer = await asyncio.open_unix_connection(path)
        writer.write(b"GET /status HTTP/1.1\r\nHost: n\r\n\r\n")
        answers += b" 200 " in await reader.readline()
        while await reader.read(65536):
            pass
        writer.close()
    return answers


def measured(fleet: int, worst: int, times: int) -> str:
    """One row."""
    core, made = filled(fleet)
    gc.collect()
    gc.freeze()  # as the node does after its start
    gc.set_threshold(20_000, 20, 20)

    async def scenario() -> list[str]:
        node = Node(made, core, asyncio.get_running_loop())
        node.log = Log("n0", os.open(os.devnull, os.O_WRONLY))
        took = steps(node, worst, times)
        cpu, clock = sorted(x for x, _ in took), sorted(x for _, x in took)
        whole, at = sum(cpu) / times, len(took) * 99 // 100
        share = whole / (whole + min(whole * status.REST_RATIO, status.MAX_REST_US / 1000))
        quiet, busy, answers = await asking(node, worst)
        return [f"{whole:.1f}", f"{len(took) / times:.0f}", f"{cpu[at]:.2f}, {cpu[-1]:.2f}",
                f"{clock[at]:.2f}, {clock[-1]:.2f}", f"{quiet.cpu:.1f}, {busy.cpu:.1f}",
                f"{quiet.clock:.1f}, {busy.clock:.1f}", f"{answers:.0f}",
                f"{share:.0%}"]  # fmt: skip

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        cells = runner.run(scenario())
    gc.unfreeze()
    return f"| {fleet} | {worst} | {' | '.join(cells)} | {os.getloadavg()[0]:.1f} |"


def main() -> None:
    """Measure and print the table."""
    times = int(sys.argv[1]) if len(sys.argv) > 1 else 20
    print("| endpoints | rows | look, CPU (ms) | steps | step p99, max, CPU (ms) | "
          "step p99, max, clock (ms) | turn max, quiet and asked, CPU (ms) | the same, clock (ms) | "
          "answers a second | share | load average |\n|" + " --- |" * 11)  # fmt: skip
    for fleet in FLEETS:
        for worst in WORST:
            print(measured(fleet, worst, times), flush=True)


if __name__ == "__main__":
    main()
