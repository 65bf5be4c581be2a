"""The faults of a soak, drawn by its seed: signals, restarts, losses and changes, several at once."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from random import Random

from granitewell.lab.system.processes import NodeProcess
from granitewell.lab.system.soak_fleet import MAX_DOWN_S, SoakFleet

FAULT_PAUSE_S = (0.0, 3.0)
FAULTS_AT_ONCE = (1, 1, 2, 3, 4)
MAX_FREEZE_S = 3.0
MAX_LEAVE_S = 3.0  # a control node leaves its groups and hands leadership over
MAX_NAMES = 8  # that a note lists
MAX_AT_ONCE = 16  # processes that are ended at once: more starts at a time would use up the machine


class SoakFaults:
    """Injects faults into a fleet, within what it must bear.

    Attributes:
        notes: What was done, in order.
    """

    def __init__(self, fleet: SoakFleet, rng: Random) -> None:
        self._fleet = fleet
        self._rng = rng
        self._began_at = time.monotonic()
        self.notes: list[str] = []

    async def inject(self, for_s: float) -> None:
        """Inject faults for some seconds."""
        kinds: list[Callable[[], Awaitable[None]]] = [
            self._kill_gateways,
            self._kill_edges,
            self._terminate_edges,
            self._signal_again,
            self._reload_some,
            self._restart_core,
            self._terminate_core,
            self._freeze_core,
            self._replace_core,
            self._replace_core_in_a_storm,
            self._wipe_core,
            self._change_seeds,
            self._change_seeds,
            self._kill_all,
        ]
        end = time.monotonic() + for_s
        while time.monotonic() < end:
            for _ in range(self._rng.choice(FAULTS_AT_ONCE)):
                await self._rng.choice(kinds)()
            await asyncio.sleep(self._rng.uniform(*FAULT_PAUSE_S))

    def _note(self, fault: str, nodes: Sequence[NodeProcess]) -> None:
        names = ",".join(node.name for node in nodes)
        self._note_text(f"{fault} {names if len(nodes) < MAX_NAMES else f'{len(nodes)} processes'}")

    def _note_text(self, text: str) -> None:
        self.notes.append(f"{time.monotonic() - self._began_at:.1f} {text}")

    def _some(self, nodes: Sequence[NodeProcess]) -> list[NodeProcess]:
        count = len(nodes) if self._rng.random() < 0.5 else self._rng.randint(1, len(nodes))
        return self._rng.sample(list(nodes), count)

    def _end(
        self, fault: str, nodes: Sequence[NodeProcess], sent: signal.Signals, *, wipe: bool = False
    ) -> None:
        up = self._fleet.up(nodes)[:MAX_AT_ONCE]
        self._note(fault, up)
        self._fleet.end(up, sent, wipe=wipe)

    # --- Gateways and edges, which may go in any number

    async def _kill_gateways(self) -> None:
        self._end("SIGKILL", self._some(self._fleet.gateways), signal.SIGKILL)

    async def _kill_edges(self) -> None:
        self._end("SIGKILL", self._some(self._fleet.edges), signal.SIGKILL)

    async def _terminate_edges(self) -> None:
        """Stop edges; clients stay on their connections until these close."""
        self._end("SIGTERM", self._some(self._fleet.edges), signal.SIGTERM)

    async def _signal_again(self) -> None:
        """Send another signal to processes that are about to end."""
        ending = self._fleet.terminating()
        sent = self._rng.choice((signal.SIGTERM, signal.SIGHUP, signal.SIGKILL))
        self._note(f"{sent.name} again", ending)
        self._fleet.send(ending, sent)

    async def _reload_some(self) -> None:
        up = self._fleet.up(self._some(self._fleet.nodes))
        self._note("SIGHUP", up)
        self._fleet.send(up, signal.SIGHUP)

    async def _change_seeds(self) -> None:
        self._fleet.change_seeds()
        self._note_text(f"seeds {','.join(self._fleet.seeds)}")

    # --- Control nodes with disks, one at a time

    async def _restart_core(self) -> None:
        core = self._fleet.core_to_lose(MAX_DOWN_S)
        if core is not None:
            self._end("SIGKILL", [core], signal.SIGKILL)

    async def _terminate_core(self) -> None:
        core = self._fleet.core_to_lose(MAX_DOWN_S + MAX_LEAVE_S)
        if core is not None:
            self._end("SIGTERM", [core], signal.SIGTERM)

    async def _wipe_core(self) -> None:
        core = self._fleet.core_to_lose(MAX_DOWN_S)
        if core is not None:
            self._end("SIGKILL and lost disk", [core], signal.SIGKILL, wipe=True)

    async def _freeze_core(self) -> None:
        core = self._fleet.core_to_lose(MAX_FREEZE_S)
        if core is not None:
            self._note("SIGSTOP", [core])
            self._fleet.freeze(core, self._rng.uniform(0.2, MAX_FREEZE_S))

    async def _replace_core(self) -> None:
        core = self._fleet.core_to_lose(MAX_DOWN_S)
        if core is not None:
            new = await self._fleet.replace(core)
            self._note("replace", [core, new])

    async def _replace_core_in_a_storm(self) -> None:
        """Replace a control node while all gateways, and at times all edges, are restarted."""
        await self._replace_core()
        self._end("SIGKILL", self._fleet.gateways, signal.SIGKILL)
        if self._rng.random() < 0.5:
            await self._kill_edges()

    async def _kill_all(self) -> None:
        """Kill all processes, or as many as the machine can start again; disks stay."""
        if self._fleet.core_to_lose(MAX_DOWN_S) is not None:
            self._end("SIGKILL of all:", self._fleet.nodes, signal.SIGKILL)
