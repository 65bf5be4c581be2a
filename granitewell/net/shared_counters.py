"""Runs the counters that the nodes share: connects the state machine with requests, transport and status.

Requests are counted from the start of the process; messages are exchanged only while the process is the
cluster member. Counting costs a request no more than one table update. Messages are sealed datagrams of the
cluster's transport.
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
from granitewell.state_machine import MessageReceived, SendMessage, TimerFired

if TYPE_CHECKING:
    from granitewell.net.loop import Node

NO_TENANT_KEY = "-"  # the key of requests without a known tenant
MAX_KEYS_IN_VIEW = 200  # in one answer; further keys are left out


class SharedCountersDriver:
    """The shared counters of one process."""

    def __init__(self, node: Node, name: str, keys: Keys, figures: CounterSettings) -> None:
        """Start to count the node's requests.

        Args:
            node: The serving node.
            name: The node's name in the cluster.
            keys: Keys that seal messages.
            figures: Settings of the counters.
        """
        rng = Random(int.from_bytes(os.urandom(16), "big"))
        self._node, self._clock = node, node.clock
        birth = 1 + int(rng.random() * (1 << 60))
        self.counts = SharedCounters(name, 0, birth, keys, figures, rng, node.clock.now())
        self._loop = asyncio.get_running_loop()
        self._send: Callable[[SendMessage], None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._timer_us = -1
        node.clients.rate_limit = self._count_request

    def _count_request(self, tenant: int, _: int) -> int:
        """Count a complete request before the core sees it; -1 means no limit applies."""
        names = self._node._config.tenant_names
        key = names[tenant] if 0 <= tenant < len(names) else NO_TENANT_KEY
        self.counts.handle(self._clock.now(), UsageRecorded(key))
        return -1

    # --- The cluster ------------------------------------------------------------------------------------
    def start(self, incarnation: int, send: Callable[[SendMessage], None]) -> None:
        """Exchange messages from now on: this process has become the cluster member."""
        self.counts.incarnation, self._send = incarnation, send
        self._arm_timer()

    def stop(self) -> None:
        """Exchange no more messages."""
        self._send = None
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def set_peers(self, places: Mapping[str, str], out: Container[str], unnamed: int) -> None:
        """Set the nodes that may be acting.

        Args:
            places: By name, the address of each node that is up; "" for one that is not.
            out: Names of the nodes that are no longer counted.
            unnamed: How many more nodes may be acting whose names are unknown.
        """
        peers = {name: Peer(at, bool(at), name in out) for name, at in places.items()}
        self._handle(Peers(peers, unnamed))

    def rekey(self, keys: Keys) -> None:
        """Seal messages with other keys."""
        self._handle(Rekey(keys))

    def on_message(self, on_message: MessageReceived) -> None:
        """Handle a counter message of another node."""
        self._handle(on_message)

    def _handle(self, event: object) -> None:
        """Give the state machine an event and send the messages that it returns."""
        for effect in self.counts.handle(self._clock.now(), event):
            if isinstance(effect, SendMessage) and self._send is not None:
                self._send(effect)
        self._arm_timer()

    def _arm_timer(self) -> None:
        """Set the timer to the state machine's next deadline."""
        wake = self.counts.wake_us
        if self._send is None or wake < 0 or (self._timer is not None and self._timer_us <= wake):
            return
        if self._timer is not None:
            self._timer.cancel()
        self._timer_us = wake
        wait_us = max(wake - self._clock.read_now(), 0)
        self._timer = self._loop.call_later(-(-wait_us // 1000) / 1000, self._on_timer)

    def _on_timer(self) -> None:
        """Wake the state machine."""
        self._timer = None
        self._handle(TimerFired())

    # --- Queries ----------------------------------------------------------------------------------------
    def view(self, key: str) -> dict[str, Any]:
        """Return the figures of all keys, or of one key with each node's part, as plain JSON."""
        now, counts = self._clock.read_now(), self.counts
        figures = counts.settings
        keys = [key] if key else counts.keys()
        view: dict[str, Any] = {
            "version": 1, "name": counts.name, "machine_us": time.monotonic_ns() // 1000,
            "window_s": figures.window_us / 1e6,
            "speaks": self._send is not None, "cut": len(keys) > MAX_KEYS_IN_VIEW, "keys": [],
            "letters": dict(sorted(counts.message_counts.items())),
            "assumed": {"ceiling_per_s": figures.ceiling_per_s, "growth": figures.growth,
                        "floor_per_s": figures.floor_per_s, "drift_ppm": figures.drift_ppm},
        }  # fmt: skip
        totals = [None] if not key else []
        for row_key in (*totals, *keys[:MAX_KEYS_IN_VIEW]):
            figure = counts.bounds(now, row_key)
            row: dict[str, Any] = {
                "key": row_key,
                "low": figure.low,
                "high": figure.high,
                "unnamed": figure.unnamed,
            }
            if key or row_key is None:
                row["parts"] = [_part_row(p) for p in figure.parts]
            view["keys"].append(row)
        return view


def _part_row(part: NodeUsage) -> dict[str, Any]:
    """Return one node's part of a figure as plain JSON."""
    age_s = part.age_us / 1e6 if part.age_us >= 0 else None
    return {"name": part.name, "low": part.low, "high": part.high, "age_s": age_s, "unheard": part.unreported,
            "edge": part.window_edge, "others": part.untracked}  # fmt: skip
