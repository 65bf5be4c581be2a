"""Cost of a node's status: how long a snapshot blocks the event loop, and its share of a CPU core.

    python benchmarks/status_cost.py [TIMES]

A real core and balancer hold fleets of 12 to 12,000 endpoints and three classes, with one endpoint in fifty
unhealthy for one class, 20,000 open requests with a call for each (a node's descriptors allow some 700), and
the status server answers on a unix socket. `look`: CPU time of one snapshot and its serialization, over TIMES
of them (20), JSON and metrics in turn. `step`: the pieces of work between two turns of the loop, as CPU and
wall-clock time. `turn`: the longest time between two turns, without and with a client that requests the
status continuously. Wall-clock times include other load on the machine. `share`: the part of the core that
snapshots take under continuous requests, given the rest after each. Prints a Markdown table with the load
average.
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

FLEET_SIZES = 12, 300, 3000, 12_000
ROW_LIMITS = 50, MAX_TABLE_ROWS
HELD_REQUESTS = 20_000
REQUEST_DURATION_S = 3.0


def config(sockets: int = 1024) -> Config:
    """Return the configuration of a site with three classes."""
    effects = Effect.SAFE, Effect.UNSAFE, Effect.SAFE
    classes = tuple(RequestClass(500.0, 60_000.0, effect) for effect in effects)
    settings = Settings(classes, 3, 5, 1000.0, 0.12, 23_000.0, 3.0, 1000.0, parallel_tries=True)
    names = "taxi-lookup", "ride-assign", "ride-quote"
    return Config("n0", ("127.0.0.1", 0), ("127.0.0.1", 1), 7, 1.0, sockets, {}, settings, names, effects, (),
                  ("ankara-1", "izmir-1"), ("standard",), (), 250_000, 10_000_000, HELD_REQUESTS)  # fmt: skip


def build_core(fleet: int) -> tuple[c.Core, Config]:
    """Return a core with this fleet, every 50th endpoint unhealthy for one class, and its configuration."""
    node_config = config()
    core = c.Core(node_config.settings, Balancer(node_config.settings, 7), HELD_REQUESTS)
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
    for k in range(HELD_REQUESTS):  # each with an open call, more than a node's descriptors would allow
        core.handle(now + k * 50, c.RequestReceived(k, k % 3, 0, 0, 60_000_000, None))
    return core, node_config


def steps(node: Node, worst: int, times: int) -> list[tuple[float, float]]:
    """Return the duration of each step in ms, as CPU and wall-clock time, run without an event loop."""
    durations: list[tuple[float, float]] = []
    for n in range(times):
        now = node.clock.read_now()
        seen = snapshot.take_snapshot(
            node._core, status.socket_counts(node), status.node_info(node), now, MAX_TABLE_ROWS
        )
        request = wire.StatusRequest((wire.STATUS_PATH, wire.METRICS_PATH)[n % 2], worst)
        run_timed(wire.response_body(request, run_timed(seen, durations)), durations)
    return durations


def run_timed(steps: snapshot.Steps[snapshot.T], durations: list[tuple[float, float]]) -> snapshot.T:
    """Run the steps to the end and record the duration of each."""
    while True:
        started = time.thread_time_ns(), time.perf_counter_ns()
        try:
            next(steps)
        except StopIteration as done:
            result: snapshot.T = done.value
            return result
        finally:
            cpu, clock = time.thread_time_ns() - started[0], time.perf_counter_ns() - started[1]
            durations.append((cpu / 1e6, clock / 1e6))


@dataclass
class Turns:
    """The longest time between two turns of the loop in ms, as wall-clock time and CPU time of the thread."""

    clock: float = 0.0
    cpu: float = 0.0
    over: bool = False

    async def watch(self) -> None:
        """Run once in each turn until `over` is set."""
        clock, cpu = time.perf_counter_ns(), time.thread_time_ns()
        while not self.over:
            await asyncio.sleep(0)
            now, spent = time.perf_counter_ns(), time.thread_time_ns()
            self.clock, clock = max(self.clock, (now - clock) / 1e6), now
            self.cpu, cpu = max(self.cpu, (spent - cpu) / 1e6), spent


async def measure_turns(node: Node, worst: int) -> tuple[Turns, Turns, float]:
    """Measure the turns without and with a client that asks continuously, and its answers a second."""
    idle, busy = Turns(), Turns()
    with tempfile.TemporaryDirectory() as folder:
        status.serve_status(node, StatusSettings(at=f"{folder}/s", worst=worst))
        for turns, client in (idle, asyncio.sleep(1.0)), (busy, fetch_continuously(f"{folder}/s")):
            watching = asyncio.create_task(turns.watch())
            answers = await client or 0
            turns.over = True
            await watching
        status.serve_status(node, StatusSettings())
    return idle, busy, answers / REQUEST_DURATION_S


async def fetch_continuously(path: str) -> int:
    """Request the status until the time is over; return the number of answers."""
    end, answers = time.monotonic() + REQUEST_DURATION_S, 0
    while time.monotonic() < end:
        reader, writer = await asyncio.open_unix_connection(path)
        writer.write(b"GET /status HTTP/1.1\r\nHost: n\r\n\r\n")
        answers += b" 200 " in await reader.readline()
        while await reader.read(65536):
            pass
        writer.close()
    return answers


def measure_row(fleet: int, worst: int, times: int) -> str:
    """Return one row of the table."""
    core, node_config = build_core(fleet)
    gc.collect()
    gc.freeze()  # as the node does after its start
    gc.set_threshold(20_000, 20, 20)

    async def scenario() -> list[str]:
        node = Node(node_config, core, asyncio.get_running_loop())
        node.log = Log("n0", os.open(os.devnull, os.O_WRONLY))
        durations = steps(node, worst, times)
        cpu, clock = sorted(x for x, _ in durations), sorted(x for _, x in durations)
        look_ms, p99_index = sum(cpu) / times, len(durations) * 99 // 100
        share = look_ms / (look_ms + min(look_ms * status.REST_RATIO, status.MAX_REST_US / 1000))
        idle, busy, answers = await measure_turns(node, worst)
        return [f"{look_ms:.1f}", f"{len(durations) / times:.0f}", f"{cpu[p99_index]:.2f}, {cpu[-1]:.2f}",
                f"{clock[p99_index]:.2f}, {clock[-1]:.2f}", f"{idle.cpu:.1f}, {busy.cpu:.1f}",
                f"{idle.clock:.1f}, {busy.clock:.1f}", f"{answers:.0f}",
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
    for fleet in FLEET_SIZES:
        for worst in ROW_LIMITS:
            print(measure_row(fleet, worst, times), flush=True)


if __name__ == "__main__":
    main()
