"""Model of operators, nodes and a replica group; every answer to a change is checked against the commits.

The stores and the API are the real ones. The group is a model: one sequence of committed entries, the
uncommitted entries of the last leader, and at most one holder of the lease. The possible next events are a
list of actions, among which a search chooses. Operators send a change, unchanged and to any node, until it
has a definite answer, and then base the next one on the version in that answer. A call whose answer no
operator receives is a lost answer.

Elections and leases are tested in tests/coordination.
"""

from __future__ import annotations

import asyncio
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple, cast
from zlib import crc32

import orjson
from aiohttp import web

from granitewell.controlplane.configuration import history
from granitewell.controlplane.configuration.api import OperatorApi
from granitewell.controlplane.configuration.store import Change, ConfigurationStore, Operation
from granitewell.domain.errors import NotLeaderError, ProposalLostError

FIRST_VERSION = 1
FIRST = Change(Operation.PUT, 0, b'{"version":1,"routes":[],"services":[]}')
CLEAR = (200, 400, 412)
UNCLEAR = (307, 503)
MAX_ROUNDS = 40  # within which a healthy group answers all changes


class ViolationError(AssertionError):
    """An invariant does not hold."""


class Step(NamedTuple):
    """A change that an operator plans.

    Attributes:
        rise: Increment of its version above its base version.
        tag: Distinguishes its body from others.
        again: Whether it has the body of a first step, under the base version known by then.
    """

    operation: Operation
    rise: int
    tag: str
    again: bool = False

    def change(self, known: int) -> Change:
        """Return the change, based on the version that the operator knows."""
        built_on = FIRST_VERSION if self.again else known
        document: dict[str, Any] = {"version": built_on + self.rise, "tag": self.tag}
        if self.operation is Operation.PUT:
            document |= {"routes": [], "services": []}
        return Change(self.operation, known, orjson.dumps(document))


@dataclass(frozen=True)
class Bounds:
    """Limits on the number of faults of each kind, and the size of the world."""

    nodes: int = 2
    copies: int = 2  # of one change, sent before its answer is received
    elections: int = 1
    lapses: int = 0  # the leader's lease ends, and it remains leader
    restores: int = 1  # of a follower, from the leader's snapshot
    restarts: int = 0  # of any node, from its own snapshot
    timeouts: int = 1  # of proposals that may still be committed
    strays: int = 1  # calls to a node that is behind and not leading
    remembered: int = history.MAX_ACCEPTED_CHANGES


class Reference:
    """Reference model: which changes are accepted, derived only from the committed entries."""

    def __init__(self) -> None:
        self.versions: list[int] = [0]
        self.taken: dict[Change, int] = {}
        self.refused: set[Change] = set()
        self.confirmed: dict[Change, int] = {}

    @property
    def version(self) -> int:
        """The current version."""
        return self.versions[-1]

    def would_take(self, change: Change) -> bool:
        """Return whether a change would be accepted; of the bodies here only the version can be invalid."""
        return change.base_version == self.version and _version_in(change) > self.version

    def commit(self, change: Change) -> None:
        """Record a committed entry."""
        if not self.would_take(change):
            return
        if change in self.refused:
            raise ViolationError(f"refused, and then taken: {change}")
        self.versions.append(_version_in(change))
        self.taken[change] = self.version

    def answer(self, change: Change, status: int, body: dict[str, Any]) -> None:
        """Check an answer of a node, received or not."""
        if status == 200:
            self._confirm(change, body["version"])
        elif status in (400, 412):
            self._refuse(change, status)
        elif status not in UNCLEAR:
            raise ViolationError(f"{status} for {change}")

    def _confirm(self, change: Change, version: int) -> None:
        if change not in self.taken:
            raise ViolationError(f"confirmed, and not in force: {change}")
        if self.taken[change] != version:
            raise ViolationError(f"confirmed as {version}, taken as {self.taken[change]}: {change}")
        self.confirmed[change] = version
        bases = [confirmed.base_version for confirmed in self.confirmed]
        if len(set(bases)) != len(bases) or len(set(self.confirmed.values())) != len(bases):
            raise ViolationError(
                f"two changes confirmed on one version or under one number: {self.confirmed}"
            )

    def _refuse(self, change: Change, status: int) -> None:
        if change in self.taken:
            raise ViolationError(f"{status} for what was taken: {change}")
        if self.would_take(change):
            raise ViolationError(f"{status} for a valid change on the current version: {change}")
        if status == 400 and _version_in(change) > change.base_version:
            raise ViolationError(f"{status} for a valid change: {change}")
        self.refused.add(change)

    def may_be_forgotten(self, change: Change, remembered: int) -> bool:
        """Return whether a change is older than the remembered ones."""
        kept = self.versions[-1 - remembered :]
        return change.base_version < kept[0]


class Entry(NamedTuple):
    """Entry of the log."""

    term: int
    data: bytes


@dataclass(eq=False)
class Waiter:
    """A proposal whose outcome is awaited."""

    index: int
    term: int
    future: asyncio.Future[object]


class Node:
    """One control node: the real store and API, and its part in the group."""

    def __init__(self, world: World, name: str, api: type[OperatorApi], store: ConfigurationStore) -> None:
        self.world = world
        self.name = name
        self.store = store
        self.applied = 1
        self.waiters: list[Waiter] = []
        self._api = api
        self.api = self._new_api()

    def _new_api(self) -> OperatorApi:
        return self._api(self.store, self, str, lambda: 0.0, own_address=self.name)

    # What the API sees of the group

    def holds_lease(self) -> bool:
        """Return whether this node holds the lease and has applied all committed entries."""
        return self.world.lease is self and self.applied == len(self.world.committed)

    @property
    def leader_address(self) -> str | None:
        """The known leader."""
        leader = self.world.leader
        return None if leader is None else leader.name

    async def propose(self, data: bytes, timeout_s: float = 3.0) -> object:
        """Propose an entry, like ReplicatedGroup.propose."""
        world = self.world
        if world.leader is not self:
            raise NotLeaderError
        world.tail.append(Entry(world.term, data))
        future: asyncio.Future[object] = asyncio.get_running_loop().create_future()
        self.waiters.append(Waiter(len(world.committed) + len(world.tail), world.term, future))
        return await future

    # Events of the world

    def apply_committed(self) -> None:
        """Apply the committed entries, and notify the waiters."""
        for entry in self.world.committed[self.applied :]:
            self.applied += 1
            result = self.store.apply(self.applied, entry.data)
            for waiter in [waiter for waiter in self.waiters if waiter.index == self.applied]:
                self.waiters.remove(waiter)
                self.tell(waiter, entry, result)

    def tell(self, waiter: Waiter, entry: Entry, result: object) -> None:
        """Notify a waiter: of the result if the applied entry is its own, otherwise of the loss."""
        if waiter.term == entry.term:
            waiter.future.set_result(result)
        else:
            waiter.future.set_exception(ProposalLostError())

    def lose_waiters(self, up_to: int) -> None:
        """Notify waiters up to an index that their outcome is unknown."""
        for waiter in [waiter for waiter in self.waiters if waiter.index <= up_to]:
            self.waiters.remove(waiter)
            waiter.future.set_exception(ProposalLostError())

    def restore(self, data: bytes, applied: int) -> None:
        """Restore another node's snapshot."""
        self.store.restore(data)
        self.applied = applied
        self.lose_waiters(applied)

    def restart(self) -> None:
        """Start a new process from its own snapshot."""
        data = self.store.snapshot()
        self.store = ConfigurationStore()
        self.store.restore(data)
        self.waiters = []
        self.api = self._new_api()


@dataclass(eq=False)
class Call:
    """One copy of a change, sent to one node."""

    operator: int
    step: int
    change: Change
    node: Node
    task: asyncio.Task[web.Response]
    status: int = 0
    body: dict[str, Any] = field(default_factory=dict)


@dataclass
class Operator:
    """Sends its planned changes one after the other."""

    plan: Sequence[Step]
    known: int = FIRST_VERSION
    step: int = 0
    sent: int = 0

    @property
    def done(self) -> bool:
        """Whether all changes have a definite answer."""
        return self.step == len(self.plan)

    def change(self) -> Change:
        """Return the change in progress."""
        return self.plan[self.step].change(self.known)

    def handle_answer(self, status: int, version: int) -> None:
        """Handle a definite answer."""
        if status in (200, 412):
            self.known = max(self.known, version)
        self.step += 1
        self.sent = 0


class Action(NamedTuple):
    """A possible next event: the name of a method of World, and its arguments.

    Arguments are indexes of operators and nodes, among other numbers.
    """

    name: str
    arguments: tuple[int, ...] = ()

    def __str__(self) -> str:
        return " ".join(map(str, (self.name, *self.arguments)))


class World:
    """The complete model; `actions` returns the possible next events, and `act` executes one."""

    def __init__(
        self, plans: Sequence[Sequence[Step]], bounds: Bounds, api: type[OperatorApi], node: type[Node] = Node
    ) -> None:
        self.bounds = bounds
        self.reference = Reference()
        self.reference.commit(FIRST)
        self.committed: list[Entry] = [Entry(0, FIRST.encode())]
        self.tail: list[Entry] = []
        self.term = 1
        self.nodes = [node(self, f"n{number}", api, _first_store()) for number in range(bounds.nodes)]
        self.leader: Node | None = self.nodes[0]
        self.lease: Node | None = self.nodes[0]
        self.operators = [Operator(plan) for plan in plans]
        self.calls: list[Call] = []
        self.spent = dict.fromkeys(("elections", "lapses", "restores", "restarts", "timeouts", "strays"), 0)
        self.history: list[Action] = []

    # Possible events

    def actions(self) -> list[Action]:
        """Return the events that may happen next, without those that change nothing."""
        return [*self._operator_actions(), *self._group_actions(), *self._node_actions()]

    def _operator_actions(self) -> Iterator[Action]:
        for number, operator in enumerate(self.operators):
            if operator.done:
                continue
            yield from (Action("hear", (number, *answer)) for answer in self._answered(number))
            for place, node in enumerate(self.nodes):
                if node.holds_lease() and operator.sent < self.bounds.copies:
                    yield Action("send", (number, place))
                if node is not self.lease and node.applied < len(self.committed) and self._left("strays"):
                    yield Action("stray", (number, place))

    def _answered(self, number: int) -> set[tuple[int, int]]:
        """Return the definite answers (status, version) that an operator may receive."""
        step = self.operators[number].step
        return {
            (call.status, call.body.get("version", 0))
            for call in self.calls
            if call.status in CLEAR and call.operator == number and call.step == step
        }

    def _group_actions(self) -> Iterator[Action]:
        if self.tail and self.leader is not None:
            yield Action("commit")
        if self.lease is not None and self._left("lapses"):
            yield Action("lapse")
        if self.lease is None and self.leader is not None:
            yield Action("regain")
        if self._left("elections") or self.leader is None:
            for place, node in enumerate(self.nodes):
                if node is not self.leader:  # with some of the last leader's uncommitted entries
                    yield from (Action("elect", (place, kept)) for kept in range(len(self.tail) + 1))

    def _node_actions(self) -> Iterator[Action]:
        for place, node in enumerate(self.nodes):
            if node.waiters and self._left("timeouts"):
                yield Action("time_out", (place,))
            if self._left("restarts"):
                yield Action("restart", (place,))
            if node is self.leader or node.applied == len(self.committed):
                continue
            if node.waiters:
                yield Action("learn", (place,))
            if self.lease is not None and self._left("restores"):
                yield Action("restore", (place,))

    def _left(self, trouble: str) -> bool:
        return self.spent[trouble] < cast(int, getattr(self.bounds, trouble))

    # Execution of events

    async def act(self, action: Action) -> None:
        """Execute an action and its immediate consequences, and check the invariants."""
        self.history.append(action)
        getattr(self, f"_{action.name}")(*action.arguments)
        await self.settle()
        self._check()

    async def settle(self) -> None:
        """Run the event loop until nothing is ready."""
        loop = cast(Any, asyncio.get_running_loop())
        while loop._ready:
            await asyncio.sleep(0)

    async def close(self) -> None:
        """Cancel the calls in progress."""
        for call in self.calls:
            call.task.cancel()
        await self.settle()

    def _send(self, number: int, place: int) -> None:
        operator, node = self.operators[number], self.nodes[place]
        operator.sent += 1
        change = operator.change()
        task = asyncio.get_running_loop().create_task(node.api.answer(change, "/config"))
        self.calls.append(Call(number, operator.step, change, node, task))

    def _stray(self, number: int, place: int) -> None:
        """Send a change to a node that is behind and does not lead."""
        self.spent["strays"] += 1
        self._send(number, place)
        self.operators[number].sent -= 1

    def _hear(self, number: int, status: int, version: int) -> None:
        self.operators[number].handle_answer(status, version)

    def _commit(self) -> None:
        assert self.leader is not None
        self._add_committed(self.tail.pop(0))
        self.leader.apply_committed()

    def _add_committed(self, entry: Entry) -> None:
        self.committed.append(entry)
        self.reference.commit(Change.decode(entry.data))

    def _lapse(self) -> None:
        self.spent["lapses"] += 1
        self.lease = None

    def _regain(self) -> None:
        assert self.leader is not None
        self.leader.apply_committed()
        self.lease = self.leader

    def _elect(self, place: int, kept: int) -> None:
        """Elect a leader; it holds the lease once the entries that it kept are committed and applied."""
        self.spent["elections"] += 1
        self.term += 1
        for entry in self.tail[:kept]:
            self._add_committed(entry)
        self.committed.append(Entry(self.term, FIRST.encode()))  # the leader's first entry; changes nothing
        self.tail = []
        self.leader = self.lease = self.nodes[place]
        self.leader.apply_committed()

    def _time_out(self, place: int) -> None:
        self.spent["timeouts"] += 1
        self.nodes[place].waiters.pop(0).future.set_exception(ProposalLostError())

    def _learn(self, place: int) -> None:
        self.nodes[place].apply_committed()

    def _restore(self, place: int) -> None:
        assert self.lease is not None
        self.spent["restores"] += 1
        self.nodes[place].restore(self.lease.store.snapshot(), self.lease.applied)

    def _restart(self, place: int) -> None:
        self.spent["restarts"] += 1
        node = self.nodes[place]
        for call in self.calls:
            if call.node is node:
                call.task.cancel()
        if self.leader is node:
            self.leader = self.lease = None
        node.restart()

    # Invariants

    def _check(self) -> None:
        try:
            for call in self.calls:
                self._look_at(call)
            self._check_lease()
        except ViolationError as violation:
            raise ViolationError(f"{violation}; after: {self.describe_history()}") from violation

    def describe_history(self) -> str:
        """Return the executed actions as text."""
        return ", ".join(map(str, self.history))

    def _look_at(self, call: Call) -> None:
        if call.status or not call.task.done() or call.task.cancelled():
            return
        response = call.task.result()
        call.status = response.status
        assert isinstance(response.body, bytes)
        call.body = orjson.loads(response.body)
        self.reference.answer(call.change, call.status, call.body)

    def _check_lease(self) -> None:
        for node in self.nodes:
            if node.holds_lease() and node.store.version != self.reference.version:
                raise ViolationError(f"{node.name} serves {node.store.version} of {self.reference.version}")

    # State, for the search

    def fingerprint(self) -> object:
        """Return the complete state on which later events depend."""
        reference = self.reference
        return (
            tuple((node.applied, crc32(node.store.snapshot())) for node in self.nodes),
            tuple(tuple((w.index, w.term) for w in node.waiters) for node in self.nodes),
            tuple(self.committed),
            tuple(self.tail),
            self.term,
            self.nodes.index(self.leader) if self.leader else None,
            self.nodes.index(self.lease) if self.lease else None,
            tuple((operator.known, operator.step, operator.sent) for operator in self.operators),
            self._calls_fingerprint(),
            frozenset(reference.refused),
            frozenset(reference.confirmed),
            tuple(self.spent.values()),
        )

    def _calls_fingerprint(self) -> object:
        """Return the calls in progress, in order, and the answers that operators may still receive."""
        running = [
            (call.operator, call.step, call.change, self.nodes.index(call.node))
            for call in self.calls
            if not call.task.done()
        ]
        heard = [frozenset(self._answered(number)) for number in range(len(self.operators))]
        return tuple(running), tuple(heard)

    # Recovery

    async def heal(self) -> None:
        """End all faults, and check that every change gets a definite answer.

        A change older than the remembered ones is excepted.
        """
        if self.lease is None:
            await self.act(Action("elect", (0, len(self.tail))))
        for _ in range(MAX_ROUNDS):
            for action in self._healthy_actions():
                await self.act(action)
            if all(operator.done for operator in self.operators):
                return
        raise ViolationError(f"no clear answer; after: {self.describe_history()}")

    def _healthy_actions(self) -> list[Action]:
        actions = [Action("commit") for _ in self.tail]
        actions += [Action("catch_up", (place,)) for place in range(len(self.nodes))]
        actions += [Action("go_on", (number,)) for number in range(len(self.operators))]
        return actions

    def _catch_up(self, place: int) -> None:
        """Apply the committed entries, and fail waiters of entries that were never committed."""
        node = self.nodes[place]
        node.apply_committed()
        for waiter in [waiter for waiter in node.waiters if waiter.term < self.term]:
            node.waiters.remove(waiter)
            waiter.future.set_exception(ProposalLostError())

    def _go_on(self, number: int) -> None:
        """Let an operator receive an answer, or send again if none is outstanding."""
        assert self.lease is not None
        operator = self.operators[number]
        answers = self._answered(number)
        if answers:
            self._hear(number, *answers.pop())
        elif operator.done or any(call.operator == number and not call.task.done() for call in self.calls):
            return
        elif self.reference.may_be_forgotten(operator.change(), self.bounds.remembered):
            operator.step = len(operator.plan)
        else:
            self._send(number, self.nodes.index(self.lease))


def _first_store() -> ConfigurationStore:
    store = ConfigurationStore()
    store.apply(1, FIRST.encode())
    return store


def _version_in(change: Change) -> int:
    return cast(int, orjson.loads(change.body)["version"])
