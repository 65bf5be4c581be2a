"""Versions of the weights that servers have loaded, and which copies are outdated. No I/O.

A load brings the newest version. A copy is outdated once another server has reported a newer version of its
model, unless the copy was loaded after that report: then a further load would bring nothing newer, even if
the other server reports a wrong version.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from granitewell.domain.servers import LoadedModel


@dataclass(frozen=True, slots=True)
class _Newest:
    """The newest version of a model, and when a server first reported it."""

    version: int
    since: float


class ModelVersions:
    """The newest version reported of each configured model; it never decreases."""

    def __init__(self) -> None:
        self._newest: dict[str, _Newest] = {}
        self._configured: Collection[str] = frozenset()

    def set_models(self, names: Iterable[str]) -> None:
        """Apply a new configuration; models that are no longer configured are dropped."""
        self._configured = frozenset(names)
        self._newest = {name: newest for name, newest in self._newest.items() if name in self._configured}

    def seen(self, now: float, models: Iterable[LoadedModel]) -> None:
        """Record what a server has loaded."""
        for model in models:
            newest = self._newest.get(model.name)
            if model.name not in self._configured or not model.version:
                continue
            if newest is None or model.version > newest.version:
                self._newest[model.name] = _Newest(model.version, now)

    def outdated(self, loaded: Mapping[str, LoadedModel], loaded_at: Mapping[str, float]) -> frozenset[str]:
        """Return the models of a server whose copy is outdated.

        Args:
            loaded: Its models by name.
            loaded_at: Start times of the known loads of its models, in seconds.
        """
        return frozenset(
            name for name, model in loaded.items() if self._is_outdated(model, loaded_at.get(name, -math.inf))
        )

    def _is_outdated(self, model: LoadedModel, loaded_at: float) -> bool:
        newest = self._newest.get(model.name)
        return newest is not None and 0 < model.version < newest.version and loaded_at < newest.since
