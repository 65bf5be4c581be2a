"""Random days of control nodes, gateways and edges, with faults in overlapping series; what holds after them.

No more is lost at once than `fault-tolerance` allows: one machine with a disk, which counts as lost until
`catch-up-s` after it is back. Gateways and edges may go in any number. A kill of all processes loses no disk.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from granitewell.controlplane.publication.publisher import MAX_READ_STALENESS_S
from tests.coordination import virtual_loop
from tests.nodes.control_world import CORES, CoreMachine, Machine, World, virtual_clocks

CATCH_UP_S = 4.0  # catch-up-s
RECOVERY_S = 12.0  # recovery-s: after the last fault everything is served again
DAY_S = 40.0
MAX_CUT_S = 20.0
MAX_DOWN_S = 2.0
START_SPREAD_S = 0.3
CHANGE_PAUSE_S = (0.5, 3.0)
FAULT_PAUSE_S = (0.0, 4.0)
FAULTS_AT_ONCE = (1, 1, 2, 3, 4)
MAX_POLLS_PER_S = 10.0
"""A gateway polls each 0.2 s, or has a poll held; twice that, as some referrals are followed at once."""


class SoakError(AssertionError):
    """Something does not hold after the faults of a day."""


class Day:
    """One day, drawn by its seed."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.world = World(seed)
        self.acknowledged = 0
        self.faults: list[str] = []
        self._rng = self.world.rng
        self._next_core = CORES + 1
        self._started_at: dict[Machine, float] = {}
        self._restarts: set[asyncio.Task[None]] = set()
        self._busy: set[Machine] = set()  # down, and about to be started again
        self._core_lost_until = 0.0

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def play(self) -> None:
        """Play the day; raises SoakError."""
        try:
            await self._begin()
            changes = asyncio.create_task(self._change_configuration())
            await self._inject_faults()
            changes.cancel()
            await asyncio.gather(*self._restarts)
            await self._check_recovered()
        finally:
            await self.world.stop()

    async def _begin(self) -> None:
        world, rng = self.world, self._rng
        cores = [world.add_core(number, first=True) for number in range(1, CORES + 1)]
        for number in range(1, rng.randint(2, 4) + 1):
            world.add_gateway(number, f"gateway-{number}-{self.seed}")
        for number in range(1, rng.randint(2, 4) + 1):
            world.add_edge(number)
        for machine in world.machines.values():
            machine.set_seeds([core.host for core in cores])
        if rng.random() < 0.3:
            self._add_core()  # a spare one
        await self._start_all()
        await self._change()

    async def _start_all(self) -> None:
        async def start(machine: Machine) -> None:
            await asyncio.sleep(self._rng.uniform(0.0, START_SPREAD_S))
            await self._start(machine)

        stopped = [machine for machine in self.world.machines.values() if not machine.running]
        await asyncio.gather(*(start(machine) for machine in stopped))

    async def _start(self, machine: Machine) -> None:
        await machine.start()
        self._started_at[machine] = self._now()
        self._busy.discard(machine)

    async def _change_configuration(self) -> None:
        while True:
            await asyncio.sleep(self._rng.uniform(*CHANGE_PAUSE_S))
            await self._change()

    async def _change(self) -> None:
        version = self.acknowledged + 1
        try:
            await self.world.change(version, self.acknowledged, within_s=MAX_CUT_S + RECOVERY_S)
        except TimeoutError:
            raise SoakError(f"version {version} is not acknowledged") from None
        self.acknowledged = version

    # Faults

    async def _inject_faults(self) -> None:
        end = self._now() + DAY_S
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._kill_gateways,
            self._kill_gateways,
            self._kill_edges,
            self._restart_core,
            self._replace_core,
            self._replace_core_in_a_storm,
            self._wipe_core,
            self._cut_core,
            self._change_seeds,
            self._change_seeds,
            self._kill_all,
        ]
        while self._now() < end:
            for _ in range(self._rng.choice(FAULTS_AT_ONCE)):
                await self._rng.choice(kinds)()
            await asyncio.sleep(self._rng.uniform(*FAULT_PAUSE_S))

    def _note(self, fault: str, *machines: Machine) -> None:
        self.faults.append(f"{self._now():.2f} {fault} {','.join(machine.name for machine in machines)}")

    async def _down_for_a_while(self, fault: str, machines: list[Machine]) -> None:
        up = [machine for machine in machines if machine.running and machine not in self._busy]
        self._note(fault, *up)
        together_s = self._rng.uniform(0.0, MAX_DOWN_S) if self._rng.random() < 0.5 else None
        for machine in up:
            self._busy.add(machine)
            await machine.kill()
            down_s = self._rng.uniform(0.0, MAX_DOWN_S) if together_s is None else together_s
            self._start_later(machine, down_s)

    def _start_later(self, machine: Machine, delay_s: float) -> None:
        async def start() -> None:
            await asyncio.sleep(delay_s)
            await self._start(machine)

        task = asyncio.get_running_loop().create_task(start())
        self._restarts.add(task)
        task.add_done_callback(lambda done: done.exception())

    def _some(self, machines: list[Machine]) -> list[Machine]:
        if self._rng.random() < 0.5:
            return machines
        return self._rng.sample(machines, self._rng.randint(1, len(machines)))

    async def _kill_gateways(self) -> None:
        await self._down_for_a_while("kill", self._some([*self.world.gateways()]))

    async def _kill_edges(self) -> None:
        await self._down_for_a_while("kill", self._some([*self.world.edges()]))

    async def _kill_all(self) -> None:
        """Kill all processes, as when their power goes; disks keep what was synced."""
        if self._core_to_lose() is not None:
            self._core_lost_until = self._now() + MAX_DOWN_S + CATCH_UP_S
            await self._down_for_a_while("kill all", [*self.world.machines.values()])

    def _core_to_lose(self) -> CoreMachine | None:
        """Return a control node that may be lost now, or None."""
        cores = self.world.cores()
        if self._now() < self._core_lost_until or any(not core.running for core in cores):
            return None
        return self._rng.choice(cores)

    async def _restart_core(self) -> None:
        core = self._core_to_lose()
        if core is not None:
            self._core_lost_until = self._now() + MAX_DOWN_S + CATCH_UP_S
            await self._down_for_a_while("restart", [core])

    async def _wipe_core(self) -> None:
        core = self._core_to_lose()
        if core is None:
            return
        self._core_lost_until = self._now() + MAX_DOWN_S + CATCH_UP_S
        await self._down_for_a_while("wipe", [core])
        core.wipe()

    def _add_core(self) -> CoreMachine:
        """Add a control node with an empty disk, whose settings are written now."""
        seeds = self._listed_seeds()
        new = self.world.add_core(self._next_core)
        self._next_core += 1
        new.set_seeds(seeds)
        return new

    def _listed_seeds(self) -> list[str]:
        """Return three machines of the operator's list as it stands, at times only gateways."""
        serving: list[Machine] = [*self.world.gateways()]
        if self._rng.random() < 0.5:
            serving += self.world.cores()
        return [machine.host for machine in self._rng.sample(serving, min(3, len(serving)))]

    async def _replace_core(self) -> None:
        """Lose a control node for good; an empty one comes at another address."""
        core = self._core_to_lose()
        if core is None:
            return
        await core.kill()
        self.world.remove(core)
        new = self._add_core()
        self._note("replace", core, new)
        delay_s = self._rng.uniform(0.0, MAX_DOWN_S)
        self._core_lost_until = self._now() + delay_s + CATCH_UP_S
        self._start_later(new, delay_s)

    async def _replace_core_in_a_storm(self) -> None:
        """Replace a control node while all gateways, and at times all edges, are restarted."""
        await self._replace_core()
        await self._down_for_a_while("kill", [*self.world.gateways()])
        if self._rng.random() < 0.5:
            await self._kill_edges()

    async def _cut_core(self) -> None:
        """Cut a control node off from the others, and at times from gateways and edges too."""
        core = self._core_to_lose()
        if core is None:
            return
        machines = [machine for machine in self.world.machines.values() if machine is not core]
        cut_s = self._rng.uniform(1.0, MAX_CUT_S)
        with_callers = self._rng.random() < 0.3
        others = [one for one in machines if isinstance(one, CoreMachine) or with_callers]
        pairs = {(core.host, other.host) for other in others} | {(other.host, core.host) for other in others}
        self._note(f"cut for {cut_s:.1f} s", core)
        self.world.cut |= pairs
        self._core_lost_until = self._now() + cut_s + CATCH_UP_S

        async def heal() -> None:
            await asyncio.sleep(cut_s)
            self.world.cut -= pairs

        self._restarts.add(asyncio.get_running_loop().create_task(heal()))

    async def _change_seeds(self) -> None:
        """Name other machines that serve control in all settings files."""
        seeds = self._listed_seeds()
        self._note(f"seeds {seeds}")
        for machine in self.world.machines.values():
            machine.set_seeds(seeds)

    # What holds after the faults

    async def _check_recovered(self) -> None:
        await asyncio.sleep(max(self._core_lost_until - self._now(), 0.0) + RECOVERY_S)
        leader = self.world.leader()
        if leader is None:
            raise SoakError("no control node leads")
        if leader.store.version < self.acknowledged:
            raise SoakError(f"version {leader.store.version} is read, {self.acknowledged} was acknowledged")
        voters = {member.address for member in leader.group.members}
        for core in self.world.cores():
            if not core.members():
                raise SoakError(f"{core.name} has not joined")
        lost = voters - set(self.world.machines)
        if lost or len(voters) < CORES:
            raise SoakError(f"voters {sorted(voters)}, of which are gone {sorted(lost)}")
        self._check_gateways()
        self._check_edges(leader.store.version)

    def _check_gateways(self) -> None:
        cores = {core.address: core for core in self.world.cores()}
        for machine in self.world.gateways():
            current = machine.gateway.current()
            if current not in cores:
                raise SoakError(f"{machine.name} relies on {current}")
            staleness_s = cores[current].group.read_staleness_s()
            if staleness_s > MAX_READ_STALENESS_S:
                raise SoakError(f"{machine.name} relies on {current}, {staleness_s:.1f} s behind")
            lived_s = self._now() - self._started_at[machine]
            if machine.polls > MAX_POLLS_PER_S * lived_s:
                raise SoakError(f"{machine.name} has polled {machine.polls} times in {lived_s:.1f} s")

    def _check_edges(self, version: int) -> None:
        edges = self.world.edges()
        for edge in edges:
            if edge.plane.version != version:
                raise SoakError(f"{edge.name} has version {edge.plane.version}, {version} is in force")
            if edge.plane.edges != len(edges):
                raise SoakError(f"{edge.name} counts {edge.plane.edges} edges of {len(edges)}")


def play(seed: int) -> Day:
    """Play one day on virtual time; raises SoakError with the seed and the faults."""
    days: list[Day] = []

    async def main() -> None:
        day = Day(seed)
        days.append(day)
        try:
            await day.play()
        except SoakError as error:
            raise SoakError(f"seed {seed}: {error}; faults: {'; '.join(day.faults)}") from error

    with virtual_clocks():
        virtual_loop.run(main())
    return days[0]
