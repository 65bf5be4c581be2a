"""Days of many changes on real shells, logs and codecs, drawn from a seed.

Machines are killed, lose power or their disks, sit behind slow links, have slow, full and failing disks, one
after the other and at once; then a calm end.

What must hold: who holds a lease has all that was confirmed; one member at a time holds it; what is
confirmed is there at the end and after a loss of power everywhere; who came back is level in bounded
time; a log stays short.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from functools import partial

from granitewell.coordination.consensus.settings import KIBIBYTE, ReplicaSettings
from granitewell.coordination.disk_thread import Executor
from granitewell.domain.errors import NotLeaderError, ProposalLostError
from tests.coordination.cluster import LOG, Cluster, Node, SlowLink, Words, group_of
from tests.coordination.virtual_loop import run

SETTINGS = ReplicaSettings(
    compact_entries=20, compact_bytes=8 * KIBIBYTE, snapshot_chunk_bytes=64, append_bytes=256
)
PADDING_BYTES = 400
LEVEL_S = 8.0
"""From the end of all trouble until all are voters and level; a learner takes the place of a silent voter."""
LOOK_S = 0.02
SLOWEST_BYTES_S = 20_000.0


class ViolationError(AssertionError):
    """What must hold does not; the text names the seed."""


class Padded(Words):
    """Its snapshots are never small."""

    PADDING = b"." * PADDING_BYTES

    def snapshot(self) -> bytes:
        return self.PADDING + b" " + super().snapshot()

    def restore(self, data: bytes) -> None:
        self.words = data.split()[1:]


class Day:
    """A group, its troubles, and a client that knows what was confirmed to it."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.cluster = Cluster(seed, SETTINGS, machine=Padded)
        self.rng = self.cluster.rng
        self.confirmed: list[bytes] = []
        self._tasks: set[asyncio.Task[object]] = set()
        self.level_s = 0.0
        self._number = 0

    # Changes

    async def change(self, count: int) -> None:
        """Changes, some of them together, each to who says it leads."""
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

    # What must hold

    async def look(self) -> None:
        """Check now and then, for as long as it lives."""
        while True:
            self.check()
            await asyncio.sleep(LOOK_S)

    def check(self) -> None:
        """Leases, and what their holders know."""
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
        """Nodes whose process takes part."""
        return [node for node in self.cluster.nodes.values() if node.group is not None]

    def holder(self) -> Node | None:
        """Who holds the lease."""
        return next((node for node in self.running() if group_of(node).holds_lease()), None)

    def is_level(self) -> bool:
        """Whether one leads, and all are voters, have the same, and have it on their disks."""
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

    # Troubles

    def start(self, node: Node) -> None:
        """Start a process, unless it runs."""
        if node.group is None:
            task: asyncio.Task[object] = asyncio.ensure_future(node.start())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def stop(self, node: Node, *, power: bool) -> None:
        """Kill a process, or take its machine's power; it comes back."""
        await node.die(power=power)
        self.cluster.loop.call_later(self.rng.uniform(0.05, 1.5), self.start, node)

    async def one(self) -> None:
        """One process is killed, or one machine loses power."""
        await self.stop(self.someone(), power=self.rng.random() < 0.5)

    async def all(self) -> None:
        """All at once."""
        power = self.rng.random() < 0.7
        for node in self.cluster.nodes.values():
            await self.stop(node, power=power)

    async def wipe(self) -> None:
        """A disk is lost, at times while all others lose power; only where all stands on all disks."""
        if not self.is_level():
            return
        node = self.someone()
        everywhere = self.rng.random() < 0.5
        await self.stop(node, power=True)
        node.wipe()
        if everywhere:
            for other in self.cluster.others(node):
                await self.stop(other, power=True)

    async def slow_link(self) -> None:
        """One machine is behind a slow link for a while."""
        node = self.someone()
        self.cluster.slow[node.address] = SlowLink(SLOWEST_BYTES_S * self.rng.choice((1, 4)))
        self._later(lambda: self.cluster.slow.pop(node.address, None))

    async def slow_disk(self) -> None:
        """One disk takes long."""
        node = self.someone()
        if node.executor is not None:
            node.executor.delay_s = self.rng.choice((0.03, 0.5))
            self._later(partial(_good_speed, node.executor))

    async def full_disk(self) -> None:
        """One disk, or all, take no write, or only a part of one."""
        nodes = list(self.cluster.nodes.values())
        files = [node.files for node in (nodes if self.rng.random() < 0.3 else [self.someone()])]
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
        """One machine is cut off, in one direction or both. Changes still go to one that led."""
        node = self.someone()
        kind = self.rng.randrange(3)
        cut = [(node.address, True)] if kind == 0 else [(node.address, False)] if kind == 1 else []
        cut = cut or [(node.address, True), (node.address, False)]
        self.cluster.cut |= set(cut)
        if node.group is not None and node.group.is_leader:
            for _ in range(self.rng.randrange(12)):
                self._ask_in_vain(node)
        self._later(lambda: self.cluster.cut.clear())

    def _ask_in_vain(self, node: Node) -> None:
        task: asyncio.Task[object] = asyncio.ensure_future(self._propose(node))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def failing_syncs(self) -> None:
        """Some syncs of a disk fail."""
        self.someone().files.failing_syncs = self.rng.randrange(1, 4)

    def someone(self) -> Node:
        """A machine, the leader's as often as not."""
        leading = [node for node in self.running() if group_of(node).is_leader]
        if leading and self.rng.random() < 0.5:
            return leading[0]
        return self.rng.choice(list(self.cluster.nodes.values()))

    def _later(self, call: Callable[[], object]) -> None:
        self.cluster.loop.call_later(self.rng.uniform(0.3, 2.5), call)

    def heal(self) -> None:
        """The end of all troubles."""
        self.cluster.slow.clear()
        self.cluster.cut.clear()
        for node in self.cluster.nodes.values():
            node.files.refusing = node.files.room = None
            node.files.failing_syncs = 0
            if node.executor is not None:
                _good_speed(node.executor)
            self.start(node)


def _good_speed(executor: Executor) -> None:
    executor.delay_s = 0.001  # type: ignore[attr-defined]


Trouble = Callable[[Day], Awaitable[None]]
TROUBLES: Sequence[Trouble] = (
    Day.one,
    Day.one,
    Day.all,
    Day.wipe,
    Day.cut,
    Day.slow_link,
    Day.slow_disk,
    Day.full_disk,
    Day.failing_syncs,
)


def play(seed: int, changes: int = 100, troubles: Sequence[Trouble] = TROUBLES) -> Day:
    """One day; raises Violation, which names the seed."""
    days: list[Day] = []

    async def main() -> None:
        day = Day(seed)
        days.append(day)
        await day.cluster.start()
        looking = asyncio.ensure_future(day.look())
        worrying = asyncio.ensure_future(_worry(day, troubles))
        try:
            await _unless_violated(day.change(changes), looking, worrying)
            worrying.cancel()
            await _unless_violated(_calm(day), looking)
        finally:
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            await asyncio.sleep(0)

    run(main())
    return days[0]


async def _unless_violated(work: Coroutine[None, None, None], *others: asyncio.Future[None]) -> None:
    """Do some work; an error of the others ends it."""
    task = asyncio.ensure_future(work)
    await asyncio.wait({task, *others}, return_when=asyncio.FIRST_COMPLETED)
    for future in (*others, task):
        if future.done():
            task.cancel()
            future.result()
    await task


async def _worry(day: Day, troubles: Sequence[Trouble]) -> None:
    while True:
        await asyncio.sleep(day.rng.expovariate(1.2))
        await day.rng.choice(troubles)(day)


async def _calm(day: Day) -> None:
    await asyncio.sleep(0)
    await _level(day)
    for node in day.cluster.nodes.values():
        await node.die(power=True)
    await _level(day)
    day.check()
    _check_lengths(day)


async def _level(day: Day) -> None:
    """All troubles end; all are level in time."""
    loop = day.cluster.loop
    began_at = loop.time()
    while True:
        day.heal()
        await day.change(1)
        await asyncio.sleep(0.05)
        if day.is_level():
            break
        if loop.time() > began_at + LEVEL_S:
            raise ViolationError(f"seed {day.seed}: not level after {LEVEL_S} s\n{describe(day)}")
    day.level_s = max(day.level_s, loop.time() - began_at)


def _check_lengths(day: Day) -> None:
    for node in day.cluster.nodes.values():
        content = node.files.read(LOG) or b""
        state = len(node.machine.snapshot())
        if len(content) > 4 * SETTINGS.compact_bytes + 8 * state:
            raise ViolationError(f"seed {day.seed}: a log of {len(content)} bytes for a state of {state}")


def describe(day: Day) -> str:
    """All members, for who looks for a cause."""
    lines = [f"confirmed {len(day.confirmed)}"]
    for node in day.cluster.nodes.values():
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
