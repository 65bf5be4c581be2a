"""Scenarios of many proposals on replica groups with real logs and codecs, drawn from a seed.

Machines are killed, lose power or their disks, have slow links, and have slow, full and failing disks, one
after the other and at the same time. Then all faults end.

Invariants: a holder of a lease has everything that was confirmed; at most one member holds a lease; confirmed
proposals are present at the end and after a power loss of all machines; restarted members catch up in bounded
time; the log stays short.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from functools import partial

from granitewell.coordination.consensus.settings import KIBIBYTE, ReplicaSettings
from granitewell.coordination.disk_thread import Executor
from granitewell.domain.errors import NotLeaderError, ProposalLostError
from tests.coordination.cluster import LOG, Cluster, Node, SlowLink, WordList, group_of
from tests.coordination.virtual_loop import run

SETTINGS = ReplicaSettings(
    compact_entries=20, compact_bytes=8 * KIBIBYTE, snapshot_chunk_bytes=64, append_bytes=256
)
PADDING_BYTES = 400
CONVERGENCE_S = 8.0
"""Time after the end of all faults by which all nodes are voters with the same state, in seconds.

It includes the replacement of an unresponsive voter by a learner.
"""
CHECK_INTERVAL_S = 0.02
SLOWEST_BYTES_S = 20_000.0


class ViolationError(AssertionError):
    """An invariant is broken; the message names the seed."""


class PaddedWordList(WordList):
    """A word list whose snapshots have a minimum size."""

    PADDING = b"." * PADDING_BYTES

    def snapshot(self) -> bytes:
        return self.PADDING + b" " + super().snapshot()

    def restore(self, data: bytes) -> None:
        self.words = data.split()[1:]


class Scenario:
    """A group, the faults injected into it, and a client that knows what was confirmed to it."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.cluster = Cluster(seed, SETTINGS, machine=PaddedWordList)
        self.rng = self.cluster.rng
        self.confirmed: list[bytes] = []
        self._tasks: set[asyncio.Task[object]] = set()
        self.converged_s = 0.0
        self._number = 0

    # Proposals

    async def change(self, count: int) -> None:
        """Make proposals, some of them concurrently, each to a replica that considers itself the leader."""
        while count > 0:
            together = min(count, self.rng.randrange(1, 6))
            await asyncio.gather(*(self._change() for _ in range(together)))
            count -= together
            await asyncio.sleep(self.rng.uniform(0, 0.06))

    async def _change(self) -> None:
        for node in self.running():
            if group_of(node).is_leader:
                await self._propose(node)
                return
        await asyncio.sleep(0.05)

    async def _propose(self, node: Node) -> None:
        self._number += 1
        data = b"%d" % self._number
        try:
            await group_of(node).propose(data, timeout_s=0.7)
        except (NotLeaderError, ProposalLostError):
            return
        self.confirmed.append(data)

    # Invariants

    async def check_repeatedly(self) -> None:
        """Check the invariants at intervals until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self) -> None:
        """Check the leases and the state of their holders."""
        holders = [node for node in self.running() if group_of(node).holds_lease()]
        if len(holders) > 1:
            raise ViolationError(f"seed {self.seed}: {len(holders)} leases")
        for holder in holders:
            words = holder.machine.words
            missing = set(self.confirmed) - set(words)
            if missing:
                raise ViolationError(f"seed {self.seed}: a lease without {sorted(missing)[:5]}")
            if len(set(words)) != len(words):
                raise ViolationError(f"seed {self.seed}: a change was applied twice")

    def running(self) -> list[Node]:
        """Return the nodes whose process runs."""
        return [node for node in self.cluster.nodes.values() if node.group is not None]

    def holder(self) -> Node | None:
        """Return the node that holds the lease, if any."""
        return next((node for node in self.running() if group_of(node).holds_lease()), None)

    def is_converged(self) -> bool:
        """Return whether there is a leader, and all nodes are voters with the same state on their disks."""
        nodes = list(self.cluster.nodes.values())
        if len(self.running()) < len(nodes) or self.holder() is None:
            return False
        words = nodes[0].machine.words
        return all(
            group_of(node).is_voter
            and node.machine.words == words
            and len(group_of(node).members) == len(nodes)
            and (log := group_of(node)._log) is not None
            and log.idle
            for node in nodes
        )

    # Faults

    def start(self, node: Node) -> None:
        """Start a process, unless it is running."""
        if node.group is None:
            task: asyncio.Task[object] = asyncio.ensure_future(node.start())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def stop(self, node: Node, *, power: bool) -> None:
        """Kill a process or cut its machine's power; it restarts later."""
        await node.die(power=power)
        self.cluster.loop.call_later(self.rng.uniform(0.05, 1.5), self.start, node)

    async def stop_one(self) -> None:
        """Kill one process, or cut the power of one machine."""
        await self.stop(self.random_node(), power=self.rng.random() < 0.5)

    async def stop_all(self) -> None:
        """Kill all processes, or cut the power of all machines."""
        power = self.rng.random() < 0.7
        for node in self.cluster.nodes.values():
            await self.stop(node, power=power)

    async def wipe(self) -> None:
        """Lose a disk, sometimes while all others lose power; only if all data is on all disks."""
        if not self.is_converged():
            return
        node = self.random_node()
        everywhere = self.rng.random() < 0.5
        await self.stop(node, power=True)
        node.wipe()
        if everywhere:
            for other in self.cluster.others(node):
                await self.stop(other, power=True)

    async def slow_link(self) -> None:
        """Slow down the link to a machine for a while."""
        node = self.random_node()
        self.cluster.slow[node.address] = SlowLink(SLOWEST_BYTES_S * self.rng.choice((1, 4)))
        self._later(lambda: self.cluster.slow.pop(node.address, None))

    async def slow_disk(self) -> None:
        """Slow down a disk for a while."""
        node = self.random_node()
        if node.executor is not None:
            node.executor.delay_s = self.rng.choice((0.03, 0.5))
            self._later(partial(_restore_disk_speed, node.executor))

    async def full_disk(self) -> None:
        """Let one disk, or all disks, accept no write, or only a part of one."""
        nodes = list(self.cluster.nodes.values())
        files = [node.files for node in (nodes if self.rng.random() < 0.3 else [self.random_node()])]
        syncs = self.rng.random() < 0.5
        for disk in files:
            disk.refused_calls = frozenset({"open", "write", "truncate", "rename"}) if syncs else frozenset()
            if self.rng.random() < 0.5:
                disk.refusing = errno.ENOSPC
            else:
                disk.room = self.rng.randrange(200)

        def free() -> None:
            for disk in files:
                disk.refusing = disk.room = None

        self._later(free)

    async def cut(self) -> None:
        """Partition a machine, in one direction or both. Proposals still go to a partitioned leader."""
        node = self.random_node()
        kind = self.rng.randrange(3)
        cut = [(node.address, True)] if kind == 0 else [(node.address, False)] if kind == 1 else []
        cut = cut or [(node.address, True), (node.address, False)]
        self.cluster.cut |= set(cut)
        if node.group is not None and node.group.is_leader:
            for _ in range(self.rng.randrange(12)):
                self._propose_unanswered(node)
        self._later(lambda: self.cluster.cut.clear())

    def _propose_unanswered(self, node: Node) -> None:
        task: asyncio.Task[object] = asyncio.ensure_future(self._propose(node))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def failing_syncs(self) -> None:
        """Let some syncs of a disk fail."""
        self.random_node().files.failing_syncs = self.rng.randrange(1, 4)

    def random_node(self) -> Node:
        """Return a node; half of the time the leader."""
        leading = [node for node in self.running() if group_of(node).is_leader]
        if leading and self.rng.random() < 0.5:
            return leading[0]
        return self.rng.choice(list(self.cluster.nodes.values()))

    def _later(self, call: Callable[[], object]) -> None:
        self.cluster.loop.call_later(self.rng.uniform(0.3, 2.5), call)

    def heal(self) -> None:
        """End all faults."""
        self.cluster.slow.clear()
        self.cluster.cut.clear()
        for node in self.cluster.nodes.values():
            node.files.refusing = node.files.room = None
            node.files.failing_syncs = 0
            if node.executor is not None:
                _restore_disk_speed(node.executor)
            self.start(node)


def _restore_disk_speed(executor: Executor) -> None:
    executor.delay_s = 0.001  # type: ignore[attr-defined]


Fault = Callable[[Scenario], Awaitable[None]]
FAULTS: Sequence[Fault] = (
    Scenario.stop_one,
    Scenario.stop_one,
    Scenario.stop_all,
    Scenario.wipe,
    Scenario.cut,
    Scenario.slow_link,
    Scenario.slow_disk,
    Scenario.full_disk,
    Scenario.failing_syncs,
)


def play(seed: int, changes: int = 100, faults: Sequence[Fault] = FAULTS) -> Scenario:
    """Run one scenario.

    Raises:
        ViolationError: An invariant is broken; the message names the seed.
    """
    scenarios: list[Scenario] = []

    async def main() -> None:
        scenario = Scenario(seed)
        scenarios.append(scenario)
        await scenario.cluster.start()
        checking = asyncio.ensure_future(scenario.check_repeatedly())
        injecting = asyncio.ensure_future(_inject_faults(scenario, faults))
        try:
            await _unless_violated(scenario.change(changes), checking, injecting)
            injecting.cancel()
            await _unless_violated(_recover(scenario), checking)
        finally:
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            await asyncio.sleep(0)

    run(main())
    return scenarios[0]


async def _unless_violated(work: Coroutine[None, None, None], *others: asyncio.Future[None]) -> None:
    """Do some work, unless one of the other tasks fails first."""
    task = asyncio.ensure_future(work)
    await asyncio.wait({task, *others}, return_when=asyncio.FIRST_COMPLETED)
    for future in (*others, task):
        if future.done():
            task.cancel()
            future.result()
    await task


async def _inject_faults(scenario: Scenario, faults: Sequence[Fault]) -> None:
    while True:
        await asyncio.sleep(scenario.rng.expovariate(1.2))
        await scenario.rng.choice(faults)(scenario)


async def _recover(scenario: Scenario) -> None:
    await asyncio.sleep(0)
    await _converge(scenario)
    for node in scenario.cluster.nodes.values():
        await node.die(power=True)
    await _converge(scenario)
    scenario.check()
    _check_lengths(scenario)


async def _converge(scenario: Scenario) -> None:
    """End all faults; require that all nodes converge in time."""
    loop = scenario.cluster.loop
    began_at = loop.time()
    while True:
        scenario.heal()
        await scenario.change(1)
        await asyncio.sleep(0.05)
        if scenario.is_converged():
            break
        if loop.time() > began_at + CONVERGENCE_S:
            raise ViolationError(
                f"seed {scenario.seed}: not converged after {CONVERGENCE_S} s\n{describe(scenario)}"
            )
    scenario.converged_s = max(scenario.converged_s, loop.time() - began_at)


def _check_lengths(scenario: Scenario) -> None:
    for node in scenario.cluster.nodes.values():
        content = node.files.read(LOG) or b""
        state = len(node.machine.snapshot())
        if len(content) > 4 * SETTINGS.compact_bytes + 8 * state:
            raise ViolationError(
                f"seed {scenario.seed}: a log of {len(content)} bytes for a state of {state}"
            )


def describe(scenario: Scenario) -> str:
    """Return the state of all members, for debugging."""
    lines = [f"confirmed {len(scenario.confirmed)}"]
    for node in scenario.cluster.nodes.values():
        if node.group is None:
            lines.append(f"{node.address}: down")
            continue
        group = node.group
        lines.append(
            f"{node.address} {group.replica_id[:4]} term {group.term} leads {group.is_leader} "
            f"voter {group.is_voter} of {len(group.members)} applied {group.applied_index} "
            f"words {len(node.machine.words)} halted {group.halted_by}"
        )
    return "\n".join(lines)
