"""The configuration on an edge, built from the updates that control nodes publish."""

from __future__ import annotations

from collections.abc import Sequence

from granitewell.controlplane.configuration.change import Change
from granitewell.controlplane.configuration.errors import DeltaMismatchError, UnreadableChangeError
from granitewell.controlplane.configuration.state import EMPTY, ConfigurationState, changed, complete_state
from granitewell.domain.configuration import Configuration
from granitewell.domain.errors import InvalidConfigurationError


class ConfigurationView:
    """The newest configuration that this edge has received; its version only increases."""

    def __init__(self) -> None:
        self._state = EMPTY

    @property
    def configuration(self) -> Configuration | None:
        """Newest configuration, None before the first."""
        return self._state.configuration if self._state.version else None

    @property
    def version(self) -> int:
        """Newest version, 0 before the first."""
        return self._state.version

    def apply(self, version: int, is_complete: bool, documents: Sequence[bytes]) -> Configuration | None:
        """Apply an update; return the new configuration, or None if it is not newer.

        Raises:
            DeltaMismatchError: The update does not apply; the view is unchanged. The caller should request
                the complete configuration, as from version 0.
        """
        if version <= self.version:
            return None
        state = (
            _from_complete(self._state, documents) if is_complete else _from_changes(self._state, documents)
        )
        if state.version != version:
            raise DeltaMismatchError(f"leads to version {state.version} instead of {version}")
        self._state = state
        return state.configuration


def _from_complete(state: ConfigurationState, documents: Sequence[bytes]) -> ConfigurationState:
    if len(documents) != 1:
        raise DeltaMismatchError(f"{len(documents)} documents instead of one complete configuration")
    try:
        return complete_state(state, documents[0])
    except InvalidConfigurationError as error:
        raise DeltaMismatchError(f"the complete configuration can't be read: {error}") from error


def _from_changes(state: ConfigurationState, documents: Sequence[bytes]) -> ConfigurationState:
    """Return the state after applying encoded changes."""
    for document in documents:
        try:
            state = _next(state, Change.decode(document))
        except (InvalidConfigurationError, UnreadableChangeError) as error:
            raise DeltaMismatchError(f"a change can't be read: {error}") from error
    return state


def _next(state: ConfigurationState, change: Change) -> ConfigurationState:
    if change.base_version < state.version:
        return state  # applied already: each version has one successor
    if change.base_version > state.version:
        raise DeltaMismatchError(
            f"a change is based on version {change.base_version}, the current version is {state.version}"
        )
    return changed(state, change)
