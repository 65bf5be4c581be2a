"""Cost of shared counters: per request, per query, network traffic between nodes, and memory.

    python benchmarks/counts_cost.py

Prints the microseconds per request at 10, 1,000 and 100,000 tenants; the microseconds of a query, by nodes;
the bytes a second that a node sends, in virtual time, at 5, 50 and 200 nodes that share 2,000 requests a
second of 50 tenants; and the memory that a node holds for another.
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from random import Random

from granitewell.lab.cluster.links import Quality
from granitewell.lab.cluster.world import Boot, Cluster, Node, Spec
from granitewell.lab.engine import stream
from granitewell.protocols.peers.frames import Key, Keys
from granitewell.shared_counters.state_machine import SharedCounters
from granitewell.shared_counters.types import CounterSettings, Peer, Peers, UsageRecorded

FRAME_KEYS = Keys(Key(b"a key for virtual time alone"))
TENANTS, REQUESTS_PER_S = 50, 2_000.0
SECONDS_BY_NODES = {5: 20, 50: 10, 200: 4}  # simulated time, by number of nodes


def request_us(keys: int) -> float:
    """Return the time of one request in microseconds, median over batches."""
    counts = SharedCounters("a", 1, 1, FRAME_KEYS, CounterSettings(), Random(1), 0)
    rng, names, now, batches = Random(2), [f"tenant-{k}" for k in range(keys)], 0, []
    for _ in range(60):
        events = [UsageRecorded(names[int(rng.random() * keys)]) for _ in range(2_000)]
        started = time.perf_counter()
        for event in events:
            now += 500
            counts.handle(now, event)
        batches.append((time.perf_counter() - started) / len(events) * 1e6)
    return sorted(batches)[len(batches) // 2]


class Fleet:
    """Nodes in virtual time that share a load."""

    def __init__(self, nodes: int) -> None:
        self.cluster = Cluster(1, Quality(delay_us=300, jitter_us=2_000))
        self.names = [f"n{k}" for k in range(nodes)]
        for name in self.names:
            node = self.cluster.add(Spec(name, name, self._make))
            self.cluster.start(node)
            self._use(node, stream(1, name))

    def _make(self, boot: Boot) -> list[SharedCounters]:
        state_machine = SharedCounters(
            boot.id, 1, 1 + int(boot.rng.random() * 1e9), FRAME_KEYS, CounterSettings(), boot.rng, boot.now_us
        )
        state_machine.handle(boot.now_us, Peers({n: Peer(n, True) for n in self.names}))
        return [state_machine]

    def _use(self, node: Node, rng: Random) -> None:
        wait_us = 1 + int(rng.expovariate(REQUESTS_PER_S / len(self.names)) * 1e6)
        self.cluster.engine.at(self.cluster.now_us + wait_us, self._use, node, rng)
        self.cluster.tell(node, UsageRecorded(f"tenant-{int(rng.random() * TENANTS)}"))


def main() -> int:
    """Measure and print the costs."""
    for keys in (10, 1_000, 100_000):
        print(f"a request at {keys:7} tenants: {request_us(keys):6.2f} us")
    for nodes, seconds in SECONDS_BY_NODES.items():
        if nodes == 5:
            tracemalloc.start()
        fleet = Fleet(nodes)
        fleet.cluster.run(seconds * 1_000_000)
        bytes_per_s = [n.count.said_bytes / seconds for n in fleet.cluster.nodes.values()]
        machine = fleet.cluster.nodes["n0"].machines[0]
        assert isinstance(machine, SharedCounters)
        started = time.perf_counter()
        for _ in range(20):
            figure = machine.bounds(fleet.cluster.now_us, "tenant-0")
        figure_us = (time.perf_counter() - started) / 20 * 1e6
        ages = sorted(p.age_us / 1e3 for p in figure.parts if p.name != "n0")
        traffic_text = f"{sum(bytes_per_s) / nodes / 1e3:6.1f} KB/s a node"
        age_text = f"ages {ages[len(ages) // 2]:.0f} ms in the median, {ages[-1]:.0f} ms at the most"
        print(f"{nodes:3} nodes: {traffic_text}, a figure {figure_us:7.0f} us, {age_text}")
        if nodes == 5:
            held = tracemalloc.get_traced_memory()[0]
            print(f"          {held / 25 / 1e3:.0f} KB a node held by each, window of 60 s not full yet")
            tracemalloc.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
