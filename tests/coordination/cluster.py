"""Replica groups on virtual time: real codec and log format, simulated files and network."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from random import Random

from granitewell.coordination.consensus.group import ReplicatedGroup
from granitewell.coordination.consensus.identity import NodeIdentity, first_replica_id
from granitewell.coordination.consensus.settings import ReplicaSettings
from tests.coordination.simulated_files import SimulatedFiles
from tests.coordination.virtual_loop import LoopExecutor

ADDRESSES = ("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7")
LOG = "/data/group/log"


class WordList:
    """A state machine that keeps a list of words; the result of each entry is their number."""

    def __init__(self) -> None:
        self.words: list[bytes] = []

    def apply(self, index: int, data: bytes) -> object:
        if data == b"bad":
            raise ValueError("a bad word")
        self.words.append(data)
        return len(self.words)

    def snapshot(self) -> bytes:
        return b" ".join(self.words)

    def restore(self, data: bytes) -> None:
        self.words = data.split()


class Node:
    """A machine: its disk, and a group while its process runs."""

    def __init__(self, cluster: Cluster, address: str, first: bool) -> None:
        self.cluster = cluster
        self.address = address
        self.first = first
        self.files = SimulatedFiles(cluster.rng)
        self.executor: LoopExecutor | None = None
        self.group: ReplicatedGroup | None = None
        self.machine: WordList = cluster.machine()
        self.changes = 0

    async def start(self) -> ReplicatedGroup:
        """Start the process."""
        cluster = self.cluster
        self.machine = cluster.machine()
        self.executor = LoopExecutor(cluster.loop)
        own = first_replica_id(self.address) if self.first else f"{cluster.rng.getrandbits(64):016x}"
        self.group = ReplicatedGroup(
            name="group",
            directory=Path("/data/group"),
            identity=NodeIdentity(f"node-{self.address}", self.address, own),
            bootstrap=self.first,
            seeds=ADDRESSES,
            target_voters=3,
            machine=self.machine,
            send=lambda to, name, payload: cluster.send(self.address, to, payload),
            rng=cluster.rng,
            clock=cluster.loop.time,
            settings=cluster.settings,
            on_change=self._changed,
            executor=self.executor,
            files=self.files,
        )
        await self.group.start()
        return self.group

    def _changed(self) -> None:
        self.changes += 1

    async def die(self, *, power: bool) -> None:
        """Kill the process, or cut the machine's power."""
        if self.group is None:
            return
        assert self.executor is not None
        self.executor.dead = True
        await self.group.stop()
        self.group = None
        self.files.restart(power=power)

    def wipe(self) -> None:
        """Lose the disk."""
        assert self.group is None
        self.files = SimulatedFiles(self.cluster.rng)
        self.first = False


MAX_QUEUED_BYTES = 8 << 20
"""Queue length of a link beyond which messages are dropped, as rpc/transport.py does."""
FRAME_BYTES = 120
"""Approximate overhead of a message on the wire."""


class SlowLink:
    """A machine's link in one direction, on which messages queue."""

    def __init__(self, bytes_s: float) -> None:
        self.bytes_s = bytes_s
        self._free_at = 0.0

    def delay(self, now: float, size: int) -> float | None:
        """Return how long a message takes, in seconds; None if it is dropped."""
        queued_s = max(0.0, self._free_at - now)
        if queued_s * self.bytes_s > MAX_QUEUED_BYTES:
            return None
        self._free_at = now + queued_s + (size + FRAME_BYTES) / self.bytes_s
        return self._free_at - now


class Cluster:
    """Three nodes and their network.

    Attributes:
        slow: Slow links by destination address.
        cut: Addresses from which (True) or to which (False) no message passes.
    """

    def __init__(
        self, seed: int, settings: ReplicaSettings | None = None, machine: Callable[[], WordList] = WordList
    ) -> None:
        self.rng = Random(seed)
        self.machine = machine
        self.loop = asyncio.get_running_loop()
        self.settings = settings or ReplicaSettings()
        self.slow: dict[str, SlowLink] = {}
        self.cut: set[tuple[str, bool]] = set()
        self.nodes = {address: Node(self, address, first=True) for address in ADDRESSES}

    def send(self, sender: str, to: str, payload: bytes) -> None:
        """Deliver a message after a delay."""
        if (sender, True) in self.cut or (to, False) in self.cut:
            return
        link = self.slow.get(to)
        delay_s = link.delay(self.loop.time(), len(payload)) if link is not None else 0.0
        if delay_s is not None:
            self.loop.call_later(0.001 + delay_s, self._deliver, sender, to, payload)

    def _deliver(self, sender: str, to: str, payload: bytes) -> None:
        node = self.nodes.get(to)
        if node is not None and node.group is not None:
            node.group.receive(sender, payload)

    async def start(self) -> Node:
        """Start all nodes; return the leader."""
        await asyncio.gather(*(node.start() for node in self.nodes.values() if node.group is None))
        return await self.leader()

    async def leader(self) -> Node:
        """Return the node that holds the lease, as soon as there is one."""
        async with asyncio.timeout(10):
            while True:
                for node in self.nodes.values():
                    if node.group is not None and node.group.holds_lease():
                        return node
                await asyncio.sleep(0.01)

    def others(self, than: Node) -> list[Node]:
        """Return all nodes except one."""
        return [node for node in self.nodes.values() if node is not than]


async def until(condition: Callable[[], bool], seconds: float = 5) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.01)


def group_of(node: Node) -> ReplicatedGroup:
    """Return the group of a node whose process runs."""
    assert node.group is not None
    return node.group
