"""The shell of what nodes share: it joins the counts to the node's clients, to the roads and to the view.

It owns the timer, and in which words a subject hears of requests and of members. It must never judge a count,
and costs a request no more than a note in a table. Letters go over the cluster's roads: by datagram, sealed
as all are. A process counts from its start; it speaks while it is the member.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable, Container, Mapping
from random import Random
from typing import TYPE_CHECKING, Any

from granitewell.protocols.peers.frames import Keys
from granitewell.shared_counters.state_machine import SharedCounters
from granitewell.shared_counters.types import CounterSettings, NodeUsage, Peer, Peers, Rekey, UsageRecorded
from granitewell.state_machine import Heard, Say, Woken

if TYPE_CHECKING:
    from granitewell.net.loop import Node

NOBODY = "-"  # the key of requests that name no tenant that counts
MAX_KEYS = 200  # in one answer


class Shared:
    """What one process shares with the others."""

    def __init__(self, node: Node, name: str, keys: Keys, figures: CounterSettings) -> None:
        rng = Random(int.from_bytes(os.urandom(16), "big"))
        self._node, self._clock = node, node.clock
        birth = 1 + int(rng.random() * (1 << 60))
        self.counts = SharedCounters(name, 0, birth, keys, figures, rng, node.clock.now())
        self._loop = asyncio.get_running_loop()
        self._say: Callable[[Say], None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_us = -1
        node.clients.limit = self._taken

    def _taken(self, tenant: int, _: int) -> int:
        """A request has come whole, and the core is about to hear of it."""
        names = self._node._config.tenant_names
        key = names[tenant] if 0 <= tenant < len(names) else NOBODY
        self.counts.handle(self._clock.now(), UsageRecorded(key))
        return -1

    # --- The fleet --------------------------------------------------------------------------------------
    def begin(self, life: int, say: Callable[[Say], None]) -> None:
        """This process is the member now."""
        self.counts.incarnation, self._say = life, say
        self._arm()

    def end(self) -> None:
        """It is no more."""
        self._say = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def members(self, places: Mapping[str, str], out: Container[str], unnamed: int) -> None:
        """All who may act, by name, with the address of those that are up.

        Who does no more; and how many may that nobody has named.
        """
        peers = {name: Peer(at, bool(at), name in out) for name, at in places.items()}
        self._tell(Peers(peers, unnamed))

    def rekey(self, keys: Keys) -> None:
        """Other keys count."""
        self._tell(Rekey(keys))

    def heard(self, heard: Heard) -> None:
        """A letter of ours has come."""
        self._tell(heard)

    def _tell(self, event: object) -> None:
        for effect in self.counts.handle(self._clock.now(), event):
            if isinstance(effect, Say) and self._say is not None:
                self._say(effect)
        self._arm()

    def _arm(self) -> None:
        wake = self.counts.wake_us
        if self._say is None or wake < 0 or (self._timer is not None and self._timer_us <= wake):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_us = wake
        wait_us = max(wake - self._clock.fresh(), 0)
        self._timer = self._loop.call_later(-(-wait_us // 1000) / 1000, self._woken)

    def _woken(self) -> None:
        self._timer = None
        self._tell(Woken())

    # --- For whoever asks -------------------------------------------------------------------------------
    def view(self, key: str) -> dict[str, Any]:
        """Figures of all keys, or of one with the part that each node has; plain JSON."""
        now, counts = self._clock.fresh(), self.counts
        figures = counts.settings
        keys = [key] if key else counts.keys()
        made: dict[str, Any] = {
            "version": 1, "name": counts.name, "machine_us": time.monotonic_ns() // 1000,
            "window_s": figures.window_us / 1e6,
            "speaks": self._say is not None, "cut": len(keys) > MAX_KEYS, "keys": [],
            "letters": dict(sorted(counts.message_counts.items())),
            "assumed": {"ceiling_per_s": figures.ceiling_per_s, "growth": figures.growth,
                        "floor_per_s": figures.floor_per_s, "drift_ppm": figures.drift_ppm},
        }  # fmt: skip
        whole = [None] if not key else []
        for one in (*whole, *keys[:MAX_KEYS]):
            found = counts.bounds(now, one)
            row: dict[str, Any] = {"key": one, "low": found.low, "high": found.high, "unnamed": found.unnamed}
            if key or one is None:
                row["parts"] = [_part(p) for p in found.parts]
            made["keys"].append(row)
        return made


def _part(part: NodeUsage) -> dict[str, Any]:
    age_s = part.age_us / 1e6 if part.age_us >= 0 else None
    return {"name": part.name, "low": part.low, "high": part.high, "age_s": age_s, "unheard": part.unreported,
            "edge": part.window_edge, "others": part.untracked}  # fmt: skip
