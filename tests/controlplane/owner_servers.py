"""Simulated engine servers: loaded models, reports, and execution of orders."""

from __future__ import annotations

import json
from collections import deque
from collections.abc import Mapping
from functools import partial
from typing import TYPE_CHECKING, Any

from granitewell.controlplane.placement.orders import Operation, Report
from granitewell.domain.configuration import Engine, Model
from granitewell.domain.servers import LoadedModel, ModelRef

if TYPE_CHECKING:
    from tests.controlplane.owner_world import OwnerWorld

SERVICE = "llm"
SERVER_COUNT = 4
EDGES = ("e1", "e2", "e3")
BUSY = ("m0", "m1")
LOAD_S = 0.3
ADAPTER_COUNT = 6
ADAPTER_MB = 40.0
MODELS = tuple(
    Model(f"m{i}", 60_000.0, LOAD_S, ADAPTER_COUNT if f"m{i}" in BUSY else 0, ADAPTER_MB) for i in range(24)
)
ENGINE = Engine(slots=64, models=MODELS, weights_mb=130_000.0, max_adapters=1, loads_per_s=0.6)
SIZES = {model.name: model for model in MODELS}


class EngineServer:
    """A server address, and the incarnation that listens there now."""

    def __init__(self, world: OwnerWorld, number: int) -> None:
        self.world = world
        self.address = f"10.1.0.{number}:80"
        self.up = True
        self._starts = 0
        self.on_disk: set[str] = set()
        self.start()

    def start(self) -> None:
        """Start a new incarnation: empty, and without sequence and fencing token."""
        self._starts += 1
        self.up = True
        self.id = f"i-{self.address}-{self._starts}"
        self.sequence = 0
        self.fencing_token = 0
        self.order: ModelRef | None = None
        self.held: dict[str, set[str]] = {}
        self._reports: deque[tuple[float, Report]] = deque(maxlen=32)
        self._note()

    def stop(self) -> None:
        """Stop the server."""
        self.up = False
        self.order = None

    def usage(self) -> tuple[float, int]:
        """Return the memory in MB and the number of adapters in use."""
        mb = sum(SIZES[name].weights_mb + ADAPTER_MB * len(adapters) for name, adapters in self.held.items())
        return mb, sum(len(adapters) for adapters in self.held.values())

    def hold(self, *names: str) -> None:
        """Set models that are loaded from its start on."""
        for name in names:
            self.held[name] = set()
        self._note()

    def models(self) -> tuple[LoadedModel, ...]:
        """Return the loaded models."""
        return tuple(LoadedModel(name, frozenset(adapters)) for name, adapters in self.held.items())

    def _note(self) -> None:
        models = {model.name: model for model in self.models()}
        self._reports.append((self.world.now, Report(self.sequence, self.order is not None, models)))

    def report(self) -> Report:
        """Return its report, which is some hundred ms old."""
        asked = self.world.now - self.world.rng.uniform(0.05, 0.4)
        newest = self._reports[0][1]
        for at, report in self._reports:
            if at <= asked:
                newest = report
        return newest

    def take(self, machine: str, body: bytes, instance: str | None) -> int:
        """Handle an order; return its HTTP status."""
        document = json.loads(body)
        self.world.order_checker.arrived(self.address, machine, document, instance)
        fencing_token = document["fence-token"]
        if instance != self.id:
            return 421
        if self.world.fencing and fencing_token < self.fencing_token:
            return 412
        self.fencing_token = max(self.fencing_token, fencing_token)
        if self.order is not None or document.get("if-revision", self.sequence) != self.sequence:
            return 409
        return self._begin(document)

    def _begin(self, document: Mapping[str, Any]) -> int:
        ref = ModelRef(document["model"], document.get("adapter", ""))
        held = self.held.get(ref.model)
        if ref.adapter and held is None:
            return 400
        load = document["operation"] == Operation.LOAD.value
        present = held is not None and (not ref.adapter or ref.adapter in held)
        if present is load:
            return 200
        self.world.order_checker.took(self, document, ref)
        self.sequence += 1
        self.order = ref
        self._note()
        self.world.after(self._time(load, ref), partial(self._done, self.id, load, ref))
        return 202

    def _time(self, load: bool, ref: ModelRef) -> float:
        if not load or ref.adapter:
            return 0.01
        if ref.model in self.on_disk:
            return LOAD_S * 0.85
        self.world.order_checker.loaded_from_store()
        return LOAD_S * self.world.rng.uniform(1.0, 1.5)

    def _done(self, instance: str, load: bool, ref: ModelRef) -> None:
        if instance != self.id or not self.up:
            return
        self.order = None
        if load:
            self.held.setdefault(ref.model, set())
            if ref.adapter:
                self.held[ref.model].add(ref.adapter)
            self.on_disk.add(ref.model)
        elif ref.adapter:
            self.held[ref.model].discard(ref.adapter)
        else:
            del self.held[ref.model]
        self._note()
