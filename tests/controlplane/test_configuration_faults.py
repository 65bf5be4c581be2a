"""Operators against three control nodes on virtual time: real stores, API, replica groups and log format.

Disks refuse all writes for a while (on one, on two, on all nodes), links are cut, processes are killed and
machines lose power, snapshots are taken every few entries. Each answer is checked against the committed
entries, and after the last fault every change must get a definite answer. More seeds:

    GRANITEWELL_CHANGE_DAYS=500 python -m pytest tests/controlplane/test_configuration_faults.py
"""

from __future__ import annotations

import asyncio
import errno
import os
import re
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from random import Random
from types import SimpleNamespace
from typing import cast

import orjson
import pytest
from aiohttp import web

from granitewell.controlplane.configuration.api import OperatorApi
from granitewell.controlplane.configuration.store import Change, ChangeResult, ConfigurationStore, Operation
from granitewell.coordination.consensus.group import ReplicatedGroup
from granitewell.coordination.consensus.identity import NodeIdentity, first_replica_id
from granitewell.coordination.consensus.settings import ReplicaSettings
from tests.controlplane import change_defects as defects
from tests.controlplane.change_world import UNCLEAR, Operator, Reference, Step, ViolationError
from tests.coordination.simulated_files import SimulatedFiles
from tests.coordination.virtual_loop import LoopExecutor, run

ADDRESSES = ("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7")
SEEDS = int(os.environ.get("GRANITEWELL_CHANGE_DAYS", "10"))
MAX_DEFECT_SEEDS = 60
QUICK_SEEDS = (10, 4)  # that reveal the defects which seed 0 does not
FAULT_COUNT = 6  # per scenario
ANSWER_TIMEOUT_S = 1.0  # then an operator sends the change again
RECOVERY_S = 20.0  # after the last fault: elections, the retry of a full disk, three proposals that time out
LOST_ANSWERS_FRACTION = 0.2  # of all answers
DISK_RECOVERY_S = 4.0  # until a change is accepted: one proposal may time out, one leader may change
MAX_PAUSE_S = 0.4  # between the changes of one operator


class Committed:
    """Checks that all nodes apply the same entries, and passes them to the reference model in order."""

    def __init__(self) -> None:
        self.reference = Reference()
        self._entries: dict[int, bytes] = {}

    def applied(self, index: int, data: bytes) -> None:
        """Record an entry that a node has applied."""
        if index not in self._entries:
            self._entries[index] = data
            self.reference.commit(Change.decode(data))
        elif self._entries[index] != data:
            raise ViolationError(f"two entries at {index}")


class TracedStore(ConfigurationStore):
    """Store that reports the entries that it applies."""

    def __init__(self, committed: Committed) -> None:
        super().__init__()
        self._committed = committed

    def apply(self, index: int, data: bytes) -> ChangeResult:
        """Apply an entry, and report it."""
        self._committed.applied(index, bytes(data))
        return super().apply(index, data)


class ControlNode:
    """A machine: its disk, and a group, store and API while its process runs."""

    def __init__(self, scenario: Scenario, address: str) -> None:
        self.scenario = scenario
        self.address = address
        self.files = SimulatedFiles(scenario.rng)
        self.group: ReplicatedGroup | None = None
        self.api: OperatorApi | None = None
        # a dict, whose order is deterministic
        self.calls: dict[asyncio.Task[web.Response], None] = {}
        self._executor: LoopExecutor | None = None

    async def start(self) -> None:
        """Start the process."""
        scenario = self.scenario
        store = TracedStore(scenario.committed)
        self._executor = LoopExecutor(scenario.loop)
        group = ReplicatedGroup(
            name="configuration",
            directory=Path("/data/configuration"),
            identity=NodeIdentity(self.address, self.address, first_replica_id(self.address)),
            bootstrap=True,
            seeds=ADDRESSES,
            target_voters=3,
            machine=store,
            send=lambda to, name, payload: scenario.send(self.address, to, payload),
            rng=scenario.rng,
            clock=scenario.loop.time,
            settings=ReplicaSettings(compact_entries=4),
            executor=self._executor,
            files=self.files,
        )
        self.group = group
        await group.start()
        self.api = OperatorApi(store, group, str, scenario.loop.time, own_address=self.address)

    async def stop_process(self, *, power: bool) -> None:
        """Kill the process, or cut the machine's power; its callers get no answer."""
        group, executor = self.group, self._executor
        if group is None or executor is None:
            return
        self.group = self.api = None
        executor.dead = True
        await group.stop()
        for call in self.calls:
            call.cancel()
        self.files.refusing = None
        self.files.restart(power=power)


class Scenario:
    """Three nodes, their network, two operators, and faults."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.loop = asyncio.get_running_loop()
        self.committed = Committed()
        self.nodes = {address: ControlNode(self, address) for address in ADDRESSES}
        self.cut: set[frozenset[str]] = set()
        self.violations: list[ViolationError] = []
        self.ending = False
        self.tasks: list[asyncio.Task[None]] = []

    def send(self, sender: str, to: str, payload: bytes) -> None:
        """Deliver a message with a short delay, unless the link is cut."""
        if frozenset((sender, to)) not in self.cut:
            self.loop.call_later(0.001, self._deliver, sender, to, payload)

    def _deliver(self, sender: str, to: str, payload: bytes) -> None:
        node = self.nodes.get(to)
        if node is not None and node.group is not None:
            node.group.receive(sender, payload)

    # Operators

    async def operate(self, operator: Operator) -> None:
        """Send the changes of a plan, each until it has a definite answer, until the scenario ends."""
        address = self.rng.choice(ADDRESSES)
        while not operator.done and not (self.ending and operator.sent == 0):
            operator.sent += 1
            change = operator.change()
            answer = await self._call_node(address, change)
            if answer is not None and answer.status not in UNCLEAR:
                operator.handle_answer(answer.status, orjson.loads(_bytes(answer)).get("version", 0))
                await asyncio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
            elif answer is not None and answer.status == 307:
                address = answer.headers["Location"].split("/")[2]
                await asyncio.sleep(0.01)
                continue
            else:
                await asyncio.sleep(self.rng.uniform(0.05, 0.3))
            address = self.rng.choice(ADDRESSES)

    async def _call_node(self, address: str, change: Change) -> web.Response | None:
        """Call a node; return None if the answer is lost."""
        node = self.nodes[address]
        if node.api is None:
            return None
        call = self.loop.create_task(node.api.answer(change, "/config"))
        node.calls[call] = None
        call.add_done_callback(lambda call: self._check_answer(node, change, call))
        await asyncio.wait({call}, timeout=ANSWER_TIMEOUT_S)
        if not call.done() or call.cancelled() or self.rng.random() < LOST_ANSWERS_FRACTION:
            return None
        return call.result()

    def _check_answer(self, node: ControlNode, change: Change, call: asyncio.Task[web.Response]) -> None:
        """Check an answer, received or not."""
        node.calls.pop(call, None)
        if call.cancelled():
            return
        try:
            response = call.result()
            self.committed.reference.answer(change, response.status, orjson.loads(_bytes(response)))
        except ViolationError as violation:
            self.violations.append(violation)

    async def read(self) -> None:
        """Read the configuration repeatedly, and check that it is the newest accepted one."""
        request = cast(web.Request, SimpleNamespace(path_qs="/config"))
        while True:
            await asyncio.sleep(self.rng.uniform(0, MAX_PAUSE_S))
            node = self.nodes[self.rng.choice(ADDRESSES)]
            if node.api is None:
                continue
            response = await node.api.get(request)
            newest = self.committed.reference.version
            if response.status == 200 and orjson.loads(_bytes(response))["version"] != newest:
                self.violations.append(ViolationError(f"read {_bytes(response)!r}, the newest is {newest}"))
            elif response.status not in (200, *UNCLEAR):
                self.violations.append(ViolationError(f"{response.status} for a GET"))

    # Faults

    async def full_disks(self) -> None:
        """Refuse writes on one, two or all nodes."""
        nodes = self.rng.sample(list(self.nodes.values()), self.rng.randint(1, 3))
        for node in nodes:
            node.files.refusing = errno.ENOSPC
        await asyncio.sleep(self.rng.uniform(0.1, 6))
        for node in nodes:
            node.files.refusing = None

    async def cut_off(self) -> None:
        """Cut one node off from the others, or one link."""
        first, *others = self.rng.sample(ADDRESSES, 3)
        links = {frozenset((first, other)) for other in others[: self.rng.randint(1, 2)]}
        self.cut |= links
        await asyncio.sleep(self.rng.uniform(0.1, 5))
        self.cut -= links

    async def restart(self) -> None:
        """Restart one node, or all at once."""
        nodes = self.rng.sample(list(self.nodes.values()), self.rng.choice((1, 1, 3)))
        for node in nodes:
            await node.stop_process(power=self.rng.random() < 0.5)
        await asyncio.sleep(self.rng.uniform(0, 2))
        await asyncio.gather(*(node.start() for node in nodes if node.group is None))

    async def transfer_leadership(self) -> None:
        """Make the leader transfer its leadership."""
        for node in self.nodes.values():
            if node.group is not None and node.group.is_leader:
                await node.group.transfer()

    # The scenario

    async def play(self, faults: Sequence[Callable[[Scenario], Awaitable[None]]], plans: Plans) -> None:
        """Play the faults and the recovery."""
        await asyncio.gather(*(node.start() for node in self.nodes.values()))
        await self.operate(Operator([Step(Operation.PUT, 1, "first")], known=0))
        operators = [Operator(plan) for plan in plans]
        operating = [self.loop.create_task(self.operate(operator)) for operator in operators]
        self.tasks = [*operating, self.loop.create_task(self.read())]
        for fault in faults:
            await fault(self)
            await asyncio.sleep(self.rng.uniform(0, 1))
            self.check()
        self.ending = True
        _, late = await asyncio.wait(operating, timeout=RECOVERY_S)
        self.check()
        if late:
            raise ViolationError(
                f"no clear answer: {[operator.change() for operator in operators if operator.sent]}"
            )
        await self.read_back()

    async def stop(self) -> None:
        """Stop all tasks and nodes."""
        for task in self.tasks:
            task.cancel()
        for node in self.nodes.values():
            await node.stop_process(power=False)
        await asyncio.sleep(0)

    def check(self) -> None:
        """Raise the first violation, if any."""
        if self.violations:
            raise self.violations[0]

    async def read_back(self) -> None:
        """Wait until all nodes have the newest version."""
        async with asyncio.timeout(RECOVERY_S):
            while {self._version(node) for node in self.nodes.values()} != {self.committed.reference.version}:
                await asyncio.sleep(0.1)

    def _version(self, node: ControlNode) -> int:
        return -1 if node.api is None else node.api._store.version


Plans = Sequence[Sequence[Step]]


def _bytes(response: web.Response) -> bytes:
    assert isinstance(response.body, bytes)
    return response.body


def plans_of(rng: Random) -> Plans:
    """Return the plans of two operators; some of their changes are equal."""

    def step() -> Step:
        return Step(
            rng.choice(tuple(Operation)), rng.randint(1, 3), rng.choice("xy"), again=rng.random() < 0.1
        )

    return [[step() for _ in range(300)] for _ in range(2)]


ALL_FAULTS = (
    Scenario.full_disks,
    Scenario.full_disks,
    Scenario.cut_off,
    Scenario.restart,
    Scenario.transfer_leadership,
)


def play_seed(seed: int, faults: Sequence[Callable[[Scenario], Awaitable[None]]]) -> None:
    """Play the scenario of one seed."""
    rng = Random(seed)
    chosen = [rng.choice(faults) for _ in range(FAULT_COUNT)]

    async def play() -> None:
        scenario = Scenario(seed)
        try:
            await scenario.play(chosen, plans_of(rng))
        except ViolationError as violation:
            raise ViolationError(
                f"seed {seed}, {[fault.__name__ for fault in chosen]}: {violation}"
            ) from None
        finally:
            await scenario.stop()

    run(play())


@pytest.mark.parametrize("seed", range(SEEDS))
def test_answers_hold_under_faults(seed: int) -> None:
    play_seed(seed, ALL_FAULTS)


DEFECTS: dict[Callable[[pytest.MonkeyPatch], None], str] = {
    defects.identity_without_base: "confirmed, and not in force",
    defects.identity_without_body: "confirmed, and not in force",
    defects.stale_before_repeated: "412 for what was taken",
    defects.history_not_in_snapshot: "412 for what was taken",
    defects.repeat_gets_the_current_version: "confirmed as .*, taken as",
    defects.lease_not_checked: "4.. for|refused, and then taken|read .*, the newest is",
    defects.lost_proposal_is_refused: "412 for|refused, and then taken",
    defects.lost_proposal_is_confirmed: "confirmed, and not in force",
}


@pytest.mark.parametrize("plant", DEFECTS, ids=lambda plant: getattr(plant, "__name__", ""))
def test_defect_is_detected(
    plant: Callable[[pytest.MonkeyPatch], None], monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)
    with pytest.raises(ViolationError) as raised:
        for seed in (*QUICK_SEEDS, *range(MAX_DEFECT_SEEDS)):
            play_seed(seed, ALL_FAULTS)
    print(raised.value)
    assert re.search(DEFECTS[plant], str(raised.value))


async def statuses(scenario: Scenario, change: Change, seconds: float) -> list[int]:
    """Send a change to one node after the other until it is accepted; return the statuses."""
    found: list[int] = []
    deadline = scenario.loop.time() + seconds
    while scenario.loop.time() < deadline and 200 not in found:
        node = scenario.nodes[ADDRESSES[len(found) % 3]]
        assert node.api is not None
        found.append((await node.api.answer(change, "/config")).status)
        scenario.committed.reference.answer(change, found[-1], {"version": 2})
        await asyncio.sleep(0.05)
    return found


@pytest.mark.parametrize(
    ("full", "taken"), [("follower", True), ("leader", True), ("two followers", False), ("all", False)]
)
def test_changes_while_disks_are_full(full: str, taken: bool) -> None:
    """Changes are accepted while a majority of disks can be written.

    Without a majority no change gets a definite answer; it is accepted soon after the disks have space again.
    """

    async def play() -> None:
        scenario = Scenario(1)
        await asyncio.gather(*(node.start() for node in scenario.nodes.values()))
        await scenario.operate(Operator([Step(Operation.PUT, 1, "first")], known=0))
        leader = next(
            node for node in scenario.nodes.values() if node.group is not None and node.group.is_leader
        )
        followers = [node for node in scenario.nodes.values() if node is not leader]
        which = {
            "follower": followers[:1],
            "leader": [leader],
            "two followers": followers,
            "all": [leader, *followers],
        }
        for node in which[full]:
            node.files.refusing = errno.ENOSPC
        change = Step(Operation.PATCH, 1, "x").change(1)
        describe_history = await statuses(scenario, change, 9.0)
        assert (describe_history[-1] == 200) is taken and set(describe_history[:-1]) <= set(UNCLEAR)
        if not taken:
            assert set(describe_history) <= set(UNCLEAR) and scenario.committed.reference.version == 1
        for node in which[full]:
            node.files.refusing = None
        before = scenario.loop.time()
        describe_history = await statuses(scenario, change, 9.0)
        assert describe_history[-1] == 200 and set(describe_history[:-1]) <= set(UNCLEAR)
        assert scenario.loop.time() - before < DISK_RECOVERY_S
        await scenario.read_back()
        await scenario.stop()

    run(play())
