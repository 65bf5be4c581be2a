"""Limits that must never be exceeded: servers' memory and adapters, the weight store's rate. No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from granitewell.domain.configuration import Engine, Model
from granitewell.domain.servers import LoadedModel, ModelRef

STORE_RATE_FRACTION = 0.95  # of the permitted rate: the bound counts 1.1 times it, plus 3
STORE_BURST_LOADS = 2.0  # loads at once after a pause; the bound allows 3
MEMORY_SLACK_MB = 1.0  # for sums of rounded sizes
INITIAL_CONCURRENT_LOADS = 4  # simultaneous loads that are tried before anything is known of the store
MIN_CONCURRENT_LOADS = 2
MAX_CONCURRENT_LOADS = 32
MIN_SLOW_RATIO = 1.3  # a load that took this many times its usual time met too many others
INITIAL_WARM_LOAD_FRACTION = (
    0.4  # of its load time, for a model from the server's own disk, before any was measured
)
WARM_LOAD_WEIGHT = 0.2  # weight of the newest load from a server's own disk
MAX_FULL_SPEED_RATIO = 1.15  # up to here loads at once were as fast as alone


@dataclass(frozen=True, slots=True)
class Usage:
    """Committed resources of a server. `mb` is infinite if a size is unknown."""

    mb: float
    adapters: int


@dataclass(frozen=True, slots=True)
class Capacity:
    """Resources of a server."""

    mb: float
    adapters: int

    def admits(self, usage: Usage) -> bool:
        """Return whether a usage is within the capacity."""
        return usage.mb <= self.mb - MEMORY_SLACK_MB and usage.adapters <= self.adapters


class ModelSizes:
    """Sizes of models, including those that a newer configuration no longer lists."""

    def __init__(self) -> None:
        self._known: dict[str, Model] = {}

    def learn(self, engine: Engine) -> None:
        """Record the sizes in a configuration."""
        self._known.update((model.name, model) for model in engine.models)

    def weights_mb(self, model: str) -> float:
        """Return the size of a model alone, in MB; infinite if it was never known."""
        known = self._known.get(model)
        return known.weights_mb if known else math.inf

    def adapter_mb(self, model: str) -> float:
        """Return the size of an adapter of a model, in MB; infinite if the model was never known."""
        known = self._known.get(model)
        return known.adapter_mb if known else math.inf

    def ref_mb(self, ref: ModelRef) -> float:
        """Return the size of a model alone, or of one adapter, in MB."""
        return self.adapter_mb(ref.model) if ref.adapter else self.weights_mb(ref.model)

    def loaded_mb(self, loaded: LoadedModel) -> float:
        """Return the size of a model with its loaded adapters, in MB."""
        adapters = len(loaded.adapters) * self.adapter_mb(loaded.name) if loaded.adapters else 0.0
        return self.weights_mb(loaded.name) + adapters


def usage(loaded: Iterable[LoadedModel], loading: Iterable[ModelRef], sizes: ModelSizes) -> Usage:
    """Return the usage of loaded models together with loads in progress or of unknown outcome."""
    mb = 0.0
    adapters = 0
    present: dict[str, LoadedModel] = {}
    for model in loaded:
        present[model.name] = model
        mb += sizes.loaded_mb(model)
        adapters += len(model.adapters)
    for ref in loading:
        if _holds(present, ref):
            continue
        mb += sizes.ref_mb(ref)
        adapters += 1 if ref.adapter else 0
    return Usage(mb, adapters)


def _holds(present: dict[str, LoadedModel], ref: ModelRef) -> bool:
    model = present.get(ref.model)
    return model is not None and (not ref.adapter or ref.adapter in model.adapters)


class LoadBucket:
    """Token bucket of loads from the weight store.

    Empty at the start: the loads that an earlier owner has just ordered count in the same window.
    """

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._tokens = 0.0
        self._at = now

    def set_rate(self, now: float, loads_per_s: float) -> None:
        """Set the rate that this service may use from now on, in loads per second."""
        self._fill(now)
        self._rate = loads_per_s * STORE_RATE_FRACTION

    def _fill(self, now: float) -> None:
        passed = max(0.0, now - self._at)
        self._tokens = min(STORE_BURST_LOADS, self._tokens + passed * self._rate)
        self._at = now

    def available(self, now: float) -> int:
        """Return how many loads may begin now."""
        self._fill(now)
        return int(self._tokens + 1e-9)

    def take(self, now: float) -> bool:
        """Take the token of one load; return False if there is none."""
        if self.available(now) < 1:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self) -> None:
        """Return the token of a load that certainly did not begin."""
        self._tokens = min(STORE_BURST_LOADS, self._tokens + 1.0)

    def next_at(self, now: float) -> float:
        """Return when the next load may begin."""
        if self.available(now) >= 1:
            return now
        if self._rate <= 0:
            return math.inf
        return now + (1.0 - self._tokens) / self._rate


class LoadConcurrency:
    """How many concurrent loads run at full speed, learned from how long loads take.

    Before any was measured, it is the number that the permitted rate keeps in progress.
    """

    def __init__(self) -> None:
        self.concurrent_loads = INITIAL_CONCURRENT_LOADS
        self._min_overhead_s = math.inf

    def expect(self, loads_per_s: float, load_time_s: float) -> None:
        """Record the permitted rate of loads and their mean duration.

        Without effect once loads were measured.
        """
        if math.isinf(self._min_overhead_s):
            under_way = round(loads_per_s * load_time_s)  # Little's law
            self.concurrent_loads = max(MIN_CONCURRENT_LOADS, min(MAX_CONCURRENT_LOADS, under_way))

    def learn(self, concurrent_loads: int, took_s: float, nominal_s: float) -> None:
        """Record how long a load took beside `at_once` concurrent loads (including itself)."""
        overhead = took_s - nominal_s
        self._min_overhead_s = min(self._min_overhead_s, max(overhead, -0.5 * nominal_s))
        slowness = (took_s - self._min_overhead_s) / max(nominal_s, 0.05)
        if slowness >= MIN_SLOW_RATIO and concurrent_loads > MIN_CONCURRENT_LOADS:
            self.concurrent_loads = max(
                MIN_CONCURRENT_LOADS, min(self.concurrent_loads, round(concurrent_loads / slowness))
            )
        elif slowness <= MAX_FULL_SPEED_RATIO and concurrent_loads >= self.concurrent_loads:
            self.concurrent_loads = min(MAX_CONCURRENT_LOADS, concurrent_loads + 1)


class WarmLoadTime:
    """How long a load from a server's own disk takes, learned from such loads.

    It hardly depends on the model: the disk is read at one pace, and most of the time is fixed.
    """

    def __init__(self) -> None:
        self._mean_s = math.inf

    def estimate(self, nominal_s: float) -> float:
        """Return the expected time until a report shows such a load, in seconds.

        Args:
            nominal_s: Time of a load from the weight store.
        """
        if math.isinf(self._mean_s):
            return INITIAL_WARM_LOAD_FRACTION * nominal_s
        return min(self._mean_s, nominal_s)

    def learn(self, took_s: float) -> None:
        """Record after how many seconds a report showed such a load."""
        if math.isinf(self._mean_s):
            self._mean_s = took_s
        else:
            self._mean_s += WARM_LOAD_WEIGHT * (took_s - self._mean_s)
