"""Errors of this package, in addition to InvalidConfigurationError of granitewell.domain.errors."""

from __future__ import annotations

from granitewell.domain.errors import GranitewellError, UnknownFormatError


class UnreadableChangeError(GranitewellError):
    """Bytes are not a change in a known format."""


class UnknownChangeError(UnreadableChangeError, UnknownFormatError):
    """A change has a format or an operation that only a newer version knows."""


class UnreadableSnapshotError(GranitewellError):
    """Bytes are not a snapshot in a known format."""


class DeltaMismatchError(GranitewellError):
    """A delta does not lead from the current version to the one that it names."""
