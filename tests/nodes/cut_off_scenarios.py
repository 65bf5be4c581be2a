"""Random scenarios in which control nodes are partitioned for up to twenty seconds."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from tests.nodes.cut_off_invariants import ViolationError
from tests.nodes.cut_off_world import ControlProcess, World

STARTUP_S = 3.0
MAX_CUT_S = 20.0
RECOVERY_S = 5.0
LAST_READ_S = 4.0


class Scenario:
    """A simulated world and the faults injected into it."""

    def __init__(self, seed: int) -> None:
        self.world = World(seed, controls=3 if seed % 4 else 5)
        self._ends_at = 0.0

    def play(self) -> World:
        """Play the scenario."""
        world, rng = self.world, self.world.rng
        for process in world.processes:
            world.at(rng.uniform(0, 0.3), process.begin)
        world.run_until(STARTUP_S)
        world.freezes_in_step = rng.choice((0.0, 0.0, 0.01))
        cut_s = rng.choice((MAX_CUT_S, rng.uniform(1.0, MAX_CUT_S)))
        self._cut()
        self._ends_at = world.now + cut_s
        for _ in range(rng.choice((0, 0, 1, 4))):
            world.at(rng.uniform(world.now, self._ends_at), rng.choice(self._faults()))
        world.run_until(self._ends_at)
        self._heal()
        world.run_until(world.now + RECOVERY_S)
        self._end()
        return world

    def leader(self) -> ControlProcess | None:
        """Return the holder of the lease."""
        for control in self.world.controls:
            if control.running and not control.frozen and control.group.holds_lease():
                return control
        return None

    def _someone(self) -> ControlProcess:
        leader = self.leader()
        if leader is not None and self.world.rng.random() < 0.6:
            return leader
        return self.world.rng.choice(self.world.controls)

    def _cut(self) -> None:
        """Cut a control node off from the others, in one or both directions, with or without edges."""
        world, rng = self.world, self.world.rng
        target = self._someone()
        kind = rng.choice(("both", "both", "out", "in"))
        with_edges = rng.random() < 0.3
        others = [one.host for one in world.controls if one is not target]
        others += [edge.host for edge in world.edges if with_edges and rng.random() < 0.7]
        for host in others:
            if kind != "in":
                world.cut(target.host, host)
            if kind != "out":
                world.cut(host, target.host)
        target.cut_off_since = world.now
        world.disturb()

    def _faults(self) -> list[Callable[[], None]]:
        return [self._freeze, self._freeze, self._freeze_edge, self._kill, self._kill_edge, self._slow]

    def _freeze(self) -> None:
        self.world.freeze(self._someone(), self.world.rng.uniform(0.05, 6.0))

    def _freeze_edge(self) -> None:
        self.world.freeze(self.world.rng.choice(self.world.edges), self.world.rng.uniform(0.05, 6.0))

    def _kill(self) -> None:
        target = self._someone()
        if not target.running:
            return
        self.world.disturb()
        target.end()

        def begin() -> None:
            self.world.disturb()
            target.begin()

        self.world.after(self.world.rng.uniform(0.2, 1.5), begin)

    def _kill_edge(self) -> None:
        edge = self.world.rng.choice(self.world.edges)
        if edge.running:
            self.world.disturb()
            edge.end()
            self.world.after(self.world.rng.uniform(0.2, 1.0), edge.begin)

    def _slow(self) -> None:
        """Slow down the links of a control node until the partition heals."""
        target, world = self._someone(), self.world
        world.calm = False
        for other in world.processes:
            world.link(target.host, other.host).slow_s = world.rng.uniform(0.0, 0.5)

    def _heal(self) -> None:
        """End the partition, at times during an election: the leader is suspended at that moment."""
        world, rng = self.world, self.world.rng
        world.heal()
        world.disturb()
        leader = self.leader()
        if leader is not None and rng.random() < 0.4:
            world.freeze(leader, rng.uniform(0.5, 3.0))

    def _end(self) -> None:
        """End all faults, and check that a read and all edges have the newest version."""
        world = self.world
        world.freezes_in_step = 0.0
        for process in world.processes:
            process.thaw()
        for operator in world.operators:
            operator.stopped = True
        world.run_until(world.now + LAST_READ_S)
        reader = world.operators[0]
        reader.known = 0
        reader.spawn(_read(reader.read))
        world.run_until(world.now + LAST_READ_S)
        newest = world.invariants.newest
        if reader.known != newest:
            raise ViolationError(f"{reader.known} is read back, the newest is {newest}")
        for edge in world.edges:
            if edge.plane.version != newest:
                raise ViolationError(
                    f"{edge.host} has {edge.plane.version} in the end, the newest is {newest}"
                )
        world.invariants.end()


async def _read(read: Callable[[], Awaitable[int | None]]) -> None:
    """Retry a read a few times until it has an answer."""
    for _ in range(5):
        if await read() is not None:
            return


def play(seed: int) -> World:
    """Play one scenario; raises ViolationError with the seed."""
    day = Scenario(seed)
    try:
        return day.play()
    except ViolationError as error:
        raise ViolationError(f"seed {seed} at {day.world.now:.3f} s: {error}") from error
    finally:
        for process in day.world.processes:
            process.end()
