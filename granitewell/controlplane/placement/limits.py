"""What must never be exceeded: a server's memory and adapter places, the rate of the weight store. Pure."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from granitewell.domain.configuration import Engine, Model
from granitewell.domain.servers import LoadedModel, ModelRef

STORE_RATE_FRACTION = 0.95  # of the permitted rate: the bound counts 1.1 times it, plus 3
STORE_BURST = 2.0  # loads at once after a pause; the bound allows 3
MEMORY_SLACK_MB = 1.0  # for sums of rounded sizes
AT_ONCE_FIRST = 4  # simultaneous loads that are tried before anything is known of the store
AT_ONCE_LEAST = 2
AT_ONCE_MOST = 32
SLOWED = 1.3  # a load that took this many times its usual time met too many others
UNSLOWED = 1.15  # up to here loads at once were as fast as alone


@dataclass(frozen=True, slots=True)
class Usage:
    """What a server has committed. mb is infinite where a size is unknown."""

    mb: float
    adapters: int


@dataclass(frozen=True, slots=True)
class Capacity:
    """What a server may hold."""

    mb: float
    adapters: int

    def admits(self, usage: Usage) -> bool:
        """Whether that much may be held."""
        return usage.mb <= self.mb - MEMORY_SLACK_MB and usage.adapters <= self.adapters


class ModelSizes:
    """Sizes of models, also of those that a newer configuration no longer lists."""

    def __init__(self) -> None:
        self._known: dict[str, Model] = {}

    def learn(self, engine: Engine) -> None:
        """Take the sizes of a configuration."""
        self._known.update((model.name, model) for model in engine.models)

    def weights_mb(self, model: str) -> float:
        """Size of a model alone; infinite where it was never known."""
        known = self._known.get(model)
        return known.weights_mb if known else math.inf

    def adapter_mb(self, model: str) -> float:
        """Size of an adapter of a model; infinite where the model was never known."""
        known = self._known.get(model)
        return known.adapter_mb if known else math.inf

    def ref_mb(self, ref: ModelRef) -> float:
        """Size of a model alone, or of one adapter."""
        return self.adapter_mb(ref.model) if ref.adapter else self.weights_mb(ref.model)

    def loaded_mb(self, loaded: LoadedModel) -> float:
        """Size of a model with the adapters held of it."""
        adapters = len(loaded.adapters) * self.adapter_mb(loaded.name) if loaded.adapters else 0.0
        return self.weights_mb(loaded.name) + adapters


def usage(loaded: Iterable[LoadedModel], coming: Iterable[ModelRef], sizes: ModelSizes) -> Usage:
    """What is held, together with loads that are under way or whose fate is unknown."""
    mb = 0.0
    adapters = 0
    present: dict[str, LoadedModel] = {}
    for model in loaded:
        present[model.name] = model
        mb += sizes.loaded_mb(model)
        adapters += len(model.adapters)
    for ref in coming:
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

    Empty at the start: what an earlier owner has just ordered counts in the same window.
    """

    def __init__(self, now: float) -> None:
        self._rate = 0.0
        self._tokens = 0.0
        self._at = now

    def set_rate(self, now: float, loads_per_s: float) -> None:
        """The rate permitted to this service from now on."""
        self._fill(now)
        self._rate = loads_per_s * STORE_RATE_FRACTION

    def _fill(self, now: float) -> None:
        passed = max(0.0, now - self._at)
        self._tokens = min(STORE_BURST, self._tokens + passed * self._rate)
        self._at = now

    def available(self, now: float) -> int:
        """Loads that may begin now."""
        self._fill(now)
        return int(self._tokens + 1e-9)

    def take(self, now: float) -> bool:
        """Take the token of one load; False where there is none."""
        if self.available(now) < 1:
            return False
        self._tokens -= 1.0
        return True

    def give_back(self) -> None:
        """The load of a token taken did certainly not begin."""
        self._tokens = min(STORE_BURST, self._tokens + 1.0)

    def next_at(self, now: float) -> float:
        """When a load may begin next."""
        if self.available(now) >= 1:
            return now
        if self._rate <= 0:
            return math.inf
        return now + (1.0 - self._tokens) / self._rate


class LoadPace:
    """How many loads at once run at full speed, which no page tells: learned from how long loads take.

    Before any was measured, it is taken for as many as the permitted rate keeps under way.
    """

    def __init__(self) -> None:
        self.at_once = AT_ONCE_FIRST
        self._min_overhead_s = math.inf

    def expect(self, loads_per_s: float, load_time_s: float) -> None:
        """The store permits this rate of loads, of this many seconds each in the mean.

        Without effect once loads were measured.
        """
        if math.isinf(self._min_overhead_s):
            under_way = round(loads_per_s * load_time_s)  # Little's law
            self.at_once = max(AT_ONCE_LEAST, min(AT_ONCE_MOST, under_way))

    def learn(self, at_once: int, took_s: float, nominal_s: float) -> None:
        """A load from the store took this long, beside at_once loads in all (itself included)."""
        overhead = took_s - nominal_s
        self._min_overhead_s = min(self._min_overhead_s, max(overhead, -0.5 * nominal_s))
        slowness = (took_s - self._min_overhead_s) / max(nominal_s, 0.05)
        if slowness >= SLOWED and at_once > AT_ONCE_LEAST:
            self.at_once = max(AT_ONCE_LEAST, min(self.at_once, round(at_once / slowness)))
        elif slowness <= UNSLOWED and at_once >= self.at_once:
            self.at_once = min(AT_ONCE_MOST, at_once + 1)
