"""Guards of ownership and of orders taken out on purpose: the days of three control machines notice each."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from functools import partial

import pytest

from granitewell.controlplane.ownership import owner, processes
from granitewell.controlplane.ownership.owner import ShardOwnership, TurnRules
from granitewell.controlplane.ownership.processes import KnownProcesses
from granitewell.controlplane.ownership.record import OwnerClaimed
from granitewell.controlplane.placement import orders, reconciler
from granitewell.controlplane.placement.limits import LoadBucket
from granitewell.controlplane.placement.orders import Order, OrderResult, OrderTicket
from granitewell.coordination.consensus.types import Role
from tests.controlplane import owner_judge
from tests.controlplane.owner_wire import SimulatedClient, Wire
from tests.controlplane.owner_world import OwnerProcess, OwnerWorld
from tests.controlplane.test_owner_search import (
    MAX_STALL_S,
    PACE_S,
    QUIET,
    TROUBLES,
    Trouble,
    play,
    transfer_leadership,
)
from tests.coordination.faults import heal_disk
from tests.coordination.invariants import ViolationError
from tests.coordination.world import Process

MAX_SEEDS = 60


def no_wait(patch: pytest.MonkeyPatch) -> None:
    """Behind another machine, orders begin at once."""
    patch.setattr(TurnRules, "wait_s", property(lambda self: 0.0))


def short_wait(patch: pytest.MonkeyPatch) -> None:
    """The wait does not count for how long an order lasts that has left."""
    patch.setattr(TurnRules, "wait_s", property(lambda self: self.lease_s + 0.1))


def silence_always_excuses(patch: pytest.MonkeyPatch) -> None:
    """Behind a silent holder nothing is waited for, whether servers check fences or not."""
    patch.setattr(TurnRules, "faults_excuse", property(lambda self: True))


def hanging_disk_is_silence(patch: pytest.MonkeyPatch) -> None:
    """A holder whose replica waits for its disk counts as gone, though its process is heard."""
    patch.setattr(KnownProcesses, "is_unresponsive", lambda self, address: True)


def silence_too_short(patch: pytest.MonkeyPatch) -> None:
    """A holder that is merely busy with itself for a while counts as gone."""
    patch.setattr(owner, "UNRESPONSIVE_AFTER_S", 0.7)
    patch.setattr(processes, "PROCESS_UNRESPONSIVE_AFTER_S", 0.7)


def excused_too_long(patch: pytest.MonkeyPatch) -> None:
    """A fault excuses a turn for longer than machines are out of touch by it."""
    patch.setattr(owner_judge, "CONTACT_S", 1.0)


def wait_forgotten(patch: pytest.MonkeyPatch) -> None:
    """Behind a claim of this machine nothing is waited for, whatever that one had to wait for."""
    real = ShardOwnership._follow

    def follow(self: ShardOwnership, previous: OwnerClaimed) -> None:
        real(self, previous)
        if previous.address == self._claimant.address:
            self._order_from = self._clock()

    patch.setattr(ShardOwnership, "_follow", follow)


def fence_reused(patch: pytest.MonkeyPatch) -> None:
    """The fence does not rise with each owner."""
    patch.setattr(ShardOwnership, "fencing_token", property(lambda self: (self._claimed_term + 1) // 2))


def lease_not_asked_again(patch: pytest.MonkeyPatch) -> None:
    """An order leaves without a look whether this machine still owns the shard."""
    real = SimulatedClient.send

    async def send(
        self: SimulatedClient, address: str, order: Order, ticket: OrderTicket, _may: Callable[[], bool]
    ) -> OrderResult:
        return await real(self, address, order, ticket, lambda: True)

    patch.setattr(SimulatedClient, "send", send)


def order_without_revision(patch: pytest.MonkeyPatch) -> None:
    """Orders are not conditional."""
    real = orders.encode_order

    def encode(order: Order, ticket: OrderTicket) -> bytes:
        fields = json.loads(real(order, ticket))
        del fields["if-revision"]
        return json.dumps(fields).encode()

    patch.setattr(orders, "encode_order", encode)


def no_reset(patch: pytest.MonkeyPatch) -> None:
    """An order without an answer stays on the wire."""
    real = Wire.__init__

    def init(self: Wire, world: OwnerWorld) -> None:
        real(self, world)
        self.resets = False

    patch.setattr(Wire, "__init__", init)


def unloads_at_once(patch: pytest.MonkeyPatch) -> None:
    """A new owner unloads before it has heard the edges."""
    patch.setattr(reconciler, "FIRST_DEMAND_S", 0.0)


def full_bucket(patch: pytest.MonkeyPatch) -> None:
    """A new owner may load at once as much as after a long pause, and there is no bound to a pause."""
    real = LoadBucket.__init__

    def init(self: LoadBucket, now: float) -> None:
        real(self, now)
        self._tokens = 12.0

    patch.setattr(LoadBucket, "__init__", init)
    patch.setattr("granitewell.controlplane.placement.limits.STORE_BURST", 12.0)


@dataclass(frozen=True)
class Defect:
    """A guard that is taken out, and the days that show it.

    It has the text of the violation, and a seed that is known to meet it soon; where that no longer does,
    others are tried.
    """

    plant: Callable[[pytest.MonkeyPatch], None]
    fencing: bool
    troubles: Sequence[Trouble]
    shows: str
    pace_s: float = PACE_S
    seed: int = 0


# Days of their own, for what random troubles meet too rarely


def lease_lapses_in_a_wait(world: OwnerWorld) -> None:
    """Leadership moves; soon after, the new leader stands still for a little longer than its lease."""
    transfer_leadership(world)
    world.after(1.0, partial(stall_leader, world, 0.51))


def busy_owner(world: OwnerWorld) -> None:
    """The owner is busy with itself until another leads, then goes on."""
    stall_leader(world, MAX_STALL_S)


def owner_restarted(world: OwnerWorld) -> None:
    """The owner is killed, and back at once."""
    for process in world.owner_processes():
        if process.ownership.owns():
            span = world.troubles.core(world.now)
            span.until = world.now + 0.05
            process.machine.stop(power=False)
            world.after(0.05, process.machine.start)


def owner_with_hanging_disk(world: OwnerWorld) -> None:
    """The owner's disk hangs; leadership moves while its process is heard."""
    for process in world.owner_processes():
        if process.ownership.owns():
            machine = process.machine
            span = world.troubles.machine(machine.name, world.now)
            machine.disk.delay_s = 3.0
            world.after(0.2, partial(transfer_leadership, world))
            world.after(3.5, partial(heal_disk, machine))
            world.after(3.5, partial(setattr, span, "until", world.now + 3.5))


def stall_leader(world: OwnerWorld, for_s: float) -> None:
    """The leader is busy with itself."""
    for process in world.processes():
        if process.replica.role is Role.LEADER:
            process.frozen = True
            world.after(for_s, partial(thaw, process))


def thaw(process: Process) -> None:
    """It goes on."""
    if process.alive:
        process.thaw()


def owner_cut_from_servers(world: OwnerWorld) -> None:
    """The owner's orders get nowhere; then leadership moves; much later the links heal."""
    owners = [process.machine for process in world.owner_processes() if process.ownership.owns()]
    ends = [(machine.address, server) for machine in owners for server in world.servers]
    for pair in ends:
        world.wire.link(*pair).cut = True

    def heal() -> None:
        for pair in ends:
            world.wire.heal(pair)
        for machine in owners:
            world.troubles.excuse(machine.name, world.now)

    world.after(0.7, partial(transfer_leadership, world))
    world.after(5.5, heal)


def leadership_moves_behind_a_late_order(world: OwnerWorld) -> None:
    """All that goes to servers is late; leadership moves as soon as an order has left, and all is well."""
    links = list(world.wire.links.values())
    for link in links:
        link.slow_s = 0.6

    def move(process: OwnerProcess) -> None:
        world.order_left = lambda process: None
        world.after(0.005, end)

    def end() -> None:
        transfer_leadership(world)
        for link in links:
            link.slow_s = 0.0

    world.order_left = move


def stalled_while_connecting(world: OwnerWorld) -> None:
    """The owner stands still while it opens a connection, for longer than its lease."""

    def stop(process: OwnerProcess) -> None:
        world.connecting = lambda process: None
        process.frozen = True
        world.after(0.65, partial(thaw, process))

    world.connecting = stop


DEFECTS = (
    Defect(no_wait, True, QUIET, "is ordered by"),
    Defect(no_wait, False, TROUBLES, "is ordered by"),
    Defect(short_wait, False, (leadership_moves_behind_a_late_order,), "is ordered by", 6.0, 1),
    Defect(silence_always_excuses, False, TROUBLES, "is ordered by", PACE_S, 1),
    Defect(silence_too_short, True, (busy_owner,), "is ordered by", 5.0, 1),
    Defect(hanging_disk_is_silence, True, (owner_with_hanging_disk,), "is ordered by", 6.0),
    Defect(excused_too_long, True, (owner_restarted,), "is ordered by", 5.0, 1),
    Defect(wait_forgotten, False, (lease_lapses_in_a_wait,), "is ordered by", 6.0, 12),
    Defect(fence_reused, True, QUIET, "under one fence"),
    Defect(lease_not_asked_again, True, (stalled_while_connecting,), "without its lease", 4.0),
    Defect(order_without_revision, True, QUIET, "without an instance or a revision"),
    Defect(no_reset, False, (owner_cut_from_servers,), "is ordered by|after a higher one", 8.0, 2),
    Defect(unloads_at_once, True, TROUBLES, "has heard"),
    Defect(full_bucket, True, TROUBLES, "loads within"),
)


@pytest.mark.parametrize("defect", DEFECTS, ids=lambda defect: defect.plant.__name__)
def test_the_days_notice(defect: Defect, monkeypatch: pytest.MonkeyPatch) -> None:
    defect.plant(monkeypatch)
    for seed in (defect.seed, *range(MAX_SEEDS)):
        try:
            play(seed, defect.fencing, defect.troubles, defect.pace_s)
        except ViolationError as violation:
            print(seed, violation)
            assert re.search(defect.shows, str(violation))
            return
    pytest.fail(f"{MAX_SEEDS} days without a violation")
